//! Guards the start and the graceful stop of an agent process, and the clock by which it keeps
//! deadlines across pauses.

mod agent_support;

use {
    agent_support::{
        LOOPBACK, WAIT_LIMIT,
        entry::{TestEntry, TestReply, new_dispatch, request_id},
        eventually,
        target::{FakeTarget, TargetMode},
    },
    sassafrasslip_daemon::{
        agent::{clock::AgentClock, serve},
        arguments::DaemonArguments,
        describe,
        options::DaemonOptions,
    },
    sassafrasslip_proto::link::{Dispatch, RefusalReason},
    std::{
        fs,
        net::SocketAddr,
        process::{Child, Command},
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tempfile::TempDir,
    tokio::{
        net::{TcpListener, TcpStream},
        time::{Instant, sleep},
    },
};

/// Writes a settings file and returns its path. Nothing listens at the platform's address.
fn write_settings(link: SocketAddr, target: SocketAddr, metrics: SocketAddr) -> (TempDir, String) {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("agent.ini");
    let text = format!(
        "[instance]\nname = t1\navailability_zone = a\nregion = r\n\
         [agent]\nlink_address = {link}\ntarget_address = {target}\nservice = s\nkind = plain\n\
         [platform]\naddress = 127.0.0.1:1\n[metrics]\naddress = {metrics}\n[log]\n[stop]\n"
    );
    fs::write(&file, text).unwrap();
    (directory, file.to_str().unwrap().to_owned())
}

/// Agent process in front of a fake target; it is killed on drop.
struct AgentProcess {
    child: Child,
    target: Arc<FakeTarget>,
    address: SocketAddr,
    _directory: TempDir,
}

impl AgentProcess {
    async fn start() -> Self {
        let target = FakeTarget::start().await;
        let unused = TcpListener::bind(LOOPBACK).await.unwrap();
        let address = unused.local_addr().unwrap();
        drop(unused);
        let (directory, file) = write_settings(address, target.address, LOOPBACK);
        let mut command = Command::new(env!("CARGO_BIN_EXE_sassafrasslipd"));
        let child = command.args(["agent", "-f", &file]).spawn().unwrap();
        let started = Instant::now();
        while TcpStream::connect(address).await.is_err() {
            assert!(started.elapsed() < WAIT_LIMIT, "the agent does not listen");
            sleep(Duration::from_millis(5)).await;
        }
        Self {
            child,
            target,
            address,
            _directory: directory,
        }
    }

    fn send_signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.unwrap().success());
    }

    /// Returns whether every thread of the process is stopped.
    fn is_paused(&self) -> bool {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        let mut states = tasks.map(|task| {
            let status = fs::read_to_string(task.unwrap().path().join("status"));
            status.is_ok_and(|status| status.lines().any(|line| line.starts_with("State:\tT")))
        });
        states.all(|is_stopped| is_stopped)
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against a SIGTERM that interrupts a call in flight (guarantee P6): the agent sends the
/// answer before it exits.
#[tokio::test]
async fn sigterm_lets_the_call_in_flight_finish() {
    let mut process = AgentProcess::start().await;
    process.target.set_mode(TargetMode::Gated);
    let mut entry = TestEntry::connect(process.address).await;
    entry.dispatch(new_dispatch(1, "GET", "/x")).await;
    eventually("call runs", || process.target.runs() == 1).await;
    process.send_signal("-TERM");
    entry
        .wait_for_report(|report| report.load.is_some_and(|load| load.draining))
        .await;
    let refused = entry.ask(new_dispatch(2, "GET", "/x")).await;
    assert_eq!(refused, TestReply::Refused(RefusalReason::Draining));
    process.target.gate.add_permits(1);
    assert!(entry.wait_for_reply(request_id(1)).await.is_run(1));
    assert!(matches!(entry.link.receive().await, Ok(None)));
    drop(entry);
    let mut status = None;
    eventually("process exits", || {
        status = process.child.try_wait().unwrap();
        status.is_some()
    })
    .await;
    assert!(status.unwrap().success());
}

/// Guards against a run after the deadline: the agent process was paused, and the deadline of a
/// dispatch passed while the frame waited in the socket's buffer.
#[tokio::test]
async fn dispatch_that_waited_through_a_pause_is_refused() {
    let process = AgentProcess::start().await;
    let mut entry = TestEntry::connect(process.address).await;
    process.send_signal("-STOP");
    // The threads of the process stop a moment after the call.
    eventually("process is paused", || process.is_paused()).await;
    let short = Dispatch {
        remaining_ms: 500,
        ..new_dispatch(1, "GET", "/x")
    };
    entry.dispatch(short).await;
    sleep(Duration::from_millis(1_000)).await;
    process.send_signal("-CONT");
    let reply = entry.wait_for_reply(request_id(1)).await;
    assert_eq!(reply, TestReply::Refused(RefusalReason::Deadline));
    assert_eq!(process.target.runs(), 0);
}

/// Guards against an error that does not tell the operator which setting holds an address in use.
#[tokio::test]
async fn address_in_use_is_named_with_section_and_key() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (directory, file) = write_settings(address, address, listener.local_addr().unwrap());
    let arguments = ["sassafrasslipd", "agent", "-f", &file];
    let arguments: DaemonArguments = clap::Parser::parse_from(arguments);
    let options = DaemonOptions::load(&arguments.command).unwrap();
    let error = describe(&serve(options).await.unwrap_err());
    let expected = format!("[agent] link_address = {address}: ");
    assert!(error.contains(&expected), "{error}");
    drop(directory);
}

/// Advances a new agent clock by `gap` on the runtime's clock and by `system_gap` on the system's
/// clock, and returns how much remains of a deadline of 1 s that is set then.
fn remaining_after(gap: Duration, system_gap: Duration) -> Duration {
    let (start, system) = (Instant::now(), SystemTime::now());
    let clock = AgentClock::default();
    let _ = clock.observe(start + gap, system + system_gap);
    let deadline = clock.deadline(Duration::from_secs(1));
    deadline.saturating_duration_since(clock.now())
}

/// Guards against a dispatch that waited in the socket's buffer while the process was paused, and
/// whose deadline then seems as far away as when it was sent.
#[test]
fn pause_counts_against_the_deadline() {
    let millis = Duration::from_millis;
    let slack = millis(50);
    assert!(remaining_after(millis(100), millis(100)) > millis(850));
    assert!(remaining_after(millis(700), millis(700)) < millis(300) + slack);
    // The runtime's clock does not advance while the machine is suspended.
    assert!(remaining_after(millis(10), millis(710)) < millis(300) + slack);
}

//! Guards the start of an agent process and its clock.

use {
    sassafrasslip_daemon::{
        agent::{clock::AgentClock, serve},
        arguments::DaemonArguments,
        describe,
        options::DaemonOptions,
    },
    std::time::{Duration, SystemTime},
    tokio::{net::TcpListener, time::Instant},
};

/// An operator must see which setting names an address that is in use.
#[tokio::test]
async fn address_in_use_is_named_with_section_and_key() {
    let taken = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = taken.local_addr().unwrap();
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("agent.ini");
    let settings = format!(
        "[instance]\nname = t1\navailability_zone = a\nregion = r\n\
         [agent]\nlink_address = {address}\ntarget_address = 127.0.0.1:1\nservice = s\nkind = plain\n\
         [platform]\naddress = 127.0.0.1:1\n[metrics]\naddress = 127.0.0.1:0\n[log]\n[stop]\n"
    );
    std::fs::write(&file, settings).unwrap();
    let arguments = ["sassafrasslipd", "agent", "-f", file.to_str().unwrap()];
    let arguments: DaemonArguments = clap::Parser::parse_from(arguments);
    let options = DaemonOptions::load(&arguments.command).unwrap();
    let error = describe(&serve(options).await.unwrap_err());
    let expected = format!("[agent] link_address = {address}: ");
    assert!(error.contains(&expected), "{error}");
}

/// Looks at a fresh clock after a gap by the runtime's clock and one by the system's clock, and
/// returns how much of a deadline of 1 s is left.
fn left_after(gap: Duration, system_gap: Duration) -> Duration {
    let (start, system) = (Instant::now(), SystemTime::now());
    let clock = AgentClock::default();
    let _ = clock.look(start + gap, system + system_gap);
    let deadline = clock.deadline(Duration::from_secs(1));
    deadline.saturating_duration_since(clock.now())
}

/// Guards against a dispatch that waited in the socket's buffer while the process was stopped,
/// and then seems to have all its time left.
#[test]
fn pause_counts_against_the_deadline() {
    let millis = Duration::from_millis;
    let slack = millis(50);
    assert!(left_after(millis(100), millis(100)) > millis(850));
    assert!(left_after(millis(700), millis(700)) < millis(300) + slack);
    // The runtime's clock stands still while the machine is suspended.
    assert!(left_after(millis(10), millis(710)) < millis(300) + slack);
}

//! Tests of the port allocation. They guard against a port that is still in use after its check: a
//! child process inherits a copy of the checked socket, and the process that is to use the port
//! fails to listen on it.

use {
    sassafrasslip_testkit::harness::{ChildProcess, ProcessSpec, ports::free_address},
    std::{
        net::TcpListener,
        path::Path,
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Number of threads that start child processes while ports are checked.
const STARTING_THREADS: usize = 4;
/// Number of threads that check ports and listen on them.
const CHECKING_THREADS: usize = 4;
/// Ports that each thread checks. All threads together use less than a tenth of the ports of the
/// harness.
const PORTS_PER_THREAD: usize = 300;

/// Number of ports after a checked one that the test occupies.
const PORTS_IN_USE: u16 = 5;

/// Serializes the tests, because one listens on ports that the other one would check.
static CHECKING: Mutex<()> = Mutex::new(());

/// Starts a process that ends immediately, and waits for its end.
fn start_child(log: &Path) {
    let mut child = ChildProcess::start(ProcessSpec {
        name: "child".to_owned(),
        program: "true".into(),
        arguments: Vec::new(),
        log: log.to_owned(),
    })
    .unwrap();
    while child.try_exit().unwrap().is_none() {
        thread::sleep(Duration::from_micros(100));
    }
}

/// Returns how many ports could not be listened on right after their check.
fn count_ports_in_use() -> usize {
    let results = (0..PORTS_PER_THREAD).map(|_| TcpListener::bind(free_address().unwrap()));
    results.filter(Result::is_err).count()
}

#[test]
fn checked_ports_stay_free_while_children_start() {
    let _checking = CHECKING.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = tempfile::tempdir().unwrap();
    let log = folder.path().join("child.log");
    let is_done = AtomicBool::new(false);
    let in_use: usize = thread::scope(|scope| {
        for _ in 0..STARTING_THREADS {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    start_child(&log);
                }
            });
        }
        let checks = (0..CHECKING_THREADS).map(|_| scope.spawn(count_ports_in_use));
        let checks: Vec<_> = checks.collect();
        let in_use = checks.into_iter().map(|check| check.join().unwrap()).sum();
        is_done.store(true, Ordering::Relaxed);
        in_use
    });
    assert_eq!(in_use, 0, "checked ports that something listened on");
}

#[test]
fn port_in_use_is_passed_over() {
    let _checking = CHECKING.lock().unwrap_or_else(PoisonError::into_inner);
    let first = free_address().unwrap();
    let mut listeners = Vec::new();
    for offset in 1..=PORTS_IN_USE {
        listeners.push(TcpListener::bind((first.ip(), first.port() + offset)));
    }
    let address = free_address().unwrap();
    let held = listeners.iter().flatten();
    assert!(
        held.count() > 0,
        "no port after {first} could be listened on"
    );
    assert!(TcpListener::bind(address).is_ok(), "{address} was in use");
}

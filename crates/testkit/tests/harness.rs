//! Tests of the process harness. They guard against child processes that outlive a test and disturb
//! the next one, and against signals without effect, with which a fault test would pass without the
//! fault.

use {
    sassafrasslip_testkit::harness::{Fleet, FleetTopology, ProcessSignal},
    std::{path::Path, time::Duration},
    tokio::{runtime::Runtime, time::sleep},
};

fn process_state(id: u32) -> Option<String> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("State:"))?;
    Some(line.to_owned())
}

async fn wait_stopped(id: u32) -> bool {
    for _ in 0..500 {
        if process_state(id).is_some_and(|state| state.contains("stopped")) {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

#[test]
fn children_end_with_the_fleet() {
    Runtime::new().unwrap().block_on(async {
        let fleet = Fleet::start_stand_ins(FleetTopology::new(Vec::new()))
            .await
            .unwrap();
        let id = fleet.platform.id();
        assert!(Path::new(&format!("/proc/{id}")).exists());
        drop(fleet);
        assert_eq!(process_state(id), None);
    });
}

#[test]
fn signals_pause_resume_and_end_a_child() {
    Runtime::new().unwrap().block_on(async {
        let mut fleet = Fleet::start_stand_ins(FleetTopology::new(Vec::new()))
            .await
            .unwrap();
        let platform = &mut fleet.platform;
        platform.signal(ProcessSignal::Stop).unwrap();
        // The system may deliver the signal after the call has returned.
        assert!(wait_stopped(platform.id()).await);
        platform.signal(ProcessSignal::Continue).unwrap();
        platform.signal(ProcessSignal::Kill).unwrap();
        let status = platform.wait_exit(Duration::from_secs(5)).await.unwrap();
        assert!(!status.success());
        assert!(platform.signal(ProcessSignal::Terminate).is_err());
        platform.restart().unwrap();
        assert!(platform.log().contains("platform listens on"));
    });
}

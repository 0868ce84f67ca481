//! Tests of the relay: if a mode of the relay had no effect, a fault test would pass without its
//! fault.

use {
    sassafrasslip_testkit::{
        harness::{Fleet, FleetTopology},
        http::HttpClient,
        test_cases,
    },
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{runtime::Runtime, time::Instant},
};

/// Outcome of a call through the relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallOutcome {
    Answer,
    LateAnswer,
    ConnectionRefused,
    ConnectionBroken,
    Timeout,
}

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

async fn call(client: &HttpClient, address: std::net::SocketAddr) -> CallOutcome {
    let started = Instant::now();
    match client.get(address, "/admin/counts").await {
        Ok(_) if started.elapsed() >= Duration::from_millis(200) => CallOutcome::LateAnswer,
        Ok(_) => CallOutcome::Answer,
        Err(error) if error.current_context().unsent => CallOutcome::ConnectionRefused,
        Err(_) if started.elapsed() >= CALL_TIMEOUT => CallOutcome::Timeout,
        Err(_) => CallOutcome::ConnectionBroken,
    }
}

/// Guards against a mode that has no effect, and against one that persists after the switch back to
/// `pass`. The relay delays each direction, so a delay of 120 ms adds 240 ms to a call.
fn check_switch(switch: Value, expected: CallOutcome) {
    Runtime::new().unwrap().block_on(async {
        let mut fleet = Fleet::start_stand_ins(FleetTopology::new(Vec::new()))
            .await
            .unwrap();
        let relay = fleet
            .start_relay("test", fleet.platform_address)
            .await
            .unwrap();
        let (address, admin) = (
            fleet.relays[relay].address,
            fleet.relays[relay].admin_address,
        );
        assert_eq!(
            call(&HttpClient::new(CALL_TIMEOUT), address).await,
            CallOutcome::Answer
        );
        fleet
            .post_admin(admin, "/admin/mode", &switch)
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(
            call(&HttpClient::new(CALL_TIMEOUT), address).await,
            expected
        );
        fleet
            .post_admin(admin, "/admin/mode", &json!({"mode": "pass"}))
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(
            call(&HttpClient::new(CALL_TIMEOUT), address).await,
            CallOutcome::Answer
        );
    });
}

test_cases! {
    fn check_switch(switch: Value, expected: CallOutcome);
    refuse_closes_the_port: (json!({"mode": "refuse"}), CallOutcome::ConnectionRefused);
    black_hole_is_silent: (json!({"mode": "black_hole"}), CallOutcome::Timeout);
    delay_answers_late: (json!({"mode": "delay", "delay_ms": 120}), CallOutcome::LateAnswer);
    cut_breaks_the_answer:
        (json!({"mode": "cut", "after_bytes": 20}), CallOutcome::ConnectionBroken);
}

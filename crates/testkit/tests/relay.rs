//! Guards the relay: a switch without its effect would make a fault test pass without the fault.

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

/// What a caller sees through the relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Seen {
    Answer,
    LateAnswer,
    Refusal,
    Break,
    Silence,
}

const CALL_LIMIT: Duration = Duration::from_millis(500);

async fn look(client: &HttpClient, address: std::net::SocketAddr) -> Seen {
    let started = Instant::now();
    match client.get(address, "/admin/counts").await {
        Ok(_) if started.elapsed() >= Duration::from_millis(200) => Seen::LateAnswer,
        Ok(_) => Seen::Answer,
        Err(error) if error.current_context().unsent => Seen::Refusal,
        Err(_) if started.elapsed() >= CALL_LIMIT => Seen::Silence,
        Err(_) => Seen::Break,
    }
}

fn check_switch(switch: Value, expected: Seen) {
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
            look(&HttpClient::new(CALL_LIMIT), address).await,
            Seen::Answer
        );
        fleet
            .post_admin(admin, "/admin/mode", &switch)
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(look(&HttpClient::new(CALL_LIMIT), address).await, expected);
        fleet
            .post_admin(admin, "/admin/mode", &json!({"mode": "pass"}))
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(
            look(&HttpClient::new(CALL_LIMIT), address).await,
            Seen::Answer
        );
    });
}

test_cases! {
    fn check_switch(switch: Value, expected: Seen);
    refuse_closes_the_port: (json!({"mode": "refuse"}), Seen::Refusal);
    black_hole_is_silent: (json!({"mode": "black_hole"}), Seen::Silence);
    delay_answers_late: (json!({"mode": "delay", "delay_ms": 120}), Seen::LateAnswer);
    cut_breaks_the_answer: (json!({"mode": "cut", "after_bytes": 20}), Seen::Break);
}

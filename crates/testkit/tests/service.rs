//! Tests of the run counters of the service stand-in, by which other tests tell whether a booking
//! ran twice.

use {
    sassafrasslip_testkit::{
        harness::{Fleet, FleetTopology, ServiceTopology, ZoneTopology},
        http::HttpClient,
        test_cases,
    },
    serde_json::{Value, json},
    std::time::Duration,
    tokio::runtime::Runtime,
};

/// Guards against a booking that is counted although it did not run, or the other way round: checks
/// the status under a fault (`None` for no answer) and the number of counted runs.
fn check_booking(faults: Value, status: Option<u16>, runs: u64) {
    Runtime::new().unwrap().block_on(async {
        let zone = ZoneTopology::new("z1", 0).with_service(ServiceTopology::new("desk", 1));
        let fleet = Fleet::start_stand_ins(FleetTopology::new(vec![zone]))
            .await
            .unwrap();
        let address = fleet.services[0].address;
        fleet
            .post_admin(address, "/admin/faults", &faults)
            .await
            .unwrap();
        let client = HttpClient::new(Duration::from_secs(5));
        let answer = client.post(address, "/runs", &json!({"order": "o1"})).await;
        if let Ok(answer) = &answer {
            let body: Value = answer.json().unwrap();
            assert_eq!(body["order"], "o1");
        }
        assert_eq!(answer.ok().map(|answer| answer.status.as_u16()), status);
        let counts = client.get(address, "/admin/counts").await.unwrap();
        let counts: Value = counts.json().unwrap();
        assert_eq!(counts["runs"], runs);
        assert_eq!(counts["by_order"]["o1"].as_u64().unwrap_or(0), runs);
    });
}

test_cases! {
    fn check_booking(faults: Value, status: Option<u16>, runs: u64);
    booking_runs_once: (json!({}), Some(201), 1);
    large_answer_is_whole: (json!({"answer_bytes": 200_000}), Some(201), 1);
    failure_before_the_run_is_not_counted: (json!({"failure": "before_run"}), None, 0);
    failure_after_the_run_is_counted: (json!({"failure": "after_run"}), None, 1);
}

//! Tests of the platform stand-in. Its table decides which of two concurrent writers wins, so a
//! fault of the stand-in would hide faults of the system.

use {
    sassafrasslip_testkit::{
        harness::{Fleet, FleetTopology},
        http::{ClientAnswer, HttpClient},
        test_cases,
    },
    serde_json::{Value, json},
    std::time::Duration,
    tokio::runtime::Runtime,
};

/// Starts a platform stand-in of its own for a check and runs the check.
fn with_platform(check: impl AsyncFnOnce(&Fleet, &HttpClient)) {
    Runtime::new().unwrap().block_on(async {
        let topology = FleetTopology::new(Vec::new());
        let fleet = Fleet::start_stand_ins(topology).await.unwrap();
        check(&fleet, &HttpClient::new(Duration::from_secs(5))).await;
    });
}

async fn transact(fleet: &Fleet, client: &HttpClient, body: &Value) -> ClientAnswer {
    let address = fleet.platform_address;
    let answer = client.post(address, "/v1/table/transact", body).await;
    answer.unwrap()
}

async fn read(fleet: &Fleet, client: &HttpClient, key: &str) -> Value {
    let path = format!("/v1/table/items/{key}");
    let answer = client.get(fleet.platform_address, &path).await.unwrap();
    answer.json().unwrap()
}

/// Guards against a transaction that ignores its condition or is applied in part. The condition is
/// on `a`, which was written before at version 1.
fn check_condition(version: u64, status: u16, value: &str) {
    with_platform(async |fleet, client| {
        let first = json!({"writes": [{"key": "a", "value": "old"}]});
        transact(fleet, client, &first).await;
        let second = json!({
            "conditions": [{"key": "a", "version": version}],
            "writes": [{"key": "a", "value": "new"}, {"key": "b", "value": "new"}],
        });
        let answer = transact(fleet, client, &second).await;
        assert_eq!(answer.status, status);
        assert_eq!(read(fleet, client, "a").await["value"], value);
        let other = read(fleet, client, "b").await;
        assert_eq!(other["version"], if status == 200 { 2 } else { 0 });
    });
}

test_cases! {
    fn check_condition(version: u64, status: u16, value: &str);
    current_version_commits_all_writes: (1, 200, "new");
    absent_version_conflicts_and_writes_nothing: (0, 409, "old");
    later_version_conflicts_and_writes_nothing: (2, 409, "old");
}

/// Guards against scans that skip or repeat items at the end of a page, or leave the prefix.
#[test]
fn scan_pages_cover_a_prefix_once() {
    with_platform(async |fleet, client| {
        let keys = ["p/1", "p/2", "p/3", "q/1"];
        let writes = keys.map(|key| json!({"key": key, "value": "x"}));
        transact(fleet, client, &json!({"writes": writes})).await;
        let mut found = Vec::new();
        let mut after = String::new();
        loop {
            let body = json!({"prefix": "p/", "after": after, "limit": 2});
            let answer = client.post(fleet.platform_address, "/v1/table/scan", &body);
            let page: Value = answer.await.unwrap().json().unwrap();
            let items = page["items"].as_array().unwrap();
            found.extend(
                items
                    .iter()
                    .map(|item| item["key"].as_str().unwrap().to_owned()),
            );
            if page["more"] == false {
                break;
            }
            after = found.last().unwrap().clone();
        }
        assert_eq!(found, keys[..3]);
    });
}

/// Guards against a fault mode without its effect: checks the status of a write under a fault
/// (`None` for no answer) and whether the write was applied.
fn check_fault(fault: Value, status: Option<u16>, takes_effect: bool) {
    with_platform(async |fleet, client| {
        let address = fleet.platform_address;
        let plan = json!({"table": fault});
        fleet
            .post_admin(address, "/admin/faults", &plan)
            .await
            .unwrap();
        let body = json!({"writes": [{"key": "a", "value": "x"}]});
        let answer = client.post(address, "/v1/table/transact", &body).await;
        let answered = answer.ok().map(|answer| answer.status.as_u16());
        assert_eq!(answered, status);
        let plan = json!({"table": {"mode": "ok"}});
        fleet
            .post_admin(address, "/admin/faults", &plan)
            .await
            .unwrap();
        let item = read(fleet, client, "a").await;
        assert_eq!(item["version"] == 1, takes_effect);
    });
}

test_cases! {
    fn check_fault(fault: Value, status: Option<u16>, takes_effect: bool);
    down_refuses_without_effect: (json!({"mode": "down"}), Some(503), false);
    slow_answers_late: (json!({"mode": "slow", "delay_ms": 50}), Some(200), true);
    lost_answer_takes_effect: (json!({"mode": "lose_answers"}), None, true);
    zero_probability_is_no_fault:
        (json!({"mode": "lose_answers", "probability": 0.0}), Some(200), true);
}

/// Guards against an instance list that shows changes at once although a lag is set: tests of
/// outdated lists would then run with a current one.
#[test]
fn list_shows_a_change_after_the_lag() {
    with_platform(async |fleet, client| {
        let address = fleet.platform_address;
        let lag = json!({"instances": {"lag_ms": 400}});
        fleet
            .post_admin(address, "/admin/faults", &lag)
            .await
            .unwrap();
        let listed = async || {
            let answer = client.get(address, "/v1/instances").await.unwrap();
            let body: Value = answer.json().unwrap();
            body["instances"].as_array().unwrap().len()
        };
        let instance = json!({
            "instance": "t1", "role": "target", "availability_zone": "z", "region": "r",
            "service": "s", "group": null, "link_address": "127.0.0.1:1", "state": "live",
        });
        let empty = json!({"instances": []});
        let path = "/admin/instances";
        fleet
            .post_admin(address, path, &json!({"instances": [instance]}))
            .await
            .unwrap();
        fleet.post_admin(address, path, &empty).await.unwrap();
        assert_eq!(listed().await, 1);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(listed().await, 0);
    });
}

/// Guards against objects that are not stored byte for byte, and against uncounted object calls.
#[test]
fn objects_and_counts_are_kept() {
    with_platform(async |fleet, client| {
        let address = fleet.platform_address;
        let value = bytes::Bytes::from_static(b"\x00\xffanswer");
        let path = "/v1/objects/answer/1";
        client
            .call(hyper::Method::PUT, address, path, value.clone())
            .await
            .unwrap();
        assert_eq!(client.get(address, path).await.unwrap().body, value);
        let absent = client.get(address, "/v1/objects/answer/2").await.unwrap();
        assert_eq!(absent.status, 404);
        let counts = client.get(address, "/admin/counts").await.unwrap();
        let counts: Value = counts.json().unwrap();
        assert_eq!(
            (&counts["object_writes"], &counts["object_reads"]),
            (&json!(1), &json!(2))
        );
    });
}

//! Tests of guarantee P7: an accepted change is in force everywhere within 6 s and never reverts.

mod promise_support;

use {
    bytes::Bytes,
    hyper::Method,
    promise_support::{
        client, poll_revision, run, set_relay_mode, set_table_fault, start, two_zones, wait_until,
    },
    sassafrasslip_testkit::{
        faults::{TrackedEntry, tracked_entries},
        harness::{Fleet, ProcessSignal, readiness::wait_ready},
        http::ClientAnswer,
        platform::FaultMode,
        relay::RelayMode,
    },
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

const KEY: &str = "placement.horizon";
/// Time within which a change has to be in force.
const ACCEPTANCE_LIMIT: Duration = Duration::from_secs(6);
/// Longer than a configuration lease, which lasts 3 s.
const LEASE_EXPIRY: Duration = Duration::from_millis(3_500);

async fn put(entry: &TrackedEntry, body: Value) -> Option<ClientAnswer> {
    let path = format!("/v1/defaults/{KEY}");
    let body = Bytes::from(body.to_string());
    let answer = client()
        .call(Method::PUT, entry.operator_address, &path, body)
        .await;
    answer.ok()
}

fn change_body(id: &str, value: u64) -> Value {
    json!({"value": value.to_string(), "change_id": id, "operator": "tester", "reason": "test"})
}

/// Makes a change, checks that it is accepted in time, and returns its report.
async fn put_accepted(entry: &TrackedEntry, id: &str, value: u64) -> Value {
    let started = Instant::now();
    let answer = put(entry, change_body(id, value)).await.unwrap();
    let report: Value = answer.json().unwrap();
    assert_eq!(answer.status, 200, "{report}");
    assert_eq!(report["accepted"], true, "{report}");
    assert!(
        started.elapsed() < ACCEPTANCE_LIMIT,
        "{:?}",
        started.elapsed()
    );
    report
}

async fn read_value(entry: &TrackedEntry) -> Value {
    let answer = client().get(entry.operator_address, "/v1/defaults").await;
    let body: Value = answer.unwrap().json().unwrap();
    let defaults = body["defaults"].as_array().unwrap();
    let default = defaults.iter().find(|default| default["key"] == KEY);
    default.unwrap()["value"].clone()
}

async fn read_history(entry: &TrackedEntry) -> Vec<Value> {
    let path = "/v1/history?limit=1000";
    let answer = client().get(entry.operator_address, path).await;
    let body: Value = answer.unwrap().json().unwrap();
    body["changes"].as_array().unwrap().clone()
}

/// Guards against two successful changes from the same revision, and against a rejected change that
/// comes into force.
#[test]
fn race_of_two_operators_has_one_winner() {
    run(async {
        let fleet = start(two_zones(0)).await;
        let entries = tracked_entries(&fleet);
        let mut revision = 0;
        for round in 0..6 {
            let race = |side: usize| {
                let mut body = change_body(
                    &format!("race-{round}-{side}"),
                    100 + round * 10 + side as u64,
                );
                body["expected_revision"] = revision.into();
                put(&entries[side], body)
            };
            let (first, second) = tokio::join!(race(0), race(1));
            let answers = [first.unwrap(), second.unwrap()];
            let statuses = answers.each_ref().map(|answer| answer.status.as_u16());
            assert!(
                statuses == [200, 409] || statuses == [409, 200],
                "{statuses:?}"
            );
            let winner = &answers[usize::from(statuses[1] == 200)];
            let report: Value = winner.json().unwrap();
            revision = report["revision"].as_u64().unwrap();
            for entry in &entries {
                assert_eq!(
                    read_value(entry).await,
                    report["after"],
                    "at {}",
                    entry.name
                );
            }
        }
        assert_eq!(read_history(&entries[0]).await.len(), 6);
    });
}

/// Guards against a change that is committed twice, or reported at another revision, when its
/// answer was lost and the operator retries it through another entry.
#[test]
fn repeated_change_has_one_revision() {
    run(async {
        let fleet = start(two_zones(0)).await;
        let entries = tracked_entries(&fleet);
        set_table_fault(&fleet, FaultMode::LoseAnswers, 0.5).await;
        for number in 0..4 {
            let id = format!("lost-{number}");
            let mut revisions = Vec::new();
            for attempt in 0..3 {
                let answer = put(&entries[attempt % 2], change_body(&id, 200 + number))
                    .await
                    .unwrap();
                let body: Value = answer.json().unwrap();
                let report = [&body, &body["error"]["current"]];
                let revision = report.iter().find_map(|report| report["revision"].as_u64());
                revisions.extend(revision);
            }
            revisions.dedup();
            assert!(revisions.len() <= 1, "{id} at {revisions:?}");
        }
        set_table_fault(&fleet, FaultMode::Ok, 1.0).await;
        for number in 0..4 {
            let id = format!("lost-{number}");
            put_accepted(&entries[0], &id, 200 + number).await;
            let history = read_history(&entries[1]).await;
            let listed = history
                .iter()
                .filter(|change| change["change_id"] == id.as_str());
            assert_eq!(listed.count(), 1, "{id}");
        }
    });
}

/// Guards against a change that waits for the acknowledgement of an entry which is cut off, against
/// such an entry that claims to be up to date, and against its return to the old revision.
#[test]
fn zone_that_was_cut_off_catches_up_and_never_goes_back() {
    run(async {
        let fleet = start(two_zones(0)).await;
        let entries = tracked_entries(&fleet);
        let first = put_accepted(&entries[1], "before", 301).await;
        set_relay_mode(&fleet, "platform-qurum", RelayMode::BlackHole, 0).await;
        sleep(LEASE_EXPIRY).await;
        let report = put_accepted(&entries[0], "during", 302).await;
        assert_eq!(report["cut_off"], json!([entries[1].name]), "{report}");
        let seen = poll_revision(&entries[1]).await.unwrap();
        assert!(seen.cut_off, "{seen:?}");
        assert!(
            seen.revision >= first["revision"].as_u64().unwrap(),
            "{seen:?}"
        );
        set_relay_mode(&fleet, "platform-qurum", RelayMode::Pass, 0).await;
        watch_recovery(&entries[1], report["revision"].as_u64().unwrap()).await;
        assert_eq!(read_value(&entries[1]).await, report["after"]);
    });
}

/// Waits until an entry has a lease again. Checks that its revision never goes back, and is not
/// below the accepted one once it has a lease.
async fn watch_recovery(entry: &TrackedEntry, accepted: u64) {
    let end = Instant::now() + ACCEPTANCE_LIMIT;
    let mut highest = 0;
    loop {
        if let Some(seen) = poll_revision(entry).await {
            assert!(seen.revision >= highest, "{seen:?} after {highest}");
            assert!(seen.cut_off || seen.revision >= accepted, "{seen:?}");
            highest = seen.revision;
            if !seen.cut_off {
                return;
            }
        }
        assert!(Instant::now() < end, "no lease");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against an entry that was frozen for longer than its lease and then goes on using the
/// configuration that it held.
#[test]
fn entry_frozen_longer_than_its_lease_does_not_serve_the_old_revision() {
    run(async {
        let mut fleet = start(two_zones(0)).await;
        let entries = tracked_entries(&fleet);
        put_accepted(&entries[0], "before", 401).await;
        fleet.entries[1]
            .process
            .signal(ProcessSignal::Stop)
            .unwrap();
        let report = put_accepted(&entries[0], "during", 402).await;
        let revision = report["revision"].as_u64().unwrap();
        // The first request waits in the socket of the frozen entry, which answers it first when it
        // resumes.
        let frozen = entries[1].clone();
        let watch = tokio::spawn(async move { watch_recovery(&frozen, revision).await });
        sleep(Duration::from_millis(100)).await;
        fleet.entries[1]
            .process
            .signal(ProcessSignal::Continue)
            .unwrap();
        watch.await.unwrap();
        assert_eq!(read_value(&entries[1]).await, report["after"]);
    });
}

/// Guards against an entry that starts without a configuration while the table is down, although
/// its peers have one.
#[test]
fn entry_started_while_the_table_is_down_serves_by_its_peers_revision() {
    run(async {
        let mut fleet = start(two_zones(0)).await;
        let entries = tracked_entries(&fleet);
        let report = put_accepted(&entries[0], "before", 501).await;
        let revision = report["revision"].as_u64().unwrap();
        kill_and_restart(&mut fleet, async |fleet| {
            set_table_fault(fleet, FaultMode::Down, 1.0).await;
        })
        .await;
        let name = "revision of a peer";
        wait_until(name, async || {
            poll_revision(&entries[1])
                .await
                .is_some_and(|seen| seen.revision >= revision)
        })
        .await;
        let seen = poll_revision(&entries[1]).await.unwrap();
        assert!(seen.cut_off, "a lease without a table: {seen:?}");
        assert_eq!(read_value(&entries[1]).await, report["after"]);
        set_table_fault(&fleet, FaultMode::Ok, 1.0).await;
        watch_recovery(&entries[1], revision).await;
        let later = put_accepted(&entries[1], "after", 502).await;
        assert_eq!(read_value(&entries[0]).await, later["after"]);
    });
}

async fn kill_and_restart(fleet: &mut Fleet, meanwhile: impl AsyncFn(&Fleet)) {
    let process = &mut fleet.entries[1].process;
    process.signal(ProcessSignal::Kill).unwrap();
    process.wait_exit(Duration::from_secs(5)).await.unwrap();
    meanwhile(fleet).await;
    let metrics = fleet.entries[1].metrics_address;
    let process = &mut fleet.entries[1].process;
    process.restart().unwrap();
    wait_ready(process, metrics, "/healthz").await.unwrap();
}

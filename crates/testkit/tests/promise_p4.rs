//! Tests of guarantee P4: a non-idempotent call runs at most once, however often it is retried.

mod promise_support;

use {
    promise_support::{
        book, book_until_answered, count_runs, run, set_relay_mode, set_table_fault, start,
        two_zones, wait_until,
    },
    sassafrasslip_testkit::{
        harness::{Fleet, ProcessSignal},
        platform::FaultMode,
        relay::RelayMode,
    },
    std::time::Duration,
    tokio::{task::JoinSet, time::sleep},
};

async fn read_claim(fleet: &Fleet, key: &str) -> String {
    let path = format!("/v1/table/items/claim/orders/press/{key}");
    fleet.read(fleet.platform_address, &path).await.unwrap()
}

/// Starts a booking and freezes its agent when the start record is in the table but the answer to
/// the insert has not reached the agent. Returns the index of the agent.
async fn freeze_after_start_record(fleet: &mut Fleet, key: &str, deadline_ms: u64) -> usize {
    set_relay_mode(fleet, "platform-ruwi", RelayMode::Delay, 300).await;
    let entry = fleet.entries[0].caller_address;
    let name = key.to_owned();
    tokio::spawn(async move { book(entry, &name, &name, deadline_ms).await });
    wait_until("start record", async || {
        read_claim(fleet, key).await.contains("started")
    })
    .await;
    let agent = fleet.agent("ruwi-orders-1-agent").unwrap();
    let process = &mut fleet.agents[agent].process;
    process.signal(ProcessSignal::Stop).unwrap();
    set_relay_mode(fleet, "platform-ruwi", RelayMode::Pass, 0).await;
    agent
}

/// Guards against a second run by another agent while the holder of the claim is frozen, and
/// against a late run when the holder resumes after the deadline of the call.
#[test]
fn agent_frozen_before_the_hand_over_does_not_run_the_call_late() {
    run(async {
        let mut fleet = start(two_zones(0)).await;
        let agent = freeze_after_start_record(&mut fleet, "late", 2_000).await;
        let other = fleet.entries[1].caller_address;
        let repeat = book(other, "late", "late", 2_000).await.unwrap();
        assert!(repeat.is("unknown"), "{repeat:?}");
        sleep(Duration::from_millis(3_500)).await;
        let process = &mut fleet.agents[agent].process;
        process.signal(ProcessSignal::Continue).unwrap();
        sleep(Duration::from_secs(1)).await;
        assert_eq!(
            count_runs(&fleet, "late").await,
            0,
            "handed over after its deadline"
        );
        // A retry through the other zone has to be consistent with what the record says now.
        let repeat = book(other, "late", "late", 2_000).await.unwrap();
        let count = count_runs(&fleet, "late").await;
        assert_eq!(count, u64::from(repeat.is("answered")), "{repeat:?}");
    });
}

/// Guards against two runs: the frozen agent may still hand the call to its target, because the
/// deadline has not passed when it resumes.
#[test]
fn agent_frozen_before_the_hand_over_runs_the_call_at_most_once() {
    run(async {
        let mut fleet = start(two_zones(0)).await;
        let agent = freeze_after_start_record(&mut fleet, "once", 30_000).await;
        let other = fleet.entries[1].caller_address;
        for _ in 0..3 {
            let repeat = book(other, "once", "once", 1_000).await.unwrap();
            assert!(repeat.is("unknown"), "{repeat:?}");
            sleep(Duration::from_millis(300)).await;
        }
        let process = &mut fleet.agents[agent].process;
        process.signal(ProcessSignal::Continue).unwrap();
        sleep(Duration::from_secs(1)).await;
        let _ = book(other, "once", "once", 2_000).await;
        assert!(count_runs(&fleet, "once").await <= 1);
    });
}

/// Guards against two claims of one key when both zones receive it at the same time.
#[test]
fn same_key_through_two_zones_runs_once() {
    run(async {
        let fleet = start(two_zones(30)).await;
        let mut calls = JoinSet::new();
        for number in 0..20 {
            for entry in &fleet.entries {
                let (entry, key) = (entry.caller_address, format!("both-{number}"));
                calls.spawn(async move { book(entry, &key, &key, 3_000).await });
            }
        }
        for answer in calls.join_all().await {
            let answer = answer.unwrap();
            assert!(answer.is("answered") || answer.is("unknown"), "{answer:?}");
        }
        for number in 0..20 {
            let key = format!("both-{number}");
            let first = book_until_answered(fleet.entries[0].caller_address, &key, &key).await;
            let second = book_until_answered(fleet.entries[1].caller_address, &key, &key).await;
            assert_eq!(first.body, second.body, "two answers for {key}");
            assert_eq!(count_runs(&fleet, &key).await, 1, "runs of {key}");
        }
    });
}

/// Guards against the answer to another order when a key is reused with a different body.
#[test]
fn key_with_another_body_is_refused() {
    run(async {
        let fleet = start(two_zones(0)).await;
        book_until_answered(fleet.entries[0].caller_address, "one", "reused").await;
        let other = fleet.entries[1].caller_address;
        let answer = book(other, "two", "reused", 2_000).await.unwrap();
        assert_eq!(answer.status, 422);
        assert!(answer.is("not-run"), "{answer:?}");
        assert_eq!(
            (
                count_runs(&fleet, "one").await,
                count_runs(&fleet, "two").await
            ),
            (1, 0)
        );
    });
}

/// Guards against a second run, or a run after a refusal, when the table executes requests but its
/// answers are lost.
#[test]
fn lost_table_answers_do_not_double_a_run() {
    run(async {
        let fleet = start(two_zones(0)).await;
        set_table_fault(&fleet, FaultMode::LoseAnswers, 0.5).await;
        let mut calls = JoinSet::new();
        for number in 0..40 {
            let entries = [0, 1].map(|entry| fleet.entries[entry].caller_address);
            calls.spawn(async move {
                let key = format!("lost-{number}");
                let first = book(entries[number % 2], &key, &key, 3_000).await.unwrap();
                (key, first, entries[(number + 1) % 2])
            });
        }
        let calls = calls.join_all().await;
        for (key, first, _) in calls.iter().filter(|(_, first, _)| first.is("not-run")) {
            assert_eq!(count_runs(&fleet, key).await, 0, "{first:?}");
        }
        set_table_fault(&fleet, FaultMode::Ok, 1.0).await;
        for (key, first, other) in calls {
            book_until_answered(other, &key, &key).await;
            assert_eq!(count_runs(&fleet, &key).await, 1, "first {first:?}");
        }
    });
}

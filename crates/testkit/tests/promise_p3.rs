//! Tests of guarantee P3: a request that was refused as `not-run` did not run and does not run
//! later.

mod promise_support;

use {
    promise_support::{
        admitted, book, book_until_answered, count_runs, look_up, run, set_relay_mode,
        set_table_fault, start, two_zones, wait_until,
    },
    sassafrasslip_testkit::{harness::Fleet, platform::FaultMode, relay::RelayMode},
    std::time::Duration,
    tokio::{task::JoinSet, time::sleep},
};

const RUWI_AGENT: &str = "ruwi-orders-1-agent";
const QURUM_AGENT: &str = "qurum-orders-1-agent";

/// Guards against bookings that run without a start record while the table is down, and against
/// idempotent calls that fail because of the outage.
#[test]
fn table_down_refuses_bookings_only() {
    run(async {
        let fleet = start(two_zones(0)).await;
        set_table_fault(&fleet, FaultMode::Down, 1.0).await;
        let entry = fleet.entries[0].caller_address;
        for number in 0..5 {
            let order = format!("down-{number}");
            let answer = book(entry, &order, &order, 2_000).await.unwrap();
            assert!(answer.is("not-run"), "{answer:?}");
            assert_eq!(answer.status, 503);
        }
        assert_eq!(look_up(entry, 1).await, "answered");
        set_table_fault(&fleet, FaultMode::Ok, 1.0).await;
        for number in 0..5 {
            let order = format!("down-{number}");
            assert_eq!(count_runs(&fleet, &order).await, 0);
            book_until_answered(entry, &order, &order).await;
            assert_eq!(count_runs(&fleet, &order).await, 1);
        }
    });
}

/// Guards against a dispatch that the network holds, that is refused as not-run in the meantime,
/// and that runs when it arrives at the agent after all.
#[test]
fn held_dispatch_does_not_run_after_its_refusal() {
    run(async {
        let fleet = start(two_zones(0)).await;
        let entry = fleet.entries[0].caller_address;
        for agent in [RUWI_AGENT, QURUM_AGENT] {
            set_relay_mode(&fleet, agent, RelayMode::BlackHole, 0).await;
        }
        // The entry closes the silent link after 3 s, long before this deadline.
        let answer = book(entry, "held", "held", 10_000).await.unwrap();
        assert!(answer.is("not-run"), "{answer:?}");
        for agent in [RUWI_AGENT, QURUM_AGENT] {
            set_relay_mode(&fleet, agent, RelayMode::Pass, 0).await;
        }
        sleep(Duration::from_millis(700)).await;
        assert_eq!(count_runs(&fleet, "held").await, 0);
        book_until_answered(fleet.entries[1].caller_address, "held", "held").await;
        assert_eq!(count_runs(&fleet, "held").await, 1);
    });
}

/// Guards against a refusal as not-run when the call has been handed to the target and only its
/// reply is lost.
#[test]
fn lost_reply_is_not_a_refusal() {
    run(async {
        let fleet = start(two_zones(800)).await;
        let entry = fleet.entries[0].caller_address;
        let call = tokio::spawn(async move { book(entry, "reply", "reply", 10_000).await });
        wait_until("start record", async || has_record(&fleet, "reply").await).await;
        for agent in [RUWI_AGENT, QURUM_AGENT] {
            set_relay_mode(&fleet, agent, RelayMode::Refuse, 0).await;
        }
        // The outcome is unknown, or the entry has read the answer from the record.
        let answer = call.await.unwrap().unwrap();
        assert!(!answer.is("not-run"), "{answer:?}");
        wait_until("run", async || count_runs(&fleet, "reply").await == 1).await;
        for agent in [RUWI_AGENT, QURUM_AGENT] {
            set_relay_mode(&fleet, agent, RelayMode::Pass, 0).await;
        }
        book_until_answered(fleet.entries[1].caller_address, "reply", "reply").await;
        assert_eq!(count_runs(&fleet, "reply").await, 1);
    });
}

/// Guards against a tombstone that is stored under another table key than the start record. This
/// can happen for keys that the entry generates and for keys of callers with characters that the
/// table key escapes.
#[test]
fn lost_reply_is_not_a_refusal_for_any_form_of_key() {
    run(async {
        let fleet = start(two_zones(1_000)).await;
        let entry = fleet.entries[0].caller_address;
        let keys = ["", "with:colon", "with.dot", "with-dash"];
        let mut calls = JoinSet::new();
        for (number, key) in keys.into_iter().enumerate() {
            calls.spawn(async move { book(entry, &format!("form-{number}"), key, 10_000).await });
        }
        wait_until("calls at the agents", async || {
            let mut calls = 0;
            for agent in [RUWI_AGENT, QURUM_AGENT] {
                calls += admitted(&fleet, agent).await.unwrap_or(0);
            }
            calls == keys.len() as u64
        })
        .await;
        // Enough time for the start record to be stored; the run itself takes longer.
        sleep(Duration::from_millis(300)).await;
        for agent in [RUWI_AGENT, QURUM_AGENT] {
            set_relay_mode(&fleet, agent, RelayMode::Refuse, 0).await;
        }
        for answer in calls.join_all().await {
            let answer = answer.unwrap();
            assert!(!answer.is("not-run"), "{answer:?}");
        }
        for number in 0..keys.len() {
            let order = format!("form-{number}");
            wait_until("run", async || count_runs(&fleet, &order).await == 1).await;
        }
    });
}

async fn has_record(fleet: &Fleet, key: &str) -> bool {
    let path = format!("/v1/table/items/claim/orders/press/{key}");
    let item = fleet.read(fleet.platform_address, &path).await.unwrap();
    item.contains("started")
}

//! Guards the configuration actor of an entry: its lease, concurrent changes, lost answers of the
//! table, and the rule that a change is accepted only once it is in force at every live entry.

mod configuration_support;

use {
    configuration_support::{
        TestEntry, set_attempts, set_default, start_entries,
        table::{MemoryTable, TableClient, TableFault},
    },
    kameo::error::SendError,
    sassafrasslip_core::configuration::{
        ChangeRefusal, ChangeRequest, ConfigurationSnapshot, LeaseRecord, report::ChangeReport,
    },
    sassafrasslip_daemon::{
        entry::configuration::{ChangeError, ReadHistory},
        platform::{TableService, TableTransaction, TableWrite},
    },
    std::{
        result,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

type Result = result::Result<ChangeReport, ChangeError>;

/// Executes a change at one entry and waits for its result.
async fn execute(entry: &TestEntry, request: ChangeRequest) -> Result {
    entry.actor.ask(request).await.map_err(|error| match error {
        SendError::HandlerError(error) => error,
        other => panic!("{other}"),
    })
}

#[tokio::test(start_paused = true)]
async fn accepted_change_is_in_force_at_every_entry() {
    let table = MemoryTable::new();
    let entries = start_entries(&table, 3).await;
    let started = Instant::now();
    let report = execute(&entries[0], set_attempts("c1", "2")).await.unwrap();
    assert!(report.accepted && !report.repeated);
    assert!(started.elapsed() < Duration::from_secs(6));
    for entry in &entries {
        assert_eq!(entry.revision(), report.revision);
        let published = entry.fleet.published.load(Ordering::SeqCst);
        assert_eq!(
            published, report.revision,
            "accepted before this entry published it"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn concurrent_changes_of_one_item_have_one_winner() {
    let table = MemoryTable::new();
    let entries = start_entries(&table, 2).await;
    let (left, right) = tokio::join!(
        execute(&entries[0], set_attempts("left", "2")),
        execute(&entries[1], set_attempts("right", "4")),
    );
    let (winner, loser) = if left.is_ok() {
        (left, right)
    } else {
        (right, left)
    };
    let after = winner.unwrap().after;
    match loser.unwrap_err() {
        ChangeError::Refused(ChangeRefusal::Conflict { current, .. }) => {
            assert_eq!(
                current, after,
                "the conflict does not show the value of the winner"
            );
        }
        other => panic!("{other}"),
    }
}

#[tokio::test(start_paused = true)]
async fn concurrent_changes_of_two_items_both_succeed() {
    let table = MemoryTable::new();
    let entries = start_entries(&table, 2).await;
    let (left, right) = tokio::join!(
        execute(&entries[0], set_attempts("left", "2")),
        execute(&entries[1], set_default("retry.budget", "right", "5")),
    );
    let (left, right) = (left.unwrap(), right.unwrap());
    assert_ne!(left.revision, right.revision);
    assert_eq!(table.keys("config/change/").len(), 2);
}

#[tokio::test(start_paused = true)]
async fn expected_revision_is_compared() {
    let table = MemoryTable::new();
    let entries = start_entries(&table, 1).await;
    execute(&entries[0], set_attempts("c1", "2")).await.unwrap();
    let mut stale = set_attempts("c2", "4");
    stale.expected_revision = Some(0);
    let error = execute(&entries[0], stale).await.unwrap_err();
    let conflict = ChangeError::Refused(ChangeRefusal::Conflict {
        item: "default/retry.attempts".to_owned(),
        revision: 1,
        current: "2 attempts".into(),
    });
    assert_eq!(error.to_string(), conflict.to_string());
}

#[tokio::test(start_paused = true)]
async fn lost_answer_is_read_back() {
    let table = MemoryTable::new();
    let entries = start_entries(&table, 1).await;
    entries[0].table_client.set_fault(TableFault::LoseOneAnswer);
    let report = execute(&entries[0], set_attempts("c1", "2")).await.unwrap();
    assert!(report.accepted && !report.repeated);
    assert_eq!(
        table.keys("config/change/").len(),
        1,
        "the change was committed twice"
    );
}

#[tokio::test(start_paused = true)]
async fn repeated_change_id_returns_the_first_result() {
    let table = MemoryTable::new();
    let entries = start_entries(&table, 2).await;
    let first = execute(&entries[0], set_attempts("c1", "2")).await.unwrap();
    execute(&entries[0], set_attempts("c2", "5")).await.unwrap();
    let second = execute(&entries[1], set_attempts("c1", "2")).await.unwrap();
    assert!(second.repeated);
    assert_eq!(
        (second.revision, &second.after),
        (first.revision, &first.after)
    );
    let history = entries[0]
        .actor
        .ask(ReadHistory { limit: 1 })
        .await
        .unwrap();
    assert_eq!(history.len(), 1);
    assert_eq!(
        (history[0].revision, &history[0].change_id.as_str()),
        (2, &"c2")
    );
    let error = execute(&entries[0], set_attempts("c1", "9"))
        .await
        .unwrap_err();
    let reused = matches!(
        error,
        ChangeError::Refused(ChangeRefusal::ChangeIdReused { .. })
    );
    assert!(reused, "{error}");
}

#[tokio::test(start_paused = true)]
async fn lease_lapses_on_time_while_a_call_hangs() {
    let table = MemoryTable::new();
    let mut entry = start_entries(&table, 1).await.remove(0);
    sleep(Duration::from_millis(2_500)).await;
    entry.table_client.set_fault(TableFault::Hang);
    let hang_start = Instant::now();
    entry.wait_for(|view| !view.lease_live).await;
    assert!(hang_start.elapsed() <= Duration::from_secs(3));
    entry.table_client.set_fault(TableFault::None);
    entry.wait_for(|view| view.lease_live).await;
}

#[tokio::test(start_paused = true)]
async fn cut_off_entry_is_named_and_catches_up_before_its_next_lease() {
    let table = MemoryTable::new();
    let mut entries = start_entries(&table, 3).await;
    entries[2].table_client.set_fault(TableFault::Hang);
    let report = execute(&entries[0], set_attempts("c1", "2")).await.unwrap();
    assert_eq!(report.cut_off, ["entry-3".parse().unwrap()]);
    assert!(
        !entries[2].is_live(),
        "accepted while entry-3 held its lease"
    );
    assert_eq!(entries[2].revision(), 0);
    entries[2].table_client.set_fault(TableFault::None);
    entries[2].wait_for(|view| view.lease_live).await;
    assert_eq!(entries[2].revision(), report.revision);
}

#[tokio::test(start_paused = true)]
async fn entry_that_cannot_publish_keeps_a_change_unconfirmed() {
    let table = MemoryTable::new();
    let entries = start_entries(&table, 2).await;
    entries[1].fleet.hangs.store(true, Ordering::SeqCst);
    match execute(&entries[0], set_attempts("c1", "2"))
        .await
        .unwrap_err()
    {
        ChangeError::NotConfirmed(report) => {
            assert_eq!(report.pending, ["entry-2".parse().unwrap()]);
        }
        other => panic!("{other}"),
    }
}

#[tokio::test(start_paused = true)]
async fn late_renewal_does_not_revive_a_lapsed_lease() {
    let table = MemoryTable::new();
    let mut entries = start_entries(&table, 2).await;
    let delay = TableFault::DelayWrites(Duration::from_secs(4));
    entries[1].table_client.set_fault(delay);
    entries[1].wait_for(|view| !view.lease_live).await;
    let report = execute(&entries[0], set_attempts("c1", "2")).await.unwrap();
    assert!(!entries[1].is_live() || entries[1].revision() >= report.revision);
    entries[1].table_client.set_fault(TableFault::None);
    entries[1].wait_for(|view| view.lease_live).await;
    assert_eq!(entries[1].revision(), report.revision);
}

#[tokio::test(start_paused = true)]
async fn change_is_refused_while_the_table_is_down() {
    let table = MemoryTable::new();
    let entries = start_entries(&table, 1).await;
    entries[0].table_client.set_fault(TableFault::Down);
    let error = execute(&entries[0], set_attempts("c1", "2"))
        .await
        .unwrap_err();
    let refused = matches!(
        error,
        ChangeError::TableUnavailable {
            may_have_taken_effect: false,
            ..
        }
    );
    assert!(refused, "{error}");
}

fn snapshot(revision: u64) -> ConfigurationSnapshot {
    ConfigurationSnapshot {
        revision,
        ..ConfigurationSnapshot::default()
    }
}

#[tokio::test(start_paused = true)]
async fn entry_without_the_table_takes_a_snapshot_from_a_peer() {
    let table = MemoryTable::new();
    let table_client = Arc::new(TableClient::new(&table));
    table_client.set_fault(TableFault::Hang);
    let mut entry = TestEntry::start_on(table_client, "entry-1", 1);
    entry.peer_snapshots.send(snapshot(7)).await.unwrap();
    entry.wait_for(|view| view.revision() == 7).await;
    entry.peer_snapshots.send(snapshot(6)).await.unwrap();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(
        entry.revision(),
        7,
        "an older revision of a peer was applied"
    );
    assert!(!entry.is_live(), "live without access to the table");
}

#[tokio::test(start_paused = true)]
async fn older_head_of_the_table_does_not_revert_the_view() {
    let table = MemoryTable::new();
    let mut entry = TestEntry::start(&table, "entry-1", 1);
    entry.wait_for(|view| view.lease_live).await;
    entry.table_client.set_fault(TableFault::Down);
    entry.wait_for(|view| !view.lease_live).await;
    entry.peer_snapshots.send(snapshot(7)).await.unwrap();
    entry.wait_for(|view| view.revision() == 7).await;
    entry.table_client.set_fault(TableFault::None);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(entry.revision(), 7);
    assert!(!entry.is_live(), "live at a revision that is not the head");
}

#[tokio::test(start_paused = true)]
async fn graceful_stop_releases_the_lease() {
    let table = MemoryTable::new();
    let entry = start_entries(&table, 1).await.remove(0);
    assert!(table.value("config/lease/entry-1").is_some());
    entry.actor.stop_gracefully().await.unwrap();
    entry.actor.wait_for_shutdown().await;
    assert_eq!(table.value("config/lease/entry-1"), None);
    assert!(!entry.is_live());
}

#[tokio::test(start_paused = true)]
async fn next_incarnation_waits_for_the_end_of_the_lease() {
    let table = MemoryTable::new();
    let first = start_entries(&table, 1).await.remove(0);
    first.table_client.set_fault(TableFault::Hang);
    let mut second = TestEntry::start(&table, "entry-1", 99);
    second.wait_for(|view| view.lease_live).await;
    assert!(!first.is_live(), "two incarnations held the lease at once");
    first.table_client.set_fault(TableFault::None);
    sleep(Duration::from_secs(5)).await;
    assert!(second.is_live() && !first.is_live());
}

#[tokio::test(start_paused = true)]
async fn lease_that_expired_a_day_ago_is_deleted() {
    let table = MemoryTable::new();
    let entries = start_entries(&table, 1).await;
    let day = 24 * 60 * 60 * 1_000;
    for (instance, expires_ms) in [("gone", 5_000), ("cut-off", table.time_ms() - day / 2)] {
        let record = LeaseRecord {
            incarnation: 9,
            applied_revision: 0,
            expires_ms,
        };
        let write = TableWrite {
            key: format!("config/lease/{instance}"),
            value: serde_json::to_string(&record).ok(),
        };
        let transaction = TableTransaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        entries[0].table_client.transact(transaction).await.unwrap();
    }
    let report = execute(&entries[0], set_attempts("c1", "2")).await.unwrap();
    assert_eq!(report.cut_off, ["cut-off".parse().unwrap()]);
    let leases = table.keys("config/lease/");
    assert_eq!(leases, ["config/lease/cut-off", "config/lease/entry-1"]);
}

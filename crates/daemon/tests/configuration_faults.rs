//! Guards against a change that is accepted before it is in force at every live entry, and against
//! an entry that returns to an older revision, under random faults of the table and of
//! publications.

mod configuration_support;

use {
    configuration_support::{
        TestEntry, set_default, start_entries,
        table::{MemoryTable, TableFault},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    sassafrasslip_testkit::test_cases,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

const STEPS: usize = 400;
const ENTRIES: usize = 4;

fn random_fault(rng: &mut StdRng) -> TableFault {
    match rng.random_range(0..7) {
        0 => TableFault::Down,
        1 => TableFault::Hang,
        2 => TableFault::LoseOneAnswer,
        3 => TableFault::DelayWrites(Duration::from_millis(rng.random_range(0..2_000))),
        _ => TableFault::None,
    }
}

/// Injects random faults into all entries but the first.
async fn inject_faults(entries: &[TestEntry], mut rng: StdRng) {
    for _ in 0..STEPS {
        let entry = &entries[rng.random_range(1..entries.len())];
        entry.table_client.set_fault(random_fault(&mut rng));
        let hangs = rng.random_bool(0.1);
        entry.fleet.hangs.store(hangs, Ordering::SeqCst);
        sleep(Duration::from_millis(rng.random_range(0..2_500))).await;
    }
}

/// Makes random changes, and records the highest accepted revision and the number of accepted
/// changes.
async fn change_defaults(
    entries: &[TestEntry],
    accepted_revision: &AtomicU64,
    accepted_changes: &AtomicU64,
    mut rng: StdRng,
) {
    for step in 0.. {
        // Entry 0 has no faults, so most changes go there and many of them are accepted.
        let fault_free = rng.random_bool(0.8);
        let entry = &entries[if fault_free {
            0
        } else {
            rng.random_range(0..ENTRIES)
        }];
        let value = rng.random_range(1..10).to_string();
        let request = set_default("retry.attempts", &format!("c{step}"), &value);
        let answer = entry.actor.ask(request).await;
        if let Ok(report) = answer {
            accepted_revision.fetch_max(report.revision, Ordering::SeqCst);
            accepted_changes.fetch_add(1, Ordering::SeqCst);
        }
        sleep(Duration::from_millis(rng.random_range(0..400))).await;
    }
}

/// Checks the revision of each entry every 7 ms; panics if it decreases, or if it is below the
/// accepted one while the entry is live.
async fn watch_views(entries: &[TestEntry], accepted_revision: &AtomicU64) {
    let mut highest = vec![0; entries.len()];
    loop {
        for (entry, highest) in entries.iter().zip(&mut highest) {
            let view = entry.view.borrow().clone();
            let (revision, accepted) = (view.revision(), accepted_revision.load(Ordering::SeqCst));
            assert!(revision >= *highest, "{revision} after {highest}");
            *highest = revision;
            let is_current = !view.lease_live || revision >= accepted;
            assert!(is_current, "live at {revision}, accepted {accepted}");
        }
        sleep(Duration::from_millis(7)).await;
    }
}

fn check_faults(seed: u64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let entries = start_entries(&MemoryTable::new(), ENTRIES as u64).await;
        let (accepted_revision, accepted_changes) = (AtomicU64::new(0), AtomicU64::new(0));
        let rng = || StdRng::seed_from_u64(seed);
        tokio::select! {
            () = inject_faults(&entries, rng()) => {}
            () = change_defaults(&entries, &accepted_revision, &accepted_changes, rng()) => {}
            () = watch_views(&entries, &accepted_revision) => {}
        }
        let accepted_changes = accepted_changes.load(Ordering::SeqCst);
        assert!(
            accepted_changes >= 10,
            "only {accepted_changes} changes were accepted"
        );
    });
}

test_cases! {
    fn check_faults(seed: u64);
    first_seed: (41);
    second_seed: (42);
    third_seed: (43);
}

//! Guards acceptance under random faults: an accepted change is in force at every live entry, and
//! no entry goes back to an older revision.

mod configuration_support;

use {
    configuration_support::{
        TestEntry, set, start_entries,
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

fn random_fault(random: &mut StdRng) -> TableFault {
    match random.random_range(0..7) {
        0 => TableFault::Down,
        1 => TableFault::Hang,
        2 => TableFault::LoseOneAnswer,
        3 => TableFault::DelayWrites(Duration::from_millis(random.random_range(0..2_000))),
        _ => TableFault::None,
    }
}

async fn inject_faults(entries: &[TestEntry], mut random: StdRng) {
    for _ in 0..STEPS {
        let entry = &entries[random.random_range(1..entries.len())];
        entry.link.set_fault(random_fault(&mut random));
        let hangs = random.random_bool(0.1);
        entry.fleet.hangs.store(hangs, Ordering::SeqCst);
        sleep(Duration::from_millis(random.random_range(0..2_500))).await;
    }
}

async fn change_defaults(
    entries: &[TestEntry],
    accepted: &AtomicU64,
    successes: &AtomicU64,
    mut random: StdRng,
) {
    for step in 0.. {
        // Entry 0 has no faults; most changes go there, so that many are accepted.
        let usual = random.random_bool(0.8);
        let entry = &entries[if usual {
            0
        } else {
            random.random_range(0..ENTRIES)
        }];
        let value = random.random_range(1..10).to_string();
        let request = set("retry.attempts", &format!("c{step}"), &value);
        let answer = entry.actor.ask(request).await;
        if let Ok(report) = answer {
            accepted.fetch_max(report.revision, Ordering::SeqCst);
            successes.fetch_add(1, Ordering::SeqCst);
        }
        sleep(Duration::from_millis(random.random_range(0..400))).await;
    }
}

async fn watch_views(entries: &[TestEntry], accepted: &AtomicU64) {
    let mut highest = vec![0; entries.len()];
    loop {
        for (entry, highest) in entries.iter().zip(&mut highest) {
            let view = entry.view.borrow().clone();
            let (revision, accepted) = (view.revision(), accepted.load(Ordering::SeqCst));
            assert!(revision >= *highest, "{revision} after {highest}");
            *highest = revision;
            let covered = !view.lease_live || revision >= accepted;
            assert!(covered, "live at {revision}, accepted {accepted}");
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
        let (accepted, successes) = (AtomicU64::new(0), AtomicU64::new(0));
        let random = || StdRng::seed_from_u64(seed);
        tokio::select! {
            () = inject_faults(&entries, random()) => {}
            () = change_defaults(&entries, &accepted, &successes, random()) => {}
            () = watch_views(&entries, &accepted) => {}
        }
        let successes = successes.load(Ordering::SeqCst);
        assert!(successes >= 10, "only {successes} changes were accepted");
    });
}

test_cases! {
    fn check_faults(seed: u64);
    first_seed: (41);
    second_seed: (42);
    third_seed: (43);
}

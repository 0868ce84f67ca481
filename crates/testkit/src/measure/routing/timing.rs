//! Time that the router takes for one decision.

use {
    super::chooser::{EntryChooser, PolicyName},
    crate::measure::table,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{hint::black_box, time::Instant},
};

const DECISIONS: usize = 20_000;
const TARGETS: [usize; 3] = [21, 168, 670];
/// Exclusive upper bound of the requests in flight that the targets report.
const IN_FLIGHT_BOUND: usize = 20;

/// Measures decisions about requests with a prompt prefix, and returns the table of their times by
/// the number of targets.
pub fn table() -> String {
    let rows = TARGETS.map(|targets| {
        let mut nanoseconds = measure_decisions(targets);
        nanoseconds.sort_unstable();
        let quantile =
            |share: f64| nanoseconds[(nanoseconds.len() as f64 * share) as usize] as f64 / 1_000.0;
        vec![
            targets.to_string(),
            format!("{:.1}", quantile(0.5)),
            format!("{:.1}", quantile(0.99)),
        ]
    });
    table::render(&["targets of one model", "p50 us", "p99 us"], &rows)
}

fn measure_decisions(targets: usize) -> Vec<u64> {
    let mut generator = ChaCha8Rng::seed_from_u64(1);
    let mut entry = EntryChooser::new(PolicyName::Router, targets);
    for target in 0..targets {
        let in_flight = generator.random_range(0..IN_FLIGHT_BOUND);
        entry.report(target, in_flight, Vec::new(), 30_000);
    }
    let decisions = (0..DECISIONS).map(|number| {
        let prefix = (number % 200) as u64;
        let started = Instant::now();
        let target = entry.choose(black_box(prefix), &mut generator);
        let elapsed = started.elapsed();
        entry.complete(target, None);
        elapsed.as_nanos() as u64
    });
    decisions.collect()
}

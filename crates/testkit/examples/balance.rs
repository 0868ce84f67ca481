//! Compares the expert placement policy with baselines by simulation; see `docs/BALANCE.md`.

use {
    clap::{Parser, ValueEnum},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    sassafrasslip_core::placement::{PlacementInput, PlacementPolicy, decide_placement, place_all},
    sassafrasslip_testkit::balance::{
        BalanceFigures, Deployment, PlacementVariant, RoutingVariant, Scenario,
        deployment::{DEPLOYMENTS, TARGET_GROUP},
        measure,
        measure::BalanceRun,
        peak_memory_kib,
        popularity::KindPopularity,
        print_table,
    },
    std::{
        sync::{
            Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// What to measure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Part {
    /// Placement policies in all scenarios.
    Placement,
    /// Routing policies, with the default placement policy.
    Routing,
    /// Settings of the placement policy.
    Variants,
    /// Time and peak memory of one placement at the target size.
    Memory,
}

/// Compares placement policies by simulation.
#[derive(Debug, Parser)]
struct Arguments {
    /// What to measure.
    #[arg(long, value_enum, default_value = "placement")]
    part: Part,
    /// Number of seeds.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Simulated length of each run, in seconds.
    #[arg(long, default_value_t = 1_800)]
    seconds: usize,
    /// Number of threads that run simulations.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// Measure only the deployment whose name contains this.
    #[arg(long, default_value = "")]
    deployment: String,
    /// Measure only the scenario whose name contains this.
    #[arg(long, default_value = "")]
    scenario: String,
}

/// One row of a table: a policy and its runs, one for each seed.
#[derive(Clone, Debug)]
struct Row {
    name: String,
    runs: Vec<BalanceRun>,
}

fn main() {
    let arguments = Arguments::parse();
    if arguments.part == Part::Memory {
        measure_memory();
        return;
    }
    let is_selected = |deployment: &&Deployment| deployment.name.contains(&arguments.deployment);
    for deployment in DEPLOYMENTS.iter().filter(is_selected) {
        let scenarios = Scenario::ALL.into_iter();
        for scenario in scenarios.filter(|scenario| scenario.name().contains(&arguments.scenario)) {
            let rows = rows(&arguments, deployment, scenario);
            if rows.is_empty() {
                continue;
            }
            let results = run_rows(&rows, arguments.threads);
            let names = rows.into_iter().map(|row| row.name);
            let table: Vec<_> = names.zip(results).collect();
            print_table(&format!("{}: {}", deployment.name, scenario.name()), &table);
        }
    }
}

fn rows(arguments: &Arguments, deployment: &Deployment, scenario: Scenario) -> Vec<Row> {
    let core_default = PlacementVariant::CORE_DEFAULT;
    let least_in_flight = RoutingVariant::LeastInFlight;
    let policies: Vec<(String, PlacementVariant, RoutingVariant)> = match arguments.part {
        Part::Routing if deployment.groups == 1 => Vec::new(),
        Part::Routing => {
            let routing = RoutingVariant::ALL.into_iter();
            routing
                .map(|routing| (routing.name().to_owned(), core_default, routing))
                .collect()
        }
        Part::Variants => {
            let variants = variants().into_iter();
            variants
                .map(|variant| (variant.name().to_owned(), variant, least_in_flight))
                .collect()
        }
        Part::Memory | Part::Placement => {
            let all = [
                core_default,
                PlacementVariant::Static,
                PlacementVariant::EveryInterval,
            ];
            let policies = all.into_iter();
            policies
                .map(|policy| (policy.name().to_owned(), policy, least_in_flight))
                .collect()
        }
    };
    let row = |(name, placement, routing): (String, PlacementVariant, RoutingVariant)| {
        let run = |seed| BalanceRun {
            deployment: *deployment,
            scenario,
            placement,
            routing,
            seed,
            seconds: arguments.seconds,
        };
        Row {
            name,
            runs: (1..=arguments.seeds).map(run).collect(),
        }
    };
    policies.into_iter().map(row).collect()
}

fn variants() -> Vec<PlacementVariant> {
    vec![
        PlacementVariant::CORE_DEFAULT,
        PlacementVariant::cost_benefit("hysteresis 5%", 0.05, 600, 10),
        PlacementVariant::cost_benefit("hysteresis 2%", 0.02, 600, 10),
        PlacementVariant::cost_benefit("no hysteresis", 0.0, 600, 10),
        PlacementVariant::cost_benefit("half-life 30 s", 0.10, 600, 30),
        PlacementVariant::cost_benefit("half-life 120 s", 0.10, 600, 120),
        PlacementVariant::cost_benefit("horizon 120 s", 0.10, 120, 10),
        PlacementVariant::cost_benefit("horizon 1800 s", 0.10, 1_800, 10),
    ]
}

/// Runs the simulations of all rows on a number of threads, and returns the results by row.
fn run_rows(rows: &[Row], threads: usize) -> Vec<Vec<BalanceFigures>> {
    let jobs: Vec<(usize, usize)> = rows
        .iter()
        .enumerate()
        .flat_map(|(row, Row { runs, .. })| (0..runs.len()).map(move |run| (row, run)))
        .collect();
    let empty = rows
        .iter()
        .map(|row| vec![BalanceFigures::default(); row.runs.len()]);
    let results = Mutex::new(empty.collect::<Vec<_>>());
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((row, run)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let figures = measure(&rows[*row].runs[*run]);
                    if let Ok(mut results) = results.lock() {
                        results[*row][*run] = figures;
                    }
                }
            });
        }
    });
    results.into_inner().unwrap_or_default()
}

/// Measures the placement of all experts of the target group, and a placement decision after a
/// complete change of the request mix.
fn measure_memory() {
    let start_memory = peak_memory_kib().unwrap_or_default();
    let shape = &TARGET_GROUP.shape;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let popularity = KindPopularity::draw(shape, 2, &mut random);
    let before = popularity.counts(&[2_000.0, 0.0], 0.0);
    let after = popularity.counts(&[0.0, 2_000.0], 0.0);
    let weights = vec![1.0; shape.ranks];
    let started = Instant::now();
    let Ok(map) = place_all(shape, &before, &weights, 1) else {
        println!("the experts do not fit");
        return;
    };
    let placing_time = started.elapsed();
    let policy = PlacementPolicy {
        enabled: true,
        skew_weight: 0.5,
        horizon: Duration::from_secs(600),
        hysteresis: 0.1,
        sources: Vec::new(),
    };
    let input = PlacementInput {
        shape,
        map: &map,
        counts: &after,
        weights: &weights,
    };
    let started = Instant::now();
    let decision = decide_placement(&input, &policy);
    let decision_time = started.elapsed();
    let peak = peak_memory_kib().unwrap_or_default();
    println!("placement of all experts: {placing_time:?}");
    println!("decision ({}): {decision_time:?}", decision.verdict);
    println!("peak resident set size: {peak} KiB, of which {start_memory} KiB at the start");
}

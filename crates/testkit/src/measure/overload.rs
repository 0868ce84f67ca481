//! Goodput, refusals and fairness of a small fleet under overload, with the default limits and,
//! as a baseline, with limits far above the load.

pub mod fair_share;
pub mod fleet;
pub mod metrics;
pub mod step;

use {
    self::step::StepFigures,
    super::{machine, table},
    crate::harness::Result,
    clap::{Parser, ValueEnum},
    fleet::LimitMode,
    std::time::Duration,
    tokio::time::sleep,
};

/// Load of each step, as a multiple of the capacity.
const STEPS: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 3.0];
/// Pause after each step, in which the queues drain.
const PAUSE: Duration = Duration::from_secs(3);

/// Limits of the fleet to measure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum OverloadPart {
    /// Limits far above the load.
    Baseline,
    /// Default limits.
    Limits,
}

/// Measures a small fleet under overload.
#[derive(Clone, Copy, Debug, Parser)]
pub struct OverloadArguments {
    /// Duration of the arrivals of each step, in seconds; the first quarter is warm-up.
    #[arg(long, default_value_t = 8.0)]
    pub seconds: f64,
    /// Measure only the fleet with these limits.
    #[arg(long, value_enum)]
    pub part: Option<OverloadPart>,
    /// Capacity in calls a second; measured in a closed loop if absent.
    #[arg(long)]
    pub capacity: Option<f64>,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Measures all load steps and prints a table for each fleet.
///
/// # Errors
///
/// Fails if a fleet does not start or its metrics cannot be read.
pub async fn run(mut arguments: OverloadArguments) -> Result<()> {
    println!("{}", machine::describe());
    let parts = [
        (OverloadPart::Limits, LimitMode::System),
        (OverloadPart::Baseline, LimitMode::Raised),
    ];
    for (part, mode) in parts {
        if arguments.part.is_none_or(|wanted| wanted == part) {
            let capacity = measure(arguments, mode).await?;
            // The second fleet gets the same load as the first, for comparison.
            arguments.capacity = Some(capacity);
        }
    }
    Ok(())
}

async fn measure(arguments: OverloadArguments, mode: LimitMode) -> Result<f64> {
    let fleet = fleet::start(mode).await?;
    let capacity = match arguments.capacity {
        Some(capacity) => capacity,
        None => step::measure_capacity(&fleet, arguments.seed).await?,
    };
    let mut steps = Vec::new();
    for factor in STEPS {
        let figures = step::measure(&fleet, &arguments, factor, capacity).await?;
        steps.push(figures);
        sleep(PAUSE).await;
    }
    println!("\n{mode}, capacity {capacity:.1} calls/s\n");
    println!("{}", render(&steps));
    Ok(capacity)
}

fn render(steps: &[StepFigures]) -> String {
    let peak = steps.iter().map(|step| step.goodput).fold(0.0, f64::max);
    let rows: Vec<_> = steps.iter().map(|step| step.row(peak)).collect();
    table::render(&StepFigures::HEADER, &rows)
}

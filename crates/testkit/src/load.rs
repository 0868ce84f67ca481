//! Load generator: sends requests, checks every answer, and compares the bookings that it sent with
//! the runs that the service stand-ins counted.

pub mod answer;
pub mod arguments;
pub mod attempt;
pub mod audit;
pub mod plan;
pub mod summary;
pub mod worker;

pub use {
    arguments::{LoadArguments, OutputForm},
    summary::LoadSummary,
};

use {
    crate::http::HttpClient,
    plan::CallPlanner,
    std::{sync::Arc, time::Duration},
    summary::LoadRecorder,
    tokio::time::Instant,
    worker::CallWorker,
};

/// Runs the load, compares the bookings with the counts of the service stand-ins, and returns the
/// result.
pub async fn run(arguments: LoadArguments) -> LoadSummary {
    let arguments = Arc::new(arguments);
    let client = HttpClient::new(Duration::from_millis(arguments.timeout_ms));
    let recorder = Arc::new(LoadRecorder::new(
        Duration::from_secs_f64(arguments.warm_up),
        Duration::from_secs_f64(arguments.duration),
    ));
    let worker = Arc::new(CallWorker {
        arguments: Arc::clone(&arguments),
        client: client.clone(),
        recorder: Arc::clone(&recorder),
    });
    let started = Instant::now();
    let planner = CallPlanner::new(Arc::clone(&arguments));
    match arguments.rate {
        Some(rate) => worker::run_open(&worker, planner, rate).await,
        None => worker::run_closed(&worker, planner).await,
    }
    let elapsed = started.elapsed();
    audit::check_bookings(&arguments, &client, &recorder).await;
    recorder.summarize(elapsed)
}

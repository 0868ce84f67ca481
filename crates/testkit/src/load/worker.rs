//! Callers of the load generator: closed and open loops, and the retries of one call.

use {
    super::{
        arguments::LoadArguments,
        attempt::{AttemptOutcome, attempt},
        plan::{CallPlanner, PlannedCall},
        summary::{CallOutcome, LoadRecorder},
    },
    crate::http::HttpClient,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// Pause before a retry after the connection broke or no answer arrived.
const BROKEN_CONNECTION_PAUSE: Duration = Duration::from_millis(100);
/// Largest number of calls of an open loop in flight, which bounds the memory of the load
/// generator.
const MAX_CALLS_IN_FLIGHT: usize = 20_000;

/// Performs calls, retries them and records their outcomes.
#[derive(Debug)]
pub struct CallWorker {
    /// Arguments of the run.
    pub arguments: Arc<LoadArguments>,
    /// HTTP client that all calls share.
    pub client: HttpClient,
    /// Recorder of the outcomes of all calls.
    pub recorder: Arc<LoadRecorder>,
}

impl CallWorker {
    /// Performs a call with its retries and records its final outcome.
    pub async fn perform(&self, call: PlannedCall) {
        let mut may_have_run = false;
        let mut number = 0;
        loop {
            let started = Instant::now();
            let outcome = attempt(&self.arguments, &self.client, &call, number).await;
            let elapsed = started.elapsed();
            number += 1;
            let pause = (number < self.arguments.attempts)
                .then(|| retry_pause(&call, &outcome))
                .flatten();
            if let Some(pause) = pause {
                may_have_run |= !matches!(outcome, AttemptOutcome::NotRun(_));
                self.recorder.count_retry();
                sleep(pause).await;
                continue;
            }
            let outcome = final_outcome(outcome, may_have_run);
            self.recorder.record(&call, outcome, elapsed);
            return;
        }
    }
}

/// Returns the pause before a call is retried; `None` if it must not be, because it has ended or
/// may have run and is not repeatable.
fn retry_pause(call: &PlannedCall, outcome: &AttemptOutcome) -> Option<Duration> {
    match outcome {
        AttemptOutcome::NotRun(pause) => Some(*pause),
        AttemptOutcome::Unknown(pause) if call.is_repeatable() => Some(*pause),
        AttemptOutcome::Cut | AttemptOutcome::NoAnswer(_) if call.is_repeatable() => {
            Some(BROKEN_CONNECTION_PAUSE)
        }
        _ => None,
    }
}

/// Returns the outcome of a call from that of its last attempt. `may_have_run` says whether an
/// earlier attempt may have run; if so, a refusal of the last attempt leaves the outcome unknown.
fn final_outcome(outcome: AttemptOutcome, may_have_run: bool) -> CallOutcome {
    match outcome {
        AttemptOutcome::Answered(times) => CallOutcome::Answered(times),
        AttemptOutcome::Cut => CallOutcome::Cut,
        AttemptOutcome::NoAnswer(fault) => CallOutcome::Lost(fault),
        AttemptOutcome::NotRun(_) if may_have_run => CallOutcome::Unknown,
        AttemptOutcome::NotRun(_) => CallOutcome::NotRun,
        AttemptOutcome::Unknown(_) => CallOutcome::Unknown,
        AttemptOutcome::Wrong(fault) => CallOutcome::Wrong(fault),
    }
}

/// Runs a closed loop: keeps a fixed number of calls in flight, each caller starting its next call
/// when the last one has ended, until the time is over or all calls are sent.
pub async fn run_closed(worker: &Arc<CallWorker>, planner: CallPlanner) {
    let end = Instant::now() + Duration::from_secs_f64(worker.arguments.duration);
    let planner = Arc::new(Mutex::new(planner));
    let mut callers = JoinSet::new();
    for _ in 0..worker.arguments.concurrency {
        let (worker, planner) = (Arc::clone(worker), Arc::clone(&planner));
        callers.spawn(async move {
            while Instant::now() < end {
                let call = planner
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .next();
                let Some(call) = call else {
                    return;
                };
                worker.perform(call).await;
            }
        });
    }
    callers.join_all().await;
}

/// Runs an open loop: starts calls at random times, `rate` per second on average, whether earlier
/// ones are done or not, until the time is over or all calls are sent.
pub async fn run_open(worker: &Arc<CallWorker>, mut planner: CallPlanner, rate: f64) {
    let end = Instant::now() + Duration::from_secs_f64(worker.arguments.duration);
    let mut due = Instant::now();
    let mut callers = JoinSet::new();
    while due < end {
        let Some(call) = planner.next() else {
            break;
        };
        sleep_until(due).await;
        let worker = Arc::clone(worker);
        callers.spawn(async move { worker.perform(call).await });
        while callers.try_join_next().is_some() || callers.len() >= MAX_CALLS_IN_FLIGHT {
            if callers.len() >= MAX_CALLS_IN_FLIGHT {
                callers.join_next().await;
            }
        }
        due += planner.next_gap(rate);
    }
    callers.join_all().await;
}

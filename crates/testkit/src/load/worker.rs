//! Callers: closed and open loops, and the repeats of one caller.

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

/// Pause before a call is repeated after its connection broke.
const BROKEN_PAUSE: Duration = Duration::from_millis(100);
/// Most calls of an open loop that are in flight; a bound on the tool's own memory.
const MAX_OPEN_CALLS: usize = 20_000;

/// Performs calls with their repeats.
#[derive(Debug)]
pub struct CallWorker {
    /// Arguments.
    pub arguments: Arc<LoadArguments>,
    /// Client.
    pub client: HttpClient,
    /// Receiver of the outcomes.
    pub recorder: Arc<LoadRecorder>,
}

impl CallWorker {
    /// Performs a call and records its outcome.
    pub async fn perform(&self, call: PlannedCall) {
        let mut unsettled = false;
        let mut number = 0;
        loop {
            let started = Instant::now();
            let outcome = attempt(&self.arguments, &self.client, &call, number).await;
            let elapsed = started.elapsed();
            number += 1;
            let pause = (number < self.arguments.attempts)
                .then(|| repeat_pause(&call, &outcome))
                .flatten();
            if let Some(pause) = pause {
                unsettled |= !matches!(outcome, AttemptOutcome::NotRun(_));
                self.recorder.count_retry();
                sleep(pause).await;
                continue;
            }
            let outcome = settle(outcome, unsettled);
            self.recorder.record(&call, outcome, elapsed);
            return;
        }
    }
}

/// Returns the pause before a call is repeated; `None` if it must not be.
fn repeat_pause(call: &PlannedCall, outcome: &AttemptOutcome) -> Option<Duration> {
    match outcome {
        AttemptOutcome::NotRun(pause) => Some(*pause),
        AttemptOutcome::Unknown(pause) if call.is_repeatable() => Some(*pause),
        AttemptOutcome::Cut | AttemptOutcome::NoAnswer(_) if call.is_repeatable() => {
            Some(BROKEN_PAUSE)
        }
        _ => None,
    }
}

/// Settles a call. A refusal of the last attempt says nothing about an earlier one that may have
/// run.
fn settle(outcome: AttemptOutcome, unsettled: bool) -> CallOutcome {
    match outcome {
        AttemptOutcome::Answered(times) => CallOutcome::Answered(times),
        AttemptOutcome::Cut => CallOutcome::Cut,
        AttemptOutcome::NoAnswer(fault) => CallOutcome::Lost(fault),
        AttemptOutcome::NotRun(_) if unsettled => CallOutcome::Unknown,
        AttemptOutcome::NotRun(_) => CallOutcome::NotRun,
        AttemptOutcome::Unknown(_) => CallOutcome::Unknown,
        AttemptOutcome::Wrong(fault) => CallOutcome::Wrong(fault),
    }
}

/// Keeps a number of calls in flight.
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

/// Starts calls at random times, whether earlier ones are done or not.
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
        while callers.try_join_next().is_some() || callers.len() >= MAX_OPEN_CALLS {
            if callers.len() >= MAX_OPEN_CALLS {
                callers.join_next().await;
            }
        }
        due += planner.next_gap(rate);
    }
    callers.join_all().await;
}

//! Callers that send the load tool's calls through the balancer and classify each outcome.

use {
    super::{balancer::ReadyEntries, disturbances::DisturbanceLog, totals::FaultTotals},
    crate::{
        http::HttpClient,
        load::{
            LoadArguments,
            attempt::{AttemptOutcome, attempt},
            plan::{CallBody, CallPlanner, PlannedCall},
            summary::BookingEnd,
        },
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Attempts of a caller for one call.
const MAX_ATTEMPTS: u32 = 4;
/// Longest pause before a repeat.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Pause before a repeat after a broken connection.
const BROKEN_PAUSE: Duration = Duration::from_millis(100);
/// Pause of a caller between two calls, which bounds the number of calls while all are refused.
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// Booking and its final outcome.
#[derive(Clone, Debug)]
pub struct BookedCall {
    /// Call.
    pub call: PlannedCall,
    /// How it ended.
    pub end: BookingEnd,
    /// Attempts with their entries, starts and outcomes, for the report of a violation.
    pub attempts: Vec<String>,
}

/// What all callers share.
#[derive(Debug)]
pub struct CallerContext {
    /// Arguments of the load tool.
    pub arguments: Arc<LoadArguments>,
    /// Client.
    pub client: HttpClient,
    /// Balancer.
    pub balancer: Arc<ReadyEntries>,
    /// Unplanned faults.
    pub disturbances: Arc<DisturbanceLog>,
    /// Draws the calls.
    pub planner: Mutex<CallPlanner>,
    /// Totals.
    pub totals: Mutex<FaultTotals>,
    /// Bookings.
    pub bookings: Mutex<Vec<BookedCall>>,
    /// Start of the round.
    pub begun: Instant,
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends calls until `end`.
pub async fn run_caller(context: Arc<CallerContext>, seed: u64, end: Instant) {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    while Instant::now() < end {
        let Some(call) = lock(&context.planner).next() else {
            return;
        };
        perform(&context, &mut generator, call).await;
        sleep(CALL_PAUSE).await;
    }
}

/// Call with the state of its repeats.
struct CallProgress {
    call: PlannedCall,
    /// Whether an earlier attempt may have run.
    unsettled: bool,
    /// Whether an earlier attempt broke because of an unplanned fault.
    broken: bool,
    attempts: Vec<String>,
}

async fn perform(context: &CallerContext, generator: &mut ChaCha8Rng, call: PlannedCall) {
    let mut progress = CallProgress {
        call,
        unsettled: false,
        broken: false,
        attempts: Vec::new(),
    };
    let mut zone: Option<String> = None;
    for number in 1..=MAX_ATTEMPTS {
        let position = context.balancer.pick(generator, zone.as_deref());
        let entry = context.balancer.entry(position);
        zone = Some(entry.availability_zone.clone());
        progress.call.entry = position;
        let started = Instant::now();
        let outcome = attempt(&context.arguments, &context.client, &progress.call, 0).await;
        let at = started.duration_since(context.begun).as_secs_f64();
        let attempt = format!("at {at:.3} s through {}: {outcome:?}", entry.name);
        progress.attempts.push(attempt);
        if is_interruption(&outcome) && !is_explained(context, &progress.call, &entry.name, started)
        {
            let text = format!("{outcome:?} at {} of {:?}", entry.name, progress.call);
            lock(&context.totals).add_cut(text);
            record(context, progress, AttemptOutcome::Unknown(BROKEN_PAUSE));
            return;
        }
        match repeat_pause(&progress.call, &outcome) {
            Some(pause) if number < MAX_ATTEMPTS => {
                progress.unsettled |= !matches!(outcome, AttemptOutcome::NotRun(_));
                progress.broken |= is_interruption(&outcome);
                sleep(pause.min(MAX_PAUSE)).await;
            }
            _ => {
                record(context, progress, outcome);
                return;
            }
        }
    }
}

fn is_interruption(outcome: &AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Cut | AttemptOutcome::NoAnswer(_))
}

/// Returns whether an unplanned fault of the entry or of a target explains an interruption.
fn is_explained(
    context: &CallerContext,
    call: &PlannedCall,
    entry: &str,
    started: Instant,
) -> bool {
    let explains = |scope| context.disturbances.explains(scope, started);
    explains(entry) || explains(&call.service)
}

fn repeat_pause(call: &PlannedCall, outcome: &AttemptOutcome) -> Option<Duration> {
    let may_repeat = call.is_repeatable();
    match outcome {
        AttemptOutcome::NotRun(pause) => Some(*pause),
        AttemptOutcome::Unknown(pause) if may_repeat => Some(*pause),
        AttemptOutcome::Cut | AttemptOutcome::NoAnswer(_) if may_repeat => Some(BROKEN_PAUSE),
        _ => None,
    }
}

/// Records the final outcome. A refusal says nothing about an earlier attempt that may have run.
fn record(context: &CallerContext, progress: CallProgress, outcome: AttemptOutcome) {
    let CallProgress {
        call,
        unsettled,
        broken,
        attempts,
    } = progress;
    let mut totals = lock(&context.totals);
    totals.requests += 1;
    let end = match outcome {
        AttemptOutcome::Answered(_) => {
            totals.answered += 1;
            BookingEnd::Answered
        }
        AttemptOutcome::NotRun(_) if !unsettled => {
            totals.not_run += 1;
            BookingEnd::NotRun
        }
        AttemptOutcome::Wrong(fault) => {
            totals.add_wrong(format!("{fault} for {call:?}"));
            BookingEnd::Open
        }
        _ => {
            totals.unknown += 1;
            totals.broken += u64::from(broken || is_interruption(&outcome));
            BookingEnd::Open
        }
    };
    drop(totals);
    if matches!(call.body, CallBody::Book { .. }) {
        lock(&context.bookings).push(BookedCall {
            call,
            end,
            attempts,
        });
    }
}

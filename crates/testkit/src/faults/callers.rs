//! Callers that send calls through the balancer, retry them and classify their outcomes.

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

/// Most attempts for one call, the first included.
const MAX_ATTEMPTS: u32 = 4;
/// Longest pause before a retry; limits the pause that a refusal asks for.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Pause before a retry after a connection was interrupted.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Pause of a caller between two calls, which limits the call rate while all calls are refused.
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// Booking and its final outcome, for the audit.
#[derive(Clone, Debug)]
pub struct BookedCall {
    /// The booking that was sent.
    pub call: PlannedCall,
    /// Final outcome of the booking.
    pub end: BookingEnd,
    /// Start time, entry and outcome of each attempt, for the report of a violation.
    pub attempts: Vec<String>,
}

/// State that all callers of a round share.
#[derive(Debug)]
pub struct CallerContext {
    /// Arguments of the load tool, which define the calls.
    pub arguments: Arc<LoadArguments>,
    /// HTTP client of all callers.
    pub client: HttpClient,
    /// Balancer that chooses the entry of each attempt.
    pub balancer: Arc<ReadyEntries>,
    /// Time windows in which unplanned faults may interrupt calls.
    pub disturbances: Arc<DisturbanceLog>,
    /// Generates the calls.
    pub planner: Mutex<CallPlanner>,
    /// Outcome counts of all calls.
    pub totals: Mutex<FaultTotals>,
    /// Finished bookings, for the audit.
    pub bookings: Mutex<Vec<BookedCall>>,
    /// Start of the round, to which the times of attempts are relative.
    pub round_start: Instant,
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends one call after the other until `end`, or until the planner has none left.
pub async fn run_caller(context: Arc<CallerContext>, seed: u64, end: Instant) {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    while Instant::now() < end {
        let Some(call) = lock(&context.planner).next() else {
            return;
        };
        run_call(&context, &mut generator, call).await;
        sleep(CALL_PAUSE).await;
    }
}

/// Call and the state of its retries.
struct CallProgress {
    call: PlannedCall,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    /// Whether an unplanned fault interrupted an earlier attempt.
    interrupted: bool,
    attempts: Vec<String>,
}

async fn run_call(context: &CallerContext, generator: &mut ChaCha8Rng, call: PlannedCall) {
    let mut progress = CallProgress {
        call,
        may_have_run: false,
        interrupted: false,
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
        let at = started.duration_since(context.round_start).as_secs_f64();
        let attempt = format!("at {at:.3} s through {}: {outcome:?}", entry.name);
        progress.attempts.push(attempt);
        if is_interruption(&outcome) && !is_explained(context, &progress.call, &entry.name, started)
        {
            let text = format!("{outcome:?} at {} of {:?}", entry.name, progress.call);
            lock(&context.totals).add_cut(text);
            record_outcome(context, progress, AttemptOutcome::Unknown(RECONNECT_PAUSE));
            return;
        }
        match retry_pause(&progress.call, &outcome) {
            Some(pause) if number < MAX_ATTEMPTS => {
                progress.may_have_run |= !matches!(outcome, AttemptOutcome::NotRun(_));
                progress.interrupted |= is_interruption(&outcome);
                sleep(pause.min(MAX_RETRY_PAUSE)).await;
            }
            _ => {
                record_outcome(context, progress, outcome);
                return;
            }
        }
    }
}

fn is_interruption(outcome: &AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Cut | AttemptOutcome::NoAnswer(_))
}

/// Returns whether an unplanned fault of the entry, or of a target of the service, may have
/// interrupted the call.
fn is_explained(
    context: &CallerContext,
    call: &PlannedCall,
    entry: &str,
    started: Instant,
) -> bool {
    let explains = |scope| context.disturbances.explains(scope, started);
    explains(entry) || explains(&call.service)
}

fn retry_pause(call: &PlannedCall, outcome: &AttemptOutcome) -> Option<Duration> {
    let may_retry = call.is_repeatable();
    match outcome {
        AttemptOutcome::NotRun(pause) => Some(*pause),
        AttemptOutcome::Unknown(pause) if may_retry => Some(*pause),
        AttemptOutcome::Cut | AttemptOutcome::NoAnswer(_) if may_retry => Some(RECONNECT_PAUSE),
        _ => None,
    }
}

/// Counts the final outcome. A refusal counts as not-run only if no earlier attempt may have run,
/// because it tells nothing about earlier attempts.
fn record_outcome(context: &CallerContext, progress: CallProgress, outcome: AttemptOutcome) {
    let CallProgress {
        call,
        may_have_run,
        interrupted,
        attempts,
    } = progress;
    let mut totals = lock(&context.totals);
    totals.requests += 1;
    let end = match outcome {
        AttemptOutcome::Answered(_) => {
            totals.answered += 1;
            BookingEnd::Answered
        }
        AttemptOutcome::NotRun(_) if !may_have_run => {
            totals.not_run += 1;
            BookingEnd::NotRun
        }
        AttemptOutcome::Wrong(fault) => {
            totals.add_wrong(format!("{fault} for {call:?}"));
            BookingEnd::Open
        }
        _ => {
            totals.unknown += 1;
            totals.broken += u64::from(interrupted || is_interruption(&outcome));
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

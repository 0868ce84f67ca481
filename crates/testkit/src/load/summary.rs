//! Counts and latencies of a run of the load generator.

use {
    super::{answer::TokenTimes, plan::PlannedCall},
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fmt,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Number of significant decimal digits that the histograms keep.
const HISTOGRAM_DIGITS: u8 = 3;
/// Longest time that a histogram records, in microseconds: ten minutes. Longer times count as this.
const MAX_RECORDED_US: u64 = 600_000_000;
/// Number of faults whose description is kept.
const MAX_KEPT_FAULTS: usize = 10;

/// Final outcome of a call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The answer was complete and correct.
    Answered(TokenTimes),
    /// The call was refused before it ran.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The connection broke within the body of the answer.
    Cut,
    /// The answer was malformed or not the one that the call asked for, for this reason.
    Wrong(String),
    /// Neither an answer nor a refusal arrived, for this reason.
    Lost(String),
}

/// Outcome of a booking, as the comparison with the counted runs needs it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BookingEnd {
    /// The booking was answered, so that it must have run.
    Answered,
    /// The booking was refused before it ran, so that it must not have run.
    NotRun,
    /// The booking ended in any other way, and may or may not have run.
    Open,
}

/// Number of calls of one team.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamCounts {
    /// Number of calls.
    pub requests: u64,
    /// Number of calls with a complete and correct answer.
    pub answered: u64,
}

/// Percentiles of recorded times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of recorded times.
    pub count: u64,
    /// Median of the times.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest time.
    pub max: f64,
}

/// Result of a run of the load generator.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadSummary {
    /// Number of calls; retries do not count.
    pub requests: u64,
    /// Number of calls with a complete and correct answer.
    pub answered: u64,
    /// Number of calls that were refused before they ran.
    #[serde(rename = "not-run")]
    pub not_run: u64,
    /// Number of calls whose outcome is unknown, because they may have run.
    pub unknown: u64,
    /// Number of calls with a wrong answer, or refused as not run although they ran.
    pub wrong: u64,
    /// Number of calls without an answer or refusal, and of answered bookings that did not run.
    pub lost: u64,
    /// Number of bookings that ran more than once.
    pub doubled: u64,
    /// Number of calls whose connection broke within the body of the answer.
    pub cut: u64,
    /// Number of retries by callers.
    pub retries: u64,
    /// Number of tokens of the answered generations that were streamed.
    pub tokens: u64,
    /// Duration of the run, in seconds.
    pub elapsed_s: f64,
    /// Answered calls per second over the whole run.
    pub goodput: f64,
    /// Answered calls per second between the end of the warm-up and the end of the arrivals.
    /// Answers to the calls that are still in flight after that do not count; they would distort
    /// the rate.
    #[serde(default)]
    pub steady_goodput: f64,
    /// Latencies of the last attempts of answered calls.
    pub latency_ms: Percentiles,
    /// Times from the start of an attempt to its first token.
    pub first_token_ms: Percentiles,
    /// Times between successive tokens.
    pub between_tokens_ms: Percentiles,
    /// Times from the start of an attempt to a refusal as not run.
    pub refusal_ms: Percentiles,
    /// Number of calls of each team, by its name.
    pub teams: BTreeMap<String, TeamCounts>,
    /// Descriptions of the first wrong or lost calls and doubled bookings, ten at most.
    pub faults: Vec<String>,
}

impl LoadSummary {
    /// Returns whether no call was wrong or lost, and no booking ran more than once.
    pub fn is_clean(&self) -> bool {
        self.wrong == 0 && self.lost == 0 && self.doubled == 0
    }
}

#[derive(Debug)]
struct RecorderState {
    steady_start: Instant,
    steady_end: Instant,
    steady_answers: u64,
    summary: LoadSummary,
    bookings: Vec<(String, BookingEnd)>,
    latency: Histogram<u64>,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    refusal: Histogram<u64>,
}

/// Collects the outcomes of the calls of all callers.
#[derive(Debug)]
pub struct LoadRecorder {
    state: Mutex<RecorderState>,
}

impl Default for LoadRecorder {
    fn default() -> Self {
        Self::new(Duration::ZERO, Duration::ZERO)
    }
}

impl LoadRecorder {
    /// Creates a recorder for a run that starts now. `warm_up` is the time that the steady goodput
    /// leaves out, and `arrivals` the time in which calls arrive, both from the start of the run.
    pub fn new(warm_up: Duration, arrivals: Duration) -> Self {
        let now = Instant::now();
        let histogram = || {
            let histogram = Histogram::new_with_max(MAX_RECORDED_US, HISTOGRAM_DIGITS);
            histogram.expect("the bounds are valid")
        };
        let state = RecorderState {
            steady_start: now + warm_up,
            steady_end: now + arrivals,
            steady_answers: 0,
            summary: LoadSummary::default(),
            bookings: Vec::new(),
            latency: histogram(),
            first_token: histogram(),
            between_tokens: histogram(),
            refusal: histogram(),
        };
        Self {
            state: Mutex::new(state),
        }
    }
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(duration.as_micros().try_into().unwrap_or(u64::MAX));
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let milliseconds = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        count: histogram.len(),
        p50: milliseconds(0.5),
        p95: milliseconds(0.95),
        p99: milliseconds(0.99),
        max: milliseconds(1.0),
    }
}

impl LoadRecorder {
    fn state(&self) -> MutexGuard<'_, RecorderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a retry by a caller.
    pub fn count_retry(&self) {
        self.state().summary.retries += 1;
    }

    /// Records the outcome of a call; `elapsed` is the duration of its last attempt.
    pub fn record(&self, call: &PlannedCall, outcome: CallOutcome, elapsed: Duration) {
        let mut state = self.state();
        state.record_booking(call, &outcome);
        let team = state.summary.teams.entry(call.team.clone()).or_default();
        team.requests += 1;
        team.answered += u64::from(matches!(outcome, CallOutcome::Answered(_)));
        state.summary.requests += 1;
        match outcome {
            CallOutcome::Answered(times) => state.record_answer(&times, elapsed),
            CallOutcome::Cut => state.summary.cut += 1,
            CallOutcome::Lost(fault) => state.count_lost(format!("{}: {fault}", call.service)),
            CallOutcome::NotRun => {
                state.summary.not_run += 1;
                record(&mut state.refusal, elapsed);
            }
            CallOutcome::Unknown => state.summary.unknown += 1,
            CallOutcome::Wrong(fault) => state.count_wrong(format!("{}: {fault}", call.service)),
        }
    }

    /// Compares the recorded bookings with the number of runs of each order, and corrects the
    /// counts where they contradict it. Each booking is compared only once.
    pub fn check_bookings(&self, runs: &BTreeMap<String, u64>) {
        let mut state = self.state();
        for (order, end) in std::mem::take(&mut state.bookings) {
            let count = runs.get(&order).copied().unwrap_or(0);
            if count > 1 {
                state.summary.doubled += 1;
                state.keep_fault(format!("order {order} ran {count} times"));
            }
            match (end, count) {
                (BookingEnd::Answered, 0) => {
                    state.summary.answered -= 1;
                    state.count_lost(format!("order {order} was answered and did not run"));
                }
                (BookingEnd::NotRun, 1..) => {
                    state.summary.not_run -= 1;
                    state.count_wrong(format!("order {order} was refused as not-run and ran"));
                }
                _ => {}
            }
        }
    }

    /// Counts a fault that belongs to no single call as wrong.
    pub fn add_wrong(&self, fault: String) {
        self.state().count_wrong(fault);
    }

    /// Returns the result of a run that took `elapsed`.
    pub fn summarize(&self, elapsed: Duration) -> LoadSummary {
        let state = self.state();
        let elapsed_s = elapsed.as_secs_f64();
        let steady_end = state.steady_end.min(Instant::now());
        let steady = steady_end.saturating_duration_since(state.steady_start);
        LoadSummary {
            elapsed_s,
            goodput: state.summary.answered as f64 / elapsed_s,
            steady_goodput: state.steady_answers as f64 / steady.as_secs_f64().max(1e-9),
            latency_ms: percentiles(&state.latency),
            first_token_ms: percentiles(&state.first_token),
            between_tokens_ms: percentiles(&state.between_tokens),
            refusal_ms: percentiles(&state.refusal),
            ..state.summary.clone()
        }
    }
}

impl RecorderState {
    fn record_booking(&mut self, call: &PlannedCall, outcome: &CallOutcome) {
        let Some(order) = call.order() else {
            return;
        };
        let end = match outcome {
            CallOutcome::Answered(_) => BookingEnd::Answered,
            CallOutcome::NotRun => BookingEnd::NotRun,
            _ => BookingEnd::Open,
        };
        self.bookings.push((order.to_owned(), end));
    }

    fn record_answer(&mut self, times: &TokenTimes, elapsed: Duration) {
        self.summary.answered += 1;
        let now = Instant::now();
        self.steady_answers += u64::from(now >= self.steady_start && now < self.steady_end);
        self.summary.tokens += times.tokens;
        record(&mut self.latency, elapsed);
        if let Some(first) = times.first {
            record(&mut self.first_token, first);
        }
        for gap in &times.gaps {
            record(&mut self.between_tokens, *gap);
        }
    }

    fn count_lost(&mut self, fault: String) {
        self.summary.lost += 1;
        self.keep_fault(fault);
    }

    fn count_wrong(&mut self, fault: String) {
        self.summary.wrong += 1;
        self.keep_fault(fault);
    }

    fn keep_fault(&mut self, fault: String) {
        if self.summary.faults.len() < MAX_KEPT_FAULTS {
            self.summary.faults.push(fault);
        }
    }
}

impl fmt::Display for Percentiles {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            count,
            p50,
            p95,
            p99,
            max,
        } = self;
        write!(
            formatter,
            "p50 {p50:.1} ms, p95 {p95:.1} ms, p99 {p99:.1} ms, max {max:.1} ms ({count})"
        )
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "requests {}, answered {}, not-run {}, unknown {}, wrong {}, lost {}, doubled {}, cut {}",
            self.requests,
            self.answered,
            self.not_run,
            self.unknown,
            self.wrong,
            self.lost,
            self.doubled,
            self.cut
        )?;
        writeln!(
            formatter,
            "retries {}, tokens {}, {:.1} s, goodput {:.1}/s",
            self.retries, self.tokens, self.elapsed_s, self.goodput
        )?;
        writeln!(formatter, "latency: {}", self.latency_ms)?;
        writeln!(formatter, "first token: {}", self.first_token_ms)?;
        writeln!(formatter, "between tokens: {}", self.between_tokens_ms)?;
        write!(formatter, "refusals: {}", self.refusal_ms)?;
        for fault in &self.faults {
            write!(formatter, "\nfault: {fault}")?;
        }
        Ok(())
    }
}

//! Retry budget of one service at this gateway, which is its part of the retries that all gateways
//! may send.

use {
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Share of the retry budget that is used. The rest is a reserve for the time after a gateway
/// starts or stops, while not every gateway knows their number yet, and for what a process has used
/// after its last report.
const SAFETY_SHARE: f64 = 0.8;

/// Number of equal intervals of a window in which [`RetryUsage`] counts.
pub const USAGE_INTERVALS: u32 = 10;

/// Use of a retry budget within the window that ends now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryStatus {
    /// Retries that were taken from the budget.
    pub used: usize,
    /// Number of retries up to which the budget grants more.
    pub allowed: f64,
}

impl RetryStatus {
    /// Returns whether the budget grants another retry.
    pub fn has_left(&self) -> bool {
        self.used as f64 + 1.0 <= self.allowed
    }
}

/// What a gateway has counted for the retry budget of a service within a window, in
/// [`USAGE_INTERVALS`] intervals, the latest first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RetryUsage {
    /// First attempts of requests.
    pub first_tries: Vec<u32>,
    /// Retries.
    pub retries: Vec<u32>,
}

impl RetryUsage {
    /// Adds what another process has counted.
    pub fn add(&mut self, other: &Self) {
        add_counts(&mut self.first_tries, &other.first_tries);
        add_counts(&mut self.retries, &other.retries);
    }
}

fn add_counts(counts: &mut Vec<u32>, others: &[u32]) {
    counts.resize(counts.len().max(others.len()), 0);
    for (count, other) in counts.iter_mut().zip(others) {
        *count = count.saturating_add(*other);
    }
}

/// Attempts that count until a time.
#[derive(Clone, Copy, Debug)]
struct CountedAttempts {
    count: u32,
    until: Instant,
}

/// Attempts of one kind in a sliding window.
#[derive(Debug, Default)]
struct AttemptWindow {
    /// Times of the attempts of this process.
    own: VecDeque<Instant>,
    /// Attempts of the previous process of this gateway.
    inherited: Vec<CountedAttempts>,
}

impl AttemptWindow {
    fn is_empty(&self) -> bool {
        self.own.is_empty() && self.inherited.is_empty()
    }

    fn total(&self) -> usize {
        let inherited = self.inherited.iter();
        let inherited = inherited.map(|attempts| attempts.count as usize);
        self.own.len() + inherited.sum::<usize>()
    }

    fn drop_expired(&mut self, window: Duration, now: Instant) {
        while self.own.front().is_some_and(|time| *time + window < now) {
            self.own.pop_front();
        }
        self.inherited.retain(|attempts| now <= attempts.until);
    }

    /// Replaces the attempts of the previous process by those that it had counted at `as_of`. They
    /// expire `skipped` intervals earlier than the latest in their interval.
    fn inherit(&mut self, counts: &[u32], skipped: u32, window: Duration, as_of: Instant) {
        let interval = window / USAGE_INTERVALS;
        let attempts = (skipped..).zip(counts).take(USAGE_INTERVALS as usize);
        let attempts = attempts.map(|(age, count)| CountedAttempts {
            count: *count,
            until: as_of + window.saturating_sub(interval * age),
        });
        self.inherited = attempts.filter(|attempts| attempts.count > 0).collect();
    }

    /// Counts attempts by the interval of the window in which they were made, the latest first.
    fn counts(&self, window: Duration, now: Instant) -> Vec<u32> {
        let interval = window / USAGE_INTERVALS;
        let mut counts = vec![0_u32; USAGE_INTERVALS as usize];
        let own = self.own.iter().map(|at| CountedAttempts {
            count: 1,
            until: *at + window,
        });
        for attempts in own.chain(self.inherited.iter().copied()) {
            let left = attempts.until.saturating_duration_since(now);
            let age = window.saturating_sub(left);
            let index = age.as_nanos() / interval.as_nanos().max(1);
            let index = usize::try_from(index).unwrap_or(usize::MAX);
            let last = counts.len() - 1;
            let counted = &mut counts[index.min(last)];
            *counted = counted.saturating_add(attempts.count);
        }
        let used = counts.iter().rposition(|count| *count > 0);
        counts.truncate(used.map_or(0, |last| last + 1));
        counts
    }
}

/// Retry budget of one service in a sliding window: a share of the requests plus a fixed allowance.
/// The gateways divide the allowance evenly among themselves without coordination.
#[derive(Debug)]
pub struct RetryAllowance {
    window: Duration,
    ratio: f64,
    fixed: f64,
    first_tries: AttemptWindow,
    retries: AttemptWindow,
}

impl RetryAllowance {
    /// Creates the budget of one gateway. `ratio` is the number of retries per request, and `fixed`
    /// the fixed allowance of all gateways together, in retries per `window`.
    pub fn new(window: Duration, ratio: f64, fixed: f64) -> Self {
        Self {
            window,
            ratio,
            fixed,
            first_tries: AttemptWindow::default(),
            retries: AttemptWindow::default(),
        }
    }

    /// Counts the first attempt of a request of a caller.
    pub fn record_first_try(&mut self, now: Instant) {
        self.first_tries.own.push_back(now);
    }

    /// Returns the use of the budget. `gateways` is the number of gateways that share the fixed
    /// allowance, or `None` while this gateway has no part of it.
    pub fn status(&mut self, gateways: Option<u32>, now: Instant) -> RetryStatus {
        self.drop_expired(now);
        let fixed_part = gateways.map_or(0.0, |gateways| self.fixed / f64::from(gateways.max(1)));
        let first_tries = self.first_tries.total();
        RetryStatus {
            used: self.retries.total(),
            allowed: (self.ratio * first_tries as f64 + fixed_part) * SAFETY_SHARE,
        }
    }

    /// Takes one retry from the budget if there is one left, and returns whether there was.
    /// `gateways` is as for [`Self::status`].
    pub fn try_spend(&mut self, gateways: Option<u32>, now: Instant) -> bool {
        let is_allowed = self.status(gateways, now).has_left();
        if is_allowed {
            self.retries.own.push_back(now);
        }
        is_allowed
    }

    /// Returns what counts within the window, what was taken over included; `None` if there was no
    /// retry.
    pub fn usage(&mut self, now: Instant) -> Option<RetryUsage> {
        self.drop_expired(now);
        if self.retries.is_empty() {
            return None;
        }
        Some(RetryUsage {
            first_tries: self.first_tries.counts(self.window, now),
            retries: self.retries.counts(self.window, now),
        })
    }

    /// Counts what the previous process of this gateway had counted at `as_of`, in place of what was
    /// taken over before. Where the interval leaves it open, retries count longer and first tries
    /// shorter.
    pub fn take_over(&mut self, usage: &RetryUsage, as_of: Instant) {
        let window = self.window;
        self.first_tries
            .inherit(&usage.first_tries, 1, window, as_of);
        self.retries.inherit(&usage.retries, 0, window, as_of);
    }

    fn drop_expired(&mut self, now: Instant) {
        self.first_tries.drop_expired(self.window, now);
        self.retries.drop_expired(self.window, now);
    }
}

//! Ranks that report that they are slow.
//!
//! Load pattern: one rank of a group takes several times as long as usual for its work, and every
//! pass of the group waits for it. Passes are also long after a shift of the demand or under
//! load, so that the duration of a pass does not show the cause; the engine of the rank reports it.

use {
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

/// Slowdown below which a rank counts as being as fast as the others. A rank that is less slow
/// lengthens a pass by less than the variation between passes.
pub const SLOW_RATIO: f64 = 1.15;

/// Largest slowdown that is believed. A rank that were slower could not serve a request before its
/// caller leaves.
pub const MAX_SLOWDOWN: f64 = 1000.0;

/// Time after which a report of a slowdown no longer counts. A placer repeats it several times in
/// this time while the slowdown lasts.
const RETENTION: Duration = Duration::from_secs(3);

/// Time for which a recovery is sent to the peers, so that a lost datagram does not leave a peer
/// with the slowdown until its retention ends.
const RECOVERY_NEWS_TIME: Duration = Duration::from_secs(1);

/// Factor by which the work of a rank takes longer than usual, between 1 and [`MAX_SLOWDOWN`].
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Slowdown(f64);

impl Slowdown {
    /// Slowdown of a rank that is as fast as usual.
    pub const NONE: Self = Self(1.0);

    /// Creates a slowdown from a reported factor; `None` for a factor that no engine can have. A
    /// rank that is faster than usual counts as not slow.
    pub fn from_factor(factor: f64) -> Option<Self> {
        let is_valid = factor > 0.0 && factor <= MAX_SLOWDOWN;
        is_valid.then(|| Self(factor.max(1.0)))
    }

    /// Returns the factor.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Returns whether a rank with this slowdown holds up the passes of a group whose other ranks
    /// have the slowdown `usual`.
    pub fn is_slow(self, usual: Self) -> bool {
        self.0 >= SLOW_RATIO * usual.0
    }
}

/// Slowdown of a rank at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatedSlowdown {
    /// Slowdown that the engine reported.
    pub slowdown: Slowdown,
    /// Time at which the report was read.
    pub as_of: Instant,
}

/// Latest reported slowdowns, by the hash of the target's name.
#[derive(Debug, Default)]
pub struct SlowRanks {
    reports: HashMap<u32, DatedSlowdown>,
}

impl SlowRanks {
    /// Records a report and returns whether it is news: the rank became slow or recovered. Older
    /// reports than the known one are ignored, as are those of a rank that was not slow and is not.
    pub fn record(&mut self, target: u32, report: DatedSlowdown, now: Instant) -> bool {
        let known = self.reports.get(&target).copied();
        if known.is_some_and(|known| known.as_of >= report.as_of) {
            return false;
        }
        let was_slow = self.slowdown(target, now).is_slow(Slowdown::NONE);
        let is_slow = report.slowdown.is_slow(Slowdown::NONE);
        if was_slow || is_slow {
            self.reports.insert(target, report);
        }
        was_slow != is_slow
    }

    /// Returns the slowdown of a rank.
    pub fn slowdown(&self, target: u32, now: Instant) -> Slowdown {
        let report = self.reports.get(&target);
        let report = report.filter(|report| now < report.as_of + RETENTION);
        report.map_or(Slowdown::NONE, |report| report.slowdown)
    }

    /// Returns whether no report of a slowdown is kept.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Removes the reports that no longer count.
    pub fn drop_outdated(&mut self, now: Instant) {
        self.reports
            .retain(|_, report| now < report.as_of + RETENTION);
    }

    /// Returns the reports that are sent to the peers: the slow ranks and those that have recovered
    /// lately.
    pub fn news(&self, now: Instant) -> impl Iterator<Item = (u32, DatedSlowdown)> {
        let reports = self.reports.iter().filter(move |(_, report)| {
            let retention = if report.slowdown.is_slow(Slowdown::NONE) {
                RETENTION
            } else {
                RECOVERY_NEWS_TIME
            };
            now < report.as_of + retention
        });
        reports.map(|(target, report)| (*target, *report))
    }
}

/// Returns the median of the slowdowns of a group's ranks, with which a single rank is compared; no
/// slowdown for a group without ranks. If half of the ranks are slow, there is no faster half to
/// which work could be moved.
pub fn usual_slowdown(slowdowns: impl Iterator<Item = Slowdown>) -> Slowdown {
    let mut factors: Vec<_> = slowdowns.map(Slowdown::factor).collect();
    factors.sort_by(f64::total_cmp);
    factors
        .get(factors.len() / 2)
        .map_or(Slowdown::NONE, |factor| Slowdown(*factor))
}

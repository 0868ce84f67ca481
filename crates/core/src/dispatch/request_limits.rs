//! Limits on the rate of requests that targets name in their answers.
//!
//! Load pattern: a target in need names the requests per second that it takes from all gateways
//! together. Each gateway sends it an equal part, evenly spaced, so that no exchange is needed
//! before a request; what a gateway learns of a limit reaches the others in its load reports.

use {
    std::{collections::HashMap, time::Duration},
    tokio::time::Instant,
};

/// Share of a limit that the gateways use. The rest is a reserve for requests of different gateways
/// that happen to start at the same time, and for gateways that do not know each other yet.
const USED_SHARE: f64 = 0.8;

/// Lowest rate, in requests per second of all gateways, at which a target gets requests. It names
/// the end of its limit only in answers.
const MIN_RATE: f64 = 0.1;

/// Time by which a request may start earlier than evenly spaced ones would. It lets a gateway with
/// a large part of a limit send short bursts instead of queueing each request.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Time without news of a limit after which it no longer counts. At the lowest rate, several
/// answers would have repeated it.
const RETENTION: Duration = Duration::from_secs(30);

/// Time for which the end of a limit is sent to the peers, so that a lost datagram does not leave a
/// peer with the limit until its retention ends.
const END_NEWS_TIME: Duration = Duration::from_secs(2);

/// Rate of requests, in requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate from a number of requests per second; `None` if it is negative or not finite.
    pub fn from_value(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What a target has said about its limit, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNews {
    /// Limit on the requests of all gateways together; `None` if the target names none anymore.
    pub limit: Option<RequestRate>,
    /// Time at which the answer arrived.
    pub as_of: Instant,
}

#[derive(Clone, Copy, Debug)]
struct TargetLimit {
    news: LimitNews,
    /// Whether this gateway has the news from an answer to its own request.
    is_own: bool,
    /// Time at which the next request starts if they are evenly spaced.
    next_at: Instant,
}

/// Earliest start of the next request to a service all of whose targets have limits, and the mean
/// interval of further ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartPace {
    /// Earliest start of the next request.
    pub next_at: Instant,
    /// Mean interval between two starts.
    pub interval: Duration,
}

/// Part of this gateway in what all gateways may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetShare {
    /// Number of gateways that share the limits, this one included.
    pub gateways: u32,
    /// Random number, uniform from 0 to 1, by which gateways that learn of a limit at the same time
    /// send their next requests at different times.
    pub draw: f64,
}

impl FleetShare {
    /// Returns the interval between the requests of one gateway to a target.
    fn interval(self, limit: RequestRate) -> Duration {
        let rate = (limit.0 * USED_SHARE).max(MIN_RATE);
        Duration::from_secs_f64(f64::from(self.gateways.max(1)) / rate)
    }
}

/// Known limits, by the hash of the target's name.
#[derive(Debug, Default)]
pub struct RequestLimits {
    targets: HashMap<u32, TargetLimit>,
}

impl RequestLimits {
    /// Records an answer of a target to a request that started at `started_at`; returns whether the
    /// limit is new, has changed or has ended.
    pub fn record_answer(
        &mut self,
        target: u32,
        limit: Option<RequestRate>,
        started_at: Instant,
        share: FleetShare,
        now: Instant,
    ) -> bool {
        let known = self.current(target, now);
        // An answer that the target began before it named the limit may arrive after it.
        let is_outdated = known.is_some_and(|known| started_at <= known.news.as_of);
        if limit.is_none() && (known.is_none() || is_outdated) {
            return false;
        }
        let news = LimitNews { limit, as_of: now };
        self.replace(target, news, true, share, now)
    }

    /// Records what a peer has reported; returns whether the limit is new, has changed or has
    /// ended.
    pub fn note(&mut self, target: u32, news: LimitNews, share: FleetShare, now: Instant) -> bool {
        let known = self.targets.get(&target);
        let is_outdated = known.is_some_and(|known| known.news.as_of >= news.as_of);
        if is_outdated || now >= news.as_of + RETENTION {
            return false;
        }
        self.replace(target, news, false, share, now)
    }

    fn replace(
        &mut self,
        target: u32,
        news: LimitNews,
        is_own: bool,
        share: FleetShare,
        now: Instant,
    ) -> bool {
        let current = self.current(target, now);
        let known = current.and_then(|current| current.news.limit);
        let next_at = match (current.zip(known), news.limit) {
            (Some((current, known)), Some(limit)) => {
                // The spacing of the requests already sent is kept in intervals of the new limit.
                // Each answer repeats the limit, so that it must not start anew.
                let (earlier, interval) = (share.interval(known), share.interval(limit));
                let ahead = current.next_at.saturating_duration_since(now);
                let ahead = ahead.as_secs_f64() / earlier.as_secs_f64().max(f64::MIN_POSITIVE);
                let most = interval + BURST_TIME;
                let ahead = (ahead * interval.as_secs_f64()).min(most.as_secs_f64());
                now + Duration::from_secs_f64(ahead)
            }
            (None, Some(limit)) => now + share.interval(limit).mul_f64(share.draw),
            (_, None) => now,
        };
        let limit = TargetLimit {
            news,
            is_own,
            next_at,
        };
        self.targets.insert(target, limit);
        known != news.limit
    }

    fn current(&self, target: u32, now: Instant) -> Option<TargetLimit> {
        let known = self.targets.get(&target).copied();
        known.filter(|known| now < known.news.as_of + RETENTION)
    }

    /// Returns the limit of a target; `None` if it names none.
    pub fn limit(&self, target: u32, now: Instant) -> Option<RequestRate> {
        self.current(target, now)?.news.limit
    }

    /// Returns whether this gateway may send a request to a target now.
    pub fn admits(&self, target: u32, now: Instant) -> bool {
        let limited = self.current(target, now);
        let limited = limited.filter(|known| known.news.limit.is_some());
        limited.is_none_or(|known| now + BURST_TIME >= known.next_at)
    }

    /// Records that this gateway sends a request to a target.
    pub fn record_start(&mut self, target: u32, share: FleetShare, now: Instant) {
        if let Some(known) = self.targets.get_mut(&target)
            && let Some(limit) = known.news.limit
        {
            known.next_at = known.next_at.max(now) + share.interval(limit);
        }
    }

    /// Returns the pace at which this gateway may start requests at targets that all have limits;
    /// `None` if one of them has none, or there are no targets.
    pub fn pace(
        &self,
        targets: impl Iterator<Item = u32>,
        share: FleetShare,
        now: Instant,
    ) -> Option<StartPace> {
        let mut rate = 0.0;
        let mut next_at: Option<Instant> = None;
        for target in targets {
            let known = self.current(target, now)?;
            rate += 1.0 / share.interval(known.news.limit?).as_secs_f64();
            next_at = next_at.into_iter().chain([known.next_at]).min();
        }
        Some(StartPace {
            next_at: next_at?,
            interval: Duration::from_secs_f64(1.0 / rate),
        })
    }

    /// Returns whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Forgets the limit of a target that has started again.
    pub fn forget(&mut self, target: u32) {
        self.targets.remove(&target);
    }

    /// Removes the limits that no longer count.
    pub fn drop_outdated(&mut self, now: Instant) {
        self.targets
            .retain(|_, known| now < known.news.as_of + RETENTION);
    }

    /// Returns what this gateway has learned from its own requests and sends to the peers: limits
    /// in force, and those that have ended lately.
    pub fn news(&self, now: Instant) -> impl Iterator<Item = (u32, LimitNews)> {
        let own = self.targets.iter().filter(move |(_, known)| {
            let retention = match known.news.limit {
                Some(_) => RETENTION,
                None => END_NEWS_TIME,
            };
            known.is_own && now < known.news.as_of + retention
        });
        own.map(|(target, known)| (*target, known.news))
    }
}

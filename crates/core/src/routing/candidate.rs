//! Candidates of a routing decision and their scores.

use {
    super::{RoutePolicy, RouteRequest},
    crate::{
        explanation::CandidateRecord,
        membership::{Membership, Target, TargetKey},
    },
    std::fmt,
};

/// Cost of a target at its limit over an idle one, in milliseconds. With the default limit of 32
/// requests and zone cost of 4 ms, a target in the availability zone of the entry is preferred
/// until it has two requests more than one elsewhere.
const FULL_LOAD_COST_MS: f64 = 100.0;

/// Weight of a target's mean step time in its score. The first term of the score already contains
/// the load, and reports are up to 1 s old, so with a high weight all entries would send their
/// requests to the same fast group. A stalled group has a step time of seconds and is avoided at
/// any weight.
const STEP_TIME_WEIGHT: f64 = 1.0;

/// Why a target cannot be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exclusion {
    /// The target is draining and takes no new requests.
    Draining,
    /// The target has as many requests in flight as its limit allows.
    Full,
    /// An earlier attempt of the request used the target.
    Tried,
    /// The target failed its health check.
    Unhealthy,
    /// The link to the agent of the target is not open.
    Unreachable,
}

impl fmt::Display for Exclusion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Draining => "draining",
            Self::Full => "full",
            Self::Tried => "tried before",
            Self::Unhealthy => "unhealthy",
            Self::Unreachable => "unreachable",
        })
    }
}

/// Target with its score; the lowest score is the best.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the target.
    pub key: TargetKey,
    /// Expected cost of sending the request to the target, in milliseconds.
    pub score: f64,
    /// Estimated number of requests in flight at the target.
    pub in_flight: u32,
    /// Limit on the requests in flight at the target.
    pub limit: u32,
    /// Whether the target is in the entry's availability zone.
    pub own_zone: bool,
    /// Why the target cannot be chosen; `None` if it can.
    pub exclusion: Option<Exclusion>,
}

impl Candidate {
    /// Scores a target for a request whose kind has the hash `kind`, and finds out whether it can
    /// be chosen.
    pub fn evaluate(
        key: TargetKey,
        target: &Target,
        request: &RouteRequest<'_>,
        kind: Option<u64>,
        policy: &RoutePolicy,
    ) -> Self {
        let limit = effective_limit(target, policy);
        let in_flight = target.in_flight();
        let own_zone = target.zone_hash == policy.own_zone;
        let added_load = kind.map_or(1.0, |kind| target.kind_cost(kind));
        let load = (f64::from(in_flight) + f64::from(added_load)) / f64::from(limit);
        let zone_cost = target
            .zone_cost
            .or_team_exception(policy.team_zone_cost.as_ref());
        let zone_cost = if own_zone { 0 } else { zone_cost.number };
        let step_ms = target.status.mean_step_us as f64 / 1000.0;
        let score = FULL_LOAD_COST_MS * load + zone_cost as f64 + STEP_TIME_WEIGHT * step_ms;
        let exclusion = if request.tried.contains(&key) {
            Some(Exclusion::Tried)
        } else {
            exclusion(target, in_flight, limit)
        };
        Self {
            key,
            score,
            in_flight,
            limit,
            own_zone,
            exclusion,
        }
    }

    /// Returns the sort key for explanations: candidates that can be chosen come first, then those
    /// with a lower score.
    pub(super) fn order(&self) -> (bool, f64) {
        (self.exclusion.is_some(), self.score)
    }

    /// Returns the record that operators see; `None` if the target has left the membership.
    pub fn record(&self, membership: &Membership) -> Option<CandidateRecord> {
        let listing = &membership.target(self.key)?.listing;
        Some(CandidateRecord {
            target: listing.name.clone(),
            availability_zone: listing.availability_zone.clone(),
            in_flight: self.in_flight,
            limit: self.limit,
            score: self.score,
            excluded: self.exclusion.map(|exclusion| exclusion.to_string()),
        })
    }
}

/// Returns the limit on the requests in flight at a target: that of the settings, but at most the
/// concurrency that the agent reports, and at least 1.
pub fn effective_limit(target: &Target, policy: &RoutePolicy) -> u32 {
    let setting = target.limit.or_team_exception(policy.team_limit.as_ref());
    let setting = u32::try_from(setting.number).unwrap_or(u32::MAX);
    setting.min(target.status.load.concurrency).max(1)
}

fn exclusion(target: &Target, in_flight: u32, limit: u32) -> Option<Exclusion> {
    if !target.is_connected() {
        Some(Exclusion::Unreachable)
    } else if target.is_draining() {
        Some(Exclusion::Draining)
    } else if !target.status.healthy {
        Some(Exclusion::Unhealthy)
    } else if in_flight >= limit {
        Some(Exclusion::Full)
    } else {
        None
    }
}

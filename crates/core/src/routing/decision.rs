//! Decision among the candidates.

use {
    super::{Candidate, Exclusion, RoutePolicy, RouteRequest},
    crate::{
        configuration::SettingSource,
        membership::{Membership, TargetKey, target::kind_hash},
    },
    rand::{Rng, RngExt},
    std::{error::Error, fmt, result},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Result of a routing decision.
pub type Result<T> = result::Result<T, RouteError>;

/// Candidates that a decision keeps for its explanation.
pub const EXPLAINED_CANDIDATES: usize = 16;

/// Scores that differ by less than this, in milliseconds, count as equal; the generator decides
/// among them, so that entries with the same view do not all choose the same target.
const TIE_MARGIN_MS: f64 = 1.0;

/// Cost that prefix affinity may add over the best candidate, in milliseconds: about what the
/// cached prefix of a prompt saves.
const AFFINITY_GAIN_MS: f64 = 50.0;

/// Rule that decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteRule {
    /// Lowest score.
    LeastLoad,
    /// Only one target could be chosen.
    OnlyCandidate,
    /// Prefix affinity.
    PrefixAffinity,
}

impl fmt::Display for RouteRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::LeastLoad => "least load",
            Self::OnlyCandidate => "only candidate",
            Self::PrefixAffinity => "prefix affinity",
        })
    }
}

/// No target can be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// All targets that could serve the request are full.
    Full,
    /// No target can serve the request.
    NoTarget,
    /// No target provides the service.
    UnknownService,
}

impl fmt::Display for RouteError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Full => "all targets of the service are full",
            Self::NoTarget => "no target of the service is available",
            Self::UnknownService => "the service is unknown",
        })
    }
}

impl Error for RouteError {}

/// Chosen target and why.
#[derive(Clone, Debug)]
pub struct RouteDecision {
    /// Chosen target.
    pub key: TargetKey,
    /// Rule that decided.
    pub rule: RouteRule,
    /// Limit on requests in flight that applies at the target.
    pub limit: u32,
    /// Defaults and exceptions that were used.
    pub sources: Vec<SettingSource>,
    /// Best candidates, the chosen one first.
    pub candidates: Vec<Candidate>,
}

/// Decides on targets; keeps its working memory between decisions.
#[derive(Debug, Default)]
pub struct Router {
    candidates: Vec<Candidate>,
}

impl Router {
    /// Chooses a target.
    ///
    /// # Errors
    ///
    /// Fails if no target can serve the request now.
    pub fn decide(
        &mut self,
        membership: &Membership,
        request: &RouteRequest<'_>,
        policy: &RoutePolicy,
        generator: &mut impl Rng,
    ) -> Result<RouteDecision> {
        self.weigh(membership, request, policy);
        let usable = self.candidates.iter().filter(|one| one.exclusion.is_none());
        let (count, best) = usable.fold((0, f64::INFINITY), |(count, best), candidate| {
            (count + 1, best.min(candidate.score))
        });
        if count == 0 {
            return Err(self.error());
        }
        let preferred = self.preferred(membership, request, policy, best);
        let (chosen, rule) = match preferred {
            _ if count == 1 => (self.least_loaded(best, generator), RouteRule::OnlyCandidate),
            Some(position) => (position, RouteRule::PrefixAffinity),
            None => (self.least_loaded(best, generator), RouteRule::LeastLoad),
        };
        let chosen = self.candidates[chosen];
        Ok(RouteDecision {
            key: chosen.key,
            rule,
            limit: chosen.limit,
            sources: sources(membership, &chosen, policy, request.prefix.is_some()),
            candidates: self.explain(chosen),
        })
    }

    fn weigh(&mut self, membership: &Membership, request: &RouteRequest<'_>, policy: &RoutePolicy) {
        self.candidates.clear();
        let kind = request.kind.map(kind_hash);
        for key in membership.of_service(request.service) {
            if let Some(target) = membership.target(*key) {
                let candidate = Candidate::weigh(*key, target, request, kind, policy);
                self.candidates.push(candidate);
            }
        }
    }

    fn error(&self) -> RouteError {
        let mut exclusions = self.candidates.iter().filter_map(|one| one.exclusion);
        if self.candidates.is_empty() {
            RouteError::UnknownService
        } else if exclusions.any(|exclusion| exclusion == Exclusion::Full) {
            RouteError::Full
        } else {
            RouteError::NoTarget
        }
    }

    /// Finds the target that prefix affinity prefers, by rendezvous hashing with bounded load
    /// among the targets of the own availability zone, or among all if it has none.
    fn preferred(
        &self,
        membership: &Membership,
        request: &RouteRequest<'_>,
        policy: &RoutePolicy,
        best: f64,
    ) -> Option<usize> {
        let prefix = request.prefix?;
        if !policy.affinity.value.is_first_choice() {
            return None;
        }
        let usable = || self.candidates.iter().filter(|one| one.exclusion.is_none());
        let any_own = usable().any(|one| one.own_zone);
        let in_scope = |one: &Candidate| one.exclusion.is_none() && one.own_zone == any_own;
        let bound = LoadBound::new(
            self.candidates.iter().filter(|one| in_scope(one)),
            policy.load_bound.value.as_number(),
        );
        let eligible = self.candidates.iter().enumerate().filter(|(_, one)| {
            in_scope(one) && bound.admits(one) && one.score <= best + AFFINITY_GAIN_MS
        });
        let weighed = eligible.filter_map(|(position, one)| {
            let target = membership.target(one.key)?;
            let cached = target.status.cached_prefixes.binary_search(&prefix).is_ok();
            let weight = xxh3_64_with_seed(&target.name_hash.to_le_bytes(), prefix);
            Some(((cached, weight), position))
        });
        weighed.max().map(|(_, position)| position)
    }

    /// Draws one of the candidates whose score is as good as the best.
    fn least_loaded(&self, best: f64, generator: &mut impl Rng) -> usize {
        let is_tied =
            |one: &&Candidate| one.exclusion.is_none() && one.score < best + TIE_MARGIN_MS;
        let ties = self.candidates.iter().filter(is_tied).count();
        let drawn = generator.random_range(0..ties.max(1));
        let mut tied = self
            .candidates
            .iter()
            .enumerate()
            .filter(|(_, one)| is_tied(one));
        tied.nth(drawn).map_or(0, |(position, _)| position)
    }

    fn explain(&mut self, chosen: Candidate) -> Vec<Candidate> {
        let order = |left: &Candidate, right: &Candidate| {
            let rank = |one: &Candidate| (one.key != chosen.key, one.exclusion.is_some());
            rank(left)
                .cmp(&rank(right))
                .then(left.score.total_cmp(&right.score))
        };
        let kept = self.candidates.len().min(EXPLAINED_CANDIDATES);
        if kept < self.candidates.len() {
            self.candidates.select_nth_unstable_by(kept, order);
        }
        self.candidates[..kept].sort_unstable_by(order);
        self.candidates[..kept].to_vec()
    }
}

/// Share of the total load that a target may have for prefix affinity to hold.
struct LoadBound {
    load_per_limit: f64,
}

impl LoadBound {
    fn new<'a>(candidates: impl Iterator<Item = &'a Candidate>, percent: u64) -> Self {
        let (load, limit) = candidates.fold((1.0, 0.0), |(load, limit), one| {
            (
                load + f64::from(one.in_flight),
                limit + f64::from(one.limit),
            )
        });
        Self {
            load_per_limit: percent as f64 / 100.0 * load / f64::max(limit, 1.0),
        }
    }

    fn admits(&self, candidate: &Candidate) -> bool {
        let most = (self.load_per_limit * f64::from(candidate.limit)).ceil();
        f64::from(candidate.in_flight + 1) <= most
    }
}

fn sources(
    membership: &Membership,
    chosen: &Candidate,
    policy: &RoutePolicy,
    has_prefix: bool,
) -> Vec<SettingSource> {
    let mut sources = Vec::with_capacity(4);
    if let Some(target) = membership.target(chosen.key) {
        let limit = target.limit.or_team(policy.team_limit.as_ref());
        let zone_cost = target.zone_cost.or_team(policy.team_zone_cost.as_ref());
        sources.push(limit.source.clone());
        sources.push(zone_cost.source.clone());
    }
    if has_prefix {
        sources.push(policy.affinity.source.clone());
        sources.push(policy.load_bound.source.clone());
    }
    sources
}

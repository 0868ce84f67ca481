//! Decision among the candidates.

use {
    super::{Candidate, Exclusion, RoutePolicy, RouteRequest},
    crate::{
        configuration::SettingSource,
        membership::{Membership, TargetKey, target::kind_hash},
    },
    rand::{Rng, RngExt, seq::index},
    std::{error::Error, fmt, result},
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

/// Targets up to which all are weighed. Weighing takes about 40 ns a target, and a decision may
/// take 20 microseconds.
const MOST_WEIGHED: usize = 192;

/// Targets that are drawn of a larger service. The best of this many is close to the best of all,
/// and entries that draw different samples do not all choose the same target.
const SAMPLE: usize = 128;

/// Targets of a larger service that are weighed because of the prefix.
const HOMES: usize = 4;

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
    drawn: Vec<TargetKey>,
    is_sample: bool,
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
        self.draw(membership, request, generator);
        self.weigh(membership, request, policy);
        if self.is_sample && self.candidates.iter().all(|one| one.exclusion.is_some()) {
            self.draw_all(membership, request);
            self.weigh(membership, request, policy);
        }
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

    fn draw_all(&mut self, membership: &Membership, request: &RouteRequest<'_>) {
        self.is_sample = false;
        self.drawn.clear();
        self.drawn
            .extend_from_slice(membership.of_service(request.service));
    }

    /// Draws the targets to be weighed: all of a small service; of a large one a random sample and
    /// the targets that rendezvous hashing prefers for the prefix.
    fn draw(
        &mut self,
        membership: &Membership,
        request: &RouteRequest<'_>,
        generator: &mut impl Rng,
    ) {
        let keys = membership.of_service(request.service);
        if keys.len() <= MOST_WEIGHED {
            return self.draw_all(membership, request);
        }
        self.is_sample = true;
        self.drawn.clear();
        if let Some(prefix) = request.prefix {
            let homes = homes(membership.name_hashes(request.service), prefix);
            self.drawn.extend(homes.map(|position| keys[position]));
        }
        let homes = self.drawn.len();
        for position in index::sample(generator, keys.len(), SAMPLE) {
            let key = keys[position];
            if !self.drawn[..homes].contains(&key) {
                self.drawn.push(key);
            }
        }
    }

    fn weigh(&mut self, membership: &Membership, request: &RouteRequest<'_>, policy: &RoutePolicy) {
        self.candidates.clear();
        let kind = request.kind.map(kind_hash);
        for key in &self.drawn {
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
            let weight = rendezvous_weight(target.name_hash, prefix);
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

    /// Returns the chosen candidate and the best of the others, in order. One pass with a short
    /// sorted list takes a fraction of the time of sorting or partitioning all candidates.
    fn explain(&self, chosen: Candidate) -> Vec<Candidate> {
        let kept = self.candidates.len().min(EXPLAINED_CANDIDATES);
        let mut best = Vec::with_capacity(kept + 1);
        best.push(chosen);
        let others = self.candidates.iter().filter(|one| one.key != chosen.key);
        for candidate in others {
            if best.len() == kept {
                match best.last() {
                    Some(last) if best.len() > 1 && candidate.order() < last.order() => best.pop(),
                    _ => continue,
                };
            }
            let order = candidate.order();
            let position = best[1..].partition_point(|one| one.order() <= order);
            best.insert(position + 1, *candidate);
        }
        best
    }
}

/// Returns the positions of the targets with the highest weights for a prefix.
fn homes(name_hashes: &[u64], prefix: u64) -> impl Iterator<Item = usize> {
    let mut best = [(0, 0); HOMES];
    for (position, name_hash) in name_hashes.iter().enumerate() {
        let weight = rendezvous_weight(*name_hash, prefix);
        if weight > best[HOMES - 1].0 {
            best[HOMES - 1] = (weight, position);
            best.sort_unstable_by(|left, right| right.cmp(left));
        }
    }
    best.into_iter().map(|(_, position)| position)
}

/// Weight of a target for a prefix in rendezvous hashing. Both are hashes already, so one round
/// of SplitMix64 over them spreads the weights evenly.
fn rendezvous_weight(name_hash: u64, prefix: u64) -> u64 {
    let mut mixed = name_hash ^ prefix.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
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
        let limit = target.limit.or_team_exception(policy.team_limit.as_ref());
        let zone_cost = target
            .zone_cost
            .or_team_exception(policy.team_zone_cost.as_ref());
        sources.push(limit.source.clone());
        sources.push(zone_cost.source.clone());
    }
    if has_prefix {
        sources.push(policy.affinity.source.clone());
        sources.push(policy.load_bound.source.clone());
    }
    sources
}

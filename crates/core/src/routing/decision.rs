//! Choice of a target among the candidates.

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

/// Most candidates that a decision keeps for its explanation.
pub const EXPLAINED_CANDIDATES: usize = 16;

/// Scores that differ by less than this, in milliseconds, count as equal. One of the tied targets
/// is chosen at random, so that entries with the same view do not all choose the same one.
const TIE_MARGIN_MS: f64 = 1.0;

/// Score above the best one, in milliseconds, up to which prefix affinity may choose a target. The
/// cached prefix of a prompt saves about as much.
const AFFINITY_GAIN_MS: f64 = 50.0;

/// Largest number of targets of a service that are all scored. Scoring takes about 40 ns for each
/// target, and a decision may take 20 microseconds.
const MAX_SCORED: usize = 192;

/// Targets in the random sample of a larger service. The best of this many is close to the best of
/// all, and entries with different samples do not all choose the same target.
const SAMPLE_SIZE: usize = 128;

/// Targets of a larger service that are scored besides the sample because rendezvous hashing
/// prefers them for the prefix.
const AFFINITY_TARGETS: usize = 4;

/// Rule by which the target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteRule {
    /// The target has the lowest score, or one that counts as equal.
    LeastLoad,
    /// No other target could be chosen.
    OnlyCandidate,
    /// Prefix affinity prefers the target.
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

/// Why no target can be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// At least one target is excluded only because it is full, and none can be chosen.
    Full,
    /// The service has targets, but none can serve the request, and none is merely full.
    NoTarget,
    /// The membership has no target of the service.
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

/// Chosen target with the explanation of the choice.
#[derive(Clone, Debug)]
pub struct RouteDecision {
    /// Key of the chosen target.
    pub key: TargetKey,
    /// Rule by which the target was chosen.
    pub rule: RouteRule,
    /// Limit on the requests in flight at the target.
    pub limit: u32,
    /// Defaults and exceptions that the decision used.
    pub sources: Vec<SettingSource>,
    /// Best candidates, the chosen one first; at most [`EXPLAINED_CANDIDATES`].
    pub candidates: Vec<Candidate>,
}

/// Chooses targets; keeps its buffers between decisions to save allocations.
#[derive(Debug, Default)]
pub struct Router {
    selected: Vec<TargetKey>,
    is_sample: bool,
    candidates: Vec<Candidate>,
}

impl Router {
    /// Chooses a target for a request.
    ///
    /// # Errors
    ///
    /// Fails if no target can serve the request at present.
    pub fn decide(
        &mut self,
        membership: &Membership,
        request: &RouteRequest<'_>,
        policy: &RoutePolicy,
        generator: &mut impl Rng,
    ) -> Result<RouteDecision> {
        self.select(membership, request, generator);
        self.score(membership, request, policy);
        if self.is_sample && self.candidates.iter().all(|one| one.exclusion.is_some()) {
            self.select_all(membership, request);
            self.score(membership, request, policy);
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

    fn select_all(&mut self, membership: &Membership, request: &RouteRequest<'_>) {
        self.is_sample = false;
        self.selected.clear();
        self.selected
            .extend_from_slice(membership.of_service(request.service));
    }

    /// Selects the targets to be scored: all of a small service; of a large one a random sample and
    /// the targets that rendezvous hashing prefers for the prefix.
    fn select(
        &mut self,
        membership: &Membership,
        request: &RouteRequest<'_>,
        generator: &mut impl Rng,
    ) {
        let keys = membership.of_service(request.service);
        if keys.len() <= MAX_SCORED {
            return self.select_all(membership, request);
        }
        self.is_sample = true;
        self.selected.clear();
        if let Some(prefix) = request.prefix {
            let positions = affinity_positions(membership.name_hashes(request.service), prefix);
            self.selected
                .extend(positions.map(|position| keys[position]));
        }
        let preferred = self.selected.len();
        for position in index::sample(generator, keys.len(), SAMPLE_SIZE) {
            let key = keys[position];
            if !self.selected[..preferred].contains(&key) {
                self.selected.push(key);
            }
        }
    }

    fn score(&mut self, membership: &Membership, request: &RouteRequest<'_>, policy: &RoutePolicy) {
        self.candidates.clear();
        let kind = request.kind.map(kind_hash);
        for key in &self.selected {
            if let Some(target) = membership.target(*key) {
                let candidate = Candidate::evaluate(*key, target, request, kind, policy);
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

    /// Finds the position of the target that prefix affinity prefers, by rendezvous hashing with
    /// bounded load among the usable targets in the availability zone of the entry, or among all
    /// usable targets if that zone has none. A target that has cached the prefix goes first.
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
        let any_own_zone = usable().any(|one| one.own_zone);
        let in_scope = |one: &Candidate| one.exclusion.is_none() && one.own_zone == any_own_zone;
        let bound = LoadBound::new(
            self.candidates.iter().filter(|one| in_scope(one)),
            policy.load_bound.value.as_number(),
        );
        let eligible = self.candidates.iter().enumerate().filter(|(_, one)| {
            in_scope(one) && bound.admits(one) && one.score <= best + AFFINITY_GAIN_MS
        });
        let weighted = eligible.filter_map(|(position, one)| {
            let target = membership.target(one.key)?;
            let cached = target.status.cached_prefixes.binary_search(&prefix).is_ok();
            let weight = rendezvous_weight(target.name_hash, prefix);
            Some(((cached, weight), position))
        });
        weighted.max().map(|(_, position)| position)
    }

    /// Returns the position of a random candidate among those whose score counts as equal to the
    /// best one.
    fn least_loaded(&self, best: f64, generator: &mut impl Rng) -> usize {
        let is_tied =
            |one: &&Candidate| one.exclusion.is_none() && one.score < best + TIE_MARGIN_MS;
        let ties = self.candidates.iter().filter(is_tied).count();
        let choice = generator.random_range(0..ties.max(1));
        let mut tied = self
            .candidates
            .iter()
            .enumerate()
            .filter(|(_, one)| is_tied(one));
        tied.nth(choice).map_or(0, |(position, _)| position)
    }

    /// Returns the chosen candidate and the best of the others, in order. One pass that fills a
    /// short sorted list takes a fraction of the time of sorting or partitioning all candidates.
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
fn affinity_positions(name_hashes: &[u64], prefix: u64) -> impl Iterator<Item = usize> {
    let mut best = [(0, 0); AFFINITY_TARGETS];
    for (position, name_hash) in name_hashes.iter().enumerate() {
        let weight = rendezvous_weight(*name_hash, prefix);
        if weight > best[AFFINITY_TARGETS - 1].0 {
            best[AFFINITY_TARGETS - 1] = (weight, position);
            best.sort_unstable_by(|left, right| right.cmp(left));
        }
    }
    best.into_iter().map(|(_, position)| position)
}

/// Returns the weight of a target for a prefix in rendezvous hashing. Both arguments are hashes
/// already, so one round of SplitMix64 over them spreads the weights evenly.
fn rendezvous_weight(name_hash: u64, prefix: u64) -> u64 {
    let mut mixed = name_hash ^ prefix.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

/// Load up to which prefix affinity may choose a target, relative to the mean load of the targets.
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
        let max_in_flight = (self.load_per_limit * f64::from(candidate.limit)).ceil();
        f64::from(candidate.in_flight + 1) <= max_in_flight
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

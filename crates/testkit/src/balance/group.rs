//! Fake of a model group: requests in flight, expert map, and experts that are being loaded.

use {
    super::{deployment::Deployment, placement_policy::GroupPlacer, popularity::KindPopularity},
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    sassafrasslip_core::placement::{
        ExpertCounts, ExpertMap, RankReport, StepLoad, decision::LOADING_SLOWDOWN, layer_loads,
        step_bound, step_load,
    },
    std::collections::VecDeque,
    tokio::time::Instant,
};

/// Part of a step that does not depend on the experts' load, in seconds.
const BASE_STEP: f64 = 0.015;
/// Part of a step that depends on it, in seconds, at the usual load and without skew.
const LOAD_STEP: f64 = 0.015;
/// Tokens of a request.
const REQUEST_TOKENS: f64 = 200.0;
/// Requests in flight, relative to the usual load, above which arrivals are refused.
const MOST_IN_FLIGHT: f64 = 4.0;
/// Relative error of reported step times.
const STEP_NOISE: f64 = 0.03;
/// Interval between decisions, in seconds.
const DECISION_INTERVAL: usize = 10;

/// Map whose experts are being loaded.
#[derive(Debug)]
struct PendingMap {
    map: ExpertMap,
    remaining: f64,
}

/// What one second of a group yields.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupSecond {
    /// Slowest rank's step time over the mean; `None` while the group cannot step.
    pub skew: Option<f64>,
    /// The same for the lower bound.
    pub bound: f64,
    /// Seconds of loading experts.
    pub moving: f64,
    /// Bytes whose loading began.
    pub bytes: f64,
}

/// Model group.
#[derive(Debug)]
pub struct FakeGroup {
    deployment: Deployment,
    placer: GroupPlacer,
    map: ExpertMap,
    pending: Option<PendingMap>,
    /// Requests in flight of each kind.
    pub in_flight: Vec<f64>,
    reports: VecDeque<(ExpertCounts, Vec<RankReport>)>,
}

impl FakeGroup {
    /// Creates a group that uses a map.
    pub fn new(deployment: &Deployment, placer: GroupPlacer, map: ExpertMap) -> Self {
        Self {
            deployment: *deployment,
            placer,
            map,
            pending: None,
            in_flight: vec![0.0; deployment.kinds],
            reports: VecDeque::new(),
        }
    }

    /// Returns all requests in flight.
    pub fn load(&self) -> f64 {
        self.in_flight.iter().sum()
    }

    /// Takes a request, unless too many are in flight.
    pub fn accept(&mut self, kind: usize) {
        if self.load() < MOST_IN_FLIGHT * self.deployment.in_flight {
            self.in_flight[kind] += 1.0;
        }
    }

    /// Runs one second with the given speeds of the ranks.
    pub fn run_second(
        &mut self,
        second: usize,
        popularity: &KindPopularity,
        drift: f64,
        speeds: &[f64],
        random: &mut ChaCha8Rng,
    ) -> GroupSecond {
        let counts = popularity.counts(&self.in_flight, drift);
        let mut result = self.load_experts();
        // With replicas on lost ranks the group cannot step.
        let stalled = self
            .map
            .has_replica_on(|rank| speeds[usize::from(rank)] == 0.0);
        if !stalled && counts.total() > 0.0 {
            let load = step_load(&self.map, &counts, speeds);
            result.skew = Some(load.skew());
            result.bound = step_bound(&self.deployment.shape, &counts, speeds).skew();
            self.complete_requests(&load, result.moving, random);
            self.report(counts, speeds, random);
        }
        if self.pending.is_none() && (stalled || second.is_multiple_of(DECISION_INTERVAL)) {
            result.bytes = self.decide(speeds);
        }
        result
    }

    /// Hands a report to the placer `delay` seconds after it was made.
    pub fn deliver_reports(&mut self, delay: usize, now: Instant) {
        while self.reports.len() > delay {
            if let Some((counts, ranks)) = self.reports.pop_front() {
                self.placer.observe(&counts, &ranks, now);
            }
        }
    }

    /// Loads experts for one second and switches to the new map when all are there.
    fn load_experts(&mut self) -> GroupSecond {
        let Some(pending) = &mut self.pending else {
            return GroupSecond::default();
        };
        let moving = pending.remaining.min(1.0);
        pending.remaining -= moving;
        if let Some(done) = self.pending.take_if(|pending| pending.remaining <= 0.0) {
            self.map = done.map;
        }
        GroupSecond {
            moving,
            ..GroupSecond::default()
        }
    }

    fn complete_requests(&mut self, load: &StepLoad, moving: f64, random: &mut ChaCha8Rng) {
        let usual = self.deployment.in_flight * 8.0 * self.deployment.shape.layers as f64;
        let usual = usual / self.deployment.shape.ranks as f64;
        let step =
            (BASE_STEP + LOAD_STEP * load.slowest / usual) * (1.0 + LOADING_SLOWDOWN * moving);
        for requests in &mut self.in_flight {
            let completed = *requests / (REQUEST_TOKENS * step);
            let rounded = (completed + random.random::<f64>()).floor();
            *requests = (*requests - rounded).max(0.0);
        }
    }

    fn report(&mut self, counts: ExpertCounts, speeds: &[f64], random: &mut ChaCha8Rng) {
        let ranks = self.deployment.shape.ranks;
        let (mut total, mut loads) = (vec![0.0; ranks], vec![0.0; ranks]);
        for layer in 0..self.map.layers() {
            layer_loads(&self.map, &counts, layer, &mut loads);
            let sums = total.iter_mut().zip(&loads);
            sums.for_each(|(total, load)| *total += load);
        }
        let mean = total.iter().sum::<f64>() / ranks as f64;
        let reports = total.iter().zip(speeds).map(|(load, speed)| {
            let noise = 1.0 + STEP_NOISE * (2.0 * random.random::<f64>() - 1.0);
            let work = (1.0 + load / mean) / speed.max(0.1);
            RankReport {
                load: *load,
                step_us: 15_000.0 * work * noise,
            }
        });
        self.reports.push_back((counts, reports.collect()));
    }

    /// Asks the placer for a new map; returns the bytes whose loading begins.
    fn decide(&mut self, speeds: &[f64]) -> f64 {
        let shape = &self.deployment.shape;
        let lost: Vec<bool> = speeds.iter().map(|speed| *speed == 0.0).collect();
        let Some(map) = self.placer.decide(shape, &self.map, &lost) else {
            return 0.0;
        };
        let loads = self.map.loads_to(&map);
        if loads == 0 {
            self.map = map;
            return 0.0;
        }
        let remaining = shape.loading_seconds(loads);
        self.pending = Some(PendingMap { map, remaining });
        loads as f64 * shape.expert_bytes as f64
    }
}

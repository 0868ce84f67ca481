//! Simulated model group: its requests in flight, its expert map, and the map being loaded.

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

/// Part of the step time that does not depend on the load of the experts, in seconds.
const BASE_STEP_SECONDS: f64 = 0.015;
/// Part of the step time that depends on that load, in seconds, at the nominal load without skew.
const LOAD_STEP_SECONDS: f64 = 0.015;
/// Tokens that a request generates.
const REQUEST_TOKENS: f64 = 200.0;
/// Multiple of the nominal requests in flight from which a group drops arrivals.
const MAX_IN_FLIGHT_FACTOR: f64 = 4.0;
/// Largest relative error of a reported step time.
const STEP_NOISE: f64 = 0.03;
/// Interval between placement decisions, in seconds.
const DECISION_INTERVAL: usize = 10;

/// Next map, whose experts are still being loaded.
#[derive(Debug)]
struct PendingMap {
    map: ExpertMap,
    remaining_seconds: f64,
}

/// Measurements of one group over one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupSample {
    /// Step time of the slowest rank divided by the mean; `None` while the group cannot step.
    pub skew: Option<f64>,
    /// Lower bound of the skew over all maps.
    pub skew_bound: f64,
    /// Part of the second in which experts were being loaded.
    pub loading_seconds: f64,
    /// Bytes of the experts whose loading began in this second.
    pub bytes: f64,
}

/// Simulated model group.
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
    /// Creates a group without requests that uses `map`.
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

    /// Returns the requests in flight of all kinds.
    pub fn load(&self) -> f64 {
        self.in_flight.iter().sum()
    }

    /// Adds a request of a kind, or drops it if too many are in flight.
    pub fn accept(&mut self, kind: usize) {
        if self.load() < MAX_IN_FLIGHT_FACTOR * self.deployment.in_flight {
            self.in_flight[kind] += 1.0;
        }
    }

    /// Simulates one second. `speeds` holds the relative speed of each rank, from 0 (lost) to 1;
    /// `drift` is the share of the expert popularity that has moved.
    pub fn run_second(
        &mut self,
        second: usize,
        popularity: &KindPopularity,
        drift: f64,
        speeds: &[f64],
        random: &mut ChaCha8Rng,
    ) -> GroupSample {
        let counts = popularity.counts(&self.in_flight, drift);
        let mut result = self.load_experts();
        // Ranks step in lockstep, so a replica on a lost rank stops the whole group.
        let stalled = self
            .map
            .has_replica_on(|rank| speeds[usize::from(rank)] == 0.0);
        if !stalled && counts.total() > 0.0 {
            let load = step_load(&self.map, &counts, speeds);
            result.skew = Some(load.skew());
            result.skew_bound = step_bound(&self.deployment.shape, &counts, speeds).skew();
            self.complete_requests(&load, result.loading_seconds, random);
            self.report(counts, speeds, random);
        }
        if self.pending.is_none() && (stalled || second.is_multiple_of(DECISION_INTERVAL)) {
            result.bytes = self.decide(speeds);
        }
        result
    }

    /// Passes reports to the placer, except the newest `delay` ones. A group makes one report in
    /// each second in which it steps.
    pub fn deliver_reports(&mut self, delay: usize, now: Instant) {
        while self.reports.len() > delay {
            if let Some((counts, ranks)) = self.reports.pop_front() {
                self.placer.observe(&counts, &ranks, now);
            }
        }
    }

    /// Loads experts for one second, and switches to the pending map once all are loaded.
    fn load_experts(&mut self) -> GroupSample {
        let Some(pending) = &mut self.pending else {
            return GroupSample::default();
        };
        let loading_seconds = pending.remaining_seconds.min(1.0);
        pending.remaining_seconds -= loading_seconds;
        if let Some(done) = self
            .pending
            .take_if(|pending| pending.remaining_seconds <= 0.0)
        {
            self.map = done.map;
        }
        GroupSample {
            loading_seconds,
            ..GroupSample::default()
        }
    }

    fn complete_requests(
        &mut self,
        load: &StepLoad,
        loading_seconds: f64,
        random: &mut ChaCha8Rng,
    ) {
        let nominal_load = self.deployment.in_flight * 8.0 * self.deployment.shape.layers as f64;
        let nominal_load = nominal_load / self.deployment.shape.ranks as f64;
        let step = (BASE_STEP_SECONDS + LOAD_STEP_SECONDS * load.slowest / nominal_load)
            * (1.0 + LOADING_SLOWDOWN * loading_seconds);
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

    /// Asks the placer for a new map and returns the bytes of experts to load for it.
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
        let remaining_seconds = shape.loading_seconds(loads);
        self.pending = Some(PendingMap {
            map,
            remaining_seconds,
        });
        loads as f64 * shape.expert_bytes as f64
    }
}

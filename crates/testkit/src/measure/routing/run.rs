//! Discrete-event simulation of entries and targets, in virtual time.

use {
    super::{
        chooser::{EntryChooser, PolicyName},
        model::{MAX_RUNNING, ModelRequest, ModelTarget, SERVICE_US, StartedRequest},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
    },
};

const ENTRIES: usize = 4;
const PREFIXES: u64 = 200;
/// One second of virtual time, in microseconds.
const SECOND: u64 = 1_000_000;
/// Share of the run that is warm-up and is left out of the results.
const WARM_UP: f64 = 0.125;
const SAMPLE_INTERVAL: u64 = SECOND / 10;
/// Target that becomes slow: its index, the share of the run after which it does, and the factor
/// of its request durations from then on.
const SLOW_TARGET: (usize, f64, f64) = (3, 0.25, 3.0);
/// Target that fails: its index and the share of the run after which it does.
const FAILED_TARGET: (usize, f64) = (11, 0.5625);
/// Delay until a load report reaches an entry, in seconds.
const REPORT_LAGS: std::ops::RangeInclusive<f64> = 1.0..=10.0;
/// Probability that a cached prefix is missing from a report.
const MISSING_PREFIX_PROBABILITY: f64 = 0.2;
/// Reported step time of a target at normal speed, in microseconds.
const STEP_US: f64 = 30_000.0;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Routing policy of all entries.
    pub policy: PolicyName,
    /// Whether each reply carries the exact load of its target.
    pub replies_carry_load: bool,
    /// Number of targets.
    pub targets: usize,
    /// Virtual duration of the run, in seconds.
    pub seconds: u64,
    /// Arrival rate as a share of the capacity without cache hits; 1 is the full capacity.
    pub load: f64,
    /// Seed of the random generator.
    pub seed: u64,
}

/// Results of a run after the warm-up.
#[derive(Clone, Copy, Debug)]
pub struct RunFigures {
    /// Requests in flight at the busiest target divided by the mean of all live targets: the 95th
    /// percentile of the samples.
    pub ratio_p95: f64,
    /// The 99th percentile of the same ratio.
    pub ratio_p99: f64,
    /// Share of the started requests whose prefix was cached, in percent.
    pub hit_percent: f64,
    /// Mean time from the arrival of a request to its start, in milliseconds.
    pub mean_wait_ms: f64,
}

#[derive(Debug)]
enum ModelEvent {
    /// A request arrives at an entry.
    Arrive,
    /// A target completes a request.
    End(usize, StartedRequest),
    /// [`FAILED_TARGET`] fails.
    Fail,
    /// A target sends its periodic report to all entries.
    Report(usize),
    /// A report reaches an entry: the entry, the target, its requests in flight, its cached
    /// prefixes, and its step time in microseconds.
    Receive(usize, usize, usize, Vec<u64>, u64),
    /// The load ratio of the targets is sampled.
    Sample,
    /// [`SLOW_TARGET`] becomes slow.
    Slow,
}

impl RunOptions {
    /// Returns the virtual time after a share of the run, in microseconds.
    fn time_at(&self, share: f64) -> u64 {
        (self.seconds as f64 * SECOND as f64 * share) as u64
    }
}

struct ModelRun {
    options: RunOptions,
    generator: ChaCha8Rng,
    targets: Vec<ModelTarget>,
    entries: Vec<EntryChooser>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, ModelEvent>,
    last_event_id: u64,
    now: u64,
    load_ratios: Vec<f64>,
    starts: u64,
    hits: u64,
    waited_us: u64,
}

/// Runs the simulation to its end and returns the results.
pub fn run(options: RunOptions) -> RunFigures {
    let mut run = ModelRun {
        options,
        generator: ChaCha8Rng::seed_from_u64(options.seed),
        targets: (0..options.targets)
            .map(|_| ModelTarget::default())
            .collect(),
        entries: (0..ENTRIES)
            .map(|_| EntryChooser::new(options.policy, options.targets))
            .collect(),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        last_event_id: 0,
        now: 0,
        load_ratios: Vec::new(),
        starts: 0,
        hits: 0,
        waited_us: 0,
    };
    run.schedule(0, ModelEvent::Arrive);
    run.schedule(options.time_at(WARM_UP), ModelEvent::Sample);
    run.schedule(options.time_at(SLOW_TARGET.1), ModelEvent::Slow);
    run.schedule(options.time_at(FAILED_TARGET.1), ModelEvent::Fail);
    for target in 0..options.targets {
        let phase = run.generator.random_range(0..SECOND);
        run.schedule(phase, ModelEvent::Report(target));
    }
    while let Some(Reverse((time, number))) = run.queue.pop() {
        if time >= options.time_at(1.0) {
            break;
        }
        run.now = time;
        if let Some(event) = run.events.remove(&number) {
            run.handle(event);
        }
    }
    run.figures()
}

impl ModelRun {
    fn schedule(&mut self, time: u64, event: ModelEvent) {
        self.last_event_id += 1;
        self.queue.push(Reverse((time, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrive => self.arrive(),
            ModelEvent::End(target, started) => self.complete(target, started),
            ModelEvent::Fail => self.fail_target(),
            ModelEvent::Report(target) => self.report(target),
            ModelEvent::Receive(entry, target, in_flight, cached, step_us) => {
                self.entries[entry].report(target, in_flight, cached, step_us);
            }
            ModelEvent::Sample => self.sample(),
            ModelEvent::Slow => self.targets[SLOW_TARGET.0].slowdown = SLOW_TARGET.2,
        }
    }

    fn arrive(&mut self) {
        let capacity = (self.options.targets * MAX_RUNNING) as f64 / SERVICE_US as f64;
        let uniform: f64 = self.generator.random();
        let gap = -(1.0 - uniform).ln() / (capacity * self.options.load);
        self.schedule(self.now + gap as u64, ModelEvent::Arrive);
        // Squaring the uniform draw makes prefixes with low numbers more frequent.
        let draw: f64 = self.generator.random();
        let request = ModelRequest {
            entry: self.generator.random_range(0..ENTRIES),
            prefix: (draw * draw * PREFIXES as f64) as u64,
            arrived: self.now,
        };
        self.dispatch(request);
    }

    fn dispatch(&mut self, request: ModelRequest) {
        let entry = &mut self.entries[request.entry];
        let target = entry.choose(request.prefix, &mut self.generator);
        let started = self.targets[target].enqueue(request);
        self.record_start(target, started);
    }

    fn record_start(&mut self, target: usize, started: Option<StartedRequest>) {
        let Some(started) = started else {
            return;
        };
        if self.now >= self.options.time_at(WARM_UP) {
            self.starts += 1;
            self.hits += u64::from(started.prefix_hit);
            self.waited_us += self.now - started.request.arrived;
        }
        let end = self.now + started.duration;
        self.schedule(end, ModelEvent::End(target, started));
    }

    fn complete(&mut self, target: usize, ended: StartedRequest) {
        if self.targets[target].failed {
            return;
        }
        let next = self.targets[target].complete();
        let in_flight = self.targets[target].in_flight();
        let load = self.options.replies_carry_load.then_some(in_flight);
        self.entries[ended.request.entry].complete(target, load);
        self.record_start(target, next);
    }

    fn fail_target(&mut self) {
        let waiting = self.targets[FAILED_TARGET.0].fail();
        for entry in &mut self.entries {
            entry.fail_target(FAILED_TARGET.0);
        }
        for request in waiting {
            self.dispatch(request);
        }
    }

    fn report(&mut self, target: usize) {
        if self.targets[target].failed {
            return;
        }
        self.schedule(self.now + SECOND, ModelEvent::Report(target));
        for entry in 0..ENTRIES {
            let lag = self.generator.random_range(REPORT_LAGS);
            let cached: Vec<_> = self.targets[target].cached().collect();
            let seen = cached
                .into_iter()
                .filter(|_| self.generator.random::<f64>() >= MISSING_PREFIX_PROBABILITY);
            let seen = seen.collect();
            let model = &self.targets[target];
            let step_us = (STEP_US * model.slowdown) as u64;
            let event = ModelEvent::Receive(entry, target, model.in_flight(), seen, step_us);
            self.schedule(self.now + (lag * SECOND as f64) as u64, event);
        }
    }

    fn sample(&mut self) {
        self.schedule(self.now + SAMPLE_INTERVAL, ModelEvent::Sample);
        let live = self.targets.iter().filter(|target| !target.failed);
        let loads: Vec<_> = live.map(|target| target.in_flight() as f64).collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let busiest = loads.iter().copied().fold(0.0, f64::max);
        self.load_ratios.push(busiest / mean.max(1e-9));
    }

    fn figures(mut self) -> RunFigures {
        self.load_ratios.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let position = (self.load_ratios.len() as f64 * share) as usize;
            self.load_ratios[position.min(self.load_ratios.len() - 1)]
        };
        RunFigures {
            ratio_p95: quantile(0.95),
            ratio_p99: quantile(0.99),
            hit_percent: 100.0 * self.hits as f64 / self.starts as f64,
            mean_wait_ms: self.waited_us as f64 / self.starts as f64 / 1_000.0,
        }
    }
}

//! One run of the model, in virtual time.

use {
    super::{
        chooser::{EntryChooser, PolicyName},
        model::{ModelRequest, ModelTarget, SERVICE_US, SLOTS, StartedRequest},
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
const SECOND: u64 = 1_000_000;
/// Part of the run after which figures count.
const WARM: f64 = 0.125;
const SAMPLE_INTERVAL: u64 = SECOND / 10;
/// Target that runs slowly after a part of the run, and by which factor.
const SLOW: (usize, f64, f64) = (3, 0.25, 3.0);
/// Target that is lost after a part of the run.
const LOST: (usize, f64) = (11, 0.5625);
/// Lags of reports, in seconds.
const LAGS: std::ops::RangeInclusive<f64> = 1.0..=10.0;
/// Share of the cache events that are missing.
const GAPS: f64 = 0.2;
/// Duration of a step at the usual speed.
const STEP_US: f64 = 30_000.0;

/// What a run does.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Policy of all entries.
    pub policy: PolicyName,
    /// Whether the reply to a request carries the exact load.
    pub replies_carry_load: bool,
    /// Number of targets.
    pub targets: usize,
    /// Duration of the arrivals, in seconds.
    pub seconds: u64,
    /// Load as a share of the capacity without cache hits.
    pub load: f64,
    /// Seed.
    pub seed: u64,
}

/// Figures of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunFigures {
    /// Requests at the busiest target over the mean of all targets, 95 in 100 samples.
    pub ratio_p95: f64,
    /// The same, 99 in 100 samples.
    pub ratio_p99: f64,
    /// Starts with a cached prefix, in percent.
    pub hit_percent: f64,
    /// Mean time from the arrival to the start.
    pub mean_wait_ms: f64,
}

#[derive(Debug)]
enum ModelEvent {
    Arrive,
    End(usize, StartedRequest),
    Lose,
    Report(usize),
    Receive(usize, usize, usize, Vec<u64>, u64),
    Sample,
    Slow,
}

impl RunOptions {
    /// Returns the time after a part of the run.
    fn time(&self, part: f64) -> u64 {
        (self.seconds as f64 * SECOND as f64 * part) as u64
    }
}

struct ModelRun {
    options: RunOptions,
    generator: ChaCha8Rng,
    targets: Vec<ModelTarget>,
    entries: Vec<EntryChooser>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, ModelEvent>,
    numbered: u64,
    now: u64,
    ratios: Vec<f64>,
    starts: u64,
    hits: u64,
    waited: u64,
}

/// Runs the model to its end.
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
        numbered: 0,
        now: 0,
        ratios: Vec::new(),
        starts: 0,
        hits: 0,
        waited: 0,
    };
    run.schedule(0, ModelEvent::Arrive);
    run.schedule(options.time(WARM), ModelEvent::Sample);
    run.schedule(options.time(SLOW.1), ModelEvent::Slow);
    run.schedule(options.time(LOST.1), ModelEvent::Lose);
    for target in 0..options.targets {
        let phase = run.generator.random_range(0..SECOND);
        run.schedule(phase, ModelEvent::Report(target));
    }
    while let Some(Reverse((time, number))) = run.queue.pop() {
        if time >= options.time(1.0) {
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
        self.numbered += 1;
        self.queue.push(Reverse((time, self.numbered)));
        self.events.insert(self.numbered, event);
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrive => self.arrive(),
            ModelEvent::End(target, started) => self.end(target, started),
            ModelEvent::Lose => self.lose(),
            ModelEvent::Report(target) => self.report(target),
            ModelEvent::Receive(entry, target, in_flight, cached, step_us) => {
                self.entries[entry].report(target, in_flight, cached, step_us);
            }
            ModelEvent::Sample => self.sample(),
            ModelEvent::Slow => self.targets[SLOW.0].slowness = SLOW.2,
        }
    }

    fn arrive(&mut self) {
        let capacity = (self.options.targets * SLOTS) as f64 / SERVICE_US as f64;
        let uniform: f64 = self.generator.random();
        let gap = -(1.0 - uniform).ln() / (capacity * self.options.load);
        self.schedule(self.now + gap as u64, ModelEvent::Arrive);
        // A square makes low numbers more frequent.
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
        let started = self.targets[target].push(request);
        self.start(target, started);
    }

    fn start(&mut self, target: usize, started: Option<StartedRequest>) {
        let Some(started) = started else {
            return;
        };
        if self.now >= self.options.time(WARM) {
            self.starts += 1;
            self.hits += u64::from(started.hit);
            self.waited += self.now - started.request.arrived;
        }
        let end = self.now + started.duration;
        self.schedule(end, ModelEvent::End(target, started));
    }

    fn end(&mut self, target: usize, ended: StartedRequest) {
        if self.targets[target].lost {
            return;
        }
        let next = self.targets[target].end();
        let in_flight = self.targets[target].in_flight();
        let load = self.options.replies_carry_load.then_some(in_flight);
        self.entries[ended.request.entry].end(target, load);
        self.start(target, next);
    }

    fn lose(&mut self) {
        let waiting = self.targets[LOST.0].lose();
        for entry in &mut self.entries {
            entry.lose(LOST.0);
        }
        for request in waiting {
            self.dispatch(request);
        }
    }

    fn report(&mut self, target: usize) {
        if self.targets[target].lost {
            return;
        }
        self.schedule(self.now + SECOND, ModelEvent::Report(target));
        for entry in 0..ENTRIES {
            let lag = self.generator.random_range(LAGS);
            let cached: Vec<_> = self.targets[target].cached().collect();
            let seen = cached
                .into_iter()
                .filter(|_| self.generator.random::<f64>() >= GAPS);
            let seen = seen.collect();
            let model = &self.targets[target];
            let step_us = (STEP_US * model.slowness) as u64;
            let event = ModelEvent::Receive(entry, target, model.in_flight(), seen, step_us);
            self.schedule(self.now + (lag * SECOND as f64) as u64, event);
        }
    }

    fn sample(&mut self) {
        self.schedule(self.now + SAMPLE_INTERVAL, ModelEvent::Sample);
        let live = self.targets.iter().filter(|target| !target.lost);
        let loads: Vec<_> = live.map(|target| target.in_flight() as f64).collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let busiest = loads.iter().copied().fold(0.0, f64::max);
        self.ratios.push(busiest / mean.max(1e-9));
    }

    fn figures(mut self) -> RunFigures {
        self.ratios.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let position = (self.ratios.len() as f64 * share) as usize;
            self.ratios[position.min(self.ratios.len() - 1)]
        };
        RunFigures {
            ratio_p95: quantile(0.95),
            ratio_p99: quantile(0.99),
            hit_percent: 100.0 * self.hits as f64 / self.starts as f64,
            mean_wait_ms: self.waited as f64 / self.starts as f64 / 1_000.0,
        }
    }
}

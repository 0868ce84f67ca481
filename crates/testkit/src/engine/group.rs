//! Group of servers whose ranks run every step together.

use {
    super::{
        batch::{BatchRequest, RequestBatch},
        expert_map::ExpertMap,
        load::{EngineLoad, ExpertTokens, LoadHistory},
        options::{GroupOptions, RankMode, StepViolations},
        participant::{MapOrder, MapParticipant, MapReply, OrderKind},
        popularity::PopularityTable,
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

#[derive(Debug)]
struct ServerState {
    batch: RequestBatch,
    participant: MapParticipant,
    history: LoadHistory,
    expert_tokens: ExpertTokens,
    kind_expert_tokens: BTreeMap<String, ExpertTokens>,
    kind_tokens: BTreeMap<String, u64>,
    down: bool,
}

#[derive(Debug)]
struct GroupState {
    step: u64,
    servers: Vec<ServerState>,
    rank_modes: Vec<RankMode>,
    rank_work: Vec<Duration>,
    step_time: Duration,
    violations: StepViolations,
    popularity: PopularityTable,
    generator: ChaCha8Rng,
}

/// Model group whose servers share one step clock. Methods take a server by its index in the group,
/// and panic if it is out of range.
#[derive(Debug)]
pub struct EngineGroup {
    options: GroupOptions,
    state: Mutex<GroupState>,
}

impl EngineGroup {
    /// Creates a group without requests in which all servers are up and use the initial map.
    pub fn new(options: GroupOptions) -> Self {
        let (layers, experts) = (options.layers, options.experts);
        let ranks = options.servers * options.ranks;
        let map = ExpertMap::initial(layers, experts, ranks);
        let servers = (0..options.servers).map(|_| ServerState::new(&options, map.clone()));
        let skew = options.popularity_skew;
        let state = GroupState {
            step: 0,
            servers: servers.collect(),
            rank_modes: vec![RankMode::Ok; ranks],
            rank_work: vec![Duration::ZERO; ranks],
            step_time: options.base_step_time,
            violations: StepViolations::default(),
            popularity: PopularityTable::new(options.seed, layers, experts, skew),
            generator: ChaCha8Rng::seed_from_u64(options.seed),
        };
        Self {
            options,
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a request at a server.
    pub fn push(&self, server: usize, request: BatchRequest) {
        self.state().servers[server].batch.push(request);
    }

    /// Cancels the requests of a server with an id; returns whether there were any.
    pub fn cancel(&self, server: usize, id: &str) -> bool {
        self.state().servers[server].batch.cancel(id)
    }

    /// Returns the load of a server as it was before the lag of the load report.
    pub fn load(&self, server: usize) -> EngineLoad {
        let (now, lag) = (Instant::now(), self.options.load_lag);
        self.state().servers[server].history.read(now, lag)
    }

    /// Returns the number of steps so far, and in how many of them the servers' maps differed.
    pub fn violations(&self) -> StepViolations {
        let state = self.state();
        StepViolations {
            steps: state.step,
            ..state.violations
        }
    }

    /// Sets the mode of a rank; returns whether the rank exists.
    pub fn set_rank(&self, rank: usize, mode: RankMode) -> bool {
        let mut state = self.state();
        let entry = state.rank_modes.get_mut(rank);
        entry.map(|entry| *entry = mode).is_some()
    }

    /// Takes a server down or brings it back up. While a server is down, its streams are broken and
    /// the whole group stalls.
    pub fn set_down(&self, server: usize, down: bool) {
        let server = &mut self.state().servers[server];
        server.down = down;
        if down {
            server.batch.clear();
        }
    }

    /// Returns whether a server is down.
    pub fn is_down(&self, server: usize) -> bool {
        self.state().servers[server].down
    }

    /// Changes which experts are popular for a request kind.
    pub fn shift_popularity(&self, kind: &str, shift: u64) {
        self.state().popularity.shift(kind, shift);
    }

    /// Applies a map order to a server. For a map to prepare, waits as long as loading its new
    /// experts takes.
    pub async fn apply_order(&self, server: usize, order: MapOrder) -> MapReply {
        if order.order == OrderKind::Prepare {
            match self.check_prepare(server, &order) {
                Ok(duration) => sleep(duration).await,
                Err(reply) => return *reply,
            }
        }
        let mut state = self.state();
        let step = state.step;
        state.servers[server].participant.apply(order, step)
    }

    /// Checks an order to prepare a map and returns the time that loading the new experts takes.
    fn check_prepare(&self, server: usize, order: &MapOrder) -> Result<Duration, Box<MapReply>> {
        let mut state = self.state();
        let step = state.step;
        let (options, participant) = (&self.options, &mut state.servers[server].participant);
        let ranks = options.servers * options.ranks;
        let checked = participant.check_fencing(order.fencing).and_then(|()| {
            let map = order.map.as_ref().ok_or("no map to prepare")?;
            match map.validation_error(options.layers, options.experts, ranks) {
                Some(fault) => Err(fault),
                None => Ok(map),
            }
        });
        match checked {
            Ok(map) => {
                let first = server * options.ranks;
                let added = map.added_replicas(participant.map(), first, first + options.ranks);
                Ok(options.expert_load_time * added as u32)
            }
            Err(fault) => Err(Box::new(participant.reply(Err(fault), step))),
        }
    }

    /// Begins a step and returns its duration; `None` if the group cannot step because a rank
    /// stalls, a server is down, or a server waits at its gate step.
    pub fn begin_step(&self) -> Option<Duration> {
        let mut state = self.state();
        let step = state.step;
        let stalled = state.rank_modes.contains(&RankMode::Stall);
        let mut servers = state.servers.iter();
        if stalled || servers.any(|server| server.down || server.participant.waits_at(step)) {
            return None;
        }
        for server in &mut state.servers {
            server.participant.enter_step(step);
        }
        state.count_mixed_maps();
        let loads = state.draw_rank_loads(&self.options);
        state.set_step_time(&self.options, &loads);
        Some(state.step_time)
    }

    /// Ends the step: sends its tokens and records the load.
    pub fn end_step(&self) {
        let mut state = self.state();
        for server in &mut state.servers {
            server.batch.end_step();
        }
        state.step += 1;
        state.take_snapshots(&self.options);
    }
}

impl ServerState {
    fn new(options: &GroupOptions, map: ExpertMap) -> Self {
        Self {
            batch: RequestBatch::new(options.max_running, options.cached_prefixes),
            participant: MapParticipant::new(map, options.checks_fencing),
            history: LoadHistory::default(),
            expert_tokens: vec![vec![0; options.experts]; options.layers],
            kind_expert_tokens: BTreeMap::new(),
            kind_tokens: BTreeMap::new(),
            down: false,
        }
    }

    fn count_token(&mut self, kind: &str, draws: &[(usize, usize)]) {
        let empty = || vec![vec![0; self.expert_tokens[0].len()]; self.expert_tokens.len()];
        let by_kind = self
            .kind_expert_tokens
            .entry(kind.to_owned())
            .or_insert_with(empty);
        for (layer, expert) in draws {
            self.expert_tokens[*layer][*expert] += 1;
            by_kind[*layer][*expert] += 1;
        }
        *self.kind_tokens.entry(kind.to_owned()).or_default() += 1;
    }
}

impl GroupState {
    /// Counts the step as a violation if the servers use maps of different versions.
    fn count_mixed_maps(&mut self) {
        let mut versions = self
            .servers
            .iter()
            .map(|server| server.participant.map().version);
        let first = versions.next();
        if versions.any(|version| Some(version) != first) {
            self.violations.mixed_map_steps += 1;
            self.violations.first_mixed_step.get_or_insert(self.step);
        }
    }

    /// Draws the experts that each running request's token uses, and returns the expert activations
    /// by layer and rank. The replicas of an expert share its tokens equally.
    fn draw_rank_loads(&mut self, options: &GroupOptions) -> Vec<Vec<f64>> {
        let ranks = options.servers * options.ranks;
        let mut loads = vec![vec![0.0; ranks]; options.layers];
        for server in &mut self.servers {
            for kind in server.batch.begin_step() {
                let count = options.experts_per_token;
                let draws = self.popularity.draw(&kind, count, &mut self.generator);
                let layers = &server.participant.map().layers;
                for (layer, expert) in &draws {
                    let replicas = &layers[*layer][*expert];
                    for rank in replicas {
                        loads[*layer][*rank] += 1.0 / replicas.len() as f64;
                    }
                }
                server.count_token(&kind, &draws);
            }
        }
        loads
    }

    /// Sets the duration of the step and the work of each rank. Within a layer all ranks wait for
    /// the slowest one, so that the step takes the sum of the layers' longest times.
    fn set_step_time(&mut self, options: &GroupOptions, loads: &[Vec<f64>]) {
        let factors = self.rank_modes.iter().map(|mode| match mode {
            RankMode::Slow { factor } => *factor,
            RankMode::Ok | RankMode::Stall => 1.0,
        });
        let factors: Vec<f64> = factors.collect();
        let base = options.base_step_time.as_secs_f64() / options.layers as f64;
        let cost = options.token_cost.as_secs_f64();
        let mut work = vec![0.0; factors.len()];
        let mut step = 0.0;
        for layer in loads {
            let times = layer.iter().zip(&factors);
            let times = times.map(|(tokens, factor)| (base + tokens * cost) * factor);
            let times: Vec<f64> = times.collect();
            step += times.iter().copied().fold(0.0, f64::max);
            for (rank, time) in times.iter().enumerate() {
                work[rank] += time;
            }
        }
        self.step_time = Duration::from_secs_f64(step);
        self.rank_work = work.into_iter().map(Duration::from_secs_f64).collect();
    }

    /// Records the load of each server whose last snapshot is old enough.
    fn take_snapshots(&mut self, options: &GroupOptions) {
        let now = Instant::now();
        for (index, server) in self.servers.iter_mut().enumerate() {
            if !server.history.is_due(now) {
                continue;
            }
            let (waiting, running) = server.batch.lengths();
            let first_rank = index * options.ranks;
            let work = &self.rank_work[first_rank..first_rank + options.ranks];
            let load = EngineLoad {
                in_flight: waiting + running,
                waiting,
                step: self.step,
                map_version: server.participant.map().version,
                first_rank,
                step_us: self.step_time.as_micros() as u64,
                rank_step_us: work.iter().map(|work| work.as_micros() as u64).collect(),
                expert_tokens: server.expert_tokens.clone(),
                kind_expert_tokens: server.kind_expert_tokens.clone(),
                kind_tokens: server.kind_tokens.clone(),
                cached_prefixes: server.batch.cached_prefixes(),
            };
            server.history.push(now, load, options.load_lag);
        }
    }
}

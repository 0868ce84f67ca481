//! Simulation of a group of three participants with two coordinators, over a network that drops,
//! duplicates and reorders messages.

use {
    proptest::sample::Index,
    sassafrasslip_core::map_change::{
        CoordinatorAction, CoordinatorTimes, MapCoordinator, MapOrder, MapParticipant, MapReply,
        OrderStep, ParticipantState,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

pub(crate) const RANKS: usize = 3;
pub(crate) const COORDINATORS: usize = 2;
const LEASE: Duration = Duration::from_secs(3);

/// Protocol rules that a variant of the model can leave out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rules {
    /// Ranks switch maps only at the gate step for which they were armed.
    pub(crate) gate: bool,
    /// Participants refuse orders whose fencing token is lower than one they have seen.
    pub(crate) fencing: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            gate: true,
            fencing: true,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) enum WorldEvent {
    Deliver(Index),
    Duplicate(Index),
    Lose(Index),
    StepRank(usize),
    Tick(usize),
    Propose(usize),
    /// Stops the coordinator's clock, so that it keeps acting after its lease has expired.
    Freeze(usize),
    TakeLease(usize),
    PassTime(u64),
}

#[derive(Clone, Debug)]
enum Message {
    /// Order from a coordinator to a rank.
    Order(usize, usize, MapOrder),
    /// Reply to a coordinator from a rank.
    Reply(usize, usize, MapReply),
}

struct Rank {
    participant: MapParticipant,
    /// Next step that the rank executes.
    step: u64,
}

struct Coordinator {
    protocol: MapCoordinator,
    /// Time at which the coordinator's clock stopped; `None` while it runs.
    frozen_at: Option<Instant>,
}

pub(crate) struct World {
    rules: Rules,
    now: Instant,
    token: u64,
    lease_end: Instant,
    ranks: Vec<Rank>,
    coordinators: Vec<Option<Coordinator>>,
    messages: Vec<Message>,
    /// Version of the map that the first rank used in each step, by step.
    used_maps: BTreeMap<u64, u64>,
    pub(crate) violation: Option<String>,
}

impl World {
    pub(crate) fn new(rules: Rules) -> Self {
        let now = Instant::now();
        let rank = || Rank {
            participant: MapParticipant::new(0, 0).unwrap(),
            step: 0,
        };
        Self {
            rules,
            now,
            token: 0,
            lease_end: now,
            ranks: (0..RANKS).map(|_| rank()).collect(),
            coordinators: (0..COORDINATORS).map(|_| None).collect(),
            messages: Vec::new(),
            used_maps: BTreeMap::new(),
            violation: None,
        }
    }

    pub(crate) fn map_versions(&self) -> Vec<u64> {
        let ranks = self.ranks.iter();
        ranks.map(|rank| rank.participant.map_version()).collect()
    }

    /// Returns the number of distinct maps that ranks have used, not counting the initial one.
    pub(crate) fn switch_count(&self) -> usize {
        self.used_maps
            .values()
            .collect::<BTreeSet<_>>()
            .len()
            .saturating_sub(1)
    }

    pub(crate) fn apply(&mut self, event: &WorldEvent) {
        match event {
            WorldEvent::Deliver(index) if !self.messages.is_empty() => {
                let message = self.messages.swap_remove(index.index(self.messages.len()));
                self.deliver(&message);
            }
            WorldEvent::Duplicate(index) if !self.messages.is_empty() => {
                let copy = self.messages[index.index(self.messages.len())].clone();
                self.messages.push(copy);
            }
            WorldEvent::Lose(index) if !self.messages.is_empty() => {
                self.messages.swap_remove(index.index(self.messages.len()));
            }
            WorldEvent::Deliver(_) | WorldEvent::Duplicate(_) | WorldEvent::Lose(_) => {}
            WorldEvent::StepRank(rank) => self.step_rank(*rank),
            WorldEvent::Tick(index) => self.run_coordinator(*index, MapCoordinator::tick),
            WorldEvent::Propose(index) => {
                self.run_coordinator(*index, |protocol, now| protocol.propose(LEASE, now));
            }
            WorldEvent::Freeze(index) => self.freeze(*index),
            WorldEvent::TakeLease(index) => self.take_lease(*index),
            WorldEvent::PassTime(milliseconds) => self.now += Duration::from_millis(*milliseconds),
        }
    }

    /// Ticks, delivers and steps in order, for enough rounds to complete a change.
    pub(crate) fn run_until_idle(&mut self) {
        for round in 0..100 {
            (0..COORDINATORS).for_each(|index| self.run_coordinator(index, MapCoordinator::tick));
            for message in std::mem::take(&mut self.messages) {
                self.deliver(&message);
            }
            self.step_rank(round % RANKS);
        }
    }

    fn freeze(&mut self, index: usize) {
        let now = self.now;
        if let Some(coordinator) = &mut self.coordinators[index] {
            coordinator.frozen_at.get_or_insert(now);
        }
    }

    fn take_lease(&mut self, index: usize) {
        self.now = self.now.max(self.lease_end);
        self.token += 1;
        self.lease_end = self.now + LEASE;
        let times = CoordinatorTimes::default();
        let protocol =
            MapCoordinator::new(self.token, RANKS, self.lease_end, times, self.now).unwrap();
        self.coordinators[index] = Some(Coordinator {
            protocol,
            frozen_at: None,
        });
        self.run_coordinator(index, MapCoordinator::tick);
    }

    fn run_coordinator(
        &mut self,
        index: usize,
        input: impl FnOnce(&mut MapCoordinator, Instant) -> Vec<CoordinatorAction>,
    ) {
        let Some(coordinator) = &mut self.coordinators[index] else {
            return;
        };
        let now = coordinator.frozen_at.unwrap_or(self.now);
        for action in input(&mut coordinator.protocol, now) {
            if let CoordinatorAction::Send { participant, order } = action {
                self.messages
                    .push(Message::Order(index, participant, order));
            }
        }
    }

    fn deliver(&mut self, message: &Message) {
        match message {
            Message::Order(from, rank, order) => {
                let reply = self.execute_order(*rank, order);
                self.messages.push(Message::Reply(*from, *rank, reply));
            }
            Message::Reply(to, rank, reply) => {
                self.run_coordinator(*to, |protocol, now| protocol.receive(*rank, reply, now));
            }
        }
    }

    fn execute_order(&mut self, rank: usize, order: &MapOrder) -> MapReply {
        let Rank { participant, step } = &mut self.ranks[rank];
        let mut checked = *order;
        if !self.rules.fencing {
            checked.fencing_token = checked.fencing_token.max(participant.fencing_token());
        }
        let verdict = participant.check(&checked, *step);
        if verdict.is_ok() {
            participant.apply(&checked);
        }
        if !self.rules.gate && order.step == OrderStep::Commit {
            participant.switched();
        }
        let mut reply = participant.reply(order, verdict.is_ok(), *step);
        if !self.rules.fencing {
            reply.fencing_token = order.fencing_token;
        }
        reply
    }

    /// Executes the next step of a rank, unless it waits at its gate or is ahead of another rank.
    fn step_rank(&mut self, rank: usize) {
        let slowest = self.ranks.iter().map(|rank| rank.step).min();
        let Rank { participant, step } = &mut self.ranks[rank];
        let at_gate = participant.gate().is_some_and(|gate| *step >= gate);
        let waits = self.rules.gate && at_gate && participant.state() == ParticipantState::Armed;
        if waits || slowest.is_some_and(|slowest| *step > slowest) {
            return;
        }
        if at_gate {
            participant.switched();
        }
        let version = participant.map_version();
        let expected = *self.used_maps.entry(*step).or_insert(version);
        if version != expected {
            self.violation = Some(format!("step {step} used map {expected} and map {version}"));
        }
        *step += 1;
    }
}

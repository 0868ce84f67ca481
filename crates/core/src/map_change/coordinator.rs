//! Coordinator of map changes: drives one change at a time while it holds the placement lease.

pub mod labels;

pub use labels::{CoordinatorEffect, CoordinatorEvent, CoordinatorState};

use {
    super::{
        ChangeId, FencingToken, GatePolicy, GroupStep, MapOrder, MapReply, OrderStep,
        ParticipantState, StepClock,
    },
    crate::chart::{self, StateChart},
    std::time::Duration,
    tokio::time::Instant,
};

const CHART: &str = include_str!("../../charts/map_coordinator.ini");

/// Bits of a change identifier that count the changes of one lease holder; the bits above them hold
/// the fencing token.
const COUNTER_BITS: u32 = 20;

/// Factor on the retry interval of `Prepare`, which carries a map and takes seconds, so it is
/// repeated less often.
const PREPARE_RETRY_FACTOR: u32 = 10;

type CoordinatorChart = StateChart<CoordinatorState, CoordinatorEvent, CoordinatorEffect>;

/// What the caller of the coordinator has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CoordinatorAction {
    /// Send an order to a participant.
    Send {
        /// Index of the participant, from 0.
        participant: usize,
        /// Order to send to it.
        order: MapOrder,
    },
    /// Record that all participants have committed the change.
    Committed(ChangeId),
    /// Record that all participants have aborted the change.
    Aborted(ChangeId),
    /// Drop the coordinator: it has stopped because its lease ended or another holder took over.
    SteppedDown,
}

/// Timeouts and intervals of a coordinator.
#[derive(Clone, Copy, Debug)]
pub struct CoordinatorTimes {
    /// Interval after which an order without a reply is sent again.
    pub retry: Duration,
    /// Time within which all participants have to arm the gate; otherwise the change is aborted.
    pub arm_limit: Duration,
    /// How far ahead of the current step the gate is set.
    pub gate: GatePolicy,
}

impl Default for CoordinatorTimes {
    fn default() -> Self {
        Self {
            retry: Duration::from_millis(300),
            arm_limit: Duration::from_secs(2),
            gate: GatePolicy::default(),
        }
    }
}

/// Coordinator of map changes under one fencing token.
#[derive(Clone, Debug)]
pub struct MapCoordinator {
    chart: CoordinatorChart,
    state: CoordinatorState,
    times: CoordinatorTimes,
    fencing_token: FencingToken,
    lease_end: Instant,
    /// Changes started under the fencing token.
    change_count: u64,
    /// Current or last change.
    change: ChangeId,
    gate: GroupStep,
    clock: StepClock,
    /// Accepted replies to the order of the current phase, by participant.
    replies: Vec<Option<MapReply>>,
    /// Time by which the current phase has to end, if it is limited.
    deadline: Option<Instant>,
    /// Longest time for the participants to load the experts.
    prepare_limit: Duration,
    /// Time at which orders without a reply are sent again.
    retry_at: Instant,
}

impl MapCoordinator {
    /// Creates a coordinator of `participants` participants; [`Self::tick`] sends its first
    /// queries.
    ///
    /// # Errors
    ///
    /// Fails if `map_coordinator.ini` does not match the states, events and effects in the code.
    pub fn new(
        fencing_token: FencingToken,
        participants: usize,
        lease_end: Instant,
        times: CoordinatorTimes,
        now: Instant,
    ) -> chart::Result<Self> {
        let chart = CoordinatorChart::parse(CHART)?;
        Ok(Self {
            state: chart.initial(),
            chart,
            times,
            fencing_token,
            lease_end,
            change_count: 0,
            change: 0,
            gate: 0,
            clock: StepClock::default(),
            replies: vec![None; participants],
            deadline: None,
            prepare_limit: Duration::ZERO,
            retry_at: now,
        })
    }

    /// Returns the state of the coordinator.
    pub fn state(&self) -> CoordinatorState {
        self.state
    }

    /// Returns the fencing token under which the coordinator sends its orders.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Returns the current or last change.
    pub fn change(&self) -> ChangeId {
        self.change
    }

    /// Returns the gate step of the current or last change.
    pub fn gate(&self) -> GroupStep {
        self.gate
    }

    /// Returns the identifier that the next change will have.
    pub fn next_change(&self) -> ChangeId {
        (self.fencing_token << COUNTER_BITS) + self.change_count + 1
    }

    /// Extends the lease to `lease_end`; an earlier end has no effect.
    pub fn renew(&mut self, lease_end: Instant) {
        self.lease_end = self.lease_end.max(lease_end);
    }

    /// Sets the mean duration of a step, from which the gate step is calculated.
    pub fn set_step_time(&mut self, step_time: Duration) {
        self.clock.set_step_time(step_time);
    }

    /// Starts a change, and returns its first orders; returns nothing if a change is open or the
    /// lease has ended. The change is aborted if the experts are not loaded within `prepare_limit`.
    pub fn propose(&mut self, prepare_limit: Duration, now: Instant) -> Vec<CoordinatorAction> {
        if self.state != CoordinatorState::Ready || now >= self.lease_end {
            return Vec::new();
        }
        self.change = self.next_change();
        self.change_count += 1;
        self.prepare_limit = prepare_limit;
        self.handle(CoordinatorEvent::Propose, now)
    }

    /// Handles the first of these that is due: the end of the lease, the deadline of the phase, the
    /// next retry.
    pub fn tick(&mut self, now: Instant) -> Vec<CoordinatorAction> {
        if now >= self.lease_end {
            return self.handle(CoordinatorEvent::LeaseEnded, now);
        }
        if self.deadline.is_some_and(|deadline| now >= deadline) {
            return self.handle(CoordinatorEvent::Deadline, now);
        }
        if now >= self.retry_at {
            return self.handle(CoordinatorEvent::Retry, now);
        }
        Vec::new()
    }

    /// Handles the reply of a participant. Replies to earlier orders and repeated replies have no
    /// effect.
    pub fn receive(
        &mut self,
        participant: usize,
        reply: &MapReply,
        now: Instant,
    ) -> Vec<CoordinatorAction> {
        if now >= self.lease_end || reply.fencing_token > self.fencing_token {
            return self.handle(CoordinatorEvent::LeaseEnded, now);
        }
        self.clock.observe(reply.current_step, now);
        if !self.is_current(reply) || participant >= self.replies.len() {
            return Vec::new();
        }
        if !reply.accepted {
            return self.handle(CoordinatorEvent::Refused, now);
        }
        if !self.is_complete(reply) {
            return Vec::new();
        }
        self.replies[participant] = Some(*reply);
        if self.replies.iter().any(Option::is_none) {
            return Vec::new();
        }
        let event = self.completion_event();
        self.handle(event, now)
    }

    /// Returns the order of the current phase; `None` if no change is open.
    fn order_step(&self) -> Option<OrderStep> {
        match self.state {
            CoordinatorState::Aborting => Some(OrderStep::Abort),
            CoordinatorState::Arming => Some(OrderStep::Arm(self.gate)),
            CoordinatorState::Committing => Some(OrderStep::Commit),
            CoordinatorState::Preparing => Some(OrderStep::Prepare),
            CoordinatorState::Querying => Some(OrderStep::Query),
            CoordinatorState::Ready | CoordinatorState::Stopped => None,
        }
    }

    /// Returns whether the reply answers the order of the current phase.
    fn is_current(&self, reply: &MapReply) -> bool {
        let step = self.order_step();
        let same_step = step.is_some_and(|step| step.same_kind(reply.step));
        let same_change = reply.step == OrderStep::Query || reply.change == self.change;
        same_step && same_change && reply.fencing_token == self.fencing_token
    }

    /// Returns whether the participant has completed the phase with this reply. An engine may
    /// accept `Prepare` before its experts are loaded; then the next retry asks again.
    fn is_complete(&self, reply: &MapReply) -> bool {
        reply.step != OrderStep::Prepare || reply.state == ParticipantState::Prepared
    }

    /// Returns the event that follows when all participants have completed the phase.
    fn completion_event(&mut self) -> CoordinatorEvent {
        if self.state != CoordinatorState::Querying {
            return CoordinatorEvent::AllAccepted;
        }
        let replies: Vec<MapReply> = self.replies.iter().flatten().copied().collect();
        let open = replies
            .iter()
            .filter(|reply| reply.state != ParticipantState::Stepping);
        let Some(change) = open.map(|reply| reply.change).max() else {
            return CoordinatorEvent::NoneOpen;
        };
        self.change = change;
        // The change is 0 if the agents restarted and their engines do not report it.
        let committed = |reply: &MapReply| {
            let decided = reply.state == ParticipantState::Committed;
            let same = reply.change == change || reply.change == 0;
            (decided && same) || (change != 0 && reply.map_version == change)
        };
        if replies.iter().any(committed) {
            CoordinatorEvent::SomeCommitted
        } else {
            CoordinatorEvent::NoneCommitted
        }
    }

    fn handle(&mut self, event: CoordinatorEvent, now: Instant) -> Vec<CoordinatorAction> {
        let Some(transition) = self.chart.step(self.state, event) else {
            return Vec::new();
        };
        if self.state != transition.next {
            self.enter(transition.next, now);
        }
        transition
            .action
            .map_or_else(Vec::new, |effect| self.perform(effect, now))
    }

    /// Enters a phase: forgets the replies, sets the deadline, and chooses the gate before arming.
    fn enter(&mut self, state: CoordinatorState, now: Instant) {
        self.state = state;
        self.replies.fill(None);
        self.deadline = match state {
            CoordinatorState::Arming => Some(now + self.times.arm_limit),
            CoordinatorState::Preparing => Some(now + self.prepare_limit),
            _ => None,
        };
        if state == CoordinatorState::Arming {
            self.gate = self.clock.choose_gate(&self.times.gate, now);
        }
    }

    fn perform(&mut self, effect: CoordinatorEffect, now: Instant) -> Vec<CoordinatorAction> {
        match effect {
            CoordinatorEffect::ReportAborted => vec![CoordinatorAction::Aborted(self.change)],
            CoordinatorEffect::ReportCommitted => vec![CoordinatorAction::Committed(self.change)],
            CoordinatorEffect::StepDown => vec![CoordinatorAction::SteppedDown],
            CoordinatorEffect::SendAbort
            | CoordinatorEffect::SendArm
            | CoordinatorEffect::SendCommit
            | CoordinatorEffect::SendPrepare
            | CoordinatorEffect::SendQuery => self.send(now),
        }
    }

    /// Sends the order of the phase to every participant whose reply is missing.
    fn send(&mut self, now: Instant) -> Vec<CoordinatorAction> {
        let Some(step) = self.order_step() else {
            return Vec::new();
        };
        let factor = if step == OrderStep::Prepare {
            PREPARE_RETRY_FACTOR
        } else {
            1
        };
        self.retry_at = now + self.times.retry * factor;
        let query = step == OrderStep::Query;
        let order = MapOrder {
            fencing_token: self.fencing_token,
            change: if query { 0 } else { self.change },
            step,
        };
        let missing = (0..self.replies.len()).filter(|index| self.replies[*index].is_none());
        missing
            .map(|participant| CoordinatorAction::Send { participant, order })
            .collect()
    }
}

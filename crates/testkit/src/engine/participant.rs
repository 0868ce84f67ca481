//! Participant of a map change: one server's side of the two-phase protocol that changes the expert
//! map. The servers prepare a map, are armed to wait at a gate step, and switch maps there once the
//! change is committed.

use {
    super::expert_map::ExpertMap,
    serde::{Deserialize, Serialize},
};

/// Kind of an order in a map change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the experts of a new map.
    Prepare,
    /// Wait at the gate step until the change is committed or aborted.
    Arm,
    /// Use the prepared map from the gate step on.
    Commit,
    /// Discard the prepared map.
    Abort,
    /// Only report the state.
    Query,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MapOrder {
    /// Kind of the order.
    pub order: OrderKind,
    /// Fencing token of the process that changes the map.
    pub fencing: u64,
    /// Identifier of the change that the order belongs to.
    #[serde(default)]
    pub change: u64,
    /// Map to load; only for [`OrderKind::Prepare`].
    #[serde(default)]
    pub map: Option<ExpertMap>,
    /// Step at which the servers switch maps; only for [`OrderKind::Arm`].
    #[serde(default)]
    pub gate_step: Option<u64>,
}

/// State of a server in a map change.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ParticipantState {
    /// No change is under way.
    #[default]
    Stepping,
    /// The experts of the new map are loaded.
    Prepared,
    /// The server will wait at the gate step for the decision.
    Armed,
    /// The change is committed; the new map is used from the gate step on.
    Committed,
}

/// Answer to a map order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MapReply {
    /// Whether the order was carried out.
    pub accepted: bool,
    /// State after the order.
    pub state: ParticipantState,
    /// Version of the expert map in use.
    pub map_version: u64,
    /// Next step to be run.
    pub step: u64,
    /// Highest fencing token seen.
    pub fencing: u64,
    /// Identifier of the latest change that was prepared; 0 if there is none.
    pub change: u64,
    /// Why the order was refused; `None` if it was accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// Participant in map changes for one server.
#[derive(Debug)]
pub struct MapParticipant {
    map: ExpertMap,
    state: ParticipantState,
    change: u64,
    prepared: Option<ExpertMap>,
    gate: u64,
    fencing: u64,
    checks_fencing: bool,
}

impl MapParticipant {
    /// Creates a participant that uses a map; `checks_fencing` makes it refuse orders with old
    /// fencing tokens.
    pub fn new(map: ExpertMap, checks_fencing: bool) -> Self {
        Self {
            map,
            state: ParticipantState::Stepping,
            change: 0,
            prepared: None,
            gate: 0,
            fencing: 0,
            checks_fencing,
        }
    }

    /// Returns the expert map in use.
    pub fn map(&self) -> &ExpertMap {
        &self.map
    }

    /// Returns whether the server must not run a step because it waits at its gate step for the
    /// decision.
    pub fn waits_at(&self, step: u64) -> bool {
        self.state == ParticipantState::Armed && step >= self.gate
    }

    /// Switches to the committed map if the step is its gate step or a later one.
    pub fn enter_step(&mut self, step: u64) {
        if self.state == ParticipantState::Committed
            && step >= self.gate
            && let Some(map) = self.prepared.take()
        {
            self.map = map;
        }
    }

    /// Refuses a fencing token below the highest seen, if the engine checks tokens; otherwise
    /// remembers the highest one.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal.
    pub fn check_fencing(&mut self, fencing: u64) -> Result<(), String> {
        if self.checks_fencing && fencing < self.fencing {
            return Err(format!("fencing token {fencing} is below {}", self.fencing));
        }
        self.fencing = self.fencing.max(fencing);
        Ok(())
    }

    /// Applies an order before a step. The caller has validated a map to prepare and waited for its
    /// experts to load.
    pub fn apply(&mut self, order: MapOrder, step: u64) -> MapReply {
        let result = self
            .check_fencing(order.fencing)
            .and_then(|()| match order.order {
                OrderKind::Abort => self.abort(order.change),
                OrderKind::Arm => self.arm(order.change, order.gate_step, step),
                OrderKind::Commit => self.commit(order.change),
                OrderKind::Prepare => self.prepare(order.change, order.map),
                OrderKind::Query => Ok(()),
            });
        self.reply(result, step)
    }

    /// Returns the answer to an order, with the current state.
    pub fn reply(&self, result: Result<(), String>, step: u64) -> MapReply {
        MapReply {
            accepted: result.is_ok(),
            state: self.state,
            map_version: self.map.version,
            step,
            fencing: self.fencing,
            change: self.change,
            reason: result.err(),
        }
    }

    fn is_in_state(&self, state: ParticipantState, change: u64) -> bool {
        self.state == state && self.change == change
    }

    fn prepare(&mut self, change: u64, map: Option<ExpertMap>) -> Result<(), String> {
        let map = map.ok_or("no map to prepare")?;
        if self.state == ParticipantState::Armed {
            return Err(format!("change {} is armed", self.change));
        }
        if self.state == ParticipantState::Committed && self.prepared.is_some() {
            return Err(format!("change {} waits for its gate", self.change));
        }
        if map.version <= self.map.version {
            let (new, current) = (map.version, self.map.version);
            return Err(format!("map version {new} is not above {current}"));
        }
        self.state = ParticipantState::Prepared;
        self.change = change;
        self.prepared = Some(map);
        Ok(())
    }

    fn arm(&mut self, change: u64, gate: Option<u64>, step: u64) -> Result<(), String> {
        let gate = gate.ok_or("no gate step")?;
        if self.is_in_state(ParticipantState::Armed, change) && self.gate == gate {
            return Ok(());
        }
        if !self.is_in_state(ParticipantState::Prepared, change) {
            return Err(format!("change {change} is not prepared"));
        }
        if step >= gate {
            return Err(format!("step {step} has reached gate {gate}"));
        }
        self.state = ParticipantState::Armed;
        self.gate = gate;
        Ok(())
    }

    fn commit(&mut self, change: u64) -> Result<(), String> {
        if self.is_in_state(ParticipantState::Committed, change) {
            return Ok(());
        }
        if !self.is_in_state(ParticipantState::Armed, change) {
            return Err(format!("change {change} is not armed"));
        }
        self.state = ParticipantState::Committed;
        Ok(())
    }

    fn abort(&mut self, change: u64) -> Result<(), String> {
        if self.is_in_state(ParticipantState::Committed, change) {
            return Err(format!("change {change} is committed"));
        }
        let undecided = [ParticipantState::Armed, ParticipantState::Prepared];
        if undecided.contains(&self.state) && self.change != change {
            return Err(format!("change {} is under way", self.change));
        }
        if self.change == change {
            self.state = ParticipantState::Stepping;
            self.prepared = None;
        }
        Ok(())
    }
}

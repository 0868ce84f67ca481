//! Settlement of a lost reply by an entry; chart `claim_settlement.ini`.

use {
    super::{BodyHash, ClaimRecord, RecordFinding},
    crate::{chart::StateChart, chart_labels},
    std::sync::LazyLock,
    tokio::time::Instant,
};

chart_labels! {
    /// State of a settlement.
    pub enum SettlementState {
        /// Nothing was done yet.
        Idle = "idle",
        /// The insert of the tombstone is on its way.
        Inserting = "inserting",
        /// The record is being read.
        Reading = "reading",
        /// A start record is there; the call may be running.
        Waiting = "waiting",
        /// The outcome is known, or the deadline has passed.
        Ended = "ended",
    }
}

chart_labels! {
    /// Event of a settlement.
    enum SettlementEvent {
        Start = "start",
        Inserted = "inserted",
        FoundTombstone = "found_tombstone",
        FoundStart = "found_start",
        FoundDone = "found_done",
        FoundOtherBody = "found_other_body",
        FoundAbsent = "found_absent",
        AnswerLost = "answer_lost",
        TableDown = "table_down",
        Poll = "poll",
        TooLate = "too_late",
    }
}

chart_labels! {
    /// Action that the driver carries out.
    pub enum SettlementAction {
        /// Insert the tombstone if the key is absent.
        Insert = "insert",
        /// Read the record.
        Read = "read",
        /// Pause, then go on with [`SettlementInput::Poll`].
        Wait = "wait",
        /// Report `not-run`: a tombstone is there.
        ReportNotRun = "report_not_run",
        /// Report `unknown`.
        ReportUnknown = "report_unknown",
        /// Send the stored answer.
        Replay = "replay",
    }
}

type SettlementChart = StateChart<SettlementState, SettlementEvent, SettlementAction>;

static CHART: LazyLock<SettlementChart> = LazyLock::new(|| {
    let chart = StateChart::parse(include_str!("../../charts/claim_settlement.ini"));
    chart.expect("charts/claim_settlement.ini is valid; a test reads it")
});

/// What happened to a settlement.
#[derive(Clone, Copy, Debug)]
pub enum SettlementInput<'a> {
    /// The driver starts.
    Start,
    /// The insert was confirmed.
    Inserted,
    /// A failed insert or a read showed this state of the key.
    Found(Option<&'a ClaimRecord>),
    /// The value at the key is no claim record; it counts as a start record.
    Malformed,
    /// A table call may have taken effect, but its answer was lost.
    AnswerLost,
    /// A table call did not take effect.
    TableDown,
    /// The pause is over.
    Poll,
}

/// Settlement of one lost reply.
#[derive(Clone, Debug)]
pub struct ClaimSettlement {
    state: SettlementState,
    body_hash: BodyHash,
    deadline: Instant,
}

impl ClaimSettlement {
    /// Creates a settlement that is not started. After the deadline the outcome stays unknown.
    pub fn new(body_hash: BodyHash, deadline: Instant) -> Self {
        Self {
            state: CHART.initial(),
            body_hash,
            deadline,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> SettlementState {
        self.state
    }

    /// Handles an input at the time `now` and returns what the driver has to do next.
    pub fn handle(&mut self, input: SettlementInput<'_>, now: Instant) -> Option<SettlementAction> {
        let event = self.event(input);
        let event = if now >= self.deadline && is_inconclusive(event) {
            SettlementEvent::TooLate
        } else {
            event
        };
        let transition = CHART.step(self.state, event)?;
        self.state = transition.next;
        transition.action
    }

    fn event(&self, input: SettlementInput<'_>) -> SettlementEvent {
        match input {
            SettlementInput::Start => SettlementEvent::Start,
            SettlementInput::Inserted => SettlementEvent::Inserted,
            SettlementInput::Found(record) => self.finding_event(record),
            SettlementInput::Malformed => SettlementEvent::FoundStart,
            SettlementInput::AnswerLost => SettlementEvent::AnswerLost,
            SettlementInput::TableDown => SettlementEvent::TableDown,
            SettlementInput::Poll => SettlementEvent::Poll,
        }
    }

    /// The nonce plays no part: every tombstone proves that no attempt ran, and every start
    /// record leaves it open.
    fn finding_event(&self, record: Option<&ClaimRecord>) -> SettlementEvent {
        match RecordFinding::classify(record, 0, self.body_hash) {
            RecordFinding::Absent => SettlementEvent::FoundAbsent,
            RecordFinding::OwnStart | RecordFinding::OtherStart => SettlementEvent::FoundStart,
            RecordFinding::Done => SettlementEvent::FoundDone,
            RecordFinding::Tombstone => SettlementEvent::FoundTombstone,
            RecordFinding::OtherBody => SettlementEvent::FoundOtherBody,
        }
    }
}

/// Returns whether an event leaves the outcome open, so that the deadline ends the settlement.
fn is_inconclusive(event: SettlementEvent) -> bool {
    !matches!(
        event,
        SettlementEvent::Start
            | SettlementEvent::Inserted
            | SettlementEvent::FoundTombstone
            | SettlementEvent::FoundDone
            | SettlementEvent::FoundOtherBody
    )
}

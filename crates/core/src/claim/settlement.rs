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
        /// The write of the tombstone is on its way.
        Inserting = "inserting",
        /// The record is being read.
        Reading = "reading",
        /// A start record is there that does not exclude the attempt.
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
        FoundExcluded = "found_excluded",
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
        /// Insert a tombstone that excludes the attempt if the key is absent.
        Insert = "insert",
        /// Add the attempt to the tombstone that was found, if that has not changed.
        Extend = "extend",
        /// Read the record.
        Read = "read",
        /// Pause, then go on with [`SettlementInput::Poll`].
        Wait = "wait",
        /// Report `not-run`: the record excludes the attempt.
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
    /// The insert or extension was confirmed.
    Inserted,
    /// A failed write or a read showed this state of the key.
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

/// Settlement of one attempt whose reply was lost.
#[derive(Clone, Debug)]
pub struct ClaimSettlement {
    state: SettlementState,
    nonce: u64,
    body_hash: BodyHash,
    deadline: Instant,
}

impl ClaimSettlement {
    /// Creates a settlement of the attempt with this nonce. After the deadline an outcome that is
    /// still open stays unknown.
    pub fn new(nonce: u64, body_hash: BodyHash, deadline: Instant) -> Self {
        Self {
            state: CHART.initial(),
            nonce,
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

    fn finding_event(&self, record: Option<&ClaimRecord>) -> SettlementEvent {
        match RecordFinding::classify(record, self.nonce, self.body_hash) {
            RecordFinding::Absent => SettlementEvent::FoundAbsent,
            RecordFinding::OwnStart | RecordFinding::OtherStart => SettlementEvent::FoundStart,
            RecordFinding::Done => SettlementEvent::FoundDone,
            RecordFinding::Tombstone => SettlementEvent::FoundTombstone,
            RecordFinding::Excluded => SettlementEvent::FoundExcluded,
            // The attempt cannot be excluded any more, so its outcome stays unknown.
            RecordFinding::FullTombstone => SettlementEvent::TooLate,
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
            | SettlementEvent::FoundExcluded
            // Only the write that follows can end the settlement with a proof.
            | SettlementEvent::FoundTombstone
            | SettlementEvent::FoundDone
            | SettlementEvent::FoundOtherBody
    )
}

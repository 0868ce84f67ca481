//! State machine by which an entry determines the outcome of an attempt whose reply was lost; chart
//! `claim_settlement.ini`.

use {
    super::{BodyHash, ClaimRecord, RecordFinding},
    crate::{chart::StateChart, chart_labels},
    std::sync::LazyLock,
    tokio::time::Instant,
};

chart_labels! {
    /// State of a [`ClaimSettlement`].
    pub enum SettlementState {
        /// The settlement has not started.
        Idle = "idle",
        /// The write of the tombstone is in flight.
        Inserting = "inserting",
        /// The record is being read.
        Reading = "reading",
        /// The key has a start record that does not exclude the attempt; it is read again after a
        /// pause.
        Waiting = "waiting",
        /// The outcome is known, or the deadline has passed.
        Ended = "ended",
    }
}

chart_labels! {
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
    /// Action that the driver of a [`ClaimSettlement`] carries out.
    pub enum SettlementAction {
        /// Insert a tombstone that excludes the attempt if the key is absent.
        Insert = "insert",
        /// Add the attempt to the excluded ones of the tombstone found, if the tombstone has not
        /// changed since.
        Extend = "extend",
        /// Read the record at the claim's key.
        Read = "read",
        /// Pause, then continue with [`SettlementInput::Poll`].
        Wait = "wait",
        /// Report `not-run`: the record excludes the attempt, so it has not run and never will.
        ReportNotRun = "report_not_run",
        /// Report `unknown`: the outcome could not be determined by the deadline, or cannot be
        /// determined at all.
        ReportUnknown = "report_unknown",
        /// Send the answer stored in the done record.
        Replay = "replay",
    }
}

type SettlementChart = StateChart<SettlementState, SettlementEvent, SettlementAction>;

static CHART: LazyLock<SettlementChart> = LazyLock::new(|| {
    let chart = StateChart::parse(include_str!("../../charts/claim_settlement.ini"));
    chart.expect("charts/claim_settlement.ini must be a valid chart")
});

/// Input of [`ClaimSettlement::handle`].
#[derive(Clone, Copy, Debug)]
pub enum SettlementInput<'a> {
    /// The driver starts the settlement.
    Start,
    /// The table confirmed the insert or the extension.
    Inserted,
    /// A read, or a write whose condition failed, returned this record; `None` if there is none.
    Found(Option<&'a ClaimRecord>),
    /// The value at the key is not a valid claim record; it is treated as a start record.
    Malformed,
    /// The response to a table call was lost, so the call may have taken effect.
    AnswerLost,
    /// A table call failed without taking effect.
    TableDown,
    /// The pause after [`SettlementAction::Wait`] has ended.
    Poll,
}

/// State machine that settles one attempt whose reply was lost.
#[derive(Clone, Debug)]
pub struct ClaimSettlement {
    state: SettlementState,
    nonce: u64,
    body_hash: BodyHash,
    deadline: Instant,
}

impl ClaimSettlement {
    /// Creates the settlement of the attempt with this nonce. If the outcome is still open at the
    /// deadline, it is reported as unknown.
    pub fn new(nonce: u64, body_hash: BodyHash, deadline: Instant) -> Self {
        Self {
            state: CHART.initial(),
            nonce,
            body_hash,
            deadline,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> SettlementState {
        self.state
    }

    /// Handles an input at the time `now` and returns the next action of the driver, if any.
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
            SettlementInput::Found(record) => self.event_for_record(record),
            SettlementInput::Malformed => SettlementEvent::FoundStart,
            SettlementInput::AnswerLost => SettlementEvent::AnswerLost,
            SettlementInput::TableDown => SettlementEvent::TableDown,
            SettlementInput::Poll => SettlementEvent::Poll,
        }
    }

    fn event_for_record(&self, record: Option<&ClaimRecord>) -> SettlementEvent {
        match RecordFinding::classify(record, self.nonce, self.body_hash) {
            RecordFinding::Absent => SettlementEvent::FoundAbsent,
            RecordFinding::OwnStart | RecordFinding::OtherStart => SettlementEvent::FoundStart,
            RecordFinding::Done => SettlementEvent::FoundDone,
            RecordFinding::Tombstone => SettlementEvent::FoundTombstone,
            RecordFinding::Excluded => SettlementEvent::FoundExcluded,
            // The tombstone has no room for the nonce, so the attempt cannot be excluded and its
            // outcome stays unknown.
            RecordFinding::FullTombstone => SettlementEvent::TooLate,
            RecordFinding::OtherBody => SettlementEvent::FoundOtherBody,
        }
    }
}

/// Returns whether an event leaves the outcome open, so that a settlement past its deadline ends.
fn is_inconclusive(event: SettlementEvent) -> bool {
    !matches!(
        event,
        SettlementEvent::Start
            | SettlementEvent::Inserted
            | SettlementEvent::FoundExcluded
            // The write that follows can still prove that the attempt has not run.
            | SettlementEvent::FoundTombstone
            | SettlementEvent::FoundDone
            | SettlementEvent::FoundOtherBody
    )
}

//! Attempt of an agent to run a non-idempotent call; chart `claim.ini`.

use {
    super::{BodyHash, ClaimRecord, RecordFinding},
    crate::{chart::StateChart, chart_labels},
    std::{sync::LazyLock, time::Duration},
    tokio::time::Instant,
};

/// Time after the answer for which the write of the done record is repeated.
pub const STORE_RETRY_LIMIT: Duration = Duration::from_secs(60);

chart_labels! {
    /// State of an attempt.
    pub enum AttemptState {
        /// Nothing was done yet.
        Idle = "idle",
        /// The write of the start record is on its way.
        Inserting = "inserting",
        /// The answer of the write was lost; the record is read back.
        Reading = "reading",
        /// The start record is this attempt's own.
        Claimed = "claimed",
        /// The call was handed to the back end.
        Forwarded = "forwarded",
        /// The done record is being written.
        Storing = "storing",
        /// The answer was reported, but the done record is still to be written.
        Retrying = "retrying",
        /// Nothing more will be done.
        Ended = "ended",
    }
}

chart_labels! {
    /// Event of an attempt.
    enum AttemptEvent {
        Start = "start",
        Inserted = "inserted",
        FoundOwn = "found_own",
        FoundStart = "found_start",
        FoundDone = "found_done",
        FoundTombstone = "found_tombstone",
        FoundExcluded = "found_excluded",
        FoundOtherBody = "found_other_body",
        FoundAbsent = "found_absent",
        AnswerLost = "answer_lost",
        TableDown = "table_down",
        InTime = "in_time",
        TooLate = "too_late",
        Answered = "answered",
        NotSent = "not_sent",
        NoAnswer = "no_answer",
        Stored = "stored",
        StoreFailed = "store_failed",
        Retry = "retry",
        GaveUp = "gave_up",
    }
}

chart_labels! {
    /// Action that the driver carries out.
    pub enum AttemptAction {
        /// Insert the start record if the key is absent.
        Insert = "insert",
        /// Replace the tombstone that was found by the start record, which carries its excluded
        /// attempts over, if the tombstone has not changed.
        Replace = "replace",
        /// Read the record.
        Read = "read",
        /// Never given to the driver: the machine checks the deadline itself.
        CheckDeadline = "check_deadline",
        /// Hand the call to the back end at once.
        Forward = "forward",
        /// Write the done record.
        Store = "store",
        /// Send the stored answer.
        Replay = "replay",
        /// Turn the own start record into a tombstone that excludes this attempt, and refuse: the
        /// deadline has passed.
        WithdrawLate = "withdraw_late",
        /// Turn the own start record into a tombstone that excludes this attempt, and refuse: the
        /// back end could not be reached.
        WithdrawUnsent = "withdraw_unsent",
        /// Refuse: another attempt holds the key.
        RefuseInUse = "refuse_in_use",
        /// Refuse: the key belongs to another call.
        RefuseReused = "refuse_reused",
        /// Refuse: this attempt is excluded, or the tombstone has no room for it.
        RefuseTombstone = "refuse_tombstone",
        /// Refuse: the table does not answer.
        RefuseTableDown = "refuse_table_down",
        /// Report that the call may have run.
        ReportUnknown = "report_unknown",
        /// Send the answer of the back end.
        ReportAnswer = "report_answer",
    }
}

type AttemptChart = StateChart<AttemptState, AttemptEvent, AttemptAction>;

static CHART: LazyLock<AttemptChart> = LazyLock::new(|| {
    let chart = StateChart::parse(include_str!("../../charts/claim.ini"));
    chart.expect("charts/claim.ini is valid; a test reads it")
});

/// Returns the tombstone that an attempt which was refused has to write in place of a record, so
/// that its own start record does not block the key; `None` if nothing has to be written.
///
/// `own` is the attempt's start record. A write of it whose answer was lost may still be on its
/// way; only a write at the same key makes its condition fail.
pub fn release_record(own: &ClaimRecord, found: Option<&ClaimRecord>) -> Option<ClaimRecord> {
    match RecordFinding::classify(found, own.nonce, own.body_hash) {
        RecordFinding::Absent => Some(own.excluding(own.nonce)),
        RecordFinding::OwnStart | RecordFinding::Tombstone => {
            found.map(|record| record.excluding(own.nonce))
        }
        RecordFinding::Done
        | RecordFinding::Excluded
        | RecordFinding::FullTombstone
        | RecordFinding::OtherBody
        | RecordFinding::OtherStart => None,
    }
}

/// What happened to an attempt.
#[derive(Clone, Copy, Debug)]
pub enum AttemptInput<'a> {
    /// The driver starts.
    Start,
    /// The insert or replacement was confirmed.
    Inserted,
    /// A failed write or a read showed this state of the key.
    Found(Option<&'a ClaimRecord>),
    /// The value at the key is no claim record; it counts as a start record of another attempt.
    Malformed,
    /// A table call may have taken effect, but its answer was lost.
    AnswerLost,
    /// A table call did not take effect.
    TableDown,
    /// The back end answered the call.
    Answered,
    /// The call was certainly not sent to the back end.
    NotSent,
    /// The call was sent, but no whole answer came.
    NoAnswer,
    /// The done record was written.
    Stored,
    /// The write of the done record failed or its answer was lost.
    StoreFailed,
    /// The driver is ready to write the done record again.
    Retry,
}

/// Attempt of an agent.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    state: AttemptState,
    nonce: u64,
    body_hash: BodyHash,
    deadline: Instant,
    cancelled: bool,
    store_until: Option<Instant>,
}

impl ClaimAttempt {
    /// Creates an attempt that is not started.
    pub fn new(nonce: u64, body_hash: BodyHash, deadline: Instant) -> Self {
        Self {
            state: CHART.initial(),
            nonce,
            body_hash,
            deadline,
            cancelled: false,
            store_until: None,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Returns whether the call was handed to the back end, so that it must run to its end.
    pub fn is_forwarded(&self) -> bool {
        matches!(
            self.state,
            AttemptState::Forwarded | AttemptState::Retrying | AttemptState::Storing
        )
    }

    /// Makes the next deadline check fail. A call that was handed over is not affected.
    pub fn cancel(&mut self) {
        self.cancelled = true;
    }

    /// Moves the deadline to an earlier time.
    pub fn shorten_deadline(&mut self, deadline: Instant) {
        self.deadline = self.deadline.min(deadline);
    }

    /// Handles an input at the time `now` and returns what the driver has to do next.
    ///
    /// [`AttemptAction::Forward`] is valid only at `now`: the driver must not wait before it
    /// hands the call over.
    pub fn handle(&mut self, input: AttemptInput<'_>, now: Instant) -> Option<AttemptAction> {
        if let AttemptInput::Answered = input {
            self.store_until = Some(now + STORE_RETRY_LIMIT);
        }
        let event = self.event(input, now);
        let action = self.step(event)?;
        if action != AttemptAction::CheckDeadline {
            return Some(action);
        }
        let late = self.is_late(now);
        self.step(if late {
            AttemptEvent::TooLate
        } else {
            AttemptEvent::InTime
        })
    }

    fn is_late(&self, now: Instant) -> bool {
        self.cancelled || now >= self.deadline
    }

    /// The chart ends an attempt for its deadline only where it reads.
    fn is_late_reading(&self, now: Instant) -> bool {
        self.state == AttemptState::Reading && self.is_late(now)
    }

    fn step(&mut self, event: AttemptEvent) -> Option<AttemptAction> {
        let transition = CHART.step(self.state, event)?;
        self.state = transition.next;
        transition.action
    }

    fn event(&self, input: AttemptInput<'_>, now: Instant) -> AttemptEvent {
        let give_up = self.store_until.is_some_and(|until| now >= until);
        match input {
            AttemptInput::Start => AttemptEvent::Start,
            AttemptInput::Inserted => AttemptEvent::Inserted,
            AttemptInput::Found(record) => self.finding_event(record, now),
            AttemptInput::Malformed => AttemptEvent::FoundStart,
            AttemptInput::AnswerLost | AttemptInput::TableDown if self.is_late_reading(now) => {
                AttemptEvent::TooLate
            }
            AttemptInput::AnswerLost => AttemptEvent::AnswerLost,
            AttemptInput::TableDown => AttemptEvent::TableDown,
            AttemptInput::Answered => AttemptEvent::Answered,
            AttemptInput::NotSent => AttemptEvent::NotSent,
            AttemptInput::NoAnswer => AttemptEvent::NoAnswer,
            AttemptInput::Stored => AttemptEvent::Stored,
            AttemptInput::StoreFailed => AttemptEvent::StoreFailed,
            AttemptInput::Retry if give_up => AttemptEvent::GaveUp,
            AttemptInput::Retry => AttemptEvent::Retry,
        }
    }

    fn finding_event(&self, record: Option<&ClaimRecord>, now: Instant) -> AttemptEvent {
        match RecordFinding::classify(record, self.nonce, self.body_hash) {
            RecordFinding::Absent if self.is_late(now) => AttemptEvent::TooLate,
            RecordFinding::Absent => AttemptEvent::FoundAbsent,
            RecordFinding::OwnStart => AttemptEvent::FoundOwn,
            RecordFinding::OtherStart => AttemptEvent::FoundStart,
            RecordFinding::Done => AttemptEvent::FoundDone,
            RecordFinding::Tombstone if self.is_late_reading(now) => AttemptEvent::TooLate,
            RecordFinding::Tombstone => AttemptEvent::FoundTombstone,
            // A withdrawal could not exclude this attempt, so it must not start.
            RecordFinding::Excluded | RecordFinding::FullTombstone => AttemptEvent::FoundExcluded,
            RecordFinding::OtherBody => AttemptEvent::FoundOtherBody,
        }
    }
}

//! State machine of an agent's attempt to run a non-idempotent call; chart `claim.ini`.

use {
    super::{BodyHash, ClaimRecord, RecordFinding},
    crate::{chart::StateChart, chart_labels},
    std::{sync::LazyLock, time::Duration},
    tokio::time::Instant,
};

/// Time after the back end's response during which a failed write of the done record is retried.
pub const STORE_RETRY_LIMIT: Duration = Duration::from_secs(60);

chart_labels! {
    /// State of a [`ClaimAttempt`].
    pub enum AttemptState {
        /// The attempt has not started.
        Idle = "idle",
        /// The write of the start record is in flight.
        Inserting = "inserting",
        /// The response to the write was lost; the record is being read back.
        Reading = "reading",
        /// The start record of this attempt is in the table.
        Claimed = "claimed",
        /// The call has been forwarded to the back end.
        Forwarded = "forwarded",
        /// The done record is being written.
        Storing = "storing",
        /// The answer was reported, but the write of the done record failed and is retried.
        Retrying = "retrying",
        /// The attempt is over; further input is ignored.
        Ended = "ended",
    }
}

chart_labels! {
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
    /// Action that the driver of a [`ClaimAttempt`] carries out.
    pub enum AttemptAction {
        /// Insert the start record if the key is absent.
        Insert = "insert",
        /// Replace the tombstone found by the start record if the tombstone has not changed since.
        /// The start record carries over the tombstone's excluded attempts.
        Replace = "replace",
        /// Read the record at the claim's key.
        Read = "read",
        /// Check the deadline; [`ClaimAttempt::handle`] does this and never returns the action.
        CheckDeadline = "check_deadline",
        /// Forward the call to the back end without delay.
        Forward = "forward",
        /// Write the done record.
        Store = "store",
        /// Send the answer stored in the done record.
        Replay = "replay",
        /// Replace the attempt's start record by a tombstone that excludes the attempt, and refuse
        /// the call: the deadline has passed or the attempt was cancelled.
        WithdrawLate = "withdraw_late",
        /// Replace the attempt's start record by a tombstone that excludes the attempt, and refuse
        /// the call: the back end could not be reached.
        WithdrawUnsent = "withdraw_unsent",
        /// Refuse the call: another attempt holds the key.
        RefuseInUse = "refuse_in_use",
        /// Refuse the call: the key was used for a different call.
        RefuseReused = "refuse_reused",
        /// Refuse the call: a tombstone or start record excludes this attempt, or the tombstone has
        /// no room for its nonce.
        RefuseTombstone = "refuse_tombstone",
        /// Refuse the call: the table is unavailable, or the deadline passed or the attempt was
        /// cancelled before the start record was confirmed.
        RefuseTableDown = "refuse_table_down",
        /// Report the outcome as unknown: the call may have run.
        ReportUnknown = "report_unknown",
        /// Send the back end's answer.
        ReportAnswer = "report_answer",
    }
}

type AttemptChart = StateChart<AttemptState, AttemptEvent, AttemptAction>;

static CHART: LazyLock<AttemptChart> = LazyLock::new(|| {
    let chart = StateChart::parse(include_str!("../../charts/claim.ini"));
    chart.expect("charts/claim.ini must be a valid chart")
});

/// Returns the tombstone that a refused attempt has to write in place of `found`, so that its own
/// start record `own` cannot block the key; `None` if no write is needed.
///
/// A write of the start record whose response was lost may still be in flight and take effect
/// later. Only another write to the same key makes the condition of that write fail.
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

/// Input of [`ClaimAttempt::handle`].
#[derive(Clone, Copy, Debug)]
pub enum AttemptInput<'a> {
    /// The driver starts the attempt.
    Start,
    /// The table confirmed the insert or the replacement.
    Inserted,
    /// A read, or a write whose condition failed, returned this record; `None` if there is none.
    Found(Option<&'a ClaimRecord>),
    /// The value at the key is not a valid claim record; it is treated as a start record of
    /// another attempt.
    Malformed,
    /// The response to a table call was lost, so the call may have taken effect.
    AnswerLost,
    /// A table call failed without taking effect.
    TableDown,
    /// The back end answered the call.
    Answered,
    /// No part of the call was sent to the back end, so it cannot have run.
    NotSent,
    /// The call was sent, but no complete answer was received.
    NoAnswer,
    /// The done record was written.
    Stored,
    /// The write of the done record failed, or the response to it was lost.
    StoreFailed,
    /// The driver can now retry the write of the done record.
    Retry,
}

/// State machine of one attempt of an agent to run a call.
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
    /// Creates an attempt in its initial state. `nonce` must differ from that of every other
    /// attempt with the same key.
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

    /// Returns the current state.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Returns whether the call has been forwarded and its outcome is still being handled, so that
    /// the attempt must run to its end.
    pub fn is_forwarded(&self) -> bool {
        matches!(
            self.state,
            AttemptState::Forwarded | AttemptState::Retrying | AttemptState::Storing
        )
    }

    /// Cancels the attempt: the next check of the deadline fails. A call that has already been
    /// forwarded is not affected.
    pub fn cancel(&mut self) {
        self.cancelled = true;
    }

    /// Moves the deadline to `deadline` if that is earlier.
    pub fn shorten_deadline(&mut self, deadline: Instant) {
        self.deadline = self.deadline.min(deadline);
    }

    /// Handles an input at the time `now` and returns the next action of the driver, if any.
    ///
    /// The deadline was checked at `now` only, so the driver must carry out
    /// [`AttemptAction::Forward`] without waiting for anything first.
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

    /// Returns whether the attempt ends as too late in the state `reading`, the only state before
    /// the claim for which the chart has a `too_late` transition.
    fn is_late_while_reading(&self, now: Instant) -> bool {
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
            AttemptInput::Found(record) => self.event_for_record(record, now),
            AttemptInput::Malformed => AttemptEvent::FoundStart,
            AttemptInput::AnswerLost | AttemptInput::TableDown
                if self.is_late_while_reading(now) =>
            {
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

    fn event_for_record(&self, record: Option<&ClaimRecord>, now: Instant) -> AttemptEvent {
        match RecordFinding::classify(record, self.nonce, self.body_hash) {
            RecordFinding::Absent if self.is_late(now) => AttemptEvent::TooLate,
            RecordFinding::Absent => AttemptEvent::FoundAbsent,
            RecordFinding::OwnStart => AttemptEvent::FoundOwn,
            RecordFinding::OtherStart => AttemptEvent::FoundStart,
            RecordFinding::Done => AttemptEvent::FoundDone,
            RecordFinding::Tombstone if self.is_late_while_reading(now) => AttemptEvent::TooLate,
            RecordFinding::Tombstone => AttemptEvent::FoundTombstone,
            // A full tombstone has no room for the nonce, so a withdrawal could not exclude the
            // attempt later. Therefore the attempt must not start.
            RecordFinding::Excluded | RecordFinding::FullTombstone => AttemptEvent::FoundExcluded,
            RecordFinding::OtherBody => AttemptEvent::FoundOtherBody,
        }
    }
}

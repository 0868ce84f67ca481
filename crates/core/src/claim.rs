//! Claim protocol: runs a non-idempotent call at most once, and determines its outcome when the
//! agent's reply is lost.
//!
//! Attempts claim the idempotency key of the call by a conditional write to the table before they
//! forward it. [`ClaimAttempt`] is the state machine of the agent (chart `claim.ini`), and
//! [`ClaimSettlement`] that of the entry (chart `claim_settlement.ini`). Their drivers do all
//! input and output with the table and the back end.

pub mod attempt;
pub mod record;
pub mod settlement;

pub use {
    attempt::{AttemptAction, AttemptInput, AttemptState, ClaimAttempt, release_record},
    record::{
        AnswerBody, AnswerHeader, BodyHash, ClaimRecord, ClaimScope, ClaimState, MAX_EXCLUDED,
        RecordError, StoredAnswer,
    },
    settlement::{ClaimSettlement, SettlementAction, SettlementInput, SettlementState},
};

/// State of the record at a claim's key, from the point of view of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordFinding {
    /// There is no record at the key.
    Absent,
    /// Start record of the attempt itself.
    OwnStart,
    /// Start record of another attempt, which does not exclude this one.
    OtherStart,
    /// Done record: the call has run to its end.
    Done,
    /// Tombstone that does not exclude the attempt, and has room for its nonce.
    Tombstone,
    /// Tombstone that does not exclude the attempt, but already has [`MAX_EXCLUDED`] nonces.
    FullTombstone,
    /// Tombstone or start record that excludes the attempt, which therefore must never run.
    Excluded,
    /// Record of a call with another method, path or body: the key was reused.
    OtherBody,
}

impl RecordFinding {
    /// Classifies a record for the attempt with this nonce and body hash.
    ///
    /// A done record is [`Self::Done`] even for an attempt that it excludes: the call has run in
    /// another attempt, so the caller must not be told `not-run`.
    pub fn classify(record: Option<&ClaimRecord>, nonce: u64, body_hash: BodyHash) -> Self {
        let Some(record) = record else {
            return Self::Absent;
        };
        if record.body_hash != body_hash {
            return Self::OtherBody;
        }
        match record.state {
            ClaimState::Done { .. } => Self::Done,
            _ if record.excludes(nonce) => Self::Excluded,
            ClaimState::Started if record.nonce == nonce => Self::OwnStart,
            ClaimState::Started => Self::OtherStart,
            ClaimState::Tombstone if record.excluded.len() >= MAX_EXCLUDED => Self::FullTombstone,
            ClaimState::Tombstone => Self::Tombstone,
        }
    }
}

//! Claim protocol: a non-idempotent call runs at most once, and a lost reply is settled.
//!
//! The agent's side is [`ClaimAttempt`], the entry's side is [`ClaimSettlement`]. Both follow the
//! charts `claim.ini` and `claim_settlement.ini`, and leave table and back end to their drivers.

pub mod attempt;
pub mod record;
pub mod settlement;

pub use {
    attempt::{AttemptAction, AttemptInput, AttemptState, ClaimAttempt},
    record::{
        AnswerBody, AnswerHeader, BodyHash, ClaimRecord, ClaimScope, ClaimState, RecordError,
        StoredAnswer,
    },
    settlement::{ClaimSettlement, SettlementAction, SettlementInput, SettlementState},
};

/// What a reader finds at the key of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordFinding {
    /// No record.
    Absent,
    /// Start record of the reader's own attempt.
    OwnStart,
    /// Start record of another attempt.
    OtherStart,
    /// The call ran and ended.
    Done,
    /// The call was not run and cannot run any more.
    Tombstone,
    /// Record of a call with another method, path or body.
    OtherBody,
}

impl RecordFinding {
    /// Classifies a record for an attempt with this nonce and body hash.
    pub fn classify(record: Option<&ClaimRecord>, nonce: u64, body_hash: BodyHash) -> Self {
        let Some(record) = record else {
            return Self::Absent;
        };
        if record.body_hash != body_hash {
            return Self::OtherBody;
        }
        match record.state {
            ClaimState::Done { .. } => Self::Done,
            ClaimState::Started if record.nonce == nonce => Self::OwnStart,
            ClaimState::Started => Self::OtherStart,
            ClaimState::Tombstone => Self::Tombstone,
        }
    }
}

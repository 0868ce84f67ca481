//! Claim protocol: a non-idempotent call runs at most once, and a lost reply is settled.
//!
//! The agent's side is [`ClaimAttempt`], the entry's side is [`ClaimSettlement`]. Both follow the
//! charts `claim.ini` and `claim_settlement.ini`, and leave table and back end to their drivers.

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

/// What a reader finds at the key of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordFinding {
    /// No record.
    Absent,
    /// Start record of the reader's own attempt.
    OwnStart,
    /// Start record of another attempt, which does not exclude the reader's.
    OtherStart,
    /// The call ran and ended.
    Done,
    /// Tombstone that does not exclude the reader's attempt and has room for it.
    Tombstone,
    /// Tombstone that does not exclude the reader's attempt and has no room for it.
    FullTombstone,
    /// Tombstone or start record that excludes the reader's attempt: it never runs.
    Excluded,
    /// Record of a call with another method, path or body.
    OtherBody,
}

impl RecordFinding {
    /// Classifies a record for an attempt with this nonce and body hash.
    ///
    /// A done record counts as done even for an attempt that it excludes: the call of the key has
    /// run, so its caller must not read `not-run`.
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

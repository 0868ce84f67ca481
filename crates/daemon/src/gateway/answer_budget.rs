//! Limit on the bytes that answers of many servers take together while they are read.
//!
//! Load pattern: many faulty servers, such as all ranks of a large group, that send bodies without
//! end at the same time.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{cell::Cell, error::Error, fmt, result},
};

/// Result of adding bytes to an answer.
pub type Result<T> = result::Result<T, LimitExceeded>;

/// Size up to which an answer is read even if the budget is used up, in bytes.
pub const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// Limit that an answer exceeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitExceeded {
    /// The answer itself is too large.
    Answer,
    /// All answers together are too large, and this one is not small.
    Budget,
}

impl fmt::Display for LimitExceeded {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Answer => "response body is too large",
            Self::Budget => "buffered responses exceed the memory limit",
        })
    }
}

impl Error for LimitExceeded {}

/// Bytes of the answers that are being read, up to a limit above which only small answers continue.
#[derive(Debug)]
pub struct AnswerBudget {
    collected: Cell<usize>,
    max_collected: usize,
}

/// Share of one answer in a budget, which is returned when dropped.
#[derive(Debug)]
pub struct AnswerShare<'a> {
    budget: &'a AnswerBudget,
    bytes: usize,
}

impl Drop for AnswerShare<'_> {
    fn drop(&mut self) {
        let collected = &self.budget.collected;
        collected.set(collected.get() - self.bytes);
    }
}

impl AnswerBudget {
    /// Creates a budget of `max_collected` bytes.
    pub fn new(max_collected: usize) -> Self {
        Self {
            collected: Cell::new(0),
            max_collected,
        }
    }

    /// Starts to count an answer.
    pub fn share(&self) -> AnswerShare<'_> {
        AnswerShare {
            budget: self,
            bytes: 0,
        }
    }

    /// Reads a body of at most `max_bytes` bytes; `None` if it is longer, breaks off, or is not
    /// small while the budget is used up.
    pub async fn collect(&self, mut body: Incoming, max_bytes: usize) -> Option<Bytes> {
        let mut share = self.share();
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.ok()?.into_data() else {
                continue;
            };
            share.add(part.len(), max_bytes).ok()?;
            whole.extend_from_slice(&part);
        }
        Some(whole.freeze())
    }
}

impl AnswerShare<'_> {
    /// Counts further bytes of an answer that may have `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the answer is larger, or if it is not small and the budget is used up.
    pub fn add(&mut self, bytes: usize, max_bytes: usize) -> Result<()> {
        let AnswerBudget {
            collected,
            max_collected,
        } = self.budget;
        self.bytes += bytes;
        collected.set(collected.get() + bytes);
        if self.bytes > max_bytes {
            return Err(LimitExceeded::Answer);
        }
        if self.bytes > SMALL_ANSWER_BYTES && collected.get() > *max_collected {
            return Err(LimitExceeded::Budget);
        }
        Ok(())
    }
}

//! Limit on the bytes that answers of many servers take together while they are read.
//!
//! Load pattern: all ranks of a large group that send bodies without end at the same time.

use {
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::cell::Cell,
};

/// Bytes that all answers together may take while they are read. Above this limit only small
/// answers continue.
const MAX_COLLECTED_BYTES: usize = 8 * 1024 * 1024;

/// Size up to which an answer is read even above [`MAX_COLLECTED_BYTES`], in bytes.
pub const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// Bytes of the answers that are being read.
#[derive(Debug, Default)]
pub struct AnswerBudget {
    collected: Cell<usize>,
}

/// Share of one answer, which is returned when dropped.
struct AnswerShare<'a> {
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
    /// Reads a body of at most `max_bytes` bytes; `None` if it is longer, breaks off, or is not
    /// small while the budget is used up.
    pub async fn collect(&self, mut body: Incoming, max_bytes: usize) -> Option<Bytes> {
        let mut share = AnswerShare {
            budget: self,
            bytes: 0,
        };
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.ok()?.into_data() else {
                continue;
            };
            share.bytes += part.len();
            self.collected.set(self.collected.get() + part.len());
            let is_over = self.collected.get() > MAX_COLLECTED_BYTES;
            if share.bytes > max_bytes || is_over && share.bytes > SMALL_ANSWER_BYTES {
                return None;
            }
            whole.extend_from_slice(&part);
        }
        Some(whole.freeze())
    }
}

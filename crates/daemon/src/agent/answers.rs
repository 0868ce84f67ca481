//! Sends one answer as link frames; its chunks are numbered, and its end carries the length and
//! checksum of the payload.

use {
    crate::{constants::MAX_CHUNK_BYTES, link::LinkSender},
    bytes::Bytes,
    sassafrasslip_proto::link::{
        AnswerChunk, AnswerEnd, AnswerFailed, AnswerHead, DispatchRefused, FailureOutcome, Header,
        RefusalReason, RequestId, TargetLoad, link_frame::Message,
    },
    xxhash_rust::xxh3::Xxh3,
};

/// Sends the answer frames of one attempt. Frames for a closed link are dropped silently.
pub struct AnswerSender {
    link: LinkSender,
    request_id: RequestId,
    attempt: u32,
    sequence: u64,
    length: u64,
    hasher: Xxh3,
}

impl AnswerSender {
    /// Creates the sender of an attempt's answer.
    pub fn new(link: LinkSender, request_id: RequestId, attempt: u32) -> Self {
        Self {
            link,
            request_id,
            attempt,
            sequence: 0,
            length: 0,
            hasher: Xxh3::new(),
        }
    }

    /// Sends the HTTP status and the headers.
    pub async fn head(&mut self, status: u16, headers: Vec<Header>) {
        let head = AnswerHead {
            request_id: Some(self.request_id),
            status: u32::from(status),
            headers,
            attempt: self.attempt,
        };
        self.send(Message::AnswerHead(head)).await;
    }

    /// Sends a part of the payload, split into chunks of at most [`MAX_CHUNK_BYTES`]. `token_index`
    /// is the index of its first token, or 0 if it holds no tokens.
    pub async fn payload(&mut self, token_index: u64, mut payload: Bytes) {
        while payload.len() > MAX_CHUNK_BYTES {
            let part = payload.split_to(MAX_CHUNK_BYTES);
            self.chunk(token_index, part).await;
        }
        if !payload.is_empty() {
            self.chunk(token_index, payload).await;
        }
    }

    async fn chunk(&mut self, token_index: u64, payload: Bytes) {
        let sequence = self.sequence;
        self.sequence += 1;
        self.length += payload.len() as u64;
        self.hasher.update(&payload);
        let chunk = AnswerChunk {
            request_id: Some(self.request_id),
            sequence,
            token_index,
            payload,
            attempt: self.attempt,
        };
        self.send(Message::AnswerChunk(chunk)).await;
    }

    /// Sends the end of the answer. `replayed` tells that it came from a claim record.
    pub async fn end(&mut self, replayed: bool, load: TargetLoad) {
        let end = AnswerEnd {
            request_id: Some(self.request_id),
            chunks: self.sequence,
            payload_length: self.length,
            checksum: self.hasher.digest(),
            replayed,
            load: Some(load),
            attempt: self.attempt,
        };
        self.send(Message::AnswerEnd(end)).await;
    }

    /// Sends the failure of the attempt; `outcome` tells whether the call may have run.
    pub async fn failed(&mut self, outcome: FailureOutcome, reason: &str, load: TargetLoad) {
        let failed = AnswerFailed {
            request_id: Some(self.request_id),
            outcome: outcome.into(),
            reason: reason.to_owned(),
            load: Some(load),
            attempt: self.attempt,
        };
        self.send(Message::AnswerFailed(failed)).await;
    }

    /// Sends the refusal of the attempt.
    pub async fn refused(&mut self, refusal: Refusal) {
        let refused = DispatchRefused {
            request_id: Some(self.request_id),
            reason: refusal.reason.into(),
            retry_after_ms: refusal.retry_after_ms,
            load: Some(refusal.load),
            configuration_revision: refusal.revision,
            attempt: self.attempt,
        };
        self.send(Message::DispatchRefused(refused)).await;
    }

    async fn send(&self, message: Message) {
        // The entry notices a closed link itself and settles the request.
        let _ = self.link.send(message).await;
    }
}

/// Content of a refusal frame.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Reason why the dispatch is refused.
    pub reason: RefusalReason,
    /// Time after which a retry makes sense, in milliseconds.
    pub retry_after_ms: u64,
    /// Load of the target, as reported to the entry of the link.
    pub load: TargetLoad,
    /// Highest configuration revision that the agent has seen.
    pub revision: u64,
}

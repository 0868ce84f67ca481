//! Entry's side of a link to the agent under test.

use {
    super::WAIT_LIMIT,
    bytes::{Bytes, BytesMut},
    sassafrasslip_core::claim::BodyHash,
    sassafrasslip_daemon::link::{LinkConnection, open_link},
    sassafrasslip_proto::{
        PROTOCOL_VERSION,
        link::{
            AgentReport, Dispatch, FailureOutcome, Hello, IdempotencyScope, ProcessRole,
            RefusalReason, RequestId, RevisionNotice, link_frame::Message,
        },
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, timeout},
    xxhash_rust::xxh3::xxh3_64,
};

/// Outcome of a dispatch: a whole answer, a refusal or a failure.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TestReply {
    Answer {
        status: u32,
        body: Bytes,
        replayed: bool,
    },
    Refused(RefusalReason),
    /// Outcome that the agent reported, and the part of the body that arrived before.
    Failed(FailureOutcome, Bytes),
}

impl TestReply {
    /// Returns whether this is the answer of the run with this number; the fake target counts its
    /// runs from 1 and starts each body with the number.
    pub fn is_run(&self, run: u64) -> bool {
        let text = format!("run {run} ");
        matches!(self, Self::Answer { body, .. } if body.starts_with(text.as_bytes()))
    }
}

/// Open link to an agent, and the token indexes of all answer chunks received on it.
pub struct TestEntry {
    pub link: LinkConnection,
    pub token_indexes: Vec<u64>,
}

pub fn request_id(counter: u64) -> RequestId {
    let entry_incarnation = 7;
    RequestId {
        entry_incarnation,
        counter,
    }
}

/// Returns the first attempt of a call without an idempotency scope, with 5 s until its deadline.
pub fn new_dispatch(counter: u64, method: &str, path: &str) -> Dispatch {
    Dispatch {
        request_id: Some(request_id(counter)),
        team: "shop".to_owned(),
        service: "prints".to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        body: Bytes::from_static(b"{}"),
        remaining_ms: 5_000,
        attempt: 1,
        ..Dispatch::default()
    }
}

/// Returns a `POST /runs` call with an idempotency key; its attempt nonce is 1000 plus `counter`.
pub fn keyed_dispatch(counter: u64, key: &str) -> Dispatch {
    let mut dispatch = new_dispatch(counter, "POST", "/runs");
    dispatch.idempotency = Some(IdempotencyScope {
        key: key.to_owned(),
        body_hash: BodyHash::of_call("POST", "/runs", b"{}").0.to_vec().into(),
        attempt_nonce: 1_000 + counter,
    });
    dispatch
}

impl TestEntry {
    pub async fn connect(address: SocketAddr) -> Self {
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            instance: "e1".to_owned(),
            role: ProcessRole::Entry.into(),
            ..Hello::default()
        };
        let link = open_link(address, hello).await.unwrap();
        let token_indexes = Vec::new();
        Self {
            link,
            token_indexes,
        }
    }

    pub async fn send(&self, message: Message) {
        self.link.sender.send(message).await.unwrap();
    }

    pub async fn send_revision_notice(&self, revision: u64) {
        let notice = RevisionNotice {
            revision,
            snapshot: None,
        };
        self.send(Message::RevisionNotice(notice)).await;
    }

    pub async fn dispatch(&self, dispatch: Dispatch) {
        self.send(Message::Dispatch(dispatch)).await;
    }

    /// Sends a dispatch and waits for its outcome.
    pub async fn ask(&mut self, dispatch: Dispatch) -> TestReply {
        let id = dispatch.request_id.unwrap();
        self.dispatch(dispatch).await;
        self.wait_for_reply(id).await
    }

    pub async fn receive(&mut self) -> Message {
        let message = timeout(WAIT_LIMIT, self.link.receive()).await.unwrap();
        message.unwrap().expect("agent closed the link")
    }

    /// Waits for an agent report that satisfies a condition and returns how long that took.
    pub async fn wait_for_report(&mut self, matches: impl Fn(&AgentReport) -> bool) -> Duration {
        let started = Instant::now();
        loop {
            match self.receive().await {
                Message::AgentReport(report) if matches(&report) => return started.elapsed(),
                _ => {}
            }
        }
    }

    /// Collects the frames of one request until its outcome is known, and checks the sequence
    /// numbers, length and checksum of an answer.
    pub async fn wait_for_reply(&mut self, id: RequestId) -> TestReply {
        let (mut status, mut body, mut sequence) = (0, BytesMut::new(), 0);
        loop {
            match self.receive().await {
                Message::AnswerHead(head) if head.request_id == Some(id) => status = head.status,
                Message::AnswerChunk(chunk) if chunk.request_id == Some(id) => {
                    assert_eq!(chunk.sequence, sequence);
                    sequence += 1;
                    self.token_indexes.push(chunk.token_index);
                    body.extend_from_slice(&chunk.payload);
                }
                Message::AnswerEnd(end) if end.request_id == Some(id) => {
                    let totals = (end.chunks, end.payload_length, end.checksum);
                    assert_eq!(totals, (sequence, body.len() as u64, xxh3_64(&body)));
                    let (body, replayed) = (body.freeze(), end.replayed);
                    return TestReply::Answer {
                        status,
                        body,
                        replayed,
                    };
                }
                Message::AnswerFailed(failed) if failed.request_id == Some(id) => {
                    return TestReply::Failed(failed.outcome(), body.freeze());
                }
                Message::DispatchRefused(refused) if refused.request_id == Some(id) => {
                    return TestReply::Refused(refused.reason());
                }
                _ => {}
            }
        }
    }
}

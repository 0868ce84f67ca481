//! One attempt of a request: dispatches it to an agent and receives the answer.

use {
    super::{
        pending::{AnswerFrame, AttemptHandle},
        run::RequestRun,
        sums::{AnswerSums, ChunkOrder},
        tokens,
    },
    crate::{constants::MAX_ANSWER_BYTES, link::convert::request_id_to_link},
    bytes::{Bytes, BytesMut},
    sassafrasslip_core::{
        configuration::Revision,
        membership::{ServiceKind, TargetLoad},
        retry::{AttemptEvent, DispatchRefusal},
    },
    sassafrasslip_proto::link::{
        self, AnswerEnd, AnswerHead, Dispatch, DispatchRefused, FailureOutcome, IdempotencyScope,
        RefusalReason, link_frame::Message,
    },
    std::{borrow::Cow, result, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Result of an attempt.
pub type Result<T> = result::Result<T, AttemptFailure>;

/// Failure of an attempt that got no complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptFailure {
    /// Kind of failure; decides whether the request is retried.
    pub event: AttemptEvent,
    /// Reason, as shown to callers and operators.
    pub reason: Cow<'static, str>,
    /// Time after which the caller may retry, if the agent gave one.
    pub retry_after: Option<Duration>,
    /// Configuration revision that the agent requires, if it refused the dispatch as outdated.
    pub required_revision: Option<Revision>,
}

impl AttemptFailure {
    fn new(event: AttemptEvent, reason: impl Into<Cow<'static, str>>) -> Self {
        Self {
            event,
            reason: reason.into(),
            retry_after: None,
            required_revision: None,
        }
    }
}

/// Dispatches a request to its target and passes the answer on to the caller.
///
/// # Errors
///
/// Fails if the dispatch could not be sent, if the agent refused it, or if no complete answer
/// arrived before the deadline.
pub async fn execute(run: &mut RequestRun, handle: &mut AttemptHandle) -> Result<()> {
    let dispatch = build_dispatch(run, handle);
    let sent = handle.link.try_send(Message::Dispatch(dispatch));
    sent.map_err(|_| AttemptFailure::new(AttemptEvent::NeverSent, "link_closed"))?;
    handle.is_running = true;
    let deadline = run.deadline;
    let head = receive_head(handle, deadline).await?;
    let is_token_answer = handle.kind == ServiceKind::Model && head.status == 200;
    if is_token_answer && run.request.head.streamed {
        return stream_tokens(run, handle, &head).await;
    }
    if run.is_answer_started() {
        // The caller has part of a successful stream already, so an error answer of the model
        // engine cannot continue it.
        return Err(AttemptFailure::new(
            AttemptEvent::AnswerBroken,
            "resume_failed",
        ));
    }
    let body = collect_body(handle, deadline).await?;
    let body = if is_token_answer {
        let broken = AttemptFailure::new(AttemptEvent::AnswerBroken, "malformed_tokens");
        tokens::join_lines(&body).ok_or(broken)?
    } else {
        body.freeze()
    };
    run.respond_complete(&head, body, is_token_answer);
    Ok(())
}

fn build_dispatch(run: &RequestRun, handle: &AttemptHandle) -> Dispatch {
    let (request, head) = (&run.request, &run.request.head);
    let remaining = run.deadline.saturating_duration_since(Instant::now());
    let idempotency = (!handle.idempotent).then(|| IdempotencyScope {
        key: run.idempotency_key(),
        body_hash: Bytes::copy_from_slice(&request.body_hash().0),
        attempt_nonce: handle.nonce,
    });
    Dispatch {
        request_id: Some(request_id_to_link(request.id)),
        team: head.team.to_string(),
        service: head.service.to_string(),
        method: head.method.to_string(),
        path: head.path.clone(),
        headers: head.headers.clone(),
        body: request.body.bytes.clone(),
        priority: head.priority.into(),
        remaining_ms: remaining.as_millis() as u64,
        configuration_revision: handle.revision,
        attempt: handle.query.attempt,
        idempotency,
        resume_token_index: run.tokens_sent,
        target_concurrency: handle.decision.limit,
        kind: head
            .kind
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        streamed: head.streamed && handle.kind == ServiceKind::Model,
    }
}

async fn receive_head(handle: &mut AttemptHandle, deadline: Instant) -> Result<AnswerHead> {
    match receive(handle, deadline).await? {
        AnswerFrame::Head(head) => Ok(head),
        _ => Err(AttemptFailure::new(
            AttemptEvent::Interrupted,
            "answer_without_head",
        )),
    }
}

/// Receives the next frame of the answer.
///
/// Fails at the deadline, if the answer exceeds its buffer (which closes the channel), and if the
/// frame ends the attempt without an answer.
async fn receive(handle: &mut AttemptHandle, deadline: Instant) -> Result<AnswerFrame> {
    let received = timeout_at(deadline, handle.frames.recv()).await;
    let frame = received
        .map_err(|_| AttemptFailure::new(AttemptEvent::DeadlinePassed, "deadline"))?
        .ok_or_else(|| AttemptFailure::new(AttemptEvent::Oversized, "answer_too_large"))?;
    handle.release_buffer(&frame);
    match frame {
        AnswerFrame::Failed(failed) => {
            mark_ended(handle, failed.load);
            Err(AttemptFailure::new(
                failure_event(failed.outcome()),
                failed.reason,
            ))
        }
        AnswerFrame::LinkLost => {
            handle.is_running = false;
            Err(AttemptFailure::new(AttemptEvent::LinkLost, "link_lost"))
        }
        AnswerFrame::Refused(refused) => {
            mark_ended(handle, refused.load);
            Err(refusal_failure(&refused))
        }
        frame => Ok(frame),
    }
}

fn refusal_failure(refused: &DispatchRefused) -> AttemptFailure {
    let refusal = dispatch_refusal(refused.reason());
    let after = Duration::from_millis(refused.retry_after_ms);
    let is_stale = refusal == DispatchRefusal::StaleRevision;
    AttemptFailure {
        retry_after: (!after.is_zero()).then_some(after),
        required_revision: is_stale.then_some(refused.configuration_revision),
        ..AttemptFailure::new(AttemptEvent::Refused(refusal), refusal.as_str())
    }
}

/// Records that the agent has ended the call, with the load that it reported.
fn mark_ended(handle: &mut AttemptHandle, load: Option<link::TargetLoad>) {
    handle.is_running = false;
    handle.load = load.map(|load| TargetLoad {
        in_flight: load.in_flight,
        concurrency: load.concurrency,
        draining: load.draining,
    });
}

/// Ends the call, and verifies the sums that the agent sent against those of the received chunks.
fn check_end(handle: &mut AttemptHandle, sums: &AnswerSums, sent: &AnswerEnd) -> Result<()> {
    mark_ended(handle, sent.load);
    if sums.matches(sent) {
        return Ok(());
    }
    Err(AttemptFailure::new(
        AttemptEvent::AnswerBroken,
        "sums_differ",
    ))
}

/// Collects the body of an answer that is not streamed, and verifies its length and checksum.
async fn collect_body(handle: &mut AttemptHandle, deadline: Instant) -> Result<BytesMut> {
    let mut sums = AnswerSums::default();
    let mut body = BytesMut::new();
    loop {
        match receive(handle, deadline).await? {
            AnswerFrame::Chunk(chunk) => {
                if !is_next_chunk(handle, &mut sums, &chunk)? {
                    continue;
                }
                if body.len() + chunk.payload.len() > MAX_ANSWER_BYTES {
                    let event = AttemptEvent::Oversized;
                    return Err(AttemptFailure::new(event, "answer_too_large"));
                }
                body.extend_from_slice(&chunk.payload);
            }
            AnswerFrame::End(end) => {
                check_end(handle, &sums, &end)?;
                return Ok(body);
            }
            _ => handle.drop_frame("second answer head"),
        }
    }
}

/// Streams token lines to the caller as they arrive.
async fn stream_tokens(
    run: &mut RequestRun,
    handle: &mut AttemptHandle,
    head: &AnswerHead,
) -> Result<()> {
    let mut sums = AnswerSums::default();
    loop {
        match receive(handle, run.deadline).await? {
            AnswerFrame::Chunk(chunk) => {
                if !is_next_chunk(handle, &mut sums, &chunk)? {
                    continue;
                }
                let lines = tokens::count_lines(&chunk.payload);
                let lines = lines.filter(|_| chunk.token_index == run.tokens_sent);
                let failure = AttemptFailure::new(AttemptEvent::Interrupted, "token_gap");
                let lines = lines.ok_or(failure)?;
                run.send_tokens(head, chunk.payload, lines).await?;
            }
            AnswerFrame::End(end) => {
                check_end(handle, &sums, &end)?;
                return run.send_stream_end(head).await;
            }
            _ => handle.drop_frame("second answer head"),
        }
    }
}

/// Returns whether a chunk is the next one; `false` for a duplicate, which has to be skipped. Fails
/// if a chunk is missing before it.
fn is_next_chunk(
    handle: &AttemptHandle,
    sums: &mut AnswerSums,
    chunk: &link::AnswerChunk,
) -> Result<bool> {
    match sums.accept(chunk) {
        ChunkOrder::Next => Ok(true),
        ChunkOrder::Duplicate => {
            handle.drop_frame("duplicate chunk");
            Ok(false)
        }
        ChunkOrder::Gap => {
            handle.drop_frame("chunk out of sequence");
            Err(AttemptFailure::new(AttemptEvent::Interrupted, "chunk_gap"))
        }
    }
}

fn failure_event(outcome: FailureOutcome) -> AttemptEvent {
    match outcome {
        FailureOutcome::Interrupted => AttemptEvent::Interrupted,
        FailureOutcome::NotRun => AttemptEvent::NotRun,
        FailureOutcome::Unknown | FailureOutcome::Unspecified => AttemptEvent::Unknown,
    }
}

fn dispatch_refusal(reason: RefusalReason) -> DispatchRefusal {
    match reason {
        RefusalReason::AnswerNotStored => DispatchRefusal::AnswerNotStored,
        RefusalReason::Deadline => DispatchRefusal::Deadline,
        RefusalReason::Draining => DispatchRefusal::Draining,
        RefusalReason::Full => DispatchRefusal::Full,
        RefusalReason::KeyInUse => DispatchRefusal::KeyInUse,
        RefusalReason::KeyReused => DispatchRefusal::KeyReused,
        RefusalReason::StaleRevision => DispatchRefusal::StaleRevision,
        RefusalReason::TableDown => DispatchRefusal::TableDown,
        RefusalReason::TargetDown | RefusalReason::Unspecified => DispatchRefusal::TargetDown,
        RefusalReason::Tombstone => DispatchRefusal::Tombstone,
    }
}

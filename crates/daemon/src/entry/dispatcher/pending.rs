//! Attempts in flight, and delivery of the answer frames that agents send for them.

use {
    super::waiting::RouteQuery,
    crate::{
        entry::context::{EntryContext, EntryState},
        link::{
            LinkSender,
            convert::{request_id_from_link, request_id_to_link},
        },
    },
    sassafrasslip_core::{
        configuration::Revision,
        events::LogEvent::FrameDropped,
        explanation::CandidateRecord,
        ids::{InstanceName, RequestId},
        log_event,
        membership::{ServiceKind, TargetKey, TargetLoad},
        routing::{RouteDecision, RouteError, RoutePolicy, RouteRequest},
    },
    sassafrasslip_proto::link::{
        self, AnswerChunk, AnswerEnd, AnswerFailed, AnswerHead, Cancel, DispatchRefused,
        link_frame::Message,
    },
    std::{
        result,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::{sync::mpsc, time::Instant},
};

/// Memory that a buffered frame takes besides its payload, in bytes.
const FRAME_OVERHEAD: usize = 128;

/// Frame that an agent sends for an attempt, or the loss of its link.
#[derive(Debug)]
pub enum AnswerFrame {
    /// Part of the answer's body.
    Chunk(AnswerChunk),
    /// End of the answer, with the totals of its chunks.
    End(AnswerEnd),
    /// The call ended without a complete answer.
    Failed(AnswerFailed),
    /// Status and headers of the answer.
    Head(AnswerHead),
    /// The link to the agent closed.
    LinkLost,
    /// The agent refused the dispatch.
    Refused(DispatchRefused),
}

impl AnswerFrame {
    /// Converts a message of a link to an answer frame.
    ///
    /// # Errors
    ///
    /// Returns the message unchanged if it is no answer frame.
    pub fn from_message(message: Message) -> result::Result<Self, Box<Message>> {
        match message {
            Message::AnswerChunk(frame) => Ok(Self::Chunk(frame)),
            Message::AnswerEnd(frame) => Ok(Self::End(frame)),
            Message::AnswerFailed(frame) => Ok(Self::Failed(frame)),
            Message::AnswerHead(frame) => Ok(Self::Head(frame)),
            Message::DispatchRefused(frame) => Ok(Self::Refused(frame)),
            other => Err(Box::new(other)),
        }
    }

    /// Returns the request and the attempt that the frame belongs to.
    fn attempt_id(&self) -> Option<(link::RequestId, u32)> {
        let (request_id, attempt) = match self {
            Self::Chunk(frame) => (frame.request_id, frame.attempt),
            Self::End(frame) => (frame.request_id, frame.attempt),
            Self::Failed(frame) => (frame.request_id, frame.attempt),
            Self::Head(frame) => (frame.request_id, frame.attempt),
            Self::LinkLost => return None,
            Self::Refused(frame) => (frame.request_id, frame.attempt),
        };
        request_id.map(|request_id| (request_id, attempt))
    }

    /// Returns the memory that the frame takes in the buffer of its attempt, in bytes.
    pub fn size(&self) -> usize {
        let payload = match self {
            Self::Chunk(chunk) => chunk.payload.len(),
            _ => 0,
        };
        payload + FRAME_OVERHEAD
    }
}

/// Attempt in flight, as the delivery of frames sees it.
#[derive(Debug)]
pub struct PendingAttempt {
    attempt: u32,
    target: TargetKey,
    frames: mpsc::UnboundedSender<AnswerFrame>,
    buffered: Arc<AtomicUsize>,
    buffer_limit: usize,
}

/// Attempt with its reserved slot at a target. Dropping it releases the slot, and cancels the call
/// if it is still running.
#[derive(Debug)]
pub struct AttemptHandle {
    /// Request data by which the target was chosen.
    pub query: Arc<RouteQuery>,
    /// Routing decision: the chosen target, the rule that chose it, and the candidates.
    pub decision: RouteDecision,
    /// Candidates with their load and score, for the log and the explanation of the request.
    pub candidate_records: Vec<CandidateRecord>,
    /// Configuration revision that the routing decision used.
    pub revision: Revision,
    /// Instance name of the target.
    pub target: InstanceName,
    /// Kind of the target's service: model or plain.
    pub kind: ServiceKind,
    /// Whether the method is idempotent, so that the call may run more than once.
    pub idempotent: bool,
    /// Random nonce that identifies the attempt in the claim record of a non-idempotent call.
    pub nonce: u64,
    /// Link to the target's agent.
    pub link: LinkSender,
    /// Received frames of the answer; closed when they exceed the buffer limit.
    pub frames: mpsc::UnboundedReceiver<AnswerFrame>,
    /// Whether the dispatch was sent and the agent has not ended the call.
    pub is_running: bool,
    /// Exact load of the target, from the frame with which the agent ended the call.
    pub load: Option<TargetLoad>,
    context: Arc<EntryContext>,
    buffered: Arc<AtomicUsize>,
    started: Instant,
    succeeded: bool,
}

impl AttemptHandle {
    /// Chooses a target and reserves a slot there.
    ///
    /// # Errors
    ///
    /// Fails with [`RouteError::Full`] if all usable targets are full, and with another error if no
    /// target can serve the request.
    pub fn reserve(
        context: &Arc<EntryContext>,
        state: &mut EntryState,
        query: &Arc<RouteQuery>,
    ) -> result::Result<Self, RouteError> {
        let view = context.current_view();
        state.membership.apply_view(&view);
        let zone = &context.identity.availability_zone;
        let policy = RoutePolicy::resolve(&view, zone, &query.service, &query.team);
        let request = RouteRequest {
            service: &query.service,
            kind: query.kind.as_ref(),
            prefix: query.prefix,
            tried: &query.tried,
        };
        let (membership, generator) = (&state.membership, &mut state.generator);
        let decision = state
            .router
            .decide(membership, &request, &policy, generator)?;
        let target = membership
            .target(decision.key)
            .ok_or(RouteError::NoTarget)?;
        let facts = target.facts.as_ref().ok_or(RouteError::NoTarget)?;
        let link = state.links.get(decision.key).ok_or(RouteError::NoTarget)?;
        let candidates = decision.candidates.iter();
        let candidate_records = candidates
            .filter_map(|candidate| candidate.record(membership))
            .collect();
        let (sender, frames) = mpsc::unbounded_channel();
        let buffered = Arc::new(AtomicUsize::new(0));
        let handle = Self {
            query: Arc::clone(query),
            candidate_records,
            revision: view.revision(),
            target: target.listing.name.clone(),
            kind: facts.kind,
            idempotent: facts.is_idempotent(&query.method),
            nonce: rand::random(),
            link: link.clone(),
            frames,
            is_running: false,
            load: None,
            context: Arc::clone(context),
            buffered: Arc::clone(&buffered),
            started: Instant::now(),
            succeeded: false,
            decision,
        };
        let pending = PendingAttempt {
            attempt: query.attempt,
            target: handle.decision.key,
            frames: sender,
            buffered,
            buffer_limit: query.buffer_limit,
        };
        state.pending.insert(query.request_id.counter, pending);
        state.membership.dispatched(handle.decision.key);
        Ok(handle)
    }

    /// Records that the attempt answered the request, so that its duration enters the estimate of
    /// queue waits.
    pub fn succeed(&mut self) {
        self.succeeded = true;
    }

    /// Subtracts a received frame from the buffered bytes of the attempt.
    pub fn release_buffer(&self, frame: &AnswerFrame) {
        self.buffered.fetch_sub(frame.size(), Ordering::Relaxed);
    }

    /// Counts and logs a dropped frame; `fault` says why it was dropped.
    pub fn drop_frame(&self, fault: &str) {
        drop_frame(&self.context, self.query.request_id, &self.target, fault);
    }
}

impl Drop for AttemptHandle {
    fn drop(&mut self) {
        let request_id = self.query.request_id;
        if self.is_running {
            let request_id = Some(request_id_to_link(request_id));
            let _ = self.link.try_send(Message::Cancel(Cancel { request_id }));
        }
        let mut state = self.context.state();
        state.pending.remove(&request_id.counter);
        state.membership.finished(self.decision.key, self.load);
        if self.succeeded {
            let duration = self.started.elapsed();
            state.queue.record_duration(&self.query.service, duration);
        }
        drop(state);
        self.context.wake(&self.query.service);
    }
}

fn drop_frame(context: &EntryContext, request_id: RequestId, target: &InstanceName, fault: &str) {
    context.metrics.dropped_frames.inc();
    log_event!(
        FrameDropped,
        request_id = request_id,
        target = target,
        fault = fault
    );
}

/// Delivers a frame from an agent to its attempt; a frame that has none is dropped, counted and
/// logged.
pub fn deliver(context: &EntryContext, key: TargetKey, target: &InstanceName, frame: AnswerFrame) {
    let Some((request_id, attempt)) = frame.attempt_id() else {
        return;
    };
    let request_id = request_id_from_link(request_id);
    let fault = enqueue_frame(context, key, request_id, attempt, frame);
    if let Err(fault) = fault {
        drop_frame(context, request_id, target, fault);
    }
}

/// Adds a frame to the buffer of its attempt.
///
/// Fails with the reason for dropping the frame: it belongs to no attempt in flight at this target,
/// or the buffer is full.
fn enqueue_frame(
    context: &EntryContext,
    key: TargetKey,
    request_id: RequestId,
    attempt: u32,
    frame: AnswerFrame,
) -> result::Result<(), &'static str> {
    if request_id.entry_incarnation != context.identity.incarnation {
        return Err("request of another entry incarnation");
    }
    let mut state = context.state();
    let pending = state.pending.get(&request_id.counter);
    let pending = pending.ok_or("no such attempt in flight")?;
    if pending.attempt != attempt || pending.target != key {
        return Err("frame of another attempt of the request");
    }
    let size = frame.size();
    let buffered = pending.buffered.fetch_add(size, Ordering::Relaxed) + size;
    if buffered > pending.buffer_limit {
        // Removing the attempt closes its channel, which fails the attempt as too large.
        state.pending.remove(&request_id.counter);
        return Err("answer buffer is full");
    }
    pending.frames.send(frame).map_err(|_| "attempt has ended")
}

/// Fails all attempts in flight at a target whose link has closed.
pub fn fail_attempts(state: &mut EntryState, key: TargetKey) {
    let lost = state.pending.extract_if(|_, pending| pending.target == key);
    for (_, pending) in lost {
        let _ = pending.frames.send(AnswerFrame::LinkLost);
    }
}

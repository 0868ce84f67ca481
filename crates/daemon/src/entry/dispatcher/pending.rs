//! Attempts in flight, and the delivery of answer frames to them.

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

/// Memory that a waiting frame takes besides its payload, in bytes.
const FRAME_OVERHEAD: usize = 128;

/// Frame for an attempt.
#[derive(Debug)]
pub enum AnswerFrame {
    /// Part of the body.
    Chunk(AnswerChunk),
    /// End of the answer.
    End(AnswerEnd),
    /// The call failed.
    Failed(AnswerFailed),
    /// Status and headers.
    Head(AnswerHead),
    /// The link to the agent closed.
    LinkLost,
    /// The agent refused the dispatch.
    Refused(DispatchRefused),
}

impl AnswerFrame {
    /// Takes the answer frames out of the messages of a link.
    ///
    /// # Errors
    ///
    /// Returns any other message.
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

    fn address(&self) -> Option<(link::RequestId, u32)> {
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

    /// Returns the memory that the frame takes.
    pub fn size(&self) -> usize {
        let payload = match self {
            Self::Chunk(chunk) => chunk.payload.len(),
            _ => 0,
        };
        payload + FRAME_OVERHEAD
    }
}

/// Attempt that waits for frames.
#[derive(Debug)]
pub struct PendingAttempt {
    attempt: u32,
    target: TargetKey,
    frames: mpsc::UnboundedSender<AnswerFrame>,
    buffered: Arc<AtomicUsize>,
    buffer_limit: usize,
}

/// Reserved place at a target. Dropping it frees the place, and cancels the call if it has not
/// ended.
#[derive(Debug)]
pub struct AttemptHandle {
    /// What was asked for.
    pub query: Arc<RouteQuery>,
    /// Why the target was chosen.
    pub decision: RouteDecision,
    /// Candidates for the explanation.
    pub records: Vec<CandidateRecord>,
    /// Configuration revision that decided.
    pub revision: Revision,
    /// Name of the target.
    pub target: InstanceName,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Whether the call may run twice.
    pub idempotent: bool,
    /// Nonce of the attempt in the record of a non-idempotent call.
    pub nonce: u64,
    /// Link to the agent.
    pub link: LinkSender,
    /// Frames of the answer.
    pub frames: mpsc::UnboundedReceiver<AnswerFrame>,
    /// Whether the dispatch was sent and the agent has not ended the call.
    pub is_running: bool,
    /// Exact load that the agent gave with its last frame.
    pub load: Option<TargetLoad>,
    context: Arc<EntryContext>,
    buffered: Arc<AtomicUsize>,
    started: Instant,
    succeeded: bool,
}

impl AttemptHandle {
    /// Chooses a target and takes a place there.
    ///
    /// # Errors
    ///
    /// Fails if no target can serve the request now.
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
        let records = candidates
            .filter_map(|one| one.record(membership))
            .collect();
        let (sender, frames) = mpsc::unbounded_channel();
        let buffered = Arc::new(AtomicUsize::new(0));
        let handle = Self {
            query: Arc::clone(query),
            records,
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

    /// Marks the attempt as the one that answered the request.
    pub fn succeed(&mut self) {
        self.succeeded = true;
    }

    /// Takes a frame out of the account of buffered frames.
    pub fn consumed(&self, frame: &AnswerFrame) {
        self.buffered.fetch_sub(frame.size(), Ordering::Relaxed);
    }

    /// Counts and logs a frame that is dropped.
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

/// Gives a frame from an agent to its attempt, or drops and counts it.
pub fn deliver(context: &EntryContext, key: TargetKey, target: &InstanceName, frame: AnswerFrame) {
    let Some((request_id, attempt)) = frame.address() else {
        return;
    };
    let request_id = request_id_from_link(request_id);
    let fault = hand_over(context, key, request_id, attempt, frame);
    if let Err(fault) = fault {
        drop_frame(context, request_id, target, fault);
    }
}

fn hand_over(
    context: &EntryContext,
    key: TargetKey,
    request_id: RequestId,
    attempt: u32,
    frame: AnswerFrame,
) -> result::Result<(), &'static str> {
    if request_id.entry_incarnation != context.identity.incarnation {
        return Err("request of another incarnation");
    }
    let mut state = context.state();
    let pending = state.pending.get(&request_id.counter);
    let pending = pending.ok_or("unknown request")?;
    if pending.attempt != attempt || pending.target != key {
        return Err("frame of another attempt");
    }
    let size = frame.size();
    let buffered = pending.buffered.fetch_add(size, Ordering::Relaxed) + size;
    if buffered > pending.buffer_limit {
        // Closing the channel ends the attempt.
        state.pending.remove(&request_id.counter);
        return Err("the buffer of the answer is full");
    }
    pending
        .frames
        .send(frame)
        .map_err(|_| "the attempt has ended")
}

/// Ends all attempts at a target whose link has closed.
pub fn lose_link(state: &mut EntryState, key: TargetKey) {
    let lost = state.pending.extract_if(|_, pending| pending.target == key);
    for (_, pending) in lost {
        let _ = pending.frames.send(AnswerFrame::LinkLost);
    }
}

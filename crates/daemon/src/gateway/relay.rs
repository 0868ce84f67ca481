//! Forwards streams of server-sent events as they arrive, and moves a stream to another target when
//! its target fails.
//!
//! Load pattern: a target that crashes or goes silent in the middle of a long stream. A resumable
//! stream continues at another target after the last complete event, and the caller only sees a
//! longer pause.

use {
    super::{
        admission::TargetLease,
        channels::describe_exchange,
        exchange::{AttemptError, OpenAnswer, ReadResult},
        reply::{CutError, LocalReply, ReplyBody},
        request::{AttemptRecord, RequestHandler},
    },
    bytes::Bytes,
    futures_util::stream,
    http::{StatusCode, header::CONTENT_LENGTH},
    hyper::Response,
    sassafrasslip_core::{
        dispatch::{EventSplitter, RepeatRule, TargetKey, event_stream::MAX_EVENT_BYTES},
        events::LogEvent::{StreamCut, StreamMoved},
        log_event,
    },
    sassafrasslip_platform::answer::forwarded_headers,
    std::{future, ops::ControlFlow, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// Silence after which a stream moves to another target if other targets of its service make
/// progress. Callers leave after two seconds without an event, and another target needs a few
/// hundred milliseconds to resume the stream.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1100);

/// Time in which another target must send the first event of a stream that moves to it from a slow
/// rank or a silent target. It is as long as a pass with a slow rank may take.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1100);

/// Interval at which the progress of other targets is checked again once the limit has passed.
pub const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Description of a target that is silent while others make progress.
const SILENCE_FAULT: &str = "target is silent";

/// What a stream brings next.
enum StreamStep {
    /// Complete events.
    Events(Bytes),
    /// Regular end of the stream.
    End,
    /// No event for too long while other targets make progress. A retry has been reserved.
    Silence,
}

/// Stream whose first events have been received, or that has ended without any.
pub struct StartedStream {
    open: OpenAnswer,
    splitter: EventSplitter,
    first: Bytes,
    is_complete: bool,
}

/// Waits for the first events of a stream. Until then nothing has been sent to the caller, so that
/// the request can start over at another target.
///
/// # Errors
///
/// Fails if the connection breaks, if the stream is malformed, or at the deadline.
pub async fn start(
    open: OpenAnswer,
    splitter: EventSplitter,
    deadline: Instant,
) -> Result<StartedStream, AttemptError> {
    let mut started = StartedStream {
        open,
        splitter,
        first: Bytes::new(),
        is_complete: false,
    };
    let StartedStream { open, splitter, .. } = &mut started;
    loop {
        let read = timeout_at(deadline, open.next()).await;
        let read = read.map_err(|_| deadline_error())?;
        match split_events(open, splitter, read, false)? {
            Some(StreamStep::Events(events)) => {
                started.first = events;
                return Ok(started);
            }
            Some(_) => {
                started.is_complete = true;
                return Ok(started);
            }
            None => {}
        }
    }
}

impl StartedStream {
    /// Returns the target that sends the stream.
    pub fn target(&self) -> TargetKey {
        self.open.lease.key
    }

    /// Returns whether the stream has brought an event.
    pub fn has_event(&self) -> bool {
        !self.first.is_empty()
    }

    /// Converts to a response whose body forwards the events and moves to other targets as needed.
    pub fn into_response(self, mut handler: RequestHandler) -> Response<ReplyBody> {
        let parts = &self.open.parts;
        let mut headers = forwarded_headers(&parts.headers);
        // A stream that moves to another target may have another total length.
        headers.remove(CONTENT_LENGTH);
        let status = parts.status;
        handler.first_event = Some(handler.arrived_at.elapsed());
        let relay = StreamRelay {
            first: Some(self.first).filter(|first| !first.is_empty()),
            is_complete: self.is_complete,
            open: Some(self.open),
            splitter: self.splitter,
            status,
        };
        let events = stream::unfold(Some((handler, relay)), |state| async {
            let (mut handler, mut relay) = state?;
            match relay.next(&mut handler).await {
                Ok(Some(events)) => Some((Ok(events), Some((handler, relay)))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        let mut response = Response::new(ReplyBody::Events(Box::pin(events)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}

struct StreamRelay {
    /// First events of the stream or of its resumption that the caller has not got yet.
    first: Option<Bytes>,
    is_complete: bool,
    open: Option<OpenAnswer>,
    splitter: EventSplitter,
    status: StatusCode,
}

impl StreamRelay {
    async fn next(&mut self, handler: &mut RequestHandler) -> Result<Option<Bytes>, CutError> {
        // Includes the time of a move to another target, which the caller sees as a pause.
        let waiting_since = Instant::now();
        let mut needs_slot = false;
        while !self.is_complete {
            if self.first.is_none() {
                self.leave_slow_target(handler).await;
            }
            if let Some(first) = self.first.take() {
                handler.longest_pause = handler.longest_pause.max(waiting_since.elapsed());
                return Ok(Some(first));
            }
            let Some(open) = &mut self.open else {
                return Err(self.abort(handler, "no target"));
            };
            let since = Instant::now();
            let limit = match needs_slot {
                true => SILENCE_CHECK_INTERVAL,
                false => SILENCE_LIMIT,
            };
            match next_events(handler, open, &mut self.splitter, limit).await {
                Ok(StreamStep::Events(events)) => {
                    self.record_pause(handler, since);
                    handler.longest_pause = handler.longest_pause.max(waiting_since.elapsed());
                    return Ok(Some(events));
                }
                Ok(StreamStep::End) => self.is_complete = true,
                Ok(StreamStep::Silence) => {
                    if !needs_slot {
                        handler.note_silence(since);
                    }
                    let events = self.leave_silent_target(handler).await;
                    // The caller leaves before another whole limit is over.
                    needs_slot = handler.has_reserved_retry();
                    if !events.is_empty() {
                        self.record_pause(handler, since);
                        handler.longest_pause = handler.longest_pause.max(waiting_since.elapsed());
                        return Ok(Some(events));
                    }
                }
                Err(error) => self.resume_elsewhere(handler, &error).await?,
            }
        }
        if let Some(open) = self.open.take() {
            open.finish(&handler.state);
        }
        handler.record_answered(self.status);
        Ok(None)
    }

    /// Records the pause of the target before the latest events. It is measured from the start of
    /// the read, because a slow caller delays the reads and would make the target look slow.
    fn record_pause(&mut self, handler: &RequestHandler, since: Instant) {
        let pause = since.elapsed();
        let objective = handler.matched.route.pause_objective;
        if let (Some(open), Some(objective)) = (&self.open, objective) {
            handler
                .state
                .record_pause(open.lease.key, &handler.service, pause, objective);
        }
    }

    /// Moves the stream to another target if a slow rank holds it up. It goes on at the slow rank
    /// until the other target has sent an event, so that a failed move does not end a sound stream.
    async fn leave_slow_target(&mut self, handler: &mut RequestHandler) {
        let (Some(open), Some(last_id)) = (&self.open, self.splitter.last_id()) else {
            return;
        };
        let key = open.lease.key;
        let Some(lease) = handler.acquire_faster_target(key) else {
            return;
        };
        let last_id = String::from_utf8_lossy(last_id).into_owned();
        let previous = handler.current();
        let resumed = resume_beside(handler, lease, self.splitter.resumed(), &last_id);
        let attempt = timeout(MOVE_TIMEOUT, resumed).await;
        self.end_move(handler, previous, attempt.ok(), &last_id, "target is slow");
    }

    /// Moves the stream to another target after a silence. A sound target may be silent for a while
    /// and go on, so that the stream stays with it until the other target has sent an event, and goes
    /// on with whichever is first. Returns the events with which the silent target has gone on, if any.
    async fn leave_silent_target(&mut self, handler: &mut RequestHandler) -> Bytes {
        let (Some(open), Some(last_id)) = (&mut self.open, self.splitter.last_id()) else {
            return Bytes::new();
        };
        let key = open.lease.key;
        let Some(lease) = handler.acquire_other_target() else {
            return Bytes::new();
        };
        let last_id = String::from_utf8_lossy(last_id).into_owned();
        let previous = handler.current();
        let resumed = resume_beside(handler, lease, self.splitter.resumed(), &last_id);
        let attempt = timeout(MOVE_TIMEOUT, resumed);
        let (attempt, events) = tokio::select! {
            biased;
            events = continued_events(open, &mut self.splitter) => (None, events),
            attempt = attempt => (attempt.ok(), Bytes::new()),
        };
        self.end_move(handler, previous, attempt, &last_id, SILENCE_FAULT);
        if !events.is_empty() {
            handler.record_progress(key, Instant::now());
        }
        events
    }

    /// Continues the stream at the other target if that has taken it over, and with the attempt
    /// `previous` otherwise. `attempt` is `None` if the attempt at the other target was given up.
    fn end_move(
        &mut self,
        handler: &mut RequestHandler,
        previous: Option<AttemptRecord>,
        attempt: Option<Result<Option<StartedStream>, ControlFlow<LocalReply>>>,
        last_id: &str,
        fault: &str,
    ) {
        match attempt {
            Some(Ok(Some(started))) => {
                handler.record_left_target();
                if started.has_event() {
                    handler.record_progress(started.target(), Instant::now());
                }
                self.restart_at(handler, started.open, last_id, fault);
                self.splitter = started.splitter;
                self.is_complete = started.is_complete;
                self.first = Some(started.first).filter(|first| !first.is_empty());
            }
            Some(Err(_)) => handler.return_to(previous),
            Some(Ok(None)) | None => {
                handler.record_abandoned_attempt();
                handler.return_to(previous);
            }
        }
    }

    /// Continues the stream with the answer of another target, which begins after `last_event`.
    fn restart_at(
        &mut self,
        handler: &RequestHandler,
        open: OpenAnswer,
        last_event: &str,
        fault: &str,
    ) {
        log_event!(
            StreamMoved,
            request_id = handler.request_id(),
            attempt = handler.attempts(),
            last_event = last_event,
            fault = fault
        );
        handler.state.metrics.moved_streams.inc();
        self.splitter.restart();
        self.open = Some(open);
    }

    /// Resumes the stream at another target after the last complete event.
    async fn resume_elsewhere(
        &mut self,
        handler: &mut RequestHandler,
        error: &AttemptError,
    ) -> Result<(), CutError> {
        self.open = None;
        let mut decision = handler.after_failure(error, false).await;
        if handler.matched.route.repeat != RepeatRule::ResumableStream {
            return Err(self.abort(handler, "stream cannot be resumed"));
        }
        let last_id = self.splitter.last_id().map(String::from_utf8_lossy);
        let Some(last_id) = last_id.map(std::borrow::Cow::into_owned) else {
            return Err(self.abort(handler, "events have no id"));
        };
        while decision.is_continue() {
            decision = match handler.resume(&last_id).await {
                Ok(open) if is_stream(&open) => {
                    self.restart_at(handler, open, &last_id, &error.fault);
                    return Ok(());
                }
                Ok(open) => {
                    let fault = format!("target answered {} to a resumption", open.parts.status);
                    drop(open);
                    let error = AttemptError::broken(fault);
                    handler.after_failure(&error, false).await
                }
                Err(decision) => decision,
            };
        }
        let reason = match decision {
            ControlFlow::Break(answer) => answer.reason,
            ControlFlow::Continue(()) => "stopped",
        };
        Err(self.abort(handler, reason))
    }

    fn abort(&mut self, handler: &mut RequestHandler, reason: &'static str) -> CutError {
        self.open = None;
        log_event!(
            StreamCut,
            request_id = handler.request_id(),
            service = handler.service,
            reason = reason,
            attempts = handler.attempts(),
            after_ms = handler.arrived_at.elapsed().as_millis()
        );
        handler.record_outcome("cut");
        CutError
    }
}

/// Resumes a stream at the target of a lease while another one works on it, and waits for the first
/// events. The head of the answer alone does not show that the target goes on with the stream.
/// Returns no stream if the answer is none.
async fn resume_beside(
    handler: &mut RequestHandler,
    lease: TargetLease,
    splitter: EventSplitter,
    last_id: &str,
) -> Result<Option<StartedStream>, ControlFlow<LocalReply>> {
    let open = handler.resume_at(lease, last_id, true).await?;
    if !is_stream(&open) {
        return Ok(None);
    }
    match start(open, splitter, handler.deadline).await {
        Ok(started) => Ok(Some(started)),
        Err(error) => Err(handler.after_failure(&error, true).await),
    }
}

fn deadline_error() -> AttemptError {
    AttemptError {
        blames_target: false,
        ..AttemptError::broken("deadline passed")
    }
}

/// Returns whether an answer is a stream of events.
pub fn is_stream(open: &OpenAnswer) -> bool {
    open.parts.status.is_success() && open.head.is_event_stream
}

/// Returns the next complete events, the end of the stream, or a silence of the target.
async fn next_events(
    handler: &mut RequestHandler,
    open: &mut OpenAnswer,
    splitter: &mut EventSplitter,
    silence_limit: Duration,
) -> Result<StreamStep, AttemptError> {
    let key = open.lease.key;
    // The silence limit counts from here: bytes that do not complete an event are no progress.
    let check_at = Instant::now() + silence_limit;
    loop {
        let Some(read) = read_with_silence_limit(handler, open, check_at).await? else {
            return Ok(StreamStep::Silence);
        };
        match split_events(open, splitter, Ok(read), handler.has_begun())? {
            Some(StreamStep::Events(events)) => {
                handler.record_progress(key, Instant::now());
                return Ok(StreamStep::Events(events));
            }
            Some(step) => return Ok(step),
            None => {}
        }
    }
}

/// Adds what was read to the splitter and returns the complete events or the end of the stream;
/// `None` if the bytes complete no event. `has_begun` says whether the target has sent events.
fn split_events(
    open: &OpenAnswer,
    splitter: &mut EventSplitter,
    read: ReadResult,
    has_begun: bool,
) -> Result<Option<StreamStep>, AttemptError> {
    let read = read.map_err(|error| AttemptError::closed(describe_exchange(&error)))?;
    let Some(bytes) = read else {
        if splitter.pending_bytes() > 0 {
            return Err(AttemptError::closed(
                "stream ends in the middle of an event",
            ));
        }
        if open.ends_with_connection() && !has_begun {
            return Err(AttemptError::closed("stream ends before its first event"));
        }
        return Ok(Some(StreamStep::End));
    };
    let events = splitter.push(&bytes);
    if splitter.pending_bytes() > MAX_EVENT_BYTES {
        return Err(AttemptError::broken("event exceeds the size limit"));
    }
    Ok((!events.is_empty()).then_some(StreamStep::Events(events)))
}

/// Waits until a silent target completes events, which are returned, or ends its stream. Bytes that
/// complete none are no progress. What is left, such as a broken connection, is for
/// [`next_events`] to report.
async fn continued_events(open: &mut OpenAnswer, splitter: &mut EventSplitter) -> Bytes {
    while open.wait_readable().await {
        if let Ok(Some(bytes)) = open.next().await {
            let events = splitter.push(&bytes);
            if !events.is_empty() {
                return events;
            }
        }
        if splitter.pending_bytes() > MAX_EVENT_BYTES {
            return future::pending().await;
        }
    }
    Bytes::new()
}

/// Reads the next bytes, or `None` at the end of the stream. Returns no result after a silence, if the
/// stream can move and other targets of the service make progress. The ranks of a group run each pass
/// together and therefore stall together, so that a move within a stalled group would not help.
async fn read_with_silence_limit(
    handler: &mut RequestHandler,
    open: &mut OpenAnswer,
    mut check_at: Instant,
) -> Result<Option<Option<Bytes>>, AttemptError> {
    let key = open.lease.key;
    loop {
        let until = check_at.min(handler.deadline);
        match timeout_at(until, open.next()).await {
            Ok(Ok(bytes)) => return Ok(Some(bytes)),
            Ok(Err(error)) => return Err(AttemptError::closed(describe_exchange(&error))),
            Err(_) => {}
        }
        let now = Instant::now();
        if now >= handler.deadline {
            return Err(deadline_error());
        }
        if handler.has_other_progress(key, now) && handler.reserve_move(now) {
            return Ok(None);
        }
        check_at = now + SILENCE_CHECK_INTERVAL;
    }
}

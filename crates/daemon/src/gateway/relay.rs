//! Streams of events: forwarded as they arrive, and moved to another target when one breaks off.

use {
    super::{
        channels::describe_exchange,
        exchange::{AttemptError, OpenAnswer},
        reply::{CutError, ReplyBody},
        request::RequestRun,
    },
    bytes::Bytes,
    futures_util::stream,
    http::{StatusCode, header::CONTENT_LENGTH, response},
    hyper::Response,
    sassafrasslip_core::{
        dispatch::{EventSplitter, RepeatRule, event_stream::MAX_EVENT_BYTES},
        events::LogEvent::{StreamCut, StreamMoved},
        log_event,
    },
    sassafrasslip_platform::answer::forwarded_headers,
    std::{ops::ControlFlow, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Pause after which a target counts as silent if other targets of its service make progress.
/// Callers leave after two seconds, and another target needs some hundred milliseconds to go on.
const SILENCE_LIMIT: Duration = Duration::from_millis(1100);

/// Interval at which the progress of other targets is looked at again.
const SILENCE_REVIEW: Duration = Duration::from_millis(250);

/// Progress of another target counts if it is at most this old.
const PROGRESS_WINDOW: Duration = Duration::from_millis(400);

/// Stream whose first events have arrived.
pub struct BegunStream {
    open: OpenAnswer,
    splitter: EventSplitter,
    first: Bytes,
    is_complete: bool,
}

/// Waits for the first events of a stream. Until then nothing has gone to the caller, and the
/// request can start over at another target.
///
/// # Errors
///
/// Fails if the target breaks off or is silent.
pub async fn begin(run: &mut RequestRun, open: OpenAnswer) -> Result<BegunStream, AttemptError> {
    let mut begun = BegunStream {
        open,
        splitter: EventSplitter::default(),
        first: Bytes::new(),
        is_complete: false,
    };
    match next_events(run, &mut begun.open, &mut begun.splitter).await? {
        Some(events) => begun.first = events,
        None => begun.is_complete = true,
    }
    run.state.record_success(begun.open.lease.key);
    let elapsed = run.sent_at().elapsed();
    run.state.record_first_answer(&run.service, elapsed);
    Ok(begun)
}

impl BegunStream {
    /// Builds the response whose body forwards the events.
    pub fn into_response(self, mut run: RequestRun) -> Response<ReplyBody> {
        let parts = &self.open.parts;
        let mut headers = forwarded_headers(&parts.headers);
        // A stream that moves to another target may end with another length.
        headers.remove(CONTENT_LENGTH);
        let status = parts.status;
        run.first_event = Some(run.arrived.elapsed());
        let relay = StreamRelay {
            first: Some(self.first),
            is_complete: self.is_complete,
            open: Some(self.open),
            splitter: self.splitter,
            status,
        };
        let events = stream::unfold(Some((run, relay)), |state| async {
            let (mut run, mut relay) = state?;
            match relay.next(&mut run).await {
                Ok(Some(events)) => Some((Ok(events), Some((run, relay)))),
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
    first: Option<Bytes>,
    is_complete: bool,
    open: Option<OpenAnswer>,
    splitter: EventSplitter,
    status: StatusCode,
}

impl StreamRelay {
    async fn next(&mut self, run: &mut RequestRun) -> Result<Option<Bytes>, CutError> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Ok(Some(first));
        }
        // The caller sees the move to another target as a pause.
        let waiting_since = Instant::now();
        while !self.is_complete {
            let Some(open) = &mut self.open else {
                return Err(self.cut(run, "no target"));
            };
            let since = Instant::now();
            match next_events(run, open, &mut self.splitter).await {
                Ok(Some(events)) => {
                    self.note_pause(run, since);
                    run.longest_pause = run.longest_pause.max(waiting_since.elapsed());
                    return Ok(Some(events));
                }
                Ok(None) => self.is_complete = true,
                Err(error) => self.move_on(run, &error).await?,
            }
        }
        if let Some(open) = self.open.take() {
            open.finish(&run.state);
        }
        run.settle_answered(self.status);
        Ok(None)
    }

    /// Notes the pause since the events before. A caller that takes its events slowly delays the
    /// reading, so that its pauses are counted from when the reading began.
    fn note_pause(&mut self, run: &RequestRun, since: Instant) {
        let pause = since.elapsed();
        let objective = run.matched.route.pause_objective;
        if let (Some(open), Some(objective)) = (&self.open, objective) {
            run.state
                .record_pause(open.lease.key, &run.service, pause, objective);
        }
    }

    /// Continues the stream at another target after its last whole event.
    async fn move_on(
        &mut self,
        run: &mut RequestRun,
        error: &AttemptError,
    ) -> Result<(), CutError> {
        self.open = None;
        let mut decision = run.after_failure(error);
        if run.matched.route.repeat != RepeatRule::ResumableStream {
            return Err(self.cut(run, "stream cannot be resumed"));
        }
        let last_id = self.splitter.last_id().map(String::from_utf8_lossy);
        let Some(last_id) = last_id.map(std::borrow::Cow::into_owned) else {
            return Err(self.cut(run, "events have no id"));
        };
        while decision.is_continue() {
            decision = match run.attempt(Some(&last_id)).await {
                Ok(open) if is_stream(&open.parts, &open) => {
                    log_event!(
                        StreamMoved,
                        request_id = run.request_id(),
                        attempt = run.attempts(),
                        last_event = last_id,
                        fault = error.fault
                    );
                    run.state.metrics.moved_streams.inc();
                    self.splitter.restart();
                    self.open = Some(open);
                    return Ok(());
                }
                Ok(open) => {
                    let fault = format!("target answered {} to a resumption", open.parts.status);
                    drop(open);
                    run.after_failure(&AttemptError::broken(fault))
                }
                Err(decision) => decision,
            };
        }
        let reason = match decision {
            ControlFlow::Break(answer) => answer.reason,
            ControlFlow::Continue(()) => "stopped",
        };
        Err(self.cut(run, reason))
    }

    fn cut(&mut self, run: &mut RequestRun, reason: &'static str) -> CutError {
        self.open = None;
        log_event!(
            StreamCut,
            request_id = run.request_id(),
            service = run.service,
            reason = reason,
            attempts = run.attempts(),
            after_ms = run.arrived.elapsed().as_millis()
        );
        run.settle("cut");
        CutError
    }
}

fn is_stream(parts: &response::Parts, open: &OpenAnswer) -> bool {
    parts.status.is_success() && open.head.is_event_stream
}

/// Returns the next whole events; `None` after the last ones.
async fn next_events(
    run: &mut RequestRun,
    open: &mut OpenAnswer,
    splitter: &mut EventSplitter,
) -> Result<Option<Bytes>, AttemptError> {
    let key = open.lease.key;
    // Bytes that do not complete an event are no progress.
    let silent_since = Instant::now();
    loop {
        let read = read_with_silence_limit(run, open, silent_since).await?;
        let Some(bytes) = read else {
            if splitter.pending_bytes() > 0 {
                return Err(AttemptError::broken(
                    "stream ends in the middle of an event",
                ));
            }
            return Ok(None);
        };
        let events = splitter.push(&bytes);
        if splitter.pending_bytes() > MAX_EVENT_BYTES {
            return Err(AttemptError::broken("event is too long"));
        }
        if !events.is_empty() {
            run.state.record_progress(key, Instant::now());
            return Ok(Some(events));
        }
    }
}

/// Reads the next bytes. A silent target is given up only if the stream may move and while other
/// targets of its service make progress: ranks that step together stall together, and moving would
/// help nobody.
async fn read_with_silence_limit(
    run: &mut RequestRun,
    open: &mut OpenAnswer,
    silent_since: Instant,
) -> Result<Option<Bytes>, AttemptError> {
    let key = open.lease.key;
    let mut review_at = silent_since + SILENCE_LIMIT;
    loop {
        let until = review_at.min(run.deadline);
        match timeout_at(until, open.next()).await {
            Ok(Ok(bytes)) => return Ok(bytes),
            Ok(Err(error)) => return Err(AttemptError::broken(describe_exchange(&error))),
            Err(_) => {}
        }
        let now = Instant::now();
        if now >= run.deadline {
            return Err(AttemptError {
                blames_target: false,
                ..AttemptError::broken("deadline passed")
            });
        }
        let has_others = run
            .state
            .others_progress(&run.service, key, now - PROGRESS_WINDOW);
        if has_others && run.reserve_move(now) {
            return Err(AttemptError::broken("target is silent"));
        }
        review_at = now + SILENCE_REVIEW;
    }
}

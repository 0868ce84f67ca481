//! One attempt at one target.

use {
    super::{
        admission::TargetLease,
        channels::{ChannelError, TargetChannel, describe_exchange},
        state::GatewayState,
    },
    bytes::{Bytes, BytesMut},
    http::{request, response},
    http_body_util::{BodyExt, Full},
    hyper::{
        Request,
        body::{Body, Incoming},
    },
    sassafrasslip_core::{
        dispatch::{AttemptFailure, ChannelPlan, RepeatRule, TargetEntry, plan_channel},
        events::LogEvent::AttemptDecided,
        log_event,
    },
    sassafrasslip_platform::{AnswerHead, AttemptHead, decode_answer, encode_attempt},
    std::{cell::Cell, result, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// Result of an attempt.
pub type Result<T> = result::Result<T, AttemptError>;

/// Largest whole answer that is collected, in bytes.
const MOST_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Bytes that all answers together may take while they are collected. Above it only small answers
/// go on, so that some targets without an end to their bodies do not fill the memory of the process.
const MOST_COLLECTED_BYTES: usize = 32 * 1024 * 1024;
const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// Largest rest of a rejection that is read so that its channel can be kept, in bytes.
const MOST_REJECTION_BYTES: usize = 64 * 1024;

/// Time to read the rest of a rejection, so that its channel can be kept.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(50);

/// Least time that an attempt gets; with less, no target could answer.
const LEAST_REMAINING: Duration = Duration::from_millis(5);

/// Attempt that failed.
#[derive(Debug)]
pub struct AttemptError {
    /// Whether the target may have run the request.
    pub failure: AttemptFailure,
    /// Whether the failure speaks against the target.
    pub blames_target: bool,
    /// Target that the answer names as the cause.
    pub faulty_target: Option<String>,
    /// What went wrong.
    pub fault: String,
}

impl AttemptError {
    /// Creates the error of a target that broke off, fell silent or answered with garbage.
    pub fn broken(fault: impl Into<String>) -> Self {
        Self {
            failure: AttemptFailure::MayHaveRun,
            blames_target: true,
            faulty_target: None,
            fault: fault.into(),
        }
    }

    /// Creates the error of a request of which no byte has left.
    pub fn unsent(fault: impl Into<String>) -> Self {
        Self {
            failure: AttemptFailure::NotRun,
            ..Self::broken(fault)
        }
    }
}

/// What an attempt sends.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInput<'a> {
    /// Head of the caller's request.
    pub parts: &'a request::Parts,
    /// Body of the caller's request.
    pub body: &'a Bytes,
    /// Id that the caller chose.
    pub request_id: &'a str,
    /// Team that holds the caller's key.
    pub team: Option<&'a str>,
    /// How often the request may run.
    pub repeat: RepeatRule,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Configuration revision that decided.
    pub revision: u64,
    /// Last event that the caller has got.
    pub resume_after: Option<&'a str>,
    /// End of the time that the caller waits.
    pub deadline: Instant,
    /// End of the time for the head of the answer.
    pub head_until: Instant,
}

/// Answer whose head has arrived.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Slot at the target.
    pub lease: TargetLease,
    /// Head, as it goes on to the caller.
    pub parts: response::Parts,
    /// What the head says.
    pub head: AnswerHead,
    channel: TargetChannel,
    is_kept: bool,
    body: Incoming,
}

impl OpenAnswer {
    /// Reads the next bytes; `None` after the last ones.
    ///
    /// # Errors
    ///
    /// Fails if the channel breaks.
    pub async fn next(&mut self) -> result::Result<Option<Bytes>, hyper::Error> {
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails if the channel breaks, or if the answer is too large or late.
    pub async fn collect(
        mut self,
        state: &GatewayState,
        until: Instant,
    ) -> Result<(response::Parts, Bytes)> {
        let body = self.read_body(&state.collected_bytes, MOST_ANSWER_BYTES);
        let body = timeout_at(until, body).await;
        let body = body.map_err(|_| AttemptError::broken("answer is late"))??;
        let parts = self.parts.clone();
        self.finish(state);
        Ok((parts, body))
    }

    /// Reads a body of at most `most` bytes, which count as collected until it is read.
    async fn read_body(&mut self, collected: &Cell<usize>, most: usize) -> Result<Bytes> {
        if self.body.size_hint().lower() > most as u64 {
            return Err(AttemptError::broken("answer is too large"));
        }
        let mut held = CollectedBytes::new(collected);
        let mut whole = BytesMut::new();
        while let Some(bytes) = self
            .next()
            .await
            .map_err(|error| AttemptError::broken(describe_exchange(&error)))?
        {
            held.add(bytes.len());
            if held.bytes > most {
                return Err(AttemptError::broken("answer is too large"));
            }
            if held.bytes > SMALL_ANSWER_BYTES && collected.get() > MOST_COLLECTED_BYTES {
                return Err(AttemptError::broken("answers take too much memory"));
            }
            whole.extend_from_slice(&bytes);
        }
        Ok(whole.freeze())
    }

    /// Keeps the channel after the last bytes were read.
    pub fn finish(self, state: &GatewayState) {
        if self.is_kept {
            state.keep_channel(self.lease.key, self.channel, self.head.idle_timeout);
        }
    }
}

/// Bytes of one answer among those that are being collected.
#[derive(Debug)]
struct CollectedBytes<'a> {
    all: &'a Cell<usize>,
    bytes: usize,
}

impl<'a> CollectedBytes<'a> {
    fn new(all: &'a Cell<usize>) -> Self {
        Self { all, bytes: 0 }
    }

    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.all.set(self.all.get() + bytes);
    }
}

impl Drop for CollectedBytes<'_> {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.bytes);
    }
}

/// Sends a request to the target of a lease and waits for the head of the answer.
///
/// # Errors
///
/// Fails if the target cannot be reached, rejects the request, breaks off or is silent.
pub async fn send(
    state: &GatewayState,
    lease: TargetLease,
    input: &AttemptInput<'_>,
) -> Result<OpenAnswer> {
    let entry = {
        let roster = state.roster.borrow();
        let target = roster.get(lease.key);
        target.map(|target| target.entry.clone())
    };
    let entry = entry.ok_or_else(|| AttemptError::unsent("target has left"))?;
    let plan = plan_channel(input.repeat, input.body.len());
    let kept = match plan {
        ChannelPlan::Kept { longest_idle } => state.channels.take(lease.key, longest_idle),
        ChannelPlan::SingleUse => None,
    };
    log_decision(state, &lease, &entry, input, kept.is_some());
    let mut channel = match kept {
        Some(channel) => channel,
        None => {
            state.metrics.channels.inc();
            let opened = TargetChannel::open(entry.address).await;
            opened.map_err(|error| AttemptError::unsent(error.to_string()))?
        }
    };
    let request = build(input, &entry)?;
    let sent = timeout_at(input.head_until, channel.exchange(request)).await;
    let response = match sent {
        Err(_) => return Err(AttemptError::broken("no answer in time")),
        Ok(Err(error)) => return Err(channel_error(error, channel.is_used)),
        Ok(Ok(response)) => response,
    };
    let (parts, body) = response.into_parts();
    let head = decode_answer(&parts, input.request_id);
    state.note_answer(lease.key, &head, Instant::now());
    let answer = OpenAnswer {
        lease,
        parts,
        head,
        channel,
        is_kept: plan != ChannelPlan::SingleUse,
        body,
    };
    check(state, answer).await
}

async fn check(state: &GatewayState, mut answer: OpenAnswer) -> Result<OpenAnswer> {
    let head = &answer.head;
    if !head.matches_request {
        return Err(AttemptError::broken("answer belongs to another request"));
    }
    if head.was_not_run {
        let status = answer.parts.status;
        let error = AttemptError {
            failure: AttemptFailure::NotRun,
            blames_target: head.is_misdirected,
            faulty_target: head.faulty_target.clone(),
            fault: format!("target rejected the request with {status}"),
        };
        let rest = answer.read_body(&state.collected_bytes, MOST_REJECTION_BYTES);
        if let Ok(Ok(_)) = timeout(REJECTION_TIMEOUT, rest).await {
            answer.finish(state);
        }
        return Err(error);
    }
    if answer.parts.status.is_success() && !head.is_signed {
        return Err(AttemptError::broken("success without signature"));
    }
    Ok(answer)
}

fn build(input: &AttemptInput<'_>, entry: &TargetEntry) -> Result<Request<Full<Bytes>>> {
    let remaining = input.deadline.saturating_duration_since(Instant::now());
    if remaining < LEAST_REMAINING {
        return Err(AttemptError {
            blames_target: false,
            ..AttemptError::unsent("no time is left")
        });
    }
    let head = AttemptHead {
        remaining,
        target: &entry.id,
        team: input.team,
        resume_after: input.resume_after,
    };
    let path = input.parts.uri.path_and_query();
    let request = Request::builder()
        .method(input.parts.method.clone())
        .uri(path.map_or("/", |path| path.as_str()))
        .body(Full::from(input.body.clone()));
    let mut request = request.map_err(|error| AttemptError::unsent(error.to_string()))?;
    *request.headers_mut() = encode_attempt(input.parts, &head);
    Ok(request)
}

fn channel_error(error: ChannelError, was_used: bool) -> AttemptError {
    if error.may_have_left {
        AttemptError::broken(error.fault)
    } else {
        // A kept channel that the target has closed says nothing about the target.
        AttemptError {
            blames_target: !was_used,
            ..AttemptError::unsent(error.fault)
        }
    }
}

fn log_decision(
    state: &GatewayState,
    lease: &TargetLease,
    entry: &TargetEntry,
    input: &AttemptInput<'_>,
    is_kept: bool,
) {
    let roster = state.roster.borrow();
    let loads = roster.get(lease.key);
    let (own, peers) = loads.map_or((0, 0), |target| {
        (target.own_in_flight, target.peer_in_flight)
    });
    log_event!(
        AttemptDecided,
        request_id = input.request_id,
        attempt = input.number,
        service = entry.service,
        target = entry.id,
        availability_zone = entry.availability_zone,
        own_in_flight = own,
        peer_in_flight = peers,
        revision = input.revision,
        list_age_ms = state.list_age(Instant::now()).as_millis(),
        channel = if is_kept { "kept" } else { "new" }
    );
}

//! One attempt: sends a request to one target and checks the response.
//!
//! Every failure says whether the target may have run the request, which decides whether the
//! request may be retried.

use {
    super::{
        admission::TargetLease,
        answer_budget::{AnswerBudget, LimitExceeded},
        channels::{ChannelError, TargetChannel, describe_exchange},
        request_body::RequestBody,
        state::GatewayState,
    },
    bytes::{Bytes, BytesMut},
    http::{
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
        request, response,
    },
    http_body_util::{BodyExt, Full},
    hyper::{
        Request,
        body::{Body, Incoming},
    },
    sassafrasslip_core::{
        dispatch::{
            AttemptFailure, ChannelPlan, RepeatRule, TargetEntry, plan_channel,
            route_table::TeamRule,
        },
        events::LogEvent::AttemptDecided,
        log_event,
    },
    sassafrasslip_platform::{AnswerHead, AttemptHead, decode_answer, encode_attempt},
    std::{future, result, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// Result of an attempt or of one of its steps.
pub type Result<T> = result::Result<T, AttemptError>;

/// Largest response body that is buffered as a whole, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Largest body of a rejection that is read so that the connection can be reused, in bytes.
const MAX_REJECTION_BYTES: usize = 64 * 1024;

/// Time to read the body of a rejection so that the connection can be reused.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(50);

/// Shortest remaining time with which an attempt is sent. No target could answer in less.
const MIN_REMAINING: Duration = Duration::from_millis(5);

/// Failure of an attempt, and what it shows about the target.
#[derive(Debug)]
pub struct AttemptError {
    /// Whether the target may have run the request.
    pub failure: AttemptFailure,
    /// Whether the failure counts against the target's health.
    pub blames_target: bool,
    /// Whether the connection ended before the response did.
    pub is_closed: bool,
    /// Name of the target that the response reports as the cause; `None` if it names none.
    pub faulty_target: Option<String>,
    /// Description of the failure, for logs.
    pub fault: String,
}

impl AttemptError {
    /// Creates the error of a target that closed the connection early, timed out or sent an invalid
    /// response. The request may have run, and the target is blamed.
    pub fn broken(fault: impl Into<String>) -> Self {
        Self {
            failure: AttemptFailure::MayHaveRun,
            blames_target: true,
            is_closed: false,
            faulty_target: None,
            fault: fault.into(),
        }
    }

    /// Creates the error of a connection that ended before the response did. The request may have
    /// run, and the target is blamed.
    pub fn closed(fault: impl Into<String>) -> Self {
        Self {
            is_closed: true,
            ..Self::broken(fault)
        }
    }

    /// Creates the error of a request of which no byte was sent, so that it has not run. The target
    /// is blamed, for example because it cannot be reached.
    pub fn unsent(fault: impl Into<String>) -> Self {
        Self {
            failure: AttemptFailure::NotRun,
            ..Self::broken(fault)
        }
    }
}

/// Request of a caller as it is sent to targets.
#[derive(Debug)]
pub struct CallerRequest {
    /// Method, path and headers of the caller's request.
    pub parts: request::Parts,
    /// Complete body of the caller's request.
    pub body: RequestBody,
    /// Request id that the caller chose, empty if none. A response with another id is not accepted.
    pub id: String,
    /// Team that owns the caller's API key.
    pub team: Option<Arc<TeamRule>>,
    /// Whether and how the request may be repeated.
    pub repeat: RepeatRule,
    /// Configuration revision by which the request was routed.
    pub revision: u64,
}

/// Request of a caller, with the limits of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInput<'a> {
    /// What is sent.
    pub request: &'a CallerRequest,
    /// Number of the attempt, starting at 1.
    pub number: u32,
    /// Id of the last event that was sent to the caller; `None` if the stream starts over.
    pub resume_after: Option<&'a str>,
    /// When the gateway must have answered the caller.
    pub deadline: Instant,
}

/// Response whose head has been received and whose body can be read.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Lease of the slot that the request occupies at the target.
    pub lease: TargetLease,
    /// Status and headers as the target sent them.
    pub parts: response::Parts,
    /// Decoded headers of the platform's protocol.
    pub head: AnswerHead,
    channel: TargetChannel,
    /// Whether the connection has carried an earlier request.
    is_kept: bool,
    is_poolable: bool,
    body: Incoming,
    /// Result of a read that has not been returned yet.
    peeked: Option<ReadResult>,
}

/// Next bytes of a body, or `None` at its end.
pub type ReadResult = result::Result<Option<Bytes>, hyper::Error>;

impl OpenAnswer {
    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn next(&mut self) -> ReadResult {
        match self.peeked.take() {
            Some(read) => read,
            None => self.read().await,
        }
    }

    /// Waits until [`Self::next`] returns bytes or the end of the body without waiting, and returns
    /// whether there are bytes. Waits forever if the connection breaks, which only [`Self::next`]
    /// reports.
    pub async fn wait_readable(&mut self) -> bool {
        if self.peeked.is_none() {
            self.peeked = Some(self.read().await);
        }
        match &self.peeked {
            Some(Ok(bytes)) => bytes.is_some(),
            _ => future::pending().await,
        }
    }

    async fn read(&mut self) -> ReadResult {
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Reads the whole body until `until` and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, if the body is larger than the limit or the memory for
    /// buffered bodies is used up, or if the body is incomplete at `until`.
    pub async fn collect(
        mut self,
        state: &GatewayState,
        until: Instant,
    ) -> Result<(response::Parts, Bytes)> {
        let body = self.read_body(&state.answer_budget, MAX_ANSWER_BYTES);
        let body = timeout_at(until, body).await;
        let body =
            body.map_err(|_| AttemptError::broken("response body is incomplete at the timeout"))??;
        let parts = self.parts.clone();
        self.finish(state);
        Ok((parts, body))
    }

    /// Reads a body of at most `max_bytes` bytes within the budget.
    async fn read_body(&mut self, budget: &AnswerBudget, max_bytes: usize) -> Result<Bytes> {
        if self.body.size_hint().lower() > max_bytes as u64 {
            return Err(AttemptError::broken(LimitExceeded::Answer.to_string()));
        }
        let mut share = budget.share();
        let mut whole = BytesMut::new();
        while let Some(bytes) = self
            .next()
            .await
            .map_err(|error| AttemptError::closed(describe_exchange(&error)))?
        {
            let added = share.add(bytes.len(), max_bytes);
            added.map_err(|error| AttemptError::broken(error.to_string()))?;
            whole.extend_from_slice(&bytes);
        }
        Ok(whole.freeze())
    }

    /// Returns whether only the end of the connection ends the response, so that a response that is
    /// cut off is not recognized by its framing.
    pub fn ends_with_connection(&self) -> bool {
        let headers = &self.parts.headers;
        !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
    }

    /// Returns the connection to the pool, if it may be reused, after the body was read to its end.
    pub fn finish(self, state: &GatewayState) {
        if self.is_poolable {
            state.keep_channel(self.lease.key, self.channel, self.head.idle_timeout);
        }
    }
}

/// Sends a request to the leased target and waits for the head of a valid response.
///
/// # Errors
///
/// Fails if the target has left or cannot be reached, rejects the request, closes the connection,
/// does not answer by the deadline, or sends a response with another request's id or a successful
/// one without signature.
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
    let entry = entry.ok_or_else(|| AttemptError::unsent("target has left the instance list"))?;
    let CallerRequest {
        id, body, repeat, ..
    } = input.request;
    let plan = plan_channel(*repeat, body.bytes.len(), !id.is_empty());
    let pooled = match plan {
        ChannelPlan::Kept { longest_idle } => state.channels.take(lease.key, longest_idle),
        ChannelPlan::SingleUse => None,
    };
    let is_kept = pooled.is_some();
    log_decision(state, &lease, &entry, input, is_kept);
    let mut channel = match pooled {
        Some(channel) => channel,
        None => {
            state.metrics.channels.inc();
            let opened = TargetChannel::open(entry.address).await;
            opened.map_err(|error| AttemptError::unsent(error.to_string()))?
        }
    };
    let request = build_request(input, &entry)?;
    let started_at = Instant::now();
    let sent = timeout_at(input.deadline, channel.exchange(request)).await;
    let response = match sent {
        Err(_) => return Err(AttemptError::broken("no answer in time")),
        Ok(Err(error)) => return Err(channel_error(error, channel.is_used)),
        Ok(Ok(response)) => response,
    };
    let (parts, body) = response.into_parts();
    let head = decode_answer(&parts, id);
    state.note_answer(lease.key, &head, started_at, Instant::now());
    let answer = OpenAnswer {
        lease,
        parts,
        head,
        channel,
        is_kept,
        is_poolable: plan != ChannelPlan::SingleUse,
        body,
        peeked: None,
    };
    check_head(state, answer).await
}

async fn check_head(state: &GatewayState, mut answer: OpenAnswer) -> Result<OpenAnswer> {
    let head = &answer.head;
    // A faulty target may repeat an earlier answer, which counts only if it names this request.
    let belongs = if answer.is_kept {
        head.echoes_request
    } else {
        head.matches_request
    };
    if !belongs {
        return Err(AttemptError::broken("answer belongs to another request"));
    }
    // Nothing asks a target to switch to another protocol, so that this is no answer to a request.
    if answer.parts.status.is_informational() {
        return Err(AttemptError::broken("target switched to another protocol"));
    }
    if head.was_not_run {
        let status = answer.parts.status;
        let error = AttemptError {
            failure: AttemptFailure::NotRun,
            blames_target: head.is_misdirected,
            is_closed: false,
            faulty_target: head.faulty_target.clone(),
            fault: format!("target rejected the request with {status}"),
        };
        let rest = answer.read_body(&state.answer_budget, MAX_REJECTION_BYTES);
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

fn build_request(input: &AttemptInput<'_>, entry: &TargetEntry) -> Result<Request<Full<Bytes>>> {
    let remaining = input.deadline.saturating_duration_since(Instant::now());
    if remaining < MIN_REMAINING {
        return Err(AttemptError {
            blames_target: false,
            ..AttemptError::unsent("too little time is left before the deadline")
        });
    }
    let head = AttemptHead {
        remaining,
        target: &entry.id,
        team: input.request.team.as_ref().map(|team| team.name.as_str()),
        resume_after: input.resume_after,
    };
    let CallerRequest { parts, body, .. } = input.request;
    let path = parts.uri.path_and_query();
    let request = Request::builder()
        .method(parts.method.clone())
        .uri(path.map_or("/", |path| path.as_str()))
        .body(Full::from(body.bytes.clone()));
    let mut request = request.map_err(|error| AttemptError::unsent(error.to_string()))?;
    *request.headers_mut() = encode_attempt(parts, &head);
    Ok(request)
}

fn channel_error(error: ChannelError, was_used: bool) -> AttemptError {
    if error.may_have_left {
        AttemptError::closed(error.fault)
    } else {
        // Targets may close idle connections at any time, so a closed pooled connection does not
        // count against the target's health.
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
    is_reused: bool,
) {
    let roster = state.roster.borrow();
    let loads = roster.get(lease.key);
    let (own, peers) = loads.map_or((0, 0), |target| {
        (target.own_in_flight, target.peer_in_flight)
    });
    log_event!(
        AttemptDecided,
        request_id = input.request.id,
        attempt = input.number,
        service = entry.service,
        target = entry.id,
        availability_zone = entry.availability_zone,
        own_in_flight = own,
        peer_in_flight = peers,
        revision = input.request.revision,
        list_age_ms = state.list_age(Instant::now()).as_millis(),
        channel = if is_reused { "kept" } else { "new" }
    );
}

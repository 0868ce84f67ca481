//! Handles one request of a caller: reads and routes it, makes attempts at targets, and answers it.

mod silence;

use {
    super::{
        admission::{self, AdmissionRefusal, AdmissionRequest, TargetLease},
        exchange::{self, AttemptError, AttemptInput, CallerRequest, OpenAnswer},
        overload,
        relay::StartedStream,
        reply::{LocalReply, ReplyBody},
        request_body::{self, BodyError, RequestBody},
        state::GatewayState,
    },
    http::{StatusCode, request},
    hyper::{Request, Response, body::Incoming},
    sassafrasslip_core::{
        dispatch::{
            AttemptFailure, CrashEvidence, FailureContext, NextStep, PromptPart, RepeatRule,
            RequestRestriction, RequestTraits, RouteMatch, RouteMiss, RouteTable, StoppingRequest,
            TargetId, TargetKey, WaitingRequest, decide_next_step, may_run_beside,
            prompt_part::list_parts,
        },
        events::LogEvent::{
            AttemptFailed, BodyStalled, CallerLeft, GatewayAnswered, GatewayRefused, GatewayUnknown,
        },
        ids::ServiceName,
        log_event,
    },
    sassafrasslip_platform::{CallerHead, decode_caller},
    std::{mem, net::IpAddr, ops::ControlFlow, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Retry delay for callers of a gateway that has no configuration yet. A gateway gets it from the
/// store or from a peer within a second of its start.
const UNCONFIGURED_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Retry delay for callers whose request was rejected by targets without having run, or whose route
/// has no service.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Retry delay for callers of a gateway that stops. Their next connection goes to another gateway.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reason of the answers to requests that a stopping gateway does not serve to their end.
const STOP_REASON: &str = "gateway stops";

/// Time before the end of the caller's timeout at which the gateway answers itself, so that the
/// response still reaches the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Smallest share of the route's timeout that a caller waits on its first try. A shorter timeout
/// shows that the caller is retrying already.
const FIRST_TRY_TIMEOUT_SHARE: f64 = 0.8;

/// Reads, routes and answers a request. If the caller disconnects, this future is dropped, which
/// also removes the request from its queue, frees its slot and closes its connection to the target.
pub async fn serve(
    state: Rc<GatewayState>,
    request: Request<Incoming>,
    address: IpAddr,
) -> Response<ReplyBody> {
    let arrived_at = Instant::now();
    let (parts, incoming) = request.into_parts();
    let caller = decode_caller(&parts);
    match read_and_route(&state, &caller, &parts, incoming, address).await {
        Ok((table, matched, service, body)) => {
            let handler = RequestHandler::new(
                state,
                parts,
                caller,
                body,
                (table, matched, service),
                arrived_at,
            );
            handler.answer().await
        }
        Err(answer) => {
            log_refusal(&caller, &answer, 0, "");
            state.metrics.count("", "refused");
            answer.into_response()
        }
    }
}

type RoutedRequest = (Rc<RouteTable>, RouteMatch, ServiceName, RequestBody);

async fn read_and_route(
    state: &GatewayState,
    caller: &CallerHead,
    parts: &request::Parts,
    incoming: Incoming,
    address: IpAddr,
) -> Result<RoutedRequest, LocalReply> {
    let limit = || {
        let table = state.table();
        table.map_or(request_body::UNCONFIGURED_LIMIT, |table| {
            table.limits.body_bytes
        })
    };
    let begin_share = |displaced| state.held_bodies.share(address, displaced);
    let until = body_deadline(state, caller, parts);
    let body = tokio::select! {
        biased;
        body = request_body::read(incoming, limit, until, begin_share) => {
            body.inspect_err(|error| log_body_error(*error, address))?
        }
        () = state.ending.cancelled() => {
            return Err(LocalReply::not_run(STOP_REASON, STOP_RETRY_DELAY));
        }
    };
    let table = state.table().filter(|_| state.knows_emptied_zones());
    let table = table
        .ok_or_else(|| LocalReply::not_run("no configuration yet", UNCONFIGURED_RETRY_DELAY))?;
    let found = table.find(&caller.host, parts.uri.path(), caller.key.as_deref());
    let matched = found.map_err(|miss| match miss {
        RouteMiss::NoRoute => LocalReply::rejected(StatusCode::NOT_FOUND, "no route"),
        RouteMiss::UnknownKey => LocalReply::rejected(StatusCode::UNAUTHORIZED, "unknown key"),
    })?;
    let service = matched.route.pick_service(rand::random()).cloned();
    let service =
        service.ok_or_else(|| LocalReply::not_run("route has no service", RETRY_DELAY))?;
    Ok((table, matched, service, body))
}

/// Returns when the body of a request has to be complete: when its caller leaves or the timeout of its
/// route is over, after which it could not be answered in time.
fn body_deadline(state: &GatewayState, caller: &CallerHead, parts: &request::Parts) -> Instant {
    let table = state.table();
    let found = table.and_then(|table| {
        let found = table.find(&caller.host, parts.uri.path(), caller.key.as_deref());
        found.ok().map(|matched| matched.route.timeout)
    });
    let timeout = found.unwrap_or(request_body::BODY_TIMEOUT);
    Instant::now() + caller.timeout.map_or(timeout, |own| own.min(timeout))
}

fn log_body_error(error: BodyError, address: IpAddr) {
    if error == BodyError::Stalled {
        let limit_ms = request_body::STALL_LIMIT.as_millis();
        log_event!(BodyStalled, caller = address, limit_ms = limit_ms);
    }
}

/// Returns what identifies a request when its caller sends it again under another id.
fn request_traits(parts: &request::Parts, caller: &CallerHead, body: &[u8]) -> RequestTraits {
    let method = parts.method.as_str();
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let prompt = caller.shared_parts.iter().chain(&caller.own_part).copied();
    RequestTraits {
        shared_parts: caller.shared_parts.clone(),
        whole: PromptPart::of_request(method, &caller.host, path, prompt, body),
    }
}

fn log_refusal(caller: &CallerHead, answer: &LocalReply, waited_ms: u128, service: &str) {
    log_event!(
        GatewayRefused,
        request_id = caller.request_id.as_deref().unwrap_or_default(),
        status = answer.status.as_u16(),
        reason = answer.reason,
        service = service,
        waited_ms = waited_ms,
        retry_after_ms = answer.retry_after.unwrap_or_default().as_millis()
    );
}

/// Request that has been routed, and the state of its attempts. Dropping it before an outcome was
/// recorded means that the caller has left.
pub struct RequestHandler {
    pub(super) state: Rc<GatewayState>,
    pub(super) matched: RouteMatch,
    pub(super) service: ServiceName,
    pub(super) arrived_at: Instant,
    /// When the gateway must have answered: shortly before the caller's or the route's timeout,
    /// whichever ends first.
    pub(super) deadline: Instant,
    /// The deadline as it was when the request arrived. A planned stop may move the other one.
    timeout_at: Instant,
    request: Rc<CallerRequest>,
    caller: CallerHead,
    /// What identifies the request if it crashes targets.
    traits: RequestTraits,
    /// Attempt to which a failure is attributed; `None` before the first one.
    current: Option<AttemptRecord>,
    tried: Vec<TargetKey>,
    /// Number of attempts after which the request may have run.
    runs: u32,
    attempts: u32,
    first_sent_at: Option<Instant>,
    /// Whether a retry has been taken from the budget in advance, to move a stream.
    has_reserved_retry: bool,
    /// Time from the arrival of the request to the first events of its stream.
    pub(super) first_event: Option<Duration>,
    /// Longest pause between events of the stream so far.
    pub(super) longest_pause: Duration,
    /// Whether an attempt is under way, so that the request may run.
    is_sent: bool,
    /// Whether the outcome has been counted and logged.
    has_outcome: bool,
}

/// Attempt at a target, and how far it has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRecord {
    key: TargetKey,
    /// Number of the attempt, starting at 1.
    number: u32,
    sent_at: Instant,
    /// Whether it has brought the head of an answer.
    has_head: bool,
    /// Whether it has brought an event of a stream.
    has_begun: bool,
    /// Whether its target has been blamed for a silence that has not ended.
    is_silent: bool,
}

/// How the work on a request has ended, apart from the events of its stream that follow.
enum RequestOutcome {
    /// With the whole answer of a target.
    Answered(Response<ReplyBody>),
    /// With a stream that has begun.
    Started(Box<StartedStream>),
    /// Without an answer of a target.
    Failed(LocalReply),
}

impl Drop for RequestHandler {
    fn drop(&mut self) {
        if !self.has_outcome {
            log_event!(
                CallerLeft,
                request_id = self.request_id(),
                service = self.service,
                attempts = self.attempts,
                after_ms = self.arrived_at.elapsed().as_millis()
            );
            self.state.metrics.count(self.service.as_str(), "left");
        }
    }
}

impl RequestHandler {
    fn new(
        state: Rc<GatewayState>,
        parts: request::Parts,
        caller: CallerHead,
        body: RequestBody,
        (table, matched, service): (Rc<RouteTable>, RouteMatch, ServiceName),
        arrived_at: Instant,
    ) -> Self {
        let timeout = matched.route.timeout;
        let caller_timeout = caller
            .timeout
            .map_or(timeout, |caller_timeout| caller_timeout.min(timeout));
        state.record_first_try(&service, arrived_at);
        let deadline = arrived_at + caller_timeout.saturating_sub(ANSWER_MARGIN);
        let traits = request_traits(&parts, &caller, &body.bytes);
        let request = CallerRequest {
            parts,
            body,
            id: caller.request_id.clone().unwrap_or_default(),
            team: matched.team.clone(),
            repeat: matched.route.repeat,
            revision: table.revision,
        };
        Self {
            state,
            service,
            arrived_at,
            deadline,
            timeout_at: deadline,
            matched,
            request: Rc::new(request),
            caller,
            traits,
            current: None,
            tried: Vec::new(),
            runs: 0,
            attempts: 0,
            first_sent_at: None,
            has_reserved_retry: false,
            first_event: None,
            longest_pause: Duration::ZERO,
            is_sent: false,
            has_outcome: false,
        }
    }

    /// Returns the request id that the caller chose; empty if it chose none.
    pub fn request_id(&self) -> &str {
        &self.request.id
    }

    /// Returns when the first attempt started, or the arrival of the request if there was none.
    pub fn sent_at(&self) -> Instant {
        self.first_sent_at.unwrap_or(self.arrived_at)
    }

    /// Returns the number of attempts that were started so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    async fn answer(mut self) -> Response<ReplyBody> {
        if let Some(refusal) = self.stop_refusal(Instant::now()) {
            return self.finish_failed(refusal, None);
        }
        let mut failure = None;
        let ending = self.state.ending.clone();
        let outcome = tokio::select! {
            biased;
            outcome = self.run(&mut failure) => outcome,
            () = ending.cancelled() => RequestOutcome::Failed(self.stopped()),
        };
        match outcome {
            RequestOutcome::Answered(response) => response,
            RequestOutcome::Started(started) => started.into_response(self),
            RequestOutcome::Failed(answer) => self.finish_failed(answer, failure),
        }
    }

    /// Makes attempts until the request is answered or a stream has begun. `failure` is set to the
    /// answer of a target that has reported a server error.
    async fn run(&mut self, failure: &mut Option<Response<ReplyBody>>) -> RequestOutcome {
        loop {
            let answer = match self.acquire_target().await {
                Ok(lease) => self.await_answer(lease, failure).await,
                Err(refusal) => return RequestOutcome::Failed(refusal),
            };
            match answer {
                Ok(outcome) => return outcome,
                Err(ControlFlow::Continue(())) => {}
                Err(ControlFlow::Break(answer)) => return RequestOutcome::Failed(answer),
            }
        }
    }

    /// Returns the refusal of a request that has not run and that the stopping gateway does not
    /// serve. Otherwise moves the deadline to the end of the process if that is earlier.
    fn stop_refusal(&mut self, now: Instant) -> Option<LocalReply> {
        let plan = self.state.stop_plan.get()?;
        let repeat = self.matched.route.repeat;
        let usual = self.state.usual_duration(&self.service, repeat.is_stream());
        let request = StoppingRequest {
            deadline: self.timeout_at,
            repeat,
            usual,
        };
        let until = if repeat.is_stream() {
            plan.ends_at()
        } else {
            plan.answer_until()
        };
        self.deadline = self.deadline.min(until);
        let is_refused = self.runs == 0 && !plan.serves(&request, now);
        is_refused.then(|| LocalReply::not_run(STOP_REASON, STOP_RETRY_DELAY))
    }

    /// Returns the answer to a request that is unanswered when the process is about to end.
    fn stopped(&self) -> LocalReply {
        if self.runs > 0 || self.is_sent {
            return LocalReply::unknown(StatusCode::GATEWAY_TIMEOUT, STOP_REASON);
        }
        LocalReply::not_run(STOP_REASON, STOP_RETRY_DELAY)
    }

    /// Waits for a target.
    ///
    /// # Errors
    ///
    /// Fails with the response that ends the request.
    async fn acquire_target(&mut self) -> Result<TargetLease, LocalReply> {
        let request = self.admission_request();
        let acquired = tokio::select! {
            biased;
            restriction = self.state.wait_for_restriction(&self.traits) => {
                return Err(self.restricted(&restriction));
            }
            acquired = admission::acquire(&self.state, request) => acquired,
        };
        acquired.map_err(|refusal| self.refused(&refusal))
    }

    fn admission_request(&self) -> AdmissionRequest {
        AdmissionRequest {
            service: self.service.clone(),
            waiting_request: self.waiting_request(),
            tried: self.tried.clone(),
            homes: self.state.home_zones(&self.matched),
        }
    }

    /// Waits for a target and resumes a stream there after the event with the id `resume_after`.
    ///
    /// # Errors
    ///
    /// Fails with the next step: another attempt, or the response that ends the request.
    pub(super) async fn resume(
        &mut self,
        resume_after: &str,
    ) -> Result<OpenAnswer, ControlFlow<LocalReply>> {
        let lease = self.acquire_target().await.map_err(ControlFlow::Break)?;
        self.resume_at(lease, resume_after, false).await
    }

    /// Resumes a stream at the target of a lease after the event with the id `resume_after`.
    /// `is_other_pending` says whether its earlier target still works on it.
    ///
    /// # Errors
    ///
    /// Fails with the next step: another attempt, or the response that ends the request.
    pub(super) async fn resume_at(
        &mut self,
        lease: TargetLease,
        resume_after: &str,
        is_other_pending: bool,
    ) -> Result<OpenAnswer, ControlFlow<LocalReply>> {
        let record = self.begin_attempt(lease.key, Instant::now());
        let record = record.map_err(ControlFlow::Break)?;
        let input = AttemptInput {
            request: &self.request,
            number: record.number,
            resume_after: Some(resume_after),
            deadline: self.deadline,
        };
        match exchange::send(&self.state, lease, &input).await {
            Ok(open) => {
                self.current = Some(AttemptRecord {
                    has_head: true,
                    ..record
                });
                Ok(open)
            }
            Err(error) => Err(self.after_failure(&error, is_other_pending).await),
        }
    }

    /// Records the start of an attempt, which becomes the current one.
    ///
    /// # Errors
    ///
    /// Fails with the response that ends the request if it may not be sent any more.
    fn begin_attempt(&mut self, key: TargetKey, now: Instant) -> Result<AttemptRecord, LocalReply> {
        // The request may have been queued since before the stop.
        if let Some(refusal) = self.stop_refusal(now) {
            return Err(refusal);
        }
        let started = self.state.start_request(&self.traits, now);
        started.map_err(|restriction| self.restricted(&restriction))?;
        if self.first_sent_at.is_none() {
            self.first_sent_at = Some(now);
            let waited = now.saturating_duration_since(self.arrived_at);
            self.state.metrics.waits.observe(waited.as_secs_f64());
        } else {
            self.state.metrics.retries.inc();
        }
        self.attempts += 1;
        self.is_sent = true;
        self.tried.push(key);
        let record = AttemptRecord {
            key,
            number: self.attempts,
            sent_at: now,
            has_head: false,
            has_begun: false,
            is_silent: false,
        };
        self.current = Some(record);
        Ok(record)
    }

    /// Takes a slot at another target for a stream that is held up by a slow rank; `None` if the
    /// stream stays where it is.
    pub(super) fn acquire_faster_target(&mut self, key: TargetKey) -> Option<TargetLease> {
        let objective = self.matched.route.pause_objective?;
        if self.matched.route.repeat != RepeatRule::ResumableStream
            || !self.state.is_held_up_by(key, objective)
        {
            return None;
        }
        let lease = self.acquire_other_target()?;
        self.reserve_move(Instant::now()).then_some(lease)
    }

    /// Takes a slot at another target for a stream whose target is silent; `None` if there is none.
    /// The retry has been reserved before.
    pub(super) fn acquire_other_target(&self) -> Option<TargetLease> {
        let homes = self.state.home_zones(&self.matched);
        admission::acquire_for_move(&self.state, &self.service, &self.tried, &homes)
    }

    /// Returns whether a retry has been reserved for a move that was not tried yet.
    pub(super) fn has_reserved_retry(&self) -> bool {
        self.has_reserved_retry
    }

    /// Records that the request has run at a target that it has left for another one.
    pub(super) fn record_left_target(&mut self) {
        self.has_reserved_retry = false;
        self.runs += 1;
    }

    /// Records that an attempt to move a stream was given up, so that its target may run the request.
    pub(super) fn record_abandoned_attempt(&mut self) {
        self.runs += 1;
    }

    /// Returns the attempt to which a failure is attributed.
    pub(super) fn current(&self) -> Option<AttemptRecord> {
        self.current
    }

    /// Returns whether the current attempt has brought an event of a stream.
    pub(super) fn has_begun(&self) -> bool {
        self.current.is_some_and(|current| current.has_begun)
    }

    /// Records that a target has sent events of the stream at `now`.
    pub(super) fn record_progress(&mut self, key: TargetKey, now: Instant) {
        if let Some(current) = &mut self.current {
            if !mem::replace(&mut current.has_begun, true) {
                self.state.record_answer(&self.traits, now);
            }
            if mem::take(&mut current.is_silent) {
                self.state.record_success(key);
            }
        }
        self.state.record_progress(key, now);
    }

    /// Records that the stream goes on with an earlier attempt after one at another target has
    /// ended.
    pub(super) fn return_to(&mut self, record: Option<AttemptRecord>) {
        self.has_reserved_retry = false;
        self.is_sent = true;
        self.current = record;
    }

    /// Returns whether the caller has enough time for a retry after a refusal. A caller that is
    /// already retrying has a much shorter timeout left than on its first try.
    fn can_return(&self) -> bool {
        let route = &self.matched.route;
        let caller_timeout = self.caller.timeout.unwrap_or(route.timeout);
        self.runs == 0 && caller_timeout >= route.timeout.mul_f64(FIRST_TRY_TIMEOUT_SHARE)
    }

    fn waiting_request(&self) -> WaitingRequest {
        let route = &self.matched.route;
        let reserve = self.state.first_answer_time(&self.service, route);
        let timeout_at = if route.repeat.is_stream() {
            self.deadline.min(self.arrived_at + route.event_timeout)
        } else {
            self.deadline
        };
        WaitingRequest {
            priority: self.matched.priority(),
            on_time_until: self.arrived_at + route.objective.saturating_sub(reserve),
            start_until: timeout_at - reserve.min(route.objective),
            arrived_at: self.arrived_at,
            deadline: self.deadline,
            can_return: self.can_return(),
        }
    }

    /// Takes a retry from the budget in advance, to move the stream to another target; returns
    /// whether there was one. A stream that cannot move is not aborted for its target's silence.
    pub(super) fn reserve_move(&mut self, now: Instant) -> bool {
        let route = &self.matched.route;
        let may_move = route.repeat == RepeatRule::ResumableStream
            && may_run_beside(route.repeat, self.runs, self.attempts, route.attempts);
        // A retry that was reserved for a move that found no target is still there.
        self.has_reserved_retry =
            may_move && (self.has_reserved_retry || self.state.try_spend_retry(&self.service, now));
        self.has_reserved_retry
    }

    /// Records the failure of the current attempt and decides the next step: another attempt, or
    /// the response that ends the request. While an attempt at another target is pending, the
    /// request goes on with that one.
    pub(super) async fn after_failure(
        &mut self,
        error: &AttemptError,
        is_other_pending: bool,
    ) -> ControlFlow<LocalReply> {
        let current = self.current;
        if error.is_closed && !self.has_begun() {
            self.check_crash().await;
        }
        let now = Instant::now();
        if error.failure == AttemptFailure::MayHaveRun {
            self.runs += 1;
        }
        self.is_sent = is_other_pending;
        let is_late = now >= self.deadline;
        // A silence that lasts until the deadline has been blamed on the target when it was noticed.
        if let Some(current) = current.filter(|current| !(is_late && current.is_silent)) {
            self.note_failure(current.key, error, now);
        }
        let restriction = self.state.request_restriction(&self.traits, now);
        let has_reserved = mem::take(&mut self.has_reserved_retry);
        let route = &self.matched.route;
        let context = FailureContext {
            repeat: route.repeat,
            runs: self.runs,
            arrivals: self.attempts,
            run_limit: route.attempts,
            is_other_pending,
            has_budget: !is_other_pending
                && !is_late
                && restriction.is_none()
                && (has_reserved || self.state.try_spend_retry(&self.service, now)),
        };
        let next = decide_next_step(error.failure, &context);
        let name = current.and_then(|current| self.target_name(current.key));
        let retries = self.state.retry_status(&self.service, now);
        log_event!(
            AttemptFailed,
            request_id = self.request_id(),
            attempt = current.map_or(0, |current| current.number),
            target = name.as_deref().unwrap_or("left"),
            failure = format_args!("{:?}", error.failure),
            fault = error.fault,
            head = current.is_some_and(|current| current.has_head),
            begun = current.is_some_and(|current| current.has_begun),
            parts = list_parts(&self.traits.shared_parts),
            own_part = list_parts(self.caller.own_part.as_slice()),
            request = self.traits.whole,
            team = self
                .matched
                .team
                .as_ref()
                .map_or("", |team| team.name.as_str()),
            cause = error.faulty_target.as_deref().unwrap_or_default(),
            retries = retries.used,
            retry_limit = format_args!("{:.1}", retries.allowed),
            gateways = self.state.peers.borrow().sharing_gateways(now),
            next = format_args!("{next:?}")
        );
        match next {
            NextStep::AwaitOther | NextStep::Retry => ControlFlow::Continue(()),
            NextStep::RefuseNotRun => {
                if let Some(restriction) = restriction {
                    return ControlFlow::Break(self.restricted(&restriction));
                }
                ControlFlow::Break(LocalReply::not_run("targets rejected it", RETRY_DELAY))
            }
            NextStep::ReportUnknown if is_late => {
                let status = StatusCode::GATEWAY_TIMEOUT;
                ControlFlow::Break(LocalReply::unknown(status, "no answer in time"))
            }
            NextStep::ReportUnknown => {
                let status = StatusCode::BAD_GATEWAY;
                ControlFlow::Break(LocalReply::unknown(status, "target broke off"))
            }
        }
    }

    fn note_failure(&self, key: TargetKey, error: &AttemptError, now: Instant) {
        let names_another = {
            let roster = self.state.roster.borrow();
            let entry = roster.get(key).map(|target| &target.entry);
            let faulty = error.faulty_target.as_deref();
            entry
                .zip(faulty)
                .is_some_and(|(entry, faulty)| !entry.is_named(faulty))
        };
        let is_rejection = error.failure == AttemptFailure::NotRun && error.faulty_target.is_some();
        let shows_break = is_rejection && self.state.note_rejection(key, names_another, now);
        if !shows_break && error.blames_target {
            self.state.record_failure(key, now);
        }
    }

    fn target_name(&self, key: TargetKey) -> Option<TargetId> {
        let roster = self.state.roster.borrow();
        roster.get(key).map(|target| target.entry.id.clone())
    }

    /// Checks whether the target of the current attempt has crashed, which makes the request and
    /// the shared parts of its prompt suspects.
    async fn check_crash(&self) {
        let Some(current) = self.current else {
            return;
        };
        let evidence = match current.has_head {
            true => CrashEvidence::Begun,
            false => CrashEvidence::WaitingSince(current.sent_at),
        };
        let (id, traits) = (self.request_id(), &self.traits);
        let checked = self.state.check_crash(current.key, id, traits, evidence);
        checked.await;
    }

    fn restricted(&self, restriction: &RequestRestriction) -> LocalReply {
        let reason = match restriction {
            RequestRestriction::Part(_) => "a part of the prompt crashes targets",
            RequestRestriction::Whole(_) => "the request crashes targets",
        };
        if self.runs > 0 {
            return LocalReply::unknown(StatusCode::BAD_GATEWAY, reason);
        }
        LocalReply::not_run(reason, restriction.restriction().retry_after)
    }

    fn refused(&self, refusal: &AdmissionRefusal) -> LocalReply {
        if self.runs > 0 {
            return LocalReply::unknown(StatusCode::BAD_GATEWAY, "no other target in time");
        }
        LocalReply::not_run(refusal.reason, refusal.refusal.retry_after)
    }

    /// Records that the caller gets the response of a target, and logs its timing.
    pub(super) fn record_answered(&mut self, status: StatusCode) {
        self.has_outcome = true;
        let total = self.arrived_at.elapsed();
        let first = self.first_event.unwrap_or(total);
        let metrics = &self.state.metrics;
        metrics.first_answer.observe(first.as_secs_f64());
        if self.first_event.is_some() {
            let pause = self.longest_pause.as_secs_f64();
            metrics.longest_pause.observe(pause);
        }
        metrics.count(self.service.as_str(), "answered");
        if status.is_success() {
            let is_stream = self.matched.route.repeat.is_stream();
            self.state.record_duration(&self.service, is_stream, total);
        }
        let waited = self.sent_at() - self.arrived_at;
        if status.is_success() && self.matched.route.repeat.is_stream() {
            overload::record_length(&self.state, &self.service, total.saturating_sub(waited));
        }
        log_event!(
            GatewayAnswered,
            request_id = self.request_id(),
            status = status.as_u16(),
            route = self.matched.route.name,
            service = self.service,
            attempts = self.attempts,
            attempt = self.current.map_or(0, |current| current.number),
            parts = list_parts(&self.traits.shared_parts),
            own_part = list_parts(self.caller.own_part.as_slice()),
            request = self.traits.whole,
            waited_ms = waited.as_millis(),
            first_ms = first.as_millis(),
            longest_pause_ms = self.longest_pause.as_millis(),
            total_ms = total.as_millis()
        );
    }

    /// Counts the outcome of a request that is logged elsewhere.
    pub(super) fn record_outcome(&mut self, outcome: &'static str) {
        self.has_outcome = true;
        self.state.metrics.count(self.service.as_str(), outcome);
    }

    fn finish_failed(
        mut self,
        answer: LocalReply,
        failure: Option<Response<ReplyBody>>,
    ) -> Response<ReplyBody> {
        if let Some(response) = failure {
            self.record_answered(response.status());
            return response;
        }
        let waited_ms = self.arrived_at.elapsed().as_millis();
        if answer.retry_after.is_some() {
            self.record_outcome("refused");
            log_refusal(&self.caller, &answer, waited_ms, self.service.as_str());
        } else {
            self.record_outcome("unknown");
            log_event!(
                GatewayUnknown,
                request_id = self.request_id(),
                status = answer.status.as_u16(),
                reason = answer.reason,
                service = self.service,
                attempts = self.attempts,
                after_ms = waited_ms
            );
        }
        answer.into_response()
    }
}

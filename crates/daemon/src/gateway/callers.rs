//! Accepts connections from callers, serves HTTP on them, and closes them when the gateway stops.

use {
    super::{
        caller_slots::{CallerSlot, CallerSlots, TrackedBody},
        channels::describe_exchange,
        head_timer::HeadTimer,
        request,
        state::GatewayState,
    },
    crate::{constants::CALLER_WRITE_TIMEOUT, entry::callers::stall::StallGuard, listen},
    http::{HeaderValue, header::CONNECTION},
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    sassafrasslip_core::{
        dispatch::{
            MemoryPlan, StopPlan, caller_memory::CONNECTION_BYTES, stop_plan::DEREGISTRATION_DELAY,
        },
        events::LogEvent::{ConnectionsCut, RequestUnanswered},
        log_event,
    },
    sassafrasslip_platform::caller::decode_caller_id,
    std::{
        cell::{Cell, RefCell},
        convert::Infallible,
        net::{IpAddr, SocketAddr},
        pin::pin,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        time::{Instant, sleep, sleep_until, timeout, timeout_at},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Time to accept the connections left in the listener's backlog after the deregistration delay.
const BACKLOG_ACCEPT_TIMEOUT: Duration = Duration::from_millis(20);

/// Time for which a connection without any request stays open once the gateway closes its
/// connections. The first request of a newly opened connection may still be in transit.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Accepts connections until the deregistration delay after the stop signal has passed, then waits
/// for the requests in flight, at most until shortly before the supervisor kills the process.
pub async fn serve(state: Rc<GatewayState>, listener: TcpListener, draining: CancellationToken) {
    let limit = MemoryPlan::for_limit(state.options.memory_limit).connections;
    let bodies = Rc::clone(&state.held_bodies);
    let slots = CallerSlots::new(limit, bodies, state.metrics.clone());
    let closing = CancellationToken::new();
    let tasks = TaskTracker::new();
    let mut accepted = None;
    tokio::select! {
        () = accept(&state, &listener, &mut accepted, &slots, &closing, &tasks) => {}
        () = deregistration_delay_passed(&draining) => {}
    }
    // Dropping the listener resets the connections that the kernel has already accepted into the
    // backlog, so they are taken over first.
    let accepting = accept(&state, &listener, &mut accepted, &slots, &closing, &tasks);
    let _ = timeout(BACKLOG_ACCEPT_TIMEOUT, accepting).await;
    drop(listener);
    closing.cancel();
    tasks.close();
    let plan = state.stop_plan.get();
    let ends_at = plan.map_or_else(Instant::now, |plan| plan.ends_at());
    if timeout_at(ends_at, tasks.wait()).await.is_err() {
        log_event!(ConnectionsCut, count = tasks.len());
    }
}

/// Waits until the process is about to end, and has all requests answered that are not yet.
pub async fn end_requests(state: Rc<GatewayState>, plan: StopPlan) {
    sleep_until(plan.answer_until()).await;
    state.ending.cancel();
}

async fn deregistration_delay_passed(draining: &CancellationToken) {
    draining.cancelled().await;
    sleep(DEREGISTRATION_DELAY).await;
}

/// Accepts connections without end. One that waits for a slot is in `accepted` meanwhile, so that it
/// is not lost when this future is dropped.
async fn accept(
    state: &Rc<GatewayState>,
    listener: &TcpListener,
    accepted: &mut Option<(TcpStream, SocketAddr)>,
    slots: &Rc<CallerSlots>,
    closing: &CancellationToken,
    tasks: &TaskTracker,
) {
    loop {
        if accepted.is_none() {
            *accepted = Some(listen::accept(listener, "caller_address").await);
        }
        let slot = slots.acquire(closing).await;
        if let Some((stream, peer)) = accepted.take() {
            let state = Rc::clone(state);
            tasks.spawn_local(serve_connection(state, stream, peer.ip(), slot));
        }
    }
}

async fn serve_connection(
    state: Rc<GatewayState>,
    stream: TcpStream,
    address: IpAddr,
    slot: CallerSlot,
) {
    let _ = stream.set_nodelay(true);
    // Cancelled when the answer that the caller does not read gives way to others.
    let cut = CancellationToken::new();
    let answer_cut = cut.clone();
    let head_timeout = state.head_timeout.clone();
    let head_limit = state.table().map(|table| table.limits.header_bytes);
    let head_buffer = head_limit.unwrap_or_default().max(CONNECTION_BYTES);
    let stream = StallGuard::new(stream, CALLER_WRITE_TIMEOUT);
    let has_request = Rc::new(Cell::new(false));
    let seen = Rc::clone(&has_request);
    let open_request = OpenRequest::new(Rc::clone(&state));
    let open = Rc::clone(&open_request.opened);
    let connection_usage = slot.usage();
    let service = service_fn(move |request| {
        let state = Rc::clone(&state);
        seen.set(true);
        let opened = (request_id(&request), Instant::now());
        open.replace(Some(opened));
        let open = Rc::clone(&open);
        let connection_usage = connection_usage.clone();
        let usage = connection_usage.begin_request();
        let cut = answer_cut.clone();
        async move {
            let mut response = request::serve(Rc::clone(&state), request, address).await;
            let held_answers = &state.held_answers;
            let begin_share = || held_answers.share(address, cut);
            response.body_mut().hold(begin_share);
            // Announcing the close in the response keeps the caller from sending another request
            // that would cross the close of the connection.
            if state.leaving.get() || connection_usage.is_full() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            open.take();
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, usage)))
        }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(head_timeout.get())
        .timer(HeadTimer::new(head_timeout))
        .max_buf_size(head_buffer)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let serving = async {
        tokio::select! {
            ended = connection.as_mut() => return ended,
            () = slot.closing.cancelled() => {}
        }
        if !has_request.get() {
            let first_request = timeout(FIRST_REQUEST_GRACE, connection.as_mut());
            if let Ok(ended) = first_request.await {
                return ended;
            }
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    tokio::select! {
        ended = serving => open_request.finish(ended),
        () = cut.cancelled() => {}
    }
}

/// Request of a connection that has no answer yet. If the connection ends meanwhile, that is counted
/// and logged.
struct OpenRequest {
    state: Rc<GatewayState>,
    /// Id and arrival of the request.
    opened: Rc<RefCell<Option<(String, Instant)>>>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.log("stopped");
    }
}

impl OpenRequest {
    fn new(state: Rc<GatewayState>) -> Self {
        Self {
            state,
            opened: Rc::default(),
        }
    }

    /// Records how the connection has ended.
    fn finish(self, ended: hyper::Result<()>) {
        match ended {
            Ok(()) => self.log("closed"),
            Err(error) => self.log(&describe_exchange(&error)),
        }
    }

    fn log(&self, cause: &str) {
        if let Some((request_id, since)) = self.opened.take() {
            self.state.metrics.unanswered.inc();
            log_event!(
                RequestUnanswered,
                request_id = request_id,
                cause = cause,
                after_ms = since.elapsed().as_millis()
            );
        }
    }
}

fn request_id(request: &Request<Incoming>) -> String {
    let id = decode_caller_id(request.headers());
    id.unwrap_or_default().to_owned()
}

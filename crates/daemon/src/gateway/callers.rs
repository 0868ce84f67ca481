//! Connections of callers.

use {
    super::{request, state::GatewayState},
    crate::{
        constants::{CALLER_WRITE_TIMEOUT, MAX_CALLER_CONNECTIONS},
        entry::callers::stall::StallGuard,
        listen,
    },
    http::{HeaderValue, header::CONNECTION},
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{cell::Cell, convert::Infallible, pin::pin, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{Instant, sleep, timeout, timeout_at},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Time after the stop signal for which new connections are accepted. The balancer asks each
/// second and needs two misses before it sends no more.
const NOTICE: Duration = Duration::from_millis(2600);

/// Time before the supervisor's kill at which the process ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Time to take over the connections that wait to be accepted when the notice ends.
const BACKLOG_TIME: Duration = Duration::from_millis(20);

/// Time that a caller whose connection was accepted last has for its first request before the
/// connection is closed. A connection that was opened a moment ago has its request on the way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Longest time to send a request head before the configuration tells another.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts callers until some time after the stop signal, and waits for their requests.
pub async fn serve(state: Rc<GatewayState>, listener: TcpListener, draining: CancellationToken) {
    let connections = Arc::new(Semaphore::new(MAX_CALLER_CONNECTIONS));
    let closing = CancellationToken::new();
    let work = TaskTracker::new();
    tokio::select! {
        () = accept(&state, &listener, &connections, &closing, &work) => {}
        () = notice_passed(&draining) => {}
    }
    // Connections that the system has accepted already would be reset with the listener.
    let accepting = accept(&state, &listener, &connections, &closing, &work);
    let _ = timeout(BACKLOG_TIME, accepting).await;
    drop(listener);
    closing.cancel();
    work.close();
    let remaining = state
        .options
        .stop_limit
        .saturating_sub(NOTICE + KILL_MARGIN);
    let _ = timeout_at(Instant::now() + remaining, work.wait()).await;
}

async fn notice_passed(draining: &CancellationToken) {
    draining.cancelled().await;
    sleep(NOTICE).await;
}

async fn accept(
    state: &Rc<GatewayState>,
    listener: &TcpListener,
    connections: &Arc<Semaphore>,
    closing: &CancellationToken,
    work: &TaskTracker,
) {
    while let Ok(permit) = Arc::clone(connections).acquire_owned().await {
        let (stream, _) = listen::accept(listener, "caller_address").await;
        let (state, closing) = (Rc::clone(state), closing.clone());
        work.spawn_local(serve_connection(state, stream, closing, permit));
    }
}

async fn serve_connection(
    state: Rc<GatewayState>,
    stream: TcpStream,
    closing: CancellationToken,
    _permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let limits = state.table().map(|table| table.limits);
    let stream = StallGuard::new(stream, CALLER_WRITE_TIMEOUT);
    let has_request = Rc::new(Cell::new(false));
    let noted = Rc::clone(&has_request);
    let service = service_fn(move |request| {
        let state = Rc::clone(&state);
        noted.set(true);
        async move {
            let mut response = request::serve(Rc::clone(&state), request).await;
            // A caller that learns it from its answer sends no request that crosses the close.
            if state.leaving.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // A connection may be idle for the idle timeout and then take the header timeout for a head.
    let header_timeout = limits.map_or(HEADER_TIMEOUT, |limits| {
        limits.header_timeout + limits.idle_timeout
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closing.cancelled() => {}
    }
    if !has_request.get() {
        let first_request = timeout(FIRST_REQUEST_GRACE, connection.as_mut());
        if first_request.await.is_ok() {
            return;
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

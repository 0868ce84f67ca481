//! HTTP/1 server for callers.
//!
//! Each connection runs in a task of its own. Each request is read completely, then handed to a
//! dispatcher task, whose answer or refusal is sent back.

pub mod answer;
pub mod body;
pub mod request;
pub mod stall;

use {
    self::{
        answer::{AnswerBody, CallerResponse, Refusal},
        request::{CallerRequest, RequestHead},
        stall::StallGuard,
    },
    super::{context::EntryContext, dispatcher},
    crate::{
        constants::{
            CALLER_READ_TIMEOUT, CALLER_WRITE_TIMEOUT, MAX_CALLER_CONNECTIONS, MAX_HEAD_BYTES,
        },
        listen,
    },
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    sassafrasslip_core::ids::RequestId,
    std::{convert::Infallible, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, oneshot},
        time::{Instant, sleep},
    },
    tokio_util::sync::CancellationToken,
};

/// Accepts connections of callers until `notice` has passed after the start of the graceful stop.
/// Connections that are still open then are closed once their current request is answered.
pub async fn serve(context: Arc<EntryContext>, listener: TcpListener, notice: Duration) {
    let connections = Arc::new(Semaphore::new(MAX_CALLER_CONNECTIONS));
    let closing = CancellationToken::new();
    let accepting = accept_callers(&context, &listener, &connections, &closing);
    tokio::select! {
        () = accepting => {}
        () = wait_for_drain_notice(&context, notice) => {}
    }
    closing.cancel();
}

async fn wait_for_drain_notice(context: &EntryContext, notice: Duration) {
    context.draining.cancelled().await;
    sleep(notice).await;
}

async fn accept_callers(
    context: &Arc<EntryContext>,
    listener: &TcpListener,
    connections: &Arc<Semaphore>,
    closing: &CancellationToken,
) {
    while let Ok(permit) = Arc::clone(connections).acquire_owned().await {
        let (stream, _) = listen::accept(listener, "caller_address").await;
        let (context, closing) = (Arc::clone(context), closing.clone());
        let tracker = context.work.clone();
        tracker.spawn(serve_connection(context, stream, closing, permit));
    }
}

async fn serve_connection(
    context: Arc<EntryContext>,
    stream: TcpStream,
    closing: CancellationToken,
    _permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let stream = StallGuard::new(stream, CALLER_WRITE_TIMEOUT);
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(serve_request(context, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(CALLER_READ_TIMEOUT)
        // Leaves room for the request line and for heads above `MAX_HEAD_BYTES`, so that most
        // oversized heads get this module's refusal and not hyper's 431 without a body.
        .max_buf_size(4 * MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Serves one request.
///
/// A drop guard cancels `caller_gone`, which ends the dispatcher. This future holds the guard until
/// there is a response, and then the response body does; both are dropped if the connection closes.
async fn serve_request(context: Arc<EntryContext>, request: Request<Incoming>) -> CallerResponse {
    let arrived = Instant::now();
    let request_id = context.next_request_id();
    let caller_gone = CancellationToken::new();
    let guard = caller_gone.clone().drop_guard();
    let mut response = match read_request(&context, request, request_id, arrived).await {
        Ok(request) => {
            let (respond, answer) = oneshot::channel();
            let run = dispatcher::run(Arc::clone(&context), request, respond, caller_gone);
            context.work.spawn(run);
            let response = answer.await;
            response.unwrap_or_else(|_| Refusal::internal().into_response(request_id))
        }
        Err(refusal) => {
            refusal.record(&context, request_id, arrived);
            refusal.into_response(request_id)
        }
    };
    if context.draining.is_cancelled() {
        answer::close_connection(&mut response);
    }
    response.map(|body: AnswerBody| body.guarded_by(guard))
}

async fn read_request(
    context: &EntryContext,
    request: Request<Incoming>,
    request_id: RequestId,
    arrived: Instant,
) -> Result<CallerRequest, Refusal> {
    let (parts, incoming) = request.into_parts();
    let head = RequestHead::parse(&parts)?;
    let body = body::read(
        incoming,
        &context.body_memory,
        arrived + CALLER_READ_TIMEOUT,
    )
    .await?;
    Ok(CallerRequest::new(request_id, arrived, head, body))
}

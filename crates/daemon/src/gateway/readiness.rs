//! Readiness probes of the platform's load balancer, over HTTP.

use {
    super::state::GatewayState,
    crate::{listen, telemetry::HealthState},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    sassafrasslip_platform::READINESS_PATH,
    std::{convert::Infallible, rc::Rc, time::Duration},
    tokio::{net::TcpListener, time::Instant},
};

/// Time in which the load balancer must send the head of a probe.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers probes until the process ends: 200 while the process is ready and the gateway can serve
/// requests, else 503.
pub async fn serve(state: Rc<GatewayState>, listener: TcpListener, health: HealthState) {
    loop {
        let (stream, _) = listen::accept(&listener, "readiness_address").await;
        let (state, health) = (Rc::clone(&state), health.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let is_ready = health.is_ready() && state.can_serve(Instant::now());
            let response = answer(request.uri().path(), is_ready);
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT)
            .max_buf_size(listen::MAX_PROBE_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(connection);
    }
}

fn answer(path: &str, is_ready: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = match (path, is_ready) {
        (READINESS_PATH, true) => StatusCode::OK,
        (READINESS_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    response
}

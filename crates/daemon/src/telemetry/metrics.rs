//! Metrics registry, and the server of `/metrics`, `/healthz` and `/readyz`.

use {
    super::HealthState,
    crate::listen::{MAX_PROBE_BYTES, Result, bind},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Method, Request, Response, StatusCode, body::Incoming, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    prometheus_client::{encoding::text::encode, registry::Registry},
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::net::TcpListener,
};

/// Maximum time that a scraper may take to send the head of its request.
const SCRAPE_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Registry in which all parts of the process register their metrics. Clones share the registry.
#[derive(Clone, Debug)]
pub struct MetricsRegistry {
    registry: Arc<Mutex<Registry>>,
}

impl Default for MetricsRegistry {
    fn default() -> Self {
        let registry = Registry::with_prefix("sassafrasslip");
        Self {
            registry: Arc::new(Mutex::new(registry)),
        }
    }
}

impl MetricsRegistry {
    /// Locks the registry, runs `register` on it and returns the result.
    pub fn with<T>(&self, register: impl FnOnce(&mut Registry) -> T) -> T {
        register(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn encode(&self) -> String {
        let mut text = String::new();
        let encoded = self.with(|registry| encode(&mut text, registry));
        encoded.map_or_else(|_| String::new(), |()| text)
    }
}

/// Binds the address and serves metrics and health in the background until the process ends.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    registry: MetricsRegistry,
    health: HealthState,
) -> Result<()> {
    let listener = bind("metrics", "address", address).await?;
    tokio::spawn(accept_scrapers(listener, registry, health));
    Ok(())
}

async fn accept_scrapers(listener: TcpListener, registry: MetricsRegistry, health: HealthState) {
    while let Ok((stream, _)) = listener.accept().await {
        let (registry, health) = (registry.clone(), health.clone());
        let service = service_fn(move |request| {
            let answer = answer(&request, &registry, &health);
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(SCRAPE_READ_TIMEOUT)
            .max_buf_size(MAX_PROBE_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

fn answer(
    request: &Request<Incoming>,
    registry: &MetricsRegistry,
    health: &HealthState,
) -> Response<Full<Bytes>> {
    let (status, text) = match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => (StatusCode::OK, "ok\n".to_owned()),
        (&Method::GET, "/metrics") => (StatusCode::OK, registry.encode()),
        (&Method::GET, "/readyz") if health.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        (&Method::GET, "/readyz") => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        _ => (StatusCode::NOT_FOUND, "not found\n".to_owned()),
    };
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

//! HTTP server in place of the target behind the agent.

use {
    bytes::Bytes,
    futures_util::{StreamExt, stream},
    http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody},
    hyper::{
        Request, Response,
        body::{Frame, Incoming},
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, sync::Semaphore},
};

const ABORT_DELAY: Duration = Duration::from_millis(30);

type TargetBody = BoxBody<Bytes, io::Error>;

/// How the target answers calls.
#[derive(Clone, Debug, Default)]
pub enum TargetMode {
    /// Answers at once.
    #[default]
    Normal,
    /// Waits for a permit of [`FakeTarget::gate`] before it answers.
    Gated,
    /// Reads the request, then closes the connection.
    Hangup,
    /// Streams these parts; if the flag is set, the connection then breaks instead of ending the
    /// body.
    Stream(Vec<&'static str>, bool),
    /// Answers with a body of this length in bytes.
    Large(usize),
}

/// Serves as both an inference engine and a plain service, and counts the calls that it ran.
pub struct FakeTarget {
    pub address: SocketAddr,
    pub healthy: AtomicBool,
    pub runs: AtomicU64,
    pub cancels: AtomicU64,
    pub mode: Mutex<TargetMode>,
    /// Each permit lets one call in [`TargetMode::Gated`] answer.
    pub gate: Semaphore,
    /// Request body of the last call that was run.
    pub last_body: Mutex<Bytes>,
}

impl FakeTarget {
    pub async fn start() -> Arc<Self> {
        let listener = TcpListener::bind(super::LOOPBACK).await.unwrap();
        let target = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            healthy: AtomicBool::new(true),
            runs: AtomicU64::new(0),
            cancels: AtomicU64::new(0),
            mode: Mutex::default(),
            gate: Semaphore::new(0),
            last_body: Mutex::default(),
        });
        tokio::spawn(target.clone().accept(listener));
        target
    }

    pub fn set_mode(&self, mode: TargetMode) {
        *self.mode.lock().unwrap() = mode;
    }

    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let target = self.clone();
            let service = service_fn(move |request| target.clone().answer(request));
            let builder = hyper::server::conn::http1::Builder::new();
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<TargetBody>, io::Error> {
        let path = request.uri().path().to_owned();
        if path == "/healthz" {
            let status = if self.healthy.load(Ordering::SeqCst) {
                200
            } else {
                503
            };
            return Ok(full_response(status, "".into()));
        }
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?;
        if path == "/v1/cancel" {
            self.cancels.fetch_add(1, Ordering::SeqCst);
            return Ok(full_response(200, "{}".into()));
        }
        *self.last_body.lock().unwrap() = body.to_bytes();
        let run = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        let mode = self.mode.lock().unwrap().clone();
        match mode {
            TargetMode::Gated => self.gate.acquire().await.unwrap().forget(),
            TargetMode::Hangup => return Err(io::Error::other("connection closed by the test")),
            TargetMode::Large(length) => return Ok(full_response(201, vec![b'x'; length].into())),
            TargetMode::Stream(parts, aborts) => return Ok(streamed_response(parts, aborts)),
            TargetMode::Normal => {}
        }
        Ok(full_response(201, format!("run {run} {path}").into()))
    }
}

fn full_response(status: u16, body: Bytes) -> Response<TargetBody> {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    let response = Response::builder().status(status).header("x-kept", "yes");
    response.body(body.boxed()).unwrap()
}

/// Streams these parts and then ends or aborts the body.
///
/// The abort is delayed, because hyper drops a response head that it has not yet written when the
/// body fails.
fn streamed_response(parts: Vec<&'static str>, aborts: bool) -> Response<TargetBody> {
    let parts = parts
        .into_iter()
        .map(|part| Ok(Frame::data(Bytes::from(part))));
    let end = stream::iter(aborts.then_some(())).then(|()| async {
        tokio::time::sleep(ABORT_DELAY).await;
        Err(io::Error::other("stream aborted by the test"))
    });
    let body = StreamBody::new(stream::iter(parts).chain(end));
    Response::new(BodyExt::boxed(body))
}

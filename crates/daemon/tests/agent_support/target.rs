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

const BREAK_DELAY: Duration = Duration::from_millis(30);

type TargetBody = BoxBody<Bytes, io::Error>;

/// How the target answers.
#[derive(Clone, Debug, Default)]
pub enum TargetMode {
    /// Answers at once.
    #[default]
    Normal,
    /// Waits for a permit of the gate before it answers.
    Gated,
    /// Reads the request, then closes the connection.
    Hangup,
    /// Streams these bytes; then the body breaks off if the flag is set.
    Stream(Vec<&'static str>, bool),
    /// Answers with a body of this length.
    Large(usize),
}

/// Engine and plain service in one.
pub struct FakeTarget {
    pub address: SocketAddr,
    pub healthy: AtomicBool,
    pub runs: AtomicU64,
    pub cancels: AtomicU64,
    pub mode: Mutex<TargetMode>,
    pub gate: Semaphore,
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
            return Ok(whole(status, "".into()));
        }
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?;
        if path == "/v1/cancel" {
            self.cancels.fetch_add(1, Ordering::SeqCst);
            return Ok(whole(200, "{}".into()));
        }
        *self.last_body.lock().unwrap() = body.to_bytes();
        let run = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        let mode = self.mode.lock().unwrap().clone();
        match mode {
            TargetMode::Gated => self.gate.acquire().await.unwrap().forget(),
            TargetMode::Hangup => return Err(io::Error::other("hang up")),
            TargetMode::Large(length) => return Ok(whole(201, vec![b'x'; length].into())),
            TargetMode::Stream(parts, breaks) => return Ok(streamed(parts, breaks)),
            TargetMode::Normal => {}
        }
        Ok(whole(201, format!("run {run} {path}").into()))
    }
}

fn whole(status: u16, body: Bytes) -> Response<TargetBody> {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    let response = Response::builder().status(status).header("x-kept", "yes");
    response.body(body.boxed()).unwrap()
}

/// The break comes a little later than the data, because hyper drops a head that it has not
/// written yet when the body fails.
fn streamed(parts: Vec<&'static str>, breaks: bool) -> Response<TargetBody> {
    let parts = parts
        .into_iter()
        .map(|part| Ok(Frame::data(Bytes::from(part))));
    let end = stream::iter(breaks.then_some(())).then(|()| async {
        tokio::time::sleep(BREAK_DELAY).await;
        Err(io::Error::other("break"))
    });
    let body = StreamBody::new(stream::iter(parts).chain(end));
    Response::new(BodyExt::boxed(body))
}

//! HTTP interface of one server of the group.

use {
    super::{
        batch::{BatchRequest, TokenEvent},
        group::EngineGroup,
        options::RankMode,
    },
    crate::http::{
        Answer, ConnectionDropped, RequestHandler, ServerRequest, ServerResult, bad_request,
        json_answer, stream_answer, text_answer,
    },
    bytes::Bytes,
    futures_util::{Stream, stream},
    hyper::{Method, StatusCode},
    serde::Deserialize,
    serde_json::json,
    std::{io, sync::Arc},
    tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel},
};

/// Urgency of a request without a `Priority` header, as RFC 9218 defines it.
const DEFAULT_PRIORITY: u8 = 3;

/// Body of `POST /v1/generate`; `resume_from` is the index of the first token to send.
#[derive(Clone, Debug, Deserialize)]
struct GenerateBody {
    prompt: String,
    max_tokens: u64,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    resume_from: u64,
}

/// Body of `POST /v1/cancel`.
#[derive(Debug, Deserialize)]
struct CancelBody {
    request_id: String,
}

/// Body of `POST /admin/ranks`.
#[derive(Debug, Deserialize)]
struct RankBody {
    rank: usize,
    #[serde(flatten)]
    mode: RankMode,
}

/// Body of `POST /admin/server`.
#[derive(Debug, Deserialize)]
struct ServerBody {
    down: bool,
}

/// Body of `POST /admin/popularity`.
#[derive(Debug, Deserialize)]
struct PopularityBody {
    kind: String,
    shift: u64,
}

/// HTTP handler of one server of a group.
#[derive(Clone, Debug)]
pub struct EngineServer {
    group: Arc<EngineGroup>,
    index: usize,
}

impl EngineServer {
    /// Creates the handler of the server at an index of the group.
    pub fn new(group: Arc<EngineGroup>, index: usize) -> Self {
        Self { group, index }
    }

    fn generate(&self, request: &ServerRequest) -> Result<Answer, Box<Answer>> {
        let body: GenerateBody = request.json()?;
        if body.resume_from >= body.max_tokens {
            return Err(Box::new(bad_request(&"no token to generate")));
        }
        let (sender, receiver) = unbounded_channel();
        let request = BatchRequest {
            id: request.header("x-request-id").to_owned(),
            prompt: body.prompt,
            kind: body.kind,
            priority: parse_priority(request.header("priority")),
            next: body.resume_from,
            end: body.max_tokens,
            sender,
        };
        self.group.push(self.index, request);
        Ok(stream_answer(token_lines(receiver)))
    }

    fn cancel(&self, request: &ServerRequest) -> Result<Answer, Box<Answer>> {
        let body: CancelBody = request.json()?;
        let cancelled = self.group.cancel(self.index, &body.request_id);
        Ok(json_answer(
            StatusCode::OK,
            &json!({"cancelled": cancelled}),
        ))
    }

    async fn apply_order(&self, request: &ServerRequest) -> Result<Answer, Box<Answer>> {
        let reply = self.group.apply_order(self.index, request.json()?).await;
        Ok(json_answer(StatusCode::OK, &reply))
    }

    fn set_rank(&self, request: &ServerRequest) -> Result<Answer, Box<Answer>> {
        let body: RankBody = request.json()?;
        if self.group.set_rank(body.rank, body.mode) {
            return Ok(ok_answer());
        }
        Err(Box::new(bad_request(&"no such rank")))
    }

    fn set_down(&self, request: &ServerRequest) -> Result<Answer, Box<Answer>> {
        let body: ServerBody = request.json()?;
        self.group.set_down(self.index, body.down);
        Ok(ok_answer())
    }

    fn shift_popularity(&self, request: &ServerRequest) -> Result<Answer, Box<Answer>> {
        let body: PopularityBody = request.json()?;
        self.group.shift_popularity(&body.kind, body.shift);
        Ok(ok_answer())
    }

    async fn route(&self, request: &ServerRequest) -> Result<Answer, Box<Answer>> {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/generate") => self.generate(request),
            (&Method::POST, "/v1/cancel") => self.cancel(request),
            (&Method::POST, "/v1/orders") => self.apply_order(request).await,
            (&Method::GET, "/v1/load") => {
                Ok(json_answer(StatusCode::OK, &self.group.load(self.index)))
            }
            (&Method::GET, "/healthz") => Ok(text_answer(StatusCode::OK, "ok\n")),
            (&Method::POST, "/admin/ranks") => self.set_rank(request),
            (&Method::POST, "/admin/server") => self.set_down(request),
            (&Method::POST, "/admin/popularity") => self.shift_popularity(request),
            (&Method::GET, "/admin/violations") => {
                Ok(json_answer(StatusCode::OK, &self.group.violations()))
            }
            _ => Ok(text_answer(StatusCode::NOT_FOUND, "not found\n")),
        }
    }
}

impl RequestHandler for EngineServer {
    async fn handle(&self, request: ServerRequest) -> ServerResult {
        if self.group.is_down(self.index) && !request.path.starts_with("/admin/") {
            return Err(ConnectionDropped);
        }
        Ok(self.route(&request).await.unwrap_or_else(|answer| *answer))
    }
}

fn ok_answer() -> Answer {
    json_answer(StatusCode::OK, &json!({"ok": true}))
}

/// Returns the urgency `u` of a `Priority` header; the default if it is absent or not from 0 to 7.
fn parse_priority(text: &str) -> u8 {
    let urgency = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("u="));
    let urgency = urgency.and_then(|number| number.parse().ok());
    urgency
        .filter(|urgency| *urgency <= 7)
        .unwrap_or(DEFAULT_PRIORITY)
}

/// Converts token events to lines of NDJSON. If the channel closes before the end event, the stream
/// fails, so that the connection breaks before the end of the body.
fn token_lines(
    receiver: UnboundedReceiver<TokenEvent>,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream::unfold((receiver, false), |(mut receiver, ended)| async move {
        if ended {
            return None;
        }
        let (line, ended) = match receiver.recv().await {
            Some(TokenEvent::Token(index, token)) => {
                (Ok(json!({"index": index, "token": token})), false)
            }
            Some(TokenEvent::End(tokens)) => (Ok(json!({"end": true, "tokens": tokens})), true),
            None => (Err(io::Error::other("generation was interrupted")), true),
        };
        let line = line.map(|line| Bytes::from(format!("{line}\n")));
        Some((line, (receiver, ended)))
    })
}

//! One attempt of a call: builds and sends the request, and reads its outcome.

use {
    super::{
        answer::{TokenReader, TokenTimes, check_plain_answer, check_whole_answer},
        arguments::LoadArguments,
        plan::{CallBody, PlannedCall},
    },
    crate::http::HttpClient,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, body::Incoming, http::request},
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, timeout},
};

/// Pause before a retry if an answer with an unknown outcome has no `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Outcome of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// The answer was complete and correct.
    Answered(TokenTimes),
    /// The call was refused before it ran; it may be retried after this pause.
    NotRun(Duration),
    /// The call may have run; if it is repeatable, it may be retried after this pause.
    Unknown(Duration),
    /// The connection broke within the body of the answer.
    Cut,
    /// The answer was malformed or not the one that the call asked for, for this reason.
    Wrong(String),
    /// Neither an answer nor a refusal arrived, for this reason.
    NoAnswer(String),
}

/// Performs one attempt of a call and returns its outcome. `number` is the index of the attempt,
/// from 0, and selects the server.
pub async fn attempt(
    arguments: &LoadArguments,
    client: &HttpClient,
    call: &PlannedCall,
    number: u32,
) -> AttemptOutcome {
    let started = Instant::now();
    let Some((peer, request)) = build_request(arguments, call, number) else {
        return AttemptOutcome::NoAnswer("no server address for the call".to_owned());
    };
    let response = match client.send(peer, request).await {
        Ok(response) => response,
        Err(error) => return AttemptOutcome::NoAnswer(error.current_context().to_string()),
    };
    let limit = Duration::from_millis(arguments.timeout_ms);
    let read = read_outcome(arguments, call, response, started);
    let outcome = timeout(limit, read).await;
    outcome.unwrap_or_else(|_| AttemptOutcome::NoAnswer("timed out in the body".to_owned()))
}

/// Returns the address of the server for an attempt; each attempt goes to the next one.
fn server_address(
    arguments: &LoadArguments,
    call: &PlannedCall,
    number: u32,
) -> Option<SocketAddr> {
    let is_model = matches!(call.body, CallBody::Generate { .. });
    let addresses = if arguments.direct && !is_model {
        &arguments.direct_service
    } else {
        &arguments.entry
    };
    let position = call.entry + number as usize;
    addresses.get(position % addresses.len().max(1)).copied()
}

fn build_request(
    arguments: &LoadArguments,
    call: &PlannedCall,
    number: u32,
) -> Option<(SocketAddr, Request<Full<Bytes>>)> {
    let peer = server_address(arguments, call, number)?;
    let (method, path, body) = match &call.body {
        CallBody::Generate {
            prompt,
            tokens,
            kind,
            ..
        } => {
            let body = json!({"prompt": prompt, "max_tokens": tokens, "kind": kind});
            (Method::POST, "/v1/generate".to_owned(), body.to_string())
        }
        CallBody::Book { order, .. } => {
            let body = json!({"order": order, "team": call.team});
            (Method::POST, "/runs".to_owned(), body.to_string())
        }
        CallBody::LookUp { run } => (Method::GET, format!("/runs/{run}"), String::new()),
    };
    let prefix = match arguments.direct {
        true => String::new(),
        false => format!("/services/{}", call.service),
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{peer}{prefix}{path}"))
        .header("content-type", "application/json")
        .header("sassafrasslip-team", &call.team);
    let request = add_headers(request, arguments, call);
    let request = request.body(Full::from(body)).ok()?;
    Some((peer, request))
}

fn add_headers(
    mut request: request::Builder,
    arguments: &LoadArguments,
    call: &PlannedCall,
) -> request::Builder {
    if let Some(deadline) = arguments.deadline {
        request = request.header("sassafrasslip-deadline", deadline);
    }
    match &call.body {
        CallBody::Book { key: Some(key), .. } => request.header("idempotency-key", key),
        CallBody::Generate { kind, streamed, .. } => {
            let accept = if *streamed {
                "application/x-ndjson"
            } else {
                "application/json"
            };
            request
                .header("accept", accept)
                .header("sassafrasslip-kind", kind)
        }
        CallBody::Book { key: None, .. } | CallBody::LookUp { .. } => request,
    }
}

/// Reads the outcome header and, if the call was answered, the answer. A stand-in that is called
/// directly sends no outcome header, and each of its answers counts as answered.
async fn read_outcome(
    arguments: &LoadArguments,
    call: &PlannedCall,
    response: Response<Incoming>,
    started: Instant,
) -> AttemptOutcome {
    let status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let retry_after = header("retry-after").and_then(|seconds| seconds.parse().ok());
    let pause = retry_after.map(Duration::from_secs_f64);
    let outcome = header("sassafrasslip-outcome");
    let outcome = match (outcome.as_deref(), arguments.direct) {
        (None, true) => "answered",
        (Some(outcome), _) => outcome,
        (None, false) => return AttemptOutcome::Wrong(format!("no outcome header ({status})")),
    };
    match (outcome, pause) {
        ("answered", _) => read_answer(arguments, call, response, started).await,
        ("not-run", Some(pause)) => AttemptOutcome::NotRun(pause),
        ("not-run", None) => AttemptOutcome::Wrong(format!("refusal {status} without Retry-After")),
        ("unknown", pause) => AttemptOutcome::Unknown(pause.unwrap_or(DEFAULT_RETRY_AFTER)),
        (other, _) => AttemptOutcome::Wrong(format!("unknown outcome `{other}`")),
    }
}

async fn read_answer(
    arguments: &LoadArguments,
    call: &PlannedCall,
    response: Response<Incoming>,
    started: Instant,
) -> AttemptOutcome {
    let status = response.status().as_u16();
    let body = response.into_body();
    match &call.body {
        CallBody::Generate { .. } if status != 200 => {
            AttemptOutcome::Wrong(format!("generation answered with status {status}"))
        }
        CallBody::Generate {
            prompt,
            tokens,
            streamed,
            ..
        } if *streamed || arguments.direct => read_tokens(prompt, *tokens, body, started).await,
        CallBody::Generate { prompt, tokens, .. } => {
            read_whole_body(body, |body| check_whole_answer(prompt, *tokens, body)).await
        }
        CallBody::Book { .. } | CallBody::LookUp { .. } => {
            let check = |body: &[u8]| check_plain_answer(&call.body, status, body);
            read_whole_body(body, |body| check(body).map(|()| TokenTimes::default())).await
        }
    }
}

/// Reads the whole body and checks it.
async fn read_whole_body(
    body: Incoming,
    check: impl Fn(&[u8]) -> Result<TokenTimes, String>,
) -> AttemptOutcome {
    let Ok(body) = body.collect().await else {
        return AttemptOutcome::Cut;
    };
    match check(&body.to_bytes()) {
        Ok(times) => AttemptOutcome::Answered(times),
        Err(fault) => AttemptOutcome::Wrong(fault),
    }
}

/// Reads and checks the tokens of a streamed generation as they arrive.
async fn read_tokens(
    prompt: &str,
    tokens: u64,
    mut body: Incoming,
    started: Instant,
) -> AttemptOutcome {
    let mut reader = TokenReader::new(prompt, tokens, started);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return AttemptOutcome::Cut;
        };
        let data = frame.into_data().unwrap_or_default();
        if let Err(fault) = reader.read(&data) {
            return AttemptOutcome::Wrong(fault);
        }
    }
    match reader.finish() {
        Ok(times) => AttemptOutcome::Answered(times),
        Err(fault) => AttemptOutcome::Wrong(fault),
    }
}

//! One attempt of a call: sends it and reads its outcome.

use {
    super::{
        answer::{TokenReader, TokenTimes, check_plain, check_whole},
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

/// Pause before a repeat if the refusal names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Outcome of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// Whole and right.
    Answered(TokenTimes),
    /// Refused before it ran.
    NotRun(Duration),
    /// May have run.
    Unknown(Duration),
    /// The answer's body broke off.
    Cut,
    /// Not the answer to this call, or not a proper answer.
    Wrong(String),
    /// Neither an answer nor a refusal.
    NoAnswer(String),
}

/// Sends a call to an address and reads its outcome.
pub async fn attempt(
    arguments: &LoadArguments,
    client: &HttpClient,
    call: &PlannedCall,
    number: u32,
) -> AttemptOutcome {
    let started = Instant::now();
    let Some((peer, request)) = build(arguments, call, number) else {
        return AttemptOutcome::NoAnswer("no address for the call".to_owned());
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

fn address(arguments: &LoadArguments, call: &PlannedCall, number: u32) -> Option<SocketAddr> {
    let is_model = matches!(call.body, CallBody::Generate { .. });
    let addresses = if arguments.direct && !is_model {
        &arguments.direct_service
    } else {
        &arguments.entry
    };
    let position = call.entry + number as usize;
    addresses.get(position % addresses.len().max(1)).copied()
}

fn build(
    arguments: &LoadArguments,
    call: &PlannedCall,
    number: u32,
) -> Option<(SocketAddr, Request<Full<Bytes>>)> {
    let peer = address(arguments, call, number)?;
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
        (None, false) => return AttemptOutcome::Wrong(format!("{status} without an outcome")),
    };
    match (outcome, pause) {
        ("answered", _) => read_answer(arguments, call, response, started).await,
        ("not-run", Some(pause)) => AttemptOutcome::NotRun(pause),
        ("not-run", None) => AttemptOutcome::Wrong(format!("refusal {status} without Retry-After")),
        ("unknown", pause) => AttemptOutcome::Unknown(pause.unwrap_or(DEFAULT_RETRY_AFTER)),
        (other, _) => AttemptOutcome::Wrong(format!("outcome `{other}`")),
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
            AttemptOutcome::Wrong(format!("generation answered with {status}"))
        }
        CallBody::Generate {
            prompt,
            tokens,
            streamed,
            ..
        } if *streamed || arguments.direct => read_tokens(prompt, *tokens, body, started).await,
        CallBody::Generate { prompt, tokens, .. } => {
            read_whole(body, |body| check_whole(prompt, *tokens, body)).await
        }
        CallBody::Book { .. } | CallBody::LookUp { .. } => {
            let check = |body: &[u8]| check_plain(&call.body, status, body);
            read_whole(body, |body| check(body).map(|()| TokenTimes::default())).await
        }
    }
}

async fn read_whole(
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

//! Calls to model engines: token lines are streamed to the entry as they arrive.

use {
    super::{AdmittedCall, CallEnding, ending_before_head},
    crate::agent::backend::{
        BackendAnswer, Result,
        headers::answer_headers,
        tokens::{self, TokenLines},
    },
    bytes::Bytes,
    futures_util::FutureExt,
    http_body_util::Full,
    hyper::{
        Request, StatusCode,
        header::{CONTENT_TYPE, HeaderValue},
    },
    sassafrasslip_proto::link::{Dispatch, FailureOutcome, RefusalReason},
    serde_json::Value,
    std::fmt,
};

/// Buffered bytes above which a burst is sent although more data is available.
const MAX_BURST_BYTES: usize = 64 * 1024;

/// Runs a call to a model engine and streams the answer. A request that is cancelled or past its
/// deadline is cancelled at the engine too.
pub async fn run(mut call: AdmittedCall) {
    let (cancelled, deadline) = (call.permit.cancelled().clone(), call.deadline);
    let clock = call.agent.clock.clone();
    let ending = tokio::select! {
        biased;
        () = cancelled.cancelled() => CallEnding::Cancelled,
        () = clock.sleep_until(deadline) => interrupted("deadline has passed"),
        ending = exchange(&mut call) => ending,
    };
    let abandoned = matches!(ending, CallEnding::Cancelled) || call.should_stop();
    let (agent, engine_request_id) = (call.agent.clone(), call.request_id.to_string());
    call.finish(ending).await;
    if abandoned {
        agent.backend.cancel_generation(&engine_request_id).await;
    }
}

async fn exchange(call: &mut AdmittedCall) -> CallEnding {
    let connection = match call.agent.backend.connect().await {
        Ok(connection) => connection,
        Err(report) => return ending_before_head(&call.agent, &report),
    };
    let request = match build_request(call) {
        Ok(request) => request,
        Err(report) => return ending_before_head(&call.agent, &report),
    };
    if call.should_stop() {
        return CallEnding::Refused(RefusalReason::Deadline);
    }
    let started = call.agent.clock.now();
    let ending = match connection.send(request).await {
        Ok(answer) => relay_answer(call, answer).await,
        Err(report) => ending_before_head(&call.agent, &report),
    };
    let duration = call.agent.clock.now() - started;
    call.agent.metrics.observe_backend(duration);
    ending
}

fn build_request(call: &AdmittedCall) -> Result<Request<Full<Bytes>>> {
    let dispatch = &call.dispatch;
    let body = engine_body(dispatch);
    let mut request = call.agent.backend.request("POST", "/v1/generate", body)?;
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let extra_headers = [
        ("priority", format!("u={}", dispatch.priority.min(7))),
        ("x-request-id", call.request_id.to_string()),
    ];
    for (name, value) in extra_headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    let trace = dispatch.headers.iter();
    let trace = trace.filter(|header| header.name.eq_ignore_ascii_case("traceparent"));
    for header in trace {
        if let Ok(value) = HeaderValue::from_bytes(&header.value) {
            headers.insert("traceparent", value);
        }
    }
    Ok(request)
}

/// Adds the request kind and the resume index to the caller's JSON body. A body that is not a JSON
/// object is forwarded unchanged, so that the engine refuses it.
fn engine_body(dispatch: &Dispatch) -> Bytes {
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(&dispatch.body) else {
        return dispatch.body.clone();
    };
    if !dispatch.kind.is_empty() {
        fields.insert("kind".to_owned(), dispatch.kind.clone().into());
    }
    let resume_from = dispatch.resume_token_index;
    fields.insert("resume_from".to_owned(), resume_from.into());
    Bytes::from(Value::Object(fields).to_string())
}

async fn relay_answer(call: &mut AdmittedCall, mut answer: BackendAnswer) -> CallEnding {
    let status = answer.response.status();
    let headers = answer_headers(answer.response.headers());
    call.answers.head(status.as_u16(), headers).await;
    if status == StatusCode::OK {
        return relay_tokens(call, answer).await;
    }
    loop {
        match answer.read().await {
            Ok(Some(part)) => call.answers.payload(0, part).await,
            Ok(None) => return CallEnding::Answered { replayed: false },
            Err(report) => return interrupted(report.current_context()),
        }
    }
}

async fn relay_tokens(call: &mut AdmittedCall, mut answer: BackendAnswer) -> CallEnding {
    let mut lines = TokenLines::new(call.dispatch.resume_token_index);
    loop {
        let more = match read_burst(&mut answer, &mut lines).await {
            Ok(more) => more,
            Err(ending) => return ending,
        };
        match lines.take() {
            Ok(Some(burst)) => call.answers.payload(burst.first_index, burst.payload).await,
            Ok(None) => {}
            Err(report) => return interrupted(report.current_context()),
        }
        if !more {
            return stream_ending(lines.finish());
        }
    }
}

/// Reads until no more data is available without waiting, or the burst is full; returns whether the
/// stream may continue.
async fn read_burst(
    answer: &mut BackendAnswer,
    lines: &mut TokenLines,
) -> std::result::Result<bool, CallEnding> {
    let mut part = answer.read().await;
    let mut length = 0;
    loop {
        match part {
            Ok(Some(data)) => {
                length += data.len();
                lines.push(&data);
            }
            Ok(None) => return Ok(false),
            // The lines received before the failure are still sent. Without its end line, the
            // stream then counts as interrupted.
            Err(report) if length == 0 => return Err(interrupted(report.current_context())),
            Err(_) => return Ok(false),
        }
        if length > MAX_BURST_BYTES {
            return Ok(true);
        }
        match answer.read().now_or_never() {
            Some(next) => part = next,
            None => return Ok(true),
        }
    }
}

fn stream_ending(finished: tokens::Result<()>) -> CallEnding {
    match finished {
        Ok(()) => CallEnding::Answered { replayed: false },
        Err(report) => interrupted(report.current_context()),
    }
}

fn interrupted(reason: impl fmt::Display) -> CallEnding {
    CallEnding::Failed(FailureOutcome::Interrupted, reason.to_string())
}

//! Idempotent calls to plain services: forwarded to the target without a claim.

use {
    super::{AdmittedCall, CallEnding, ending_before_head},
    crate::agent::backend::{
        BackendConnection, Result,
        headers::{add_headers, answer_headers},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::Request,
    sassafrasslip_proto::link::{Dispatch, FailureOutcome, RefusalReason},
};

/// Runs an idempotent call and streams its answer to the entry.
pub async fn run(mut call: AdmittedCall) {
    let (cancelled, deadline) = (call.permit.cancelled().clone(), call.deadline);
    let clock = call.agent.clock.clone();
    let ending = tokio::select! {
        biased;
        () = cancelled.cancelled() => CallEnding::Cancelled,
        () = clock.sleep_until(deadline) => {
            CallEnding::Failed(FailureOutcome::Unknown, "deadline has passed".to_owned())
        }
        ending = exchange(&mut call) => ending,
    };
    call.finish(ending).await;
}

async fn exchange(call: &mut AdmittedCall) -> CallEnding {
    let (connection, request) = match prepare(call).await {
        Ok(prepared) => prepared,
        Err(report) => return ending_before_head(&call.agent, &report),
    };
    if call.should_stop() {
        return CallEnding::Refused(RefusalReason::Deadline);
    }
    let started = call.agent.clock.now();
    let ending = forward_call(call, connection, request).await;
    let duration = call.agent.clock.now() - started;
    call.agent.metrics.observe_backend(duration);
    ending
}

async fn prepare(call: &AdmittedCall) -> Result<(BackendConnection, Request<Full<Bytes>>)> {
    let request = build_request(call)?;
    let connection = call.agent.backend.connect().await?;
    Ok((connection, request))
}

/// Builds the HTTP request that a dispatch describes.
///
/// # Errors
///
/// Fails if the method or the path is malformed.
pub fn build_request(call: &AdmittedCall) -> Result<Request<Full<Bytes>>> {
    let Dispatch {
        method,
        path,
        headers,
        body,
        ..
    } = &call.dispatch;
    let mut request = call.agent.backend.request(method, path, body.clone())?;
    add_headers(request.headers_mut(), headers);
    Ok(request)
}

async fn forward_call(
    call: &mut AdmittedCall,
    connection: BackendConnection,
    request: Request<Full<Bytes>>,
) -> CallEnding {
    let mut answer = match connection.send(request).await {
        Ok(answer) => answer,
        Err(report) => return ending_before_head(&call.agent, &report),
    };
    let status = answer.response.status().as_u16();
    let headers = answer_headers(answer.response.headers());
    call.answers.head(status, headers).await;
    loop {
        match answer.read().await {
            Ok(Some(part)) => call.answers.payload(0, part).await,
            Ok(None) => return CallEnding::Answered { replayed: false },
            Err(report) => {
                let reason = report.current_context().to_string();
                return CallEnding::Failed(FailureOutcome::Interrupted, reason);
            }
        }
    }
}

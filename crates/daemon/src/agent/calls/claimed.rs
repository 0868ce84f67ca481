//! Non-idempotent calls to plain services: a claim record in the table makes each run at most once.

use {
    super::{AdmittedCall, CallEnding, ending_before_head, plain::build_request},
    crate::agent::claims::{ClaimCall, ClaimOutcome, ClaimRun},
    sassafrasslip_core::claim::{BodyHash, ClaimScope},
    sassafrasslip_proto::link::{Dispatch, FailureOutcome, IdempotencyScope, RefusalReason},
};

/// Runs a non-idempotent call under its claim and sends the answer.
pub async fn run(mut call: AdmittedCall) {
    let Some(claim) = claim_call(&call) else {
        let reason = "team, service or idempotency key is malformed".to_owned();
        call.finish(CallEnding::Failed(FailureOutcome::NotRun, reason))
            .await;
        return;
    };
    // The connection is opened before the claim record is written, so that an unreachable target
    // leaves no record.
    let prepared = match build_request(&call) {
        Ok(request) => call.agent.backend.connect().await.map(|to| (to, request)),
        Err(report) => Err(report),
    };
    let (connection, request) = match prepared {
        Ok(prepared) => prepared,
        Err(report) => {
            let ending = ending_before_head(&call.agent, &report);
            return call.finish(ending).await;
        }
    };
    let agent = call.agent.clone();
    let work = agent.work.token();
    let cancelled = call.permit.cancelled().clone();
    let mut run = ClaimRun::new(&agent.claims, claim, (connection, request), cancelled);
    let ending = send_outcome(&mut call, run.execute().await).await;
    call.finish(ending).await;
    run.finish().await;
    drop(work);
}

async fn send_outcome(call: &mut AdmittedCall, outcome: ClaimOutcome) -> CallEnding {
    match outcome {
        ClaimOutcome::Answer(answer, replayed) => {
            call.answers.head(answer.status, answer.headers).await;
            call.answers.payload(0, answer.body).await;
            CallEnding::Answered { replayed }
        }
        ClaimOutcome::Refused(reason) => {
            if reason == RefusalReason::TargetDown {
                call.agent.admission.set_healthy(false, "connection closed");
            }
            CallEnding::Refused(reason)
        }
        ClaimOutcome::Unknown(reason) => CallEnding::Failed(FailureOutcome::Unknown, reason),
    }
}

fn claim_call(call: &AdmittedCall) -> Option<ClaimCall> {
    let Dispatch {
        team,
        service,
        method,
        path,
        body,
        ..
    } = &call.dispatch;
    let IdempotencyScope {
        key,
        body_hash,
        attempt_nonce,
    } = call.dispatch.idempotency.as_ref()?;
    let scope = ClaimScope {
        service: service.parse().ok()?,
        team: team.parse().ok()?,
        key: Some(key.clone()).filter(|key| !key.is_empty())?,
    };
    let body_hash = match <[u8; 32]>::try_from(body_hash.as_ref()) {
        Ok(hash) => BodyHash(hash),
        Err(_) => BodyHash::of_call(method, path, body),
    };
    Some(ClaimCall {
        scope,
        body_hash,
        nonce: *attempt_nonce,
        request_id: call.request_id,
        deadline: call.deadline,
    })
}

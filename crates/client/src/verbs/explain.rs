//! Subcommand `explain`.

use {
    crate::{
        api::OperatorApi,
        arguments::ExplainArguments,
        errors::Result,
        output::{Output, join_names, render_table, yes_no},
    },
    sassafrasslip_core::explanation::{AttemptRecord, CandidateRecord, RequestExplanation},
};

pub(super) async fn execute(
    api: &OperatorApi,
    arguments: &ExplainArguments,
    output: &mut Output<'_>,
) -> Result<()> {
    let path = format!("/v1/explain/{}", arguments.request_id);
    let explanation: RequestExplanation = api.read(&path).await?;
    output.show(&explanation, render)
}

fn render(explanation: &RequestExplanation) -> String {
    let kind = explanation.kind.as_ref();
    let reason = explanation.reason.as_ref();
    let mut text = format!(
        "request {} of team {} to service {}{}, accepted by entry {}\n\
         outcome: {}{}\nconfiguration revision {}, cut-off mode: {}",
        explanation.request_id,
        explanation.team,
        explanation.service,
        kind.map_or_else(String::new, |kind| format!(" ({kind})")),
        explanation.entry,
        explanation.outcome,
        reason.map_or_else(String::new, |reason| format!(" ({reason})")),
        explanation.revision,
        yes_no(explanation.cut_off),
    );
    for attempt in &explanation.attempts {
        text.push_str("\n\n");
        text.push_str(&render_attempt(attempt));
    }
    text
}

fn render_attempt(attempt: &AttemptRecord) -> String {
    format!(
        "attempt {} at {} by {}: {}\ndecided by: {}\n{}",
        attempt.attempt,
        attempt.target,
        attempt.rule,
        attempt.result.as_deref().unwrap_or("in progress"),
        join_names(&attempt.sources),
        render_candidates(&attempt.candidates)
    )
}

fn render_candidates(candidates: &[CandidateRecord]) -> String {
    let rows = candidates.iter().map(|candidate| {
        [
            candidate.target.to_string(),
            candidate.availability_zone.to_string(),
            format!("{}/{}", candidate.in_flight, candidate.limit),
            format!("{:.3}", candidate.score),
            candidate.excluded.clone().unwrap_or_default(),
        ]
    });
    let header = [
        "candidate",
        "availability zone",
        "in flight",
        "score",
        "left out",
    ];
    render_table(header, rows)
}

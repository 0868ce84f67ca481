//! Final action of a claim: determines the outcome for the entry, logs and counts it.

use {
    super::run::{ClaimOutcome, ClaimRun},
    crate::{agent::calls::refusal_name, platform::load_answer},
    sassafrasslip_core::{
        claim::{AttemptAction, ClaimState},
        events::LogEvent::{AnswerReplayed, ClaimLost, ClaimRefused, ClaimUnknown, ClaimWithdrawn},
        log_event,
    },
    sassafrasslip_proto::link::RefusalReason,
};

impl ClaimRun<'_> {
    /// Performs the final action and returns the outcome for the entry.
    pub(super) async fn conclude(&mut self, action: AttemptAction) -> ClaimOutcome {
        let outcome = match action {
            AttemptAction::ReportAnswer => match self.answer.clone() {
                Some(answer) => ClaimOutcome::Answer(answer, false),
                None => return self.unknown("the answer is missing"),
            },
            AttemptAction::Replay => self.replay().await,
            AttemptAction::ReportUnknown => {
                let fault = std::mem::take(&mut self.fault);
                return self.unknown(&fault);
            }
            AttemptAction::WithdrawLate => self.withdraw(RefusalReason::Deadline).await,
            AttemptAction::WithdrawUnsent => self.withdraw(RefusalReason::TargetDown).await,
            AttemptAction::RefuseInUse => ClaimOutcome::Refused(RefusalReason::KeyInUse),
            AttemptAction::RefuseReused => ClaimOutcome::Refused(RefusalReason::KeyReused),
            AttemptAction::RefuseTombstone => ClaimOutcome::Refused(RefusalReason::Tombstone),
            AttemptAction::RefuseTableDown => {
                // A write whose answer was lost may have left the start record in the table.
                self.must_release = self.write_unconfirmed;
                ClaimOutcome::Refused(RefusalReason::TableDown)
            }
            AttemptAction::CheckDeadline
            | AttemptAction::Forward
            | AttemptAction::Insert
            | AttemptAction::Read
            | AttemptAction::Replace
            | AttemptAction::Store => return self.unknown("inconsistent claim state chart"),
        };
        self.log_outcome(&outcome);
        outcome
    }

    /// Replaces this attempt's start record by a tombstone. If that fails, [`ClaimRun::finish`]
    /// repeats it. Either way, the call was not run.
    async fn withdraw(&mut self, reason: RefusalReason) -> ClaimOutcome {
        let tombstone = self.record.as_ref();
        let tombstone = tombstone.map(|record| record.excluding(self.call.nonce));
        let value = tombstone.and_then(|record| record.encode().ok());
        let withdrawn = match value {
            Some(value) => self.replace_record(self.version, value).await,
            None => false,
        };
        self.must_release = !withdrawn;
        log_event!(
            ClaimWithdrawn,
            request_id = self.call.request_id,
            replaced = withdrawn
        );
        ClaimOutcome::Refused(reason)
    }

    async fn replay(&self) -> ClaimOutcome {
        let state = self.found.as_ref().map(|record| &record.state);
        let Some(ClaimState::Done { answer: stored }) = state else {
            return ClaimOutcome::Refused(RefusalReason::AnswerNotStored);
        };
        match load_answer(self.service.objects.as_ref(), stored).await {
            Some(answer) => ClaimOutcome::Answer(answer, true),
            None => ClaimOutcome::Refused(RefusalReason::AnswerNotStored),
        }
    }

    /// Logs, counts and returns an unknown outcome with its cause.
    pub(super) fn unknown(&self, fault: &str) -> ClaimOutcome {
        let request_id = self.call.request_id;
        log_event!(ClaimUnknown, request_id = request_id, fault = fault);
        self.service.metrics.count_claim("unknown");
        ClaimOutcome::Unknown(fault.to_owned())
    }

    fn log_outcome(&self, outcome: &ClaimOutcome) {
        let request_id = self.call.request_id;
        let result = match outcome {
            ClaimOutcome::Answer(_, true) => {
                log_event!(AnswerReplayed, request_id = request_id);
                "replayed"
            }
            ClaimOutcome::Answer(_, false) => "ran",
            ClaimOutcome::Refused(RefusalReason::KeyInUse) => {
                log_event!(ClaimLost, request_id = request_id);
                "key_in_use"
            }
            ClaimOutcome::Refused(reason) => {
                let reason = refusal_name(*reason);
                log_event!(ClaimRefused, request_id = request_id, reason = reason);
                "refused"
            }
            ClaimOutcome::Unknown(_) => "unknown",
        };
        self.service.metrics.count_claim(result);
    }
}

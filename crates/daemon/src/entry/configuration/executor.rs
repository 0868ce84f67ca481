//! Execution of a change: commit, read-back after a lost answer, and the wait for acceptance.

use {
    super::{
        lease_records::StoredLease,
        store::{ConfigurationStore, StoreError},
    },
    crate::{
        constants::{ACCEPTANCE_LIMIT, ACCEPTANCE_POLL_INTERVAL, CHANGE_RETRY_PAUSE},
        describe,
        platform::PlatformError,
    },
    error_stack::Report,
    sassafrasslip_core::{
        configuration::{
            AcceptanceReport, ChangeFault, ChangeRefusal, ChangeRequest, HistoryRecord,
            LeaseObservation, Revision, acceptance_report, report::ChangeReport,
        },
        events::LogEvent::{ChangeAccepted, ChangeConflict, ChangeRefused, ChangeUnconfirmed},
        ids::InstanceName,
        log_event,
    },
    std::{error::Error, fmt, result},
    tokio::{
        sync::watch,
        time::{Instant, sleep, timeout_at},
    },
};

/// Lease records of long-gone entries that one change deletes at most.
const MAX_DELETED_LEASES: usize = 16;

/// Result of a change.
pub type Result<T> = result::Result<T, ChangeError>;

/// Reason for which a change has no confirmed result.
#[derive(Clone, Debug)]
pub enum ChangeError {
    /// A field is not valid.
    Invalid(ChangeFault),
    /// The change was committed, but an entry with a live lease has not applied it yet.
    NotConfirmed(Box<ChangeReport>),
    /// The change does not fit the current state.
    Refused(ChangeRefusal),
    /// The table does not answer.
    TableUnavailable {
        /// Failed step.
        fault: String,
        /// Whether the change may have been committed.
        may_have_taken_effect: bool,
    },
}

impl fmt::Display for ChangeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(fault) => write!(formatter, "{fault}"),
            Self::NotConfirmed(report) => {
                let pending = join_names(&report.pending);
                write!(
                    formatter,
                    "revision {} is committed but not yet confirmed everywhere; entries that have \
                     not confirmed it: {}",
                    report.revision,
                    if pending.is_empty() {
                        "unknown, the table does not answer"
                    } else {
                        &pending
                    }
                )
            }
            Self::Refused(refusal) => write!(formatter, "{refusal}"),
            Self::TableUnavailable {
                fault,
                may_have_taken_effect: false,
            } => write!(formatter, "the change was not made: {fault}"),
            Self::TableUnavailable { fault, .. } => write!(
                formatter,
                "it is unknown whether the change was made: {fault}; repeat it with the same \
                 change identifier"
            ),
        }
    }
}

impl Error for ChangeError {}

/// Change that stands in the history.
#[derive(Debug)]
pub(super) struct CommittedChange {
    pub(super) record: HistoryRecord,
    pub(super) repeated: bool,
}

enum CommitAttempt {
    Committed(CommittedChange),
    /// The head or the item moved between the read and the commit.
    Moved,
}

/// Commits changes and waits for their acceptance.
#[derive(Clone, Debug)]
pub(super) struct ChangeExecutor {
    pub(super) store: ConfigurationStore,
    /// Revision that this entry has sent to its agents.
    pub(super) published: watch::Receiver<Option<Revision>>,
    /// Time until which the change has to be committed and confirmed.
    pub(super) deadline: Instant,
}

impl ChangeExecutor {
    /// Creates an executor for a change that was received now.
    pub(super) fn new(
        store: ConfigurationStore,
        published: watch::Receiver<Option<Revision>>,
    ) -> Self {
        let deadline = Instant::now() + ACCEPTANCE_LIMIT;
        Self {
            store,
            published,
            deadline,
        }
    }

    /// Checks and commits a change.
    pub(super) async fn commit(&self, request: ChangeRequest) -> Result<CommittedChange> {
        let (item, change_id) = (request.action.item(), request.change_id.clone());
        let operator = request.operator.clone();
        let result = match request.validate() {
            Ok(request) => self.commit_valid(request).await,
            Err(fault) => Err(ChangeError::Invalid(fault)),
        };
        if let Err(error) = &result {
            let event = match error {
                ChangeError::Refused(ChangeRefusal::Conflict { .. }) => ChangeConflict,
                _ => ChangeRefused,
            };
            log_event!(
                event,
                item = item,
                change_id = change_id,
                operator = operator,
                reason = error
            );
        }
        result
    }

    async fn commit_valid(&self, mut request: ChangeRequest) -> Result<CommittedChange> {
        let mut may_have_taken_effect = false;
        loop {
            let attempt = self.attempt(&mut request, &mut may_have_taken_effect);
            let attempt = timeout_at(self.deadline, attempt).await;
            let fault = match attempt {
                Ok(Ok(CommitAttempt::Committed(change))) => return Ok(change),
                Ok(Ok(CommitAttempt::Moved)) => "the configuration kept changing".to_owned(),
                Ok(Err(AttemptError::Refused(refusal))) => {
                    return Err(ChangeError::Refused(refusal));
                }
                Ok(Err(AttemptError::Unreachable(fault))) if !may_have_taken_effect => {
                    return Err(unavailable(fault, false));
                }
                Ok(Err(AttemptError::Unreachable(fault))) => fault,
                Err(_) => "the table did not answer in time".to_owned(),
            };
            if Instant::now() + CHANGE_RETRY_PAUSE >= self.deadline {
                return Err(unavailable(fault, may_have_taken_effect));
            }
            sleep(CHANGE_RETRY_PAUSE).await;
        }
    }

    async fn attempt(
        &self,
        request: &mut ChangeRequest,
        may_have_taken_effect: &mut bool,
    ) -> result::Result<CommitAttempt, AttemptError> {
        let state = self.store.read_state().await?;
        // Read after the state: an earlier attempt that commits late must be found here and not
        // be taken for the change of another operator.
        if let Some(record) = self.store.read_change(&request.change_id).await? {
            return found(request, record, *may_have_taken_effect);
        }
        request.pin_revision(&state.snapshot);
        let plan = request.plan(&state).map_err(AttemptError::Refused)?;
        let earlier = std::mem::replace(may_have_taken_effect, true);
        let committed = self.store.commit(&plan).await;
        *may_have_taken_effect = earlier || committed.as_ref().is_err_and(is_unknown);
        if !committed? {
            return Ok(CommitAttempt::Moved);
        }
        let record = plan.record;
        let repeated = false;
        Ok(CommitAttempt::Committed(CommittedChange {
            record,
            repeated,
        }))
    }

    /// Waits until every entry with a live lease has applied the change.
    pub(super) async fn confirm(&self, change: CommittedChange) -> Result<ChangeReport> {
        let mut acceptance = None;
        let wait = self.wait_for_acceptance(&change, &mut acceptance);
        let accepted = timeout_at(self.deadline, wait).await.is_ok();
        let report = change_report(change, acceptance.unwrap_or_default(), accepted);
        if !accepted {
            log_event!(
                ChangeUnconfirmed,
                item = report.item,
                revision = report.revision,
                change_id = report.change_id,
                pending = join_names(&report.pending)
            );
            return Err(ChangeError::NotConfirmed(Box::new(report)));
        }
        log_event!(
            ChangeAccepted,
            item = report.item,
            revision = report.revision,
            change_id = report.change_id,
            cut_off = report.cut_off.len()
        );
        Ok(report)
    }

    /// Waits until every entry with a live lease has applied the change and this entry has sent it
    /// to its agents. Without the second condition, no agent would know of the change if no entry
    /// held a lease, and a paused entry's dispatch under an older revision could be accepted.
    async fn wait_for_acceptance(
        &self,
        change: &CommittedChange,
        seen: &mut Option<AcceptanceReport>,
    ) {
        loop {
            if let Ok(leases) = self.store.read_leases().await {
                let observations: Vec<_> = leases.iter().map(|(lease, _)| lease.clone()).collect();
                let acceptance = acceptance_report(change.record.revision, &observations);
                let is_published = *self.published.borrow() >= Some(change.record.revision);
                let accepted = is_published && acceptance.is_accepted();
                *seen = Some(acceptance);
                if accepted {
                    self.delete_forgotten(&leases).await;
                    return;
                }
            }
            sleep(ACCEPTANCE_POLL_INTERVAL).await;
        }
    }
}

impl ChangeExecutor {
    /// Deletes the records of entries that ended without a graceful stop long ago.
    async fn delete_forgotten(&self, leases: &[(LeaseObservation, u64)]) {
        let forgotten = leases
            .iter()
            .filter(|(lease, _)| lease.record.is_past_retention(lease.time_ms));
        for (lease, version) in forgotten.take(MAX_DELETED_LEASES) {
            let record = StoredLease {
                version: *version,
                record: None,
            };
            // A record that cannot be deleted now is found again by the next change.
            let _ = self.store.write_lease(&lease.instance, &record, None).await;
        }
    }
}

enum AttemptError {
    Refused(ChangeRefusal),
    Unreachable(String),
}

impl From<Report<StoreError>> for AttemptError {
    fn from(report: Report<StoreError>) -> Self {
        Self::Unreachable(describe(&report))
    }
}

fn is_unknown(report: &Report<StoreError>) -> bool {
    let platform = report.downcast_ref::<PlatformError>();
    platform.is_none_or(PlatformError::may_have_taken_effect)
}

fn join_names(entries: &[InstanceName]) -> String {
    let names = entries.iter().map(ToString::to_string);
    names.collect::<Vec<_>>().join(", ")
}

fn unavailable(fault: String, may_have_taken_effect: bool) -> ChangeError {
    ChangeError::TableUnavailable {
        fault,
        may_have_taken_effect,
    }
}

fn found(
    request: &ChangeRequest,
    record: HistoryRecord,
    own: bool,
) -> result::Result<CommitAttempt, AttemptError> {
    if !request.matches(&record) {
        let current = serde_json::to_value(&record).unwrap_or_default();
        let refusal = ChangeRefusal::ChangeIdReused { current };
        return Err(AttemptError::Refused(refusal));
    }
    let repeated = !own;
    Ok(CommitAttempt::Committed(CommittedChange {
        record,
        repeated,
    }))
}

fn change_report(
    change: CommittedChange,
    acceptance: AcceptanceReport,
    accepted: bool,
) -> ChangeReport {
    let CommittedChange { record, repeated } = change;
    ChangeReport {
        change_id: record.change_id,
        revision: record.revision,
        item: record.item,
        before: record.before,
        after: record.after,
        repeated,
        accepted,
        pending: acceptance.pending,
        cut_off: acceptance.cut_off,
    }
}

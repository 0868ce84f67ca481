//! Execution of an operator's change: commits it, and waits until all entries with a live lease
//! have applied it.
//!
//! If the answer to a commit is lost, the history is read to find out whether the change was
//! committed.

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

/// Maximum number of lease records past their retention that one change deletes.
const MAX_DELETED_LEASES: usize = 16;

/// Result of the execution of a change.
pub type Result<T> = result::Result<T, ChangeError>;

/// Reason why a change failed or is not confirmed.
#[derive(Clone, Debug)]
pub enum ChangeError {
    /// A field of the change is not valid.
    Invalid(ChangeFault),
    /// The change was committed, but by the deadline an entry with a live lease had not applied it,
    /// this entry had not sent it to its agents, or the lease records could not be read.
    NotConfirmed(Box<ChangeReport>),
    /// The change conflicts with the current configuration or history.
    Refused(ChangeRefusal),
    /// A call to the table failed or the deadline passed before a commit was confirmed.
    TableUnavailable {
        /// Description of the fault.
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

/// Change that is recorded in the history.
#[derive(Debug)]
pub(super) struct CommittedChange {
    pub(super) record: HistoryRecord,
    /// Whether an earlier request with the same change identifier committed the change.
    pub(super) repeated: bool,
}

enum CommitAttempt {
    Committed(CommittedChange),
    /// The head or the item changed between the read and the commit.
    Conflict,
}

/// Commits a change and waits for its acceptance.
#[derive(Clone, Debug)]
pub(super) struct ChangeExecutor {
    pub(super) store: ConfigurationStore,
    /// Newest revision that this entry has sent to its agents.
    pub(super) published: watch::Receiver<Option<Revision>>,
    /// Time by which the change has to be committed and confirmed.
    pub(super) deadline: Instant,
}

impl ChangeExecutor {
    /// Creates an executor whose deadline is [`ACCEPTANCE_LIMIT`] from now.
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

    /// Validates and commits a change, and logs it if it fails.
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

    /// Tries to commit a valid change until it is committed or refused, the table fails while
    /// nothing can have been committed, or the deadline passes.
    async fn commit_valid(&self, mut request: ChangeRequest) -> Result<CommittedChange> {
        let mut may_have_taken_effect = false;
        loop {
            let attempt = self.attempt_commit(&mut request, &mut may_have_taken_effect);
            let attempt = timeout_at(self.deadline, attempt).await;
            let fault = match attempt {
                Ok(Ok(CommitAttempt::Committed(change))) => return Ok(change),
                Ok(Ok(CommitAttempt::Conflict)) => "the configuration kept changing".to_owned(),
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

    async fn attempt_commit(
        &self,
        request: &mut ChangeRequest,
        may_have_taken_effect: &mut bool,
    ) -> result::Result<CommitAttempt, AttemptError> {
        let state = self.store.read_state().await?;
        // The history is read after the state. If an earlier attempt of this request is committed
        // late, it is found here and not mistaken for the change of another operator.
        if let Some(record) = self.store.read_change(&request.change_id).await? {
            return match_recorded_change(request, record, *may_have_taken_effect);
        }
        request.pin_revision(&state.snapshot);
        let plan = request.plan(&state).map_err(AttemptError::Refused)?;
        let earlier = std::mem::replace(may_have_taken_effect, true);
        let committed = self.store.commit(&plan).await;
        *may_have_taken_effect = earlier || committed.as_ref().is_err_and(may_have_committed);
        if !committed? {
            return Ok(CommitAttempt::Conflict);
        }
        let record = plan.record;
        let repeated = false;
        Ok(CommitAttempt::Committed(CommittedChange {
            record,
            repeated,
        }))
    }

    /// Waits for the acceptance of a committed change until the deadline, and reports it.
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
    /// to its agents; stores the report of the latest read in `latest`.
    ///
    /// The second condition matters if no entry holds a lease: without it, no agent would know of
    /// the change, and agents could accept a dispatch that a paused entry sends under an older
    /// revision.
    async fn wait_for_acceptance(
        &self,
        change: &CommittedChange,
        latest: &mut Option<AcceptanceReport>,
    ) {
        loop {
            if let Ok(leases) = self.store.read_leases().await {
                let observations: Vec<_> = leases.iter().map(|(lease, _)| lease.clone()).collect();
                let acceptance = acceptance_report(change.record.revision, &observations);
                let is_published = *self.published.borrow() >= Some(change.record.revision);
                let accepted = is_published && acceptance.is_accepted();
                *latest = Some(acceptance);
                if accepted {
                    self.delete_stale_leases(&leases).await;
                    return;
                }
            }
            sleep(ACCEPTANCE_POLL_INTERVAL).await;
        }
    }
}

impl ChangeExecutor {
    /// Deletes lease records past their retention. They are left by entries that ended without a
    /// graceful stop.
    async fn delete_stale_leases(&self, leases: &[(LeaseObservation, u64)]) {
        let stale_leases = leases
            .iter()
            .filter(|(lease, _)| lease.record.is_past_retention(lease.time_ms));
        for (lease, version) in stale_leases.take(MAX_DELETED_LEASES) {
            let record = StoredLease {
                version: *version,
                record: None,
            };
            // If the deletion fails, a later change tries it again.
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

/// Returns whether a commit that failed with this error may have taken effect nevertheless.
fn may_have_committed(report: &Report<StoreError>) -> bool {
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

/// Returns the recorded change if it equals the request, or refuses the request because its change
/// identifier was used for another change.
fn match_recorded_change(
    request: &ChangeRequest,
    record: HistoryRecord,
    may_be_own_commit: bool,
) -> result::Result<CommitAttempt, AttemptError> {
    if !request.matches(&record) {
        let current = serde_json::to_value(&record).unwrap_or_default();
        let refusal = ChangeRefusal::ChangeIdReused { current };
        return Err(AttemptError::Refused(refusal));
    }
    let repeated = !may_be_own_commit;
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

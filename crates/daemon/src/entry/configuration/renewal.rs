//! Renewal of an entry's lease record in the table.

use {
    super::store::{ConfigurationStore, HeadRead, Result, StoreError},
    crate::{
        constants::{LEASE_DURATION, LEASE_RENEWAL_TIMEOUT},
        entry::configuration::lease_records::StoredLease,
    },
    error_stack::Report,
    sassafrasslip_core::{
        configuration::{KnownRecord, LeaseGrant, LeaseRenewal, RenewalDecision},
        ids::InstanceName,
    },
    tokio::time::{Instant, timeout},
};

/// Single renewal of the lease record, with the store that it writes to.
#[derive(Clone, Debug)]
pub(super) struct RenewalCall {
    pub(super) store: ConfigurationStore,
    pub(super) instance: InstanceName,
    pub(super) renewal: LeaseRenewal,
    /// Version of the record; `None` unless the record is known to be the one that this
    /// incarnation wrote last.
    pub(super) lease_version: Option<u64>,
}

/// Outcome of a renewal whose calls to the table were all answered.
#[derive(Debug)]
pub(super) enum RenewalOutcome {
    /// No record was written, because a revision has to be published first.
    Behind,
    /// The record was written and has this version.
    Granted { grant: LeaseGrant, version: u64 },
    /// The record or the head changed between the read and the write. The next renewal reads the
    /// record again.
    Conflict,
    /// Another incarnation of the instance holds the record, or the record was deleted.
    Superseded,
}

/// Result of a renewal.
#[derive(Debug)]
pub(super) struct RenewalResult {
    /// Head of the configuration, if the table returned it before the renewal ended or failed.
    pub(super) head: Option<HeadRead>,
    /// Outcome, or the step that failed.
    pub(super) outcome: Result<RenewalOutcome>,
}

impl RenewalCall {
    /// Reads the head and writes the lease record, within [`LEASE_RENEWAL_TIMEOUT`].
    pub(super) async fn run(self) -> RenewalResult {
        // The duration of the lease is counted from a time before the head is read. The expiry in
        // the table is computed from the table's time in that answer, so the holder never considers
        // the lease live for longer than the table does.
        let started = Instant::now();
        let mut head = None;
        let renewal = timeout(LEASE_RENEWAL_TIMEOUT, self.renew(started, &mut head));
        let outcome = renewal
            .await
            .unwrap_or_else(|_| Err(Report::new(StoreError::WriteLease)));
        RenewalResult { head, outcome }
    }

    async fn renew(&self, started: Instant, read: &mut Option<HeadRead>) -> Result<RenewalOutcome> {
        let head = self.store.read_head().await?;
        *read = Some(head);
        let (version, decision) = match self.lease_version {
            Some(version) => (version, self.decide(&head, KnownRecord::Own)),
            None => {
                let lease = self.store.read_lease(&self.instance).await?;
                let known = KnownRecord::Read(lease.record.as_ref());
                (lease.version, self.decide(&head, known))
            }
        };
        match decision {
            RenewalDecision::Behind => Ok(RenewalOutcome::Behind),
            RenewalDecision::Superseded => Ok(RenewalOutcome::Superseded),
            RenewalDecision::Write { record, at_head } => {
                let record = Some(record);
                let lease = StoredLease { version, record };
                let head_version = at_head.then_some(head.version);
                self.write(started, lease, head_version).await
            }
        }
    }

    fn decide(&self, head: &HeadRead, known: KnownRecord<'_>) -> RenewalDecision {
        self.renewal
            .decide(head.revision, head.time_ms, known, LEASE_DURATION)
    }

    async fn write(
        &self,
        started: Instant,
        lease: StoredLease,
        head_version: Option<u64>,
    ) -> Result<RenewalOutcome> {
        let written = self
            .store
            .write_lease(&self.instance, &lease, head_version)
            .await?;
        let Some(version) = written else {
            return Ok(RenewalOutcome::Conflict);
        };
        let grant = LeaseGrant {
            kind: self.renewal.kind,
            expires_at: started + LEASE_DURATION,
        };
        Ok(RenewalOutcome::Granted { grant, version })
    }
}

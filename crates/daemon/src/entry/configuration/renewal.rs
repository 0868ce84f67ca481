//! One renewal of the lease record.

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

/// Renewal with what it needs to reach the table.
#[derive(Clone, Debug)]
pub(super) struct RenewalCall {
    pub(super) store: ConfigurationStore,
    pub(super) instance: InstanceName,
    pub(super) renewal: LeaseRenewal,
    /// Version of the record, if it is known to be this incarnation's.
    pub(super) lease_version: Option<u64>,
}

/// How a renewal ended.
#[derive(Debug)]
pub(super) enum RenewalOutcome {
    /// No lease can be taken before the head revision is published.
    Behind,
    /// The record was written.
    Granted { grant: LeaseGrant, version: u64 },
    /// The record or the head changed in between; the next renewal reads the record again.
    Moved,
    /// Another incarnation of the instance holds the record, or the record was deleted.
    Superseded,
}

/// Answers that a renewal got.
#[derive(Debug)]
pub(super) struct RenewalEnd {
    /// Head, if it was read.
    pub(super) head: Option<HeadRead>,
    /// How the renewal ended.
    pub(super) outcome: Result<RenewalOutcome>,
}

impl RenewalCall {
    /// Reads the head and writes the lease record.
    pub(super) async fn run(self) -> RenewalEnd {
        // The lease counts from before the head is read: its end in the table is computed from
        // the time in that answer, so the holder never believes in it for longer than the table.
        let started = Instant::now();
        let mut head = None;
        let renewal = timeout(LEASE_RENEWAL_TIMEOUT, self.renew(started, &mut head));
        let outcome = renewal
            .await
            .unwrap_or_else(|_| Err(Report::new(StoreError::WriteLease)));
        RenewalEnd { head, outcome }
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
            return Ok(RenewalOutcome::Moved);
        };
        let grant = LeaseGrant {
            kind: self.renewal.kind,
            expires_at: started + LEASE_DURATION,
        };
        Ok(RenewalOutcome::Granted { grant, version })
    }
}

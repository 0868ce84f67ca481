//! One renewal of the lease record.

use {
    super::{
        lease_records::StoredLease,
        store::{ConfigurationStore, HeadRead, Result, StoreError},
    },
    crate::constants::{LEASE_DURATION, LEASE_RENEWAL_TIMEOUT},
    error_stack::Report,
    sassafrasslip_core::{
        configuration::{LeaseGrant, LeaseRecord, RenewalKind, Revision},
        ids::InstanceName,
    },
    tokio::time::{Instant, timeout},
};

/// What a renewal writes and is conditional on.
#[derive(Clone, Debug)]
pub(super) struct LeaseRenewal {
    pub(super) store: ConfigurationStore,
    pub(super) instance: InstanceName,
    pub(super) incarnation: u64,
    pub(super) kind: RenewalKind,
    /// Revision that has been sent to the agents; without one no lease is taken.
    pub(super) published: Option<Revision>,
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

impl LeaseRenewal {
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
        let Some(published) = self.published else {
            return Ok(RenewalOutcome::Behind);
        };
        if self.kind == RenewalKind::Acquire && published != head.revision {
            return Ok(RenewalOutcome::Behind);
        }
        let version = match self.lease_version {
            Some(version) => version,
            None => {
                let lease = self.store.read_lease(&self.instance).await?;
                if self.is_superseded(&lease, head.time_ms) {
                    return Ok(RenewalOutcome::Superseded);
                }
                lease.version
            }
        };
        self.write(started, &head, version, published).await
    }

    /// A record of another incarnation may be replaced only after its end: its process may still
    /// be alive and act on the lease.
    fn is_superseded(&self, lease: &StoredLease, time_ms: u64) -> bool {
        match (&lease.record, self.kind) {
            (None, kind) => kind == RenewalKind::Renew,
            (Some(record), _) if record.incarnation == self.incarnation => false,
            (Some(record), RenewalKind::Acquire) => record.is_live(time_ms),
            (Some(_), RenewalKind::Renew) => true,
        }
    }

    async fn write(
        &self,
        started: Instant,
        head: &HeadRead,
        version: u64,
        published: Revision,
    ) -> Result<RenewalOutcome> {
        let duration_ms = u64::try_from(LEASE_DURATION.as_millis()).unwrap_or_default();
        let record = LeaseRecord {
            incarnation: self.incarnation,
            applied_revision: published,
            expires_ms: head.time_ms + duration_ms,
        };
        let lease = StoredLease {
            version,
            record: Some(record),
        };
        let head_version = (self.kind == RenewalKind::Acquire).then_some(head.version);
        let written = self
            .store
            .write_lease(&self.instance, &lease, head_version)
            .await?;
        let Some(version) = written else {
            return Ok(RenewalOutcome::Moved);
        };
        let grant = LeaseGrant {
            kind: self.kind,
            expires_at: started + LEASE_DURATION,
        };
        Ok(RenewalOutcome::Granted { grant, version })
    }
}

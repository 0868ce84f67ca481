//! Acceptance of a change: which entries have applied its revision.

use {
    super::Revision,
    crate::ids::InstanceName,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Time after which an expired lease record is forgotten. Longer than the partitions of about an
/// hour that regions suffer, so that an entry that is still cut off stays named.
pub const LEASE_RECORD_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Lease record of an entry in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Incarnation of the entry that wrote the record.
    pub incarnation: u64,
    /// Revision that the entry has applied and sent to its agents.
    pub applied_revision: Revision,
    /// End of the lease by the table's clock, in milliseconds.
    pub expires_ms: u64,
}

/// Lease record as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseObservation {
    /// Entry.
    pub instance: InstanceName,
    /// Record.
    pub record: LeaseRecord,
    /// Time of the table's clock when the record was read, in milliseconds.
    pub time_ms: u64,
}

/// Entries by whether they have applied a revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptanceReport {
    /// Entries with a live lease that have applied the revision.
    pub applied: Vec<InstanceName>,
    /// Entries with a live lease that have not applied it yet.
    pub pending: Vec<InstanceName>,
    /// Entries without a live lease, which serve by the `cut_off.*` defaults.
    pub cut_off: Vec<InstanceName>,
}

impl LeaseRecord {
    /// Returns whether the lease is live at a time of the table's clock.
    pub fn is_live(&self, time_ms: u64) -> bool {
        time_ms < self.expires_ms
    }

    /// Returns whether the record ended so long ago that its entry is taken to be gone.
    pub fn is_past_retention(&self, time_ms: u64) -> bool {
        let retention = u64::try_from(LEASE_RECORD_RETENTION.as_millis()).unwrap_or(u64::MAX);
        time_ms >= self.expires_ms.saturating_add(retention)
    }
}

impl AcceptanceReport {
    /// Returns whether every entry with a live lease has applied the revision.
    pub fn is_accepted(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Sorts entries by whether they have applied `revision`.
///
/// The records may be read at different times after the commit: an entry without a live lease
/// takes one only at the head revision, so it cannot become live with an older revision.
pub fn acceptance_report(revision: Revision, leases: &[LeaseObservation]) -> AcceptanceReport {
    let mut report = AcceptanceReport::default();
    for lease in leases {
        let record = &lease.record;
        if record.is_past_retention(lease.time_ms) {
            continue;
        }
        let entries = if !record.is_live(lease.time_ms) {
            &mut report.cut_off
        } else if record.applied_revision < revision {
            &mut report.pending
        } else {
            &mut report.applied
        };
        entries.push(lease.instance.clone());
    }
    report
}

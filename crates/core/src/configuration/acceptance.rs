//! Acceptance of a change: determines which entries have applied its revision.

use {
    super::Revision,
    crate::ids::InstanceName,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Time for which the lease record of an entry is kept after the lease has expired. It is longer
/// than the network partitions of about an hour that regions suffer, so that acceptance reports
/// still name an entry that is cut off.
pub const LEASE_RECORD_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Configuration lease of an entry, as stored in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Incarnation of the entry that wrote the record.
    pub incarnation: u64,
    /// Revision that the entry has applied and sent to its agents.
    pub applied_revision: Revision,
    /// Time of the table's clock at which the lease expires, in milliseconds.
    pub expires_ms: u64,
}

/// Lease record of an entry, with the time at which it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseObservation {
    /// Entry that holds or held the lease.
    pub instance: InstanceName,
    /// Record that was read.
    pub record: LeaseRecord,
    /// Time of the table's clock when the record was read, in milliseconds.
    pub time_ms: u64,
}

/// Entries grouped by whether they have applied a revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptanceReport {
    /// Entries with a live lease that have applied the revision.
    pub applied: Vec<InstanceName>,
    /// Entries with a live lease that have not applied it yet.
    pub pending: Vec<InstanceName>,
    /// Entries without a live lease, which are in cut-off mode and follow the `cut_off.*` settings.
    pub cut_off: Vec<InstanceName>,
}

impl LeaseRecord {
    /// Returns whether the lease is live at `time_ms` of the table's clock.
    pub fn is_live(&self, time_ms: u64) -> bool {
        time_ms < self.expires_ms
    }

    /// Returns whether the lease expired so long ago that its entry is assumed to be gone: at least
    /// [`LEASE_RECORD_RETENTION`] before `time_ms` of the table's clock.
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

/// Groups the entries by whether they have applied `revision`, without those whose record is past
/// its retention.
///
/// The records may be read at different times after the commit of `revision`: an entry without a
/// live lease acquires one only at the head revision, so it cannot become live with an older one.
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

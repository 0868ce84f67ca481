//! Decision on one renewal of a lease record.

use {
    super::{LeaseRecord, RenewalKind, Revision},
    std::time::Duration,
};

/// What a holder knows when it renews its lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRenewal {
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// How the renewal has to be made.
    pub kind: RenewalKind,
    /// Revision that has been sent to the agents; without one no lease is taken.
    pub published: Option<Revision>,
}

/// What is known about the record that a renewal replaces.
#[derive(Clone, Copy, Debug)]
pub enum KnownRecord<'a> {
    /// The record is that of the holder's last renewal.
    Own,
    /// The record was read.
    Read(Option<&'a LeaseRecord>),
}

/// Decision on a renewal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RenewalDecision {
    /// No lease is taken before the head revision has been published.
    Behind,
    /// The record belongs to another incarnation, or was deleted.
    Superseded,
    /// The record is written on the condition that it has not changed.
    Write {
        /// New record.
        record: LeaseRecord,
        /// Whether the write is also conditional on the head.
        at_head: bool,
    },
}

impl LeaseRenewal {
    /// Decides on a renewal after the head was read at `time_ms` of the table's clock.
    pub fn decide(
        &self,
        head: Revision,
        time_ms: u64,
        known: KnownRecord<'_>,
        duration: Duration,
    ) -> RenewalDecision {
        let at_head = self.kind == RenewalKind::Acquire;
        let Some(published) = self
            .published
            .filter(|published| !at_head || *published == head)
        else {
            return RenewalDecision::Behind;
        };
        if self.is_superseded(known, time_ms) {
            return RenewalDecision::Superseded;
        }
        let duration_ms = u64::try_from(duration.as_millis()).unwrap_or_default();
        let record = LeaseRecord {
            incarnation: self.incarnation,
            applied_revision: published,
            expires_ms: time_ms + duration_ms,
        };
        RenewalDecision::Write { record, at_head }
    }

    /// A record of another incarnation may be replaced only after its end: its process may still
    /// be alive and act on the lease. A deleted record ends a held lease, because an acceptance
    /// may not have seen its holder.
    fn is_superseded(&self, known: KnownRecord<'_>, time_ms: u64) -> bool {
        let record = match known {
            KnownRecord::Own => return false,
            KnownRecord::Read(record) => record,
        };
        match (record, self.kind) {
            (None, kind) => kind == RenewalKind::Renew,
            (Some(record), _) if record.incarnation == self.incarnation => false,
            (Some(record), RenewalKind::Acquire) => record.is_live(time_ms),
            (Some(_), RenewalKind::Renew) => true,
        }
    }
}

//! Decision whether and how an entry renews its lease record.

use {
    super::{LeaseRecord, RenewalKind, Revision},
    std::time::Duration,
};

/// State of a lease holder that is about to renew its lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRenewal {
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Kind of the renewal.
    pub kind: RenewalKind,
    /// Newest revision that has been sent to the agents. Without one, the lease can be neither
    /// acquired nor renewed.
    pub published: Option<Revision>,
}

/// Knowledge about the record that a renewal replaces.
#[derive(Clone, Copy, Debug)]
pub enum KnownRecord<'a> {
    /// The record is the one that the holder's last renewal wrote.
    Own,
    /// The record was read from the table; `None` if there is none.
    Read(Option<&'a LeaseRecord>),
}

/// Outcome of [`LeaseRenewal::decide`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RenewalDecision {
    /// The renewal has to wait until a revision, and for a new lease the head revision, has been
    /// published.
    Behind,
    /// The record belongs to another incarnation, or was deleted while the lease was held.
    Superseded,
    /// The record is to be written, on the condition that the old one has not changed.
    Write {
        /// New record.
        record: LeaseRecord,
        /// Whether the write is also conditional on the head revision.
        at_head: bool,
    },
}

impl LeaseRenewal {
    /// Decides on a renewal after the revision `head` was read at `time_ms` of the table's clock.
    /// `duration` is that of the lease.
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

    /// Returns whether the holder must not write the record.
    ///
    /// The record of another incarnation may be replaced only after its lease has expired, because
    /// the process of that incarnation may still be running and rely on it. The deletion of the
    /// record ends a held lease, because a change may have been accepted without this holder.
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

//! Placement lease of a group, kept as an item in the table. Its fencing token rises with each
//! holder, so that agents can refuse the orders of an earlier one.

use {
    super::PlacerParts,
    crate::platform::{
        Result, TableCondition, TableItem, TableOutcome, TableService, TableTransaction, TableWrite,
    },
    sassafrasslip_core::{
        events::LogEvent::PlatformUnavailable,
        ids::{GroupName, InstanceName},
        log_event,
    },
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep, sleep_until},
    },
};

/// Returns the table key of a group's lease.
pub fn lease_key(group: &GroupName) -> String {
    format!("placement/lease/{group}")
}

/// Value of the lease item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Instance that holds the lease.
    pub holder: InstanceName,
    /// Incarnation of the holder's process.
    pub incarnation: u64,
    /// Fencing token, which rises each time the lease is taken.
    pub fencing_token: u64,
    /// Time at which the lease expires by the table's clock, in milliseconds; 0 if it was released.
    pub expires_ms: u64,
}

/// Lease that this agent holds.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    /// Fencing token of all orders under the lease.
    pub fencing_token: u64,
    /// Time at which the lease expires by the local clock. It counts from before the read whose
    /// time the table's expiry counts from, so it never ends later than that.
    pub expires_at: Instant,
}

/// Lease as read from the table.
#[derive(Clone, Debug)]
pub struct LeaseView {
    record: Option<LeaseRecord>,
    /// Whether the item exists but cannot be decoded; its token is unknown then.
    malformed: bool,
    version: u64,
    time_ms: u64,
    read_at: Instant,
}

impl LeaseView {
    /// Returns whether the lease does not exist or has expired. A malformed one does not count as
    /// free.
    pub fn is_free(&self) -> bool {
        let record = self.record.as_ref();
        !self.malformed && record.is_none_or(|record| record.expires_ms <= self.time_ms)
    }
}

/// Client for the placement lease of one group.
pub struct PlacementLease {
    table: Arc<dyn TableService>,
    key: String,
    holder: InstanceName,
    incarnation: u64,
    duration: Duration,
    renewal_interval: Duration,
}

impl PlacementLease {
    /// Creates the client for an agent.
    pub fn new(parts: &PlacerParts) -> Self {
        Self {
            table: parts.table.clone(),
            key: lease_key(&parts.group),
            holder: parts.instance.clone(),
            incarnation: parts.incarnation,
            duration: parts.options.lease_duration,
            renewal_interval: parts.options.renewal_interval,
        }
    }

    /// Reads the lease from the table.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be read.
    pub async fn read(&self) -> Result<LeaseView> {
        let read_at = Instant::now();
        let read = self.table.read(&self.key).await?;
        let record = parse_record(&read.item);
        Ok(LeaseView {
            malformed: record.is_none() && read.item.value.is_some(),
            record,
            version: read.item.version,
            time_ms: read.time_ms,
            read_at,
        })
    }

    /// Takes a lease that is free, or that this process took in an earlier attempt whose answer was
    /// lost. Either way the fencing token rises, so that no two sessions share one. Returns `None`
    /// if another agent holds the lease.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be written; the lease may be taken nevertheless.
    pub async fn take(&self, view: &LeaseView) -> Result<Option<HeldLease>> {
        let record = view.record.as_ref();
        let own = record.is_some_and(|record| self.is_own(record));
        if !view.is_free() && !own {
            return Ok(None);
        }
        let token = record.map_or(0, |record| record.fencing_token);
        self.write(token + 1, view).await
    }

    /// Renews the lease until it is lost, and publishes each new expiry time by the local clock on
    /// `expiry`.
    pub async fn renew_until_lost(&self, mut held: HeldLease, expiry: watch::Sender<Instant>) {
        loop {
            tokio::select! {
                () = sleep_until(held.expires_at) => return,
                () = sleep(self.renewal_interval) => {}
            }
            let renewed = tokio::select! {
                () = sleep_until(held.expires_at) => return,
                renewed = self.renew(&held) => renewed,
            };
            match renewed {
                Ok(Some(next)) => {
                    held = next;
                    expiry.send_replace(held.expires_at);
                }
                Ok(None) => return,
                Err(error) => log_event!(PlatformUnavailable, key = self.key, error = error),
            }
        }
    }

    /// Releases the lease, so that another agent can take it before it expires.
    pub async fn release(&self, token: u64) {
        let Ok(view) = self.read().await else {
            return;
        };
        let held = view.record.as_ref();
        if held.is_some_and(|record| self.is_own(record) && record.fencing_token == token) {
            let transaction = self.transaction(token, view.version, 0);
            let _ = self.table.transact(transaction).await;
        }
    }

    /// Renews the lease at the item version that the table has now, because the answer to an
    /// earlier renewal may have been lost. Returns `None` if the lease is lost.
    async fn renew(&self, held: &HeldLease) -> Result<Option<HeldLease>> {
        let view = self.read().await?;
        let record = view.record.as_ref();
        let own = |record: &LeaseRecord| {
            self.is_own(record) && record.fencing_token == held.fencing_token
        };
        if view.is_free() || !record.is_some_and(own) {
            return Ok(None);
        }
        self.write(held.fencing_token, &view).await
    }

    async fn write(&self, token: u64, view: &LeaseView) -> Result<Option<HeldLease>> {
        let expires_ms = view.time_ms + self.duration.as_millis() as u64;
        let transaction = self.transaction(token, view.version, expires_ms);
        match self.table.transact(transaction).await? {
            TableOutcome::Committed { .. } => Ok(Some(HeldLease {
                fencing_token: token,
                expires_at: view.read_at + self.duration,
            })),
            TableOutcome::Conflict { .. } => Ok(None),
        }
    }

    fn transaction(&self, token: u64, version: u64, expires_ms: u64) -> TableTransaction {
        let record = LeaseRecord {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            fencing_token: token,
            expires_ms,
        };
        let key = self.key.clone();
        TableTransaction {
            conditions: vec![TableCondition {
                key: key.clone(),
                version,
            }],
            writes: vec![TableWrite {
                key,
                value: serde_json::to_string(&record).ok(),
            }],
        }
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.holder && record.incarnation == self.incarnation
    }
}

fn parse_record(item: &TableItem) -> Option<LeaseRecord> {
    let value = item.value.as_deref()?;
    serde_json::from_str(value).ok()
}

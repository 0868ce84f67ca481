//! Placement lease of a group in the table.

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

/// Returns the key of a group's lease.
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
    /// Number that rises with each holder.
    pub fencing_token: u64,
    /// End by the table's clock, in milliseconds.
    pub expires_ms: u64,
}

/// Lease that is held.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    /// Fencing token.
    pub fencing_token: u64,
    /// End by the own clock. It counts from before the read whose time the table's end counts from.
    pub until: Instant,
}

/// Lease as it was read.
#[derive(Clone, Debug)]
pub struct LeaseView {
    record: Option<LeaseRecord>,
    /// Whether the item is there but not readable; its token is unknown then.
    malformed: bool,
    version: u64,
    time_ms: u64,
    read_at: Instant,
}

impl LeaseView {
    /// Returns whether nobody holds the lease.
    pub fn is_free(&self) -> bool {
        let record = self.record.as_ref();
        !self.malformed && record.is_none_or(|record| record.expires_ms <= self.time_ms)
    }
}

/// Access to the lease of one group.
pub struct PlacementLease {
    table: Arc<dyn TableService>,
    key: String,
    holder: InstanceName,
    incarnation: u64,
    duration: Duration,
    renewal_interval: Duration,
}

impl PlacementLease {
    /// Creates the access for an agent.
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

    /// Reads the lease.
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

    /// Takes a lease that is free, or that this process took before although the answer was lost.
    /// Either way the fencing token rises, so that no two sessions share one. Returns `None` if
    /// another agent has the lease.
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

    /// Renews the lease until it is lost. `until` carries its end by the own clock.
    pub async fn keep(&self, mut held: HeldLease, until: watch::Sender<Instant>) {
        loop {
            tokio::select! {
                () = sleep_until(held.until) => return,
                () = sleep(self.renewal_interval) => {}
            }
            let renewed = tokio::select! {
                () = sleep_until(held.until) => return,
                renewed = self.renew(&held) => renewed,
            };
            match renewed {
                Ok(Some(next)) => {
                    held = next;
                    until.send_replace(held.until);
                }
                Ok(None) => return,
                Err(error) => log_event!(PlatformUnavailable, key = self.key, error = error),
            }
        }
    }

    /// Gives the lease up, so that another holder need not wait for its end.
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

    /// Renews under the version that the table has now, because the answer to an earlier renewal
    /// may have been lost.
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
                until: view.read_at + self.duration,
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

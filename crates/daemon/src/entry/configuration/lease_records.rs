//! Lease records in the platform's table.

use {
    super::store::{
        ConfigurationStore, MalformedItem, Result, StoreError, decode, decode_optional, malformed,
    },
    crate::platform::{TableCondition, TableOutcome, TableTransaction, TableWrite},
    error_stack::{Report, ResultExt},
    sassafrasslip_core::{
        configuration::{
            LeaseObservation, LeaseRecord,
            keys::{HEAD_KEY, LEASE_PREFIX, lease_key},
        },
        ids::InstanceName,
    },
    std::result,
};

/// Lease record with the version of its item.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredLease {
    /// Version; 0 if there is no record.
    pub version: u64,
    /// Record.
    pub record: Option<LeaseRecord>,
}

impl ConfigurationStore {
    /// Reads the lease records of all entries, with the versions of their items.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer or a record is malformed.
    pub async fn read_leases(&self) -> Result<Vec<(LeaseObservation, u64)>> {
        let items = self.scan_all(LEASE_PREFIX).await;
        let items = items.change_context(StoreError::ReadLeases)?;
        let leases = items.iter().map(|(item, time_ms)| {
            let instance = item.key.trim_start_matches(LEASE_PREFIX).parse();
            let instance = instance.map_err(|error| malformed(&item.key, error))?;
            let observation = LeaseObservation {
                instance,
                record: decode(item)?,
                time_ms: *time_ms,
            };
            Ok((observation, item.version))
        });
        leases
            .collect::<result::Result<_, Report<MalformedItem>>>()
            .change_context(StoreError::ReadLeases)
    }

    /// Reads the lease record of an entry.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer or the record is malformed.
    pub async fn read_lease(&self, instance: &InstanceName) -> Result<StoredLease> {
        let read = self.table.read(&lease_key(instance)).await;
        let read = read.change_context(StoreError::ReadLeases)?;
        let record = decode_optional(&read.item).change_context(StoreError::ReadLeases)?;
        Ok(StoredLease {
            version: read.item.version,
            record,
        })
    }

    /// Writes a lease record, or deletes it if there is none, on the condition that it has
    /// `version` and, if given, that the head has `head_version`. Returns the new version, or
    /// `None` if a condition did not hold.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer; the write may have taken effect all the same.
    pub async fn write_lease(
        &self,
        instance: &InstanceName,
        lease: &StoredLease,
        head_version: Option<u64>,
    ) -> Result<Option<u64>> {
        let key = lease_key(instance);
        let head = head_version.map(|version| TableCondition {
            key: HEAD_KEY.to_owned(),
            version,
        });
        let version = lease.version;
        let own = TableCondition {
            key: key.clone(),
            version,
        };
        let value = lease.record.as_ref().map(encode_lease);
        let transaction = TableTransaction {
            conditions: head.into_iter().chain([own]).collect(),
            writes: vec![TableWrite { key, value }],
        };
        let outcome = self.table.transact(transaction).await;
        match outcome.change_context(StoreError::WriteLease)? {
            TableOutcome::Committed { version, .. } => Ok(Some(version)),
            TableOutcome::Conflict { .. } => Ok(None),
        }
    }
}

fn encode_lease(record: &LeaseRecord) -> String {
    serde_json::to_string(record).unwrap_or_default()
}

//! Reads and writes the entries' lease records in the platform's table.

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

/// Lease record as stored in the table.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredLease {
    /// Version of the table item; 0 if there is no record.
    pub version: u64,
    /// Decoded record; `None` if the item is absent.
    pub record: Option<LeaseRecord>,
}

impl ConfigurationStore {
    /// Reads the lease records of all entries. Each comes with the version of its table item.
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

    /// Writes the lease record of an entry, or deletes it if `lease.record` is `None`.
    ///
    /// The write is conditional: the stored record must have the version in `lease`, and the head
    /// must have `head_version` if that is given. Returns the new version, or `None` if a condition
    /// did not hold.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer; the write may have taken effect nevertheless.
    pub async fn write_lease(
        &self,
        instance: &InstanceName,
        lease: &StoredLease,
        head_version: Option<u64>,
    ) -> Result<Option<u64>> {
        let key = lease_key(instance);
        let head_condition = head_version.map(|version| TableCondition {
            key: HEAD_KEY.to_owned(),
            version,
        });
        let version = lease.version;
        let lease_condition = TableCondition {
            key: key.clone(),
            version,
        };
        let value = lease.record.as_ref().map(encode_lease);
        let transaction = TableTransaction {
            conditions: head_condition
                .into_iter()
                .chain([lease_condition])
                .collect(),
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

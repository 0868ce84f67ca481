//! Reads and writes the configuration, its history and its head revision in the platform's table.

use {
    crate::{
        constants::TABLE_PAGE_ITEMS,
        platform::{
            PlatformError, TableCondition, TableItem, TableOutcome, TableService, TableTransaction,
            TableWrite,
        },
    },
    error_stack::{Report, ResultExt},
    sassafrasslip_core::{
        configuration::{
            ChangePlan, ConfigurationState, HistoryRecord, Revision, StoredItem,
            keys::{CHANGE_PREFIX, HEAD_KEY, ITEM_PREFIX, change_id_key, change_key},
        },
        ids::ChangeName,
    },
    serde::de::DeserializeOwned,
    std::{error::Error, fmt, result, sync::Arc},
};

/// Result of a table operation.
pub type Result<T> = result::Result<T, Report<StoreError>>;

/// Number of scans of the items, each followed by a read of the head, before a read is given up
/// because the head has changed during each of them.
const SCAN_ATTEMPTS: usize = 5;

/// Table operation that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// Reading the head revision.
    ReadHead,
    /// Reading the items.
    ReadItems,
    /// Reading a change.
    ReadChange,
    /// Reading the lease records.
    ReadLeases,
    /// Writing a lease record.
    WriteLease,
    /// Committing a change.
    Commit,
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Commit => "cannot commit the change",
            Self::ReadChange => "cannot read the change",
            Self::ReadHead => "cannot read the head revision",
            Self::ReadItems => "cannot read the configuration items",
            Self::ReadLeases => "cannot read the lease records",
            Self::WriteLease => "cannot write the lease record",
        })
    }
}

impl Error for StoreError {}

/// Error for a table item whose key or value cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct MalformedItem {
    key: String,
    fault: String,
}

impl fmt::Display for MalformedItem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "table item `{}`: {}", self.key, self.fault)
    }
}

impl Error for MalformedItem {}

/// Error for a read of all items that is given up because the head changed during every scan.
#[derive(Clone, Copy, Debug)]
struct HeadUnstable;

impl fmt::Display for HeadUnstable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the head revision changed during each scan")
    }
}

impl Error for HeadUnstable {}

/// Head item of the configuration as the table returned it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadRead {
    /// Version of the head item; 0 if no change has ever been committed.
    pub version: u64,
    /// Revision of the newest committed change; 0 if there has never been one.
    pub revision: Revision,
    /// Time of the table's clock at the read, in milliseconds.
    pub time_ms: u64,
}

/// Client for the configuration in the table. Clones share the table service.
#[derive(Clone)]
pub struct ConfigurationStore {
    pub(super) table: Arc<dyn TableService>,
}

impl fmt::Debug for ConfigurationStore {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ConfigurationStore")
    }
}

impl ConfigurationStore {
    /// Creates a store on a table.
    pub fn new(table: Arc<dyn TableService>) -> Self {
        Self { table }
    }

    /// Reads the head item, which holds the newest revision.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer or the head is malformed.
    pub async fn read_head(&self) -> Result<HeadRead> {
        let read = self.table.read(HEAD_KEY).await;
        let read = read.change_context(StoreError::ReadHead)?;
        let revision = decode_optional(&read.item).change_context(StoreError::ReadHead)?;
        Ok(HeadRead {
            version: read.item.version,
            revision: revision.unwrap_or_default(),
            time_ms: read.time_ms,
        })
    }

    /// Reads all configuration items as they are at one head revision.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer, an item is malformed, or the head changes during
    /// every one of the [`SCAN_ATTEMPTS`] scans.
    pub async fn read_state(&self) -> Result<ConfigurationState> {
        let mut before = self.read_head().await?;
        for _ in 0..SCAN_ATTEMPTS {
            let mut state = self.scan_items().await?;
            // The pages of a scan are read at different times. Every change also writes the head,
            // so an unchanged head means that all pages belong to one revision.
            let after = self.read_head().await?;
            if before.version == after.version {
                state.head_version = after.version;
                state.snapshot.revision = after.revision;
                state.time_ms = after.time_ms;
                return Ok(state);
            }
            before = after;
        }
        Err(Report::new(HeadUnstable).change_context(StoreError::ReadItems))
    }

    async fn scan_items(&self) -> Result<ConfigurationState> {
        let mut state = ConfigurationState::default();
        let items = self.scan_all(ITEM_PREFIX).await;
        for (item, _) in items.change_context(StoreError::ReadItems)? {
            let TableItem {
                key,
                version,
                value: Some(value),
            } = item
            else {
                continue;
            };
            let added = state.add(StoredItem {
                key: &key,
                version,
                value: &value,
            });
            added.change_context(StoreError::ReadItems)?;
        }
        Ok(state)
    }

    /// Reads all items whose keys start with `prefix`, in key order. Each comes with the time of
    /// the table's clock, in milliseconds, at which its page was read.
    pub(super) async fn scan_all(
        &self,
        prefix: &str,
    ) -> result::Result<Vec<(TableItem, u64)>, Report<PlatformError>> {
        let mut items = Vec::new();
        let mut after = String::new();
        loop {
            let scan = self.table.scan(prefix, &after, TABLE_PAGE_ITEMS).await?;
            let time_ms = scan.time_ms;
            items.extend(scan.items.into_iter().map(|item| (item, time_ms)));
            match items.last() {
                Some((last, _)) if scan.more => last.key.clone_into(&mut after),
                _ => return Ok(items),
            }
        }
    }

    /// Reads the history record of the change with this identifier; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer or a record is malformed.
    pub async fn read_change(&self, change_id: &ChangeName) -> Result<Option<HistoryRecord>> {
        let index = self.table.read(&change_id_key(change_id)).await;
        let index = index.change_context(StoreError::ReadChange)?;
        let revision = decode_optional::<Revision>(&index.item);
        let Some(revision) = revision.change_context(StoreError::ReadChange)? else {
            return Ok(None);
        };
        let read = self.table.read(&change_key(revision)).await;
        let read = read.change_context(StoreError::ReadChange)?;
        decode_optional(&read.item).change_context(StoreError::ReadChange)
    }

    /// Reads the history records of the newest `limit` changes, newest first.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer or a record is malformed.
    pub async fn read_history(&self, limit: u64) -> Result<Vec<HistoryRecord>> {
        let head = self.read_head().await?;
        // Revisions have no gaps, so the key before the oldest requested record can be computed.
        let after = change_key(head.revision.saturating_sub(limit));
        let page = usize::try_from(limit).unwrap_or(TABLE_PAGE_ITEMS);
        let scan = self.table.scan(CHANGE_PREFIX, &after, page).await;
        let scan = scan.change_context(StoreError::ReadChange)?;
        let records = scan.items.iter().rev().map(decode);
        records
            .collect::<result::Result<_, _>>()
            .change_context(StoreError::ReadChange)
    }

    /// Runs the transaction of a change. Returns whether it was committed; it is not if one of its
    /// conditions does not hold.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer; the change may have taken effect nevertheless.
    pub async fn commit(&self, plan: &ChangePlan) -> Result<bool> {
        let conditions = plan.conditions.iter().map(|condition| TableCondition {
            key: condition.key.clone(),
            version: condition.version,
        });
        let writes = plan.writes.iter().map(|write| TableWrite {
            key: write.key.clone(),
            value: write.value.clone(),
        });
        let transaction = TableTransaction {
            conditions: conditions.collect(),
            writes: writes.collect(),
        };
        let outcome = self.table.transact(transaction).await;
        let outcome = outcome.change_context(StoreError::Commit)?;
        Ok(matches!(outcome, TableOutcome::Committed { .. }))
    }
}

pub(super) fn malformed(key: &str, fault: impl ToString) -> Report<MalformedItem> {
    Report::new(MalformedItem {
        key: key.to_owned(),
        fault: fault.to_string(),
    })
}

pub(super) fn decode<T: DeserializeOwned>(
    item: &TableItem,
) -> result::Result<T, Report<MalformedItem>> {
    decode_optional(item)?.ok_or_else(|| malformed(&item.key, "the item is absent"))
}

pub(super) fn decode_optional<T: DeserializeOwned>(
    item: &TableItem,
) -> result::Result<Option<T>, Report<MalformedItem>> {
    let value = item.value.as_deref().map(serde_json::from_str);
    value
        .transpose()
        .map_err(|error| malformed(&item.key, error))
}

//! In-memory table with conditional transactions, as the platform's table service provides them.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        ops::Bound,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Largest number of items that one scan returns.
const MAX_SCAN_ITEMS: usize = 1_000;

/// State of an item; an absent item has version 0 and no value.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableItem {
    /// Key of the item.
    pub key: String,
    /// Version of the transaction that last wrote the item; 0 if the item is absent.
    pub version: u64,
    /// Value of the item; `None` if the item is absent.
    pub value: Option<String>,
}

/// Condition of a transaction: an item has an expected version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableCondition {
    /// Key of the item.
    pub key: String,
    /// Expected version of the item; 0 if it is expected to be absent.
    pub version: u64,
}

/// Write of a transaction, which sets or deletes an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableWrite {
    /// Key of the item.
    pub key: String,
    /// New value; `None` (JSON null) deletes the item.
    pub value: Option<String>,
}

/// Body of `POST /v1/table/transact`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TransactBody {
    /// Conditions that must all hold for the transaction to commit.
    pub conditions: Vec<TableCondition>,
    /// Writes that take effect together if the transaction commits.
    pub writes: Vec<TableWrite>,
}

/// Body of `POST /v1/table/scan`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ScanBody {
    /// Prefix of the keys to return.
    pub prefix: String,
    /// Key after which the page starts; empty for the first page.
    pub after: String,
    /// Largest number of items to return; 0 and values above `MAX_SCAN_ITEMS` stand for that limit.
    pub limit: usize,
}

/// Body of the answer to a scan: one page of items.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ScanAnswer {
    /// Items of the page, in the order of their keys.
    pub items: Vec<TableItem>,
    /// Whether more items with the prefix follow this page.
    pub more: bool,
    /// Time of the table's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Table with one version counter for all keys, which rises with every committed transaction.
#[derive(Debug, Default)]
pub struct TableStore {
    items: BTreeMap<String, (u64, String)>,
    version: u64,
}

impl TableStore {
    /// Returns the state of an item, also if it is absent.
    pub fn read(&self, key: &str) -> TableItem {
        let key = key.to_owned();
        match self.items.get(&key) {
            Some((version, value)) => TableItem {
                key,
                version: *version,
                value: Some(value.clone()),
            },
            None => TableItem {
                key,
                ..TableItem::default()
            },
        }
    }

    /// Runs a transaction and returns the version that its writes received.
    ///
    /// # Errors
    ///
    /// Fails with the current state of the items whose conditions do not hold.
    pub fn transact(&mut self, body: TransactBody) -> Result<u64, Vec<TableItem>> {
        let conflicts: Vec<_> = body
            .conditions
            .iter()
            .map(|condition| (condition.version, self.read(&condition.key)))
            .filter(|(expected, item)| *expected != item.version)
            .map(|(_, item)| item)
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.version += 1;
        for TableWrite { key, value } in body.writes {
            match value {
                Some(value) => self.items.insert(key, (self.version, value)),
                None => self.items.remove(&key),
            };
        }
        Ok(self.version)
    }

    /// Returns one page of the items with a prefix.
    pub fn scan(&self, body: &ScanBody) -> ScanAnswer {
        let limit = match body.limit {
            0 => MAX_SCAN_ITEMS,
            limit => limit.min(MAX_SCAN_ITEMS),
        };
        let start = if body.after >= body.prefix {
            Bound::Excluded(&body.after)
        } else {
            Bound::Included(&body.prefix)
        };
        let range = self.items.range::<String, _>((start, Bound::Unbounded));
        let mut keys = range
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(&body.prefix));
        let items = keys.by_ref().take(limit).map(|key| self.read(key));
        ScanAnswer {
            items: items.collect(),
            more: keys.next().is_some(),
            time_ms: table_time(),
        }
    }
}

/// Returns the time of the table's clock, in milliseconds since the Unix epoch.
pub fn table_time() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        elapsed.as_millis().try_into().unwrap_or(u64::MAX)
    })
}

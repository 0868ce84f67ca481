//! Transactional table in memory.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        ops::Bound,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Largest page of a scan.
const MAX_SCAN_ITEMS: usize = 1_000;

/// Item with its state; version 0 and no value if it is absent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableItem {
    /// Key.
    pub key: String,
    /// Version of the transaction that wrote the item.
    pub version: u64,
    /// Value.
    pub value: Option<String>,
}

/// Condition of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableCondition {
    /// Key.
    pub key: String,
    /// Expected version; 0 for an absent item.
    pub version: u64,
}

/// Write of a transaction; a null value deletes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableWrite {
    /// Key.
    pub key: String,
    /// New value.
    pub value: Option<String>,
}

/// Body of `POST /v1/table/transact`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TransactBody {
    /// Conditions that all have to hold.
    pub conditions: Vec<TableCondition>,
    /// Writes that take effect together.
    pub writes: Vec<TableWrite>,
}

/// Body of `POST /v1/table/scan`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ScanBody {
    /// Start of the keys.
    pub prefix: String,
    /// Only keys behind this one.
    pub after: String,
    /// Largest number of items.
    pub limit: usize,
}

/// Items of a scan.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ScanAnswer {
    /// Items in the order of their keys.
    pub items: Vec<TableItem>,
    /// Whether more items follow.
    pub more: bool,
    /// Time of the table's clock, in milliseconds.
    pub time_ms: u64,
}

/// Table whose versions rise over all keys.
#[derive(Debug, Default)]
pub struct TableStore {
    items: BTreeMap<String, (u64, String)>,
    version: u64,
}

impl TableStore {
    /// Reads an item.
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

    /// Runs a transaction; returns the version, or the items whose conditions failed.
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

    /// Reads one page of the items with a prefix.
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

/// Returns the time of the table's clock, in milliseconds.
pub fn table_time() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        elapsed.as_millis().try_into().unwrap_or(u64::MAX)
    })
}

//! Configuration as it stands in the table, with the versions that a change is conditional on.

use {
    super::{
        ConfigurationItem, ConfigurationSnapshot, PolicyException, Revision, SettingKey,
        keys::{DEFAULT_PREFIX, EXCEPTION_PREFIX},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, error::Error, fmt, result},
};

/// Result of decoding the table's content.
pub type Result<T> = result::Result<T, StateError>;

/// Item of the table that cannot be understood.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateError {
    /// Key of the item.
    pub key: String,
    /// What is wrong.
    pub fault: String,
}

impl fmt::Display for StateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "table item `{}`: {}", self.key, self.fault)
    }
}

impl Error for StateError {}

/// Item of the table.
#[derive(Clone, Copy, Debug)]
pub struct StoredItem<'a> {
    /// Key.
    pub key: &'a str,
    /// Version; 0 if the item is absent.
    pub version: u64,
    /// Value.
    pub value: &'a str,
}

/// Exception as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredException {
    /// Exception.
    #[serde(flatten)]
    pub exception: PolicyException,
    /// Revision at which it was added.
    pub revision: Revision,
}

/// All items at one revision of the head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigurationState {
    /// Version of the head item; 0 if no change was ever made.
    pub head_version: u64,
    /// Defaults and exceptions.
    pub snapshot: ConfigurationSnapshot,
    /// Versions of the items by table key.
    pub versions: BTreeMap<String, u64>,
    /// Time of the table's clock when the state was read, in milliseconds.
    pub time_ms: u64,
}

impl ConfigurationState {
    /// Adds an item that was read.
    ///
    /// # Errors
    ///
    /// Fails on an unknown key or a malformed value. A revision with such an item is not applied:
    /// to leave the item out would silently drop an operator's decision.
    pub fn add(&mut self, item: StoredItem<'_>) -> Result<()> {
        let fail = |fault: String| StateError {
            key: item.key.to_owned(),
            fault,
        };
        if let Some(name) = item.key.strip_prefix(DEFAULT_PREFIX) {
            let key: SettingKey = name
                .parse()
                .map_err(|error: super::ValueError| fail(error.to_string()))?;
            let default: ConfigurationItem =
                serde_json::from_str(item.value).map_err(|error| fail(error.to_string()))?;
            self.snapshot.defaults.insert(key, default);
        } else if item.key.starts_with(EXCEPTION_PREFIX) {
            let stored: StoredException =
                serde_json::from_str(item.value).map_err(|error| fail(error.to_string()))?;
            self.add_exception(stored);
        } else {
            return Err(fail("unknown kind of item".to_owned()));
        }
        self.versions.insert(item.key.to_owned(), item.version);
        Ok(())
    }

    fn add_exception(&mut self, stored: StoredException) {
        let StoredException {
            exception,
            revision,
        } = stored;
        let id = exception.id.clone();
        self.snapshot
            .exception_revisions
            .insert(id.clone(), revision);
        self.snapshot.exceptions.insert(id, exception);
    }

    /// Returns the version of an item; 0 if it is absent.
    pub fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or_default()
    }
}

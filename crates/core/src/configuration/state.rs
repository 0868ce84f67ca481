//! Configuration as read from the table, with the item versions on which changes are conditional.

use {
    super::{
        ConfigurationItem, ConfigurationSnapshot, PolicyException, Revision, SettingKey,
        keys::{DEFAULT_PREFIX, EXCEPTION_PREFIX},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, error::Error, fmt, result},
};

/// Result of decoding an item of the table.
pub type Result<T> = result::Result<T, StateError>;

/// Table item that cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateError {
    /// Table key of the item.
    pub key: String,
    /// Description of the error.
    pub fault: String,
}

impl fmt::Display for StateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "table item `{}`: {}", self.key, self.fault)
    }
}

impl Error for StateError {}

/// Configuration item as read from the table.
#[derive(Clone, Copy, Debug)]
pub struct StoredItem<'a> {
    /// Table key of the item.
    pub key: &'a str,
    /// Version of the item; 0 if it is absent.
    pub version: u64,
    /// Value of the item, as JSON.
    pub value: &'a str,
}

/// Exception as stored in the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredException {
    /// The exception itself.
    #[serde(flatten)]
    pub exception: PolicyException,
    /// Revision at which the exception was added.
    pub revision: Revision,
}

/// Configuration and its table versions at one head revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigurationState {
    /// Version of the head item; 0 if no change has been made yet.
    pub head_version: u64,
    /// Defaults and exceptions of the revision.
    pub snapshot: ConfigurationSnapshot,
    /// Version of each item, by table key.
    pub versions: BTreeMap<String, u64>,
    /// Time of the table's clock when the state was read, in milliseconds.
    pub time_ms: u64,
}

impl ConfigurationState {
    /// Decodes an item that was read from the table and adds it to the snapshot.
    ///
    /// # Errors
    ///
    /// Fails on an unknown key and on a malformed value. A revision with such an item must not be
    /// applied, because leaving out the item would silently discard an operator's decision.
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

    /// Returns the version of the item with this table key; 0 if it is absent.
    pub fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or_default()
    }
}

//! Messages of the operator API about the configuration, shared by entries and the client.

use {
    super::{HistoryRecord, PolicyException, Revision, SettingKey},
    crate::ids::{ChangeName, InstanceName},
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// Default, as `GET /v1/defaults` lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DefaultEntry {
    /// Key.
    pub key: SettingKey,
    /// Value in force, with its unit.
    pub value: String,
    /// Revision at which it was set; 0 if it never was.
    pub revision: Revision,
    /// Value of the catalogue.
    pub initial: String,
    /// Unit and range.
    pub range: String,
    /// What the setting does.
    pub help: String,
}

/// Answer of `GET /v1/defaults`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DefaultsReport {
    /// Revision in force at the entry.
    pub revision: Revision,
    /// Whether the entry is in cut-off mode, so that the revision may be old.
    pub cut_off: bool,
    /// Defaults in the order of the catalogue.
    pub defaults: Vec<DefaultEntry>,
}

/// Exception, as `GET /v1/exceptions` lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExceptionEntry {
    /// Exception.
    #[serde(flatten)]
    pub exception: PolicyException,
    /// Revision at which it was added.
    pub revision: Revision,
}

/// Answer of `GET /v1/exceptions`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExceptionsReport {
    /// Revision in force at the entry.
    pub revision: Revision,
    /// Whether the entry is in cut-off mode, so that the revision may be old.
    pub cut_off: bool,
    /// Exceptions by identifier.
    pub exceptions: Vec<ExceptionEntry>,
}

/// Answer of `GET /v1/history`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryReport {
    /// Changes, newest first.
    pub changes: Vec<HistoryRecord>,
}

/// Answer to a change that was committed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeReport {
    /// Change identifier.
    pub change_id: ChangeName,
    /// Revision that the change made.
    pub revision: Revision,
    /// Item, such as `default/retry.budget`.
    pub item: String,
    /// Value before the change; null if the item was absent.
    pub before: Value,
    /// Value after the change; null if the item was removed.
    pub after: Value,
    /// Whether the identifier was used before, so that this is the first result again.
    pub repeated: bool,
    /// Whether every entry with a live lease has applied the revision.
    pub accepted: bool,
    /// Entries with a live lease that have not applied it yet.
    pub pending: Vec<InstanceName>,
    /// Entries without a live lease, which serve by the `cut_off.*` defaults.
    pub cut_off: Vec<InstanceName>,
}

/// Answer of `POST /v1/drain/<instance>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// Target instance.
    pub target: InstanceName,
    /// Whether the target takes no new work.
    pub draining: bool,
}

/// Body of an error answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorReport {
    /// Error.
    pub error: ErrorBody,
}

/// Error of the operator API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Code for programs, such as `conflict`.
    pub code: String,
    /// Text for people; names the field that is wrong.
    pub message: String,
    /// Current value on a conflict, or the change on a missing confirmation; else null.
    #[serde(default)]
    pub current: Value,
}

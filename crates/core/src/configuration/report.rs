//! Response bodies of the operator API, shared by entries and the command-line client.

use {
    super::{HistoryRecord, PolicyException, Revision, SettingKey},
    crate::ids::{ChangeName, InstanceName},
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// Fleet-wide default, as listed by `GET /v1/defaults`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DefaultEntry {
    /// Key of the setting.
    pub key: SettingKey,
    /// Default in force, with its unit.
    pub value: String,
    /// Revision at which an operator last set the default; 0 if none did.
    pub revision: Revision,
    /// Default that applies until an operator sets another, with its unit.
    pub initial: String,
    /// Unit and range of the value.
    pub range: String,
    /// Description of the setting.
    pub help: String,
}

/// Response to `GET /v1/defaults`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DefaultsReport {
    /// Revision in force at the entry.
    pub revision: Revision,
    /// Whether the entry is in cut-off mode, so that the revision may be old.
    pub cut_off: bool,
    /// Defaults of all settings, in the order of the catalogue.
    pub defaults: Vec<DefaultEntry>,
}

/// Exception, as listed by `GET /v1/exceptions`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExceptionEntry {
    /// The exception itself.
    #[serde(flatten)]
    pub exception: PolicyException,
    /// Revision at which the exception was added.
    pub revision: Revision,
}

/// Response to `GET /v1/exceptions`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExceptionsReport {
    /// Revision in force at the entry.
    pub revision: Revision,
    /// Whether the entry is in cut-off mode, so that the revision may be old.
    pub cut_off: bool,
    /// All exceptions, ordered by identifier.
    pub exceptions: Vec<ExceptionEntry>,
}

/// Response to `GET /v1/history`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryReport {
    /// History records, newest first.
    pub changes: Vec<HistoryRecord>,
}

/// Response to a change that was committed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeReport {
    /// Identifier of the change.
    pub change_id: ChangeName,
    /// Revision that the change created.
    pub revision: Revision,
    /// Name of the changed item, such as `default/retry.budget`.
    pub item: String,
    /// Value before the change; null if the item was absent.
    pub before: Value,
    /// Value after the change; null if the item was removed.
    pub after: Value,
    /// Whether the change was already made by an earlier request with the same identifier, whose
    /// result this is.
    pub repeated: bool,
    /// Whether every entry with a live lease has applied the revision.
    pub accepted: bool,
    /// Entries with a live lease that have not applied it yet.
    pub pending: Vec<InstanceName>,
    /// Entries without a live lease, which are in cut-off mode and follow the `cut_off.*` settings.
    pub cut_off: Vec<InstanceName>,
}

/// Response to `POST /v1/drain/<instance>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// Target instance.
    pub target: InstanceName,
    /// Whether the target is draining and takes no new requests.
    pub draining: bool,
}

/// Body of an error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorReport {
    /// Details of the error.
    pub error: ErrorBody,
}

/// Error of the operator API.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// Machine-readable code, such as `conflict`.
    pub code: String,
    /// Human-readable message, which names the invalid field.
    pub message: String,
    /// Current value after a conflict, or the change if its confirmation is missing; else null.
    #[serde(default)]
    pub current: Value,
}

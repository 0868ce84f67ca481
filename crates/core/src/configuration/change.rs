//! Validation of the configuration changes that operators request, and their conflicts.

use {
    super::{
        ConfigurationSnapshot, ExceptionScope, Revision, SettingKey,
        keys::{default_key, exception_key},
    },
    crate::ids::{ChangeName, ExceptionName, OperatorName},
    serde::Serialize,
    serde_json::Value,
    std::{error::Error, fmt, result},
};

/// Result of planning a change.
pub type Result<T> = result::Result<T, ChangeRefusal>;

/// Maximum length of a reason, in bytes.
pub const MAX_REASON_BYTES: usize = 2_000;

/// Operation of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeAction {
    /// Sets a fleet-wide default.
    SetDefault {
        /// Key of the setting.
        key: SettingKey,
        /// New value as text.
        value: String,
    },
    /// Adds an exception.
    AddException {
        /// Identifier of the exception, which must not be in use.
        id: ExceptionName,
        /// What the exception applies to.
        scope: ExceptionScope,
        /// Key of the setting that it overrides.
        key: SettingKey,
        /// Overriding value as text.
        value: String,
    },
    /// Removes an exception.
    RemoveException {
        /// Identifier of the exception.
        id: ExceptionName,
    },
}

/// Change that an operator requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeRequest {
    /// Identifier chosen by the client. A request that repeats it gets the result of the first one.
    pub change_id: ChangeName,
    /// Operator who is responsible for the change.
    pub operator: OperatorName,
    /// Reason for the change; required for a new exception.
    pub reason: String,
    /// Revision of the item that the operator has seen; 0 if the item was absent. If it is `None`,
    /// the change is conditional on the item's revision at the entry when the request arrived.
    pub expected_revision: Option<Revision>,
    /// Operation to perform.
    pub action: ChangeAction,
}

/// Error in a field of a change request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeFault {
    /// Name of the field.
    pub field: &'static str,
    /// Description of the error.
    pub fault: String,
}

impl fmt::Display for ChangeFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "field `{}`: {}", self.field, self.fault)
    }
}

impl Error for ChangeFault {}

/// Reason why a valid change cannot be applied to the current configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeRefusal {
    /// The change identifier was already used for another change.
    ChangeIdReused {
        /// Change that was made with the identifier.
        current: Value,
    },
    /// The item is not at the revision that the operator expected.
    Conflict {
        /// Name of the item, such as `default/retry.budget`.
        item: String,
        /// Current revision of the item; 0 if it is absent.
        revision: Revision,
        /// Current value of the item; null if it is absent.
        current: Value,
    },
    /// The exception to remove does not exist.
    NotFound {
        /// Name of the item, such as `exception/night-shift`.
        item: String,
    },
    /// Another exception has the same scope and key.
    ScopeInUse {
        /// The other exception.
        current: Value,
    },
}

impl fmt::Display for ChangeRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ChangeIdReused { .. } => {
                formatter.write_str("field `change_id`: the identifier belongs to another change")
            }
            Self::Conflict { item, revision, .. } => write!(
                formatter,
                "field `expected_revision`: `{item}` was changed and is now at revision {revision}"
            ),
            Self::NotFound { item } => write!(formatter, "field `id`: there is no `{item}`"),
            Self::ScopeInUse { .. } => {
                formatter.write_str("field `scope`: another exception has the same scope and key")
            }
        }
    }
}

impl Error for ChangeRefusal {}

impl ChangeAction {
    /// Returns the table key of the item that the action changes.
    pub fn item_key(&self) -> String {
        match self {
            Self::AddException { id, .. } | Self::RemoveException { id } => exception_key(id),
            Self::SetDefault { key, .. } => default_key(*key),
        }
    }

    /// Returns the name of the item that the action changes, such as `default/retry.budget`.
    pub fn item(&self) -> String {
        match self {
            Self::AddException { id, .. } | Self::RemoveException { id } => {
                format!("exception/{id}")
            }
            Self::SetDefault { key, .. } => format!("default/{key}"),
        }
    }
}

impl ChangeRequest {
    /// Checks everything that does not depend on the current configuration, and normalizes the
    /// value to its text with the unit.
    ///
    /// # Errors
    ///
    /// Fails on a value that is not valid for the key, on a reason longer than
    /// [`MAX_REASON_BYTES`], and on a new exception without a reason.
    pub fn validate(mut self) -> result::Result<Self, ChangeFault> {
        let fail = |field: &'static str, fault: String| Err(ChangeFault { field, fault });
        if self.reason.len() > MAX_REASON_BYTES {
            return fail("reason", format!("longer than {MAX_REASON_BYTES} bytes"));
        }
        let is_addition = matches!(self.action, ChangeAction::AddException { .. });
        if is_addition && self.reason.trim().is_empty() {
            return fail("reason", "an exception needs a written reason".to_owned());
        }
        let (ChangeAction::SetDefault { key, value }
        | ChangeAction::AddException { key, value, .. }) = &mut self.action
        else {
            return Ok(self);
        };
        match key.parse_value(value) {
            Ok(parsed) => *value = key.format_value(parsed),
            Err(error) => return fail("value", error.to_string()),
        }
        Ok(self)
    }

    /// Sets the expected revision to the item's revision in `snapshot` if the request names none.
    ///
    /// Then neither a concurrent change nor a retry after the head revision has changed can
    /// overwrite a change that the operator has not seen.
    pub fn pin_revision(&mut self, snapshot: &ConfigurationSnapshot) {
        let current = snapshot.item_revision(&self.action);
        self.expected_revision.get_or_insert(current);
    }
}

impl ConfigurationSnapshot {
    /// Returns the revision of the item that an action changes; 0 if the item is absent.
    pub fn item_revision(&self, action: &ChangeAction) -> Revision {
        let revision = match action {
            ChangeAction::AddException { id, .. } | ChangeAction::RemoveException { id } => {
                self.exception_revisions.get(id).copied()
            }
            ChangeAction::SetDefault { key, .. } => {
                self.defaults.get(key).map(|item| item.revision)
            }
        };
        revision.unwrap_or_default()
    }

    /// Returns the value of the item that an action changes; null if the item is absent.
    pub fn item_value(&self, action: &ChangeAction) -> Value {
        match action {
            ChangeAction::AddException { id, .. } | ChangeAction::RemoveException { id } => {
                to_value(&self.exceptions.get(id))
            }
            ChangeAction::SetDefault { key, .. } => {
                to_value(&self.defaults.get(key).map(|item| &item.value))
            }
        }
    }

    /// Returns the refusal of an action whose expected revision is not that in this snapshot.
    pub fn conflict(&self, action: &ChangeAction) -> ChangeRefusal {
        ChangeRefusal::Conflict {
            item: action.item(),
            revision: self.item_revision(action),
            current: self.item_value(action),
        }
    }
}

pub(super) fn to_value<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

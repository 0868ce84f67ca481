//! Changes to the configuration: validation, conflicts, and the transaction of a change.

use {
    super::{
        ConfigurationItem, ConfigurationSnapshot, ConfigurationState, ExceptionScope,
        PolicyException, Revision, SettingKey,
        keys::{HEAD_KEY, change_id_key, change_key, default_key, exception_key},
        state::StoredException,
    },
    crate::ids::{ChangeName, ExceptionName, OperatorName},
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{error::Error, fmt, result},
};

/// Result of planning a change.
pub type Result<T> = result::Result<T, ChangeRefusal>;

/// Longest reason, in bytes.
pub const MAX_REASON_BYTES: usize = 2_000;

/// What a change does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeAction {
    /// Sets a fleet-wide default.
    SetDefault {
        /// Key.
        key: SettingKey,
        /// New value as text.
        value: String,
    },
    /// Adds an exception.
    AddException {
        /// Identifier, not in use.
        id: ExceptionName,
        /// What the exception applies to.
        scope: ExceptionScope,
        /// Default that it replaces.
        key: SettingKey,
        /// Value as text.
        value: String,
    },
    /// Removes an exception.
    RemoveException {
        /// Identifier.
        id: ExceptionName,
    },
}

/// Change that an operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeRequest {
    /// Identifier, chosen by the client. A repeated identifier returns the first result.
    pub change_id: ChangeName,
    /// Operator who answers for the change.
    pub operator: OperatorName,
    /// Why the change is made; mandatory for a new exception.
    pub reason: String,
    /// Revision of the item that the operator has seen, 0 if it had none. Without one, the change
    /// is conditional on the item as the entry had it when the request arrived.
    pub expected_revision: Option<Revision>,
    /// What is changed.
    pub action: ChangeAction,
}

/// Field of a change that is not valid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeFault {
    /// Field of the request.
    pub field: &'static str,
    /// What is wrong.
    pub fault: String,
}

impl fmt::Display for ChangeFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "field `{}`: {}", self.field, self.fault)
    }
}

impl Error for ChangeFault {}

/// Reason for which a valid change cannot be made to the current state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeRefusal {
    /// The change identifier belongs to another change.
    ChangeIdReused {
        /// Change that was made under the identifier.
        current: Value,
    },
    /// The item has another revision than the operator expected.
    Conflict {
        /// Item, such as `default/retry.budget`.
        item: String,
        /// Current revision of the item, 0 if it is absent.
        revision: Revision,
        /// Current value.
        current: Value,
    },
    /// There is no such exception.
    NotFound {
        /// Item.
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

/// Condition of a transaction: the item has this version; 0 means absent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeCondition {
    /// Table key.
    pub key: String,
    /// Expected version.
    pub version: u64,
}

/// Write of a transaction; without a value the item is deleted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeWrite {
    /// Table key.
    pub key: String,
    /// New value.
    pub value: Option<String>,
}

/// Record of a change in the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryRecord {
    /// Revision that the change made.
    pub revision: Revision,
    /// Item, such as `default/retry.budget` or `exception/night-shift`.
    pub item: String,
    /// Value before the change; null if the item was absent.
    pub before: Value,
    /// Value after the change; null if the item was removed.
    pub after: Value,
    /// Operator.
    pub operator: OperatorName,
    /// Reason.
    pub reason: String,
    /// Change identifier.
    pub change_id: ChangeName,
    /// Time of the table's clock at which the change was prepared, in milliseconds.
    pub time_ms: u64,
}

/// Transaction of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangePlan {
    /// Conditions that all have to hold.
    pub conditions: Vec<ChangeCondition>,
    /// Writes that take effect together.
    pub writes: Vec<ChangeWrite>,
    /// Table key of the changed item.
    pub item_key: String,
    /// History record of the change.
    pub record: HistoryRecord,
}

impl ChangeAction {
    /// Returns the table key of the item.
    pub fn item_key(&self) -> String {
        match self {
            Self::AddException { id, .. } | Self::RemoveException { id } => exception_key(id),
            Self::SetDefault { key, .. } => default_key(*key),
        }
    }

    /// Returns the name of the item, such as `default/retry.budget`.
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
    /// Checks the fields that do not depend on the current state, and writes the value in its
    /// normal form with its unit.
    ///
    /// # Errors
    ///
    /// Fails on a value that the key does not allow, and on a missing or oversized reason.
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

    /// Fixes the revision of the item that the change is conditional on, so that neither a race
    /// nor a retry after a moved head overwrites a change that the operator has not seen.
    pub fn pin_revision(&mut self, snapshot: &ConfigurationSnapshot) {
        let current = snapshot.item_revision(&self.action);
        self.expected_revision.get_or_insert(current);
    }

    /// Returns whether a history record is that of this change.
    pub fn matches(&self, record: &HistoryRecord) -> bool {
        record.item == self.action.item()
            && record.operator == self.operator
            && record.after == self.after()
    }

    /// Builds the transaction of the change on top of `state`.
    ///
    /// # Errors
    ///
    /// Fails if the item is not as expected.
    pub fn plan(&self, state: &ConfigurationState) -> Result<ChangePlan> {
        self.check(state)?;
        let revision = state.snapshot.revision + 1;
        let record = HistoryRecord {
            revision,
            item: self.action.item(),
            before: state.snapshot.item_value(&self.action),
            after: self.after(),
            operator: self.operator.clone(),
            reason: self.reason.clone(),
            change_id: self.change_id.clone(),
            time_ms: state.time_ms,
        };
        let item_key = self.action.item_key();
        let conditions = vec![
            condition(&item_key, state.version(&item_key)),
            condition(HEAD_KEY, state.head_version),
            condition(&change_id_key(&self.change_id), 0),
        ];
        let writes = vec![
            write(&item_key, self.stored_item(revision)),
            write(HEAD_KEY, Some(revision.to_string())),
            write(&change_key(revision), Some(encode(&record))),
            write(&change_id_key(&self.change_id), Some(revision.to_string())),
        ];
        Ok(ChangePlan {
            conditions,
            writes,
            item_key,
            record,
        })
    }

    fn check(&self, state: &ConfigurationState) -> Result<()> {
        let current = state.snapshot.item_revision(&self.action);
        let is_removal = matches!(self.action, ChangeAction::RemoveException { .. });
        if is_removal && current == 0 {
            let item = self.action.item();
            return Err(ChangeRefusal::NotFound { item });
        }
        let expected = match self.action {
            ChangeAction::AddException { .. } => 0,
            _ => self.expected_revision.unwrap_or(current),
        };
        if current != expected {
            return Err(state.snapshot.conflict(&self.action));
        }
        self.check_scope(state)
    }

    fn check_scope(&self, state: &ConfigurationState) -> Result<()> {
        let ChangeAction::AddException { scope, key, .. } = &self.action else {
            return Ok(());
        };
        let mut exceptions = state.snapshot.exceptions.values();
        let other = exceptions.find(|other| other.scope == *scope && other.key == *key);
        other.map_or(Ok(()), |other| {
            let current = to_value(other);
            Err(ChangeRefusal::ScopeInUse { current })
        })
    }

    fn exception(&self) -> Option<PolicyException> {
        let ChangeAction::AddException {
            id,
            scope,
            key,
            value,
        } = &self.action
        else {
            return None;
        };
        Some(PolicyException {
            id: id.clone(),
            scope: scope.clone(),
            key: *key,
            value: value.clone(),
            reason: self.reason.clone(),
            operator: self.operator.clone(),
        })
    }

    fn after(&self) -> Value {
        match &self.action {
            ChangeAction::AddException { .. } => to_value(&self.exception()),
            ChangeAction::RemoveException { .. } => Value::Null,
            ChangeAction::SetDefault { value, .. } => Value::String(value.clone()),
        }
    }

    fn stored_item(&self, revision: Revision) -> Option<String> {
        match &self.action {
            ChangeAction::AddException { .. } => self.exception().map(|exception| {
                encode(&StoredException {
                    exception,
                    revision,
                })
            }),
            ChangeAction::RemoveException { .. } => None,
            ChangeAction::SetDefault { value, .. } => Some(encode(&ConfigurationItem {
                value: value.clone(),
                revision,
            })),
        }
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

    /// Returns the conflict of an action with this snapshot.
    pub fn conflict(&self, action: &ChangeAction) -> ChangeRefusal {
        ChangeRefusal::Conflict {
            item: action.item(),
            revision: self.item_revision(action),
            current: self.item_value(action),
        }
    }
}

fn condition(key: &str, version: u64) -> ChangeCondition {
    let key = key.to_owned();
    ChangeCondition { key, version }
}

fn write(key: &str, value: Option<String>) -> ChangeWrite {
    let key = key.to_owned();
    ChangeWrite { key, value }
}

fn to_value<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

//! Table transaction that makes a change, and the history record of the change.

use {
    super::{
        ChangeAction, ChangeRefusal, ChangeRequest, ConfigurationItem, ConfigurationState,
        PolicyException, Revision,
        change::{Result, to_value},
        keys::{HEAD_KEY, change_id_key, change_key},
        state::StoredException,
    },
    crate::ids::{ChangeName, OperatorName},
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// Condition of a transaction: the table item must have the given version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeCondition {
    /// Table key.
    pub key: String,
    /// Required version; 0 means that the item must be absent.
    pub version: u64,
}

/// Write of a transaction, which sets or deletes a table item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeWrite {
    /// Table key.
    pub key: String,
    /// New value; `None` deletes the item.
    pub value: Option<String>,
}

/// History record of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryRecord {
    /// Revision that the change created.
    pub revision: Revision,
    /// Name of the changed item, such as `default/retry.budget` or `exception/night-shift`.
    pub item: String,
    /// Value before the change; null if the item was absent.
    pub before: Value,
    /// Value after the change; null if the item was removed.
    pub after: Value,
    /// Operator who made the change.
    pub operator: OperatorName,
    /// Reason that the operator gave.
    pub reason: String,
    /// Identifier of the change.
    pub change_id: ChangeName,
    /// Time of the table's clock when the configuration that the change was planned on was read, in
    /// milliseconds.
    pub time_ms: u64,
}

/// Table transaction that makes a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangePlan {
    /// Conditions, all of which have to hold.
    pub conditions: Vec<ChangeCondition>,
    /// Writes, which take effect atomically.
    pub writes: Vec<ChangeWrite>,
    /// Table key of the changed item.
    pub item_key: String,
    /// History record of the change.
    pub record: HistoryRecord,
}

impl ChangeRequest {
    /// Returns whether a history record describes this change: same item, operator and new value.
    pub fn matches(&self, record: &HistoryRecord) -> bool {
        record.item == self.action.item()
            && record.operator == self.operator
            && record.after == self.after()
    }

    /// Builds the transaction that makes the change, conditional on `state`.
    ///
    /// # Errors
    ///
    /// Fails if the item is not at the expected revision, if an exception to remove does not exist,
    /// and if another exception has the scope and key of a new one.
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

fn condition(key: &str, version: u64) -> ChangeCondition {
    let key = key.to_owned();
    ChangeCondition { key, version }
}

fn write(key: &str, value: Option<String>) -> ChangeWrite {
    let key = key.to_owned();
    ChangeWrite { key, value }
}

fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

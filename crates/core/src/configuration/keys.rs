//! Keys under which the configuration is stored in the platform's table.

use {
    super::{Revision, catalogue::SettingKey},
    crate::ids::{ChangeName, ExceptionName, InstanceName},
};

/// Key of the head item, whose value is the current revision of the whole configuration.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of all defaults and exceptions.
pub const ITEM_PREFIX: &str = "config/item/";
/// Prefix of the keys of defaults that operators have set.
pub const DEFAULT_PREFIX: &str = "config/item/default/";
/// Prefix of the keys of exceptions.
pub const EXCEPTION_PREFIX: &str = "config/item/exception/";
/// Prefix of the keys of the entries' lease records.
pub const LEASE_PREFIX: &str = "config/lease/";
/// Prefix of the keys of history records.
pub const CHANGE_PREFIX: &str = "config/change/";

/// Returns the table key of a default.
pub fn default_key(key: SettingKey) -> String {
    format!("{DEFAULT_PREFIX}{key}")
}

/// Returns the table key of an exception.
pub fn exception_key(id: &ExceptionName) -> String {
    format!("{EXCEPTION_PREFIX}{id}")
}

/// Returns the table key of an entry's lease record.
pub fn lease_key(instance: &InstanceName) -> String {
    format!("{LEASE_PREFIX}{instance}")
}

/// Returns the table key of the history record of a revision. The number is padded with zeros so
/// that the keys sort by revision.
pub fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{revision:020}")
}

/// Returns the table key of the item that maps a change identifier to the revision of the change.
pub fn change_id_key(change_id: &ChangeName) -> String {
    format!("config/change-id/{change_id}")
}

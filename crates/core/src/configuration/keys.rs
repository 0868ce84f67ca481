//! Keys of the configuration in the platform's table.

use {
    super::{Revision, catalogue::SettingKey},
    crate::ids::{ChangeName, ExceptionName, InstanceName},
};

/// Key of the head, whose value is the revision of the whole configuration.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of all items.
pub const ITEM_PREFIX: &str = "config/item/";
/// Prefix of the defaults that operators have set.
pub const DEFAULT_PREFIX: &str = "config/item/default/";
/// Prefix of the exceptions.
pub const EXCEPTION_PREFIX: &str = "config/item/exception/";
/// Prefix of the lease records of entries.
pub const LEASE_PREFIX: &str = "config/lease/";
/// Prefix of the history records.
pub const CHANGE_PREFIX: &str = "config/change/";

/// Returns the key of a default.
pub fn default_key(key: SettingKey) -> String {
    format!("{DEFAULT_PREFIX}{key}")
}

/// Returns the key of an exception.
pub fn exception_key(id: &ExceptionName) -> String {
    format!("{EXCEPTION_PREFIX}{id}")
}

/// Returns the key of an entry's lease record.
pub fn lease_key(instance: &InstanceName) -> String {
    format!("{LEASE_PREFIX}{instance}")
}

/// Returns the key of the history record of a revision, padded so that keys sort by revision.
pub fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{revision:020}")
}

/// Returns the key under which a change is found by its identifier.
pub fn change_id_key(change_id: &ChangeName) -> String {
    format!("config/change-id/{change_id}")
}

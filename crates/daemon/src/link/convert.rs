//! Conversions between link messages and the types of `sassafrasslip_core`.

use {
    sassafrasslip_core::{
        configuration::{
            ConfigurationItem, ConfigurationSnapshot, PolicyException, Revision, SettingKey,
        },
        ids::RequestId,
    },
    sassafrasslip_proto::link,
    std::{error::Error, fmt, result},
};

/// Result of a conversion.
pub type Result<T> = result::Result<T, ConvertError>;

const DEFAULT_PREFIX: &str = "default/";
const EXCEPTION_PREFIX: &str = "exception/";

/// Failure to convert an item of a configuration message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConvertError {
    /// Key of the invalid item, such as `default/retry.attempts`.
    pub key: String,
    /// Description of the error.
    pub fault: String,
}

impl fmt::Display for ConvertError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "configuration item `{}`: {}",
            self.key, self.fault
        )
    }
}

impl Error for ConvertError {}

/// Converts a request identifier to its link message.
pub fn request_id_to_link(request_id: RequestId) -> link::RequestId {
    let RequestId {
        entry_incarnation,
        counter,
    } = request_id;
    link::RequestId {
        entry_incarnation,
        counter,
    }
}

/// Converts a request identifier from its link message.
pub fn request_id_from_link(request_id: link::RequestId) -> RequestId {
    let link::RequestId {
        entry_incarnation,
        counter,
    } = request_id;
    RequestId {
        entry_incarnation,
        counter,
    }
}

/// Converts a configuration snapshot to its link message.
pub fn snapshot_to_link(snapshot: &ConfigurationSnapshot) -> link::ConfigurationSnapshot {
    let defaults = snapshot
        .defaults
        .iter()
        .map(|(key, item)| link::ConfigurationItem {
            key: format!("{DEFAULT_PREFIX}{key}"),
            value: item.value.clone(),
            revision: item.revision,
        });
    let exceptions = snapshot
        .exceptions
        .iter()
        .map(|(id, exception)| link::ConfigurationItem {
            key: format!("{EXCEPTION_PREFIX}{id}"),
            value: serde_json::to_string(exception).unwrap_or_default(),
            revision: snapshot
                .exception_revisions
                .get(id)
                .copied()
                .unwrap_or_default(),
        });
    link::ConfigurationSnapshot {
        revision: snapshot.revision,
        items: defaults.chain(exceptions).collect(),
    }
}

/// Converts a configuration snapshot from its link message.
///
/// # Errors
///
/// Fails on an item with an unknown key, and on a malformed exception.
pub fn snapshot_from_link(message: &link::ConfigurationSnapshot) -> Result<ConfigurationSnapshot> {
    let revision = message.revision;
    let mut snapshot = ConfigurationSnapshot {
        revision,
        ..ConfigurationSnapshot::default()
    };
    for item in &message.items {
        add_item(&mut snapshot, &item.key, &item.value, item.revision)?;
    }
    Ok(snapshot)
}

/// Parses an item with the key `default/<key>` or `exception/<id>` and adds it to a snapshot.
///
/// # Errors
///
/// Fails on an item with an unknown key, and on a malformed exception.
pub fn add_item(
    snapshot: &mut ConfigurationSnapshot,
    key: &str,
    value: &str,
    revision: Revision,
) -> Result<()> {
    let fail = |fault: String| ConvertError {
        key: key.to_owned(),
        fault,
    };
    if let Some(name) = key.strip_prefix(DEFAULT_PREFIX) {
        let setting: SettingKey = name.parse().map_err(|_| fail("unknown key".to_owned()))?;
        let item = ConfigurationItem {
            value: value.to_owned(),
            revision,
        };
        snapshot.defaults.insert(setting, item);
        return Ok(());
    }
    if key.starts_with(EXCEPTION_PREFIX) {
        let exception: PolicyException =
            serde_json::from_str(value).map_err(|error| fail(error.to_string()))?;
        snapshot
            .exception_revisions
            .insert(exception.id.clone(), revision);
        snapshot.exceptions.insert(exception.id.clone(), exception);
        return Ok(());
    }
    Err(fail("unknown kind of item".to_owned()))
}

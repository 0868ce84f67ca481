//! Snapshot of the configuration at one revision, and the resolution of settings in a context.

use {
    super::{
        Revision,
        catalogue::{SettingKey, SettingValue},
        exception::{ExceptionScope, PolicyException},
    },
    crate::ids::{ExceptionName, GroupName, InstanceName, ServiceName, TeamName, ZoneName},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt},
};

/// Fleet-wide default that an operator has set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationItem {
    /// Value as text, with the setting's unit.
    pub value: String,
    /// Revision at which the value was set.
    pub revision: Revision,
}

/// All defaults and exceptions at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationSnapshot {
    /// Revision of the whole configuration.
    pub revision: Revision,
    /// Defaults that operators have set; the others have the initial values of the catalogue.
    pub defaults: BTreeMap<SettingKey, ConfigurationItem>,
    /// Exceptions by identifier.
    pub exceptions: BTreeMap<ExceptionName, PolicyException>,
    /// Revision at which each exception was added.
    pub exception_revisions: BTreeMap<ExceptionName, Revision>,
}

/// Context for which a setting is resolved. An exception matches only a part that is present.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettingContext<'a> {
    /// Target instance for which the setting is resolved.
    pub target: Option<&'a InstanceName>,
    /// Model group of the target.
    pub group: Option<&'a GroupName>,
    /// Team of the request.
    pub team: Option<&'a TeamName>,
    /// Service of the request or of the target.
    pub service: Option<&'a ServiceName>,
    /// Availability zone of the instance that resolves the setting, or of the target.
    pub availability_zone: Option<&'a ZoneName>,
}

/// Origin of a resolved value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingSource {
    /// Fleet-wide default of this key.
    Default(SettingKey),
    /// Exception with this identifier.
    Exception(ExceptionName),
}

impl fmt::Display for SettingSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Default(key) => write!(formatter, "default:{key}"),
            Self::Exception(id) => write!(formatter, "exception:{id}"),
        }
    }
}

/// Value of a setting that applies in a context, and its origin.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResolvedSetting {
    /// Value in the unit of the setting.
    pub value: SettingValue,
    /// Default or exception that the value comes from.
    pub source: SettingSource,
}

impl SettingContext<'_> {
    fn matches(&self, scope: &ExceptionScope) -> bool {
        match scope {
            ExceptionScope::AvailabilityZone(zone) => self.availability_zone == Some(zone),
            ExceptionScope::Group(group) => self.group == Some(group),
            ExceptionScope::Service(service) => self.service == Some(service),
            ExceptionScope::Target(target) => self.target == Some(target),
            ExceptionScope::Team(team) => self.team == Some(team),
        }
    }
}

impl ConfigurationSnapshot {
    /// Returns the value of `key` that applies in `context`: that of the matching exception with
    /// the highest precedence, or else the fleet-wide default. If the value of that exception is
    /// not valid, the default applies.
    pub fn resolve(&self, key: SettingKey, context: &SettingContext<'_>) -> ResolvedSetting {
        let candidates = self
            .exceptions
            .values()
            .filter(|exception| exception.key == key);
        let exception = candidates
            .filter(|exception| context.matches(&exception.scope))
            .min_by(|left, right| left.scope.cmp(&right.scope));
        let exception = exception.and_then(|exception| {
            let value = key.parse_value(&exception.value).ok()?;
            Some(ResolvedSetting {
                value,
                source: SettingSource::Exception(exception.id.clone()),
            })
        });
        exception.unwrap_or_else(|| ResolvedSetting {
            value: self.default_value(key),
            source: SettingSource::Default(key),
        })
    }

    /// Returns the fleet-wide default of `key`, which is the initial value if no operator has set a
    /// valid one.
    pub fn default_value(&self, key: SettingKey) -> SettingValue {
        let item = self.defaults.get(&key);
        let value = item.and_then(|item| key.parse_value(&item.value).ok());
        value.unwrap_or_else(|| key.initial_value())
    }
}

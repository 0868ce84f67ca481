//! One revision of the configuration, and the value that applies in a given context.

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

/// Default that an operator has set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationItem {
    /// Value as text, in the setting's unit.
    pub value: String,
    /// Revision at which it was set.
    pub revision: Revision,
}

/// All defaults and exceptions at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationSnapshot {
    /// Revision of the whole configuration.
    pub revision: Revision,
    /// Defaults that differ from the catalogue's initial values.
    pub defaults: BTreeMap<SettingKey, ConfigurationItem>,
    /// Exceptions by identifier.
    pub exceptions: BTreeMap<ExceptionName, PolicyException>,
    /// Revision at which each exception was last changed.
    pub exception_revisions: BTreeMap<ExceptionName, Revision>,
}

/// Context for which a setting is resolved; absent parts match no exception.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettingContext<'a> {
    /// Target instance.
    pub target: Option<&'a InstanceName>,
    /// Model group.
    pub group: Option<&'a GroupName>,
    /// Team.
    pub team: Option<&'a TeamName>,
    /// Service.
    pub service: Option<&'a ServiceName>,
    /// Availability zone.
    pub availability_zone: Option<&'a ZoneName>,
}

/// Rule that decided a value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingSource {
    /// Fleet-wide default.
    Default(SettingKey),
    /// Exception.
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

/// Value that applies, and the rule that decided it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResolvedSetting {
    /// Value in the setting's unit.
    pub value: SettingValue,
    /// Default or exception that decided.
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
    /// Returns the value of `key` that applies to `target`.
    pub fn resolve(&self, key: SettingKey, target: &SettingContext<'_>) -> ResolvedSetting {
        let candidates = self
            .exceptions
            .values()
            .filter(|exception| exception.key == key);
        let exception = candidates
            .filter(|exception| target.matches(&exception.scope))
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

    /// Returns the fleet-wide default of `key`.
    pub fn default_value(&self, key: SettingKey) -> SettingValue {
        let item = self.defaults.get(&key);
        let value = item.and_then(|item| key.parse_value(&item.value).ok());
        value.unwrap_or_else(|| key.initial_value())
    }
}

//! Exceptions to the fleet-wide defaults.

use {
    super::catalogue::SettingKey,
    crate::ids::{
        ExceptionName, GroupName, InstanceName, OperatorName, ServiceName, TeamName, ZoneName,
    },
    serde::{Deserialize, Serialize},
    serde_with::{DeserializeFromStr, SerializeDisplay},
    std::{error::Error, fmt, result, str::FromStr},
};

/// Result of reading a scope.
pub type Result<T> = result::Result<T, ScopeError>;

/// What an exception applies to. The order of the variants is that of precedence: the first
/// scope that matches wins.
#[derive(
    Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub enum ExceptionScope {
    /// One target instance.
    Target(InstanceName),
    /// One model group.
    Group(GroupName),
    /// One team.
    Team(TeamName),
    /// One service.
    Service(ServiceName),
    /// One availability zone.
    AvailabilityZone(ZoneName),
}

/// Text that is no scope.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScopeError(pub String);

impl fmt::Display for ScopeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "scope `{}`: expected target=NAME, group=NAME, team=NAME, service=NAME or availability_zone=NAME",
            self.0
        )
    }
}

impl Error for ScopeError {}

impl fmt::Display for ExceptionScope {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AvailabilityZone(zone) => write!(formatter, "availability_zone={zone}"),
            Self::Group(group) => write!(formatter, "group={group}"),
            Self::Service(service) => write!(formatter, "service={service}"),
            Self::Target(target) => write!(formatter, "target={target}"),
            Self::Team(team) => write!(formatter, "team={team}"),
        }
    }
}

impl FromStr for ExceptionScope {
    type Err = ScopeError;

    fn from_str(text: &str) -> Result<Self> {
        let parse = || {
            let (kind, name) = text.split_once('=')?;
            match kind {
                "availability_zone" => name.parse().ok().map(Self::AvailabilityZone),
                "group" => name.parse().ok().map(Self::Group),
                "service" => name.parse().ok().map(Self::Service),
                "target" => name.parse().ok().map(Self::Target),
                "team" => name.parse().ok().map(Self::Team),
                _ => None,
            }
        };
        parse().ok_or_else(|| ScopeError(text.to_owned()))
    }
}

/// Exception to one default, with the reason that an operator wrote.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PolicyException {
    /// Identifier, unique among the exceptions.
    pub id: ExceptionName,
    /// What the exception applies to.
    pub scope: ExceptionScope,
    /// Default that it replaces.
    pub key: SettingKey,
    /// Value as text, in the setting's unit.
    pub value: String,
    /// Why the exception exists; never empty.
    pub reason: String,
    /// Operator who added it.
    pub operator: OperatorName,
}

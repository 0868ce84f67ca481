//! Exceptions, which override a fleet-wide default for a part of the fleet.

use {
    super::catalogue::SettingKey,
    crate::ids::{
        ExceptionName, GroupName, InstanceName, OperatorName, ServiceName, TeamName, ZoneName,
    },
    serde::{Deserialize, Serialize},
    serde_with::{DeserializeFromStr, SerializeDisplay},
    std::{error::Error, fmt, result, str::FromStr},
};

/// Result of parsing a scope.
pub type Result<T> = result::Result<T, ScopeError>;

/// Part of the fleet to which an exception applies. The variants are declared in the order of their
/// precedence: if several exceptions match, the first variant takes effect.
#[derive(
    Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub enum ExceptionScope {
    /// Applies to one target instance.
    Target(InstanceName),
    /// Applies to one model group.
    Group(GroupName),
    /// Applies to the requests of one team.
    Team(TeamName),
    /// Applies to one service.
    Service(ServiceName),
    /// Applies to one availability zone.
    AvailabilityZone(ZoneName),
}

/// Text that is not a valid scope.
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

/// Exception to one default, with the operator's reason for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PolicyException {
    /// Identifier, unique among all exceptions.
    pub id: ExceptionName,
    /// Part of the fleet to which the exception applies.
    pub scope: ExceptionScope,
    /// Key of the setting whose default is overridden.
    pub key: SettingKey,
    /// Overriding value as text, with the setting's unit.
    pub value: String,
    /// Reason for the exception; never empty.
    pub reason: String,
    /// Operator who added the exception.
    pub operator: OperatorName,
}

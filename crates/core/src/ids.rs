//! Validated identifiers of requests, and names of instances, teams and other configured objects.

use {
    serde_with::{DeserializeFromStr, SerializeDisplay},
    std::{error::Error, fmt, result, str::FromStr, sync::Arc},
};

/// Result of parsing an identifier.
pub type Result<T> = result::Result<T, ParseIdError>;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Text that is not a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseIdError {
    /// Description of the expected type, such as `team name`.
    pub expected: &'static str,
    /// Text that is not valid.
    pub text: String,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "`{}` is not a valid {}: expected 1 to {MAX_NAME_BYTES} letters, digits, `.`, `_`, `:` or `-`",
            self.text.escape_debug(),
            self.expected
        )
    }
}

impl Error for ParseIdError {}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b':' | b'-')
}

macro_rules! name_types {
    ($($(#[$meta:meta])* $name:ident = $expected:literal;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self> {
                let valid = (1..=MAX_NAME_BYTES).contains(&text.len())
                    && text.bytes().all(is_name_byte);
                if valid {
                    Ok(Self(Arc::from(text)))
                } else {
                    Err(ParseIdError { expected: $expected, text: text.to_owned() })
                }
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}({})", stringify!($name), self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )*};
}

name_types! {
    /// Name of an instance, unique in the fleet.
    InstanceName = "instance name";
    /// Name of an availability zone.
    ZoneName = "availability zone name";
    /// Name of a region, which holds one or more availability zones.
    RegionName = "region name";
    /// Name of a team, the group of callers to which limits and fair queueing apply.
    TeamName = "team name";
    /// Name of a service that callers send requests to.
    ServiceName = "service name";
    /// Name of a model group, whose ranks execute engine steps in lock-step.
    GroupName = "group name";
    /// Kind of a request, such as `captions`.
    KindName = "request kind";
    /// Name of an operator.
    OperatorName = "operator name";
    /// Identifier of an exception to a configuration default.
    ExceptionName = "exception identifier";
    /// Identifier of a configuration change, chosen by the client that requests the change.
    ChangeName = "change identifier";
}

/// Identifier of a request, unique across entries and their restarts.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct RequestId {
    /// Random number that the entry process drew when it started.
    pub entry_incarnation: u64,
    /// Sequence number of the request within the incarnation.
    pub counter: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:016x}-{}",
            self.entry_incarnation, self.counter
        )
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self> {
        let parse = || {
            let (incarnation, counter) = text.split_once('-')?;
            Some(Self {
                entry_incarnation: u64::from_str_radix(incarnation, 16).ok()?,
                counter: counter.parse().ok()?,
            })
        };
        parse().ok_or_else(|| ParseIdError {
            expected: "request id",
            text: text.to_owned(),
        })
    }
}

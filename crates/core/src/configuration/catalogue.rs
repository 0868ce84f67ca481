//! Typed catalogue of the settings whose fleet-wide defaults operators can change.

use {
    serde::{Deserialize, Serialize},
    serde_with::{DeserializeFromStr, SerializeDisplay},
    std::{error::Error, fmt, result, str::FromStr, time::Duration},
};

/// Result of parsing a setting's key or value.
pub type Result<T> = result::Result<T, ValueError>;

/// Unit and range of a setting. The numbers are the lowest and the highest value allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettingKind {
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// Count, with its unit as shown to operators.
    Count(&'static str, u64, u64),
    /// Duration in milliseconds.
    Milliseconds(u64, u64),
    /// Percentage, which may exceed 100.
    Percent(u64, u64),
    /// Duration in seconds.
    Seconds(u64, u64),
}

/// Value of a setting, interpreted by its [`SettingKind`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(untagged)]
pub enum SettingValue {
    /// Index into the words of [`SettingKind::Choice`].
    Choice(usize),
    /// Number in the setting's unit.
    Number(u64),
}

macro_rules! settings {
    ($($key:ident $name:literal $kind:expr, $initial:literal, $help:literal;)*) => {
        /// Key of a setting.
        #[derive(Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
        pub enum SettingKey {
            $(#[doc = $help] $key,)*
        }

        impl SettingKey {
            /// All keys, in the order of the catalogue.
            pub const ALL: &'static [Self] = &[$(Self::$key,)*];

            /// Returns the name used in files, on the command line and in the table.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$key => $name,)* }
            }

            /// Returns the unit and the range of the value.
            pub const fn kind(self) -> SettingKind {
                match self { $(Self::$key => $kind,)* }
            }

            /// Returns the text of the default that applies until an operator sets another.
            pub const fn initial(self) -> &'static str {
                match self { $(Self::$key => $initial,)* }
            }

            /// Returns a description of the setting in one sentence.
            pub const fn help(self) -> &'static str {
                match self { $(Self::$key => $help,)* }
            }
        }
    };
}

const ON_OFF: &[&str] = &["on", "off"];
const SERVE_REFUSE: &[&str] = &["serve", "refuse"];

settings! {
    TeamConcurrency "limits.team_concurrency" SettingKind::Count("requests", 1, 100_000), "64",
        "Requests that a team may have in flight at one entry.";
    TeamRate "limits.team_rate" SettingKind::Count("requests/s", 1, 100_000), "200",
        "Requests a second that a team may start at one entry.";
    QueueLength "limits.queue_length" SettingKind::Count("requests", 0, 100_000), "256",
        "Requests that may wait at one entry for a free target.";
    QueueWait "limits.queue_wait" SettingKind::Milliseconds(0, 60_000), "2000",
        "Longest time that a request waits for a free target.";
    TargetConcurrency "limits.target_concurrency" SettingKind::Count("requests", 1, 10_000), "32",
        "Requests that may be in flight at one target.";
    RequestDeadline "request.deadline" SettingKind::Milliseconds(10, 3_600_000), "30000",
        "Deadline of a request that names none.";
    RetryBudget "retry.budget" SettingKind::Percent(0, 10), "10",
        "Retries inside the system as a share of first tries.";
    RetryAttempts "retry.attempts" SettingKind::Count("attempts", 1, 10), "3",
        "Attempts for one request, the first one included.";
    RetryAfter "retry.after" SettingKind::Milliseconds(100, 3_600_000), "1000",
        "Time after which a refused caller is told to come back.";
    OtherZoneCost "routing.other_zone_cost" SettingKind::Milliseconds(0, 10_000), "4",
        "Cost of sending a request to another availability zone.";
    LoadBound "routing.load_bound" SettingKind::Percent(100, 1_000), "125",
        "Load of the preferred target, relative to the mean, up to which prefix affinity holds.";
    Affinity "routing.affinity" SettingKind::Choice(ON_OFF), "on",
        "Whether requests with the same prompt prefix prefer the same target.";
    PlacementMode "placement.mode" SettingKind::Choice(ON_OFF), "on",
        "Whether the placer changes expert maps.";
    SkewWeight "placement.skew_weight" SettingKind::Percent(0, 100), "50",
        "Weight of step-time skew against the cost of rebalancing.";
    PlacementHorizon "placement.horizon" SettingKind::Seconds(1, 86_400), "600",
        "Time over which a move of experts has to pay for itself.";
    PlacementHysteresis "placement.hysteresis" SettingKind::Percent(0, 100), "10",
        "Least improvement of the slowest rank that justifies a new expert map.";
    CutOffMode "cut_off.mode" SettingKind::Choice(SERVE_REFUSE), "serve",
        "What an entry does while its configuration lease is lapsed.";
    CutOffConcurrency "cut_off.concurrency" SettingKind::Percent(1, 100), "100",
        "Share of the team and target limits that applies while the lease is lapsed.";
}

/// Key or value that the catalogue does not allow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ValueError {
    /// The value is malformed or out of range.
    Invalid {
        /// Key of the setting.
        key: SettingKey,
        /// Text that is not a valid value.
        text: String,
    },
    /// No setting has this name.
    UnknownKey(String),
}

impl fmt::Display for ValueError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid { key, text } => {
                write!(formatter, "`{key} = {text}`: expected {}", key.kind())
            }
            Self::UnknownKey(name) => write!(formatter, "unknown setting `{name}`"),
        }
    }
}

impl Error for ValueError {}

impl fmt::Display for SettingKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for SettingKey {
    type Err = ValueError;

    fn from_str(name: &str) -> Result<Self> {
        let key = Self::ALL.iter().copied().find(|key| key.name() == name);
        key.ok_or_else(|| ValueError::UnknownKey(name.to_owned()))
    }
}

impl fmt::Display for SettingKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Choice(words) => write!(formatter, "one of {}", words.join(", ")),
            Self::Count(unit, low, high) => write!(formatter, "{low} to {high} {unit}"),
            Self::Milliseconds(low, high) => write!(formatter, "{low} to {high} ms"),
            Self::Percent(low, high) => write!(formatter, "{low} to {high} %"),
            Self::Seconds(low, high) => write!(formatter, "{low} to {high} s"),
        }
    }
}

impl SettingKind {
    fn range_and_unit(self) -> (u64, u64, &'static str) {
        match self {
            Self::Choice(words) => (0, words.len() as u64, ""),
            Self::Count(unit, low, high) => (low, high, unit),
            Self::Milliseconds(low, high) => (low, high, "ms"),
            Self::Percent(low, high) => (low, high, "%"),
            Self::Seconds(low, high) => (low, high, "s"),
        }
    }
}

impl SettingKey {
    /// Parses a value: a word for a choice, else a number, optionally followed by the setting's
    /// unit.
    ///
    /// # Errors
    ///
    /// Fails on a different unit, on a word that is not one of the choices, and on a number out of
    /// range.
    pub fn parse_value(self, text: &str) -> Result<SettingValue> {
        let invalid = || ValueError::Invalid {
            key: self,
            text: text.to_owned(),
        };
        if let SettingKind::Choice(words) = self.kind() {
            let choice = words.iter().position(|word| *word == text.trim());
            return choice.map(SettingValue::Choice).ok_or_else(invalid);
        }
        let (low, high, unit) = self.kind().range_and_unit();
        let number = text.trim();
        let number = number.strip_suffix(unit).unwrap_or(number).trim_end();
        let number: u64 = number.parse().map_err(|_| invalid())?;
        if (low..=high).contains(&number) {
            Ok(SettingValue::Number(number))
        } else {
            Err(invalid())
        }
    }

    /// Returns the text of a value with its unit, which [`Self::parse_value`] accepts.
    pub fn format_value(self, value: SettingValue) -> String {
        match (self.kind(), value) {
            (SettingKind::Choice(words), SettingValue::Choice(choice)) => {
                words.get(choice).copied().unwrap_or("?").to_owned()
            }
            (kind, SettingValue::Number(number)) => {
                let (_, _, unit) = kind.range_and_unit();
                format!("{number} {unit}").trim_end().to_owned()
            }
            (_, SettingValue::Choice(choice)) => choice.to_string(),
        }
    }

    /// Returns the default that applies until an operator sets another.
    pub fn initial_value(self) -> SettingValue {
        self.parse_value(self.initial())
            .unwrap_or(SettingValue::Number(0))
    }
}

impl SettingValue {
    /// Returns the number, or the index of the choice.
    pub fn as_number(self) -> u64 {
        match self {
            Self::Choice(choice) => choice as u64,
            Self::Number(number) => number,
        }
    }

    /// Returns whether the value is the first of the choices, such as `on` or `serve`.
    pub fn is_first_choice(self) -> bool {
        self == Self::Choice(0)
    }

    /// Returns the number as a duration in milliseconds.
    pub fn as_millis(self) -> Duration {
        Duration::from_millis(self.as_number())
    }
}

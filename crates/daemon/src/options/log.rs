//! Section `log`.

use serde::Deserialize;

/// Lowest level of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// Decisions and life cycle.
    #[default]
    Info,
    /// Everything.
    Debug,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Text,
}

/// Log output, which goes to standard error.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogOptions {
    /// Lowest level.
    #[serde(default)]
    pub level: LogLevel,
    /// Form of the lines.
    #[serde(default)]
    pub format: LogFormat,
}

//! Section `log`.

use {super::choice::setting_choices, serde::Deserialize};

setting_choices! {
    /// Lowest level of log lines.
    #[derive(Default)]
    pub enum LogLevel {
        /// Errors only.
        Error = "error",
        /// Warnings and errors.
        Warn = "warn",
        /// Decisions and life cycle.
        #[default]
        Info = "info",
        /// Everything.
        Debug = "debug",
    }
}

setting_choices! {
    /// Form of log lines.
    #[derive(Default)]
    pub enum LogFormat {
        /// One JSON object a line.
        #[default]
        Json = "json",
        /// Text for people.
        Text = "text",
    }
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

//! Section `log` of the settings file.

use {super::choice::setting_choices, serde::Deserialize};

setting_choices! {
    /// Lowest level at which lines are logged.
    #[derive(Default)]
    pub enum LogLevel {
        /// Errors only.
        Error = "error",
        /// Warnings and errors.
        Warn = "warn",
        /// Decisions and the life cycle of the process, and all warnings and errors.
        #[default]
        Info = "info",
        /// All lines.
        Debug = "debug",
    }
}

setting_choices! {
    /// Format of log lines.
    #[derive(Default)]
    pub enum LogFormat {
        /// One JSON object per line.
        #[default]
        Json = "json",
        /// Plain text for people to read.
        Text = "text",
    }
}

/// Level and format of the logs, which go to standard output.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogOptions {
    /// Lowest level at which lines are logged.
    #[serde(default)]
    pub level: LogLevel,
    /// Format of the lines.
    #[serde(default)]
    pub format: LogFormat,
}

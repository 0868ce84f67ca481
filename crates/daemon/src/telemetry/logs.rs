//! Structured logs on standard error.

use {
    crate::options::log::{LogFormat, LogLevel, LogOptions},
    error_stack::{Report, ResultExt},
    log::LevelFilter,
    logforth::{append::Stderr, layout::JsonLayout, starter_log},
    std::{error::Error, fmt, result},
};

/// Result of setting up logs.
pub type Result<T> = result::Result<T, Report<LogsError>>;

/// The global logger could not be set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogsError;

impl fmt::Display for LogsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("cannot set the global logger")
    }
}

impl Error for LogsError {}

/// Sets the global logger.
///
/// # Errors
///
/// Fails if a logger is set already.
pub fn start(options: &LogOptions) -> Result<()> {
    let format = options.format;
    starter_log::builder()
        .dispatch(|dispatch| match format {
            LogFormat::Json => {
                dispatch.append(Stderr::default().with_layout(JsonLayout::default()))
            }
            LogFormat::Text => dispatch.append(Stderr::default()),
        })
        .try_apply()
        .change_context(LogsError)?;
    log::set_max_level(match options.level {
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Warn => LevelFilter::Warn,
    });
    Ok(())
}

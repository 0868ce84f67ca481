//! Daemon: the roles entry, gateway and agent, and the modules that they share.

pub mod agent;
pub mod arguments;
pub mod constants;
pub mod entry;
pub mod gateway;
pub mod lifecycle;
pub mod link;
pub mod listen;
pub mod options;
pub mod platform;
pub mod telemetry;

use {
    arguments::{DaemonArguments, DaemonCommand},
    clap::Parser,
    error_stack::{Report, ResultExt},
    options::DaemonOptions,
    std::{error::Error, fmt, process::ExitCode, result},
};

/// Result of running the daemon.
pub type Result<T> = result::Result<T, Report<DaemonError>>;

/// Step at which the daemon failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DaemonError {
    /// Reading or checking the settings failed.
    ReadSettings,
    /// Setting up the logs failed.
    StartTelemetry,
    /// Binding a listener failed.
    Listen,
    /// The runtime could not be started, or the process failed while it served.
    Serve,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Listen => "cannot listen",
            Self::ReadSettings => "cannot read the settings",
            Self::Serve => "failed while serving",
            Self::StartTelemetry => "cannot set up the logs",
        })
    }
}

impl Error for DaemonError {}

/// Parses the arguments, runs the chosen command and returns the exit code.
pub fn run() -> ExitCode {
    let arguments = DaemonArguments::parse();
    match execute(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {}", describe(&report));
            ExitCode::FAILURE
        }
    }
}

/// Joins the contexts of a report into one line, outermost first.
pub fn describe<C>(report: &Report<C>) -> String {
    let contexts = report.frames().filter_map(|frame| match frame.kind() {
        error_stack::FrameKind::Context(context) => Some(context.to_string()),
        error_stack::FrameKind::Attachment(_) => None,
    });
    contexts.collect::<Vec<_>>().join(": ")
}

fn execute(arguments: &DaemonArguments) -> Result<()> {
    let command = &arguments.command;
    let options = DaemonOptions::load(command).change_context(DaemonError::ReadSettings)?;
    if let DaemonCommand::Check(check) = command {
        println!("{}: settings are valid", check.file.display());
        return Ok(());
    }
    telemetry::logs::start(&options.log).change_context(DaemonError::StartTelemetry)?;
    let runtime = match command {
        // A gateway has less than one core, so a second thread would only add wake-ups.
        DaemonCommand::Gateway(_) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    }
    .worker_threads(constants::RUNTIME_THREADS)
    .enable_all()
    .build()
    .change_context(DaemonError::Serve)?;
    let served = runtime.block_on(async {
        match command {
            DaemonCommand::Agent(_) => agent::serve(options).await,
            DaemonCommand::Check(_) => Ok(()),
            DaemonCommand::Entry(_) => entry::serve(options).await,
            DaemonCommand::Gateway(arguments) => gateway::serve(options, arguments.clone()).await,
        }
    });
    log::logger().flush();
    served
}

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
    gateway::reload::HangupSignals,
    options::DaemonOptions,
    std::{error::Error, fmt, process::ExitCode, result},
    tokio::runtime::{Builder, Runtime},
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
    match command {
        DaemonCommand::Check(check) => {
            read_settings(command)?;
            println!("{}: settings are valid", check.file.display());
            Ok(())
        }
        DaemonCommand::Gateway(arguments) => {
            // A gateway has less than one core, so a second thread would only add wake-ups.
            let runtime = build_runtime(Builder::new_current_thread())?;
            // A SIGHUP ends a process without a handler, so that it is installed before the settings
            // are read and the listeners are bound.
            let context = runtime.enter();
            let hangups = HangupSignals::install().change_context(DaemonError::Serve)?;
            drop(context);
            let options = start_logs(command)?;
            let serving = gateway::serve(options, arguments.clone(), hangups);
            finish(runtime.block_on(serving))
        }
        DaemonCommand::Agent(_) => {
            let options = start_logs(command)?;
            let runtime = build_runtime(Builder::new_multi_thread())?;
            finish(runtime.block_on(agent::serve(options)))
        }
        DaemonCommand::Entry(_) => {
            let options = start_logs(command)?;
            let runtime = build_runtime(Builder::new_multi_thread())?;
            finish(runtime.block_on(entry::serve(options)))
        }
    }
}

fn read_settings(command: &DaemonCommand) -> Result<DaemonOptions> {
    DaemonOptions::load(command).change_context(DaemonError::ReadSettings)
}

/// Reads the settings and starts the logs by them.
fn start_logs(command: &DaemonCommand) -> Result<DaemonOptions> {
    let options = read_settings(command)?;
    telemetry::logs::start(&options.log).change_context(DaemonError::StartTelemetry)?;
    Ok(options)
}

fn build_runtime(mut builder: Builder) -> Result<Runtime> {
    let builder = builder.worker_threads(constants::RUNTIME_THREADS);
    let runtime = builder.enable_all().build();
    runtime.change_context(DaemonError::Serve)
}

/// Writes the rest of the log, and returns how the process has served.
fn finish(served: Result<()>) -> Result<()> {
    log::logger().flush();
    served
}

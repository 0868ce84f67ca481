//! Library of the operator client.

pub mod api;
pub mod arguments;
pub mod errors;
pub mod output;
pub mod verbs;

use {
    arguments::ClientArguments,
    clap::{CommandFactory, Parser, error::ErrorKind},
    errors::{ClientError, Result},
    output::Output,
    std::{
        ffi::OsString,
        io::{self, Write},
        process::ExitCode,
    },
};

/// Exit code of an error in the arguments.
pub const USAGE_EXIT_CODE: u8 = 2;

/// Runs the client with the arguments of the process.
pub fn run() -> ExitCode {
    let (mut output, mut errors) = (io::stdout().lock(), io::stderr().lock());
    ExitCode::from(run_with(std::env::args_os(), &mut output, &mut errors))
}

/// Runs the client and returns its exit code.
pub fn run_with<I, T>(arguments: I, output: &mut dyn Write, errors: &mut dyn Write) -> u8
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let arguments = match ClientArguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(error) => return explain_usage(&error, output, errors),
    };
    let format = arguments.connection.output;
    let result = execute(arguments, &mut Output::new(format, output));
    match result {
        Ok(()) => 0,
        Err(ClientError::Usage(fault)) => {
            let error = ClientArguments::command().error(ErrorKind::MissingRequiredArgument, fault);
            explain_usage(&error, output, errors)
        }
        Err(error) => {
            // Nothing is left to report to if standard error is closed.
            let _ = error.write(format, errors);
            error.exit_code()
        }
    }
}

fn execute(arguments: ClientArguments, output: &mut Output<'_>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ClientError::Local)?;
    runtime.block_on(verbs::execute(arguments, output))
}

fn explain_usage(error: &clap::Error, output: &mut dyn Write, errors: &mut dyn Write) -> u8 {
    let text = error.render();
    if error.use_stderr() {
        let _ = write!(errors, "{text}");
        USAGE_EXIT_CODE
    } else {
        let _ = write!(output, "{text}");
        0
    }
}

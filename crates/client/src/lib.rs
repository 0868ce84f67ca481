//! Operator client: parses the arguments, calls the operator API of an entry and prints the answer.

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

/// Exit code for invalid or missing arguments.
pub const USAGE_EXIT_CODE: u8 = 2;

/// Runs the client with the arguments and the standard streams of the process.
pub fn run() -> ExitCode {
    let (mut output, mut errors) = (io::stdout().lock(), io::stderr().lock());
    ExitCode::from(run_with(std::env::args_os(), &mut output, &mut errors))
}

/// Runs the client with the given arguments, of which the first is the program name, and returns
/// the exit code. Answers go to `output`, error messages to `errors`.
pub fn run_with<I, T>(arguments: I, output: &mut dyn Write, errors: &mut dyn Write) -> u8
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let arguments = match ClientArguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(error) => return write_usage(&error, output, errors),
    };
    let format = arguments.connection.output;
    let result = execute(arguments, &mut Output::new(format, output));
    match result {
        Ok(()) => 0,
        Err(ClientError::Usage(fault)) => {
            let error = ClientArguments::command().error(ErrorKind::MissingRequiredArgument, fault);
            write_usage(&error, output, errors)
        }
        Err(error) => {
            // If the error stream is closed, there is nowhere left to report the failure.
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

/// Writes the help, the version or a usage error that `clap` returned, and returns the exit code.
fn write_usage(error: &clap::Error, output: &mut dyn Write, errors: &mut dyn Write) -> u8 {
    let text = error.render();
    if error.use_stderr() {
        let _ = write!(errors, "{text}");
        USAGE_EXIT_CODE
    } else {
        let _ = write!(output, "{text}");
        0
    }
}

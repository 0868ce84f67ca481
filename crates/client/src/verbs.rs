//! Subcommands of the client, which the code calls verbs, with one module per subcommand.

mod change;
mod check;
mod completions;
mod defaults;
mod drain;
mod exceptions;
mod explain;
mod history;
mod status;

use crate::{
    api::OperatorApi,
    arguments::{ClientArguments, ClientVerb},
    errors::{ClientError, Result},
    output::Output,
};

/// Executes the chosen subcommand and writes its answer.
///
/// # Errors
///
/// Fails if no entry is given, if the entry does not answer or answers with an error, and if the
/// output cannot be written.
pub async fn execute(arguments: ClientArguments, output: &mut Output<'_>) -> Result<()> {
    if let ClientVerb::Completions(arguments) = &arguments.verb {
        return completions::execute(arguments, output);
    }
    if let ClientVerb::Check(arguments) = &arguments.verb {
        return check::execute(arguments, output).await;
    }
    let entry = arguments.connection.entry;
    let entry = entry.ok_or(ClientError::Usage(
        "no entry is named: give --entry IP:PORT or set SASSAFRASSLIP_ENTRY",
    ))?;
    let api = OperatorApi::new(entry);
    match arguments.verb {
        ClientVerb::Check(_) | ClientVerb::Completions(_) => Ok(()),
        ClientVerb::Defaults(verb) => defaults::execute(&api, verb, output).await,
        ClientVerb::Drain(arguments) => drain::execute(&api, &arguments, output).await,
        ClientVerb::Exceptions(verb) => exceptions::execute(&api, verb, output).await,
        ClientVerb::Explain(arguments) => explain::execute(&api, &arguments, output).await,
        ClientVerb::History(arguments) => history::execute(&api, &arguments, output).await,
        ClientVerb::Status => status::execute(&api, output).await,
    }
}

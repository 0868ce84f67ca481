//! Subcommand `completions`, which needs no entry.

use {
    crate::{
        arguments::{ClientArguments, CompletionsArguments},
        errors::Result,
        output::Output,
    },
    clap::CommandFactory,
};

pub(super) fn execute(arguments: &CompletionsArguments, output: &mut Output<'_>) -> Result<()> {
    let mut script = Vec::new();
    let mut command = ClientArguments::command();
    clap_complete::generate(arguments.shell, &mut command, "sassafrasslip", &mut script);
    output.write(&script)
}

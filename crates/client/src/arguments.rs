//! Command-line arguments of the client.

use {
    clap::{
        Args, Parser, Subcommand, ValueEnum,
        builder::{PossibleValuesParser, TypedValueParser},
    },
    clap_complete::Shell,
    sassafrasslip_core::{
        configuration::{ExceptionScope, SettingKey},
        ids::{ChangeName, ExceptionName, InstanceName, OperatorName, RequestId},
    },
    std::{net::SocketAddr, path::PathBuf},
};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused or invalid
  2  usage
  3  conflict with another operator's change
  4  entry, table or store unreachable
  5  committed but not yet confirmed everywhere";

/// Operator client of sassafrasslip.
#[derive(Debug, Parser)]
#[command(name = "sassafrasslip", version, about, after_help = EXIT_CODES)]
pub struct ClientArguments {
    /// Entry to call and format of the answers.
    #[command(flatten)]
    pub connection: ConnectionArguments,
    /// Subcommand.
    #[command(subcommand)]
    pub verb: ClientVerb,
}

/// Arguments of all subcommands.
#[derive(Args, Clone, Debug)]
pub struct ConnectionArguments {
    /// Operator address of an entry.
    #[arg(
        long,
        env = "SASSAFRASSLIP_ENTRY",
        value_name = "IP:PORT",
        global = true,
        help_heading = "Connection"
    )]
    pub entry: Option<SocketAddr>,
    /// Output format of the answer.
    #[arg(
        long,
        value_name = "FORM",
        default_value = "table",
        global = true,
        help_heading = "Output"
    )]
    pub output: OutputFormat,
}

/// Output format of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum OutputFormat {
    /// JSON of the operator API.
    Json,
    /// Tables for people.
    Table,
}

/// Subcommands of the client.
#[derive(Debug, Subcommand)]
pub enum ClientVerb {
    /// Review a configuration document of the platform before it is sent.
    Check(CheckArguments),
    /// Fleet-wide defaults.
    #[command(subcommand)]
    Defaults(DefaultsVerb),
    /// Exceptions to the defaults, each with a written reason.
    #[command(subcommand)]
    Exceptions(ExceptionsVerb),
    /// Show the newest changes: who, what, when and why.
    History(HistoryArguments),
    /// Show targets and peers as the entry sees them.
    Status,
    /// Show how a request was routed and why.
    Explain(ExplainArguments),
    /// Stop new requests to a target and let it finish those in flight.
    Drain(DrainArguments),
    /// Write a completion script for a shell.
    Completions(CompletionsArguments),
}

/// Subcommands of `defaults`.
#[derive(Debug, Subcommand)]
pub enum DefaultsVerb {
    /// List all defaults.
    List,
    /// Show one default with its range.
    Show(DefaultArguments),
    /// Set a default.
    Set(SetDefaultArguments),
}

/// Arguments of `defaults show`.
#[derive(Args, Debug)]
pub struct DefaultArguments {
    /// Key of the default.
    #[arg(value_parser = setting_key_parser())]
    pub key: SettingKey,
}

/// Arguments of `defaults set`.
#[derive(Args, Debug)]
pub struct SetDefaultArguments {
    /// Key of the default.
    #[arg(value_parser = setting_key_parser())]
    pub key: SettingKey,
    /// New value, in the unit of the key.
    pub value: String,
    /// Why the default is changed.
    #[arg(long, value_name = "TEXT", help_heading = "Change")]
    pub reason: Option<String>,
    /// Operator, change identifier and expected revision.
    #[command(flatten)]
    pub change: ChangeArguments,
}

/// Subcommands of `exceptions`.
#[derive(Debug, Subcommand)]
pub enum ExceptionsVerb {
    /// List all exceptions.
    List,
    /// Add an exception.
    Add(AddExceptionArguments),
    /// Remove an exception.
    Remove(RemoveExceptionArguments),
}

/// Arguments of `exceptions add`.
#[derive(Args, Debug)]
pub struct AddExceptionArguments {
    /// Identifier of the new exception.
    pub id: ExceptionName,
    /// What the exception applies to: `target=NAME`, `group=NAME`, `team=NAME`, `service=NAME` or
    /// `availability_zone=NAME`.
    pub scope: ExceptionScope,
    /// Key of the default that the exception replaces.
    #[arg(value_parser = setting_key_parser())]
    pub key: SettingKey,
    /// Value, in the unit of the key.
    pub value: String,
    /// Why the exception exists.
    #[arg(long, value_name = "TEXT", value_parser = parse_reason, help_heading = "Change")]
    pub reason: String,
    /// Operator and change identifier.
    #[command(flatten)]
    pub identity: IdentityArguments,
}

/// Arguments of `exceptions remove`.
#[derive(Args, Debug)]
pub struct RemoveExceptionArguments {
    /// Identifier of the exception.
    pub id: ExceptionName,
    /// Why the exception is removed.
    #[arg(long, value_name = "TEXT", help_heading = "Change")]
    pub reason: Option<String>,
    /// Operator, change identifier and expected revision.
    #[command(flatten)]
    pub change: ChangeArguments,
}

/// Arguments of changes to an item that may already exist.
#[derive(Args, Clone, Debug)]
pub struct ChangeArguments {
    /// Revision of the item that you have seen, 0 if it was never set; the change is a conflict if
    /// the item has another one.
    #[arg(long, value_name = "REVISION", help_heading = "Change")]
    pub expect_revision: Option<u64>,
    /// Operator and change identifier.
    #[command(flatten)]
    pub identity: IdentityArguments,
}

/// Arguments of all changes.
#[derive(Args, Clone, Debug)]
pub struct IdentityArguments {
    /// Your name, which the history keeps.
    #[arg(
        long,
        env = "SASSAFRASSLIP_OPERATOR",
        value_name = "NAME",
        help_heading = "Change"
    )]
    pub operator: OperatorName,
    /// Identifier of the change; chosen at random if absent. A repeated one changes nothing and
    /// returns the first result.
    #[arg(long, value_name = "ID", help_heading = "Change")]
    pub change_id: Option<ChangeName>,
}

/// Arguments of `history`.
#[derive(Args, Debug)]
pub struct HistoryArguments {
    /// Maximum number of changes to show.
    #[arg(long, value_name = "N", default_value_t = 50)]
    pub limit: u64,
}

/// Arguments of `explain`.
#[derive(Args, Debug)]
pub struct ExplainArguments {
    /// Identifier from the answer's header `Sassafrasslip-Request-Id`.
    #[arg(value_name = "REQUEST-ID")]
    pub request_id: RequestId,
}

/// Arguments of `drain`.
#[derive(Args, Debug)]
pub struct DrainArguments {
    /// Name of the target instance.
    pub target: InstanceName,
    /// Let the target accept requests again.
    #[arg(long)]
    pub undo: bool,
    /// Why the target is drained.
    #[arg(long, value_name = "TEXT", help_heading = "Change")]
    pub reason: Option<String>,
    /// Your name, which the log keeps.
    #[arg(
        long,
        env = "SASSAFRASSLIP_OPERATOR",
        value_name = "NAME",
        help_heading = "Change"
    )]
    pub operator: OperatorName,
}

/// Arguments of `check`.
#[derive(Args, Debug)]
pub struct CheckArguments {
    /// Document that is reviewed, as JSON.
    pub file: PathBuf,
    /// Document in force, with which it is compared.
    #[arg(long, value_name = "FILE", conflicts_with = "store")]
    pub in_force: Option<PathBuf>,
    /// Address of the platform's store, which holds the document in force.
    #[arg(long, value_name = "IP:PORT")]
    pub store: Option<SocketAddr>,
}

/// Arguments of `completions`.
#[derive(Args, Debug)]
pub struct CompletionsArguments {
    /// Shell for which the script is written.
    pub shell: Shell,
}

fn setting_key_parser() -> impl TypedValueParser<Value = SettingKey> {
    let names = SettingKey::ALL.iter().map(|key| key.name());
    PossibleValuesParser::new(names).try_map(|name| name.parse::<SettingKey>())
}

fn parse_reason(text: &str) -> Result<String, String> {
    if text.trim().is_empty() {
        return Err("an exception needs a written reason".to_owned());
    }
    Ok(text.to_owned())
}

//! Command-line arguments of the daemon.

use {
    crate::options::log::LogLevel,
    clap::{Args, Parser, Subcommand, builder::PossibleValuesParser},
    sassafrasslip_core::ids::{InstanceName, ZoneName},
    std::{net::SocketAddr, path::PathBuf},
};

/// Load balancer for expert-parallel model groups: daemon.
#[derive(Debug, Parser)]
#[command(name = "sassafrasslipd", version, about)]
pub struct DaemonArguments {
    /// Role in which the process runs, or a check of the settings.
    #[command(subcommand)]
    pub command: DaemonCommand,
}

/// Role of the process, or a check of the settings that starts nothing.
#[derive(Debug, Subcommand)]
pub enum DaemonCommand {
    /// Accept callers and route their requests.
    Entry(EntryArguments),
    /// Accept callers and dispatch straight to targets, without agents.
    Gateway(GatewayArguments),
    /// Accept requests from entries and dispatch them to one target.
    Agent(AgentArguments),
    /// Check a settings file without starting.
    Check(CheckArguments),
}

/// Arguments of `entry`.
#[derive(Args, Debug)]
pub struct EntryArguments {
    /// Settings file.
    #[arg(long, short = 'f', value_name = "FILE")]
    pub file: PathBuf,
    /// Settings that take precedence over the file.
    #[command(flatten)]
    pub overrides: OverrideArguments,
    /// Address for callers.
    #[arg(long, value_name = "IP:PORT", help_heading = "Addresses")]
    pub caller_address: Option<SocketAddr>,
    /// Address for operators.
    #[arg(long, value_name = "IP:PORT", help_heading = "Addresses")]
    pub operator_address: Option<SocketAddr>,
}

/// Arguments of `gateway`.
#[derive(Args, Clone, Debug)]
pub struct GatewayArguments {
    /// Settings file.
    #[arg(long, short = 'f', value_name = "FILE", env = "SASSAFRASSLIP_SETTINGS")]
    pub file: PathBuf,
    /// Settings that take precedence over the file.
    #[command(flatten)]
    pub overrides: OverrideArguments,
}

/// Arguments of `agent`.
#[derive(Args, Debug)]
pub struct AgentArguments {
    /// Settings file.
    #[arg(long, short = 'f', value_name = "FILE")]
    pub file: PathBuf,
    /// Settings that take precedence over the file.
    #[command(flatten)]
    pub overrides: OverrideArguments,
    /// Address of the target to which the agent dispatches requests.
    #[arg(long, value_name = "IP:PORT", help_heading = "Addresses")]
    pub target_address: Option<SocketAddr>,
}

/// Arguments of `check`.
#[derive(Args, Debug)]
pub struct CheckArguments {
    /// Settings file.
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
}

/// Arguments of all roles that take precedence over the settings file.
#[derive(Args, Clone, Debug, Default)]
pub struct OverrideArguments {
    /// Name of the instance.
    #[arg(long, value_name = "NAME", help_heading = "Instance")]
    pub instance: Option<InstanceName>,
    /// Availability zone of the instance.
    #[arg(long, value_name = "NAME", help_heading = "Instance")]
    pub availability_zone: Option<ZoneName>,
    /// Address for links from other entries and agents.
    #[arg(long, value_name = "IP:PORT", help_heading = "Addresses")]
    pub link_address: Option<SocketAddr>,
    /// Address for metrics and health.
    #[arg(long, value_name = "IP:PORT", help_heading = "Addresses")]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's services.
    #[arg(long, value_name = "IP:PORT", help_heading = "Addresses")]
    pub platform_address: Option<SocketAddr>,
    /// Lowest level of log lines.
    #[arg(
        long,
        value_name = "LEVEL",
        value_parser = PossibleValuesParser::new(LogLevel::WORDS),
        help_heading = "Logs"
    )]
    pub log_level: Option<String>,
}

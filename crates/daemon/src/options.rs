//! Settings of a process. Each section of the INI file has its own struct, in its own module.

pub mod agent;
pub mod choice;
pub mod entry;
pub mod gateway;
pub mod instance;
pub mod log;
pub mod metrics;
pub mod platform;
pub mod source;
pub mod stop;
pub mod units;

pub use {
    agent::AgentOptions, entry::EntryOptions, gateway::GatewayOptions, instance::InstanceOptions,
    log::LogOptions, metrics::MetricsOptions, platform::PlatformOptions, source::SettingsError,
    stop::StopOptions,
};

use {
    crate::arguments::{DaemonCommand, GatewayArguments, OverrideArguments},
    error_stack::Report,
    source::SettingsSource,
    std::{path::Path, result},
};

/// Result of reading settings.
pub type Result<T> = result::Result<T, Report<SettingsError>>;

/// All settings of a process. Arguments take precedence over the file, and the file over defaults.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// Section `instance`: name and location of the process.
    pub instance: InstanceOptions,
    /// Section `entry`; `None` if the file has none. An entry needs it.
    pub entry: Option<EntryOptions>,
    /// Section `agent`; `None` if the file has none. An agent needs it.
    pub agent: Option<AgentOptions>,
    /// Section `gateway`; `None` if the file has none. A gateway needs it.
    pub gateway: Option<GatewayOptions>,
    /// Section `platform`: address and timeout of the platform's services.
    pub platform: PlatformOptions,
    /// Section `metrics`: address for metrics and health.
    pub metrics: MetricsOptions,
    /// Section `log`: level and format of log lines.
    pub log: LogOptions,
    /// Section `stop`: times of a graceful stop.
    pub stop: StopOptions,
}

const SECTIONS: &[&str] = &[
    "instance", "entry", "agent", "gateway", "platform", "metrics", "log", "stop",
];

impl DaemonOptions {
    /// Reads and checks the settings file of a command, and applies the command's arguments to it.
    ///
    /// # Errors
    ///
    /// Fails if the file or a mandatory section or key is missing, on an unknown section or key,
    /// and on an invalid value. The error names the file and, where they apply, section, key and
    /// value.
    pub fn load(command: &DaemonCommand) -> Result<Self> {
        match command {
            DaemonCommand::Agent(arguments) => {
                let mut source = Self::open(&arguments.file, &arguments.overrides)?;
                source.require_section("agent")?;
                source.set("agent", "target_address", arguments.target_address.as_ref());
                let link_address = arguments.overrides.link_address;
                source.set("agent", "link_address", link_address.as_ref());
                Self::from_source(&source)
            }
            DaemonCommand::Check(arguments) => {
                let source = SettingsSource::open(&arguments.file, SECTIONS)?;
                Self::from_source(&source)
            }
            DaemonCommand::Gateway(arguments) => Self::load_gateway(arguments),
            DaemonCommand::Entry(arguments) => {
                let mut source = Self::open(&arguments.file, &arguments.overrides)?;
                source.require_section("entry")?;
                source.set("entry", "caller_address", arguments.caller_address.as_ref());
                source.set(
                    "entry",
                    "operator_address",
                    arguments.operator_address.as_ref(),
                );
                let link_address = arguments.overrides.link_address;
                source.set("entry", "link_address", link_address.as_ref());
                Self::from_source(&source)
            }
        }
    }

    /// Reads and checks the settings of a gateway.
    ///
    /// # Errors
    ///
    /// Fails for the same reasons as [`Self::load`].
    pub fn load_gateway(arguments: &GatewayArguments) -> Result<Self> {
        let source = Self::open(&arguments.file, &arguments.overrides)?;
        source.require_section("gateway")?;
        Self::from_source(&source)
    }

    fn open(file: &Path, overrides: &OverrideArguments) -> Result<SettingsSource> {
        let mut source = SettingsSource::open(file, SECTIONS)?;
        source.set("instance", "name", overrides.instance.as_ref());
        source.set(
            "instance",
            "availability_zone",
            overrides.availability_zone.as_ref(),
        );
        source.set("metrics", "address", overrides.metrics_address.as_ref());
        source.set("platform", "address", overrides.platform_address.as_ref());
        source.set("log", "level", overrides.log_level.as_ref());
        Ok(source)
    }

    fn from_source(source: &SettingsSource) -> Result<Self> {
        let roles = ["entry", "agent", "gateway"];
        if !roles.iter().any(|role| source.has_section(role)) {
            let fault = "the section `entry`, `agent` or `gateway` is missing".to_owned();
            return Err(source.file_error(fault));
        }
        Ok(Self {
            instance: source.section("instance")?,
            entry: source.optional_section("entry")?,
            agent: source.optional_section("agent")?,
            gateway: source.optional_section("gateway")?,
            platform: source.section("platform")?,
            metrics: source.section("metrics")?,
            log: source.section("log")?,
            stop: source.section("stop")?,
        })
    }
}

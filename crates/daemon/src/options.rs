//! Settings of a process: one struct and one file a section of the INI file.

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

/// All settings of a process. Arguments win over the file, the file over defaults.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// Section `instance`.
    pub instance: InstanceOptions,
    /// Section `entry`; present if the file describes an entry.
    pub entry: Option<EntryOptions>,
    /// Section `agent`; present if the file describes an agent.
    pub agent: Option<AgentOptions>,
    /// Section `gateway`; present if the file describes a gateway.
    pub gateway: Option<GatewayOptions>,
    /// Section `platform`.
    pub platform: PlatformOptions,
    /// Section `metrics`.
    pub metrics: MetricsOptions,
    /// Section `log`.
    pub log: LogOptions,
    /// Section `stop`.
    pub stop: StopOptions,
}

const SECTIONS: &[&str] = &[
    "instance", "entry", "agent", "gateway", "platform", "metrics", "log", "stop",
];

impl DaemonOptions {
    /// Reads and checks the settings that a command names.
    ///
    /// # Errors
    ///
    /// Fails on a missing file, an unknown section or key, and an invalid value; the error names
    /// file, section, key and value.
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
    /// Fails like [`Self::load`].
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

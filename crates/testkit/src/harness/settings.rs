//! Settings files of the daemons that a fleet starts.

use {
    super::{HarnessError, Result},
    ini::Ini,
    std::{net::SocketAddr, path::Path},
};

/// Sections that only the settings file of the agent or the entry role contains.
const ROLE_SECTIONS: [&str; 2] = ["agent", "entry"];

/// Settings that entries and agents have in common.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Instance name.
    pub name: String,
    /// Availability zone of the instance.
    pub availability_zone: String,
    /// Region of the instance.
    pub region: String,
    /// Address of the platform services, or of the relay in front of them.
    pub platform: SocketAddr,
    /// Address that serves metrics and health checks.
    pub metrics: SocketAddr,
    /// Additional settings as section, key and value; they override the other fields.
    pub overrides: Vec<(String, String, String)>,
}

/// Addresses that an entry listens on.
#[derive(Clone, Copy, Debug)]
pub struct EntrySettings {
    /// Address for requests of callers.
    pub caller: SocketAddr,
    /// Address for the operator API.
    pub operator: SocketAddr,
    /// Address for links from other entries.
    pub link: SocketAddr,
}

/// Settings of an agent and of the target that it serves.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Address for links from entries.
    pub link: SocketAddr,
    /// Address of the target.
    pub target: SocketAddr,
    /// Service that the target provides.
    pub service: String,
    /// Model group of the target; `None` for a plain service.
    pub group: Option<String>,
    /// Lowest rank of the target within its group; not used for a plain service.
    pub first_rank: usize,
    /// Number of ranks of the target; not used for a plain service.
    pub ranks: usize,
    /// Most requests in flight at the target.
    pub concurrency: usize,
}

impl InstanceSettings {
    fn common(&self) -> Ini {
        let mut settings = Ini::new();
        settings
            .with_section(Some("instance"))
            .set("name", &self.name)
            .set("availability_zone", &self.availability_zone)
            .set("region", &self.region);
        settings
            .with_section(Some("platform"))
            .set("address", self.platform.to_string());
        settings
            .with_section(Some("metrics"))
            .set("address", self.metrics.to_string());
        // The text format is easier to read than JSON in the output of a failed test.
        settings
            .with_section(Some("log"))
            .set("level", "info")
            .set("format", "text");
        settings
    }

    fn write(&self, mut settings: Ini, file: &Path) -> Result<()> {
        for (section, key, value) in &self.overrides {
            // An override of a role section is skipped in the file of the other role, which must
            // not contain that section.
            let is_role_section = ROLE_SECTIONS.contains(&section.as_str());
            if !is_role_section || settings.section(Some(section)).is_some() {
                settings.set_to(Some(section), key.clone(), value.clone());
            }
        }
        let written = settings.write_to_file(file);
        written.map_err(|error| HarnessError::report(file.display(), error))
    }

    /// Writes the settings file of an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_entry(&self, entry: &EntrySettings, file: &Path) -> Result<()> {
        let mut settings = self.common();
        settings
            .with_section(Some("entry"))
            .set("caller_address", entry.caller.to_string())
            .set("operator_address", entry.operator.to_string())
            .set("link_address", entry.link.to_string());
        self.write(settings, file)
    }

    /// Writes the settings file of an agent.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_agent(&self, agent: &AgentSettings, file: &Path) -> Result<()> {
        let mut settings = self.common();
        let kind = if agent.group.is_some() {
            "model"
        } else {
            "plain"
        };
        settings
            .with_section(Some("agent"))
            .set("link_address", agent.link.to_string())
            .set("target_address", agent.target.to_string())
            .set("service", &agent.service)
            .set("kind", kind)
            .set("concurrency", agent.concurrency.to_string());
        if let Some(group) = &agent.group {
            settings
                .with_section(Some("agent"))
                .set("group", group)
                .set("first_rank", agent.first_rank.to_string())
                .set("ranks", agent.ranks.to_string());
        }
        self.write(settings, file)
    }
}

//! Settings files of daemons.

use {
    super::{HarnessError, Result},
    ini::Ini,
    std::{net::SocketAddr, path::Path},
};

/// Sections that only the files of one role have.
const ROLE_SECTIONS: [&str; 2] = ["agent", "entry"];

/// Identity of a daemon.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Region.
    pub region: String,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of metrics and health.
    pub metrics: SocketAddr,
    /// Further settings, as section, key and value; they win.
    pub further: Vec<(String, String, String)>,
}

/// Addresses of an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntrySettings {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address for peers.
    pub link: SocketAddr,
}

/// Target of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Address for links.
    pub link: SocketAddr,
    /// Address of the target.
    pub target: SocketAddr,
    /// Service.
    pub service: String,
    /// Model group; absent for a plain service.
    pub group: Option<String>,
    /// First rank of the target.
    pub first_rank: usize,
    /// Ranks of the target.
    pub ranks: usize,
    /// Requests in flight at the target.
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
        // The text form is the easier one to read in the output of a failed test.
        settings
            .with_section(Some("log"))
            .set("level", "info")
            .set("format", "text");
        settings
    }

    fn write(&self, mut settings: Ini, file: &Path) -> Result<()> {
        for (section, key, value) in &self.further {
            // A setting of agents must not add a section to an entry's file, nor the reverse.
            let is_role = ROLE_SECTIONS.contains(&section.as_str());
            if !is_role || settings.section(Some(section)).is_some() {
                settings.set_to(Some(section), key.clone(), value.clone());
            }
        }
        let written = settings.write_to_file(file);
        written.map_err(|error| HarnessError::report(file.display(), error))
    }

    /// Writes the settings of an entry.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write_entry(&self, entry: &EntrySettings, file: &Path) -> Result<()> {
        let mut settings = self.common();
        settings
            .with_section(Some("entry"))
            .set("caller_address", entry.caller.to_string())
            .set("operator_address", entry.operator.to_string())
            .set("link_address", entry.link.to_string());
        self.write(settings, file)
    }

    /// Writes the settings of an agent.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
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

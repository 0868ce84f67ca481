//! Starts the entries and agents of a fleet.

use {
    super::{AgentHandle, EntryHandle, Fleet},
    crate::{
        harness::{
            Result, binaries,
            ports::free_address,
            process::ChildProcess,
            readiness::wait_ready,
            settings::{AgentSettings, EntrySettings, InstanceSettings},
            topology::ZoneTopology,
        },
        platform::{
            ListedInstance,
            instances::{InstanceBody, ListedRole, ListedState},
        },
    },
    std::{collections::HashMap, net::SocketAddr, path::Path},
};

/// Agent that is to be started for a target.
struct PlannedAgent {
    name: String,
    availability_zone: String,
    settings: AgentSettings,
}

struct PlannedEntry {
    name: String,
    availability_zone: String,
    settings: EntrySettings,
}

impl Fleet {
    /// Publishes the instance list at the platform, starts the agents and entries, and waits until
    /// they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub async fn start_daemons(&mut self) -> Result<()> {
        let agents = self.plan_agents()?;
        let entries = self.plan_entries()?;
        let link_relays = self.start_link_relays(&agents).await?;
        let platforms = self.start_platform_relays().await?;
        self.publish_instances(&agents, &entries, &link_relays)
            .await?;
        for agent in agents {
            let relay = link_relays.get(&agent.name).copied();
            let platform = platforms[&agent.availability_zone];
            let handle = self.start_agent(agent, relay, platform)?;
            self.agents.push(handle);
        }
        for entry in entries {
            let platform = platforms[&entry.availability_zone];
            let handle = self.start_entry(entry, platform)?;
            self.entries.push(handle);
        }
        self.wait_daemons().await
    }

    async fn wait_daemons(&mut self) -> Result<()> {
        for agent in &mut self.agents {
            wait_ready(&mut agent.process, agent.metrics_address, "/readyz").await?;
        }
        for entry in &mut self.entries {
            wait_ready(&mut entry.process, entry.metrics_address, "/readyz").await?;
        }
        Ok(())
    }

    fn plan_agents(&self) -> Result<Vec<PlannedAgent>> {
        let mut agents = Vec::new();
        for group in &self.groups {
            for (index, server) in group.servers.iter().enumerate() {
                agents.push(PlannedAgent {
                    name: format!("{}-{}", group.name, index + 1),
                    availability_zone: group.availability_zone.clone(),
                    settings: AgentSettings {
                        link: free_address()?,
                        target: *server,
                        service: group.service.clone(),
                        group: Some(group.name.clone()),
                        first_rank: index * group.ranks,
                        ranks: group.ranks,
                        concurrency: group.concurrency,
                    },
                });
            }
        }
        for service in &self.services {
            agents.push(PlannedAgent {
                name: format!("{}-agent", service.name),
                availability_zone: service.availability_zone.clone(),
                settings: AgentSettings {
                    link: free_address()?,
                    target: service.address,
                    service: service.service.clone(),
                    group: None,
                    first_rank: 0,
                    ranks: 1,
                    concurrency: service.concurrency,
                },
            });
        }
        Ok(agents)
    }

    fn plan_entries(&self) -> Result<Vec<PlannedEntry>> {
        let plan_zone = |zone: &ZoneTopology| {
            let name = zone.name.clone();
            (1..=zone.entries).map(move |index| {
                Ok(PlannedEntry {
                    name: format!("{name}-entry-{index}"),
                    availability_zone: name.clone(),
                    settings: EntrySettings {
                        caller: free_address()?,
                        operator: free_address()?,
                        link: free_address()?,
                    },
                })
            })
        };
        self.topology.zones.iter().flat_map(plan_zone).collect()
    }

    async fn start_link_relays(
        &mut self,
        agents: &[PlannedAgent],
    ) -> Result<HashMap<String, usize>> {
        let mut relays = HashMap::new();
        if !self.topology.relays_links {
            return Ok(relays);
        }
        for agent in agents {
            let relay = self.start_relay(&agent.name, agent.settings.link).await?;
            relays.insert(agent.name.clone(), relay);
        }
        Ok(relays)
    }

    /// Returns the address at which the daemons of each zone reach the platform.
    async fn start_platform_relays(&mut self) -> Result<HashMap<String, SocketAddr>> {
        let mut addresses = HashMap::new();
        for zone in self.topology.zones.clone() {
            let mut address = self.platform_address;
            if self.topology.relays_platform {
                let name = format!("platform-{}", zone.name);
                let relay = self.start_relay(&name, address).await?;
                address = self.relays[relay].address;
            }
            addresses.insert(zone.name, address);
        }
        Ok(addresses)
    }

    async fn publish_instances(
        &self,
        agents: &[PlannedAgent],
        entries: &[PlannedEntry],
        relays: &HashMap<String, usize>,
    ) -> Result<()> {
        let region = &self.topology.region;
        let agents = agents.iter().map(|agent| {
            let relay = relays.get(&agent.name).map(|relay| &self.relays[*relay]);
            ListedInstance {
                instance: agent.name.clone(),
                role: ListedRole::Target,
                availability_zone: agent.availability_zone.clone(),
                region: region.clone(),
                service: Some(agent.settings.service.clone()),
                group: agent.settings.group.clone(),
                link_address: relay.map_or(agent.settings.link, |relay| relay.address),
                state: ListedState::Live,
            }
        });
        let entries = entries.iter().map(|entry| ListedInstance {
            instance: entry.name.clone(),
            role: ListedRole::Entry,
            availability_zone: entry.availability_zone.clone(),
            region: region.clone(),
            service: None,
            group: None,
            link_address: entry.settings.link,
            state: ListedState::Live,
        });
        let instances = agents.chain(entries).collect();
        let body = InstanceBody { instances };
        self.post_admin(self.platform_address, "/admin/instances", &body)
            .await
    }

    fn instance(&self, name: &str, zone: &str, platform: SocketAddr) -> Result<InstanceSettings> {
        Ok(InstanceSettings {
            name: name.to_owned(),
            availability_zone: zone.to_owned(),
            region: self.topology.region.clone(),
            platform,
            metrics: free_address()?,
            overrides: self.topology.settings.clone(),
        })
    }

    fn start_daemon(&self, role: &str, name: &str, file: &Path) -> Result<ChildProcess> {
        let arguments = [role, "--file", &file.display().to_string()].map(str::to_owned);
        self.start_process(
            name,
            binaries::binary("sassafrasslipd")?,
            arguments.to_vec(),
        )
    }

    fn start_agent(
        &self,
        agent: PlannedAgent,
        relay: Option<usize>,
        platform: SocketAddr,
    ) -> Result<AgentHandle> {
        let PlannedAgent {
            name,
            availability_zone,
            settings,
        } = agent;
        let file = self.file(&format!("{name}.ini"));
        let instance = self.instance(&name, &availability_zone, platform)?;
        instance.write_agent(&settings, &file)?;
        Ok(AgentHandle {
            process: self.start_daemon("agent", &name, &file)?,
            name,
            availability_zone,
            service: settings.service,
            target_address: settings.target,
            metrics_address: instance.metrics,
            relay,
        })
    }

    fn start_entry(&self, entry: PlannedEntry, platform: SocketAddr) -> Result<EntryHandle> {
        let PlannedEntry {
            name,
            availability_zone,
            settings,
        } = entry;
        let file = self.file(&format!("{name}.ini"));
        let instance = self.instance(&name, &availability_zone, platform)?;
        instance.write_entry(&settings, &file)?;
        Ok(EntryHandle {
            process: self.start_daemon("entry", &name, &file)?,
            name,
            availability_zone,
            caller_address: settings.caller,
            operator_address: settings.operator,
            metrics_address: instance.metrics,
        })
    }
}

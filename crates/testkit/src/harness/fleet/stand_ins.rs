//! Starts the stand-ins of a fleet: platform, engines, services and relays.

use {
    super::{CALL_LIMIT, Fleet, GroupHandle, RelayHandle, ServiceHandle},
    crate::{
        harness::{
            HarnessError, Result, binaries,
            ports::free_address,
            process::{ChildProcess, ProcessSpec},
            readiness::wait_ready,
            topology::{FleetTopology, GroupTopology, ServiceTopology},
        },
        http::HttpClient,
    },
    std::net::SocketAddr,
    tempfile::TempDir,
};

impl Fleet {
    /// Starts the platform and the targets of a topology, without relays, agents and entries.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready.
    pub async fn start_stand_ins(topology: FleetTopology) -> Result<Self> {
        let folder = TempDir::with_prefix("sassafrasslip-");
        let folder = folder.map_err(|error| HarnessError::report("temporary folder", error))?;
        let platform_address = free_address()?;
        let mut platform = ChildProcess::start(ProcessSpec {
            name: "platform".to_owned(),
            program: binaries::example("platform")?,
            arguments: vec!["--listen".to_owned(), platform_address.to_string()],
            log: folder.path().join("platform.log"),
        })?;
        wait_ready(&mut platform, platform_address, "/healthz").await?;
        let mut fleet = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            relays: Vec::new(),
            groups: Vec::new(),
            services: Vec::new(),
            platform,
            platform_address,
            topology,
            client: HttpClient::new(CALL_LIMIT),
            folder,
        };
        fleet.start_targets().await?;
        Ok(fleet)
    }

    async fn start_targets(&mut self) -> Result<()> {
        for zone in self.topology.zones.clone() {
            for group in &zone.groups {
                let handle = self.start_group(&zone.name, group).await?;
                self.groups.push(handle);
            }
            for service in &zone.services {
                for index in 1..=service.instances {
                    let handle = self.start_service(&zone.name, service, index).await?;
                    self.services.push(handle);
                }
            }
        }
        Ok(())
    }

    async fn start_group(&self, zone: &str, group: &GroupTopology) -> Result<GroupHandle> {
        let servers = (0..group.servers).map(|_| free_address());
        let servers: Vec<SocketAddr> = servers.collect::<Result<_>>()?;
        let mut arguments = vec!["--ranks".to_owned(), group.ranks.to_string()];
        for server in &servers {
            arguments.extend(["--server".to_owned(), server.to_string()]);
        }
        arguments.extend(group.engine_arguments.iter().cloned());
        let program = binaries::example("engine")?;
        let mut process = self.start_process(&group.name, program, arguments)?;
        for server in &servers {
            wait_ready(&mut process, *server, "/healthz").await?;
        }
        Ok(GroupHandle {
            process,
            name: group.name.clone(),
            service: group.service.clone(),
            availability_zone: zone.to_owned(),
            servers,
            ranks: group.ranks,
            concurrency: group.concurrency,
        })
    }

    async fn start_service(
        &self,
        zone: &str,
        service: &ServiceTopology,
        index: usize,
    ) -> Result<ServiceHandle> {
        let address = free_address()?;
        let name = format!("{zone}-{}-{index}", service.service);
        let mut arguments = vec!["--listen".to_owned(), address.to_string()];
        arguments.extend(service.service_arguments.iter().cloned());
        let program = binaries::example("service")?;
        let mut process = self.start_process(&name, program, arguments)?;
        wait_ready(&mut process, address, "/healthz").await?;
        Ok(ServiceHandle {
            process,
            name,
            service: service.service.clone(),
            availability_zone: zone.to_owned(),
            address,
            concurrency: service.concurrency,
        })
    }

    /// Starts a relay in front of an address, adds it to the fleet and returns its index in
    /// [`Fleet::relays`].
    ///
    /// # Errors
    ///
    /// Returns an error if the relay cannot be started or does not become ready.
    pub async fn start_relay(&mut self, name: &str, target: SocketAddr) -> Result<usize> {
        let (address, admin_address) = (free_address()?, free_address()?);
        let pairs = [
            ("--listen", address),
            ("--target", target),
            ("--admin", admin_address),
        ];
        let arguments = pairs
            .iter()
            .flat_map(|(name, address)| [(*name).to_owned(), address.to_string()]);
        let arguments = arguments.collect();
        let program = binaries::example("relay")?;
        let mut process = self.start_process(&format!("relay-{name}"), program, arguments)?;
        wait_ready(&mut process, admin_address, "/healthz").await?;
        self.relays.push(RelayHandle {
            process,
            name: name.to_owned(),
            address,
            admin_address,
        });
        Ok(self.relays.len() - 1)
    }
}

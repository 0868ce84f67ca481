//! What a fleet consists of.

/// Fleet of one region.
#[derive(Clone, Debug)]
pub struct FleetTopology {
    /// Region.
    pub region: String,
    /// Availability zones.
    pub zones: Vec<ZoneTopology>,
    /// Whether each agent's link address is that of a relay.
    pub relays_links: bool,
    /// Whether each zone's daemons reach the platform through a relay.
    pub relays_platform: bool,
    /// Further settings of all daemons, as section, key and value.
    pub settings: Vec<(String, String, String)>,
}

/// Availability zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneTopology {
    /// Name.
    pub name: String,
    /// Number of entries.
    pub entries: usize,
    /// Model groups.
    pub groups: Vec<GroupTopology>,
    /// Plain services.
    pub services: Vec<ServiceTopology>,
}

/// Model group; each of its servers has an agent.
#[derive(Clone, Debug)]
pub struct GroupTopology {
    /// Name.
    pub name: String,
    /// Service that the group provides.
    pub service: String,
    /// Number of servers.
    pub servers: usize,
    /// Ranks of each server.
    pub ranks: usize,
    /// Requests in flight at each server.
    pub concurrency: usize,
    /// Further arguments of the engine stand-in.
    pub engine_arguments: Vec<String>,
}

/// Plain service; each of its instances has an agent.
#[derive(Clone, Debug)]
pub struct ServiceTopology {
    /// Service.
    pub service: String,
    /// Number of instances.
    pub instances: usize,
    /// Requests in flight at each instance.
    pub concurrency: usize,
    /// Further arguments of the service stand-in.
    pub service_arguments: Vec<String>,
}

impl FleetTopology {
    /// Creates a fleet without relays.
    pub fn new(zones: Vec<ZoneTopology>) -> Self {
        Self {
            region: "region-1".to_owned(),
            zones,
            relays_links: false,
            relays_platform: false,
            settings: Vec::new(),
        }
    }
}

impl ZoneTopology {
    /// Creates a zone without targets.
    pub fn new(name: &str, entries: usize) -> Self {
        Self {
            name: name.to_owned(),
            entries,
            ..Self::default()
        }
    }

    /// Adds a model group.
    #[must_use]
    pub fn with_group(mut self, group: GroupTopology) -> Self {
        self.groups.push(group);
        self
    }

    /// Adds a plain service.
    #[must_use]
    pub fn with_service(mut self, service: ServiceTopology) -> Self {
        self.services.push(service);
        self
    }
}

impl GroupTopology {
    /// Creates a group with 4 ranks a server.
    pub fn new(name: &str, service: &str, servers: usize) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            servers,
            ranks: 4,
            concurrency: 32,
            engine_arguments: Vec::new(),
        }
    }
}

impl ServiceTopology {
    /// Creates a service.
    pub fn new(service: &str, instances: usize) -> Self {
        Self {
            service: service.to_owned(),
            instances,
            concurrency: 32,
            service_arguments: Vec::new(),
        }
    }
}

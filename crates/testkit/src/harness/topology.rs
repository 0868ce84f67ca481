//! Description of the zones, groups and services that a fleet starts.

/// Zones and processes of a fleet within one region.
#[derive(Clone, Debug)]
pub struct FleetTopology {
    /// Region name of all instances.
    pub region: String,
    /// Availability zones of the region.
    pub zones: Vec<ZoneTopology>,
    /// Whether entries reach each agent through a relay of its own, so that tests can disturb its
    /// links.
    pub relays_links: bool,
    /// Whether the daemons of each zone reach the platform through a relay of the zone.
    pub relays_platform: bool,
    /// Additional settings of all daemons, as section, key and value.
    pub settings: Vec<(String, String, String)>,
}

/// Entries and targets of an availability zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneTopology {
    /// Availability zone name.
    pub name: String,
    /// Number of entries in the zone.
    pub entries: usize,
    /// Model groups in the zone.
    pub groups: Vec<GroupTopology>,
    /// Plain services with instances in the zone.
    pub services: Vec<ServiceTopology>,
}

/// Model group. One agent is started for each of its servers.
#[derive(Clone, Debug)]
pub struct GroupTopology {
    /// Group name.
    pub name: String,
    /// Service that the group provides.
    pub service: String,
    /// Number of servers in the group.
    pub servers: usize,
    /// Number of ranks of each server.
    pub ranks: usize,
    /// Most requests in flight at each server.
    pub concurrency: usize,
    /// Additional command-line arguments of the engine stand-in.
    pub engine_arguments: Vec<String>,
}

/// Instances of a plain service in one zone. One agent is started for each of them.
#[derive(Clone, Debug)]
pub struct ServiceTopology {
    /// Service name.
    pub service: String,
    /// Number of instances in the zone.
    pub instances: usize,
    /// Most requests in flight at each instance.
    pub concurrency: usize,
    /// Additional command-line arguments of the service stand-in.
    pub service_arguments: Vec<String>,
}

impl FleetTopology {
    /// Returns a topology without relays and without additional settings.
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
    /// Returns a zone with `entries` entries and no targets.
    pub fn new(name: &str, entries: usize) -> Self {
        Self {
            name: name.to_owned(),
            entries,
            ..Self::default()
        }
    }

    /// Adds a model group to the zone.
    #[must_use]
    pub fn with_group(mut self, group: GroupTopology) -> Self {
        self.groups.push(group);
        self
    }

    /// Adds the instances of a plain service to the zone.
    #[must_use]
    pub fn with_service(mut self, service: ServiceTopology) -> Self {
        self.services.push(service);
        self
    }
}

impl GroupTopology {
    /// Returns a group with 4 ranks and at most 32 requests in flight for each server.
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
    /// Returns a service with at most 32 requests in flight for each instance.
    pub fn new(service: &str, instances: usize) -> Self {
        Self {
            service: service.to_owned(),
            instances,
            concurrency: 32,
            service_arguments: Vec::new(),
        }
    }
}

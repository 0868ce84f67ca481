//! Section `instance`.

use {
    sassafrasslip_core::ids::{InstanceName, ZoneName},
    serde::Deserialize,
};

/// Identity of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceOptions {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Availability zone.
    pub availability_zone: ZoneName,
    /// Region.
    pub region: ZoneName,
}

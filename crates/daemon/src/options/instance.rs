//! Section `instance` of the settings file.

use {
    sassafrasslip_core::ids::{InstanceName, ZoneName},
    serde::Deserialize,
};

/// Name and location of the process's instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceOptions {
    /// Name of the instance, unique in the fleet.
    pub name: InstanceName,
    /// Availability zone in which the instance runs.
    pub availability_zone: ZoneName,
    /// Region to which the availability zone belongs.
    pub region: ZoneName,
}

//! Section `agent` of the settings file.

use {
    super::{
        choice::setting_choices,
        units::{AddressText, CountText, MethodsText, NumberText},
    },
    sassafrasslip_core::ids::{GroupName, ServiceName},
    serde::Deserialize,
    serde_with::serde_as,
    std::net::SocketAddr,
};

setting_choices! {
    /// Kind of the service that a target provides.
    pub enum TargetKind {
        /// Engine that runs ranks of a model.
        Model = "model",
        /// Plain HTTP service.
        Plain = "plain",
    }
}

setting_choices! {
    /// Whether the engine checks the fencing tokens of orders.
    #[derive(Default)]
    pub enum FencingSupport {
        /// The engine refuses an order whose token is older than one that it has seen.
        Checks = "checks",
        /// The engine ignores tokens, so that only the agent checks them.
        #[default]
        Ignores = "ignores",
    }
}

/// Addresses of an agent, and the service and capacity of its target.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentOptions {
    /// Address at which the agent accepts links from entries and from the placer.
    #[serde_as(as = "AddressText")]
    pub link_address: SocketAddr,
    /// Address of the target: the engine or plain service.
    #[serde_as(as = "AddressText")]
    pub target_address: SocketAddr,
    /// Service that the target provides.
    pub service: ServiceName,
    /// Kind of the service.
    pub kind: TargetKind,
    /// Model group to which the target belongs; only for model engines.
    pub group: Option<GroupName>,
    /// Number of the first rank of the group that the target runs, from 0.
    #[serde_as(as = "NumberText")]
    #[serde(default = "default_first_rank")]
    pub first_rank: u32,
    /// Number of consecutive ranks of the group that the target runs, at least 1.
    #[serde_as(as = "CountText")]
    #[serde(default = "default_ranks")]
    pub ranks: u32,
    /// Maximum number of requests that the target processes at once, at least 1.
    #[serde_as(as = "CountText")]
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// HTTP methods whose calls may be repeated, for plain services. Calls with other methods run
    /// at most once.
    #[serde_as(as = "MethodsText")]
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<String>,
    /// Whether the engine checks the fencing tokens of orders.
    #[serde(default)]
    pub fencing: FencingSupport,
}

fn default_first_rank() -> u32 {
    0
}

fn default_ranks() -> u32 {
    1
}

fn default_concurrency() -> u32 {
    32
}

fn default_idempotent_methods() -> Vec<String> {
    ["GET", "HEAD", "OPTIONS"].map(str::to_owned).to_vec()
}

//! Section `agent`.

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
    /// Kind of the service behind an agent.
    pub enum TargetKind {
        /// Model engine.
        Model = "model",
        /// Plain HTTP service.
        Plain = "plain",
    }
}

setting_choices! {
    /// How the engine treats fencing tokens.
    #[derive(Default)]
    pub enum FencingSupport {
        /// The engine refuses an order with an old token.
        Checks = "checks",
        /// The engine ignores tokens, so that the agent is the only check.
        #[default]
        Ignores = "ignores",
    }
}

/// The target of an agent.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentOptions {
    /// Address for links of entries and of the placer.
    #[serde_as(as = "AddressText")]
    pub link_address: SocketAddr,
    /// Address of the engine or service.
    #[serde_as(as = "AddressText")]
    pub target_address: SocketAddr,
    /// Service that the target provides.
    pub service: ServiceName,
    /// Kind of the service.
    pub kind: TargetKind,
    /// Model group to which the target belongs; for model engines.
    pub group: Option<GroupName>,
    /// First rank of the group that the target runs.
    #[serde_as(as = "NumberText")]
    #[serde(default = "default_first_rank")]
    pub first_rank: u32,
    /// Ranks of the group that the target runs.
    #[serde_as(as = "CountText")]
    #[serde(default = "default_ranks")]
    pub ranks: u32,
    /// Requests that the target can work on at once.
    #[serde_as(as = "CountText")]
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Methods whose calls may be repeated, for plain services.
    #[serde_as(as = "MethodsText")]
    #[serde(default = "default_idempotent_methods")]
    pub idempotent_methods: Vec<String>,
    /// How the engine treats fencing tokens.
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

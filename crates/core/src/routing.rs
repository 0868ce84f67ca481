//! Choice of a target for a request.

pub mod candidate;
pub mod decision;
pub mod policy;

pub use {
    candidate::{Candidate, Exclusion},
    decision::{RouteDecision, RouteError, RouteRule, Router},
    policy::RoutePolicy,
};

use {
    crate::{
        ids::{KindName, ServiceName},
        membership::TargetKey,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Bytes of a prompt that decide on prefix affinity: enough to tell the fixed openings of
/// prompts apart, and short enough that requests which differ only later share a target.
pub const PREFIX_BYTES: usize = 256;

/// Returns the hash of a prompt's prefix, as in `AgentReport.cached_prefixes`: XXH3-64 of the
/// first [`PREFIX_BYTES`] bytes, or of the whole prompt if it is shorter.
pub fn prefix_hash(prompt: &[u8]) -> u64 {
    xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)])
}

/// What routing needs to know about a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Kind of the request.
    pub kind: Option<&'a KindName>,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Targets that earlier attempts have used.
    pub tried: &'a [TargetKey],
}

//! Routing: the choice of a target for a request.

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

/// Length of the prompt prefix that prefix affinity uses, in bytes: long enough to tell the fixed
/// beginnings of prompts apart, and short enough that requests which differ only later share a
/// target.
pub const PREFIX_BYTES: usize = 256;

/// Returns the hash of a prompt's prefix, as `AgentReport.cached_prefixes` holds it: XXH3-64 of the
/// first [`PREFIX_BYTES`] bytes, or of the whole prompt if it is shorter.
pub fn prefix_hash(prompt: &[u8]) -> u64 {
    xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)])
}

/// Properties of a request that routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Service that the request calls.
    pub service: &'a ServiceName,
    /// Kind of the request, if it has one; it selects the cost at targets that report costs by
    /// kind.
    pub kind: Option<&'a KindName>,
    /// Hash of the prompt's prefix, as [`prefix_hash`] returns it, if the request has a prompt.
    pub prefix: Option<u64>,
    /// Targets of earlier attempts of the request; they are not chosen again.
    pub tried: &'a [TargetKey],
}

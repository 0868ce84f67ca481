//! Explanations of routing decisions and status of the fleet, as shown by the operator API.

pub mod ring;

pub use ring::ExplanationRing;

use {
    crate::{
        configuration::Revision,
        ids::{GroupName, InstanceName, KindName, RequestId, ServiceName, TeamName, ZoneName},
    },
    serde::{Deserialize, Serialize},
    serde_with::skip_serializing_none,
};

/// Candidate of a routing decision, with the values on which the decision is based.
#[skip_serializing_none]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CandidateRecord {
    /// Instance name of the candidate.
    pub target: InstanceName,
    /// Availability zone of the candidate.
    pub availability_zone: ZoneName,
    /// Number of requests in flight at the candidate, as estimated by the entry.
    pub in_flight: u32,
    /// Limit on the number of requests in flight at the candidate.
    pub limit: u32,
    /// Score of the candidate; a lower score is better.
    pub score: f64,
    /// Reason why the candidate could not be chosen; `None` if it could.
    pub excluded: Option<String>,
}

/// Attempt to serve a request at one target.
#[skip_serializing_none]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptRecord {
    /// Number of the attempt; the first one is 1.
    pub attempt: u32,
    /// Instance name of the chosen target.
    pub target: InstanceName,
    /// Rule by which the target was chosen, such as `least load` or `prefix affinity`.
    pub rule: String,
    /// Defaults and exceptions that the used settings come from, such as `exception:night-shift`.
    pub sources: Vec<String>,
    /// Candidates that were compared, best first; at most 16.
    pub candidates: Vec<CandidateRecord>,
    /// Result of the attempt; `None` while it runs.
    pub result: Option<String>,
}

/// Explanation of how a request was routed, over all of its attempts.
#[skip_serializing_none]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestExplanation {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Entry that accepted the request.
    pub entry: InstanceName,
    /// Team of the caller.
    pub team: TeamName,
    /// Service that the caller asked for.
    pub service: ServiceName,
    /// Request kind, if the caller named one.
    pub kind: Option<KindName>,
    /// Configuration revision by which the request was routed.
    pub revision: Revision,
    /// Whether the entry was in cut-off mode.
    pub cut_off: bool,
    /// Attempts, in the order in which they were made.
    pub attempts: Vec<AttemptRecord>,
    /// Outcome of the request: `answered`, `not-run`, `unknown` or `in progress`.
    pub outcome: String,
    /// Reason if the request was refused.
    pub reason: Option<String>,
}

/// Status of a target, as known to the reporting entry.
#[skip_serializing_none]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetStatus {
    /// Instance name of the target.
    pub target: InstanceName,
    /// Availability zone of the target.
    pub availability_zone: ZoneName,
    /// Service that the target serves.
    pub service: ServiceName,
    /// Model group that the target belongs to, if any.
    pub group: Option<GroupName>,
    /// State of the target: `connected`, `unreachable`, `draining` or `unhealthy`.
    pub state: String,
    /// Number of requests in flight at the target, as estimated by the entry.
    pub in_flight: u32,
    /// Number of requests that the target can process concurrently.
    pub concurrency: u32,
    /// Newest configuration revision that the agent has seen; 0 if it has seen none.
    pub revision: Revision,
    /// Version of the expert map that the target uses.
    pub map_version: u64,
    /// Mean duration of an engine step, in microseconds.
    pub mean_step_us: u64,
}

/// Status of a peer entry, as known to the reporting entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Instance name of the peer.
    pub entry: InstanceName,
    /// Availability zone of the peer.
    pub availability_zone: ZoneName,
    /// Whether a link to the peer is open.
    pub connected: bool,
    /// Newest known configuration revision of the peer.
    pub revision: Revision,
}

/// Status of the fleet, as known to the reporting entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Instance name of the reporting entry.
    pub entry: InstanceName,
    /// Availability zone of the entry.
    pub availability_zone: ZoneName,
    /// Configuration revision in force at the entry.
    pub revision: Revision,
    /// Whether the entry is in cut-off mode.
    pub cut_off: bool,
    /// All known targets, ordered by name.
    pub targets: Vec<TargetStatus>,
    /// All known peer entries, ordered by name.
    pub peers: Vec<PeerStatus>,
}

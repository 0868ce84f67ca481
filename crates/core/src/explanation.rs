//! Explanations of routing decisions, and the status of the fleet, as operators read them.

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

/// One candidate of a routing decision, with the figures that decided.
#[skip_serializing_none]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CandidateRecord {
    /// Target instance.
    pub target: InstanceName,
    /// Availability zone of the target.
    pub availability_zone: ZoneName,
    /// Requests in flight that the entry believed the target to have.
    pub in_flight: u32,
    /// Limit on requests in flight.
    pub limit: u32,
    /// Score; the lowest one wins.
    pub score: f64,
    /// Why the candidate was left out, if it was.
    pub excluded: Option<String>,
}

/// Attempt to serve a request at one target.
#[skip_serializing_none]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptRecord {
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Chosen target.
    pub target: InstanceName,
    /// Rule that decided, such as `least load` or `prefix affinity`.
    pub rule: String,
    /// Defaults and exceptions that were used, such as `exception:night-shift`.
    pub sources: Vec<String>,
    /// Candidates that were weighed, best first; at most 16.
    pub candidates: Vec<CandidateRecord>,
    /// How the attempt ended; absent while it runs.
    pub result: Option<String>,
}

/// Why a request went where it went.
#[skip_serializing_none]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RequestExplanation {
    /// Request.
    pub request_id: RequestId,
    /// Entry that accepted the request.
    pub entry: InstanceName,
    /// Team.
    pub team: TeamName,
    /// Service.
    pub service: ServiceName,
    /// Kind of the request, if the caller named one.
    pub kind: Option<KindName>,
    /// Configuration revision that decided.
    pub revision: Revision,
    /// Whether the entry was in cut-off mode.
    pub cut_off: bool,
    /// Attempts in order.
    pub attempts: Vec<AttemptRecord>,
    /// Outcome: `answered`, `not-run`, `unknown` or `in progress`.
    pub outcome: String,
    /// Reason of a refusal.
    pub reason: Option<String>,
}

/// Status of a target as an entry sees it.
#[skip_serializing_none]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetStatus {
    /// Target instance.
    pub target: InstanceName,
    /// Availability zone.
    pub availability_zone: ZoneName,
    /// Service.
    pub service: ServiceName,
    /// Model group.
    pub group: Option<GroupName>,
    /// State: `connected`, `unreachable`, `draining` or `unhealthy`.
    pub state: String,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that the target can work on at once.
    pub concurrency: u32,
    /// Configuration revision that the agent has seen.
    pub revision: Revision,
    /// Version of the expert map.
    pub map_version: u64,
    /// Mean duration of a step, in microseconds.
    pub mean_step_us: u64,
}

/// Status of a peer entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Entry instance.
    pub entry: InstanceName,
    /// Availability zone.
    pub availability_zone: ZoneName,
    /// Whether a link is open.
    pub connected: bool,
    /// Configuration revision of the peer.
    pub revision: Revision,
}

/// Status of the fleet as one entry sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Entry that reports.
    pub entry: InstanceName,
    /// Availability zone of the entry.
    pub availability_zone: ZoneName,
    /// Configuration revision in force.
    pub revision: Revision,
    /// Whether the entry is in cut-off mode.
    pub cut_off: bool,
    /// Targets.
    pub targets: Vec<TargetStatus>,
    /// Peer entries.
    pub peers: Vec<PeerStatus>,
}

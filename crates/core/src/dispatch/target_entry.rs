//! Target of the instance list: its entry, what it has said in its answers, and the requests and health
//! that this gateway knows of it.

use {
    super::{target_health::TargetHealth, target_pace::PacedTarget},
    crate::ids::{GroupName, ServiceName, ZoneName},
    slotmap::new_key_type,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Highest number of slots of a target and of ranks of a group.
const MAX_COUNT: u32 = 1 << 16;

/// Highest epoch and start time, up to which JSON numbers are exact in every program.
const MAX_EXACT_INTEGER: u64 = 1 << 53;

new_key_type! {
    /// Identifies a target in its [`TargetRoster`]. A restarted target gets a new key.
    pub struct TargetKey;
}

/// Name of a target in the instance list.
pub type TargetId = Arc<str>;

/// Whether a target accepts new requests, according to the instance list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// The target accepts new requests.
    Ready,
    /// The target finishes its running requests and then stops.
    Draining,
}

/// Membership of a target in a group, which gives the rank that it has taken. The ranks of a group
/// run each pass together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupMember {
    /// Name of the group.
    pub name: GroupName,
    /// Number of the group's formation. It rises when a rank rejoins the group.
    pub epoch: u64,
    /// Rank of the target, from 0 to `size` - 1.
    pub rank: u32,
    /// Number of ranks in the group.
    pub size: u32,
    /// Whether all ranks are present; otherwise no rank runs requests.
    pub is_open: bool,
}

/// Entry of a target in the instance list.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Name in the list. Each request carries it, and the target compares it with its own.
    pub id: TargetId,
    /// Service that the target runs.
    pub service: ServiceName,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub availability_zone: ZoneName,
    /// Number of requests that the target runs at the same time.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Start time of the target in milliseconds since 1970; 0 if unknown. Another value under the
    /// same name means another process, which knows nothing of earlier requests.
    pub started_at_ms: u64,
    /// Membership in a group, if the target is a rank of a model engine.
    pub group: Option<GroupMember>,
    /// How much longer the target was cold when it wrote the entry; `None` if it did not say.
    pub cold_for: Option<Duration>,
}

impl TargetEntry {
    /// Returns whether `name`, from an answer, is the name or the address of this target.
    pub fn is_named(&self, name: &str) -> bool {
        name == &*self.id || name.parse() == Ok(self.address)
    }

    /// Returns the first field whose value no target can have; `None` for a proper entry. A name
    /// that cannot stand in a header counts as such a value, since requests have to carry it.
    pub fn invalid_field(&self) -> Option<&'static str> {
        let is_name = !self.id.is_empty() && self.id.bytes().all(|byte| byte.is_ascii_graphic());
        let checks = [
            ("name", is_name),
            ("address", is_reachable(self.address)),
            ("slots", self.slots <= MAX_COUNT),
            ("start time", self.started_at_ms <= MAX_EXACT_INTEGER),
            ("group", self.group.as_ref().is_none_or(is_rank)),
        ];
        let mut invalid = checks.into_iter().filter(|(_, is_valid)| !is_valid);
        invalid.next().map(|(field, _)| field)
    }
}

fn is_rank(member: &GroupMember) -> bool {
    member.size <= MAX_COUNT && member.rank < member.size && member.epoch <= MAX_EXACT_INTEGER
}

/// Returns whether an address can be that of one process.
fn is_reachable(address: SocketAddr) -> bool {
    let ip = address.ip();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

/// What a target has said in its answers about new requests. It takes precedence over the instance
/// list, and applies to one incarnation of the target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetNotice {
    /// Whether the target is leaving and accepts no new requests.
    pub is_leaving: bool,
    /// End of the hold-off, the time for which the target wants no requests from this gateway;
    /// `None` if it has not asked for one.
    pub held_off_until: Option<Instant>,
}

impl TargetNotice {
    /// Returns whether the target is held off at the time `now`.
    pub fn is_held_off(&self, now: Instant) -> bool {
        self.held_off_until.is_some_and(|until| now < until)
    }
}

/// Target with the state that this gateway keeps for it.
#[derive(Debug)]
pub struct DirectTarget {
    /// Latest entry of the target in the instance list.
    pub entry: TargetEntry,
    /// Hash of the name, by which the load reports of gateways identify the target. It is kept here
    /// because it is looked up for each report of each peer.
    pub name_hash: u32,
    /// Number of requests of this gateway in flight at the target.
    pub own_in_flight: u32,
    /// Number of requests of the peers in flight at the target.
    pub peer_in_flight: u32,
    /// Time at which this gateway last started a request at the target.
    pub started_at: Option<Instant>,
    /// Health of the target, from the outcomes of earlier requests.
    pub health: TargetHealth,
    /// What the target has said in its answers about new requests.
    pub notice: TargetNotice,
    /// Whether the target's group runs requests; true for a target without a group.
    pub group_runs: bool,
    /// Whether another target has taken over its rank in the group. The entry of a crashed rank
    /// expires only after some seconds, and the rank may be back under another name before that.
    pub is_superseded: bool,
    /// Time at which the target last sent an event of a stream.
    pub progress_at: Option<Instant>,
    /// Whether the entry may be of the copy from which the store was restored.
    pub is_unconfirmed: bool,
    /// Whether the operator has emptied the target's availability zone.
    pub is_emptied: bool,
    /// Time of the latest list that contained the target.
    pub listed_at: Instant,
}

impl DirectTarget {
    /// Returns the number of requests of all gateways in flight at the target.
    pub fn in_flight(&self) -> u32 {
        self.own_in_flight.saturating_add(self.peer_in_flight)
    }

    /// Returns whether the target is about to end, according to the list or its own answers.
    pub fn is_leaving(&self) -> bool {
        self.entry.state != TargetState::Ready || self.notice.is_leaving
    }

    /// Returns whether the target may get new requests: it is not leaving, and its zone is not
    /// emptied.
    pub fn takes_work(&self) -> bool {
        !self.is_leaving() && !self.is_emptied
    }

    /// Returns the target as the pacer sees it.
    pub fn paced(&self) -> PacedTarget<'_> {
        PacedTarget {
            target: self.name_hash,
            service: &self.entry.service,
            group: self.entry.group.as_ref().map(|member| &member.name),
            // A hold-off also ejects the target until a trial request succeeds.
            is_usable: self.takes_work()
                && self.group_runs
                && !self.is_superseded
                && !self.health.is_ejected(),
        }
    }
}

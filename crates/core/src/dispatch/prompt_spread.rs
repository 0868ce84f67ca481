//! Spread of the requests that many gateways start over the ranks of groups.
//!
//! Load pattern: dozens of gateways start requests in the same pass, and learn each other's starts
//! up to a second later. All of them see the same least loaded ranks. If each drew among these, some
//! ranks would read three or four prompts in one pass and run several requests more than the others
//! until the next reports, and each pass of the group lasts as long as the work of its fullest rank.
//!
//! Three rules spread the starts without an exchange:
//!
//! - A rank takes part while its reported load is below the level that all ranks reach together by
//!   the time the next starts are reported, not only while it is the least loaded one (M. Dahlin,
//!   "Interpreting stale load information", 1999).
//! - Among these, a gateway fills up the ranks evenly by its own requests, the only ones that it
//!   knows exactly, in an order that begins at a rank of its own. The ranks of neighbouring gateways
//!   overlap, so that the sum over all gateways is even.
//! - A gateway starts no second request at a rank in the same pass while another one takes part.

use {super::target_entry::TargetKey, std::time::Duration, tokio::time::Instant};

/// Requests that start while a load report is on its way, as a share of those in flight. Reports of
/// the peers are about half a second old when they are used, and streams last two to three seconds.
const UNREPORTED_SHARE: f64 = 0.25;

/// Load above the mean of all ranks, in slots, up to which those of the own availability zone are
/// preferred. Beyond it, the ranks of the zone with most callers would run the most requests.
const NEAR_EXCESS: f64 = 0.5;

/// Place of a gateway among those that start requests in the same groups.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartSlice {
    /// Position of the gateway among those of its availability zone.
    pub position: u32,
    /// Number of gateways in the availability zone.
    pub gateways: u32,
    /// Duration of a pass of the group.
    pub pass: Duration,
}

/// Rank at which a request may start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadCandidate {
    /// Key of the rank.
    pub key: TargetKey,
    /// Number by which all gateways bring the ranks into the same order.
    pub order: u32,
    /// Known requests of all gateways at the rank.
    pub in_flight: u32,
    /// Known load of the rank in slots: its requests, and a penalty for failures.
    pub load: f64,
    /// Part of the load that is not reported by peers.
    pub own_load: f64,
    /// Whether the rank is in the gateway's own availability zone.
    pub is_near: bool,
    /// Time at which this gateway last started a request at the rank.
    pub started_at: Option<Instant>,
}

/// Chooses the rank at which the next request starts; `None` if there is no candidate. `draw` is a
/// random number, uniform from 0 to 1.
pub fn spread_start(
    mut candidates: Vec<SpreadCandidate>,
    slice: StartSlice,
    draw: f64,
    now: Instant,
) -> Option<TargetKey> {
    let level = fill_level(&candidates);
    candidates.sort_by_key(|candidate| candidate.order);
    let ranks = candidates.len();
    let gateways = f64::from(slice.gateways.max(1));
    let home = (f64::from(slice.position) + draw) / gateways * ranks as f64;
    let home = (home as usize).min(ranks);
    let near = candidates.iter().filter(|candidate| candidate.is_near);
    let prefers_near = mean_load(near) <= mean_load(candidates.iter()) + NEAR_EXCESS;
    let open = candidates.iter().enumerate();
    let open = open.filter(|(_, candidate)| candidate.load < level);
    let start_order = |(index, candidate): &(usize, &SpreadCandidate)| {
        let started_at = candidate.started_at;
        let is_read = started_at.is_some_and(|started_at| now < started_at + slice.pass);
        let distance = (index + ranks - home) % ranks;
        let is_far = prefers_near && !candidate.is_near;
        (is_read, candidate.own_load, (is_far, distance))
    };
    let chosen = open.min_by(|one, other| {
        let (one, other) = (start_order(one), start_order(other));
        let by_read = one.0.cmp(&other.0);
        by_read
            .then(one.1.total_cmp(&other.1))
            .then(one.2.cmp(&other.2))
    });
    chosen.map(|(_, candidate)| candidate.key)
}

fn mean_load<'a>(candidates: impl Iterator<Item = &'a SpreadCandidate>) -> f64 {
    let (sum, count) = candidates.fold((0.0, 0.0_f64), |(sum, count), candidate| {
        (sum + candidate.load, count + 1.0)
    });
    sum / count.max(1.0)
}

/// Returns the load that the least loaded ranks reach together once the starts that are not yet
/// reported have filled them up.
fn fill_level(candidates: &[SpreadCandidate]) -> f64 {
    let mut loads: Vec<_> = candidates.iter().map(|candidate| candidate.load).collect();
    loads.sort_by(f64::total_cmp);
    let in_flight = candidates.iter().map(|candidate| candidate.in_flight);
    let starts = (f64::from(in_flight.sum::<u32>()) * UNREPORTED_SHARE).max(1.0);
    let mut sum = 0.0;
    let mut level = f64::INFINITY;
    for (filled, load) in loads.into_iter().enumerate() {
        if load >= level {
            break;
        }
        sum += load;
        level = (sum + starts) / (filled + 1) as f64;
    }
    level
}

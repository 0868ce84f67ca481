//! Other gateways: who they are, and what they have in flight.
//!
//! Load pattern: several gateways that fill the same targets. Without their figures each would
//! take a target with full slots for an idle one.

use {
    crate::ids::ZoneName,
    std::{collections::HashMap, net::Ipv4Addr, time::Duration},
    tokio::time::Instant,
};

/// Least silence after which a peer's requests in flight no longer count. Three reports of a fleet
/// of usual size are missing by then.
const SILENCE_LIMIT: Duration = Duration::from_millis(1300);

/// Reports of a peer that are missing when it counts as silent, if it reports more slowly.
const MISSED_REPORTS: u32 = 3;

/// Interval of reports within the availability zone, and time between two numbers of reports.
/// Gateways of a zone fill the same targets.
pub const ZONE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of reports to other availability zones, whose bytes are priced.
const REMOTE_INTERVAL: Duration = Duration::from_millis(400);

/// Reports that a gateway sends to other availability zones in a second at most, until
/// [`LONGEST_REMOTE_INTERVAL`] is reached. A fleet of 17 gateways stays below it.
const REMOTE_REPORTS_PER_SECOND: u32 = 60;

/// Longest interval of reports to other availability zones. Loads that are older would mislead.
const LONGEST_REMOTE_INTERVAL: Duration = Duration::from_millis(1200);

/// Time for which all peers must have been heard without a gap before a placer may take it that no
/// other one acts. A placer that was frozen or cut off ends or notices what it had begun by then.
pub const STEADY_AFTER: Duration = Duration::from_secs(3);

/// Time for which a silent peer still counts as a sharer of the retry budget. It may only be cut
/// off from here while it goes on sending to targets.
const SHARER_MEMORY: Duration = Duration::from_secs(12);

/// Time after which a silent peer is no longer written to.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Requests in flight at a target, which is named by the hash of its name.
pub type PeerLoad = (u32, u32);

/// What a peer has reported.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// Incarnation of the peer.
    pub incarnation: u64,
    /// Position of the report among those of the incarnation.
    pub sequence: u64,
    /// Availability zone.
    pub availability_zone: Option<ZoneName>,
    /// Requests in flight.
    pub loads: Vec<PeerLoad>,
    /// Whether the peer takes no more requests.
    pub leaving: bool,
    /// Whether the peer has run long enough to place experts.
    pub settled: bool,
    /// Time after which the peer reports again.
    pub interval: Duration,
}

#[derive(Debug)]
struct Peer {
    report: PeerReport,
    heard_at: Instant,
    /// Since when it has been heard without a gap.
    steady_since: Instant,
}

/// Known gateways.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<Ipv4Addr, Peer>,
    /// Addresses that were named but have not reported yet, with the time until which to try.
    candidates: HashMap<Ipv4Addr, Instant>,
}

impl PeerTable {
    /// Adds addresses that may belong to gateways.
    pub fn suggest(&mut self, addresses: impl IntoIterator<Item = Ipv4Addr>, now: Instant) {
        for address in addresses {
            if !self.peers.contains_key(&address) {
                self.candidates.insert(address, now + FORGET_AFTER);
            }
        }
    }

    /// Records a report; returns whether the peer is new or has started again. An older report of
    /// the same incarnation is dropped.
    pub fn record(&mut self, address: Ipv4Addr, report: PeerReport, now: Instant) -> bool {
        self.candidates.remove(&address);
        let known = self.peers.get(&address);
        let is_known = known.is_some_and(|peer| peer.report.incarnation == report.incarnation);
        if is_known && known.is_some_and(|peer| peer.report.sequence >= report.sequence) {
            return false;
        }
        let steady_since =
            known.filter(|peer| is_known && is_live(peer, now) && follows(&peer.report, &report));
        let steady_since = steady_since.map_or(now, |peer| peer.steady_since);
        let peer = Peer {
            report,
            heard_at: now,
            steady_since,
        };
        self.peers.insert(address, peer);
        !is_known
    }

    /// Forgets peers that have been silent for long, and returns them.
    pub fn forget_silent(&mut self, now: Instant) -> Vec<Ipv4Addr> {
        self.candidates.retain(|_, until| now < *until);
        let silent = self
            .peers
            .iter()
            .filter(|(_, peer)| now >= peer.heard_at + FORGET_AFTER);
        let silent: Vec<_> = silent.map(|(address, _)| *address).collect();
        for address in &silent {
            self.peers.remove(address);
        }
        silent
    }

    /// Returns the addresses to write to: those of the zone `own` or those of all others.
    pub fn addresses(&self, own: &ZoneName, in_zone: bool) -> Vec<Ipv4Addr> {
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| (peer.report.availability_zone.as_ref() == Some(own)) == in_zone);
        let peers = peers.map(|(address, _)| *address);
        let candidates = self.candidates.keys().copied().filter(|_| !in_zone);
        peers.chain(candidates).collect()
    }

    /// Returns all addresses that have reported lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let live = self
            .peers
            .iter()
            .filter(move |(_, peer)| is_live(peer, now));
        live.map(|(address, _)| *address)
    }

    /// Returns the addresses that have reported lately and take requests.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let live = self
            .peers
            .iter()
            .filter(move |(_, peer)| is_live(peer, now));
        let serving = live.filter(|(_, peer)| !peer.report.leaving);
        serving.map(|(address, _)| *address)
    }

    /// Returns whether a live peer has run long enough to place experts.
    pub fn has_settled(&self, now: Instant) -> bool {
        self.serving_peers(now).any(|(_, peer)| peer.report.settled)
    }

    /// Returns the live peers that may place experts: those that have run for long, or all of them
    /// if neither this gateway nor a peer has.
    pub fn placers(&self, own_settled: bool, now: Instant) -> Vec<Ipv4Addr> {
        let some_settled = own_settled || self.has_settled(now);
        let placers = self.serving_peers(now);
        let placers = placers.filter(|(_, peer)| peer.report.settled || !some_settled);
        placers.map(|(address, _)| *address).collect()
    }

    fn serving_peers(&self, now: Instant) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        let live = self
            .peers
            .iter()
            .filter(move |(_, peer)| is_live(peer, now));
        live.filter(|(_, peer)| !peer.report.leaving)
    }

    /// Returns the gateway that reads the store for the zone, if it is not the one at `own`: the
    /// live one with the lowest address.
    pub fn zone_reader(&self, zone: &ZoneName, own: Ipv4Addr, now: Instant) -> Option<Ipv4Addr> {
        let in_zone = self.peers.iter().filter(|(address, peer)| {
            **address < own
                && is_live(peer, now)
                && !peer.report.leaving
                && peer.report.availability_zone.as_ref() == Some(zone)
        });
        in_zone.map(|(address, _)| *address).min()
    }

    /// Returns every address that is worth telling to others.
    pub fn known(&self) -> impl ExactSizeIterator<Item = Ipv4Addr> {
        self.peers.keys().copied()
    }

    /// Returns the number of gateways that may send retries now, this one included.
    pub fn sharers(&self, now: Instant) -> u32 {
        let sharers = self.peers.values();
        let sharers = sharers.filter(|peer| now < peer.heard_at + SHARER_MEMORY);
        1 + u32::try_from(sharers.count()).unwrap_or(u32::MAX - 1)
    }

    /// Returns whether all gateways that may act now have been heard for some time without a gap, so
    /// that all of them know which one places experts.
    pub fn is_steady(&self, now: Instant) -> bool {
        let mut sharers = self
            .peers
            .values()
            .filter(|peer| now < peer.heard_at + SHARER_MEMORY);
        sharers.all(|peer| is_live(peer, now) && now >= peer.steady_since + STEADY_AFTER)
    }

    /// Returns what live peers have in flight.
    pub fn loads(&self, now: Instant) -> impl Iterator<Item = PeerLoad> {
        let live = self.peers.values().filter(move |peer| is_live(peer, now));
        live.flat_map(|peer| peer.report.loads.iter().copied())
    }
}

fn is_live(peer: &Peer, now: Instant) -> bool {
    let interval = peer.report.interval.min(LONGEST_REMOTE_INTERVAL);
    now < peer.heard_at + SILENCE_LIMIT.max(interval * MISSED_REPORTS)
}

/// Returns whether no more reports are missing between two than a live peer may leave out. The clock
/// of an instance that was suspended does not show the time that it has missed; the numbers do.
fn follows(known: &PeerReport, report: &PeerReport) -> bool {
    let interval = known.interval.min(LONGEST_REMOTE_INTERVAL);
    let silence = SILENCE_LIMIT.max(interval * MISSED_REPORTS);
    let most = silence.as_millis() / ZONE_INTERVAL.as_millis();
    u128::from(report.sequence.saturating_sub(known.sequence)) <= most
}

/// Returns the interval of reports to `peers` gateways in other availability zones.
///
/// Load pattern: hundreds of gateways, each of which reports to all others. The bytes between zones
/// grow with the square of their number, while each gateway has a smaller part of the load.
pub fn remote_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    let paced = Duration::from_secs(1) * peers / REMOTE_REPORTS_PER_SECOND;
    paced.clamp(REMOTE_INTERVAL, LONGEST_REMOTE_INTERVAL)
}

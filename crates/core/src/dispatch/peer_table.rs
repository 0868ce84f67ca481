//! The other gateways, called peers, and their requests in flight.
//!
//! Load pattern: several gateways send requests to the same targets. Without the reports of its
//! peers, a gateway would take a target whose slots they have filled for an idle one.

use {
    crate::ids::ZoneName,
    std::{collections::HashMap, net::Ipv4Addr, time::Duration},
    tokio::time::Instant,
};

/// Shortest time without a report after which a peer's requests in flight no longer count. In a
/// fleet of usual size, three reports are missing by then.
const SILENCE_LIMIT: Duration = Duration::from_millis(1300);

/// Number of missing reports after which a peer counts as silent, if it reports less often.
const MISSED_REPORTS: u32 = 3;

/// Interval of reports to the gateways of the same availability zone, which send requests to the
/// same targets. The sequence number of reports rises by one in this time.
pub const ZONE_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest interval of reports to other availability zones, where traffic costs money.
const MIN_REMOTE_INTERVAL: Duration = Duration::from_millis(400);

/// Highest number of reports that a gateway sends to other availability zones in a second, as long
/// as the interval is below [`MAX_REMOTE_INTERVAL`]. A fleet of 17 gateways stays below it.
const MAX_REMOTE_REPORTS_PER_SECOND: u32 = 60;

/// Longest interval of reports to other availability zones. Older loads would mislead the choice of
/// targets.
const MAX_REMOTE_INTERVAL: Duration = Duration::from_millis(1200);

/// Time for which the reports of all peers must have arrived without a gap before a placer (a
/// gateway that changes expert maps) may assume that no other placer is active. A placer that was
/// suspended or cut off has ended its change or noticed the interruption by then.
pub const STEADY_AFTER: Duration = Duration::from_secs(3);

/// Time for which a silent peer still counts among the gateways that share the retry budget. It may
/// be unreachable only from this gateway and still send requests to targets.
const SHARING_TIMEOUT: Duration = Duration::from_secs(12);

/// Time after which a silent peer or candidate is removed and gets no more reports.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Hash of a target's name and the number of requests in flight at the target.
pub type PeerLoad = (u32, u32);

/// Report of a peer about itself.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// Incarnation of the peer; each start of its process has another value.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation. It rises by one each
    /// [`ZONE_INTERVAL`].
    pub sequence: u64,
    /// Availability zone of the peer; `None` if it has not reported one.
    pub availability_zone: Option<ZoneName>,
    /// Requests of the peer in flight at each target.
    pub loads: Vec<PeerLoad>,
    /// Whether the peer is shutting down and accepts no more requests.
    pub leaving: bool,
    /// Whether the peer has run long enough to change expert maps.
    pub settled: bool,
    /// Time until the next report of the peer.
    pub interval: Duration,
}

#[derive(Debug)]
struct Peer {
    report: PeerReport,
    heard_at: Instant,
    /// Time since which its reports have arrived without a gap.
    steady_since: Instant,
}

/// Peers that have reported, and addresses that may belong to further peers.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<Ipv4Addr, Peer>,
    /// Addresses that have not reported yet, with the time until which reports are sent to them.
    candidates: HashMap<Ipv4Addr, Instant>,
    /// Number of gateways that share the retry budget, as peers have named it to this gateway after
    /// its start.
    named_sharing: Option<NamedNumber>,
}

/// Number of gateways that a peer has named.
#[derive(Clone, Copy, Debug)]
struct NamedNumber {
    gateways: u32,
    /// Time until which it counts.
    until: Instant,
}

/// Place of a gateway among those of its availability zone, in the order of their addresses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ZonePlace {
    /// Number of gateways with lower addresses.
    pub position: u32,
    /// Number of gateways in the availability zone, this one included.
    pub gateways: u32,
}

impl PeerTable {
    /// Adds addresses that may belong to peers. Reports are sent to them for a limited time.
    pub fn add_candidates(&mut self, addresses: impl IntoIterator<Item = Ipv4Addr>, now: Instant) {
        for address in addresses {
            if !self.peers.contains_key(&address) {
                self.candidates.insert(address, now + FORGET_AFTER);
            }
        }
    }

    /// Records a report; returns whether the peer is new or has restarted. A report of the same
    /// incarnation that is not newer than the known one is ignored.
    pub fn record(&mut self, address: Ipv4Addr, report: PeerReport, now: Instant) -> bool {
        self.candidates.remove(&address);
        let known = self.peers.get(&address);
        let is_known = known.is_some_and(|peer| peer.report.incarnation == report.incarnation);
        if is_known && known.is_some_and(|peer| peer.report.sequence >= report.sequence) {
            return false;
        }
        let steady_since = known
            .filter(|peer| is_known && is_live(peer, now) && has_no_gap(&peer.report, &report));
        let steady_since = steady_since.map_or(now, |peer| peer.steady_since);
        let peer = Peer {
            report,
            heard_at: now,
            steady_since,
        };
        self.peers.insert(address, peer);
        !is_known
    }

    /// Removes peers and candidates that have been silent for too long, and returns the addresses
    /// of the peers.
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

    /// Returns the addresses to which reports are sent: the peers of the zone `own` if `in_zone` is
    /// true, else the peers of all other zones and the candidates, whose zone is unknown.
    pub fn addresses(&self, own: &ZoneName, in_zone: bool) -> Vec<Ipv4Addr> {
        let peers = self
            .peers
            .iter()
            .filter(|(_, peer)| (peer.report.availability_zone.as_ref() == Some(own)) == in_zone);
        let peers = peers.map(|(address, _)| *address);
        let candidates = self.candidates.keys().copied().filter(|_| !in_zone);
        peers.chain(candidates).collect()
    }

    /// Returns the addresses of the live peers, those that have reported lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let live = self
            .peers
            .iter()
            .filter(move |(_, peer)| is_live(peer, now));
        live.map(|(address, _)| *address)
    }

    /// Returns up to `count` live peers to poll in a round. Successive rounds reach all peers in
    /// turn, since some of them may be cut off as well.
    pub fn polled(&self, round: usize, count: usize, now: Instant) -> Vec<Ipv4Addr> {
        let mut live: Vec<_> = self.live(now).collect();
        live.sort_unstable();
        if !live.is_empty() {
            let rounds = live.len().div_ceil(count.max(1));
            let first = round % rounds * count;
            live.rotate_left(first);
            live.truncate(count);
        }
        live
    }

    /// Returns the addresses of the live peers that accept requests.
    pub fn serving(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let live = self
            .peers
            .iter()
            .filter(move |(_, peer)| is_live(peer, now));
        let serving = live.filter(|(_, peer)| !peer.report.leaving);
        serving.map(|(address, _)| *address)
    }

    /// Returns whether this gateway, at the address `own`, is the first of the live gateways that
    /// accept requests, so that it acts for all of them.
    pub fn is_first(&self, own: Ipv4Addr, now: Instant) -> bool {
        self.serving(now).all(|address| own < address)
    }

    /// Returns whether a live peer that accepts requests has run long enough to change expert maps.
    pub fn has_settled(&self, now: Instant) -> bool {
        self.serving_peers(now).any(|(_, peer)| peer.report.settled)
    }

    /// Returns the live peers that may change expert maps: those that have run long enough, or all
    /// of them if neither this gateway nor a peer has.
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

    /// Returns the gateway that reads the store for its zone, which is the live one with the lowest
    /// address; `None` if that is this gateway, at the address `own`.
    pub fn zone_reader(&self, zone: &ZoneName, own: Ipv4Addr, now: Instant) -> Option<Ipv4Addr> {
        let in_zone = self.peers.iter().filter(|(address, peer)| {
            **address < own
                && is_live(peer, now)
                && !peer.report.leaving
                && peer.report.availability_zone.as_ref() == Some(zone)
        });
        in_zone.map(|(address, _)| *address).min()
    }

    /// Returns the place of the gateway with the address `own` among the live gateways of an
    /// availability zone.
    pub fn zone_place(&self, zone: &ZoneName, own: Ipv4Addr, now: Instant) -> ZonePlace {
        let in_zone = self.peers.iter().filter(|(_, peer)| {
            is_live(peer, now)
                && !peer.report.leaving
                && peer.report.availability_zone.as_ref() == Some(zone)
        });
        let mut place = ZonePlace {
            position: 0,
            gateways: 1,
        };
        for (address, _) in in_zone {
            place.position += u32::from(*address < own);
            place.gateways += 1;
        }
        place
    }

    /// Returns the addresses of all peers, silent ones included, to be sent to other gateways.
    pub fn known(&self) -> impl ExactSizeIterator<Item = Ipv4Addr> {
        self.peers.keys().copied()
    }

    /// Records the number of gateways that share the retry budget, as a peer has named it to this
    /// gateway after its start. The highest one counts until `until`, since not all peers may have
    /// reported yet.
    pub fn note_sharing(&mut self, gateways: u32, until: Instant) {
        let known = self.named_sharing.map_or(0, |named| named.gateways);
        let gateways = gateways.max(known);
        self.named_sharing = Some(NamedNumber { gateways, until });
    }

    /// Returns the number of gateways among which the retry budget is divided, this one included.
    pub fn sharing_gateways(&self, now: Instant) -> u32 {
        let sharing = self.peers.values();
        let sharing = sharing.filter(|peer| now < peer.heard_at + SHARING_TIMEOUT);
        let known = 1 + u32::try_from(sharing.count()).unwrap_or(u32::MAX - 1);
        let named = self.named_sharing.filter(|named| now < named.until);
        named.map_or(known, |named| known.max(named.gateways))
    }

    /// Returns whether the reports of all peers that may still be running have arrived without a
    /// gap for [`STEADY_AFTER`], so that all gateways agree on which one changes expert maps.
    pub fn is_steady(&self, now: Instant) -> bool {
        let mut sharing = self
            .peers
            .values()
            .filter(|peer| now < peer.heard_at + SHARING_TIMEOUT);
        sharing.all(|peer| is_live(peer, now) && now >= peer.steady_since + STEADY_AFTER)
    }

    /// Returns the requests that live peers have in flight, one item for each peer and target.
    pub fn loads(&self, now: Instant) -> impl Iterator<Item = PeerLoad> {
        let live = self.peers.values().filter(move |peer| is_live(peer, now));
        live.flat_map(|peer| peer.report.loads.iter().copied())
    }
}

fn is_live(peer: &Peer, now: Instant) -> bool {
    let interval = peer.report.interval.min(MAX_REMOTE_INTERVAL);
    now < peer.heard_at + SILENCE_LIMIT.max(interval * MISSED_REPORTS)
}

/// Returns whether the number of reports missing between two is within what a live peer may miss.
/// The clock of a suspended instance does not show the time that it was suspended, but the sequence
/// numbers do.
fn has_no_gap(known: &PeerReport, report: &PeerReport) -> bool {
    let interval = known.interval.min(MAX_REMOTE_INTERVAL);
    let silence = SILENCE_LIMIT.max(interval * MISSED_REPORTS);
    let max_gap = silence.as_millis() / ZONE_INTERVAL.as_millis();
    u128::from(report.sequence.saturating_sub(known.sequence)) <= max_gap
}

/// Returns the interval of reports to `peers` gateways in other availability zones.
///
/// Load pattern: hundreds of gateways, each of which reports to all others. The traffic between
/// zones grows with the square of their number, while the part of the load that each gateway
/// carries shrinks. The interval therefore grows with the number of peers, up to a limit.
pub fn remote_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    let paced = Duration::from_secs(1) * peers / MAX_REMOTE_REPORTS_PER_SECOND;
    paced.clamp(MIN_REMOTE_INTERVAL, MAX_REMOTE_INTERVAL)
}

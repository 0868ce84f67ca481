//! Demand at all gateways, from the load reports of the peers.
//!
//! Load pattern: an overload that each of many gateways sees a small part of. Only the sum shows
//! whether a place that becomes free is needed for a request that can still be on time.

use {
    super::overload_plan::{ServiceCapacity, ServiceDemand},
    std::{collections::HashMap, net::Ipv4Addr, time::Duration},
    tokio::time::Instant,
};

/// Age from which on a report no longer counts. Reports to other availability zones are up to 1.2
/// seconds apart, and two in a row may be lost.
const REPORT_LIFETIME: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct PeerDemand {
    heard_at: Instant,
    /// Demand by the hash of the service's name.
    services: HashMap<u32, DemandReport>,
}

/// What a peer reports of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandReport {
    /// Demand at the peer.
    pub demand: ServiceDemand,
    /// Capacity of the service as the peer measures it; `None` if unknown.
    pub capacity: Option<ServiceCapacity>,
}

/// Latest demand at each peer.
#[derive(Debug, Default)]
pub struct DemandNews {
    peers: HashMap<Ipv4Addr, PeerDemand>,
}

impl DemandNews {
    /// Records the report of a peer, which replaces its earlier one. A peer of an older version
    /// names no services.
    pub fn record(
        &mut self,
        peer: Ipv4Addr,
        services: impl IntoIterator<Item = (u32, DemandReport)>,
        now: Instant,
    ) {
        let services: HashMap<_, _> = services.into_iter().collect();
        if services.is_empty() {
            self.peers.remove(&peer);
        } else {
            let heard_at = now;
            self.peers.insert(peer, PeerDemand { heard_at, services });
        }
    }

    /// Returns the demand for a service at all peers that have reported lately.
    pub fn total(&self, service: u32, now: Instant) -> ServiceDemand {
        let reports = self.recent(service, now);
        reports.fold(ServiceDemand::default(), |sum, report| {
            sum.plus(report.demand)
        })
    }

    /// Returns the mean of the capacity that this gateway and its peers measure. Each one sees only
    /// a few streams, and a decision that all share must not follow those of one gateway.
    pub fn mean_capacity(
        &self,
        service: u32,
        own: ServiceCapacity,
        now: Instant,
    ) -> ServiceCapacity {
        let reports = self.recent(service, now);
        let known = reports.filter_map(|report| report.capacity);
        let (mut limits, mut length, mut count) = (u64::from(own.limit), own.length, 1_u32);
        for capacity in known {
            limits += u64::from(capacity.limit);
            length += capacity.length;
            count += 1;
        }
        ServiceCapacity {
            limit: u32::try_from(limits / u64::from(count)).unwrap_or(u32::MAX),
            length: length / count,
        }
    }

    /// Returns the mean time for which a request runs, as the peers measure it; `None` if none has.
    pub fn mean_length(&self, service: u32, now: Instant) -> Option<Duration> {
        let known = self
            .recent(service, now)
            .filter_map(|report| report.capacity);
        let (sum, count) = known.fold((Duration::ZERO, 0), |(sum, count), capacity| {
            (sum + capacity.length, count + 1)
        });
        (count > 0).then(|| sum / count)
    }

    fn recent(&self, service: u32, now: Instant) -> impl Iterator<Item = &DemandReport> {
        let recent = self.peers.values();
        let recent = recent.filter(move |peer| now < peer.heard_at + REPORT_LIFETIME);
        recent.filter_map(move |peer| peer.services.get(&service))
    }
}

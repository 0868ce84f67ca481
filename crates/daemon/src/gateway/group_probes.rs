//! Probes broken groups until they are open again: which of their ranks answer, and what they
//! report.
//!
//! Load pattern: the loss or restart of a rank, which stops its whole group. The instance list lags
//! behind by up to a heartbeat and a list interval, and a gateway that is cut off from the store
//! cannot read it at all. The ranks in the gateway's own availability zone can be reached even
//! then.

use {
    super::{
        engines::GroupEngines,
        peers::zone_reader,
        state::{GatewayState, REPORT_SOURCE},
    },
    sassafrasslip_core::{
        dispatch::{
            DatedView, DirectTarget, GroupMember, RankControl, TargetId, map_switch::RankIndex,
        },
        ids::{GroupName, ServiceName},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Interval at which a broken group is probed. Calls for reports are billed, so that one gateway of
/// an availability zone, the zone's reader, probes and tells the others.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Broken group with the ranks that the instance list shows.
struct BrokenGroup {
    name: GroupName,
    service: ServiceName,
    epoch: u64,
    size: usize,
    /// Whether it counts as broken only because ranks have rejected requests.
    is_suspected: bool,
    endpoints: RankEndpoints,
}

/// Endpoints of a group by rank number.
type RankEndpoints = BTreeMap<u32, RankEndpoint>;

/// Target that runs a rank, and its address.
#[derive(Clone, Debug, Eq, PartialEq)]
struct RankEndpoint {
    target: TargetId,
    address: SocketAddr,
    /// Whether it is in the same availability zone as this gateway.
    is_same_zone: bool,
}

/// What the probes have shown about the ranks of a broken group.
struct GroupProbe {
    /// All endpoints seen since the group broke. The list entries of ranks that are cut off expire,
    /// but just these ranks must still be probed.
    endpoints: RankEndpoints,
    engines: GroupEngines,
    /// Ranks that have not answered since the group broke; `None` before the first probe.
    missing: Option<BTreeSet<RankIndex>>,
    round: usize,
}

/// Probes broken groups at a fixed interval until the process ends.
pub async fn probe_broken_groups(state: Rc<GatewayState>) {
    let mut probes: HashMap<GroupName, GroupProbe> = HashMap::new();
    loop {
        sleep(PROBE_INTERVAL).await;
        let probes_for_zone = zone_reader(&state, Instant::now()).is_none();
        let mut broken = broken_groups(&state);
        // A group that counts as broken only because of rejections is probed by every gateway:
        // only this one may have received them, so that the zone's reader knows nothing of it.
        broken.retain(|group| probes_for_zone || group.is_suspected);
        let probed = broken.iter().map(|group| {
            let known = probes.remove(&group.name);
            probe_group(
                &state,
                group,
                GroupProbe::renew(known, group),
                probes_for_zone,
            )
        });
        let probed = futures_util::future::join_all(probed.collect::<Vec<_>>()).await;
        let names = broken.into_iter().map(|group| group.name);
        probes = names.zip(probed).collect();
    }
}

/// Probes a group once: reads the report of one rank and, if this gateway probes for its zone,
/// looks for missing ranks. Records what it learns in the state.
async fn probe_group(
    state: &GatewayState,
    group: &BrokenGroup,
    mut known: GroupProbe,
    probes_for_zone: bool,
) -> GroupProbe {
    let asked_at = Instant::now();
    let rank = known.next_rank();
    known.round += 1;
    let view = if probes_for_zone {
        let (view, missing) = tokio::join!(known.engines.formation(rank), known.find_missing());
        if missing.is_empty() && known.endpoints.len() == group.size {
            state.note_forming_group(&group.name, group.epoch, REPORT_SOURCE);
        }
        known.missing = Some(missing);
        view
    } else {
        known.engines.formation(rank).await
    };
    if let Some(view) = view {
        let table = state.table();
        let rule = table
            .as_ref()
            .and_then(|table| table.service(&group.service));
        let engine = rule.and_then(|rule| rule.engine.as_ref());
        let age = engine.map_or(Duration::ZERO, |engine| engine.report_age);
        let as_of = asked_at.checked_sub(age).unwrap_or(asked_at);
        state.note_group_view(&group.name, DatedView { view, as_of }, REPORT_SOURCE);
    }
    known
}

impl GroupProbe {
    /// Continues with what is known about a group, or starts over if its formation or an endpoint
    /// has changed.
    fn renew(known: Option<Self>, group: &BrokenGroup) -> Self {
        let known = known.filter(|known| known.engines.epoch == group.epoch);
        let mut endpoints = known
            .as_ref()
            .map(|known| known.endpoints.clone())
            .unwrap_or_default();
        let listed = group.endpoints.iter();
        endpoints.extend(listed.map(|(rank, endpoint)| (*rank, endpoint.clone())));
        match known {
            Some(known) if known.endpoints == endpoints => known,
            _ => {
                let engines = endpoints
                    .values()
                    .map(|endpoint| (TargetId::clone(&endpoint.target), endpoint.address));
                let engines = engines.collect();
                Self {
                    engines: GroupEngines::new(group.name.clone(), group.epoch, engines),
                    endpoints,
                    missing: None,
                    round: 0,
                }
            }
        }
    }

    /// Returns the rank whose report is read next, in turn: one in the gateway's own availability
    /// zone if there is any.
    fn next_rank(&self) -> RankIndex {
        let local = self.endpoints.values().enumerate();
        let local = local.filter(|(_, endpoint)| endpoint.is_same_zone);
        let local: Vec<_> = local.map(|(rank, _)| rank).collect();
        let any = self.round % self.endpoints.len().max(1);
        let next = local.get(self.round % local.len().max(1));
        next.copied().unwrap_or(any)
    }

    /// Returns the ranks that have not answered since the group broke. The first probe calls all
    /// ranks. Later ones call a single missing rank and, once it answers, all missing ranks.
    async fn find_missing(&self) -> BTreeSet<RankIndex> {
        let Some(missing) = &self.missing else {
            let all: Vec<_> = (0..self.engines.ranks()).collect();
            return self.silent_among(&all).await;
        };
        let next = missing.iter().nth(self.round % missing.len().max(1));
        let next: Vec<_> = next.into_iter().copied().collect();
        if !self.silent_among(&next).await.is_empty() {
            return missing.clone();
        }
        let missing: Vec<_> = missing.iter().copied().collect();
        self.silent_among(&missing).await
    }

    async fn silent_among(&self, ranks: &[RankIndex]) -> BTreeSet<RankIndex> {
        let answers = ranks.iter().map(|rank| self.engines.answers(*rank));
        let answers = futures_util::future::join_all(answers).await;
        let silent = ranks.iter().zip(answers).filter(|(_, answers)| !answers);
        silent.map(|(rank, _)| *rank).collect()
    }
}

/// Returns the broken groups, with those of their ranks that are still listed.
fn broken_groups(state: &GatewayState) -> Vec<BrokenGroup> {
    let roster = state.roster.borrow();
    let mut ranks: HashMap<&GroupName, Vec<(&GroupMember, &DirectTarget)>> = HashMap::new();
    for (_, target) in roster.iter() {
        let member = target.entry.group.as_ref();
        if let Some(member) = member.filter(|_| !target.group_runs && !target.is_superseded) {
            ranks
                .entry(&member.name)
                .or_default()
                .push((member, target));
        }
    }
    let broken = ranks.into_iter().filter_map(|(name, ranks)| {
        let (member, first) = ranks.first()?;
        let endpoints = ranks.iter().map(|(member, target)| {
            let entry = &target.entry;
            let endpoint = RankEndpoint {
                target: TargetId::clone(&entry.id),
                address: entry.address,
                is_same_zone: entry.availability_zone == state.own_zone,
            };
            (member.rank, endpoint)
        });
        Some(BrokenGroup {
            name: name.clone(),
            service: first.entry.service.clone(),
            epoch: roster.groups().get(name)?.epoch,
            size: member.size as usize,
            is_suspected: roster.is_suspected(name),
            endpoints: endpoints.collect(),
        })
    });
    broken.collect()
}

//! Looks at broken groups: which ranks answer, and what they report, until they are open again.
//!
//! The instance list is up to a heartbeat and an interval of reading old, and a gateway that is cut
//! off cannot read it. Ranks in the own availability zone are at hand even then.

use {
    super::{
        engines::GroupEngines,
        peers::zone_reader,
        state::{GatewayState, REPORT_SOURCE},
    },
    sassafrasslip_core::{
        dispatch::{
            DatedView, DirectTarget, GroupSeat, RankControl, TargetId, map_switch::RankIndex,
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

/// Interval at which a broken group is looked at. Calls for reports are priced, so that one gateway
/// of an availability zone looks and tells the others.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Broken group as the list shows it.
struct BrokenGroup {
    name: GroupName,
    service: ServiceName,
    epoch: u64,
    size: usize,
    /// Whether it counts as broken only because of rejections.
    is_doubted: bool,
    seats: Seats,
}

/// Seats of a group by rank.
type Seats = BTreeMap<u32, RankSeat>;

/// Target of a rank.
#[derive(Clone, Debug, Eq, PartialEq)]
struct RankSeat {
    target: TargetId,
    address: SocketAddr,
    /// Whether it is in the availability zone of this gateway.
    is_near: bool,
}

/// What is known about the ranks of a broken group.
struct GroupLook {
    /// Seats since the group broke. Entries of ranks that are cut off lapse, and these ranks are
    /// the ones to ask.
    seats: Seats,
    engines: GroupEngines,
    /// Ranks that have not answered since the group broke; `None` before the first look.
    missing: Option<BTreeSet<RankIndex>>,
    turn: usize,
}

/// Looks at broken groups until the process ends.
pub async fn look_at_groups(state: Rc<GatewayState>) {
    let mut looks: HashMap<GroupName, GroupLook> = HashMap::new();
    loop {
        sleep(LOOK_INTERVAL).await;
        let looks_for_others = zone_reader(&state, Instant::now()).is_none();
        let mut broken = broken_groups(&state);
        // Only this gateway may have met rejections that another one would have to explain.
        broken.retain(|group| looks_for_others || group.is_doubted);
        let looked = broken.iter().map(|group| {
            let known = looks.remove(&group.name);
            look(
                &state,
                group,
                GroupLook::renew(known, group),
                looks_for_others,
            )
        });
        let looked = futures_util::future::join_all(looked.collect::<Vec<_>>()).await;
        let names = broken.into_iter().map(|group| group.name);
        looks = names.zip(looked).collect();
    }
}

/// Looks at a group once, and also for missing ranks if this gateway looks for others.
async fn look(
    state: &GatewayState,
    group: &BrokenGroup,
    mut known: GroupLook,
    looks_for_others: bool,
) -> GroupLook {
    let asked_at = Instant::now();
    let near = known.near_rank();
    known.turn += 1;
    let view = if looks_for_others {
        let (view, missing) = tokio::join!(known.engines.formation(near), known.find_missing());
        if missing.is_empty() && known.seats.len() == group.size {
            state.note_forming_group(&group.name, group.epoch, REPORT_SOURCE);
        }
        known.missing = Some(missing);
        view
    } else {
        known.engines.formation(near).await
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

impl GroupLook {
    /// Goes on with what was known about a group, or begins if its formation or a seat is new.
    fn renew(known: Option<Self>, group: &BrokenGroup) -> Self {
        let known = known.filter(|known| known.engines.epoch == group.epoch);
        let mut seats = known
            .as_ref()
            .map(|known| known.seats.clone())
            .unwrap_or_default();
        let listed = group.seats.iter();
        seats.extend(listed.map(|(rank, seat)| (*rank, seat.clone())));
        match known {
            Some(known) if known.seats == seats => known,
            _ => {
                let engines = seats
                    .values()
                    .map(|seat| (TargetId::clone(&seat.target), seat.address));
                let engines = engines.collect();
                Self {
                    engines: GroupEngines::new(group.name.clone(), group.epoch, engines),
                    seats,
                    missing: None,
                    turn: 0,
                }
            }
        }
    }

    /// Returns the rank that is asked about the group next: one of the own availability zone, if
    /// there is one.
    fn near_rank(&self) -> RankIndex {
        let near = self.seats.values().enumerate();
        let near = near.filter(|(_, seat)| seat.is_near);
        let near: Vec<_> = near.map(|(rank, _)| rank).collect();
        let any = self.turn % self.seats.len().max(1);
        let next = near.get(self.turn % near.len().max(1));
        next.copied().unwrap_or(any)
    }

    /// Returns the ranks that have not answered yet. One of them is asked again; once it answers,
    /// all of them are.
    async fn find_missing(&self) -> BTreeSet<RankIndex> {
        let Some(missing) = &self.missing else {
            let all: Vec<_> = (0..self.engines.ranks()).collect();
            return self.silent_among(&all).await;
        };
        let next = missing.iter().nth(self.turn % missing.len().max(1));
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

/// Returns the broken groups.
fn broken_groups(state: &GatewayState) -> Vec<BrokenGroup> {
    let roster = state.roster.borrow();
    let mut ranks: HashMap<&GroupName, Vec<(&GroupSeat, &DirectTarget)>> = HashMap::new();
    for (_, target) in roster.iter() {
        let seat = target.entry.group.as_ref();
        if let Some(seat) = seat.filter(|_| !target.group_runs && !target.is_superseded) {
            ranks.entry(&seat.name).or_default().push((seat, target));
        }
    }
    let broken = ranks.into_iter().filter_map(|(name, ranks)| {
        let (seat, first) = ranks.first()?;
        let seats = ranks.iter().map(|(seat, target)| {
            let entry = &target.entry;
            let rank = RankSeat {
                target: TargetId::clone(&entry.id),
                address: entry.address,
                is_near: entry.availability_zone == state.own_zone,
            };
            (seat.rank, rank)
        });
        Some(BrokenGroup {
            name: name.clone(),
            service: first.entry.service.clone(),
            epoch: roster.groups().get(name)?.epoch,
            size: seat.size as usize,
            is_doubted: roster.is_suspected(name),
            seats: seats.collect(),
        })
    });
    broken.collect()
}

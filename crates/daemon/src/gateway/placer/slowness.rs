//! Reads from the engines which ranks are slow.
//!
//! The placer of a group reads the reports of all ranks when passes are long, which is when a slow
//! rank would show, and later only those of the slow ones. Each report is billed. The other
//! gateways learn of slow ranks from the load reports of the placer.

use {
    super::{
        super::{
            engines::GroupEngines,
            state::{GatewayState, REPORT_SOURCE},
        },
        GroupSnapshot,
    },
    sassafrasslip_core::{
        dispatch::{DatedSlowdown, RankControl, map_switch::RankIndex},
        ids::GroupName,
    },
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Shortest interval at which the reports of all ranks of a group are read.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the reports of slow ranks are read again, to notice when they recover.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Times at which the reports of a group's ranks were last read.
#[derive(Clone, Copy, Debug, Default)]
struct ReadTimes {
    all_ranks: Option<Instant>,
    slow_ranks: Option<Instant>,
}

/// Keeps track of when the reports of each group were read.
#[derive(Debug, Default)]
pub(super) struct SlownessWatch {
    read_at: RefCell<HashMap<GroupName, ReadTimes>>,
}

impl SlownessWatch {
    /// Reads the reports of the slow ranks of a group again if that is due.
    pub(super) fn follow(&self, state: &Rc<GatewayState>, snapshot: &GroupSnapshot) {
        let now = Instant::now();
        let mut read_at = self.read_at.borrow_mut();
        let times = read_at.entry(snapshot.name.clone()).or_default();
        if snapshot.pace.slow_ranks == 0 || !is_due(times.slow_ranks, RECHECK_INTERVAL, now) {
            return;
        }
        times.slow_ranks = Some(now);
        let slow = slow_ranks(state, &snapshot.engines, now);
        let (state, engines) = (Rc::clone(state), Rc::clone(&snapshot.engines));
        tokio::task::spawn_local(async move {
            read_slowdowns(&state, &engines, slow.into_iter()).await;
        });
    }

    /// Reads the reports of all ranks of a group, unless they were read just before.
    pub(super) async fn check_all(&self, state: &GatewayState, engines: &GroupEngines) {
        let now = Instant::now();
        let is_due = {
            let mut read_at = self.read_at.borrow_mut();
            let times = read_at.entry(engines.group.clone()).or_default();
            let is_due = is_due(times.all_ranks, FULL_READ_INTERVAL, now);
            if is_due {
                times.all_ranks = Some(now);
            }
            is_due
        };
        if is_due {
            read_slowdowns(state, engines, 0..engines.ranks()).await;
        }
    }
}

fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now >= last + interval)
}

/// Returns the ranks that have reported a slowdown.
fn slow_ranks(state: &GatewayState, engines: &GroupEngines, now: Instant) -> Vec<RankIndex> {
    let roster = state.roster.borrow();
    let ranks = 0..engines.ranks();
    let slow = ranks.filter(|rank| {
        let target = engines.target(*rank).and_then(|id| roster.find_target(id));
        target.is_some_and(|target| roster.slowdown(target, now).factor() > 1.0)
    });
    slow.collect()
}

/// Reads the slowdowns of some ranks of a group and records them.
async fn read_slowdowns(
    state: &GatewayState,
    engines: &GroupEngines,
    ranks: impl Iterator<Item = RankIndex>,
) {
    let reads = ranks.map(|rank| async move { (rank, engines.slowdown(rank).await) });
    let slowdowns = futures_util::future::join_all(reads).await;
    let as_of = Instant::now();
    for (rank, slowdown) in slowdowns {
        let name_hash = engines.target(rank).and_then(|id| {
            let roster = state.roster.borrow();
            roster.find_target(id).map(|target| target.name_hash)
        });
        if let (Some(target), Some(slowdown)) = (name_hash, slowdown) {
            let report = DatedSlowdown { slowdown, as_of };
            state.note_slowdown(target, report, REPORT_SOURCE);
        }
    }
}

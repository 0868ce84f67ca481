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

/// Interval at which the reports of slow ranks are read again, to notice when they recover.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time of the latest check of each group's slow ranks.
#[derive(Debug, Default)]
pub(super) struct SlownessWatch {
    checked_at: RefCell<HashMap<GroupName, Instant>>,
}

impl SlownessWatch {
    /// Reads the reports of the slow ranks of a group again if that is due.
    pub(super) fn follow(&self, state: &Rc<GatewayState>, snapshot: &GroupSnapshot) {
        if snapshot.pace.slow_ranks == 0 {
            return;
        }
        let now = Instant::now();
        let mut checked_at = self.checked_at.borrow_mut();
        let last = checked_at.insert(snapshot.name.clone(), now);
        if let Some(last) = last.filter(|last| now < *last + RECHECK_INTERVAL) {
            checked_at.insert(snapshot.name.clone(), last);
            return;
        }
        let slow = slow_ranks(state, &snapshot.engines, now);
        let (state, engines) = (Rc::clone(state), Rc::clone(&snapshot.engines));
        tokio::task::spawn_local(async move {
            read_slowdowns(&state, &engines, slow.into_iter()).await;
        });
    }
}

/// Returns the ranks that have reported a slowdown.
fn slow_ranks(state: &GatewayState, engines: &GroupEngines, now: Instant) -> Vec<RankIndex> {
    let roster = state.roster.borrow();
    let ranks = 0..engines.ranks();
    let slow = ranks.filter(|rank| {
        let key = engines.target(*rank).and_then(|id| roster.find(id));
        let target = key.and_then(|key| roster.get(key));
        target.is_some_and(|target| roster.slowdown(target, now).factor() > 1.0)
    });
    slow.collect()
}

/// Reads the slowdowns of some ranks of a group and records them.
pub(super) async fn read_slowdowns(
    state: &GatewayState,
    engines: &GroupEngines,
    ranks: impl Iterator<Item = RankIndex>,
) {
    let reads = ranks.map(|rank| async move { (rank, engines.slowdown(rank).await) });
    let slowdowns = futures_util::future::join_all(reads).await;
    let as_of = Instant::now();
    for (rank, slowdown) in slowdowns {
        let key = engines.target(rank);
        let key = key.and_then(|id| state.roster.borrow().find(id));
        let name_hash = key.and_then(|key| Some(state.roster.borrow().get(key)?.name_hash));
        if let (Some(target), Some(slowdown)) = (name_hash, slowdown) {
            let report = DatedSlowdown { slowdown, as_of };
            state.note_slowdown(target, report, REPORT_SOURCE);
        }
    }
}

//! What the ranks of a group say about map changes, and what a placer concludes from it.
//!
//! Reports are some hundred milliseconds old. They tell which pass to hold, and that none is held
//! already; loading experts takes longer than a report needs, so that a hold of another placer from
//! before shows in it (see the assumption of `model/map_switch.pml`).

use {super::map_switch::RankIndex, std::time::Duration};

/// Passes between the estimate of the current pass and the one that is held.
const PASS_MARGIN: u64 = 1;

/// The same while some orders are not answered. Orders that have to be given again take longer than
/// a pass, in which the group would wait.
const LOSSY_PASS_MARGIN: u64 = 3;

/// Least time of a pass that is reckoned with, where pauses are not known well.
const LEAST_PAUSE: Duration = Duration::from_millis(1);

/// What an engine says about its part in map changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RankStatus {
    /// Number of the group's formation.
    pub epoch: u64,
    /// Last pass that was begun.
    pub pass: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version that is loaded.
    pub prepared: Option<u64>,
    /// Version that is armed.
    pub armed: Option<u64>,
    /// Pass that the rank holds.
    pub held: Option<u64>,
}

impl RankStatus {
    /// Returns whether the rank has loaded, armed or held something for a change.
    pub fn takes_part_in_change(&self) -> bool {
        let has_loaded = self.prepared.is_some_and(|prepared| prepared != self.map);
        has_loaded || self.armed.is_some() || self.held.is_some()
    }

    /// Returns the highest version that the rank is known to have had.
    pub fn highest_version(&self) -> u64 {
        let loaded = self.prepared.unwrap_or(0);
        self.map.max(loaded).max(self.armed.unwrap_or(0))
    }
}

/// Returns the rank that holds the pass for which the group waits. A pass further ahead is not
/// what the group waits for.
pub fn held_pass(statuses: &[RankStatus]) -> Option<(RankIndex, u64)> {
    let mut ranks = statuses.iter().enumerate();
    ranks.find_map(|(rank, status)| {
        let pass = status.held.filter(|pass| *pass <= status.pass + 1)?;
        Some((rank, pass))
    })
}

/// Returns the highest version that a rank has armed. A version that is only prepared must not be
/// disarmed: the order could come late, when its placer has armed it on all ranks and released the
/// pass (`DISARM_PREPARED` in `model/map_switch.pml`).
pub fn armed_version(statuses: &[RankStatus]) -> Option<u64> {
    statuses.iter().filter_map(|status| status.armed).max()
}

/// Age of reports and pace of the passes, from which the current pass is estimated.
#[derive(Clone, Copy, Debug)]
pub struct PassPace {
    /// Age of a report.
    pub report_age: Duration,
    /// Time of a pass.
    pub pause: Duration,
    /// Whether orders stayed without an answer.
    pub is_lossy: bool,
}

impl PassPace {
    /// Returns the time between preparing a map and the look at the ranks after which a pass is
    /// held, where experts are loaded for `loading`.
    ///
    /// A placer that may not be the only one waits until reports show the pass that another one
    /// held before, and until such a pass has begun if it was released (`SHORT_LOADING` in
    /// `model/map_switch.pml`). Small experts load in less time.
    pub fn preparation_time(&self, loading: Duration, is_only_placer: bool) -> Duration {
        if is_only_placer {
            return loading;
        }
        let passes = self.pause.max(LEAST_PAUSE) * (self.margin() as u32 + 1);
        loading.max(passes).max(self.report_age)
    }

    const fn margin(&self) -> u64 {
        if self.is_lossy {
            LOSSY_PASS_MARGIN
        } else {
            PASS_MARGIN
        }
    }
}

/// Returns the pass that a placer holds for its change; `None` if another map than `version` is in
/// use, or if a rank still holds a pass. Its placer may release that pass while this one arms the
/// ranks (`HOLD_OVER_HELD` in `model/map_switch.pml`).
///
/// `statuses` are those of the ranks at which passes are held.
pub fn pass_to_hold(statuses: &[RankStatus], version: u64, pace: &PassPace) -> Option<u64> {
    let first = statuses.first().filter(|status| status.map == version)?;
    if statuses.iter().any(|status| status.held.is_some()) {
        return None;
    }
    let pause = pace.pause.max(LEAST_PAUSE);
    let since = (pace.report_age.as_secs_f64() / pause.as_secs_f64()).ceil();
    Some(first.pass + since as u64 + pace.margin())
}

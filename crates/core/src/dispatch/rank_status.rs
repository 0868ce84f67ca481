//! Status of the ranks of a group in a map change, and the pass that a placer holds for its own
//! change.
//!
//! A placer is a gateway that changes the expert maps of groups. It works from reports that are
//! some hundred milliseconds old. They show which pass to hold, and whether a pass is already held.
//! Loading experts takes longer than a report takes to arrive, so the reports show any pass that
//! another placer held before the loading began (see the assumption of `model/map_switch.pml`).

use {super::map_switch::RankIndex, std::time::Duration};

/// Number of passes between the estimated current pass and the one that is held.
const PASS_MARGIN: u64 = 1;

/// Number of passes between the estimated current pass and the held one while some orders get no
/// answer. A repeated order takes longer than a pass, and with a smaller margin the group would
/// wait for it.
const LOSSY_PASS_MARGIN: u64 = 3;

/// Shortest duration of a pass that is used in estimates, for when the pauses are not known well.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// Report of the engine of a rank about map changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RankStatus {
    /// Number of the group's formation, which rises each time the group forms.
    pub epoch: u64,
    /// Number of the last pass that the group has begun.
    pub pass: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version that is prepared (its experts are loaded), if any.
    pub prepared: Option<u64>,
    /// Version that is armed, which takes effect at a given pass, if any.
    pub armed: Option<u64>,
    /// Pass that the rank holds back, if any.
    pub held: Option<u64>,
}

impl RankStatus {
    /// Returns whether the rank has prepared or armed a map or holds a pass for a change.
    pub fn takes_part_in_change(&self) -> bool {
        let has_loaded = self.prepared.is_some_and(|prepared| prepared != self.map);
        has_loaded || self.armed.is_some() || self.held.is_some()
    }

    /// Returns the highest version among those in use, prepared and armed.
    pub fn highest_version(&self) -> u64 {
        let loaded = self.prepared.unwrap_or(0);
        self.map.max(loaded).max(self.armed.unwrap_or(0))
    }
}

/// Returns the first rank that holds a pass for which the group may be waiting, and that pass. A
/// pass that is further ahead than the next one does not stall the group yet.
pub fn held_pass(statuses: &[RankStatus]) -> Option<(RankIndex, u64)> {
    let mut ranks = statuses.iter().enumerate();
    ranks.find_map(|(rank, status)| {
        let pass = status.held.filter(|pass| *pass <= status.pass + 1)?;
        Some((rank, pass))
    })
}

/// Returns the highest version that a rank has armed. A version that is only prepared must not be
/// disarmed: the order could arrive after the placer of that version has armed it on all ranks and
/// released the pass (`DISARM_PREPARED` in `model/map_switch.pml`).
pub fn armed_version(statuses: &[RankStatus]) -> Option<u64> {
    statuses.iter().filter_map(|status| status.armed).max()
}

/// Age of the reports and duration of a pass, from which the current pass is estimated.
#[derive(Clone, Copy, Debug)]
pub struct PassPace {
    /// Age of the reports that show the status of the ranks.
    pub report_age: Duration,
    /// Duration of a pass, which is the pause between two events of a stream.
    pub pause: Duration,
    /// Whether some orders got no answer.
    pub is_lossy: bool,
}

impl PassPace {
    /// Returns the time to wait between preparing a map and reading the status of the ranks, after
    /// which a pass is held. `loading` is the time that the ranks need to load the experts.
    ///
    /// If other placers may be active, the time is long enough for reports to show a pass that one
    /// of them held before, and for that pass to begin if it was released (`SHORT_LOADING` in
    /// `model/map_switch.pml`). Loading small experts takes less time than that.
    pub fn preparation_time(&self, loading: Duration, is_only_placer: bool) -> Duration {
        if is_only_placer {
            return loading;
        }
        let passes = self.pause.max(MIN_PAUSE) * (self.margin() as u32 + 1);
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

/// Returns the pass that a placer holds for its change. Returns `None` if the map in use is not
/// `version`, or if a rank still holds a pass: the other placer may release that pass while this
/// one arms the ranks (`HOLD_OVER_HELD` in `model/map_switch.pml`).
///
/// `statuses` contains the status of each rank at which passes are held; the first one is that of
/// the rank at which this pass is held.
pub fn pass_to_hold(statuses: &[RankStatus], version: u64, pace: &PassPace) -> Option<u64> {
    let first = statuses.first().filter(|status| status.map == version)?;
    if statuses.iter().any(|status| status.held.is_some()) {
        return None;
    }
    let pause = pace.pause.max(MIN_PAUSE);
    let passes_since = (pace.report_age.as_secs_f64() / pause.as_secs_f64()).ceil();
    Some(first.pass + passes_since as u64 + pace.margin())
}

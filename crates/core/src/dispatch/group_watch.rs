//! State of the groups' formations as reports of ranks, peers and rejected requests show it, in
//! addition to the instance list.
//!
//! Load pattern: an availability zone is cut off, so that a group loses ranks. All its streams end
//! at once and every rank rejects its requests, but the instance list shows the break only a
//! heartbeat later, and a gateway in the zone that is cut off cannot read the list at all. A caller
//! retries only once, and each request that is sent to the broken group uses up that retry. When
//! the group opens again, more callers give up the longer the gateways do not know it.
//!
//! Each formation of a group has a higher number (epoch) than the one before, and a broken
//! formation never opens again. Views of a group from lists, reports and peers may therefore be
//! merged in any order. A break that is only inferred from rejections is a suspicion, which a later
//! answer or report of a rank clears.
//!
//! A sound group looks the same for a moment: its ranks are silent for a second or have had no
//! requests, and one of them is full and rejects a request. As long as neither a report nor a
//! rejection that names another rank confirms the suspicion, the time before it does not count as
//! an outage, so that requests wait for the reports instead of being refused.

use {
    super::target_roster::GroupView,
    crate::ids::GroupName,
    std::{cmp::Reverse, collections::HashMap, time::Duration},
    tokio::time::Instant,
};

/// Shortest time without an event from any rank that, together with a rejection, shows that the
/// group has stalled and not that one rank is full. Passes take up to some 150 ms.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// Shortest such time in passes; the longer of the two bounds applies.
const MIN_SILENT_PASSES: u32 = 4;

/// Time after the rejections from which on a report that shows the same formation open clears the
/// suspicion. Reports of ranks describe the state of some hundred milliseconds ago.
const MIN_SUSPICION_TIME: Duration = Duration::from_millis(400);

/// Time after which the instance list is newer than what reports, peers and rejections have shown:
/// twice the sum of a heartbeat, the lag of the list and the interval of reading it. Older
/// knowledge has to be dropped, because a group whose ranks have all been replaced may number its
/// formations from the start again.
const LIST_CATCH_UP_TIME: Duration = Duration::from_secs(5);

/// Time for which a new view of a group is sent to peers. It is sent repeatedly because datagrams
/// may be lost; after this time the instance list shows the same.
const NEWS_TIME: Duration = Duration::from_secs(3);

/// View of a group and the time that it describes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DatedView {
    /// State of the group at that time.
    pub view: GroupView,
    /// Time at which the group was in this state, which is earlier than the arrival of the view.
    pub as_of: Instant,
}

/// Rejection of a request by a rank, with what shows whether the rank's group is broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RankRejection {
    /// Whether the answer names another rank as the reason for the rejection.
    pub names_another: bool,
    /// Whether the rank had a free slot as far as this gateway knows.
    pub had_room: bool,
    /// Time since a rank of the group last sent an event to this gateway; `None` if none has.
    pub silent_for: Option<Duration>,
    /// Duration of a pass of the group; `None` while unknown.
    pub pass: Option<Duration>,
}

impl RankRejection {
    /// Returns whether the rejection shows that the group has lost a rank: the answer names another
    /// rank, or the rank had a free slot and all ranks are silent. If only this rank were full or
    /// faulty, the other ranks would still send events.
    pub fn shows_break(&self) -> bool {
        let silent_passes = self.pass.unwrap_or_default() * MIN_SILENT_PASSES;
        let is_silent = self
            .silent_for
            .is_some_and(|silence| silence >= silent_passes.max(MIN_SILENCE));
        self.names_another || (self.had_room && is_silent)
    }
}

/// Formation that is taken for broken because of rejections.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    epoch: u64,
    since: Instant,
    /// Whether a rejection has named another rank as its cause.
    names_rank: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct KnownFormation {
    /// Latest view from reports of ranks and from peers, and the time at which it became known
    /// here.
    latest: Option<(DatedView, Instant)>,
    suspicion: Option<Suspicion>,
    /// Broken formation all of whose ranks answer again, so that the group is about to form.
    forming: Option<u64>,
}

/// View of a group that is sent to peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupNews {
    /// Latest view of the group.
    pub dated: DatedView,
    /// Whether the view shows a broken formation all of whose ranks answer again.
    pub is_forming: bool,
}

/// State of all groups as reports, peers and rejections have shown it.
#[derive(Debug, Default)]
pub struct GroupWatch {
    formations: HashMap<GroupName, KnownFormation>,
}

impl GroupWatch {
    /// Records a suspicion, from rejections, that the formation `epoch` of a group is broken. Does
    /// nothing if this formation or a newer one is already suspected.
    pub fn note_break(&mut self, name: &GroupName, epoch: u64, now: Instant) {
        let known = self.formations.entry(name.clone()).or_default();
        let is_known = known
            .suspicion
            .is_some_and(|suspicion| suspicion.epoch >= epoch);
        if !is_known {
            known.suspicion = Some(Suspicion {
                epoch,
                since: now,
                names_rank: false,
            });
        }
    }

    /// Records that a rejection by a rank of a suspected group names another rank as its cause.
    pub fn note_named_rank(&mut self, name: &GroupName) {
        let known = self.formations.get_mut(name);
        if let Some(suspicion) = known.and_then(|known| known.suspicion.as_mut()) {
            suspicion.names_rank = true;
        }
    }

    /// Records that a rank has begun to answer a request, which a rank of a broken group cannot.
    /// Returns whether this clears a suspicion.
    pub fn note_running(&mut self, name: &GroupName) -> bool {
        let known = self.formations.get_mut(name);
        known.is_some_and(|known| known.suspicion.take().is_some())
    }

    /// Records a view of a group from a report of a rank or a peer. Returns whether it is newer
    /// than the known one or clears a suspicion.
    pub fn note_view(&mut self, name: &GroupName, dated: DatedView, now: Instant) -> bool {
        let known = self.formations.entry(name.clone()).or_default();
        let DatedView { view, as_of } = dated;
        // A report that describes a time before the rejections does not refute them.
        let ended = known.suspicion.take_if(|suspicion| {
            view.is_open
                && (view.epoch > suspicion.epoch || as_of > suspicion.since + MIN_SUSPICION_TIME)
        });
        let is_newer = known
            .latest
            .is_none_or(|(latest, _)| newest(latest.view, view) != latest.view);
        if is_newer || ended.is_some() {
            known.latest = Some((dated, now));
        }
        is_newer || ended.is_some()
    }

    /// Records that all ranks of the broken formation `epoch` answer again; returns whether that
    /// was not known before.
    pub fn note_forming(&mut self, name: &GroupName, epoch: u64, now: Instant) -> bool {
        let known = self.formations.entry(name.clone()).or_default();
        let is_news = known.forming.is_none_or(|forming| forming < epoch);
        if is_news {
            known.forming = Some(epoch);
            // Restarts the time for which the view is sent to peers, as for a new view.
            known.latest = known.latest.map(|(dated, _)| (dated, now));
        }
        is_news
    }

    /// Returns whether a group counts as broken only because of rejections, without a report that
    /// confirms it.
    pub fn is_suspected(&self, name: &GroupName) -> bool {
        self.unconfirmed(name).is_some()
    }

    /// Returns the time since which a group counts as broken only because a rank with a free slot
    /// has rejected a request; `None` if a report or a rejection that names another rank shows
    /// more.
    pub fn doubtful_since(&self, name: &GroupName) -> Option<Instant> {
        let suspicion = self.unconfirmed(name)?;
        (!suspicion.names_rank).then_some(suspicion.since)
    }

    fn unconfirmed(&self, name: &GroupName) -> Option<Suspicion> {
        let known = self.formations.get(name)?;
        let latest = known.latest.map(|(latest, _)| latest.view);
        known.suspicion.filter(|suspicion| {
            latest.is_none_or(|latest| latest.epoch < suspicion.epoch || latest.is_open)
        })
    }

    /// Returns the views of groups that have changed lately and are sent to peers.
    pub fn news(&self, now: Instant) -> impl Iterator<Item = (&GroupName, GroupNews)> {
        self.formations.iter().filter_map(move |(name, known)| {
            let (dated, known_since) = known.latest?;
            let is_forming = !dated.view.is_open && known.forming == Some(dated.view.epoch);
            let news = GroupNews { dated, is_forming };
            (now < known_since + NEWS_TIME).then_some((name, news))
        })
    }

    /// Returns the state of a group from its state in the instance list, `listed`, and from what
    /// reports, peers and rejections have shown.
    pub fn merge(&self, name: &GroupName, listed: GroupView) -> GroupView {
        let Some(known) = self.formations.get(name) else {
            return listed;
        };
        let latest = known.latest.map(|(latest, _)| latest.view);
        let mut view = latest.map_or(listed, |latest| newest(listed, latest));
        if known
            .suspicion
            .is_some_and(|suspicion| suspicion.epoch >= view.epoch)
        {
            view.is_open = false;
        }
        view
    }

    /// Drops what is older than a list that was read at `listed_at`.
    pub fn drop_outdated(&mut self, listed_at: Instant) {
        for known in self.formations.values_mut() {
            let is_outdated = |since: Instant| listed_at >= since + LIST_CATCH_UP_TIME;
            known.latest.take_if(|(_, since)| is_outdated(*since));
            known
                .suspicion
                .take_if(|suspicion| is_outdated(suspicion.since));
            if known.latest.is_none() {
                known.forming = None;
            }
        }
    }

    /// Drops the groups for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&GroupName) -> bool) {
        self.formations.retain(|name, _| is_listed(name));
    }
}

/// Returns the newer of two views: the one of the newer formation, or the broken one if both are of
/// the same formation.
fn newest(left: GroupView, right: GroupView) -> GroupView {
    let age = |view: &GroupView| (view.epoch, Reverse(view.is_open));
    if age(&right) > age(&left) {
        right
    } else {
        left
    }
}

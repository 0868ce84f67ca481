//! What a gateway knows about the formations of groups beyond the instance list.
//!
//! Load pattern: a zone is cut off, so that a group misses ranks. Its streams end at one instant and
//! every rank rejects what it gets, but the list shows it only a heartbeat later, and a gateway in
//! the zone that is cut off never reads it. Each request that is sent meanwhile costs its caller the
//! one chance to come back. When the group opens again, each moment until that is known adds to the
//! requests that give up.
//!
//! A formation has a number that rises, and never opens again once it is broken. Views of it from
//! lists, reports and peers may therefore be merged in any order. A break that was only concluded
//! from rejections is a doubt, which answers and reports of ranks end.

use {
    super::target_roster::GroupView,
    crate::ids::GroupName,
    std::{cmp::Reverse, collections::HashMap, time::Duration},
    tokio::time::Instant,
};

/// Least silence of all ranks that, together with a rejection, shows that the group has stalled
/// and not that one rank is full. Passes take up to some 150 ms.
const LEAST_SILENCE: Duration = Duration::from_millis(500);

/// Passes that the silence lasts at least.
const SILENT_PASSES: u32 = 4;

/// Time after rejections from which on a report that shows the same formation open refutes them.
/// Ranks report what was some hundred milliseconds ago.
const DOUBT_TIME: Duration = Duration::from_millis(400);

/// Time after which the instance list has overtaken what reports, peers and rejections have shown: a
/// heartbeat, the lag of the list and an interval of reading fit into it twice. A group whose ranks
/// have all been replaced may count its formations from the start again.
const OVERTAKEN_AFTER: Duration = Duration::from_secs(5);

/// Time for which peers are told what a report has shown. Datagrams may be lost; the instance list
/// shows the same by then.
const NEWS_TIME: Duration = Duration::from_secs(3);

/// View of a group, and the moment that it describes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DatedView {
    /// State of the group.
    pub view: GroupView,
    /// Moment that it describes.
    pub as_of: Instant,
}

/// What a rejection of a request by a rank shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RankRejection {
    /// Whether the answer names another rank as the cause.
    pub names_another: bool,
    /// Whether the rank has a free slot as far as this gateway knows.
    pub had_room: bool,
    /// Time since a rank of the group last sent an event to this gateway; `None` if none has.
    pub silent_for: Option<Duration>,
    /// Time of a pass; `None` while unknown.
    pub pass: Option<Duration>,
}

impl RankRejection {
    /// Returns whether the rejection shows that the group misses a rank. Other ranks go on while
    /// only this one is full or ill.
    pub fn shows_break(&self) -> bool {
        let usual = self.pass.unwrap_or_default() * SILENT_PASSES;
        let is_silent = self
            .silent_for
            .is_some_and(|silence| silence >= usual.max(LEAST_SILENCE));
        self.names_another || (self.had_room && is_silent)
    }
}

/// Formation that rejections have shown to miss a rank.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    epoch: u64,
    since: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct KnownFormation {
    /// Latest view from reports of ranks and from peers, and when it became known here.
    latest: Option<(DatedView, Instant)>,
    doubt: Option<Doubt>,
    /// Broken formation of which all ranks answer again.
    forming: Option<u64>,
}

/// What peers should hear about a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupNews {
    /// Latest view.
    pub dated: DatedView,
    /// Whether the view is of a broken formation of which all ranks answer again.
    pub is_forming: bool,
}

/// Knowledge about the formations of all groups.
#[derive(Debug, Default)]
pub struct GroupWatch {
    formations: HashMap<GroupName, KnownFormation>,
}

impl GroupWatch {
    /// Notes that rejections show that the formation `epoch` misses a rank.
    pub fn note_break(&mut self, name: &GroupName, epoch: u64, now: Instant) {
        let known = self.formations.entry(name.clone()).or_default();
        let is_known = known.doubt.is_some_and(|doubt| doubt.epoch >= epoch);
        if !is_known {
            known.doubt = Some(Doubt { epoch, since: now });
        }
    }

    /// Notes that a rank has begun to answer, which one of a broken group cannot. Returns whether
    /// that ends a doubt.
    pub fn note_running(&mut self, name: &GroupName) -> bool {
        let known = self.formations.get_mut(name);
        known.is_some_and(|known| known.doubt.take().is_some())
    }

    /// Notes what a report of a rank or a peer says. Returns whether that is news.
    pub fn note_view(&mut self, name: &GroupName, dated: DatedView, now: Instant) -> bool {
        let known = self.formations.entry(name.clone()).or_default();
        let DatedView { view, as_of } = dated;
        // A report from before the rejections says nothing about them.
        let ended = known.doubt.take_if(|doubt| {
            view.is_open && (view.epoch > doubt.epoch || as_of > doubt.since + DOUBT_TIME)
        });
        let is_newer = known
            .latest
            .is_none_or(|(latest, _)| newest(latest.view, view) != latest.view);
        if is_newer || ended.is_some() {
            known.latest = Some((dated, now));
        }
        is_newer || ended.is_some()
    }

    /// Notes that all ranks of the broken formation `epoch` answer again; returns whether that is
    /// news.
    pub fn note_forming(&mut self, name: &GroupName, epoch: u64, now: Instant) -> bool {
        let known = self.formations.entry(name.clone()).or_default();
        let is_news = known.forming.is_none_or(|forming| forming < epoch);
        if is_news {
            known.forming = Some(epoch);
            // Told for as long as a new view is.
            known.latest = known.latest.map(|(dated, _)| (dated, now));
        }
        is_news
    }

    /// Returns whether a formation counts as broken only because of rejections, which no report
    /// has confirmed.
    pub fn is_doubted(&self, name: &GroupName) -> bool {
        let known = self.formations.get(name);
        known.is_some_and(|known| {
            let latest = known.latest.map(|(latest, _)| latest.view);
            let is_confirmed = |doubt: Doubt| {
                latest.is_some_and(|latest| latest.epoch >= doubt.epoch && !latest.is_open)
            };
            known.doubt.is_some_and(|doubt| !is_confirmed(doubt))
        })
    }

    /// Returns what peers should hear about groups.
    pub fn news(&self, now: Instant) -> impl Iterator<Item = (&GroupName, GroupNews)> {
        self.formations.iter().filter_map(move |(name, known)| {
            let (dated, known_since) = known.latest?;
            let is_forming = !dated.view.is_open && known.forming == Some(dated.view.epoch);
            let news = GroupNews { dated, is_forming };
            (now < known_since + NEWS_TIME).then_some((name, news))
        })
    }

    /// Returns the state of a group that the list shows as `listed`.
    pub fn merge(&self, name: &GroupName, listed: GroupView) -> GroupView {
        let Some(known) = self.formations.get(name) else {
            return listed;
        };
        let latest = known.latest.map(|(latest, _)| latest.view);
        let mut view = latest.map_or(listed, |latest| newest(listed, latest));
        if known.doubt.is_some_and(|doubt| doubt.epoch >= view.epoch) {
            view.is_open = false;
        }
        view
    }

    /// Forgets what a list that was read at `listed_at` has overtaken.
    pub fn yield_to_list(&mut self, listed_at: Instant) {
        for known in self.formations.values_mut() {
            let is_overtaken = |since: Instant| listed_at >= since + OVERTAKEN_AFTER;
            known.latest.take_if(|(_, since)| is_overtaken(*since));
            known.doubt.take_if(|doubt| is_overtaken(doubt.since));
            if known.latest.is_none() {
                known.forming = None;
            }
        }
    }

    /// Forgets the groups that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&GroupName) -> bool) {
        self.formations.retain(|name, _| is_listed(name));
    }
}

/// Returns the later of two views: of the newer formation, or of the same one after its break.
fn newest(left: GroupView, right: GroupView) -> GroupView {
    let age = |view: &GroupView| (view.epoch, Reverse(view.is_open));
    if age(&right) > age(&left) {
        right
    } else {
        left
    }
}

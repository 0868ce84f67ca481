//! Waiting requests of one service.

use {
    super::{pace::StartPace, queue::TicketKey},
    crate::ids::TeamName,
    std::collections::{BTreeMap, HashMap},
    tokio::time::Instant,
};

/// Teams whose turns are remembered for one service before those that no longer matter are
/// forgotten.
const REMEMBERED_TURNS: usize = 8192;

/// Waiting requests of one team for one service, most urgent and oldest first.
pub(super) type TeamQueue = BTreeMap<(u8, u64), TicketKey>;

/// Start-time fair queueing: each team has a virtual time that advances when it is served, and the
/// team with the lowest one is next. A team that starts to wait begins at the time of the service.
#[derive(Debug, Default)]
pub(super) struct ServiceQueue {
    pub(super) teams: HashMap<TeamName, TeamQueue>,
    pub(super) length: usize,
    /// Virtual time of the request that was served last.
    virtual_time: f64,
    /// Virtual times of teams.
    team_times: HashMap<TeamName, f64>,
    pub(super) mean_duration: Option<f64>,
    pub(super) pace: StartPace,
    /// Paces of the teams that wait.
    pub(super) team_paces: HashMap<TeamName, StartPace>,
}

impl ServiceQueue {
    pub(super) fn team_time(&self, team: &TeamName) -> f64 {
        let time = self.team_times.get(team).copied().unwrap_or_default();
        time.max(self.virtual_time)
    }

    pub(super) fn serve(&mut self, team: &TeamName, turns: f64) {
        let time = self.team_time(team);
        self.virtual_time = time;
        if self.team_times.len() >= REMEMBERED_TURNS {
            self.team_times.retain(|_, known| *known > time);
        }
        self.team_times.insert(team.clone(), time + turns);
    }

    pub(super) fn record_start(&mut self, team: &TeamName, now: Instant) {
        self.pace.record(now, self.length > 0);
        if self.teams.contains_key(team) {
            let pace = self.team_paces.entry(team.clone()).or_default();
            pace.record(now, true);
        }
    }

    /// Returns the requests that are served before one of `team` that has `own` others of its team
    /// before it: of each other team at most as many as that team has waiting itself.
    fn position(&self, team: &TeamName, own: usize) -> usize {
        let others = self.teams.iter().filter(|(other, _)| *other != team);
        let others = others.map(|(_, waiting)| waiting.len().min(own + 1));
        own + others.sum::<usize>()
    }

    /// Estimates the wait, in seconds, of a request of `team` with `own` others of its team before
    /// it. Teams that do not wait yet will overtake a team that waits longer than its share; only
    /// the pace of the team itself shows how much that costs.
    pub(super) fn wait_seconds(&self, team: &TeamName, own: usize, pace: f64) -> f64 {
        let team_pace = self.team_paces.get(team).and_then(StartPace::settled);
        let by_team = (own as f64 + 1.0) * team_pace.unwrap_or_default();
        let by_position = (self.position(team, own) as f64 + 1.0) * pace;
        by_team.max(by_position)
    }
}

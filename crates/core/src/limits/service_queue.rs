//! Waiting requests of one service.

use {
    super::{pace::StartPace, queue::TicketKey},
    crate::ids::TeamName,
    std::collections::{BTreeMap, HashMap},
    tokio::time::Instant,
};

/// Team times kept for one service; once there are this many, those that no longer affect the order
/// of the teams are dropped.
const MAX_TEAM_TIMES: usize = 8192;

/// Waiting requests of one team for one service, most urgent and oldest first.
pub(super) type TeamQueue = BTreeMap<(u8, u64), TicketKey>;

/// Waiting requests of one service under start-time fair queueing: each team has a virtual time
/// that advances when one of its requests starts, and the team with the lowest virtual time is
/// next. A team that begins to wait is set to the virtual time of the service.
#[derive(Debug, Default)]
pub(super) struct ServiceQueue {
    pub(super) teams: HashMap<TeamName, TeamQueue>,
    /// Waiting requests of all teams.
    pub(super) length: usize,
    /// Virtual time at which the last request started.
    virtual_time: f64,
    /// Virtual time of each team after its last request.
    team_times: HashMap<TeamName, f64>,
    /// Mean time for which a request occupies a target, in seconds.
    pub(super) mean_duration: Option<f64>,
    /// Mean time between the starts of requests of all teams.
    pub(super) pace: StartPace,
    /// Mean time between the starts of requests of each team that has waiting requests.
    pub(super) team_paces: HashMap<TeamName, StartPace>,
}

impl ServiceQueue {
    /// Returns the virtual time of a team, which is at least that of the service.
    pub(super) fn team_time(&self, team: &TeamName) -> f64 {
        let time = self.team_times.get(team).copied().unwrap_or_default();
        time.max(self.virtual_time)
    }

    /// Advances the virtual time of a team by `turns` because one of its requests starts.
    pub(super) fn charge(&mut self, team: &TeamName, turns: f64) {
        let time = self.team_time(team);
        self.virtual_time = time;
        if self.team_times.len() >= MAX_TEAM_TIMES {
            self.team_times.retain(|_, known| *known > time);
        }
        self.team_times.insert(team.clone(), time + turns);
    }

    /// Records a start in the pace of the service and, if the team still has waiting requests, in
    /// that of the team.
    pub(super) fn record_start(&mut self, team: &TeamName, now: Instant) {
        self.pace.record(now, self.length > 0);
        if self.teams.contains_key(team) {
            let pace = self.team_paces.entry(team.clone()).or_default();
            pace.record(now, true);
        }
    }

    /// Returns how many requests start before a request of `team` that has `own_ahead` others of
    /// its team before it: those, and up to `own_ahead + 1` waiting requests of each other team.
    fn position(&self, team: &TeamName, own_ahead: usize) -> usize {
        let others = self.teams.iter().filter(|(other, _)| *other != team);
        let others = others.map(|(_, waiting)| waiting.len().min(own_ahead + 1));
        own_ahead + others.sum::<usize>()
    }

    /// Estimates the wait, in seconds, of a request of `team` with `own_ahead` others of its team
    /// before it, if the service starts a request every `pace` seconds. A team that asks for more
    /// than its share is overtaken by teams that are not waiting yet; only the team's own pace
    /// shows how much longer it waits because of that.
    pub(super) fn wait_seconds(&self, team: &TeamName, own_ahead: usize, pace: f64) -> f64 {
        let team_pace = self.team_paces.get(team).and_then(StartPace::settled);
        let by_team = (own_ahead as f64 + 1.0) * team_pace.unwrap_or_default();
        let by_position = (self.position(team, own_ahead) as f64 + 1.0) * pace;
        by_team.max(by_position)
    }
}

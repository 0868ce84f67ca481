//! Limits on the concurrency and the request rate of teams at one entry.

use {
    crate::ids::TeamName,
    std::{collections::HashMap, error::Error, fmt, result, time::Duration},
    tokio::time::Instant,
};

/// Result of admitting a request.
pub type Result<T> = result::Result<T, TeamRefusal>;

/// Number of teams above which idle ones are dropped. Callers choose the team names, so nothing
/// else bounds their number; a fleet of the target size has 3,200 teams.
const MAX_TRACKED_TEAMS: usize = 8192;

/// Limits of a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimits {
    /// Requests that the team may have in flight.
    pub concurrency: u32,
    /// Requests per second; a burst may hold up to one second's worth.
    pub rate: u32,
}

/// Limit that a team has reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TeamRefusal {
    /// The team has reached its limit of requests in flight.
    Concurrency,
    /// The team has reached its limit of requests per second.
    Rate {
        /// Time until the next request may start.
        retry_after: Duration,
    },
}

impl fmt::Display for TeamRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Concurrency => "the team has reached its limit of requests in flight",
            Self::Rate { .. } => "the team has reached its limit of requests per second",
        })
    }
}

impl Error for TeamRefusal {}

#[derive(Debug)]
struct TeamState {
    in_flight: u32,
    /// Requests in flight at peer entries.
    peer_in_flight: u32,
    /// Content of the token bucket that limits the rate; a request takes one token.
    tokens: f64,
    refilled_at: Instant,
}

impl TeamState {
    fn refill(&mut self, rate: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(rate);
        self.refilled_at = now;
    }

    fn is_idle(&self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.in_flight == 0 && self.peer_in_flight == 0 && elapsed >= Duration::from_secs(1)
    }
}

/// Enforces the limits of teams; keeps the requests in flight and a token bucket for each team.
#[derive(Debug, Default)]
pub struct TeamLimiter {
    teams: HashMap<TeamName, TeamState>,
}

impl TeamLimiter {
    /// Admits a request and counts it as in flight.
    ///
    /// # Errors
    ///
    /// Fails if the team has reached a limit; the request is not counted then.
    pub fn admit(&mut self, team: &TeamName, limits: TeamLimits, now: Instant) -> Result<()> {
        self.drop_idle(now);
        let rate = f64::from(limits.rate);
        let state = self.state(team, now);
        state.refill(rate, now);
        if state.in_flight >= limits.concurrency {
            return Err(TeamRefusal::Concurrency);
        }
        if state.tokens < 1.0 {
            let retry_after = Duration::from_secs_f64((1.0 - state.tokens) / rate.max(1.0));
            return Err(TeamRefusal::Rate { retry_after });
        }
        state.tokens -= 1.0;
        state.in_flight += 1;
        Ok(())
    }

    /// Counts the end of an admitted request.
    pub fn release(&mut self, team: &TeamName) {
        if let Some(state) = self.teams.get_mut(team) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Replaces the numbers of requests that teams have in flight at peer entries.
    pub fn set_peer_usage(
        &mut self,
        usage: impl IntoIterator<Item = (TeamName, u32)>,
        now: Instant,
    ) {
        for state in self.teams.values_mut() {
            state.peer_in_flight = 0;
        }
        for (team, in_flight) in usage {
            let state = self.state(&team, now);
            state.peer_in_flight = state.peer_in_flight.saturating_add(in_flight);
        }
    }

    /// Returns the number of requests that a team has in flight at all entries.
    pub fn fleet_in_flight(&self, team: &TeamName) -> u32 {
        let state = self.teams.get(team);
        state.map_or(0, |state| {
            state.in_flight.saturating_add(state.peer_in_flight)
        })
    }

    /// Returns the ratio of the requests that a team has in flight at all entries to those at this
    /// one, which count as at least one. The ratio is 1 for an unknown team.
    pub fn fleet_ratio(&self, team: &TeamName) -> f64 {
        self.teams.get(team).map_or(1.0, |state| {
            let own = f64::from(state.in_flight.max(1));
            (own + f64::from(state.peer_in_flight)) / own
        })
    }

    /// Returns the number of requests that each team has in flight at this entry; teams without
    /// any are left out.
    pub fn usage(&self) -> impl Iterator<Item = (&TeamName, u32)> {
        let teams = self.teams.iter().filter(|(_, state)| state.in_flight > 0);
        teams.map(|(team, state)| (team, state.in_flight))
    }

    fn state(&mut self, team: &TeamName, now: Instant) -> &mut TeamState {
        self.teams.entry(team.clone()).or_insert(TeamState {
            in_flight: 0,
            peer_in_flight: 0,
            // The first refill caps the bucket at the rate of the team.
            tokens: f64::INFINITY,
            refilled_at: now,
        })
    }

    /// Drops the teams that have no requests in flight and a full token bucket, once there are too
    /// many teams.
    fn drop_idle(&mut self, now: Instant) {
        if self.teams.len() > MAX_TRACKED_TEAMS {
            self.teams.retain(|_, state| !state.is_idle(now));
        }
    }
}

//! Concurrency and rate of teams at one entry.

use {
    crate::ids::TeamName,
    std::{collections::HashMap, error::Error, fmt, result, time::Duration},
    tokio::time::Instant,
};

/// Result of admitting a request.
pub type Result<T> = result::Result<T, TeamRefusal>;

/// Teams above which idle ones are forgotten. Team names come from callers, so their number has
/// no other bound; the target size has 3,200 teams.
const REMEMBERED_TEAMS: usize = 8192;

/// Limits of a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimits {
    /// Requests in flight.
    pub concurrency: u32,
    /// Requests a second; up to one second's worth may come at once.
    pub rate: u32,
}

/// Limit that a team has reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TeamRefusal {
    /// As many requests are in flight as may be.
    Concurrency,
    /// Requests come too fast.
    Rate {
        /// Time until the next request may start.
        retry_after: Duration,
    },
}

impl fmt::Display for TeamRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Concurrency => "the team has as many requests in flight as it may have",
            Self::Rate { .. } => "the team sends more requests a second than it may",
        })
    }
}

impl Error for TeamRefusal {}

#[derive(Debug)]
struct TeamState {
    in_flight: u32,
    peer_in_flight: u32,
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

/// Requests in flight and recent rate of each team.
#[derive(Debug, Default)]
pub struct TeamLedger {
    teams: HashMap<TeamName, TeamState>,
}

impl TeamLedger {
    /// Admits a request and counts it as in flight.
    ///
    /// # Errors
    ///
    /// Fails if the team has reached a limit; the request then does not count.
    pub fn admit(&mut self, team: &TeamName, limits: TeamLimits, now: Instant) -> Result<()> {
        self.forget_idle(now);
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

    /// Replaces the requests that teams have in flight at peer entries.
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

    /// Returns the requests that a team has in flight at all entries.
    pub fn fleet_in_flight(&self, team: &TeamName) -> u32 {
        let state = self.teams.get(team);
        state.map_or(0, |state| {
            state.in_flight.saturating_add(state.peer_in_flight)
        })
    }

    /// Returns how many times as many requests a team has in flight at all entries as at this one.
    pub fn fleet_share(&self, team: &TeamName) -> f64 {
        self.teams.get(team).map_or(1.0, |state| {
            let own = f64::from(state.in_flight.max(1));
            (own + f64::from(state.peer_in_flight)) / own
        })
    }

    /// Returns the requests that teams have in flight at this entry, idle teams left out.
    pub fn usage(&self) -> impl Iterator<Item = (&TeamName, u32)> {
        let teams = self.teams.iter().filter(|(_, state)| state.in_flight > 0);
        teams.map(|(team, state)| (team, state.in_flight))
    }

    fn state(&mut self, team: &TeamName, now: Instant) -> &mut TeamState {
        self.teams.entry(team.clone()).or_insert(TeamState {
            in_flight: 0,
            peer_in_flight: 0,
            // The first refill reduces it to the rate of the team.
            tokens: f64::INFINITY,
            refilled_at: now,
        })
    }

    fn forget_idle(&mut self, now: Instant) {
        if self.teams.len() > REMEMBERED_TEAMS {
            self.teams.retain(|_, state| !state.is_idle(now));
        }
    }
}

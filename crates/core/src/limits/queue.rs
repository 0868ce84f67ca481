//! Bounded queue that is fair among teams.

use {
    super::TeamLedger,
    crate::ids::{ServiceName, TeamName},
    slotmap::{SlotMap, new_key_type},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        error::Error,
        fmt, result,
        time::Duration,
    },
    tokio::time::Instant,
};

new_key_type! {
    /// Key of a request that waits.
    pub struct TicketKey;
}

/// Result of queueing a request.
pub type Result<T> = result::Result<T, QueueRefusal>;

/// Weight of the newest duration in the mean duration of requests.
const DURATION_WEIGHT: f64 = 0.1;

/// Limits of the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Requests that may wait.
    pub length: usize,
    /// Longest wait.
    pub wait: Duration,
}

/// Request that has to wait.
#[derive(Clone, Debug)]
pub struct WaitRequest {
    /// Service.
    pub service: ServiceName,
    /// Team.
    pub team: TeamName,
    /// Urgency, 0 to 7; 0 is the most urgent.
    pub priority: u8,
    /// Time by which the request has to start.
    pub deadline: Instant,
}

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueRefusal {
    /// The request would not start in time.
    Late {
        /// Estimate of the wait.
        expected_wait: Duration,
    },
    /// The queue is full.
    QueueFull,
}

impl fmt::Display for QueueRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Late { expected_wait } => write!(
                formatter,
                "the request would wait about {} ms, longer than it may",
                expected_wait.as_millis()
            ),
            Self::QueueFull => formatter.write_str("the queue is full"),
        }
    }
}

impl Error for QueueRefusal {}

/// Request that waits.
#[derive(Debug)]
struct Waiting {
    request: WaitRequest,
    sequence: u64,
}

/// Waiting requests of one team for one service, most urgent and oldest first.
type TeamQueue = BTreeMap<(u8, u64), TicketKey>;

#[derive(Debug, Default)]
struct ServiceQueue {
    teams: HashMap<TeamName, TeamQueue>,
    length: usize,
    mean_duration: Option<f64>,
}

/// Requests that wait, by service and team.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: SlotMap<TicketKey, Waiting>,
    services: HashMap<ServiceName, ServiceQueue>,
    team_lengths: HashMap<TeamName, usize>,
    sequence: u64,
}

impl WaitQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a request waits for the service.
    pub fn has_waiting(&self, service: &ServiceName) -> bool {
        let queue = self.services.get(service);
        queue.is_some_and(|queue| queue.length > 0)
    }

    /// Returns the services for which requests wait.
    pub fn waiting_services(&self) -> Vec<ServiceName> {
        let busy = self.services.iter().filter(|(_, queue)| queue.length > 0);
        busy.map(|(service, _)| service.clone()).collect()
    }

    /// Records how long a request occupied a target.
    pub fn record_duration(&mut self, service: &ServiceName, duration: Duration) {
        let seconds = duration.as_secs_f64();
        let queue = self.services.entry(service.clone()).or_default();
        let mean = queue.mean_duration.unwrap_or(seconds);
        queue.mean_duration = Some(mean + (seconds - mean) * DURATION_WEIGHT);
    }

    /// Estimates the wait of a request that joins now, while `slots` requests of this entry run.
    pub fn expected_wait(&self, service: &ServiceName, slots: u32) -> Duration {
        let Some(queue) = self.services.get(service) else {
            return Duration::ZERO;
        };
        let position = queue.length as f64 + 1.0;
        let mean = queue.mean_duration.unwrap_or_default();
        Duration::from_secs_f64(position * mean / f64::from(slots.max(1)))
    }

    /// Queues a request. If the queue is full, the least urgent and newest request of the team
    /// that waits most gives way and is returned.
    ///
    /// # Errors
    ///
    /// Fails at once if the request would not start in time, or if the queue is full and no other
    /// team waits more.
    pub fn push(
        &mut self,
        request: WaitRequest,
        limits: QueueLimits,
        slots: u32,
        now: Instant,
    ) -> Result<(TicketKey, Option<TicketKey>)> {
        let expected_wait = self.expected_wait(&request.service, slots);
        let remaining = request.deadline.saturating_duration_since(now);
        if expected_wait > remaining.min(limits.wait) {
            return Err(QueueRefusal::Late { expected_wait });
        }
        let displaced = if self.waiting.len() >= limits.length {
            Some(
                self.displace(&request.team)
                    .ok_or(QueueRefusal::QueueFull)?,
            )
        } else {
            None
        };
        Ok((self.insert(request), displaced))
    }

    /// Returns the next request of a service: that of the team with the fewest requests in flight
    /// at all entries, and among equal teams the most urgent and oldest. Requests in `passed` are
    /// passed over.
    pub fn peek(
        &self,
        service: &ServiceName,
        ledger: &TeamLedger,
        passed: &[TicketKey],
    ) -> Option<TicketKey> {
        let queue = self.services.get(service)?;
        let heads = queue.teams.iter().filter_map(|(team, waiting)| {
            let mut waiting = waiting.iter();
            let (order, ticket) = waiting.find(|(_, ticket)| !passed.contains(ticket))?;
            Some((ledger.fleet_in_flight(team), *order, *ticket))
        });
        heads.min().map(|(_, _, ticket)| ticket)
    }

    /// Removes a request; returns whether it was waiting.
    pub fn remove(&mut self, ticket: TicketKey) -> bool {
        let Some(Waiting { request, sequence }) = self.waiting.remove(ticket) else {
            return false;
        };
        if let Some(queue) = self.services.get_mut(&request.service) {
            queue.length -= 1;
            if let Some(team_queue) = queue.teams.get_mut(&request.team) {
                team_queue.remove(&(request.priority, sequence));
                if team_queue.is_empty() {
                    queue.teams.remove(&request.team);
                }
            }
        }
        if let Some(length) = self.team_lengths.get_mut(&request.team) {
            *length -= 1;
            if *length == 0 {
                self.team_lengths.remove(&request.team);
            }
        }
        true
    }

    fn insert(&mut self, request: WaitRequest) -> TicketKey {
        self.sequence += 1;
        let sequence = self.sequence;
        let order = (request.priority, sequence);
        let (service, team) = (request.service.clone(), request.team.clone());
        let ticket = self.waiting.insert(Waiting { request, sequence });
        *self.team_lengths.entry(team.clone()).or_default() += 1;
        let queue = self.services.entry(service).or_default();
        queue.length += 1;
        queue.teams.entry(team).or_default().insert(order, ticket);
        ticket
    }

    fn displace(&mut self, newcomer: &TeamName) -> Option<TicketKey> {
        let own = self.team_lengths.get(newcomer).copied().unwrap_or_default();
        let longest = self
            .team_lengths
            .iter()
            .max_by_key(|(team, length)| (**length, Reverse(*team)));
        // A team that would wait as much as the longest one gains nothing for fairness.
        let (team, _) = longest.filter(|(_, length)| **length > own + 1)?;
        let queues = self
            .services
            .values()
            .filter_map(|queue| queue.teams.get(team));
        let last = queues.filter_map(|queue| queue.last_key_value());
        let (_, ticket) = last.max_by_key(|(order, _)| **order)?;
        let ticket = *ticket;
        self.remove(ticket);
        Some(ticket)
    }
}

//! Bounded queue of requests that is fair among teams.

use {
    super::{
        TeamLimiter,
        pace::running_mean,
        service_queue::{ServiceQueue, TeamQueue},
    },
    crate::ids::{ServiceName, TeamName},
    slotmap::{SlotMap, new_key_type},
    std::{cmp::Reverse, collections::HashMap, error::Error, fmt, result, time::Duration},
    tokio::time::Instant,
};

new_key_type! {
    /// Key of a waiting request.
    pub struct TicketKey;
}

/// Result of adding a request to the queue.
pub type Result<T> = result::Result<T, QueueRefusal>;

/// Safety factor on the estimated wait of a new request. Without it, half of the requests whose
/// estimate is close to the longest permitted wait would be queued and then refused after a wait.
const WAIT_MARGIN: f64 = 1.5;

/// Shortest time between two searches for late requests; a search visits every waiting request.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Most turns that the start of one request can cost its team.
const MAX_TURNS: f64 = 16.0;

/// Limits on the length and the wait of the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Requests that may wait at the same time, for all services together.
    pub length: usize,
    /// Longest time that a request may wait.
    pub wait: Duration,
}

/// Request to be queued.
#[derive(Clone, Debug)]
pub struct WaitRequest {
    /// Service that the request calls.
    pub service: ServiceName,
    /// Team that sent the request.
    pub team: TeamName,
    /// Priority from 0, the most urgent, to 7.
    pub priority: u8,
    /// Time by which the request has to start.
    pub deadline: Instant,
}

/// Why a request is not queued, or is removed from the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueRefusal {
    /// The request would not start in time.
    Late {
        /// Estimated wait.
        expected_wait: Duration,
    },
    /// The queue is full, and no request of another team gives way to this one.
    QueueFull,
}

impl fmt::Display for QueueRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Late { expected_wait } => write!(
                formatter,
                "the request would wait about {} ms, longer than allowed",
                expected_wait.as_millis()
            ),
            Self::QueueFull => formatter.write_str("the queue is full"),
        }
    }
}

impl Error for QueueRefusal {}

#[derive(Debug)]
struct QueuedRequest {
    request: WaitRequest,
    /// Number that rises with each queued request.
    sequence: u64,
    /// Time by which the request has to start: its own deadline or the end of the longest
    /// permitted wait, whichever is earlier.
    start_deadline: Instant,
}

/// Queue of waiting requests, by service and team.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: SlotMap<TicketKey, QueuedRequest>,
    services: HashMap<ServiceName, ServiceQueue>,
    /// Waiting requests of each team, for all services together.
    team_lengths: HashMap<TeamName, usize>,
    sequence: u64,
    /// Time from which late requests are searched for again.
    next_review: Option<Instant>,
}

impl WaitQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a request waits for the service.
    pub fn has_waiting(&self, service: &ServiceName) -> bool {
        let queue = self.services.get(service);
        queue.is_some_and(|queue| queue.length > 0)
    }

    /// Returns the services for which at least one request waits.
    pub fn waiting_services(&self) -> Vec<ServiceName> {
        let busy = self.services.iter().filter(|(_, queue)| queue.length > 0);
        busy.map(|(service, _)| service.clone()).collect()
    }

    /// Adds the time for which a request occupied a target to the mean of its service.
    pub fn record_duration(&mut self, service: &ServiceName, duration: Duration) {
        let seconds = duration.as_secs_f64();
        let queue = self.services.entry(service.clone()).or_default();
        queue.mean_duration = Some(running_mean(queue.mean_duration, seconds));
    }

    /// Estimates how long a request that is queued now would wait, while `slots` requests of this
    /// entry run. While requests wait, the estimate uses the mean time between starts, which
    /// accounts for the capacity that other entries use at the same targets. Otherwise it uses the
    /// mean duration of a request divided by `slots`.
    pub fn expected_wait(&self, service: &ServiceName, team: &TeamName, slots: u32) -> Duration {
        let Some(queue) = self.services.get(service) else {
            return Duration::ZERO;
        };
        let mean_duration = queue.mean_duration.unwrap_or_default();
        let pace = queue.pace.current();
        let pace = pace.unwrap_or(mean_duration / f64::from(slots.max(1)));
        let own = queue.teams.get(team).map_or(0, TeamQueue::len);
        Duration::from_secs_f64(queue.wait_seconds(team, own, pace))
    }

    /// Removes the requests that would not start in time at the current mean time between starts,
    /// and returns each with its estimated wait. Returns nothing if the last search was too recent.
    pub fn remove_late(&mut self, now: Instant) -> Vec<(TicketKey, QueueRefusal)> {
        if self.next_review.is_some_and(|next| now < next) {
            return Vec::new();
        }
        self.next_review = Some(now + REVIEW_INTERVAL);
        let services = self.services.values();
        let late: Vec<_> = services
            .flat_map(|queue| self.find_late(queue, now))
            .collect();
        for (ticket, _) in &late {
            self.remove(*ticket);
        }
        late
    }

    /// Finds the late requests of one service. A request counts only the earlier requests of its
    /// team that are not late themselves.
    fn find_late(&self, queue: &ServiceQueue, now: Instant) -> Vec<(TicketKey, QueueRefusal)> {
        let Some(pace) = queue.pace.settled() else {
            return Vec::new();
        };
        let mut late = Vec::new();
        for (team, waiting) in &queue.teams {
            let mut kept = 0;
            for ticket in waiting.values() {
                let seconds = queue.wait_seconds(team, kept, pace);
                let expected_wait = Duration::from_secs_f64(seconds);
                let start_deadline = self
                    .waiting
                    .get(*ticket)
                    .map(|waiting| waiting.start_deadline);
                if start_deadline.is_some_and(|start_deadline| now + expected_wait > start_deadline)
                {
                    late.push((*ticket, QueueRefusal::Late { expected_wait }));
                } else {
                    kept += 1;
                }
            }
        }
        late
    }

    /// Queues a request. If the queue is full, the team with the most waiting requests loses the
    /// newest of its least urgent ones, and the key of the removed request is returned too.
    ///
    /// # Errors
    ///
    /// Fails if the request is not expected to start in time, or if the queue is full and no other
    /// team has at least two more waiting requests than the team of this one.
    pub fn push(
        &mut self,
        request: WaitRequest,
        limits: QueueLimits,
        slots: u32,
        now: Instant,
    ) -> Result<(TicketKey, Option<TicketKey>)> {
        let expected_wait = self.expected_wait(&request.service, &request.team, slots);
        let remaining = request.deadline.saturating_duration_since(now);
        if expected_wait.mul_f64(WAIT_MARGIN) > remaining.min(limits.wait) {
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
        let start_deadline = request.deadline.min(now + limits.wait);
        Ok((self.insert(request, start_deadline), displaced))
    }

    /// Returns the next request of a service: the most urgent and oldest of the team whose turn it
    /// is. Requests in `skipped` are left out.
    pub fn peek(&self, service: &ServiceName, skipped: &[TicketKey]) -> Option<TicketKey> {
        let queue = self.services.get(service)?;
        let heads = queue.teams.iter().filter_map(|(team, waiting)| {
            let mut waiting = waiting.iter();
            let (order, ticket) = waiting.find(|(_, ticket)| !skipped.contains(ticket))?;
            Some((queue.team_time(team), *order, *ticket))
        });
        let next = heads.min_by(|left, right| {
            let order = left.0.total_cmp(&right.0);
            order.then(left.1.cmp(&right.1))
        });
        next.map(|(_, _, ticket)| ticket)
    }

    /// Removes a request because it starts. Its team is charged one turn, or more if the team has
    /// requests in flight at other entries, so that it does not get a full share at each entry.
    pub fn start(&mut self, ticket: TicketKey, limiter: &TeamLimiter, now: Instant) {
        let Some(waiting) = self.waiting.get(ticket) else {
            return;
        };
        let (service, team) = (
            waiting.request.service.clone(),
            waiting.request.team.clone(),
        );
        self.remove(ticket);
        if let Some(queue) = self.services.get_mut(&service) {
            queue.charge(&team, limiter.fleet_ratio(&team).min(MAX_TURNS));
            queue.record_start(&team, now);
        }
    }

    /// Removes a request; returns whether it was waiting.
    pub fn remove(&mut self, ticket: TicketKey) -> bool {
        let removed = self.waiting.remove(ticket);
        let Some(QueuedRequest {
            request, sequence, ..
        }) = removed
        else {
            return false;
        };
        if let Some(queue) = self.services.get_mut(&request.service) {
            queue.length -= 1;
            if let Some(team_queue) = queue.teams.get_mut(&request.team) {
                team_queue.remove(&(request.priority, sequence));
                if team_queue.is_empty() {
                    queue.teams.remove(&request.team);
                    queue.team_paces.remove(&request.team);
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

    fn insert(&mut self, request: WaitRequest, start_deadline: Instant) -> TicketKey {
        self.sequence += 1;
        let sequence = self.sequence;
        let order = (request.priority, sequence);
        let (service, team) = (request.service.clone(), request.team.clone());
        let ticket = self.waiting.insert(QueuedRequest {
            request,
            sequence,
            start_deadline,
        });
        *self.team_lengths.entry(team.clone()).or_default() += 1;
        let queue = self.services.entry(service).or_default();
        queue.length += 1;
        queue.teams.entry(team).or_default().insert(order, ticket);
        ticket
    }

    /// Removes a request of the team with the most waiting requests to make room for one of
    /// `newcomer`, and returns its key; `None` if that would not make the queue fairer.
    fn displace(&mut self, newcomer: &TeamName) -> Option<TicketKey> {
        let own = self.team_lengths.get(newcomer).copied().unwrap_or_default();
        let longest = self
            .team_lengths
            .iter()
            .max_by_key(|(team, length)| (**length, Reverse(*team)));
        // With one request more, the new team must still have fewer waiting than the longest one.
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

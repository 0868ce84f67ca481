//! Bounded queue that is fair among teams.

use {
    super::{
        TeamLedger,
        pace::running_mean,
        service_queue::{ServiceQueue, TeamQueue},
    },
    crate::ids::{ServiceName, TeamName},
    slotmap::{SlotMap, new_key_type},
    std::{cmp::Reverse, collections::HashMap, error::Error, fmt, result, time::Duration},
    tokio::time::Instant,
};

new_key_type! {
    /// Key of a request that waits.
    pub struct TicketKey;
}

/// Result of queueing a request.
pub type Result<T> = result::Result<T, QueueRefusal>;

/// Factor on the estimated wait. Without it, half of the requests at the edge would be refused
/// only after they have waited in vain.
const WAIT_MARGIN: f64 = 1.5;

/// Shortest time between two reviews of the waiting requests; a review looks at each of them.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Most turns that one request can cost its team.
const MOST_TURNS: f64 = 16.0;

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
    /// Time by which the request has to start.
    latest: Instant,
}

/// Requests that wait, by service and team.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: SlotMap<TicketKey, Waiting>,
    services: HashMap<ServiceName, ServiceQueue>,
    team_lengths: HashMap<TeamName, usize>,
    sequence: u64,
    next_review: Option<Instant>,
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
        queue.mean_duration = Some(running_mean(queue.mean_duration, seconds));
    }

    /// Estimates the wait of a request that joins now, while `slots` requests of this entry run.
    /// While others wait, the pace at which they start is known; it includes what other entries
    /// take of the same targets. Before that, the duration of requests has to do.
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

    /// Takes out the requests that would not start in time at the pace of the latest starts, and
    /// returns them with the estimates of their waits.
    pub fn remove_late(&mut self, now: Instant) -> Vec<(TicketKey, QueueRefusal)> {
        if self.next_review.is_some_and(|next| now < next) {
            return Vec::new();
        }
        self.next_review = Some(now + REVIEW_INTERVAL);
        let services = self.services.values();
        let late: Vec<_> = services.flat_map(|queue| self.late(queue, now)).collect();
        for (ticket, _) in &late {
            self.remove(*ticket);
        }
        late
    }

    fn late(&self, queue: &ServiceQueue, now: Instant) -> Vec<(TicketKey, QueueRefusal)> {
        let Some(pace) = queue.pace.settled() else {
            return Vec::new();
        };
        let mut late = Vec::new();
        for (team, waiting) in &queue.teams {
            let mut kept = 0;
            for ticket in waiting.values() {
                let seconds = queue.wait_seconds(team, kept, pace);
                let expected_wait = Duration::from_secs_f64(seconds);
                let latest = self.waiting.get(*ticket).map(|waiting| waiting.latest);
                if latest.is_some_and(|latest| now + expected_wait > latest) {
                    late.push((*ticket, QueueRefusal::Late { expected_wait }));
                } else {
                    kept += 1;
                }
            }
        }
        late
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
        let latest = request.deadline.min(now + limits.wait);
        Ok((self.insert(request, latest), displaced))
    }

    /// Returns the next request of a service: the most urgent and oldest of the team whose turn it
    /// is. Requests in `passed` are passed over.
    pub fn peek(&self, service: &ServiceName, passed: &[TicketKey]) -> Option<TicketKey> {
        let queue = self.services.get(service)?;
        let heads = queue.teams.iter().filter_map(|(team, waiting)| {
            let mut waiting = waiting.iter();
            let (order, ticket) = waiting.find(|(_, ticket)| !passed.contains(ticket))?;
            Some((queue.team_time(team), *order, *ticket))
        });
        let next = heads.min_by(|left, right| {
            let order = left.0.total_cmp(&right.0);
            order.then(left.1.cmp(&right.1))
        });
        next.map(|(_, _, ticket)| ticket)
    }

    /// Takes a request out because it starts. It costs its team one turn, and more if the team
    /// has requests in flight at other entries, so that it does not get a share at each of them.
    pub fn start(&mut self, ticket: TicketKey, ledger: &TeamLedger, now: Instant) {
        let Some(waiting) = self.waiting.get(ticket) else {
            return;
        };
        let (service, team) = (
            waiting.request.service.clone(),
            waiting.request.team.clone(),
        );
        self.remove(ticket);
        if let Some(queue) = self.services.get_mut(&service) {
            queue.serve(&team, ledger.fleet_share(&team).min(MOST_TURNS));
            queue.record_start(&team, now);
        }
    }

    /// Removes a request; returns whether it was waiting.
    pub fn remove(&mut self, ticket: TicketKey) -> bool {
        let removed = self.waiting.remove(ticket);
        let Some(Waiting {
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

    fn insert(&mut self, request: WaitRequest, latest: Instant) -> TicketKey {
        self.sequence += 1;
        let sequence = self.sequence;
        let order = (request.priority, sequence);
        let (service, team) = (request.service.clone(), request.team.clone());
        let ticket = self.waiting.insert(Waiting {
            request,
            sequence,
            latest,
        });
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

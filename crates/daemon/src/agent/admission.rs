//! Admission control: keeps the exact number of requests in flight at the target and refuses
//! dispatches that exceed its limit, are outdated or late, or meet a draining or unhealthy target.

pub mod offers;

use {
    self::offers::{LinkNumber, OFFER_DURATION, SlotOffers},
    super::metrics::AgentMetrics,
    sassafrasslip_core::{
        configuration::Revision,
        events::LogEvent::{TargetDraining, TargetUnhealthy},
        ids::RequestId,
        log_event,
    },
    sassafrasslip_proto::link::{RefusalReason, TargetLoad},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time::{Instant, sleep},
    },
    tokio_util::{
        sync::CancellationToken,
        task::{TaskTracker, task_tracker::TaskTrackerToken},
    },
};

/// Shortest time between two reports to all entries that a full target has a free slot again. It
/// bounds the traffic of a target whose load varies around its limit. Each report may trigger a
/// dispatch from every entry: at 100 ms, retries after refusals were 12% of first attempts at full
/// load.
const FREE_SLOT_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Reason why an agent drains. It drains while at least one reason holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainReason {
    /// The platform's instance list marks the instance as leaving.
    Listed,
    /// An operator ordered the drain.
    Operator,
    /// The process received SIGTERM or SIGINT.
    Stop,
}

/// Properties of a dispatch that decide whether it is admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Request that the dispatch belongs to.
    pub request_id: RequestId,
    /// Number of the attempt; together with the request it identifies the dispatch.
    pub attempt: u32,
    /// Configuration revision that the entry routed by.
    pub revision: Revision,
    /// Limit on requests in flight that the entry resolved from its configuration; 0 if it sent
    /// none.
    pub target_concurrency: u32,
    /// Deadline by the agent's clock.
    pub deadline: Instant,
    /// Link on which the dispatch arrived.
    pub link: LinkNumber,
}

/// Reason why a dispatch is not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionError {
    /// The same attempt is running; the frame is dropped without a reply.
    Duplicate,
    /// The dispatch is refused and the entry is told the reason.
    Refused(RefusalReason),
}

#[derive(Debug, Default)]
struct AdmissionState {
    running: HashMap<(RequestId, u32), CancellationToken>,
    offers: SlotOffers,
    /// Limit on requests in flight that applied to the latest dispatch.
    limit: u32,
    /// Time before which a free slot is not reported to all entries again.
    next_free_slot_report: Option<Instant>,
    revision: Revision,
    listed: bool,
    operator: bool,
    stop: bool,
    /// Result of the last health check; `None` before the first.
    healthy: Option<bool>,
}

/// Admission control of one target. Clones share the state.
#[derive(Clone, Debug)]
pub struct Admission {
    shared: Arc<AdmissionShared>,
}

#[derive(Debug)]
struct AdmissionShared {
    state: Mutex<AdmissionState>,
    concurrency: u32,
    metrics: AgentMetrics,
    work: TaskTracker,
    changes: watch::Sender<u64>,
}

/// Slot of one request in flight. Dropping the permit frees the slot and offers it to an entry that
/// was refused.
#[derive(Debug)]
pub struct AdmissionPermit {
    admission: Admission,
    key: (RequestId, u32),
    cancelled: CancellationToken,
    _work: TaskTrackerToken,
}

impl AdmissionPermit {
    /// Returns the token that is cancelled when the entry cancels the request or its link closes.
    pub fn cancelled(&self) -> &CancellationToken {
        &self.cancelled
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut state = self.admission.state();
        state.running.remove(&self.key);
        let in_flight = state.in_flight();
        let now = Instant::now();
        let was_full = in_flight + 1 >= state.limit;
        let offered = state.offers.offer(now);
        let reports_free_slot =
            was_full && state.next_free_slot_report.is_none_or(|next| now >= next);
        if reports_free_slot {
            state.next_free_slot_report = Some(now + FREE_SLOT_REPORT_INTERVAL);
        }
        self.admission.shared.metrics.set_in_flight(in_flight);
        drop(state);
        if offered || reports_free_slot {
            self.admission.report_unused_slot();
        }
    }
}

impl AdmissionState {
    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn draining(&self) -> bool {
        self.listed || self.operator || self.stop
    }

    fn refusal(
        &self,
        request: &AdmissionRequest,
        limit: u32,
        now: Instant,
    ) -> Option<RefusalReason> {
        if self.draining() {
            return Some(RefusalReason::Draining);
        }
        if request.revision < self.revision {
            return Some(RefusalReason::StaleRevision);
        }
        if now >= request.deadline {
            return Some(RefusalReason::Deadline);
        }
        if self.healthy != Some(true) {
            return Some(RefusalReason::TargetDown);
        }
        let offered = self.offers.offered_to_others(request.link, now);
        (self.in_flight() + offered >= limit).then_some(RefusalReason::Full)
    }
}

impl Admission {
    /// Creates the admission control of a target, which counts as unhealthy until its first health
    /// check. `concurrency` is the most requests that it runs at once.
    pub fn new(concurrency: u32, metrics: AgentMetrics, work: TaskTracker) -> Self {
        let shared = AdmissionShared {
            state: Mutex::default(),
            concurrency,
            metrics,
            work,
            changes: watch::channel(0).0,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    fn state(&self) -> MutexGuard<'_, AdmissionState> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a dispatch or refuses it. The permit's token is cancelled with `link_closed`.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal, or if the same attempt is running already.
    pub fn admit(
        &self,
        request: &AdmissionRequest,
        now: Instant,
        link_closed: &CancellationToken,
    ) -> Result<AdmissionPermit, AdmissionError> {
        // Taken before the drain flag is read: a graceful stop sets the flag first and then waits
        // for the tracker, so either the stop waits for this token or this dispatch is refused.
        let work = self.shared.work.token();
        let key = (request.request_id, request.attempt);
        let mut state = self.state();
        if state.running.contains_key(&key) {
            return Err(AdmissionError::Duplicate);
        }
        let limit = match request.target_concurrency {
            0 => self.shared.concurrency,
            decided => decided.min(self.shared.concurrency),
        };
        state.limit = limit;
        if let Some(reason) = state.refusal(request, limit, now) {
            if reason == RefusalReason::Full {
                state.offers.record_refusal(request.link);
            }
            return Err(AdmissionError::Refused(reason));
        }
        state.offers.consume(request.link);
        let cancelled = link_closed.child_token();
        state.running.insert(key, cancelled.clone());
        self.shared.metrics.set_in_flight(state.in_flight());
        drop(state);
        self.observe_revision(request.revision);
        Ok(AdmissionPermit {
            admission: self.clone(),
            key,
            cancelled,
            _work: work,
        })
    }

    /// Cancels all running attempts of a request.
    pub fn cancel(&self, request_id: RequestId) {
        let state = self.state();
        let running = state.running.iter();
        running
            .filter(|((id, _), _)| *id == request_id)
            .for_each(|(_, token)| token.cancel());
    }

    /// Records the highest configuration revision that the agent has seen; returns whether
    /// `revision` raised it.
    pub fn observe_revision(&self, revision: Revision) -> bool {
        let mut state = self.state();
        let raised = revision > state.revision;
        state.revision = state.revision.max(revision);
        drop(state);
        if raised {
            self.notify();
        }
        raised
    }

    /// Returns the highest configuration revision that the agent has seen.
    pub fn revision(&self) -> Revision {
        self.state().revision
    }

    /// Sets or clears a reason to drain. A change is logged and reported to all entries.
    pub fn set_draining(&self, reason: DrainReason, draining: bool) {
        let mut state = self.state();
        let flag = match reason {
            DrainReason::Listed => &mut state.listed,
            DrainReason::Operator => &mut state.operator,
            DrainReason::Stop => &mut state.stop,
        };
        if std::mem::replace(flag, draining) == draining {
            return;
        }
        let in_flight = state.in_flight();
        drop(state);
        log_event!(
            TargetDraining,
            reason = format!("{reason:?}"),
            draining = draining,
            in_flight = in_flight
        );
        self.notify();
    }

    /// Records the result of a health check. A change is reported to all entries; `cause` is logged
    /// when the target becomes unhealthy.
    pub fn set_healthy(&self, healthy: bool, cause: &str) {
        let mut state = self.state();
        if state.healthy.replace(healthy) == Some(healthy) {
            return;
        }
        drop(state);
        if !healthy {
            log_event!(TargetUnhealthy, cause = cause);
        }
        self.notify();
    }

    /// Returns whether the target passed its last health check.
    pub fn is_healthy(&self) -> bool {
        self.state().healthy == Some(true)
    }

    /// Returns the current load of the target.
    pub fn load(&self) -> TargetLoad {
        let state = self.state();
        TargetLoad {
            in_flight: state.in_flight(),
            concurrency: self.shared.concurrency,
            draining: state.draining(),
        }
    }

    /// Returns the load as reported to the entry of a link: slots that are offered to other entries
    /// count as in flight.
    pub fn load_for(&self, link: LinkNumber) -> TargetLoad {
        let offered = self.state().offers.offered_to_others(link, Instant::now());
        let load = self.load();
        TargetLoad {
            in_flight: load.in_flight + offered,
            ..load
        }
    }

    /// Registers a link; returns its number and a notification that fires when a slot is offered to
    /// its entry.
    pub fn open_link(&self) -> (LinkNumber, Arc<Notify>) {
        self.state().offers.open_link()
    }

    /// Removes a link with its refusals and offers.
    pub fn close_link(&self, link: LinkNumber) {
        self.state().offers.close_link(link);
    }

    /// Triggers a report to all entries if a freed slot is still unused after [`OFFER_DURATION`].
    /// Entries whose last report shows a full target would otherwise leave the slot unused until
    /// the next periodic report, up to one second.
    fn report_unused_slot(&self) {
        let admission = self.clone();
        tokio::spawn(async move {
            sleep(OFFER_DURATION).await;
            let mut state = admission.state();
            state.offers.expire(Instant::now());
            let is_free = state.in_flight() < state.limit;
            drop(state);
            if is_free {
                admission.notify();
            }
        });
    }

    /// Returns a receiver that changes with the drain state, the health and the revision, and when
    /// a freed slot stays unused. Other changes of the number in flight are left out: every final
    /// reply carries that number to the entry concerned.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changes.subscribe()
    }

    fn notify(&self) {
        self.shared.changes.send_modify(|count| *count += 1);
    }
}

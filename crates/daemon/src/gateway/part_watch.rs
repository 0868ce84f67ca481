//! Watches for targets that crash as they begin to answer, and refuses the requests, or those with
//! the prompt parts, that cause it.

use {
    super::{channels::TargetChannel, state::GatewayState},
    sassafrasslip_core::{
        dispatch::{
            CrashEvidence, CrashId, PartChange, RequestChange, RequestRestriction, RequestTraits,
            TargetEntry, TargetKey, prompt_part::list_parts, request_quarantine,
        },
        events::LogEvent::{
            PartQuarantined, PartReleased, RequestQuarantined, RequestReleased, TargetCrashed,
        },
        log_event,
    },
    std::{io, time::Duration},
    tokio::time::{Instant, timeout},
};

/// Time in which a running target accepts or a crashed one refuses a connection. Other zones are a
/// few milliseconds away.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a target that was found running is not checked again. When a group breaks, its
/// ranks close all their connections at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Value of the log key `source` for what this gateway has observed itself.
const OWN_SOURCE: &str = "answer";

impl GatewayState {
    /// Checks whether a target that has closed the connection of a request before it began to
    /// answer has crashed; if so, the request and the shared parts of its prompt become suspects.
    ///
    /// Only a refused connection shows a crash: connections are also reset by running targets, and
    /// targets that are out of reach do not answer at all.
    pub async fn check_crash(
        &self,
        key: TargetKey,
        request_id: &str,
        traits: &RequestTraits,
        evidence: CrashEvidence,
    ) {
        let Some(entry) = self.crash_suspect(key) else {
            return;
        };
        let opened = timeout(CHECK_TIMEOUT, TargetChannel::open(entry.address)).await;
        match opened {
            Ok(Ok(channel)) => {
                self.checked_at.borrow_mut().insert(key, Instant::now());
                self.keep_channel(key, channel, None);
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                self.record_crash(&entry, request_id, traits, evidence);
            }
            Ok(Err(_)) | Err(_) => {}
        }
    }

    /// Returns the entry of a target that may have crashed: one that is not about to end as planned
    /// and was not found running just now.
    fn crash_suspect(&self, key: TargetKey) -> Option<TargetEntry> {
        let checked_at = self.checked_at.borrow().get(key).copied();
        let is_running = checked_at.is_some_and(|at| at.elapsed() < CHECK_INTERVAL);
        let roster = self.roster.borrow();
        let target = roster.get(key).filter(|target| !target.is_leaving());
        let target = target.filter(|_| !is_running);
        target.map(|target| target.entry.clone())
    }

    fn record_crash(
        &self,
        entry: &TargetEntry,
        request_id: &str,
        traits: &RequestTraits,
        evidence: CrashEvidence,
    ) {
        self.metrics.crashes.inc();
        log_event!(
            TargetCrashed,
            target = entry.id,
            request_id = request_id,
            parts = list_parts(&traits.shared_parts),
            request = traits.whole,
            head = evidence == CrashEvidence::Begun
        );
        let crash = CrashId::of_target(entry);
        let mut quarantine = self.quarantine.borrow_mut();
        let changes = quarantine.record_crash(crash, traits, evidence, Instant::now());
        drop(quarantine);
        self.report_due.notify_one();
        self.note_request_changes(&changes, OWN_SOURCE);
    }

    /// Records that a target has begun to answer a request.
    pub fn record_answer(&self, traits: &RequestTraits, now: Instant) {
        let mut quarantine = self.quarantine.borrow_mut();
        let changes = quarantine.record_answer(traits, now);
        drop(quarantine);
        if !changes.is_empty() {
            self.report_due.notify_one();
            self.note_request_changes(&changes, OWN_SOURCE);
        }
    }

    /// Logs changes of the quarantine and has waiting requests look at their restrictions.
    pub fn note_request_changes(&self, changes: &[RequestChange], source: &'static str) {
        for change in changes {
            match change {
                RequestChange::Part(PartChange::Quarantined(news)) => log_event!(
                    PartQuarantined,
                    part = news.part,
                    incidents = news.incidents,
                    hold_s = news.hold().as_secs(),
                    source = source
                ),
                RequestChange::Part(PartChange::Released(part)) => {
                    log_event!(PartReleased, part = part, source = source);
                }
                RequestChange::Whole(PartChange::Quarantined(news)) => log_event!(
                    RequestQuarantined,
                    request = news.part,
                    incidents = news.incidents,
                    hold_s = news.hold().as_secs(),
                    source = source
                ),
                RequestChange::Whole(PartChange::Released(whole)) => {
                    log_event!(RequestReleased, request = whole, source = source);
                }
            }
        }
        self.count_quarantined();
        self.part_news.notify_waiters();
    }

    /// Removes what no longer counts.
    pub fn drop_outdated_crashes(&self, now: Instant) {
        self.quarantine.borrow_mut().drop_outdated(now);
        self.count_quarantined();
    }

    fn count_quarantined(&self) {
        let quarantine = self.quarantine.borrow();
        let count = |quarantined| i64::try_from(quarantined).unwrap_or(i64::MAX);
        let parts = count(quarantine.parts.quarantined());
        self.metrics.quarantined_parts.set(parts);
        let requests = count(quarantine.wholes.quarantined());
        self.metrics.quarantined_requests.set(requests);
    }

    /// Returns why a request has to be refused; `None` if it may be sent.
    pub fn request_restriction(
        &self,
        traits: &RequestTraits,
        now: Instant,
    ) -> Option<RequestRestriction> {
        let quarantine = self.quarantine.borrow();
        quarantine.restriction(traits, self.runs_trials(now), now)
    }

    /// Waits until a request has to be refused.
    pub async fn wait_for_restriction(&self, traits: &RequestTraits) -> RequestRestriction {
        loop {
            let changed = self.part_news.notified();
            if let Some(restriction) = self.request_restriction(traits, Instant::now()) {
                return restriction;
            }
            changed.await;
        }
    }

    /// Starts a request.
    ///
    /// # Errors
    ///
    /// Fails if the request has to be refused.
    pub fn start_request(
        &self,
        traits: &RequestTraits,
        now: Instant,
    ) -> request_quarantine::Result<()> {
        let runs_trials = self.runs_trials(now);
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.start(traits, runs_trials, now)
    }

    /// Returns whether this gateway sends the trial requests with parts that have crashed targets.
    fn runs_trials(&self, now: Instant) -> bool {
        let peers = self.peers.borrow();
        let is_first = self.own_address().map(|own| peers.is_first(own, now));
        is_first.unwrap_or(true) && !self.leaving.get()
    }
}

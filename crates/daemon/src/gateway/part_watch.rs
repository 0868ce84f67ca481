//! Watches for targets that crash as they begin to answer, and refuses requests with the prompt
//! parts that cause it.

use {
    super::{channels::TargetChannel, state::GatewayState},
    sassafrasslip_core::{
        dispatch::{
            CrashId, PartChange, PartRestriction, PromptPart, TargetEntry, TargetKey,
            part_quarantine, prompt_part::list_parts,
        },
        events::LogEvent::{PartQuarantined, PartReleased, TargetCrashed},
        log_event,
    },
    std::{future, io, time::Duration},
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
    /// answer has crashed; if so, the shared parts of the request's prompt become suspects.
    ///
    /// Only a refused connection shows a crash: connections are also reset by running targets, and
    /// targets that are out of reach do not answer at all.
    pub async fn check_crash(&self, key: TargetKey, request_id: &str, parts: &[PromptPart]) {
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
                self.record_crash(&entry, request_id, parts);
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
        let target = roster.get(key).filter(|target| target.takes_work());
        let target = target.filter(|_| !is_running);
        target.map(|target| target.entry.clone())
    }

    fn record_crash(&self, entry: &TargetEntry, request_id: &str, parts: &[PromptPart]) {
        self.metrics.crashes.inc();
        log_event!(
            TargetCrashed,
            target = entry.id,
            request_id = request_id,
            parts = list_parts(parts)
        );
        let crash = CrashId::of_target(entry);
        let mut quarantine = self.quarantine.borrow_mut();
        let changes = quarantine.record_crash(crash, parts, Instant::now());
        drop(quarantine);
        self.report_due.notify_one();
        self.note_part_changes(&changes, OWN_SOURCE);
    }

    /// Records that a target has begun to answer a request whose prompt has the given shared parts.
    pub fn record_answer(&self, parts: &[PromptPart], now: Instant) {
        let mut quarantine = self.quarantine.borrow_mut();
        let changes = quarantine.record_answer(parts, now);
        drop(quarantine);
        if !changes.is_empty() {
            self.report_due.notify_one();
            self.note_part_changes(&changes, OWN_SOURCE);
        }
    }

    /// Logs changes of the quarantine and has waiting requests look at their restrictions.
    pub fn note_part_changes(&self, changes: &[PartChange], source: &'static str) {
        for change in changes {
            match change {
                PartChange::Quarantined(news) => log_event!(
                    PartQuarantined,
                    part = news.part,
                    incidents = news.incidents,
                    hold_s = news.hold().as_secs(),
                    source = source
                ),
                PartChange::Released(part) => {
                    log_event!(PartReleased, part = part, source = source);
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
        let quarantined = self.quarantine.borrow().quarantined();
        let quarantined = i64::try_from(quarantined).unwrap_or(i64::MAX);
        self.metrics.quarantined_parts.set(quarantined);
    }

    /// Returns why a request with the given shared parts has to be refused; `None` if it may be
    /// sent.
    pub fn part_restriction(&self, parts: &[PromptPart], now: Instant) -> Option<PartRestriction> {
        let quarantine = self.quarantine.borrow();
        quarantine.restriction(parts, self.runs_trials(now), now)
    }

    /// Waits until a request with the given shared parts has to be refused.
    pub async fn wait_for_restriction(&self, parts: &[PromptPart]) -> PartRestriction {
        if parts.is_empty() {
            return future::pending().await;
        }
        loop {
            let changed = self.part_news.notified();
            if let Some(restriction) = self.part_restriction(parts, Instant::now()) {
                return restriction;
            }
            changed.await;
        }
    }

    /// Starts a request with the given shared parts.
    ///
    /// # Errors
    ///
    /// Fails if the request has to be refused.
    pub fn start_parts(&self, parts: &[PromptPart], now: Instant) -> part_quarantine::Result<()> {
        let runs_trials = self.runs_trials(now);
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.start(parts, runs_trials, now)
    }

    /// Returns whether this gateway sends the trial requests with parts that have crashed targets.
    fn runs_trials(&self, now: Instant) -> bool {
        let peers = self.peers.borrow();
        let is_first = self.own_address().map(|own| peers.is_first(own, now));
        is_first.unwrap_or(true) && !self.leaving.get()
    }
}

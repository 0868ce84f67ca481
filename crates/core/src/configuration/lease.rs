//! Holder of a configuration lease; its states are those of `charts/configuration_holder.ini`.

use {
    super::{ConfigurationSnapshot, ConfigurationView, Revision},
    crate::chart::{self, StateChart},
    std::sync::Arc,
    tokio::time::Instant,
};

const CHART: &str = include_str!("../../charts/configuration_holder.ini");

crate::chart_labels! {
    /// State of a holder.
    pub enum HolderState {
        /// No lease has been held since the process started.
        Starting = "starting",
        /// The lease is held.
        Live = "live",
        /// The lease was lost.
        Lapsed = "lapsed",
    }
}

crate::chart_labels! {
    /// Event of a holder.
    pub enum HolderEvent {
        /// A lease was taken at the head revision.
        Acquired = "acquired",
        /// A held lease was renewed.
        Renewed = "renewed",
        /// A renewal failed or its answer came too late.
        RenewalFailed = "renewal_failed",
        /// The time of the lease is over.
        Expired = "expired",
        /// Another incarnation of the instance has taken the lease.
        Superseded = "superseded",
        /// The lease is given up by a graceful stop.
        Released = "released",
        /// A revision was read from the table.
        RevisionRead = "revision_read",
        /// A peer sent a snapshot.
        SnapshotReceived = "snapshot_received",
    }
}

crate::chart_labels! {
    /// Action of a holder.
    pub enum HolderAction {
        /// Put a newer revision in force.
        Apply = "apply",
        /// Leave cut-off mode.
        EnterLive = "enter_live",
        /// Count the lease from the renewal.
        Extend = "extend",
        /// Enter cut-off mode.
        EnterCutOff = "enter_cut_off",
    }
}

/// How the next renewal has to be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalKind {
    /// The lease is not held: the transaction is conditional on the head revision, so that no
    /// lease starts behind an accepted change.
    Acquire,
    /// The lease is held.
    Renew,
}

/// Renewal that the table has committed.
#[derive(Clone, Copy, Debug)]
pub struct LeaseGrant {
    /// How the renewal was made.
    pub kind: RenewalKind,
    /// End of the lease, counted from before the renewal was sent.
    pub expires_at: Instant,
}

/// Effect of an event on what the instance has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderEffect {
    /// A newer revision is in force and has to be published.
    Applied(Revision),
    /// The lease lapsed; the view has changed.
    BecameCutOff,
    /// The lease is held again; the view has changed.
    BecameLive,
    /// The lease is held for longer.
    Extended,
    /// A revision that is not newer was left out.
    Ignored(Revision),
    /// Nothing changes.
    Nothing,
}

/// Returns whether a lease has ended; one that is not held has not.
pub(super) fn has_ended(expires_at: Option<Instant>, now: Instant) -> bool {
    expires_at.is_some_and(|end| now >= end)
}

/// Holder of a configuration lease.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    chart: StateChart<HolderState, HolderEvent, HolderAction>,
    state: HolderState,
    snapshot: Option<Arc<ConfigurationSnapshot>>,
    published: Option<Revision>,
    expires_at: Option<Instant>,
}

impl LeaseHolder {
    /// Creates a holder without a lease and without a revision.
    ///
    /// # Errors
    ///
    /// Fails if the chart is malformed, which a test rules out.
    pub fn new() -> chart::Result<Self> {
        let chart = StateChart::parse(CHART)?;
        Ok(Self {
            state: chart.initial(),
            chart,
            snapshot: None,
            published: None,
            expires_at: None,
        })
    }

    /// Returns the state.
    pub fn state(&self) -> HolderState {
        self.state
    }

    /// Returns the revision in force, or `None` if none was read yet.
    pub fn applied(&self) -> Option<Revision> {
        self.snapshot.as_ref().map(|snapshot| snapshot.revision)
    }

    /// Returns the revision that has been sent to the agents and may stand in the lease record.
    pub fn published(&self) -> Option<Revision> {
        self.published
    }

    /// Returns the end of the lease, if it is held.
    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }

    /// Returns how the next renewal has to be made.
    pub fn renewal_kind(&self) -> RenewalKind {
        match self.state {
            HolderState::Live => RenewalKind::Renew,
            HolderState::Lapsed | HolderState::Starting => RenewalKind::Acquire,
        }
    }

    /// Returns the snapshot in force; an empty one if none was read yet.
    pub fn snapshot(&self) -> Arc<ConfigurationSnapshot> {
        self.snapshot.clone().unwrap_or_default()
    }

    /// Returns the view in force at the time `now`. A process that was paused may be asked for it
    /// before its timer has told that the lease has ended.
    pub fn view(&self, now: Instant) -> ConfigurationView {
        ConfigurationView {
            snapshot: self.snapshot(),
            lease_live: self.state == HolderState::Live && !has_ended(self.expires_at, now),
            lease_expires_at: self.expires_at,
        }
    }

    /// Handles a committed renewal. An answer that arrives after the end of its lease counts as a
    /// failed renewal.
    pub fn on_granted(&mut self, grant: LeaseGrant, now: Instant) -> HolderEffect {
        if now >= grant.expires_at {
            return self.on_renewal_failed(now);
        }
        if self.expire(now) == HolderEffect::BecameCutOff {
            return HolderEffect::BecameCutOff;
        }
        let event = match grant.kind {
            RenewalKind::Acquire => HolderEvent::Acquired,
            RenewalKind::Renew => HolderEvent::Renewed,
        };
        let effect = self.handle(event);
        if matches!(effect, HolderEffect::BecameLive | HolderEffect::Extended) {
            self.expires_at = Some(grant.expires_at);
        }
        effect
    }

    /// Handles a renewal that failed.
    pub fn on_renewal_failed(&mut self, now: Instant) -> HolderEffect {
        match self.expire(now) {
            HolderEffect::Nothing => self.handle(HolderEvent::RenewalFailed),
            effect => effect,
        }
    }

    /// Ends the lease if its time is over.
    pub fn expire(&mut self, now: Instant) -> HolderEffect {
        if has_ended(self.expires_at, now) {
            self.handle(HolderEvent::Expired)
        } else {
            HolderEffect::Nothing
        }
    }

    /// Handles the loss of the lease record to another incarnation.
    pub fn on_superseded(&mut self) -> HolderEffect {
        self.handle(HolderEvent::Superseded)
    }

    /// Gives up the lease; the record may be deleted only afterwards.
    pub fn release(&mut self) -> HolderEffect {
        self.handle(HolderEvent::Released)
    }

    /// Handles a revision that was read from the table.
    pub fn on_revision_read(&mut self, snapshot: Arc<ConfigurationSnapshot>) -> HolderEffect {
        self.offer(HolderEvent::RevisionRead, snapshot)
    }

    /// Handles a snapshot that a peer sent.
    pub fn on_snapshot_received(&mut self, snapshot: Arc<ConfigurationSnapshot>) -> HolderEffect {
        self.offer(HolderEvent::SnapshotReceived, snapshot)
    }

    /// Records that a revision has been sent to the agents.
    pub fn on_published(&mut self, revision: Revision) {
        if self.applied() >= Some(revision) && self.published < Some(revision) {
            self.published = Some(revision);
        }
    }

    fn offer(&mut self, event: HolderEvent, snapshot: Arc<ConfigurationSnapshot>) -> HolderEffect {
        let revision = snapshot.revision;
        let accepted = self.step(event) == Some(HolderAction::Apply);
        if accepted && self.applied() < Some(revision) {
            self.snapshot = Some(snapshot);
            return HolderEffect::Applied(revision);
        }
        HolderEffect::Ignored(revision)
    }

    fn handle(&mut self, event: HolderEvent) -> HolderEffect {
        match self.step(event) {
            None | Some(HolderAction::Apply) => HolderEffect::Nothing,
            Some(HolderAction::EnterCutOff) => {
                self.expires_at = None;
                HolderEffect::BecameCutOff
            }
            Some(HolderAction::EnterLive) => HolderEffect::BecameLive,
            Some(HolderAction::Extend) => HolderEffect::Extended,
        }
    }

    fn step(&mut self, event: HolderEvent) -> Option<HolderAction> {
        let transition = self.chart.step(self.state, event)?;
        self.state = transition.next;
        transition.action
    }
}

//! State machine of an entry's configuration lease and its copy of the configuration; chart
//! `configuration_holder.ini`.

use {
    super::{ConfigurationSnapshot, ConfigurationView, Revision},
    crate::chart::{self, StateChart},
    std::sync::Arc,
    tokio::time::Instant,
};

const CHART: &str = include_str!("../../charts/configuration_holder.ini");

crate::chart_labels! {
    /// State of a [`LeaseHolder`].
    pub enum HolderState {
        /// No lease has been held since the process started.
        Starting = "starting",
        /// The lease is held.
        Live = "live",
        /// The lease expired, was released or was lost to another incarnation.
        Lapsed = "lapsed",
    }
}

crate::chart_labels! {
    /// Event of a [`LeaseHolder`].
    pub enum HolderEvent {
        /// A lease was acquired at the head revision.
        Acquired = "acquired",
        /// A held lease was renewed.
        Renewed = "renewed",
        /// A renewal failed, or its response arrived after the end of the lease that it granted.
        RenewalFailed = "renewal_failed",
        /// The lease has expired.
        Expired = "expired",
        /// Another incarnation of the instance has acquired the lease, or its record was deleted.
        Superseded = "superseded",
        /// A graceful stop has released the lease.
        Released = "released",
        /// A revision was read from the table.
        RevisionRead = "revision_read",
        /// A peer sent a snapshot.
        SnapshotReceived = "snapshot_received",
    }
}

crate::chart_labels! {
    /// Action of a [`LeaseHolder`].
    pub enum HolderAction {
        /// Apply the revision if it is newer than the one in force.
        Apply = "apply",
        /// Leave cut-off mode.
        EnterLive = "enter_live",
        /// Extend the lease to the end that the renewal granted.
        Extend = "extend",
        /// Enter cut-off mode.
        EnterCutOff = "enter_cut_off",
    }
}

/// Kind of a lease renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalKind {
    /// The lease is not held and has to be acquired. The transaction is conditional on the head
    /// revision, so that no lease starts at a revision older than an accepted change.
    Acquire,
    /// The lease is held and is extended.
    Renew,
}

/// Renewal that the table has committed.
#[derive(Clone, Copy, Debug)]
pub struct LeaseGrant {
    /// Kind of the renewal.
    pub kind: RenewalKind,
    /// End of the lease. Its duration is counted from a time before the renewal was sent, so that
    /// the holder never considers the lease live for longer than the table does.
    pub expires_at: Instant,
}

/// Effect of an event on the lease and on the configuration in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderEffect {
    /// A newer revision is in force and has to be published.
    Applied(Revision),
    /// The lease lapsed, so the view has changed.
    BecameCutOff,
    /// The lease was acquired, so the view has changed.
    BecameLive,
    /// The lease was extended.
    Extended,
    /// A revision was not applied, because it is not newer or comes from a peer while the lease is
    /// live.
    Ignored(Revision),
    /// Nothing has changed.
    Nothing,
}

/// Returns whether a lease has ended; `None` stands for no lease, which cannot end.
pub(super) fn has_ended(expires_at: Option<Instant>, now: Instant) -> bool {
    expires_at.is_some_and(|end| now >= end)
}

/// State machine of an entry's configuration lease, with the configuration in force.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    chart: StateChart<HolderState, HolderEvent, HolderAction>,
    state: HolderState,
    snapshot: Option<Arc<ConfigurationSnapshot>>,
    published: Option<Revision>,
    expires_at: Option<Instant>,
}

impl LeaseHolder {
    /// Creates a holder that has neither a lease nor a configuration.
    ///
    /// # Errors
    ///
    /// Fails if the chart is malformed; a test checks that it is not.
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

    /// Returns the current state.
    pub fn state(&self) -> HolderState {
        self.state
    }

    /// Returns the revision in force, or `None` if none has been received yet.
    pub fn applied(&self) -> Option<Revision> {
        self.snapshot.as_ref().map(|snapshot| snapshot.revision)
    }

    /// Returns the newest revision that has been sent to the agents, which the lease record may
    /// state as applied.
    pub fn published(&self) -> Option<Revision> {
        self.published
    }

    /// Returns the end of the lease, or `None` if it is not held.
    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }

    /// Returns the kind of the next renewal.
    pub fn renewal_kind(&self) -> RenewalKind {
        match self.state {
            HolderState::Live => RenewalKind::Renew,
            HolderState::Lapsed | HolderState::Starting => RenewalKind::Acquire,
        }
    }

    /// Returns the snapshot in force, or an empty one if none has been received yet.
    pub fn snapshot(&self) -> Arc<ConfigurationSnapshot> {
        self.snapshot.clone().unwrap_or_default()
    }

    /// Returns the view in force at the time `now`. The end of the lease is checked here because a
    /// process that was paused may need the view before its expiry timer has run.
    pub fn view(&self, now: Instant) -> ConfigurationView {
        ConfigurationView {
            snapshot: self.snapshot(),
            lease_live: self.state == HolderState::Live && !has_ended(self.expires_at, now),
            lease_expires_at: self.expires_at,
        }
    }

    /// Handles a committed renewal. A response that arrives after the end of the lease that it
    /// grants counts as a failed renewal.
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

    /// Handles a failed renewal.
    pub fn on_renewal_failed(&mut self, now: Instant) -> HolderEffect {
        match self.expire(now) {
            HolderEffect::Nothing => self.handle(HolderEvent::RenewalFailed),
            effect => effect,
        }
    }

    /// Ends the lease if it has expired.
    pub fn expire(&mut self, now: Instant) -> HolderEffect {
        if has_ended(self.expires_at, now) {
            self.handle(HolderEvent::Expired)
        } else {
            HolderEffect::Nothing
        }
    }

    /// Handles the takeover of the lease record by another incarnation, or its deletion.
    pub fn on_superseded(&mut self) -> HolderEffect {
        self.handle(HolderEvent::Superseded)
    }

    /// Releases the lease. The record may be deleted only afterwards.
    pub fn release(&mut self) -> HolderEffect {
        self.handle(HolderEvent::Released)
    }

    /// Handles a snapshot that was read from the table.
    pub fn on_revision_read(&mut self, snapshot: Arc<ConfigurationSnapshot>) -> HolderEffect {
        self.apply_if_newer(HolderEvent::RevisionRead, snapshot)
    }

    /// Handles a snapshot that a peer entry sent.
    pub fn on_snapshot_received(&mut self, snapshot: Arc<ConfigurationSnapshot>) -> HolderEffect {
        self.apply_if_newer(HolderEvent::SnapshotReceived, snapshot)
    }

    /// Records that a revision has been sent to the agents.
    pub fn on_published(&mut self, revision: Revision) {
        if self.applied() >= Some(revision) && self.published < Some(revision) {
            self.published = Some(revision);
        }
    }

    fn apply_if_newer(
        &mut self,
        event: HolderEvent,
        snapshot: Arc<ConfigurationSnapshot>,
    ) -> HolderEffect {
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

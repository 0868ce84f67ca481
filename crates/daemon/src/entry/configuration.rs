//! Actor that owns the configuration of an entry: lease, revisions, and operators' changes.
//!
//! No handler waits for the platform. Calls run in tasks that report back with messages, so that
//! a hanging call cannot delay the end of the lease.

pub mod executor;
pub mod lease_records;
pub mod messages;
mod renewal;
pub mod store;

pub use {
    executor::ChangeError,
    messages::{ReadHistory, ReadView, RenewLease},
};

use {
    super::fleet::{FleetView, ViewSender},
    crate::{
        constants::{
            LEASE_RELEASE_TIMEOUT, LEASE_RENEWAL_INTERVAL, REVISION_LOAD_TIMEOUT,
            REVISION_PUBLISH_TIMEOUT,
        },
        describe,
        platform::TableService,
    },
    kameo::{
        actor::{Actor, ActorRef, Spawn, WeakActorRef},
        error::ActorStopReason,
        message::Message,
    },
    lease_records::StoredLease,
    messages::{ExpireLease, LoadEnded, PeerSnapshot, PublishEnded, RenewalEnded},
    renewal::{RenewalCall, RenewalOutcome},
    sassafrasslip_core::{
        chart::ChartError,
        configuration::{ConfigurationSnapshot, HolderEffect, LeaseHolder, LeaseRenewal, Revision},
        events::LogEvent::{
            LeaseLapsed, LeaseRenewed, PlatformRecovered, PlatformUnavailable, RevisionApplied,
            RevisionIgnored,
        },
        ids::InstanceName,
        log_event,
    },
    std::{fmt, future::Future, result, sync::Arc},
    store::{ConfigurationStore, HeadRead},
    tokio::{
        sync::{mpsc, watch},
        task::{AbortHandle, JoinSet},
        time::{Instant, MissedTickBehavior, interval, sleep_until, timeout},
    },
};

/// What the actor is built from.
pub struct ConfigurationParts {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Number that the process drew at random when it started.
    pub incarnation: u64,
    /// Table of the platform.
    pub table: Arc<dyn TableService>,
    /// Sends revisions to agents and peers.
    pub fleet: Arc<dyn FleetView>,
    /// Sender of the view in force.
    pub view_sender: ViewSender,
    /// Snapshots that peers sent.
    pub peer_snapshots: mpsc::Receiver<ConfigurationSnapshot>,
}

impl fmt::Debug for ConfigurationParts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ConfigurationParts")
            .field("instance", &self.instance)
            .field("incarnation", &self.incarnation)
            .finish_non_exhaustive()
    }
}

/// Owner of an entry's configuration.
pub struct ConfigurationActor {
    actor: WeakActorRef<Self>,
    instance: InstanceName,
    incarnation: u64,
    store: ConfigurationStore,
    fleet: Arc<dyn FleetView>,
    view_sender: ViewSender,
    holder: LeaseHolder,
    /// Version of the lease record, as long as it is known to be this incarnation's.
    lease_version: Option<u64>,
    /// Revision that has been sent to the agents; changes wait for it.
    published: watch::Sender<Option<Revision>>,
    ignored_revision: Option<Revision>,
    load_fault: Option<String>,
    reachable: bool,
    renewal_running: bool,
    renewal_wanted: bool,
    load_running: bool,
    publish_running: bool,
    expiry_timer: Option<AbortHandle>,
    tasks: JoinSet<()>,
}

impl fmt::Debug for ConfigurationActor {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ConfigurationActor")
            .field("instance", &self.instance)
            .field("holder", &self.holder)
            .finish_non_exhaustive()
    }
}

impl ConfigurationActor {
    /// Starts the actor. A graceful stop of the actor gives up the lease, so it belongs at the end
    /// of the entry's own graceful stop.
    pub fn start(parts: ConfigurationParts) -> ActorRef<Self> {
        Self::spawn(parts)
    }

    fn spawn_call<F, M>(&mut self, call: F) -> AbortHandle
    where
        F: Future<Output = M> + Send + 'static,
        M: Send + 'static,
        Self: Message<M>,
    {
        let actor = self.actor.clone();
        self.tasks.spawn(async move {
            let message = call.await;
            if let Some(actor) = actor.upgrade() {
                // A stopped actor needs no result.
                let _ = actor.tell(message).await;
            }
        })
    }

    fn start_renewal(&mut self) {
        if self.renewal_running {
            self.renewal_wanted = true;
            return;
        }
        self.renewal_running = true;
        self.renewal_wanted = false;
        let renewal = LeaseRenewal {
            incarnation: self.incarnation,
            kind: self.holder.renewal_kind(),
            published: self.holder.published(),
        };
        let call = RenewalCall {
            store: self.store.clone(),
            instance: self.instance.clone(),
            renewal,
            lease_version: self.lease_version,
        };
        self.spawn_call(async move { RenewalEnded(call.run().await) });
    }

    fn start_load(&mut self) {
        if self.load_running {
            return;
        }
        self.load_running = true;
        let store = self.store.clone();
        self.spawn_call(async move {
            let state = timeout(REVISION_LOAD_TIMEOUT, store.read_state()).await;
            LoadEnded(match state {
                Ok(Ok(state)) => Ok(Arc::new(state.snapshot)),
                Ok(Err(report)) => Err(describe(&report)),
                Err(_) => Err("reading the configuration timed out".to_owned()),
            })
        });
    }

    fn start_publish(&mut self) {
        let applied = self.holder.applied();
        if self.publish_running || applied <= self.holder.published() {
            return;
        }
        self.publish_running = true;
        let (fleet, view) = (
            self.fleet.clone(),
            Arc::new(self.holder.view(Instant::now())),
        );
        self.spawn_call(async move {
            let published = timeout(REVISION_PUBLISH_TIMEOUT, fleet.publish(view)).await;
            PublishEnded(published.ok().and(applied))
        });
    }

    fn carry_out(&mut self, effect: HolderEffect) {
        match effect {
            HolderEffect::Applied(revision) => {
                log_event!(RevisionApplied, revision = revision);
                self.send_view();
                self.start_publish();
            }
            HolderEffect::BecameCutOff => {
                log_event!(LeaseLapsed, revision = self.holder.snapshot().revision);
                self.send_view();
            }
            HolderEffect::BecameLive => {
                log_event!(LeaseRenewed, revision = self.holder.snapshot().revision);
                self.send_view();
                self.restart_expiry_timer();
            }
            HolderEffect::Extended => {
                self.extend_view();
                self.restart_expiry_timer();
            }
            HolderEffect::Ignored(_) | HolderEffect::Nothing => {}
        }
    }

    fn send_view(&self) {
        self.view_sender
            .send_replace(Arc::new(self.holder.view(Instant::now())));
    }

    /// Replaces the view without waking its receivers: only the end of the lease has changed.
    fn extend_view(&self) {
        let view = Arc::new(self.holder.view(Instant::now()));
        self.view_sender.send_if_modified(|current| {
            *current = view;
            false
        });
    }

    fn restart_expiry_timer(&mut self) {
        if let Some(timer) = self.expiry_timer.take() {
            timer.abort();
        }
        if let Some(expires_at) = self.holder.expires_at() {
            let timer = self.spawn_call(async move {
                sleep_until(expires_at).await;
                ExpireLease
            });
            self.expiry_timer = Some(timer);
        }
    }

    fn compare_head(&mut self, head: &HeadRead) {
        if self.holder.applied() < Some(head.revision) {
            self.start_load();
        } else {
            self.note_revision(head.revision);
        }
    }

    /// Logs a revision that is older than the one in force, once in a row.
    fn note_revision(&mut self, revision: Revision) {
        let applied = self.holder.applied().unwrap_or_default();
        let ignored = Some(revision).filter(|revision| *revision < applied);
        if ignored.is_some() && ignored != self.ignored_revision {
            log_event!(RevisionIgnored, revision = revision, applied = applied);
        }
        self.ignored_revision = ignored;
    }

    /// Logs the fault of a load, once in a row.
    fn note_load(&mut self, fault: Option<String>) {
        if let Some(fault) = fault.as_ref().filter(|_| fault != self.load_fault) {
            log_event!(PlatformUnavailable, service = "table", fault = fault);
        }
        self.load_fault = fault;
    }

    fn note_platform(&mut self, fault: Option<&str>) {
        match (fault, self.reachable) {
            (Some(fault), true) => {
                log_event!(PlatformUnavailable, service = "table", fault = fault);
            }
            (None, false) => log_event!(PlatformRecovered, service = "table"),
            _ => {}
        }
        self.reachable = fault.is_none();
    }

    fn end_renewal(&mut self, outcome: RenewalOutcome, now: Instant) -> HolderEffect {
        match outcome {
            RenewalOutcome::Behind => self.holder.expire(now),
            RenewalOutcome::Granted { grant, version } => {
                self.lease_version = Some(version);
                self.holder.on_granted(grant, now)
            }
            RenewalOutcome::Moved => {
                self.lease_version = None;
                self.holder.on_renewal_failed(now)
            }
            RenewalOutcome::Superseded => {
                self.lease_version = None;
                self.holder.on_superseded()
            }
        }
    }

    async fn release_lease(&mut self) {
        let effect = self.holder.release();
        self.carry_out(effect);
        self.tasks.abort_all();
        let Some(version) = self.lease_version else {
            return;
        };
        let lease = StoredLease {
            version,
            record: None,
        };
        let release = self.store.write_lease(&self.instance, &lease, None);
        // Without an answer the record ends by itself after the lease duration.
        let _ = timeout(LEASE_RELEASE_TIMEOUT, release).await;
    }
}

impl Actor for ConfigurationActor {
    type Args = ConfigurationParts;
    type Error = ChartError;

    async fn on_start(
        parts: ConfigurationParts,
        actor: ActorRef<Self>,
    ) -> result::Result<Self, ChartError> {
        let mut tasks = JoinSet::new();
        tasks.spawn(request_renewals(actor.clone()));
        tasks.spawn(forward_snapshots(actor.clone(), parts.peer_snapshots));
        let actor = Self {
            actor: actor.downgrade(),
            instance: parts.instance,
            incarnation: parts.incarnation,
            store: ConfigurationStore::new(parts.table),
            fleet: parts.fleet,
            view_sender: parts.view_sender,
            holder: LeaseHolder::new()?,
            lease_version: None,
            published: watch::Sender::new(None),
            ignored_revision: None,
            load_fault: None,
            reachable: true,
            renewal_running: false,
            renewal_wanted: false,
            load_running: false,
            publish_running: false,
            expiry_timer: None,
            tasks,
        };
        actor.send_view();
        Ok(actor)
    }

    async fn on_stop(
        &mut self,
        _: WeakActorRef<Self>,
        _: ActorStopReason,
    ) -> result::Result<(), ChartError> {
        self.release_lease().await;
        Ok(())
    }
}

async fn request_renewals(actor: ActorRef<ConfigurationActor>) {
    let mut ticks = interval(LEASE_RENEWAL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if actor.tell(RenewLease).await.is_err() {
            return;
        }
    }
}

async fn forward_snapshots(
    actor: ActorRef<ConfigurationActor>,
    mut snapshots: mpsc::Receiver<ConfigurationSnapshot>,
) {
    while let Some(snapshot) = snapshots.recv().await {
        if actor.tell(PeerSnapshot(snapshot)).await.is_err() {
            return;
        }
    }
}

//! Actor that owns the configuration of an entry: its lease, the revision in force, and the
//! execution of operators' changes.
//!
//! No message handler waits for the platform. Calls to it run in tasks that send their results to
//! the actor as messages, so that a hanging call cannot delay the expiry of the lease.

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

/// Arguments of [`ConfigurationActor::start`].
pub struct ConfigurationParts {
    /// Name of this entry's instance, which is also the key of its lease record.
    pub instance: InstanceName,
    /// Number that the process drew at random when it started. It tells this process apart from
    /// an earlier or later one of the same instance.
    pub incarnation: u64,
    /// Table of the platform that holds the configuration and the lease records.
    pub table: Arc<dyn TableService>,
    /// Connected agents and peers, to which new revisions are sent.
    pub fleet: Arc<dyn FleetView>,
    /// Publishes the view in force inside the process.
    pub view_sender: ViewSender,
    /// Configuration snapshots received from peers.
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

/// Actor that holds an entry's configuration lease and the configuration in force.
pub struct ConfigurationActor {
    actor: WeakActorRef<Self>,
    instance: InstanceName,
    incarnation: u64,
    store: ConfigurationStore,
    fleet: Arc<dyn FleetView>,
    view_sender: ViewSender,
    holder: LeaseHolder,
    /// Version of the lease record; `None` unless the record is known to be the one that this
    /// incarnation wrote last.
    lease_version: Option<u64>,
    /// Newest revision that has been sent to the agents. A change waits until this
    /// reaches its revision.
    published: watch::Sender<Option<Revision>>,
    ignored_revision: Option<Revision>,
    load_fault: Option<String>,
    table_reachable: bool,
    renewal_running: bool,
    renewal_requested: bool,
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
    /// Starts the actor.
    ///
    /// A graceful stop of the actor releases the lease, so the actor must be stopped last in the
    /// graceful stop of the entry.
    pub fn start(parts: ConfigurationParts) -> ActorRef<Self> {
        Self::spawn(parts)
    }

    /// Runs a call in a task and sends its result to the actor as a message.
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
                // A stopped actor does not need the result.
                let _ = actor.tell(message).await;
            }
        })
    }

    /// Starts a renewal of the lease. If one is running, another one follows it.
    fn start_renewal(&mut self) {
        if self.renewal_running {
            self.renewal_requested = true;
            return;
        }
        self.renewal_running = true;
        self.renewal_requested = false;
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

    /// Starts to read the configuration from the table unless a read is running.
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

    /// Starts to send the revision in force to agents and peers unless it has been sent or a
    /// revision is being sent.
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

    fn apply_effect(&mut self, effect: HolderEffect) {
        match effect {
            HolderEffect::Applied(revision) => {
                log_event!(RevisionApplied, revision = revision);
                self.publish_view();
                self.start_publish();
            }
            HolderEffect::BecameCutOff => {
                log_event!(LeaseLapsed, revision = self.holder.snapshot().revision);
                self.publish_view();
            }
            HolderEffect::BecameLive => {
                log_event!(LeaseRenewed, revision = self.holder.snapshot().revision);
                self.publish_view();
                self.restart_expiry_timer();
            }
            HolderEffect::Extended => {
                self.extend_view();
                self.restart_expiry_timer();
            }
            HolderEffect::Ignored(_) | HolderEffect::Nothing => {}
        }
    }

    fn publish_view(&self) {
        self.view_sender
            .send_replace(Arc::new(self.holder.view(Instant::now())));
    }

    /// Replaces the view without waking its receivers, because only the end of the lease changed.
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

    /// Loads the configuration if the head revision is newer than the one in force.
    fn compare_head(&mut self, head: &HeadRead) {
        if self.holder.applied() < Some(head.revision) {
            self.start_load();
        } else {
            self.log_ignored_revision(head.revision);
        }
    }

    /// Logs a revision that is older than the one in force, but not the same one twice in a row.
    fn log_ignored_revision(&mut self, revision: Revision) {
        let applied = self.holder.applied().unwrap_or_default();
        let ignored = Some(revision).filter(|revision| *revision < applied);
        if ignored.is_some() && ignored != self.ignored_revision {
            log_event!(RevisionIgnored, revision = revision, applied = applied);
        }
        self.ignored_revision = ignored;
    }

    /// Logs the fault of a failed load, but not the same fault twice in a row.
    fn update_load_fault(&mut self, fault: Option<String>) {
        if let Some(fault) = fault.as_ref().filter(|_| fault != self.load_fault) {
            log_event!(PlatformUnavailable, service = "table", fault = fault);
        }
        self.load_fault = fault;
    }

    /// Logs when the table becomes unreachable or reachable again.
    fn update_reachability(&mut self, fault: Option<&str>) {
        match (fault, self.table_reachable) {
            (Some(fault), true) => {
                log_event!(PlatformUnavailable, service = "table", fault = fault);
            }
            (None, false) => log_event!(PlatformRecovered, service = "table"),
            _ => {}
        }
        self.table_reachable = fault.is_none();
    }

    fn apply_renewal(&mut self, outcome: RenewalOutcome, now: Instant) -> HolderEffect {
        match outcome {
            RenewalOutcome::Behind => self.holder.expire(now),
            RenewalOutcome::Granted { grant, version } => {
                self.lease_version = Some(version);
                self.holder.on_granted(grant, now)
            }
            RenewalOutcome::Conflict => {
                self.lease_version = None;
                self.holder.on_renewal_failed(now)
            }
            RenewalOutcome::Superseded => {
                self.lease_version = None;
                self.holder.on_superseded()
            }
        }
    }

    /// Ends the lease, aborts all calls and, if its version is known, deletes the lease record, so
    /// that changes do not wait for this entry.
    async fn release_lease(&mut self) {
        let effect = self.holder.release();
        self.apply_effect(effect);
        self.tasks.abort_all();
        let Some(version) = self.lease_version else {
            return;
        };
        let lease = StoredLease {
            version,
            record: None,
        };
        let release = self.store.write_lease(&self.instance, &lease, None);
        // If the table does not answer, the lease in its record expires after `LEASE_DURATION`.
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
            table_reachable: true,
            renewal_running: false,
            renewal_requested: false,
            load_running: false,
            publish_running: false,
            expiry_timer: None,
            tasks,
        };
        actor.publish_view();
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

/// Triggers a renewal of the lease every [`LEASE_RENEWAL_INTERVAL`] until the actor stops.
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

//! Messages that the configuration actor handles.

use {
    super::{
        ConfigurationActor, executor::ChangeExecutor, renewal::RenewalResult, store::StoreError,
    },
    crate::describe,
    error_stack::Report,
    kameo::{
        message::{Context, Message},
        reply::DelegatedReply,
    },
    sassafrasslip_core::configuration::{
        ChangeRequest, ConfigurationSnapshot, ConfigurationView, HistoryRecord, HolderEffect,
        Revision, report::ChangeReport,
    },
    std::{convert::Infallible, result, sync::Arc},
    tokio::time::Instant,
};

/// Requests the configuration view in force.
#[derive(Clone, Copy, Debug)]
pub struct ReadView;

/// Requests the newest committed changes, newest first.
#[derive(Clone, Copy, Debug)]
pub struct ReadHistory {
    /// Maximum number of changes that are returned.
    pub limit: u64,
}

/// Reads the head revision and renews the lease now. A timer of the actor sends it every second.
#[derive(Clone, Copy, Debug)]
pub struct RenewLease;

pub(super) struct ExpireLease;
pub(super) struct LoadEnded(pub(super) result::Result<Arc<ConfigurationSnapshot>, String>);
pub(super) struct PeerSnapshot(pub(super) ConfigurationSnapshot);
pub(super) struct PublishEnded(pub(super) Option<Revision>);
pub(super) struct RenewalEnded(pub(super) RenewalResult);

impl Message<ChangeRequest> for ConfigurationActor {
    type Reply = DelegatedReply<super::executor::Result<ChangeReport>>;

    async fn handle(
        &mut self,
        mut request: ChangeRequest,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        if self.holder.applied().is_some() {
            request.pin_revision(&self.holder.snapshot());
        }
        let executor = ChangeExecutor::new(self.store.clone(), self.published.subscribe());
        let actor = context.actor_ref().clone();
        context.spawn(async move {
            let change = executor.commit(request).await?;
            // Applies the change in this entry without waiting for the timer. If the actor has
            // stopped, it holds no lease that the acceptance would wait for.
            let _ = actor.tell(RenewLease).await;
            executor.confirm(change).await
        })
    }
}

impl Message<ReadHistory> for ConfigurationActor {
    type Reply = DelegatedReply<result::Result<Vec<HistoryRecord>, Report<StoreError>>>;

    async fn handle(
        &mut self,
        ReadHistory { limit }: ReadHistory,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let store = self.store.clone();
        context.spawn(async move { store.read_history(limit).await })
    }
}

impl Message<ReadView> for ConfigurationActor {
    type Reply = result::Result<ConfigurationView, Infallible>;

    async fn handle(&mut self, _: ReadView, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Ok(self.holder.view(Instant::now()))
    }
}

impl Message<RenewLease> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, _: RenewLease, _: &mut Context<Self, ()>) {
        while self.tasks.try_join_next().is_some() {}
        self.start_publish();
        self.start_renewal();
    }
}

impl Message<ExpireLease> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, _: ExpireLease, _: &mut Context<Self, ()>) {
        let effect = self.holder.expire(Instant::now());
        self.apply_effect(effect);
    }
}

impl Message<RenewalEnded> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, RenewalEnded(end): RenewalEnded, _: &mut Context<Self, ()>) {
        self.renewal_running = false;
        let now = Instant::now();
        let effect = match end.outcome {
            Ok(outcome) => {
                self.update_reachability(None);
                self.apply_renewal(outcome, now)
            }
            Err(report) => {
                self.update_reachability(Some(&describe(&report)));
                // The write may have taken effect, so the next renewal reads the version again.
                self.lease_version = None;
                self.holder.on_renewal_failed(now)
            }
        };
        self.apply_effect(effect);
        if let Some(head) = end.head {
            self.compare_head(&head);
        }
        if self.renewal_requested {
            self.start_renewal();
        }
    }
}

impl Message<LoadEnded> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, LoadEnded(loaded): LoadEnded, _: &mut Context<Self, ()>) {
        self.load_running = false;
        match loaded {
            Ok(snapshot) => {
                self.update_load_fault(None);
                let effect = self.holder.on_revision_read(snapshot);
                self.apply_effect(effect);
            }
            Err(fault) => self.update_load_fault(Some(fault)),
        }
    }
}

impl Message<PeerSnapshot> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, PeerSnapshot(snapshot): PeerSnapshot, _: &mut Context<Self, ()>) {
        let effect = self.holder.on_snapshot_received(Arc::new(snapshot));
        if let HolderEffect::Ignored(revision) = effect {
            self.log_ignored_revision(revision);
        }
        self.apply_effect(effect);
    }
}

impl Message<PublishEnded> for ConfigurationActor {
    type Reply = ();

    async fn handle(&mut self, PublishEnded(revision): PublishEnded, _: &mut Context<Self, ()>) {
        self.publish_running = false;
        if let Some(revision) = revision {
            self.holder.on_published(revision);
            self.published.send_replace(self.holder.published());
            self.start_renewal();
        }
        self.start_publish();
    }
}

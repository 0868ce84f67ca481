//! Configuration actors of entries that share an in-memory table with fault injection.

#![allow(dead_code, reason = "each test file uses a part of this module")]

pub(crate) mod table;

use {
    kameo::actor::ActorRef,
    sassafrasslip_core::{
        configuration::{ChangeAction, ChangeRequest, ConfigurationSnapshot, ConfigurationView},
        explanation::{FleetStatus, RequestExplanation, TargetStatus},
        ids::{InstanceName, RequestId},
    },
    sassafrasslip_daemon::entry::{
        configuration::{ConfigurationActor, ConfigurationParts},
        fleet::{FleetFuture, FleetView, ViewReceiver},
    },
    std::{
        future::pending,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    table::{MemoryTable, TableClient},
    tokio::{
        sync::{mpsc, watch},
        time::timeout,
    },
};

/// Fleet with one target; records the published revision and the drain orders.
#[derive(Debug, Default)]
pub(crate) struct RecordingFleet {
    /// Highest revision that was published.
    pub(crate) published: AtomicU64,
    /// Whether publications never complete.
    pub(crate) hangs: AtomicBool,
    pub(crate) drained: Mutex<Vec<(InstanceName, bool)>>,
}

impl FleetView for RecordingFleet {
    fn explain(&self, _: RequestId) -> Option<RequestExplanation> {
        None
    }

    fn status(&self) -> FleetStatus {
        FleetStatus {
            entry: "entry-1".parse().unwrap(),
            availability_zone: "ruwi".parse().unwrap(),
            revision: self.published.load(Ordering::SeqCst),
            cut_off: false,
            targets: vec![TargetStatus {
                target: "target-1".parse().unwrap(),
                availability_zone: "ruwi".parse().unwrap(),
                service: "drafting".parse().unwrap(),
                group: None,
                state: "connected".to_owned(),
                in_flight: 3,
                concurrency: 32,
                revision: 0,
                map_version: 1,
                mean_step_us: 20_000,
            }],
            peers: Vec::new(),
        }
    }

    fn drain<'a>(&'a self, target: &'a InstanceName, draining: bool) -> FleetFuture<'a, bool> {
        self.drained
            .lock()
            .unwrap()
            .push((target.clone(), draining));
        Box::pin(async { true })
    }

    fn publish(&self, view: Arc<ConfigurationView>) -> FleetFuture<'_, ()> {
        Box::pin(async move {
            if self.hangs.load(Ordering::SeqCst) {
                pending::<()>().await;
            }
            self.published.fetch_max(view.revision(), Ordering::SeqCst);
        })
    }
}

/// Configuration actor of one entry, with the handles by which a test injects faults and peer
/// snapshots.
pub(crate) struct TestEntry {
    pub(crate) actor: ActorRef<ConfigurationActor>,
    pub(crate) fleet: Arc<RecordingFleet>,
    pub(crate) table_client: Arc<TableClient>,
    pub(crate) peer_snapshots: mpsc::Sender<ConfigurationSnapshot>,
    pub(crate) view: ViewReceiver,
}

impl TestEntry {
    pub(crate) fn start(table: &MemoryTable, instance: &str, incarnation: u64) -> Self {
        Self::start_on(Arc::new(TableClient::new(table)), instance, incarnation)
    }

    pub(crate) fn start_on(
        table_client: Arc<TableClient>,
        instance: &str,
        incarnation: u64,
    ) -> Self {
        let fleet = Arc::new(RecordingFleet::default());
        let (view_sender, view) = watch::channel(Arc::default());
        let (peer_snapshots, snapshots) = mpsc::channel(8);
        let actor = ConfigurationActor::start(ConfigurationParts {
            instance: instance.parse().unwrap(),
            incarnation,
            table: table_client.clone(),
            fleet: fleet.clone(),
            view_sender,
            peer_snapshots: snapshots,
        });
        Self {
            actor,
            fleet,
            table_client,
            peer_snapshots,
            view,
        }
    }

    /// Waits until the view satisfies the condition.
    pub(crate) async fn wait_for(
        &mut self,
        condition: impl FnMut(&Arc<ConfigurationView>) -> bool,
    ) {
        let wait = self.view.wait_for(condition);
        let result = timeout(Duration::from_secs(20), wait).await;
        result.expect("timed out waiting for the view").unwrap();
    }

    pub(crate) fn is_live(&self) -> bool {
        self.view.borrow().lease_live
    }

    pub(crate) fn revision(&self) -> u64 {
        self.view.borrow().revision()
    }
}

/// Starts entries `entry-1`, `entry-2`, ... and waits until each holds its lease.
pub(crate) async fn start_entries(table: &MemoryTable, count: u64) -> Vec<TestEntry> {
    let mut entries = Vec::new();
    for number in 1..=count {
        let mut entry = TestEntry::start(table, &format!("entry-{number}"), number);
        entry.wait_for(|view| view.lease_live).await;
        entries.push(entry);
    }
    entries
}

/// Returns a request that changes the default of `retry.attempts`.
pub(crate) fn set_attempts(change_id: &str, value: &str) -> ChangeRequest {
    set_default("retry.attempts", change_id, value)
}

/// Returns a request that changes a default.
pub(crate) fn set_default(key: &str, change_id: &str, value: &str) -> ChangeRequest {
    ChangeRequest {
        change_id: change_id.parse().unwrap(),
        operator: "aziza".parse().unwrap(),
        reason: "test".to_owned(),
        expected_revision: None,
        action: ChangeAction::SetDefault {
            key: key.parse().unwrap(),
            value: value.to_owned(),
        },
    }
}

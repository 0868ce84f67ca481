//! Entry: accepts callers, admits and routes their requests.

pub mod callers;
pub mod configuration_exchange;
pub mod context;
pub mod dispatcher;
pub mod fleet;
pub mod listeners;
pub mod metrics;
pub mod peers;
pub mod targets;
pub mod tombstones;

use {
    self::{
        context::{ContextParts, EntryContext, EntryIdentity},
        listeners::EntryListeners,
        metrics::EntryMetrics,
    },
    crate::{
        DaemonError, Result,
        lifecycle::Daemon,
        options::DaemonOptions,
        platform::{HttpPlatform, InstanceList},
        telemetry::{self, HealthState, MetricsRegistry},
    },
    error_stack::{Report, ResultExt},
    sassafrasslip_core::configuration::ConfigurationView,
    std::{sync::Arc, time::Duration},
    tokio::sync::{mpsc, watch},
};

/// Snapshots from peers that wait for the configuration actor.
const SNAPSHOT_QUEUE_LENGTH: usize = 8;

/// Runs an entry until it is stopped.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn serve(options: DaemonOptions) -> Result<()> {
    let entry = options.entry.clone();
    let entry = entry.ok_or_else(|| Report::new(DaemonError::ReadSettings))?;
    let health = HealthState::default();
    let registry = MetricsRegistry::default();
    let daemon = Daemon::new(options.stop.clone(), health.clone());
    let listeners = EntryListeners::bind(&entry).await;
    let listeners = listeners.change_context(DaemonError::Listen)?;
    let address = options.metrics.address;
    let started = telemetry::metrics::serve(address, registry.clone(), health).await;
    started.change_context(DaemonError::Listen)?;
    let platform = Arc::new(HttpPlatform::new(options.platform.clone()));
    let (view, snapshots) = start_configuration();
    let context = EntryContext::new(ContextParts {
        identity: EntryIdentity {
            instance: options.instance.name.clone(),
            availability_zone: options.instance.availability_zone.clone(),
            region: options.instance.region.clone(),
            incarnation: rand::random(),
        },
        view,
        table: Arc::clone(&platform) as _,
        metrics: EntryMetrics::register(&registry),
        snapshots,
        draining: daemon.draining(),
        work: daemon.work(),
    });
    start(&context, listeners, platform, options.stop.notice);
    let daemon = daemon.serve().wait_for_stop().await;
    daemon.change_context(DaemonError::Serve)?.finish().await;
    Ok(())
}

/// Starts the tasks of an entry.
pub fn start(
    context: &Arc<EntryContext>,
    listeners: EntryListeners,
    list: Arc<dyn InstanceList>,
    notice: Duration,
) {
    let EntryListeners {
        callers,
        operators: _,
        links,
    } = listeners;
    tokio::spawn(peers::accept_peers(Arc::clone(context), links));
    tokio::spawn(peers::correct_limits(Arc::clone(context)));
    tokio::spawn(targets::follow_instances(Arc::clone(context), list));
    let serving = callers::serve(Arc::clone(context), callers, notice);
    context.work.spawn(serving);
}

/// Provides the initial configuration: the catalogue's defaults under a live lease.
fn start_configuration() -> (
    fleet::ViewReceiver,
    mpsc::Sender<sassafrasslip_core::configuration::ConfigurationSnapshot>,
) {
    let view = ConfigurationView {
        lease_live: true,
        ..ConfigurationView::default()
    };
    let (sender, receiver) = watch::channel(Arc::new(view));
    let (snapshots, mut received) = mpsc::channel(SNAPSHOT_QUEUE_LENGTH);
    // Applies the snapshots of peers; there is no other source of revisions here.
    tokio::spawn(async move {
        while let Some(snapshot) = received.recv().await {
            let view = ConfigurationView {
                snapshot: Arc::new(snapshot),
                lease_live: true,
            };
            sender.send_if_modified(|current| {
                let is_newer = view.revision() > current.revision();
                if is_newer {
                    *current = Arc::new(view);
                }
                is_newer
            });
        }
    });
    (receiver, snapshots)
}

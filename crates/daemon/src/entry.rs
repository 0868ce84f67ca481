//! Entry process: accepts requests from callers, admits them and routes them to targets.

pub mod callers;
pub mod configuration;
pub mod configuration_exchange;
pub mod context;
pub mod dispatcher;
pub mod fleet;
pub mod listeners;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod targets;

use {
    self::{
        configuration::{ConfigurationActor, ConfigurationParts},
        context::{ContextParts, EntryContext, EntryIdentity},
        fleet::EntryFleet,
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
    kameo::actor::ActorRef,
    sassafrasslip_core::configuration::ConfigurationView,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc, watch},
    },
};

/// Number of configuration snapshots from peers that may wait for the configuration actor.
/// Snapshots beyond it are dropped, and a later revision notice has them requested again.
const SNAPSHOT_QUEUE_LENGTH: usize = 8;

/// Runs an entry until SIGTERM or SIGINT stops it and the graceful stop is over.
///
/// # Errors
///
/// Fails if the settings have no `entry` section, if an address cannot be bound, or if the signal
/// handlers cannot be installed.
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
    let metrics = EntryMetrics::register(&registry);
    let (view_sender, view) = watch::channel(Arc::new(ConfigurationView::default()));
    let (snapshots, peer_snapshots) = mpsc::channel(SNAPSHOT_QUEUE_LENGTH);
    let context = EntryContext::new(ContextParts {
        identity: EntryIdentity {
            instance: options.instance.name.clone(),
            availability_zone: options.instance.availability_zone.clone(),
            region: options.instance.region.clone(),
            incarnation: rand::random(),
        },
        view,
        table: Arc::clone(&platform) as _,
        objects: Arc::clone(&platform) as _,
        metrics: metrics.clone(),
        snapshots,
        draining: daemon.draining(),
        work: daemon.work(),
    });
    tokio::spawn(metrics.follow_view(context.view.clone()));
    let fleet = Arc::new(EntryFleet::new(Arc::clone(&context)));
    let configuration = ConfigurationActor::start(ConfigurationParts {
        instance: context.identity.instance.clone(),
        incarnation: context.identity.incarnation,
        table: Arc::clone(&platform) as _,
        fleet: Arc::clone(&fleet) as _,
        view_sender,
        peer_snapshots,
    });
    let EntryListeners {
        callers,
        operators,
        links,
    } = listeners;
    start(&context, callers, links, platform, options.stop.notice);
    let draining = context.draining.clone();
    let serve_operators = operators::serve(operators, configuration.clone(), fleet, draining);
    context.work.spawn(serve_operators);
    // Before the instance list is read, every request would be refused as one for an unknown
    // service, so the entry does not report readiness earlier.
    targets::wait_for_links(&context).await;
    let daemon = daemon.serve().wait_for_stop().await;
    daemon.change_context(DaemonError::Serve)?.finish().await;
    stop_configuration(&configuration).await;
    Ok(())
}

/// Starts the tasks that accept peers' links, correct the team limits, follow the instance list
/// and serve callers.
///
/// Only the task that serves callers is tracked, so a graceful stop waits for it but not for the
/// others. It accepts callers until `notice` has passed after the start of the graceful stop.
pub fn start(
    context: &Arc<EntryContext>,
    callers: TcpListener,
    links: TcpListener,
    list: Arc<dyn InstanceList>,
    notice: Duration,
) {
    tokio::spawn(peers::accept_peers(Arc::clone(context), links));
    tokio::spawn(peers::apply_peer_usage(Arc::clone(context)));
    tokio::spawn(targets::follow_instances(Arc::clone(context), list));
    let serve_callers = callers::serve(Arc::clone(context), callers, notice);
    context.work.spawn(serve_callers);
}

/// Stops the configuration actor, which releases its lease while it stops.
async fn stop_configuration(configuration: &ActorRef<ConfigurationActor>) {
    if configuration.stop_gracefully().await.is_ok() {
        configuration.wait_for_shutdown().await;
    }
}

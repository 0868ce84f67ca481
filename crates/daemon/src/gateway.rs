//! Gateway: accepts requests from callers and forwards each one directly to a target.
//!
//! A gateway runs on one thread. Its background tasks keep the configuration, the instance list and
//! the state of the other gateways up to date, so that a request is routed from memory.

pub mod admission;
pub mod callers;
pub mod channels;
pub mod engines;
pub mod exchange;
pub mod group_bounds;
pub mod group_probes;
pub mod head_guard;
pub mod head_timer;
pub mod metrics;
pub mod part_news;
pub mod part_watch;
pub mod peers;
pub mod placer;
pub mod readiness;
pub mod refresh;
pub mod relay;
pub mod reload;
pub mod reply;
pub mod request;
pub mod state;

use {
    self::{metrics::GatewayMetrics, state::GatewayState},
    crate::{
        DaemonError, Result,
        arguments::GatewayArguments,
        lifecycle::Daemon,
        listen::bind,
        options::DaemonOptions,
        telemetry::{self, HealthState, MetricsRegistry},
    },
    error_stack::{Report, ResultExt},
    sassafrasslip_platform::StoreClient,
    std::rc::Rc,
    tokio::{net::UdpSocket, task::LocalSet, time::Instant},
};

/// Runs a gateway until the process receives the stop signal and has drained its requests.
///
/// # Errors
///
/// Fails if the settings have no gateway section, if an address cannot be bound, or if the gateway
/// task ends abnormally.
pub async fn serve(options: DaemonOptions, arguments: GatewayArguments) -> Result<()> {
    let serving = serve_local(options, arguments);
    LocalSet::new().run_until(serving).await
}

async fn serve_local(options: DaemonOptions, arguments: GatewayArguments) -> Result<()> {
    let gateway = options.gateway.clone();
    let gateway = gateway.ok_or_else(|| Report::new(DaemonError::ReadSettings))?;
    let health = HealthState::default();
    let registry = MetricsRegistry::default();
    let daemon = Daemon::new(options.stop.clone(), health.clone());
    let callers = bind("gateway", "caller_address", gateway.caller_address);
    let callers = callers.await.change_context(DaemonError::Listen)?;
    let readiness = bind("gateway", "readiness_address", gateway.readiness_address);
    let readiness = readiness.await.change_context(DaemonError::Listen)?;
    let snapshots = bind("gateway", "peer_address", gateway.peer_address);
    let snapshots = snapshots.await.change_context(DaemonError::Listen)?;
    let loads = UdpSocket::bind(gateway.load_address).await;
    let loads = loads.change_context(DaemonError::Listen)?;
    let address = options.metrics.address;
    let started = telemetry::metrics::serve(address, registry.clone(), health.clone()).await;
    started.change_context(DaemonError::Listen)?;
    let store = StoreClient::new(options.platform.address, options.platform.timeout);
    let metrics = GatewayMetrics::register(&registry);
    let state = Rc::new(GatewayState::new(&options.instance, gateway, metrics));
    tokio::task::spawn_local(refresh::follow_configuration(
        Rc::clone(&state),
        store.clone(),
    ));
    tokio::task::spawn_local(refresh::follow_targets(Rc::clone(&state), store));
    tokio::task::spawn_local(peers::exchange_loads(Rc::clone(&state), loads));
    tokio::task::spawn_local(placer::follow_groups(Rc::clone(&state)));
    tokio::task::spawn_local(group_probes::probe_broken_groups(Rc::clone(&state)));
    tokio::task::spawn_local(peers::serve_snapshots(Rc::clone(&state), snapshots));
    tokio::task::spawn_local(peers::poll_peers(Rc::clone(&state)));
    tokio::task::spawn_local(reload::reload_on_hangup(arguments, options));
    tokio::task::spawn_local(admission::review_queues(Rc::clone(&state)));
    tokio::task::spawn_local(readiness::serve(Rc::clone(&state), readiness, health));
    let serving = callers::serve(Rc::clone(&state), callers, daemon.draining());
    let serving = tokio::task::spawn_local(serving);
    let daemon = daemon.serve().wait_for_stop().await;
    let daemon = daemon.change_context(DaemonError::Serve)?;
    let plan = state.begin_stop(Instant::now());
    tokio::task::spawn_local(callers::end_requests(Rc::clone(&state), plan));
    serving.await.change_context(DaemonError::Serve)?;
    daemon.finish().await;
    Ok(())
}

//! Gateway: accepts requests from callers and forwards each one directly to a target.
//!
//! A gateway runs on one thread. Its background tasks keep the configuration, the instance list and
//! the state of the other gateways up to date, so that a request is routed from memory.

pub mod admission;
pub mod answer_budget;
pub mod caller_memory;
pub mod caller_slots;
pub mod callers;
pub mod channels;
pub mod emptied_zones;
pub mod engines;
pub mod exchange;
pub mod group_bounds;
pub mod group_probes;
pub mod head_guard;
pub mod head_timer;
pub mod metrics;
pub mod overload;
pub mod part_news;
pub mod part_watch;
pub mod peer_frames;
pub mod peers;
pub mod placer;
pub mod readiness;
pub mod refresh;
pub mod relay;
pub mod reload;
pub mod reply;
pub mod request;
pub mod request_body;
pub mod retries;
pub mod start_slice;
pub mod state;
pub mod supervisor;
pub mod target_pace;

use {
    self::{
        metrics::GatewayMetrics, reload::HangupSignals, state::GatewayState, supervisor::supervise,
    },
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
    std::{io, net, rc::Rc},
    tokio::{
        net::{TcpListener, UdpSocket},
        task::LocalSet,
        time::Instant,
    },
};

/// Runs a gateway until the process receives the stop signal and has drained its requests.
///
/// # Errors
///
/// Fails if the settings have no gateway section, if an address cannot be bound, or if the gateway
/// task ends abnormally.
pub async fn serve(
    options: DaemonOptions,
    arguments: GatewayArguments,
    hangups: HangupSignals,
) -> Result<()> {
    let serving = serve_local(options, arguments, hangups);
    LocalSet::new().run_until(serving).await
}

async fn serve_local(
    options: DaemonOptions,
    arguments: GatewayArguments,
    hangups: HangupSignals,
) -> Result<()> {
    let gateway = options.gateway.clone();
    let gateway = gateway.ok_or_else(|| Report::new(DaemonError::ReadSettings))?;
    let health = HealthState::default();
    let registry = MetricsRegistry::default();
    let daemon = Daemon::new(options.stop.clone(), health.clone());
    let callers = bind("gateway", "caller_address", gateway.caller_address);
    let callers = callers.await.change_context(DaemonError::Listen)?;
    let readiness = bind("gateway", "readiness_address", gateway.readiness_address);
    let readiness = readiness.await.change_context(DaemonError::Listen)?;
    let readiness = readiness.into_std();
    let readiness = readiness.change_context(DaemonError::Listen)?;
    let snapshots = bind("gateway", "peer_address", gateway.peer_address);
    let snapshots = snapshots.await.change_context(DaemonError::Listen)?;
    let snapshots = snapshots.into_std();
    let snapshots = snapshots.change_context(DaemonError::Listen)?;
    let loads = UdpSocket::bind(gateway.load_address).await;
    let loads = loads.and_then(UdpSocket::into_std);
    let loads = loads.change_context(DaemonError::Listen)?;
    let address = options.metrics.address;
    let started = telemetry::metrics::serve(address, registry.clone(), health.clone()).await;
    started.change_context(DaemonError::Listen)?;
    let store = StoreClient::new(options.platform.address, options.platform.timeout);
    let metrics = GatewayMetrics::register(&registry);
    let state = Rc::new(GatewayState::new(&options.instance, gateway, metrics));
    let configuration_store = store.clone();
    supervise(&state, "configuration", move |state| {
        refresh::follow_configuration(state, configuration_store.clone())
    });
    supervise(&state, "targets", move |state| {
        refresh::follow_targets(state, store.clone())
    });
    supervise(&state, "loads", move |state| {
        let socket = loads.try_clone().and_then(UdpSocket::from_std);
        with_socket(socket, |socket| peers::exchange_loads(state, socket))
    });
    supervise(&state, "groups", placer::follow_groups);
    supervise(&state, "probes", group_probes::probe_broken_groups);
    supervise(&state, "snapshots", move |state| {
        let listener = duplicate(&snapshots);
        with_socket(listener, |listener| peers::serve_snapshots(state, listener))
    });
    supervise(&state, "peers", peers::poll_peers);
    supervise(&state, "settings", move |_| {
        reload::reload_on_hangup(hangups.clone(), arguments.clone(), options.clone())
    });
    supervise(&state, "queues", admission::review_queues);
    supervise(&state, "readiness", move |state| {
        let (listener, health) = (duplicate(&readiness), health.clone());
        with_socket(listener, |listener| {
            readiness::serve(state, listener, health)
        })
    });
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

/// Returns another handle of a listener, so that a task that has lost its own can start again.
fn duplicate(listener: &net::TcpListener) -> io::Result<TcpListener> {
    listener.try_clone().and_then(TcpListener::from_std)
}

/// Runs a task with its socket. Returns at once if there is none, as without file descriptors.
async fn with_socket<T, F: Future<Output = ()>>(socket: io::Result<T>, run: impl FnOnce(T) -> F) {
    match socket {
        Ok(socket) => run(socket).await,
        Err(error) => log::error!("socket of a task: {error}"),
    }
}

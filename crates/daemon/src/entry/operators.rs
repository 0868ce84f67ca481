//! HTTP/1 server of the operator API, which reads and changes the configuration, reports the status
//! of the fleet, explains requests, and drains targets.

pub mod answers;
mod changes;
pub mod fields;
mod fleet;
mod reports;
mod routes;

use {
    super::{configuration::ConfigurationActor, fleet::FleetView},
    crate::constants::OPERATOR_READ_TIMEOUT,
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    kameo::actor::ActorRef,
    sassafrasslip_core::{events::LogEvent::ListenerFailed, log_event},
    std::{convert::Infallible, fmt, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Pause after a failed accept. An accept fails, for example, while the process has no free file
/// descriptor. Without the pause, the accept loop would spin.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// State that the handlers of the operator API share.
#[derive(Clone)]
pub(crate) struct OperatorContext {
    pub(crate) actor: ActorRef<ConfigurationActor>,
    pub(crate) fleet: Arc<dyn FleetView>,
}

impl fmt::Debug for OperatorContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("OperatorContext")
    }
}

/// Serves operators until `draining` is cancelled, then closes the listener and waits for the open
/// requests.
pub async fn serve(
    listener: TcpListener,
    actor: ActorRef<ConfigurationActor>,
    fleet: Arc<dyn FleetView>,
    draining: CancellationToken,
) {
    let context = OperatorContext { actor, fleet };
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = draining.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, context.clone(), draining.clone()));
            }
            Err(error) => {
                log_event!(ListenerFailed, listener = "operator", fault = error);
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve_connection(
    stream: TcpStream,
    context: OperatorContext,
    draining: CancellationToken,
) {
    let service = service_fn(move |request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(routes::answer(request, &context).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(OPERATOR_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // Errors of a connection are ignored: its client sees them, and nothing else depends on it.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = draining.cancelled() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

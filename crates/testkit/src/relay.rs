//! TCP relay that tests put between two processes. It can refuse, hold, delay or cut connections,
//! to imitate faults of the network.

pub mod pump;
pub mod switch;

pub use switch::{RelayMode, RelaySwitch};

use {
    crate::http::{self, RequestHandler, ServerRequest, ServerResult, json_answer, text_answer},
    clap::Parser,
    hyper::{Method, StatusCode},
    std::{io, net::SocketAddr, sync::Arc},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// TCP relay that imitates faults of the network.
#[derive(Clone, Debug, Parser)]
pub struct RelayArguments {
    /// Address on which the relay listens for callers.
    #[arg(long, value_name = "IP:PORT")]
    pub listen: SocketAddr,
    /// Address to which the relay connects each caller.
    #[arg(long, value_name = "IP:PORT")]
    pub target: SocketAddr,
    /// Address of the HTTP interface that sets the mode of the relay.
    #[arg(long, value_name = "IP:PORT")]
    pub admin: SocketAddr,
}

/// HTTP handler that reads and sets the mode of the relay.
struct ModeHandler {
    sender: watch::Sender<RelaySwitch>,
}

impl RequestHandler for ModeHandler {
    async fn handle(&self, request: ServerRequest) -> ServerResult {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/healthz") => Ok(text_answer(StatusCode::OK, "ok\n")),
            (&Method::GET, "/admin/mode") => {
                Ok(json_answer(StatusCode::OK, &*self.sender.borrow()))
            }
            (&Method::POST, "/admin/mode") => Ok(match request.json() {
                Ok(switch) => {
                    self.sender.send_replace(switch);
                    json_answer(StatusCode::OK, &switch)
                }
                Err(answer) => *answer,
            }),
            _ => Ok(text_answer(StatusCode::NOT_FOUND, "not found\n")),
        }
    }
}

/// Relays connections until the process ends.
///
/// # Errors
///
/// Fails if the address of the relay or of its HTTP interface cannot be bound.
pub async fn run(arguments: RelayArguments) -> io::Result<()> {
    let (sender, receiver) = watch::channel(RelaySwitch::default());
    let admin = TcpListener::bind(arguments.admin).await?;
    println!("relay listens on {}", arguments.listen);
    let handler = Arc::new(ModeHandler { sender });
    tokio::spawn(http::serve(admin, handler));
    run_listener(arguments.listen, arguments.target, receiver).await
}

/// Starts a relay as a task of the current runtime, and returns the sender that sets its mode. The
/// task ends without a report if the address cannot be bound.
pub fn spawn(listen: SocketAddr, target: SocketAddr) -> watch::Sender<RelaySwitch> {
    let (sender, receiver) = watch::channel(RelaySwitch::default());
    tokio::spawn(run_listener(listen, target, receiver));
    sender
}

/// Accepts connections whenever the mode allows it. In the mode `refuse` the listener is closed, so
/// that the operating system refuses connections.
async fn run_listener(
    listen: SocketAddr,
    target: SocketAddr,
    mut switch: watch::Receiver<RelaySwitch>,
) -> io::Result<()> {
    let closed = |_| io::Error::other("the sender of the relay's mode was dropped");
    loop {
        let accepts = |switch: &RelaySwitch| switch.mode != RelayMode::Refuse;
        switch.wait_for(accepts).await.map_err(closed)?;
        let listener = TcpListener::bind(listen).await?;
        let mut refusal = switch.clone();
        let refused = refusal.wait_for(|switch| !accepts(switch));
        tokio::select! {
            _ = refused => {}
            () = accept_connections(&listener, target, &switch) => {}
        }
    }
}

async fn accept_connections(
    listener: &TcpListener,
    target: SocketAddr,
    switch: &watch::Receiver<RelaySwitch>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        tokio::spawn(relay_connection(caller, target, switch.clone()));
    }
}

async fn relay_connection(
    caller: TcpStream,
    target: SocketAddr,
    mut switch: watch::Receiver<RelaySwitch>,
) {
    let passes = |switch: &RelaySwitch| switch.mode != RelayMode::BlackHole;
    if switch.wait_for(passes).await.is_err() {
        return;
    }
    if let Ok(target) = TcpStream::connect(target).await {
        pump::copy_both_directions(caller, target, switch).await;
    }
}

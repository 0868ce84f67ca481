//! TCP relay whose connections can be refused, held, delayed or cut.

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

/// TCP relay for tests.
#[derive(Clone, Debug, Parser)]
pub struct RelayArguments {
    /// Address that callers use.
    #[arg(long, value_name = "IP:PORT")]
    pub listen: SocketAddr,
    /// Address to which the bytes go.
    #[arg(long, value_name = "IP:PORT")]
    pub target: SocketAddr,
    /// Address of the switch.
    #[arg(long, value_name = "IP:PORT")]
    pub admin: SocketAddr,
}

struct SwitchHandler {
    sender: watch::Sender<RelaySwitch>,
}

impl RequestHandler for SwitchHandler {
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

/// Relays until the process ends.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn run(arguments: RelayArguments) -> io::Result<()> {
    let (sender, receiver) = watch::channel(RelaySwitch::default());
    let admin = TcpListener::bind(arguments.admin).await?;
    println!("relay listens on {}", arguments.listen);
    let handler = Arc::new(SwitchHandler { sender });
    tokio::spawn(http::serve(admin, handler));
    accept(arguments.listen, arguments.target, receiver).await
}

/// Starts a relay in the running program; the switch changes what it does.
pub fn spawn(listen: SocketAddr, target: SocketAddr) -> watch::Sender<RelaySwitch> {
    let (sender, receiver) = watch::channel(RelaySwitch::default());
    tokio::spawn(accept(listen, target, receiver));
    sender
}

/// Accepts connections; while they are refused, nothing listens on the address.
async fn accept(
    listen: SocketAddr,
    target: SocketAddr,
    mut switch: watch::Receiver<RelaySwitch>,
) -> io::Result<()> {
    let closed = |_| io::Error::other("the switch is gone");
    loop {
        let accepts = |switch: &RelaySwitch| switch.mode != RelayMode::Refuse;
        switch.wait_for(accepts).await.map_err(closed)?;
        let listener = TcpListener::bind(listen).await?;
        let mut refusal = switch.clone();
        let refused = refusal.wait_for(|switch| !accepts(switch));
        tokio::select! {
            _ = refused => {}
            () = accept_until_refused(&listener, target, &switch) => {}
        }
    }
}

async fn accept_until_refused(
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
        pump::exchange(caller, target, switch).await;
    }
}

//! Stand-in for a plain service, which counts how often each booking runs.

pub mod handler;

pub use handler::{RunFailure, ServiceCounts, ServiceFaults, ServiceHandler};

use {
    crate::http,
    clap::Parser,
    std::{io, net::SocketAddr, sync::Arc},
    tokio::net::TcpListener,
};

/// Stand-in for a plain service.
#[derive(Clone, Debug, Parser)]
pub struct ServiceArguments {
    /// Address on which the service listens.
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:7200")]
    pub listen: SocketAddr,
    /// Delay of each run, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Seed of the random draw of the runs that fail.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Serves the service until the process ends.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn run(arguments: ServiceArguments) -> io::Result<()> {
    let faults = ServiceFaults {
        delay_ms: arguments.delay_ms,
        ..ServiceFaults::default()
    };
    let handler = ServiceHandler::new(arguments.seed, faults);
    let listener = TcpListener::bind(arguments.listen).await?;
    println!("service listens on {}", listener.local_addr()?);
    http::serve(listener, Arc::new(handler)).await;
    Ok(())
}

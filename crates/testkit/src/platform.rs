//! Stand-in for the platform: a table service, an object store and an instance list over HTTP, all
//! of which keep their data in memory.

pub mod counts;
pub mod faults;
pub mod handler;
pub mod instances;
pub mod table;

pub use {
    faults::{FaultMode, FaultSwitch, PlatformFaults},
    handler::PlatformHandler,
    instances::ListedInstance,
};

use {
    crate::http,
    clap::Parser,
    std::{io, net::SocketAddr, path::PathBuf, sync::Arc},
    tokio::net::TcpListener,
};

/// Stand-in for the platform's services.
#[derive(Clone, Debug, Parser)]
pub struct PlatformArguments {
    /// Address on which all services listen.
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:7000")]
    pub listen: SocketAddr,
    /// JSON file with the body of `POST /admin/instances`.
    #[arg(long, value_name = "FILE")]
    pub instances: Option<PathBuf>,
    /// Seed of the random draw of the requests that a fault hits.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Serves the platform's services until the process ends.
///
/// # Errors
///
/// Fails if the address cannot be bound, or if the file with the instances cannot be read or
/// parsed.
pub async fn run(arguments: PlatformArguments) -> io::Result<()> {
    let handler = PlatformHandler::new(arguments.seed);
    if let Some(file) = &arguments.instances {
        let text = std::fs::read(file)?;
        handler.set_instances(serde_json::from_slice(&text)?);
    }
    let listener = TcpListener::bind(arguments.listen).await?;
    println!("platform listens on {}", listener.local_addr()?);
    http::serve(listener, Arc::new(handler)).await;
    Ok(())
}

//! Stand-in for the engines of one model group: several servers whose ranks run each step in
//! lockstep, driven by one clock.

pub mod arguments;
pub mod batch;
pub mod clock;
pub mod expert_map;
pub mod group;
pub mod load;
pub mod options;
pub mod participant;
pub mod popularity;
pub mod server;
pub mod tokens;

pub use {
    arguments::EngineArguments,
    expert_map::ExpertMap,
    group::EngineGroup,
    load::EngineLoad,
    options::{GroupOptions, RankMode, StepViolations},
    participant::{MapOrder, MapReply, OrderKind, ParticipantState},
    server::EngineServer,
    tokens::token_text,
};

use {
    crate::http,
    std::{io, sync::Arc},
    tokio::{net::TcpListener, task::JoinSet},
};

/// Serves all servers of the group, each on its own address, until the process ends.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn run(arguments: EngineArguments) -> io::Result<()> {
    let group = Arc::new(EngineGroup::new(arguments.group_options()));
    let mut servers = JoinSet::new();
    for (index, address) in arguments.server.iter().enumerate() {
        let listener = TcpListener::bind(address).await?;
        println!(
            "engine server {index} listens on {}",
            listener.local_addr()?
        );
        let server = EngineServer::new(Arc::clone(&group), index);
        servers.spawn(http::serve(listener, Arc::new(server)));
    }
    clock::run(group).await;
    Ok(())
}

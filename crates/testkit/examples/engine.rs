//! Stand-in for a model group: several engine servers whose ranks step in lockstep.

use {
    clap::Parser,
    sassafrasslip_testkit::engine::{self, EngineArguments},
    std::io,
};

#[tokio::main(worker_threads = 2)]
async fn main() -> io::Result<()> {
    engine::run(EngineArguments::parse()).await
}

//! TCP relay that injects network faults: it can refuse, hold, delay or cut connections.

use {
    clap::Parser,
    sassafrasslip_testkit::relay::{self, RelayArguments},
    std::io,
};

#[tokio::main(worker_threads = 2)]
async fn main() -> io::Result<()> {
    relay::run(RelayArguments::parse()).await
}

//! TCP relay whose connections can be refused, held, delayed or cut.

use {
    clap::Parser,
    sassafrasslip_testkit::relay::{self, RelayArguments},
    std::io,
};

#[tokio::main(worker_threads = 2)]
async fn main() -> io::Result<()> {
    relay::run(RelayArguments::parse()).await
}

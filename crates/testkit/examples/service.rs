//! Stand-in for a plain service.

use {
    clap::Parser,
    sassafrasslip_testkit::service::{self, ServiceArguments},
    std::io,
};

#[tokio::main(worker_threads = 2)]
async fn main() -> io::Result<()> {
    service::run(ServiceArguments::parse()).await
}

//! Stand-in for the platform: its table service, object store and instance list.

use {
    clap::Parser,
    sassafrasslip_testkit::platform::{self, PlatformArguments},
    std::io,
};

#[tokio::main(worker_threads = 2)]
async fn main() -> io::Result<()> {
    platform::run(PlatformArguments::parse()).await
}

//! Compares the router with simple routing policies; `scripts/measure.sh routing` runs it.

use {
    clap::Parser,
    sassafrasslip_testkit::measure::routing::{self, RoutingArguments},
};

fn main() {
    routing::run(&RoutingArguments::parse());
}

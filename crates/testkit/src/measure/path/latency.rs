//! Latency of calls that run one at a time.

use {
    super::{PLAIN_SERVICE, QUICK_SERVICE, table},
    crate::{
        harness::{EntryHandle, Fleet, HarnessError, Result},
        load::{self, LoadArguments, LoadSummary, summary::Percentiles},
    },
    clap::Parser,
    std::net::SocketAddr,
};

/// Number of calls of each case.
const CALLS: &str = "2000";

/// Measures plain calls and first tokens, direct and through the entry, and returns the table.
///
/// # Errors
///
/// Fails if a call is not answered.
pub async fn run(fleet: &Fleet, entry: &EntryHandle) -> Result<String> {
    let service = fleet.services[0].address;
    let engine = fleet.groups[0].servers[0];
    let plain = |address, direct| call(address, PLAIN_SERVICE, false, direct);
    let streamed = |address, direct| call(address, QUICK_SERVICE, true, direct);
    let plain_direct = plain(service, true).await?.latency_ms;
    let plain_entry = plain(entry.caller_address, false).await?.latency_ms;
    let token_direct = streamed(engine, true).await?.first_token_ms;
    let token_entry = streamed(entry.caller_address, false).await?.first_token_ms;
    let rows = [
        rows("plain call (GET)", &plain_direct, &plain_entry),
        rows(
            "first token, 1 ms engine steps",
            &token_direct,
            &token_entry,
        ),
    ];
    let header = ["case", "calls", "p50 ms", "p99 ms"];
    Ok(table::render(&header, &rows.concat()))
}

fn rows(case: &str, direct: &Percentiles, entry: &Percentiles) -> Vec<Vec<String>> {
    let row = |label: &str, count: u64, p50: f64, p99: f64| {
        let figures = [count.to_string(), format!("{p50:.3}"), format!("{p99:.3}")];
        let name = format!("{case}, {label}");
        [name].into_iter().chain(figures).collect()
    };
    let added = (entry.p50 - direct.p50, entry.p99 - direct.p99);
    vec![
        row("direct", direct.count, direct.p50, direct.p99),
        row("through the entry", entry.count, entry.p50, entry.p99),
        row("added", entry.count, added.0, added.1),
    ]
}

async fn call(
    address: SocketAddr,
    service: &str,
    streamed: bool,
    direct: bool,
) -> Result<LoadSummary> {
    let address = address.to_string();
    let role = if streamed {
        "--model-service"
    } else {
        "--plain-service"
    };
    let mut arguments = vec!["load", "--entry", &address, role, service];
    arguments.extend(["--concurrency", "1", "--count", CALLS, "--bookings", "0"]);
    arguments.extend(["--streamed", "100", "--min-tokens", "1"]);
    arguments.extend(["--max-tokens", "1", "--prompt-prefixes", "1"]);
    if direct {
        arguments.extend(["--direct", "--direct-service", &address]);
    }
    let summary = load::run(LoadArguments::parse_from(arguments)).await;
    if summary.answered == summary.requests {
        return Ok(summary);
    }
    Err(HarnessError::report(service, summary))
}

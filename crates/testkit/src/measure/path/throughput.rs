//! Calls for each second of CPU time of the entry, in a closed loop.

use {
    super::{PLAIN_SERVICE, QUICK_SERVICE, table},
    crate::{
        harness::{EntryHandle, HarnessError, Result},
        load::{self, LoadArguments},
        measure::process,
    },
    clap::Parser,
};

/// Measures plain calls and streams, each in a closed loop, and returns the table.
///
/// # Errors
///
/// Fails if a call is not answered.
pub async fn run(entry: &EntryHandle) -> Result<String> {
    let plain = ["--plain-service", PLAIN_SERVICE, "--count", "20000"];
    let stream = ["--model-service", QUICK_SERVICE, "--count", "5000"];
    let rows = [
        measure("plain call (GET)", &plain, entry).await?,
        measure("stream of 20 tokens", &stream, entry).await?,
    ];
    let header = [
        "closed loop, 64 callers",
        "calls",
        "calls/s",
        "CPU s of the entry",
        "CPU us a call",
        "calls/s on one core",
    ];
    Ok(table::render(&header, &rows))
}

async fn measure(case: &str, load_options: &[&str], entry: &EntryHandle) -> Result<Vec<String>> {
    let address = entry.caller_address.to_string();
    let mut arguments = vec!["load", "--entry", &address, "--concurrency", "64"];
    arguments.extend(["--bookings", "0", "--streamed", "100"]);
    arguments.extend(["--min-tokens", "20", "--max-tokens", "20"]);
    arguments.extend(load_options);
    let arguments = LoadArguments::parse_from(arguments);
    let before = process::cpu_time(entry.process.id())?;
    let summary = load::run(arguments).await;
    let used = process::cpu_time(entry.process.id())? - before;
    if summary.answered != summary.requests {
        return Err(HarnessError::report(case, summary));
    }
    let (calls, seconds) = (summary.requests as f64, used.as_secs_f64());
    Ok(vec![
        case.to_owned(),
        summary.requests.to_string(),
        format!("{:.0}", summary.goodput),
        format!("{seconds:.2}"),
        format!("{:.0}", seconds / calls * 1e6),
        format!("{:.0}", calls / seconds),
    ])
}

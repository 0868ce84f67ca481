//! Configuration changes that the demonstration makes with the operator client.

use {
    crate::harness::{EntryHandle, Fleet, HarnessError, Result, binaries},
    std::time::Duration,
};

/// Time limit of a run of the client: a change is in force within 6 s, and the client takes some
/// time to start.
const CLIENT_LIMIT: Duration = Duration::from_secs(15);
const EXCEPTION: &str = "demo-press-limit";

/// Changes a default through the first entry, adds an exception through the last one, and checks
/// that the first entry then lists the exception.
///
/// # Errors
///
/// Returns an error if the fleet has no entry, the client fails or the first entry does not list
/// the exception.
pub async fn change_configuration(fleet: &Fleet) -> Result<()> {
    let (Some(first), Some(last)) = (fleet.entries.first(), fleet.entries.last()) else {
        return Err(HarnessError::report("fleet", "no entries"));
    };
    let default = ["defaults", "set", "limits.team_concurrency", "48"];
    run_client(fleet, first, "set-default", &default).await?;
    let exception = [
        "exceptions",
        "add",
        EXCEPTION,
        "team=press",
        "limits.team_concurrency",
        "16",
    ];
    run_client(fleet, last, "add-exception", &exception).await?;
    check_exception(fleet, first).await
}

async fn run_client(fleet: &Fleet, entry: &EntryHandle, name: &str, change: &[&str]) -> Result<()> {
    let address = entry.operator_address.to_string();
    let start = ["--entry", &address];
    let end = [
        "--operator",
        "demo",
        "--reason",
        "shown by the demonstration",
    ];
    let arguments = start.iter().chain(change).chain(&end);
    let arguments = arguments.map(|argument| (*argument).to_owned()).collect();
    let program = binaries::binary("sassafrasslip")?;
    let output = fleet.run_program(name, program, arguments, CLIENT_LIMIT);
    for line in output.await?.lines() {
        println!("  {line}");
    }
    Ok(())
}

async fn check_exception(fleet: &Fleet, entry: &EntryHandle) -> Result<()> {
    let listed = fleet.read(entry.operator_address, "/v1/exceptions").await?;
    if listed.contains(EXCEPTION) {
        return Ok(());
    }
    let fault = format!("exception {EXCEPTION} is not listed: {listed}");
    Err(HarnessError::report(&entry.name, fault))
}

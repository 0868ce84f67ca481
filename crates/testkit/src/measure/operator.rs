//! Changes of configuration defaults through the operator client.

use {
    crate::harness::{EntryHandle, Fleet, Result, binaries},
    std::time::Duration,
};

/// Longest run of the client: a change takes effect within 6 s, and starting the client takes some
/// time.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(15);

/// Sets defaults at an entry, one after the other; `values` holds pairs of a key and a value.
///
/// # Errors
///
/// Fails if the client cannot be run, or if a change is not accepted in time.
pub async fn set_defaults(
    fleet: &Fleet,
    entry: &EntryHandle,
    values: &[(&str, &str)],
) -> Result<()> {
    for (key, value) in values {
        let address = entry.operator_address.to_string();
        let arguments = [
            "--entry",
            &address,
            "defaults",
            "set",
            key,
            value,
            "--operator",
            "measurement",
            "--reason",
            "shape of the measurement",
        ];
        let arguments = arguments.map(str::to_owned).to_vec();
        let program = binaries::binary("sassafrasslip")?;
        let name = format!("set-{key}");
        fleet
            .run_program(&name, program, arguments, CLIENT_TIMEOUT)
            .await?;
    }
    Ok(())
}

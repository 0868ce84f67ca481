//! Defaults that a measurement sets through the operator client.

use {
    crate::harness::{EntryHandle, Fleet, Result, binaries},
    std::time::Duration,
};

/// Longest call of the client: a change is in force within 6 s, and the client needs some time to
/// start.
const CLIENT_LIMIT: Duration = Duration::from_secs(15);

/// Sets defaults at an entry, one after the other.
///
/// # Errors
///
/// Fails if a change is not accepted.
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
            .run_program(&name, program, arguments, CLIENT_LIMIT)
            .await?;
    }
    Ok(())
}

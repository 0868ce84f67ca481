//! CPU time and memory of a process, read from `/proc`.

use {
    crate::harness::{HarnessError, Result},
    std::fs,
};

/// Returns the CPU time of all live threads of a process, in seconds.
///
/// # Errors
///
/// Fails if the process has ended.
pub fn cpu_seconds(process: u32) -> Result<f64> {
    let directory = format!("/proc/{process}/task");
    let failed = |error| HarnessError::report(&directory, error);
    let mut nanoseconds = 0;
    for thread in fs::read_dir(&directory).map_err(failed)?.flatten() {
        let text = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let running = text.split(' ').next().and_then(|text| text.parse().ok());
        nanoseconds += running.unwrap_or(0_u64);
    }
    Ok(nanoseconds as f64 / 1e9)
}

/// Returns the resident set size of a process, in KiB.
///
/// # Errors
///
/// Fails if the process has ended.
pub fn resident_kib(process: u32) -> Result<f64> {
    status_kib(process, "VmRSS:")
}

fn status_kib(process: u32, field: &str) -> Result<f64> {
    let file = format!("/proc/{process}/status");
    let text = fs::read_to_string(&file).map_err(|error| HarnessError::report(&file, error))?;
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    let value = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
    value.ok_or_else(|| HarnessError::report(file, format!("no field {field}")))
}

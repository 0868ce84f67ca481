//! CPU time and memory of a process, read from `/proc`.

use {
    crate::harness::{HarnessError, Result},
    std::{fs, time::Duration},
};

/// Clock ticks a second in `/proc/<id>/stat`; Linux always reports 100 to user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the CPU time that a process has used in user and kernel mode.
///
/// # Errors
///
/// Fails if the process does not exist.
pub fn cpu_time(id: u32) -> Result<Duration> {
    let path = format!("/proc/{id}/stat");
    let stat = fs::read_to_string(&path).map_err(|error| HarnessError::report(&path, error))?;
    // The process name in parentheses may contain spaces; utime and stime are the 12th and 13th
    // fields after it.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Returns the resident set size of a process in bytes.
///
/// # Errors
///
/// Fails if the process does not exist.
pub fn resident_bytes(id: u32) -> Result<u64> {
    let path = format!("/proc/{id}/status");
    let status = fs::read_to_string(&path).map_err(|error| HarnessError::report(&path, error))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    let kibibytes = kibibytes.ok_or_else(|| HarnessError::report(&path, "no VmRSS field"))?;
    Ok(kibibytes * 1024)
}

//! Peak memory of this process.

use std::fs;

/// Returns the peak resident set size in KiB, or `None` if `/proc` does not report it.
pub fn peak_memory_kib() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

//! Description of the machine that a measurement runs on.

use std::{fs, thread};

/// Returns one line with the cores, the memory and the load average of the machine, which heads a
/// report.
pub fn describe() -> String {
    let cores = thread::available_parallelism().map_or(0, usize::from);
    let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let memory_kib = memory.lines().find_map(|line| {
        let rest = line.strip_prefix("MemTotal:")?;
        rest.split_whitespace().next()?.parse::<u64>().ok()
    });
    let memory_gib = memory_kib.unwrap_or(0) as f64 / (1024.0 * 1024.0);
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split_whitespace().next().unwrap_or("?").to_owned();
    format!("{cores} cores, {memory_gib:.0} GiB of memory, load average {load} at the start")
}

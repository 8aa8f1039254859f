//! Processor time of processes, as the kernel counts it.

use std::time::Duration;

use crate::ProcessHandle;

/// Length of a tick of the kernel's counts.
const TICK: Duration = Duration::from_millis(10);

/// Fields of `/proc/PID/stat` between the program's name and the ticks in user
/// mode; those in kernel mode follow.
const FIELDS_BEFORE_TICKS: usize = 11;

/// Processor time that processes have used so far.
pub fn process_time<'a>(processes: impl Iterator<Item = &'a ProcessHandle>) -> Duration {
    processes.map(|process| ticks(process.pid()) * TICK).sum()
}

fn ticks(pid: u32) -> u32 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The program's name may hold spaces; it ends with the last parenthesis.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    fields
        .split_whitespace()
        .skip(FIELDS_BEFORE_TICKS)
        .take(2)
        .filter_map(|field| field.parse::<u32>().ok())
        .sum()
}

//! Memory and CPU time of this process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Clock ticks per second of the times in `/proc` on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Resident memory in bytes, or zero if it cannot be read.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    number.unwrap_or(0) << 10
}

/// CPU time used so far in user and system mode, or zero if it cannot be read.
pub fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The program name in parentheses may contain spaces, so fields are counted from the closing
    // parenthesis. From there, user time has index 11 and system time index 12.
    let stat_fields = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = stat_fields.split_whitespace().collect();
    let number = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or(0)
    };
    Duration::from_millis((number(11) + number(12)) * 1000 / TICKS_PER_SECOND)
}

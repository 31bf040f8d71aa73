//! Memory and processor time of this process, as the operating system tells them.

use std::fs;
use std::time::Duration;

/// Clock ticks each second in `/proc` on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Resident memory, in bytes; zero where it cannot be read.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    number.unwrap_or(0) << 10
}

/// Processor time used so far, in user and system mode; zero where it cannot be read.
pub fn cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in parentheses may hold spaces; fields are counted from behind it.
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

//! Readings of the clocks of the operating system.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::coordination::pause::ClockReading;

/// Reads the clocks with and without the time for which the instance was suspended.
///
/// ```
/// let reading = tarragoncourse::transport::clock::read_clocks();
/// assert!(reading.boot >= reading.running);
/// ```
pub fn read_clocks() -> ClockReading {
    // In this order the difference is never negative because of the time between the two calls.
    let running = read_clock(ClockId::Monotonic);
    let boot = read_clock(ClockId::Boottime);
    ClockReading { boot, running }
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}

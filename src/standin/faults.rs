//! Faults of the platform stand-in, which can be set at run time.

use serde::{Deserialize, Serialize};

/// Faults to simulate; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Calls have no effect, and their callers get no result (status 500 over HTTP).
    pub down: bool,
    /// Delay added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming writes whose responses are lost: the write takes effect, but the caller
    /// gets no result (status 500 over HTTP). Deletes and lease calls count as writes.
    pub lose_answers: u32,
    /// Leases do not expire.
    pub freeze_leases: bool,
    /// Limit of writes per second; further writes are rejected. Zero means no limit.
    pub writes_per_second: u64,
    /// Limit of reads per second; further reads are rejected. Zero means no limit.
    pub reads_per_second: u64,
}

//! Faults of the platform stand-in, set at run time.

use serde::{Deserialize, Serialize};

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Nothing is answered, and nothing takes effect.
    pub down: bool,
    /// Each call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// The answers of the next so many writes are lost after they took effect.
    pub lose_answers: u32,
    /// Leases do not lapse.
    pub freeze_leases: bool,
    /// Writes each second beyond which calls are refused; zero is no bound.
    pub writes_per_second: u64,
    /// Reads each second beyond which calls are refused; zero is no bound.
    pub reads_per_second: u64,
}

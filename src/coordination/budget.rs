//! A byte budget on control sending, by priority.

use std::time::Duration;

use tokio::time::Instant;

/// Control bytes that a node may send each second.
pub const BYTES_PER_SECOND: f64 = 4096.0;
/// Bytes that may be sent at once after a quiet time.
const BURST: f64 = 64.0 * 1024.0;

/// How urgent a datagram is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Announcements, probes and their answers: always sent, and counted.
    Always,
    /// News of members: sent while some of the burst is left.
    News,
    /// Table repair: sent only while half of the burst is left.
    Repair,
}

/// A token bucket that urgent datagrams may overdraw.
#[derive(Debug)]
pub struct ByteBudget {
    tokens: f64,
    filled: Instant,
    deferred: u64,
}

impl ByteBudget {
    /// A full bucket.
    pub fn new(now: Instant) -> ByteBudget {
        ByteBudget {
            tokens: BURST,
            filled: now,
            deferred: 0,
        }
    }

    /// Datagrams that were not sent for want of tokens.
    pub fn deferred(&self) -> u64 {
        self.deferred
    }

    /// Whether a datagram of so many bytes may be sent now; counts it if so.
    pub fn allow(&mut self, urgency: Urgency, bytes: usize, now: Instant) -> bool {
        let passed: Duration = now - self.filled;
        self.filled = now;
        self.tokens = (self.tokens + passed.as_secs_f64() * BYTES_PER_SECOND).min(BURST);
        let floor = match urgency {
            Urgency::Always => f64::MIN,
            Urgency::News => 0.0,
            Urgency::Repair => BURST / 2.0,
        };
        if self.tokens - (bytes as f64) < floor {
            self.deferred += 1;
            return false;
        }
        self.tokens -= bytes as f64;
        true
    }
}

//! A byte budget on control sending, by priority.

use std::time::Duration;

use tokio::time::Instant;

/// Control bytes that a node may send each second.
pub const SEND_BYTES_PER_SECOND: f64 = 4096.0;
/// Bytes that may be sent at once after a quiet time.
const BURST_BYTES: f64 = 64.0 * 1024.0;

/// How urgent a datagram is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPriority {
    /// Announcements, probes and their answers: always sent, and counted.
    Always,
    /// News of members: sent while some of the burst is left.
    Gossip,
    /// Table repair: sent only while half of the burst is left.
    Repair,
}

/// A token bucket that urgent datagrams may overdraw.
#[derive(Debug)]
pub struct ByteBudget {
    tokens: f64,
    refilled_at: Instant,
    deferred: u64,
}

impl ByteBudget {
    /// A full bucket.
    pub fn new(now: Instant) -> ByteBudget {
        ByteBudget {
            tokens: BURST_BYTES,
            refilled_at: now,
            deferred: 0,
        }
    }

    /// Datagrams that were not sent for want of tokens.
    pub fn deferred(&self) -> u64 {
        self.deferred
    }

    /// Whether a datagram of so many bytes may be sent now; counts it if so.
    pub fn try_spend(&mut self, priority: SendPriority, bytes: usize, now: Instant) -> bool {
        let elapsed: Duration = now - self.refilled_at;
        self.refilled_at = now;
        self.tokens =
            (self.tokens + elapsed.as_secs_f64() * SEND_BYTES_PER_SECOND).min(BURST_BYTES);
        let floor = match priority {
            SendPriority::Always => f64::MIN,
            SendPriority::Gossip => 0.0,
            SendPriority::Repair => BURST_BYTES / 2.0,
        };
        if self.tokens - (bytes as f64) < floor {
            self.deferred += 1;
            return false;
        }
        self.tokens -= bytes as f64;
        true
    }
}

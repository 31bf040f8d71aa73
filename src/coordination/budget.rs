//! Byte budget for the control datagrams that a node sends, with priorities.

use std::time::Duration;

use tokio::time::Instant;

/// Average rate of control traffic that a node may send, in bytes per second.
pub const SEND_BYTES_PER_SECOND: f64 = 4096.0;
/// Size of the token bucket: the most that a node may send at once after an idle period.
const BURST_BYTES: f64 = 64.0 * 1024.0;

/// Priority of a control datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPriority {
    /// Quota messages, which follow the callers' requests. They are neither limited nor deducted,
    /// since on a ledger's node they would keep back the gossip for as long as requests arrive.
    Unlimited,
    /// Announcements, probes and their acknowledgements. Always sent, even if this overdraws the
    /// bucket; their bytes are still deducted.
    Always,
    /// Gossip of member records. Sent only if the bucket holds enough tokens.
    Gossip,
    /// Repair of member tables. Sent only if the bucket is still at least half full afterwards.
    Repair,
}

/// Token bucket, with one token per byte, that datagrams of the highest priority may overdraw.
#[derive(Debug)]
pub struct ByteBudget {
    tokens: f64,
    refilled_at: Instant,
    deferred: u64,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> ByteBudget {
        ByteBudget {
            tokens: BURST_BYTES,
            refilled_at: now,
            deferred: 0,
        }
    }

    /// Number of datagrams that were not sent because too few tokens were left.
    pub fn deferred(&self) -> u64 {
        self.deferred
    }

    /// Returns whether a datagram of `bytes` bytes may be sent now. If so, its bytes are deducted;
    /// otherwise it is counted as deferred.
    pub fn try_spend(&mut self, priority: SendPriority, bytes: usize, now: Instant) -> bool {
        if priority == SendPriority::Unlimited {
            return true;
        }
        let elapsed: Duration = now - self.refilled_at;
        self.refilled_at = now;
        self.tokens =
            (self.tokens + elapsed.as_secs_f64() * SEND_BYTES_PER_SECOND).min(BURST_BYTES);
        let min_left = match priority {
            SendPriority::Unlimited | SendPriority::Always => f64::MIN,
            SendPriority::Gossip => 0.0,
            SendPriority::Repair => BURST_BYTES / 2.0,
        };
        if self.tokens - (bytes as f64) < min_left {
            self.deferred += 1;
            return false;
        }
        self.tokens -= bytes as f64;
        true
    }
}

//! Whether a large body may be sent to a target's instance now, by the time its link takes.
//!
//! The load that this answers: bodies arrive at an instance faster than its link carries them. They
//! then queue in the network, where nothing can pass them, so the short messages of other requests
//! wait for seconds behind them and fail. Senders therefore ask first. The gate reckons with its
//! link's rate, lets one body follow the other, and refuses at once what would come too late.

use std::time::Duration;

use tokio::time::Instant;

/// Length from which a body is asked for first, in bytes.
pub const LARGE_BODY_BYTES: u64 = 16 << 10;
/// Share of the link that large bodies may fill; the rest is for everything else.
const LINK_SHARE: f64 = 0.7;
/// Longest wait for the link of a body whose route has no latency objective.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_millis(500);

/// The answer to a sender who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferDecision {
    /// Send it after a wait.
    SendAfter(Duration),
    /// Do not send it here; there may be room after a wait.
    Refuse(Duration),
}

/// The link of one instance, as far as large bodies fill it.
#[derive(Debug)]
pub struct LinkSchedule {
    /// Bytes that large bodies may bring in a second.
    rate: f64,
    /// When the bodies granted so far will have arrived.
    busy_until: Instant,
}

impl LinkSchedule {
    /// A link of a rate in megabits a second.
    pub fn new(megabits: f64, now: Instant) -> LinkSchedule {
        LinkSchedule {
            rate: megabits * 1e6 / 8.0 * LINK_SHARE,
            busy_until: now,
        }
    }

    /// Decides on a body of some bytes that is worth most if it arrives within `patience`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::transfer::{TransferDecision, LinkSchedule};
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut link = LinkSchedule::new(5.0, now);
    /// let second = Some(Duration::from_secs(1));
    /// assert_eq!(link.reserve(60_000, second, now), TransferDecision::SendAfter(Duration::ZERO));
    /// assert!(matches!(link.reserve(60_000, second, now), TransferDecision::SendAfter(w) if w.as_millis() > 100));
    /// ```
    pub fn reserve(
        &mut self,
        bytes: u64,
        time_limit: Option<Duration>,
        now: Instant,
    ) -> TransferDecision {
        let wait = self.busy_until.saturating_duration_since(now);
        let transfer_time = Duration::from_secs_f64(bytes as f64 / self.rate.max(1.0));
        if wait > Duration::ZERO && wait + transfer_time > time_limit.unwrap_or(DEFAULT_TIME_LIMIT)
        {
            return TransferDecision::Refuse(wait);
        }
        self.busy_until = now + wait + transfer_time;
        TransferDecision::SendAfter(wait)
    }
}

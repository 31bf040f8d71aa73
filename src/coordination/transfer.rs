//! Admission of large bodies to an instance, based on the rate of its link.
//!
//! If large bodies arrive at an instance faster than its link carries them, they queue in the
//! network, where nothing can overtake them. Short messages of other requests then wait behind them
//! for seconds and fail. Senders therefore ask the gate first. The gate calculates the transfer
//! time from the rate of its link, schedules one body after the other, and refuses at once any that
//! would arrive too late.

use std::time::Duration;

use tokio::time::Instant;

/// Minimum length, in bytes, of a body for which the sender asks first.
pub const LARGE_BODY_BYTES: u64 = 16 << 10;
/// Share of the link that large bodies may use; the rest is left for all other traffic.
const LINK_SHARE: f64 = 0.7;
/// Maximum time for the wait and the transfer of a body whose route has no latency objective.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_millis(500);

/// Decision on a large body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferDecision {
    /// Send the body after this time.
    SendAfter(Duration),
    /// Do not send the body here; it may be accepted after this time.
    Refuse(Duration),
}

/// Schedule of the large bodies on the link of one instance.
#[derive(Debug)]
pub struct LinkSchedule {
    /// Rate available to large bodies, in bytes per second.
    bytes_per_second: f64,
    /// Time at which all accepted bodies will have arrived.
    busy_until: Instant,
}

impl LinkSchedule {
    /// Creates the schedule of a link with a rate in megabits per second.
    pub fn new(megabits: f64, now: Instant) -> LinkSchedule {
        LinkSchedule {
            bytes_per_second: megabits * 1e6 / 8.0 * LINK_SHARE,
            busy_until: now,
        }
    }

    /// Decides on a body of `bytes` bytes that should arrive within `time_limit`, and reserves the
    /// link for it if it is accepted. If the link is free, the body is always accepted, even if its
    /// transfer takes longer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::transfer::{LinkSchedule, TransferDecision};
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut schedule = LinkSchedule::new(5.0, now);
    /// let time_limit = Some(Duration::from_secs(1));
    /// assert_eq!(
    ///     schedule.reserve(60_000, time_limit, now),
    ///     TransferDecision::SendAfter(Duration::ZERO)
    /// );
    /// assert!(matches!(
    ///     schedule.reserve(60_000, time_limit, now),
    ///     TransferDecision::SendAfter(w) if w.as_millis() > 100
    /// ));
    /// ```
    pub fn reserve(
        &mut self,
        bytes: u64,
        time_limit: Option<Duration>,
        now: Instant,
    ) -> TransferDecision {
        let wait = self.busy_until.saturating_duration_since(now);
        let transfer_time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second.max(1.0));
        if wait > Duration::ZERO && wait + transfer_time > time_limit.unwrap_or(DEFAULT_TIME_LIMIT)
        {
            return TransferDecision::Refuse(wait);
        }
        self.busy_until = now + wait + transfer_time;
        TransferDecision::SendAfter(wait)
    }
}

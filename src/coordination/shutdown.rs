//! Times of a graceful shutdown.
//!
//! The supervisor of a node, such as an init system or a hosting platform, sends SIGTERM and kills the
//! process once a grace period has passed. A request that is in progress then is cut off, and so is
//! one at which the node gives up earlier. The shutdown therefore takes as much of the grace
//! period as the exit of the process leaves.

use std::time::Duration;

/// Share of the grace period that is left for the exit of the process, as a divisor.
const EXIT_RESERVE_DIVISOR: u32 = 10;
/// Largest part of the grace period that is left for the exit of the process.
const EXIT_RESERVE_MAX: Duration = Duration::from_secs(1);
/// Share of the grace period that the leave notice may take, so that most of it is left for requests
/// in progress.
const NOTICE_MAX_SHARE: f64 = 0.4;

/// Times of a graceful shutdown, from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Time until the listeners close, in which callers and other nodes turn elsewhere.
    pub notice: Duration,
    /// Longest time from then on for which requests in progress may continue.
    pub drain: Duration,
}

impl ShutdownTimes {
    /// Returns the configured times, shortened to fit into the grace period if there is one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::shutdown::ShutdownTimes;
    /// let [notice, drain] = [2, 30].map(Duration::from_secs);
    /// let times = ShutdownTimes::new(notice, drain, Some(Duration::from_secs(10)));
    /// assert_eq!(times.notice + times.drain, Duration::from_secs(9));
    /// ```
    pub fn new(notice: Duration, drain: Duration, grace: Option<Duration>) -> ShutdownTimes {
        let Some(grace) = grace else {
            return ShutdownTimes { notice, drain };
        };
        let usable = grace - (grace / EXIT_RESERVE_DIVISOR).min(EXIT_RESERVE_MAX);
        let notice = notice.min(grace.mul_f64(NOTICE_MAX_SHARE));
        ShutdownTimes {
            notice,
            drain: drain.min(usable - notice),
        }
    }
}

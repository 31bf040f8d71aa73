//! Pauses of the process: detects that it did not run for some time, and how long requests may
//! have waited unread meanwhile.
//!
//! A process is paused when it is stopped by a signal, starved of processor time, or when its
//! instance is suspended. Requests that arrived during the pause wait in the buffers of the sockets.
//! Their callers state how long they wait from the moment at which they sent, so the time until the
//! request is read counts as well. It cannot be measured for a single request; the length of the
//! pause is its upper bound.

use std::time::Duration;

/// Shortest time between two observations that counts as a pause. The state machines are driven
/// several times as often.
pub const PAUSE_MIN: Duration = Duration::from_millis(300);

/// Readings of two clocks at the same moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since the instance was started, including the time for which it was suspended.
    pub boot: Duration,
    /// Time since the instance was started, without the time for which it was suspended. Timers use
    /// this clock.
    pub running: Duration,
}

impl ClockReading {
    /// Total time for which the instance has been suspended. Timers did not advance meanwhile.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::pause::ClockReading;
    /// let reading = ClockReading {
    ///     boot: Duration::from_secs(12),
    ///     running: Duration::from_secs(9),
    /// };
    /// assert_eq!(reading.suspended(), Duration::from_secs(3));
    /// ```
    pub fn suspended(self) -> Duration {
        self.boot.saturating_sub(self.running)
    }
}

/// Detects pauses from observations, of which there must be several in each [`PAUSE_MIN`] while the
/// process runs.
#[derive(Debug, Default)]
pub struct PauseDetector {
    observed_at: Option<Duration>,
    /// Length of the last pause, until the requests that arrived during it have been read.
    unread: Option<Duration>,
}

impl PauseDetector {
    /// Records that the process is running. Returns the length of the pause that has just ended, if
    /// there was one; [`PauseDetector::finish_backlog`] must follow.
    pub fn observe(&mut self, reading: ClockReading) -> Option<Duration> {
        let gap = self.gap(reading);
        self.observed_at = Some(reading.boot);
        if gap.is_some() {
            self.unread = gap;
        }
        gap
    }

    /// Records that the requests that arrived during the last pause have been read.
    pub fn finish_backlog(&mut self) {
        self.unread = None;
    }

    /// Upper bound of the time for which a request that is read now has waited unread.
    pub fn unread_time(&self, reading: ClockReading) -> Duration {
        self.gap(reading).or(self.unread).unwrap_or_default()
    }

    /// Time since the last observation, if it counts as a pause.
    fn gap(&self, reading: ClockReading) -> Option<Duration> {
        let gap = reading.boot.saturating_sub(self.observed_at?);
        (gap >= PAUSE_MIN).then_some(gap)
    }
}

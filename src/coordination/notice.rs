//! What a target says about itself in its answers: the request rate that it accepts, and that it
//! is leaving.
//!
//! Answers of concurrent requests may be read in another order than the target sent them. An answer
//! therefore ends the named rate only if its request was sent after the last answer that named one
//! was read. A named rate and a leave apply to one start of the target.

use tokio::time::Instant;

use crate::state::member::TargetStart;
use crate::state::rate::RequestRate;

/// Relative difference between two rates up to which a change is not reported.
const RATE_TOLERANCE: f64 = 0.1;

/// The request rate that an answer names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateNotice {
    /// The answer names no rate.
    #[default]
    Absent,
    /// The target accepts this rate from all nodes together.
    Named(RequestRate),
    /// The answer names a rate that is not a valid number. It changes nothing.
    Unreadable,
}

/// What one answer of a target says about the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// The request rate that the target accepts.
    pub rate: RateNotice,
    /// Whether the target is leaving.
    pub leaving: bool,
}

/// Effect of an answer on what is known about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// Nothing changed.
    None,
    /// The target names a rate, a clearly different rate, or no longer names one.
    Rate,
    /// The target says that it is leaving, for the first time. Its rate may have changed as well.
    Leaving,
}

/// The notices of the local target.
#[derive(Debug, Default)]
pub struct TargetNotices {
    start: Option<TargetStart>,
    rate: Option<RequestRate>,
    /// The rate at the last [`NoticeChange::Rate`].
    reported_rate: Option<RequestRate>,
    /// When the last answer that named a rate was read.
    named_at: Option<Instant>,
    leaving: bool,
}

impl TargetNotices {
    /// Processes an answer, read at `now`, to a request that was sent to this start of the target
    /// at `sent_at`. An answer of another start than the current one changes nothing.
    ///
    /// ```
    /// use tarragoncourse::coordination::notice::{
    ///     NoticeChange, RateNotice, TargetNotice, TargetNotices,
    /// };
    /// use tarragoncourse::state::rate::RequestRate;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let start = ("cutbook-1".into(), 1000);
    /// let mut notices = TargetNotices::default();
    /// let rate = RequestRate::from_per_second(20.0).unwrap();
    /// let notice = TargetNotice { rate: RateNotice::Named(rate), leaving: false };
    /// assert_eq!(notices.handle_answer(&start, notice, now, now), NoticeChange::Rate);
    /// assert_eq!(notices.rate(), Some(rate));
    /// ```
    pub fn handle_answer(
        &mut self,
        start: &TargetStart,
        notice: TargetNotice,
        sent_at: Instant,
        now: Instant,
    ) -> NoticeChange {
        if self.start.get_or_insert_with(|| start.clone()) != start {
            return NoticeChange::None;
        }
        match notice.rate {
            RateNotice::Named(rate) => {
                self.rate = Some(rate);
                self.named_at = Some(now);
            }
            RateNotice::Absent if self.named_at.is_none_or(|at| sent_at > at) => self.rate = None,
            RateNotice::Absent | RateNotice::Unreadable => {}
        }
        let was_leaving = self.leaving;
        self.leaving |= notice.leaving;
        let rate_changed = differs(self.reported_rate, self.rate);
        if rate_changed {
            self.reported_rate = self.rate;
        }
        match (self.leaving && !was_leaving, rate_changed) {
            (true, _) => NoticeChange::Leaving,
            (false, true) => NoticeChange::Rate,
            (false, false) => NoticeChange::None,
        }
    }

    /// Sets the current start of the target, and forgets the notices of an earlier one.
    pub fn set_start(&mut self, start: &TargetStart) {
        if self.start.as_ref() != Some(start) {
            *self = TargetNotices {
                start: Some(start.clone()),
                ..TargetNotices::default()
            };
        }
    }

    /// Forgets all notices, because the target has ended.
    pub fn clear(&mut self) {
        *self = TargetNotices::default();
    }

    /// The rate that the target names, if any.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Whether the target has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }
}

/// Whether two rates differ clearly.
fn differs(a: Option<RequestRate>, b: Option<RequestRate>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => {
            let (a, b) = (a.per_second(), b.per_second());
            (a - b).abs() > a.max(b) * RATE_TOLERANCE
        }
        (a, b) => a.is_some() != b.is_some(),
    }
}

//! Counts of the answers of one service, per side of a roll-out, route and window.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, From};

use crate::state::digest::DigestBuilder;
use crate::state::id::Path;

/// Length of a window. All gates count in the same windows of the wall clock, so that trouble of the
/// whole service appears in the same window for both sides.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Number of a window: whole seconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// Returns the window of a time since the Unix epoch.
    pub fn at(since_epoch: Duration) -> WindowNumber {
        WindowNumber(since_epoch.as_secs())
    }

    /// Number of windows since an earlier one; zero if `earlier` is later.
    pub fn since(self, earlier: WindowNumber) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// The versions that a roll-out compares.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// All versions but the one that is rolled out.
    #[display("old")]
    Old,
    /// The version that is rolled out.
    #[display("new")]
    New,
}

/// Identifies a route in reports: a 32-bit digest of its path.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:08x}")]
pub struct RouteKey(pub u32);

impl RouteKey {
    /// Returns the key of the route at a path.
    pub fn of(path: &Path) -> RouteKey {
        let digest = DigestBuilder::default().text(path.as_str()).finish();
        let bytes = digest.0[..4].try_into();
        RouteKey(u32::from_le_bytes(bytes.expect("the slice has four bytes")))
    }
}

/// Number of buckets of a histogram; the last one starts at 185 s.
pub const TIME_BUCKETS: usize = 40;
/// Upper end of the first bucket.
const FIRST_BUCKET_MS: f64 = 0.25;
/// Buckets per doubling of the time.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// A histogram of response times, with two buckets per doubling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeHistogram(pub [u32; TIME_BUCKETS]);

impl Default for TimeHistogram {
    fn default() -> Self {
        TimeHistogram([0; TIME_BUCKETS])
    }
}

impl TimeHistogram {
    /// Adds a response time.
    pub fn record(&mut self, time: Duration) {
        let bucket = &mut self.0[bucket_of(time)];
        *bucket = bucket.saturating_add(1);
    }

    /// Number of recorded times.
    pub fn total(&self) -> u64 {
        self.count_from(0)
    }

    /// Number of times in the bucket `first` and all later ones.
    pub fn count_from(&self, first: usize) -> u64 {
        self.0.iter().skip(first).map(|n| u64::from(*n)).sum()
    }

    /// Returns the bucket in which the given fraction of the times is reached, or `None` if the
    /// histogram is empty.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::rollout::counts::{TimeHistogram, bucket_of};
    /// let mut times = TimeHistogram::default();
    /// (1..=100).for_each(|ms| times.record(Duration::from_millis(ms)));
    /// assert_eq!(times.quantile(0.5), Some(bucket_of(Duration::from_millis(50))));
    /// ```
    pub fn quantile(&self, fraction: f64) -> Option<usize> {
        let mut remaining = self.total() as f64 * fraction;
        self.0.iter().position(|n| {
            remaining -= f64::from(*n);
            *n > 0 && remaining <= 0.0
        })
    }

    fn add(&mut self, other: &TimeHistogram) {
        for (bucket, n) in self.0.iter_mut().zip(other.0) {
            *bucket = bucket.saturating_add(n);
        }
    }
}

/// Returns the bucket of a response time.
pub fn bucket_of(time: Duration) -> usize {
    let doublings = (time.as_secs_f64() * 1000.0 / FIRST_BUCKET_MS).log2();
    // A time of zero gives minus infinity, which converts to zero.
    let bucket = (doublings * BUCKETS_PER_DOUBLING).floor() + 1.0;
    (bucket.max(0.0) as usize).min(TIME_BUCKETS - 1)
}

/// The answers of one side to the requests of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Attempts without a usable answer: a server error, a broken connection or a timeout.
    pub failures: u32,
    /// Times of the other answers. An attempt that takes longer than [`OVERDUE_AFTER`] is recorded
    /// when it has taken that long.
    pub times: TimeHistogram,
}

/// Time after which an attempt is counted although it has no answer yet, so that a version that
/// does not answer at all is recognised before the deadlines of its requests.
pub const OVERDUE_AFTER: Duration = Duration::from_secs(2);

impl AnswerCounts {
    /// Number of attempts that were counted.
    pub fn total(&self) -> u64 {
        u64::from(self.failures) + self.times.total()
    }

    /// Adds the counts of another gate or window.
    pub fn add(&mut self, other: &AnswerCounts) {
        self.failures = self.failures.saturating_add(other.failures);
        self.times.add(&other.times);
    }
}

/// The answers of both sides to the requests of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    pub old: AnswerCounts,
    pub new: AnswerCounts,
}

impl RouteCounts {
    /// The counts of one side.
    pub fn side_mut(&mut self, side: Side) -> &mut AnswerCounts {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }
}

/// The answers in one window, per route.
pub type WindowCounts = BTreeMap<RouteKey, RouteCounts>;

//! What a run of the model is judged by.

use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;

use super::model::{APPLY_TIME, Scenario};
use crate::coordination::quota::REPLY_TIMEOUT;
use crate::state::workspace::RateLimit;

/// Length of the windows in which a limit holds.
const WINDOW: Duration = Duration::from_secs(5);
/// Most requests that may run in a window.
///
/// ```
/// use tarragoncourse::experiment::quota::window_bound;
/// use tarragoncourse::state::workspace::RateLimit;
/// assert_eq!(window_bound(&RateLimit::new(10.0, 0.0).unwrap()).round(), 75.0);
/// ```
pub fn window_bound(limit: &RateLimit) -> f64 {
    (limit.rate * WINDOW.as_secs_f64() + limit.burst) * 1.1 + 20.0
}

/// One workspace's requests.
#[derive(Debug, Default)]
struct Tally {
    /// Limits with the times from which they hold.
    limits: Vec<(Instant, Option<RateLimit>)>,
    admitted: Vec<Instant>,
    /// Requests that one central bucket would admit, by second.
    within: Vec<u32>,
    /// Requests that were admitted, by second of their arrival.
    served: Vec<u32>,
    /// The central bucket.
    tokens: f64,
    refilled_at: Option<Instant>,
}

/// The results of a run.
#[derive(Debug)]
pub struct Measurement {
    start: Instant,
    duration: Duration,
    nodes: usize,
    tallies: Vec<Tally>,
    waits: Histogram<u64>,
    messages: u64,
    bytes: u64,
    /// Worst number of requests in a window over the number that may run in it.
    pub worst_window: f64,
    /// Requests admitted and refused.
    pub admitted: u64,
    pub refused: u64,
}

impl Measurement {
    pub(super) fn new(scenario: &Scenario, start: Instant) -> Measurement {
        let tally = |limit| Tally {
            limits: vec![(start, limit)],
            ..Tally::default()
        };
        Measurement {
            start,
            duration: scenario.duration,
            nodes: scenario.nodes,
            tallies: scenario.loads.iter().map(|l| tally(l.limit)).collect(),
            waits: Histogram::new(3).expect("three digits are supported"),
            messages: 0,
            bytes: 0,
            worst_window: 0.0,
            admitted: 0,
            refused: 0,
        }
    }

    pub(super) fn record_message(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    pub(super) fn record_arrival(&mut self, workspace: usize, now: Instant) {
        let second = self.second_of(now);
        let tally = &mut self.tallies[workspace];
        let within = tally.is_within(now);
        let count = count_at(&mut tally.within, second);
        *count += u32::from(within);
    }

    pub(super) fn record_admitted(&mut self, workspace: usize, arrived: Instant, now: Instant) {
        let second = self.second_of(arrived);
        self.admitted += 1;
        let wait = (now - arrived).min(REPLY_TIMEOUT);
        self.waits
            .record(wait.as_micros() as u64)
            .expect("the histogram resizes automatically");
        let tally = &mut self.tallies[workspace];
        tally.admitted.push(now);
        *count_at(&mut tally.served, second) += 1;
    }

    pub(super) fn record_refused(&mut self) {
        self.refused += 1;
    }

    pub(super) fn record_limit(
        &mut self,
        workspace: usize,
        limit: Option<RateLimit>,
        now: Instant,
    ) {
        self.tallies[workspace].limits.push((now, limit));
    }

    pub(super) fn finish(&mut self) {
        self.worst_window = self.tallies.iter().map(Tally::worst).fold(0.0, f64::max);
    }

    /// Messages per node and second.
    pub fn messages_per_second(&self) -> f64 {
        self.messages as f64 / self.nodes as f64 / self.duration.as_secs_f64()
    }

    /// Bytes sent per node and second.
    pub fn bytes_per_second(&self) -> f64 {
        self.bytes as f64 / self.nodes as f64 / self.duration.as_secs_f64()
    }

    /// Mean and 99th percentile of the time that admitted requests waited, in milliseconds.
    pub fn wait_ms(&self) -> (f64, f64) {
        let p99 = self.waits.value_at_quantile(0.99) as f64;
        (self.waits.mean() / 1000.0, p99 / 1000.0)
    }

    /// Requests of a workspace that were admitted between two times of the run.
    pub fn admitted_between(&self, workspace: usize, from: Duration, to: Duration) -> usize {
        let range = self.start + from..self.start + to;
        let admitted = &self.tallies[workspace].admitted;
        admitted.iter().filter(|at| range.contains(at)).count()
    }

    /// Part of the requests within the limits that were refused, in seconds `from` to `to` of the run.
    pub fn wrongly_refused(&self, from: usize, to: usize) -> f64 {
        let sum = |count: fn(&Tally, usize) -> u32| -> u32 {
            let seconds = (from..to).flat_map(|s| self.tallies.iter().map(move |t| count(t, s)));
            seconds.sum()
        };
        f64::from(sum(Tally::missed_in)) / f64::from(sum(Tally::within_in).max(1))
    }

    /// Requests of a workspace within its limit that were refused, in seconds `from` to `to`.
    pub fn missed(&self, workspace: usize, from: usize, to: usize) -> u32 {
        let tally = &self.tallies[workspace];
        (from..to).map(|second| tally.missed_in(second)).sum()
    }

    fn second_of(&self, at: Instant) -> usize {
        (at - self.start).as_secs() as usize
    }
}

fn count_at(counts: &mut Vec<u32>, second: usize) -> &mut u32 {
    if counts.len() <= second {
        counts.resize(second + 1, 0);
    }
    &mut counts[second]
}

impl Tally {
    /// Whether one central bucket would admit a request that arrives now.
    fn is_within(&mut self, now: Instant) -> bool {
        let Some((_, Some(limit))) = self.limits.last() else {
            return true;
        };
        // As for the nodes, a workspace without a burst needs room for two requests at once.
        let capacity = limit.burst.max(1.0);
        let since = self.refilled_at.replace(now);
        let gained = since.map_or(capacity, |at| (now - at).as_secs_f64() * limit.rate);
        self.tokens = (self.tokens + gained).min(capacity);
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(within));
        within
    }

    /// Requests within the limit in a second of the run.
    fn within_in(&self, second: usize) -> u32 {
        self.within.get(second).copied().unwrap_or(0)
    }

    /// Requests within the limit in a second in place of which none was admitted.
    fn missed_in(&self, second: usize) -> u32 {
        let served = self.served.get(second).copied().unwrap_or(0);
        self.within_in(second).saturating_sub(served)
    }

    /// The largest part of its bound that a window reached. A changed limit counts in the windows
    /// that begin after the apply time; the larger of the two counts before.
    fn worst(&self) -> f64 {
        let mut first = 0;
        let mut worst: f64 = 0.0;
        for (last, end) in self.admitted.iter().enumerate() {
            while *end - self.admitted[first] >= WINDOW {
                first += 1;
            }
            if let Some(bound) = self.bound_from(*end - WINDOW) {
                worst = worst.max((last + 1 - first) as f64 / bound);
            }
        }
        worst
    }

    /// Bound of the window that begins at this time; `None` without a limit.
    fn bound_from(&self, begin: Instant) -> Option<f64> {
        let in_force = |(n, (at, _)): &(usize, &(Instant, Option<RateLimit>))| {
            *n == 0 || *at + APPLY_TIME <= begin
        };
        let last = self.limits.iter().enumerate().filter(in_force).count() - 1;
        let bounds = self.limits[last..]
            .iter()
            .map(|(_, limit)| limit.as_ref().map_or(f64::INFINITY, window_bound));
        let bound = bounds.fold(0.0, f64::max);
        bound.is_finite().then_some(bound)
    }
}

//! What is measured in one simulation.

use std::time::Duration;

use super::model::SLOTS;

/// Length of the windows in which arrivals are compared.
const WINDOW: Duration = Duration::from_secs(2);
/// Response time, in mean service times, beyond which an answer is late.
pub(super) const LATE_AFTER: f64 = 2.5;

/// Cost of a megabyte that crosses zones, in requests.
const REQUESTS_PER_MEGABYTE: f64 = 150.0;

/// Results of one simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Most work that a target completed, relative to its speed, over the mean of all targets.
    pub busiest: f64,
    /// Most arrivals at a target, relative to its speed, over the mean, in the average window.
    pub busiest_window: f64,
    /// Most arrivals at a target over the mean, in the average window.
    pub arrivals_window: f64,
    /// 99th percentile of a target's queue.
    pub queue_p99: u64,
    /// Share of the slots that is idle while attempts queue at other targets.
    pub idle_share: f64,
    /// Share of the answers that are late.
    pub late_share: f64,
    /// Share of the requests that were refused.
    pub refused_share: f64,
    /// Share of the requests that crossed zones.
    pub crossed_share: f64,
    /// Cost per request, in requests: late answers, refusals and bytes between zones.
    pub cost: f64,
    /// Probes per request.
    pub probes_per_request: f64,
}

/// Collects what is measured.
pub(super) struct Recorder {
    speeds: Vec<f64>,
    work: Vec<f64>,
    window: Vec<u32>,
    window_index: u64,
    /// Sums over windows of the two ratios, and the number of windows.
    window_sums: (f64, f64, u32),
    queue_lengths: Vec<u64>,
    slot_seconds: f64,
    idle_seconds: f64,
    pub(super) requests: u64,
    pub(super) answered: u64,
    pub(super) late: u64,
    pub(super) refused: u64,
    pub(super) crossed: u64,
    pub(super) crossed_bytes: u64,
    pub(super) probes: u64,
}

impl Recorder {
    pub(super) fn new(speeds: Vec<f64>) -> Recorder {
        Recorder {
            work: vec![0.0; speeds.len()],
            window: vec![0; speeds.len()],
            speeds,
            window_index: 0,
            window_sums: (0.0, 0.0, 0),
            queue_lengths: Vec::new(),
            slot_seconds: 0.0,
            idle_seconds: 0.0,
            requests: 0,
            answered: 0,
            late: 0,
            refused: 0,
            crossed: 0,
            crossed_bytes: 0,
            probes: 0,
        }
    }

    /// Records an arrival at a target, at a time since the start of the measurement.
    pub(super) fn record_arrival(&mut self, target: usize, elapsed: Duration) {
        let index = (elapsed.as_secs_f64() / WINDOW.as_secs_f64()) as u64;
        if index != self.window_index {
            self.window_index = index;
            self.end_window();
        }
        self.requests += 1;
        self.window[target] += 1;
    }

    /// Records a completion at a target of a speed.
    pub(super) fn record_completion(&mut self, target: usize, speed: f64) {
        self.work[target] += 1.0 / speed;
    }

    /// Records the queue lengths and idle slots of all targets, which lasted for a time.
    pub(super) fn record_state(
        &mut self,
        state: impl Iterator<Item = (u32, u64)>,
        lasted: Duration,
    ) {
        let (mut idle, mut queued, mut targets) = (0, 0, 0);
        for (running, waiting) in state {
            self.queue_lengths.push(waiting);
            idle += u64::from(SLOTS.saturating_sub(running));
            queued += waiting;
            targets += 1;
        }
        let seconds = lasted.as_secs_f64();
        self.slot_seconds += f64::from(SLOTS * targets) * seconds;
        self.idle_seconds += idle.min(queued) as f64 * seconds;
    }

    pub(super) fn figures(mut self) -> Figures {
        let requests = self.requests.max(1) as f64;
        let windows = f64::from(self.window_sums.2.max(1));
        self.queue_lengths.sort_unstable();
        let bytes_cost = self.crossed_bytes as f64 / 1e6 * REQUESTS_PER_MEGABYTE;
        let p99 = self.queue_lengths.len() * 99 / 100;
        Figures {
            busiest: max_over_mean(self.work.iter().copied()),
            busiest_window: self.window_sums.0 / windows,
            arrivals_window: self.window_sums.1 / windows,
            queue_p99: self.queue_lengths.get(p99).copied().unwrap_or(0),
            idle_share: self.idle_seconds / self.slot_seconds.max(f64::MIN_POSITIVE),
            late_share: self.late as f64 / self.answered.max(1) as f64,
            refused_share: self.refused as f64 / requests,
            crossed_share: self.crossed as f64 / requests,
            cost: ((self.late + self.refused) as f64 + bytes_cost) / requests,
            probes_per_request: self.probes as f64 / requests,
        }
    }

    fn end_window(&mut self) {
        let arrivals = || self.window.iter().map(|n| f64::from(*n));
        let relative = arrivals().zip(&self.speeds).map(|(n, speed)| n / speed);
        self.window_sums.0 += max_over_mean(relative);
        self.window_sums.1 += max_over_mean(arrivals());
        self.window_sums.2 += 1;
        self.window.fill(0);
    }
}

fn max_over_mean(values: impl Iterator<Item = f64>) -> f64 {
    let (max, sum, count) = values.fold((0.0, 0.0, 0.0), |(max, sum, count), v| {
        (f64::max(max, v), sum + v, count + 1.0)
    });
    max * count / f64::max(sum, f64::MIN_POSITIVE)
}

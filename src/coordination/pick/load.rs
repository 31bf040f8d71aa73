//! What is known about the load and the speed of a target: reported loads by their age, response
//! times, and recent refusals.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of the newest sample in a target's mean response time, once there are many samples.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;
/// Number of samples at the service's mean response time that are added to a target's own. Single
/// response times vary by as much as their mean.
const PRIOR_SAMPLES: f64 = 1.0;
/// Largest sample, in mean response times. A few requests take many times as long as the others on
/// any target.
const SAMPLE_MAX: f64 = 4.0;
/// Shortest mean response time by which reported loads change, in seconds.
const RESPONSE_TIME_MIN: f64 = 0.001;
/// Weight of one recent refusal relative to the load. A target that sheds requests answers quickly
/// and would otherwise look idle.
const REFUSAL_WEIGHT: f64 = 8.0;
/// Maximum number of recent refusals that count.
const REFUSALS_MAX: f64 = 16.0;
/// Recent refusals below this value count as zero, so that the target is tried again.
const REFUSALS_MIN: f64 = 0.05;
/// Time in which a refusal loses half of its weight.
const REFUSAL_HALF_LIFE: Duration = Duration::from_millis(250);

/// Load of a target caused by other nodes, as its gate last reported it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    attempts: f64,
    at: Instant,
}

impl LoadReport {
    /// Subtracts the reporting node's own attempts from the load at the gate.
    pub(super) fn new(load: u32, in_flight: u32, now: Instant) -> LoadReport {
        LoadReport {
            attempts: f64::from(load.saturating_sub(in_flight)),
            at: now,
        }
    }

    /// Number of attempts of other nodes that is expected now, by the mean `response_time` in
    /// seconds. The attempts that were reported end within about that time, or later if they had to
    /// queue; those that arrive meanwhile approach the `usual` number.
    pub(super) fn expected(&self, usual: f64, slots: f64, response_time: f64, now: Instant) -> f64 {
        let rounds = (self.attempts / slots).max(1.0);
        let drain_time = response_time.max(RESPONSE_TIME_MIN) * rounds;
        let remaining = (-self.age(now).as_secs_f64() / drain_time).exp();
        usual + (self.attempts - usual) * remaining
    }

    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Number of attempts of other nodes at the time of the report.
    pub(super) fn attempts(&self) -> f64 {
        self.attempts
    }
}

/// Moving average of a target's response time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseTime {
    mean: f64,
    samples: f64,
}

impl ResponseTime {
    pub(super) fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.samples += 1.0;
        let capped = match self.mean > 0.0 {
            true => sample.min(self.mean * SAMPLE_MAX),
            false => sample,
        };
        let weight = (1.0 / self.samples).max(RESPONSE_TIME_WEIGHT);
        self.mean += (capped - self.mean) * weight;
    }

    /// Mean in seconds, or `None` before the first response.
    pub(super) fn mean(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.mean)
    }

    /// Mean in seconds, closer to that of the service the fewer samples there are.
    pub(super) fn estimate(&self, service_mean: f64) -> f64 {
        let samples = self.samples.min(1.0 / RESPONSE_TIME_WEIGHT);
        (self.mean * samples + service_mean * PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES)
    }
}

/// Number of recent refusals of a target, decayed up to the last one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Refusals {
    count: f64,
    at: Option<Instant>,
}

impl Refusals {
    pub(super) fn record(&mut self, now: Instant) {
        self.count = (self.recent(now) + 1.0).min(REFUSALS_MAX);
        self.at = Some(now);
    }

    pub(super) fn halve(&mut self) {
        self.count /= 2.0;
    }

    /// Factor on the load of a target that has refused attempts recently.
    pub(super) fn load_factor(&self, now: Instant) -> f64 {
        1.0 + self.recent(now) * REFUSAL_WEIGHT
    }

    fn recent(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64() / REFUSAL_HALF_LIFE.as_secs_f64();
        let decayed = self.count * 0.5f64.powf(age);
        if decayed < REFUSALS_MIN { 0.0 } else { decayed }
    }
}

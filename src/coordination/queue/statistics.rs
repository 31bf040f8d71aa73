//! Statistics of the queue: service times, refusals and running attempts of each kind of work.

use std::time::Duration;

use super::{Charge, Queue, WorkKind};

/// Weight of the newest sample in a mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Weight of the newest arrival of a kind in the moving average of its share of refused arrivals.
const REFUSAL_RATE_WEIGHT: f64 = 0.02;
/// Share of refused arrivals of a kind above which the overload of this kind counts as sustained.
const SUSTAINED_REFUSAL_RATE: f64 = 0.1;
/// Maximum number of kinds of work with separate statistics. Further kinds use the mean service
/// time of all kinds, and their overload never counts as sustained.
pub(super) const KINDS_MAX: usize = 64;

impl Queue {
    /// Mean service time of all answered attempts.
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.overall_mean)
    }

    /// Records the service time of an answered attempt.
    pub fn record_service_time(&mut self, kind: WorkKind, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        if self.overall_mean == 0.0 {
            self.overall_mean = elapsed;
        }
        self.overall_mean += (elapsed - self.overall_mean) * SERVICE_TIME_WEIGHT;
        if self.mean_by_kind.len() < KINDS_MAX || self.mean_by_kind.contains_key(&kind) {
            let mean = self.mean_by_kind.entry(kind).or_insert(elapsed);
            *mean += (elapsed - *mean) * SERVICE_TIME_WEIGHT;
        }
    }

    pub(super) fn mean_for(&self, kind: WorkKind) -> Duration {
        let mean = self.mean_by_kind.get(&kind).copied();
        Duration::from_secs_f64(mean.unwrap_or(self.overall_mean))
    }

    /// Records an arrival and whether it was refused.
    pub fn record_arrival(&mut self, kind: WorkKind, refused: bool) {
        self.shares.record_arrival(kind);
        if self.refusal_rates.len() < KINDS_MAX || self.refusal_rates.contains_key(&kind) {
            let sample = f64::from(u8::from(refused));
            let refusal_rate = self.refusal_rates.entry(kind).or_default();
            *refusal_rate += (sample - *refusal_rate) * REFUSAL_RATE_WEIGHT;
        }
    }

    pub(super) fn is_overload_sustained(&self, kind: WorkKind) -> bool {
        let refusal_rate = self.refusal_rates.get(&kind);
        refusal_rate.is_some_and(|rate| *rate > SUSTAINED_REFUSAL_RATE)
    }

    /// Records that an attempt was sent to the target.
    pub fn record_start(&mut self, kind: WorkKind) {
        self.shares.record_start(kind);
        *self.running_by_kind.entry(kind).or_default() += 1;
    }

    /// Records that an attempt at the target ended after this time.
    pub fn record_end(&mut self, kind: WorkKind, charge: Charge, elapsed: Duration) {
        self.levels[kind.level()].flows.settle(charge, elapsed);
        if let Some(running) = self.running_by_kind.get_mut(&kind) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running_by_kind.remove(&kind);
            }
        }
    }
}

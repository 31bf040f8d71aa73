//! Statistics of one target.

use std::time::Duration;

use tokio::time::Instant;

use super::ejection::Ejection;
use super::load::{LoadReport, Refusals, ResponseTime};
use crate::state::id::Incarnation;
use crate::state::member::Health;
use crate::state::routing::Candidate;

/// Minimum share of its slots that a cold target gets.
const RAMP_SHARE_MIN: f64 = 0.1;
/// Factor on the load of a target whose node is suspected of having failed.
const SUSPECT_LOAD_FACTOR: f64 = 4.0;
/// Time for which a reported load counts in the mean of its zone.
const REPORT_TTL: Duration = Duration::from_secs(3);

#[derive(Debug)]
pub(super) struct TargetStats {
    pub(super) incarnation: Incarnation,
    pub(super) in_flight: u32,
    pub(super) report: Option<LoadReport>,
    pub(super) response_time: ResponseTime,
    pub(super) refusals: Refusals,
    pub(super) ejection: Ejection,
    /// Part of an attempt that is due to the target by its share; `None` before the first pick.
    pub(super) credit: Option<f64>,
    first_seen: Instant,
    pub(super) last_used: Instant,
}

impl TargetStats {
    pub(super) fn new(incarnation: Incarnation, now: Instant) -> TargetStats {
        TargetStats {
            incarnation,
            in_flight: 0,
            report: None,
            response_time: ResponseTime::default(),
            refusals: Refusals::default(),
            ejection: Ejection::default(),
            credit: None,
            first_seen: now,
            last_used: now,
        }
    }

    pub(super) fn record_load(&mut self, load: u32, now: Instant) {
        self.report = Some(LoadReport::new(load, self.in_flight, now));
    }

    pub(super) fn is_unavailable(&self, now: Instant) -> bool {
        self.ejection.is_unavailable(self.in_flight, now)
    }

    /// Share of its slots that other nodes occupied at the last report, unless that is too old.
    pub(super) fn reported_share(&self, slots: u32, now: Instant) -> Option<f64> {
        let report = self.report.filter(|r| r.age(now) < REPORT_TTL)?;
        Some(report.attempts() / f64::from(slots.max(1)))
    }

    /// Share of its slots that a target gets. For a cold target it grows from [`RAMP_SHARE_MIN`] to
    /// one during its ramp time; a suspected one gets less.
    pub(super) fn usable_share(&self, c: &Candidate, now: Instant) -> f64 {
        match c.health {
            Health::Suspect => 1.0 / SUSPECT_LOAD_FACTOR,
            Health::Cold if !c.ramp.is_zero() => {
                let age = (now - self.first_seen).as_secs_f64() / c.ramp.as_secs_f64();
                age.clamp(RAMP_SHARE_MIN, 1.0)
            }
            _ => 1.0,
        }
    }
}

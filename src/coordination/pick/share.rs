//! The share of a node's requests that each target of a service gets.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use super::load::LoadReport;
use super::stats::TargetStats;
use crate::state::routing::Candidate;

/// Load, as a share of the slots, that is added to every target when loads are compared. It bounds
/// the effect of a single report.
const IDLE_LOAD: f64 = 0.5;
/// Load of the own zone, as a share of its slots, below which fast targets get more than their part of
/// the work: a caller is better off there while they have free slots.
const FAST_FIRST_LOAD: f64 = 0.75;
/// Load below which the preference for fast targets grows no further.
const IDLE_ZONE_LOAD: f64 = 0.45;
/// Power with which response times change the shares in an idle zone; one gives each target the same
/// part of its slots.
const FAST_FIRST_POWER: f64 = 2.5;
/// Power with which an expected load that differs from the zone's mean changes a share.
const LOAD_POWER: f64 = 2.0;
/// Range of the factor by which an expected load changes a share. A target that reports less than
/// its load gains at most the upper end.
const LOAD_FACTOR_RANGE: (f64, f64) = (0.1, 1.25);
/// Attempts by which an own load of all slots delays the next attempt at a target.
const OWN_LOAD_WEIGHT: f64 = 4.0;
/// Load of the other zones, relative to that of the own zone, as long as nothing is known of it. A
/// full zone is left by some requests even then, and their answers tell.
const UNKNOWN_ZONES_LOAD: f64 = 0.5;
/// Maximum number of attempts that a target may be ahead of or behind its share.
pub(super) const CREDIT_MAX: f64 = 2.0;

/// What a target offers to the next attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offer<'a> {
    pub(super) candidate: &'a Candidate,
    /// Expected load with one more attempt, weighted by refusals.
    pub(super) load: f64,
    /// Load of this node's own attempts.
    own: f64,
    /// Relative share of the attempts.
    pub(super) weight: f64,
}

impl Offer<'_> {
    /// Attempts by which this node's own attempts delay the next one. With few nodes they are most
    /// of the load, and this node knows them exactly.
    pub(super) fn own_penalty(&self) -> f64 {
        self.own * OWN_LOAD_WEIGHT
    }
}

/// Means over the targets of a service, which stand for what is not known of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceMeans<'a> {
    zone: &'a str,
    /// Share of the slots in the own zone that other nodes occupy.
    near: f64,
    /// The same in all other zones.
    far: f64,
    /// Response time in seconds.
    response_time: f64,
}

impl<'z> ServiceMeans<'z> {
    pub(super) fn of(
        candidates: &[Candidate],
        stats: &HashMap<SocketAddr, TargetStats>,
        zone: &'z str,
        now: Instant,
    ) -> ServiceMeans<'z> {
        let known = || {
            candidates
                .iter()
                .filter_map(|c| Some((c, stats.get(&c.peer)?)))
        };
        let others = |near: bool| {
            let in_zone = known().filter(|(c, _)| (*c.zone == *zone) == near);
            mean(in_zone.filter_map(|(c, s)| s.reported_share(c.slots, now)))
        };
        let near = others(true);
        let far = others(false);
        ServiceMeans {
            zone,
            near: near.unwrap_or(0.0),
            far: far.unwrap_or(near.unwrap_or(0.0) * UNKNOWN_ZONES_LOAD),
            response_time: mean(known().filter_map(|(_, s)| s.response_time.mean())).unwrap_or(1.0),
        }
    }

    pub(super) fn is_near(&self, candidate: &Candidate) -> bool {
        *candidate.zone == *self.zone
    }

    pub(super) fn offer<'a>(
        &self,
        candidate: &'a Candidate,
        stats: &TargetStats,
        now: Instant,
    ) -> Offer<'a> {
        let mean_share = if self.is_near(candidate) {
            self.near
        } else {
            self.far
        };
        let slots = f64::from(candidate.slots.max(1));
        let usable = slots * stats.usable_share(candidate, now);
        let response_time = stats.response_time.estimate(self.response_time);
        let usual = mean_share * slots;
        let expected = |r: LoadReport| r.expected(usual, slots, response_time, now);
        let others = stats.report.map_or(usual, expected) / usable;
        let own = f64::from(stats.in_flight) / usable;
        let load_factor = ((IDLE_LOAD + mean_share) / (IDLE_LOAD + others)).powf(LOAD_POWER);
        let (least, most) = LOAD_FACTOR_RANGE;
        let refusal_factor = stats.refusals.load_factor(now);
        Offer {
            candidate,
            load: (own + others + 1.0 / usable) * refusal_factor,
            own,
            // The factor is squared because the share determines how many refusals will follow.
            weight: usable * load_factor.clamp(least, most)
                / response_time.powf(speed_power(self.near))
                / refusal_factor.powi(2),
        }
    }
}

/// Power with which response times change the shares, by the load of the own zone.
fn speed_power(zone_load: f64) -> f64 {
    let idle = (FAST_FIRST_LOAD - zone_load) / (FAST_FIRST_LOAD - IDLE_ZONE_LOAD);
    1.0 + (FAST_FIRST_POWER - 1.0) * idle.clamp(0.0, 1.0)
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), v| (sum + v, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

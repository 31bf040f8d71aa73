//! The model: fleets, disturbances and service times.

use std::f64::consts::TAU;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use crate::state::id::Incarnation;
use crate::state::member::Health;
use crate::state::routing::Candidate;

/// Names of the availability zones.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Slots of each target.
pub const SLOTS: u32 = 18;
/// Simulated time in which requests arrive.
pub const RUN_TIME: Duration = Duration::from_secs(120);
/// Time at the start of a run that is not measured, in which the nodes learn the targets' speeds.
pub const WARM_UP: Duration = Duration::from_secs(40);
/// Time at which a target turns slow.
pub const SLOW_FROM: Duration = Duration::from_secs(60);
/// Factor by which it turns slow.
const SLOW_FACTOR: f64 = 4.0;
/// Standard deviation of the logarithm of service times.
const SERVICE_SPREAD: f64 = 0.8;
/// Share of the requests that take [`LONG_FACTOR`] times as long.
const LONG_SHARE: f64 = 0.01;
const LONG_FACTOR: f64 = 5.0;
/// Bytes of a request and its response.
const REQUEST_BYTES: std::ops::Range<u64> = 1_000..4_000;
/// Change of a zone's demand, as a share of its mean, and the period of the change.
const SWING: f64 = 0.6;
const SWING_PERIOD: Duration = Duration::from_secs(20);
/// Age of a reported load when the answer that carries it arrives.
const NEWS_AGE_MS: std::ops::Range<u64> = 50..1_000;

/// One service and the nodes that send requests to it.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of nodes, all of which choose targets.
    pub nodes: usize,
    /// Number of targets.
    pub targets: usize,
    /// Speeds of the targets, repeated in this order.
    pub speeds: &'static [f64],
    /// Number of zones.
    pub zones: usize,
    /// Mean service time of a target of speed one.
    pub service_ms: u64,
}

/// What disturbs the targets or the demand.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Disturbance {
    /// Nothing.
    #[display("none")]
    None,
    /// The demand of each zone rises and falls.
    #[display("zones swing")]
    SwingingZones,
    /// The first target always reports a load of zero.
    #[display("wrong load")]
    WrongLoad,
    /// The second target turns slow by a factor of four.
    #[display("slow x4")]
    SlowTarget,
}

/// One simulated workload.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The service and its nodes.
    pub fleet: Fleet,
    /// Offered load as a share of the capacity of the service.
    pub utilisation: f64,
    /// What goes wrong.
    pub disturbance: Disturbance,
}

impl Fleet {
    /// Factor on the speed of a target.
    pub fn speed(&self, target: usize) -> f64 {
        self.speeds[target % self.speeds.len()]
    }

    /// Zone of a node.
    pub(super) fn node_zone(&self, node: usize) -> usize {
        node % self.zones
    }

    /// Zone of a target; each zone has targets of all speeds if there are enough.
    pub(super) fn target_zone(&self, target: usize) -> usize {
        (target + target / ZONES.len()) % self.zones
    }

    /// The targets as a node's routing table has them.
    pub(super) fn candidates(&self) -> Vec<Candidate> {
        let candidate = |n| {
            let peer = SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000));
            Candidate {
                peer,
                gate_addr: peer,
                incarnation: Incarnation(1),
                start: (format!("target-{n}").into(), 0),
                zone: ZONES[self.target_zone(n)].into(),
                health: Health::Ready,
                slots: SLOTS,
                ramp: Duration::ZERO,
            }
        };
        (0..self.targets).map(candidate).collect()
    }
}

impl Case {
    /// Requests per second of the whole fleet.
    pub(super) fn rate(&self) -> f64 {
        let speeds: f64 = (0..self.fleet.targets).map(|t| self.fleet.speed(t)).sum();
        let mean_work = 1.0 + LONG_SHARE * (LONG_FACTOR - 1.0);
        let capacity = speeds * f64::from(SLOTS) / (self.service_time().as_secs_f64() * mean_work);
        self.utilisation * capacity
    }

    /// Mean service time of a target of speed one.
    pub(super) fn service_time(&self) -> Duration {
        Duration::from_millis(self.fleet.service_ms)
    }

    /// Speed of a target at a time since the start.
    pub(super) fn speed_at(&self, target: usize, elapsed: Duration) -> f64 {
        let is_slow = self.disturbance == Disturbance::SlowTarget && target == 1;
        match is_slow && elapsed >= SLOW_FROM {
            true => self.fleet.speed(target) / SLOW_FACTOR,
            false => self.fleet.speed(target),
        }
    }

    /// Draws the node at which a request arrives.
    pub(super) fn draw_node(&self, elapsed: Duration, rng: &mut fastrand::Rng) -> usize {
        loop {
            let node = rng.usize(..self.fleet.nodes);
            let phase = self.fleet.node_zone(node) as f64 / ZONES.len() as f64;
            let turns = elapsed.as_secs_f64() / SWING_PERIOD.as_secs_f64() + phase;
            let demand = 1.0 + SWING * (turns * TAU).sin();
            let swings = self.disturbance == Disturbance::SwingingZones;
            if !swings || rng.f64() * (1.0 + SWING) < demand {
                return node;
            }
        }
    }

    /// Draws the work of a request, as the service time at a target of speed one.
    pub(super) fn draw_work(&self, rng: &mut fastrand::Rng) -> Duration {
        let normal = (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (TAU * rng.f64()).cos();
        let factor = (SERVICE_SPREAD * normal - SERVICE_SPREAD.powi(2) / 2.0).exp();
        let is_long = rng.f64() < LONG_SHARE;
        let long = if is_long { LONG_FACTOR } else { 1.0 };
        self.service_time().mul_f64(factor * long)
    }
}

/// Draws the bytes of a request and its response.
pub(super) fn draw_bytes(rng: &mut fastrand::Rng) -> u64 {
    rng.u64(REQUEST_BYTES)
}

/// Draws the age of a reported load.
pub(super) fn draw_news_age(rng: &mut fastrand::Rng) -> Duration {
    Duration::from_millis(rng.u64(NEWS_AGE_MS))
}

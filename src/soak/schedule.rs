//! Which faults come when, decided by a seed.

use std::time::Duration;

use super::proxy::Mode;
use crate::standin::faults::PlatformFaults;
use crate::standin::target::Behaviour;

/// Mean time between the starts of two faults.
const FAULT_INTERVAL_MEAN: Duration = Duration::from_millis(900);
/// Mean time between two changes of the operators.
const CHANGE_INTERVAL_MEAN: Duration = Duration::from_millis(1500);
/// Changes of a burst, one right after the other.
const BURST_CHANGES: usize = 8;
/// Longest time that a fault lasts.
const FAULT_DURATION_MAX: Duration = Duration::from_secs(4);
/// Time around a planned stop in which another trouble may be the reason for what is seen.
const DISTURBANCE_WINDOW: Duration = Duration::from_secs(8);

/// A link that a proxy stands in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// From a node to the platform.
    Platform,
    /// From other nodes to a node's gate.
    Gate,
    /// From a node to the target beside it.
    Target,
}

/// A fault from outside.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A node is killed and starts again.
    Kill(usize),
    /// A node is asked to stop, and starts again.
    Stop(usize),
    /// A node is frozen.
    Pause(usize),
    /// A node is told to read its settings again.
    Reload(usize),
    /// A link misbehaves.
    Link(usize, Link, Mode),
    /// The platform's store misbehaves.
    Store(PlatformFaults),
    /// A target misbehaves.
    Target(usize, Behaviour),
}

/// What happens to the fleet.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// An operator changes the settings.
    Change,
    /// Something fails.
    Fault(Fault),
}

impl Event {
    /// Name in the report.
    pub fn name(&self) -> &'static str {
        let Event::Fault(fault) = self else {
            return "change";
        };
        match fault {
            Fault::Kill(_) => "kill",
            Fault::Stop(_) => "stop",
            Fault::Pause(_) => "pause",
            Fault::Reload(_) => "reload",
            Fault::Link(_, Link::Platform, _) => "link to the platform",
            Fault::Link(_, Link::Gate, _) => "link to a gate",
            Fault::Link(_, Link::Target, _) => "link to a target",
            Fault::Store(_) => "store",
            Fault::Target(..) => "target",
        }
    }
}

/// A trouble with its time.
#[derive(Clone, Debug)]
pub struct ScheduledEvent {
    /// Time from the start.
    pub offset: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What it is.
    pub event: Event,
}

impl ScheduledEvent {
    /// Whether it may disturb requests that a node took at a time.
    pub fn disturbs(&self, node: usize, at: Duration) -> bool {
        let near = self.offset < at + DISTURBANCE_WINDOW
            && at < self.offset + self.duration + DISTURBANCE_WINDOW;
        let affects = match self.event {
            Event::Change | Event::Fault(Fault::Reload(_) | Fault::Store(_)) => false,
            Event::Fault(Fault::Link(n, Link::Platform, _)) => n == node,
            // A request may have gone on to any other node.
            Event::Fault(_) => true,
        };
        near && affects
    }
}

/// Draws a schedule for a fleet of some nodes.
///
/// ```
/// use std::time::Duration;
/// use tarragoncourse::soak::schedule::generate_schedule;
/// let time = Duration::from_secs(20);
/// let (a, b) = (generate_schedule(7, 4, time), generate_schedule(7, 4, time));
/// assert_eq!(format!("{a:?}"), format!("{b:?}"));
/// assert!(a.iter().all(|p| p.offset + p.duration <= time));
/// ```
pub fn generate_schedule(seed: u64, nodes: usize, duration: Duration) -> Vec<ScheduledEvent> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut events = Vec::new();
    let mut offset = exponential_interval(&mut rng, FAULT_INTERVAL_MEAN);
    while offset < duration {
        let longest = FAULT_DURATION_MAX.min(duration - offset).as_secs_f64();
        events.push(ScheduledEvent {
            offset,
            duration: Duration::from_secs_f64(rng.f64() * longest),
            event: Event::Fault(random_fault(&mut rng, nodes)),
        });
        offset += exponential_interval(&mut rng, FAULT_INTERVAL_MEAN);
    }
    let mut offset = exponential_interval(&mut rng, CHANGE_INTERVAL_MEAN);
    while offset < duration {
        let count = if rng.u8(..8) == 0 { BURST_CHANGES } else { 1 };
        let change = ScheduledEvent {
            offset,
            duration: Duration::ZERO,
            event: Event::Change,
        };
        events.extend(std::iter::repeat_n(change, count));
        offset += exponential_interval(&mut rng, CHANGE_INTERVAL_MEAN);
    }
    events
}

/// A time between two events that come independently of each other.
fn exponential_interval(rng: &mut fastrand::Rng, mean: Duration) -> Duration {
    mean.mul_f64(-(1.0 - rng.f64()).ln())
}

fn random_fault(rng: &mut fastrand::Rng, nodes: usize) -> Fault {
    let node = rng.usize(..nodes);
    match rng.u8(..12) {
        0 => Fault::Kill(node),
        1 | 2 => Fault::Stop(node),
        3 => Fault::Pause(node),
        4 => Fault::Reload(node),
        5 | 6 => Fault::Link(node, Link::Gate, random_mode(rng)),
        7 | 8 => Fault::Link(node, Link::Target, random_mode(rng)),
        9 => Fault::Link(node, Link::Platform, random_mode(rng)),
        10 => Fault::Store(random_platform_faults(rng)),
        _ => Fault::Target(node, random_behaviour(rng)),
    }
}

fn random_mode(rng: &mut fastrand::Rng) -> Mode {
    match rng.u8(..5) {
        0 => Mode::Delay(Duration::from_millis(rng.u64(5..200))),
        1 => Mode::Close,
        2 => Mode::DropAll,
        3 => Mode::DropResponses,
        _ => Mode::DropRequests,
    }
}

fn random_platform_faults(rng: &mut fastrand::Rng) -> PlatformFaults {
    let none = PlatformFaults::default();
    match rng.u8(..5) {
        0 => PlatformFaults { down: true, ..none },
        1 => PlatformFaults {
            slow_ms: rng.u64(50..1500),
            ..none
        },
        2 => PlatformFaults {
            lose_answers: rng.u32(1..6),
            ..none
        },
        3 => PlatformFaults {
            freeze_leases: true,
            ..none
        },
        _ => PlatformFaults {
            reads_per_second: 2,
            writes_per_second: 2,
            ..none
        },
    }
}

fn random_behaviour(rng: &mut fastrand::Rng) -> Behaviour {
    let normal = super::fleet::NORMAL_BEHAVIOUR;
    match rng.u8(..4) {
        0 => Behaviour {
            shed: true,
            ..normal
        },
        1 => Behaviour {
            service_ms: rng.u64(200..2000),
            ..normal
        },
        2 => Behaviour {
            cut: true,
            ..normal
        },
        _ => Behaviour {
            healthy: false,
            ..normal
        },
    }
}

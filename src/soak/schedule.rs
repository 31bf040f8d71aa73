//! Generates the schedule of faults and configuration changes from a seed.

use std::time::Duration;

use super::proxy::Mode;
use crate::standin::faults::PlatformFaults;
use crate::standin::target::Behaviour;

/// Mean time between the starts of two faults.
const FAULT_INTERVAL_MEAN: Duration = Duration::from_millis(900);
/// Mean time between two configuration changes, or bursts of changes.
const CHANGE_INTERVAL_MEAN: Duration = Duration::from_millis(1500);
/// Number of changes in a burst; all start at the same time.
const BURST_CHANGES: usize = 8;
/// Longest duration of a fault.
const FAULT_DURATION_MAX: Duration = Duration::from_secs(4);
/// Mean time between the starts of two named rates.
const RATE_INTERVAL_MEAN: Duration = Duration::from_secs(3);
/// Longest time for which a target names a rate.
const RATE_DURATION_MAX: Duration = Duration::from_secs(8);
/// Time before and after a planned stop within which another event may be the cause of a failed
/// request.
const DISTURBANCE_WINDOW: Duration = Duration::from_secs(8);

/// A link that runs through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// From a node to the platform.
    Platform,
    /// From other nodes to a node's gate.
    Gate,
    /// From a node to its local target.
    Target,
}

/// A fault that is injected from outside the programs. Nodes are given by index.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Kills a node and restarts it.
    Kill(usize),
    /// Stops a node gracefully and restarts it.
    Stop(usize),
    /// Suspends the process of a node with `SIGSTOP`.
    Pause(usize),
    /// Makes a node reload its settings with `SIGHUP`.
    Reload(usize),
    /// Sets the mode of the proxy on a link.
    Link(usize, Link, Mode),
    /// Sets faults of the platform stand-in.
    Platform(PlatformFaults),
    /// Changes the behaviour of a node's target.
    Target(usize, Behaviour),
    /// Makes a node's target name a rate in its answers, in requests per second.
    Rate(usize, u32),
}

/// An event of the schedule.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// An administrator applies a configuration change.
    Change,
    /// A fault is injected.
    Fault(Fault),
}

impl Event {
    /// Name of the kind of event in the report.
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
            Fault::Platform(_) => "store",
            Fault::Target(..) => "target",
            Fault::Rate(..) => "named rate",
        }
    }
}

/// An event with its start time and duration.
#[derive(Clone, Debug)]
pub struct ScheduledEvent {
    /// Time from the start of the schedule to the start of the event.
    pub offset: Duration,
    /// Time until the fault is undone, for example until a killed node is restarted; zero for
    /// changes.
    pub duration: Duration,
    /// The change or fault.
    pub event: Event,
}

impl ScheduledEvent {
    /// Whether the event may have caused failures of requests that `node` accepted at the offset
    /// `at`.
    pub fn disturbs(&self, node: usize, at: Duration) -> bool {
        let near = self.offset < at + DISTURBANCE_WINDOW
            && at < self.offset + self.duration + DISTURBANCE_WINDOW;
        let affects = match self.event {
            Event::Change
            | Event::Fault(Fault::Reload(_) | Fault::Platform(_) | Fault::Rate(..)) => false,
            Event::Fault(Fault::Link(n, Link::Platform, _)) => n == node,
            // The node may have forwarded the request to any other node.
            Event::Fault(_) => true,
        };
        near && affects
    }

    /// Whether the event can keep a node from hearing what its target says during another event.
    pub fn hides_answers(&self, node: usize, other: &ScheduledEvent) -> bool {
        let overlaps = self.offset < other.offset + other.duration
            && other.offset < self.offset + self.duration;
        let on_link =
            matches!(self.event, Event::Fault(Fault::Link(n, Link::Target, _)) if n == node);
        let cuts_answers =
            matches!(self.event, Event::Fault(Fault::Target(n, b)) if n == node && b.cut);
        overlaps && (on_link || cuts_answers)
    }
}

/// Generates the events of a run. The same arguments give the same schedule, and every fault ends
/// within `duration`.
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
    events.extend(generate_rates(seed, nodes, duration));
    events
}

/// Generates the times at which targets name a rate. They have random numbers of their own, so that
/// the other events of a seed do not depend on them.
fn generate_rates(seed: u64, nodes: usize, duration: Duration) -> Vec<ScheduledEvent> {
    let mut rng = fastrand::Rng::with_seed(!seed);
    let mut events = Vec::new();
    let mut offset = exponential_interval(&mut rng, RATE_INTERVAL_MEAN);
    while offset < duration {
        let longest = RATE_DURATION_MAX.min(duration - offset).as_secs_f64();
        let rate = Fault::Rate(rng.usize(..nodes), rng.u32(1..30));
        events.push(ScheduledEvent {
            offset,
            duration: Duration::from_secs_f64(rng.f64() * longest),
            event: Event::Fault(rate),
        });
        offset += exponential_interval(&mut rng, RATE_INTERVAL_MEAN);
    }
    events
}

/// An exponentially distributed interval, as between the events of a Poisson process.
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
        10 => Fault::Platform(random_platform_faults(rng)),
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

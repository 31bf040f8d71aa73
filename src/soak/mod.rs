//! A randomized soak test: runs the real programs as separate processes on loopback, injects faults
//! from outside, and checks what callers and targets observe.
//!
//! The seed determines the schedule of faults and changes. Nodes and the platform stand-in are
//! separate processes. Targets run in this process, so that the record of executed requests
//! survives any fault of a node. See `docs/SOAK.md`.

pub mod callers;
pub mod check;
pub mod fleet;
pub mod proxy;
pub mod schedule;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use callers::Caller;
use check::{AcceptedChange, ConfigSample, Observations, PlannedStop, Violation, violations};
use fleet::Fleet;
use schedule::{Event, Fault, ScheduledEvent};

use crate::standin::target::RatePeriod;

/// Time within which the fleet must become ready before the first fault.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between samples of the configuration that each node has in force.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the last fault within which every node must have all accepted changes in force.
const CONVERGENCE_TIME: Duration = Duration::from_secs(8);
/// Period at the end of a run over which the share of answered requests is checked.
const RECOVERY_WINDOW: Duration = Duration::from_secs(3);
/// Time limit for the targets to finish all requests after the last caller has disconnected.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Parameters of one soak run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the schedule and of the callers.
    pub seed: u64,
    /// Number of nodes; each has a local target.
    pub nodes: usize,
    /// Duration of fault injection.
    pub duration: Duration,
    /// Directory that holds the programs under test.
    pub programs: PathBuf,
    /// Directory for the settings and logs of the nodes.
    pub dir: PathBuf,
}

/// Summary of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of scheduled faults and changes, by kind.
    pub event_counts: BTreeMap<&'static str, usize>,
    /// Number of requests, by the result that the caller saw.
    pub result_counts: BTreeMap<&'static str, usize>,
    /// Number of accepted configuration changes.
    pub accepted_changes: usize,
    /// Failed checks.
    pub violations: Vec<Violation>,
}

/// Performs one soak run.
///
/// # Errors
/// If the fleet does not start or does not become ready. Failed checks are not an error; they are
/// in the report.
pub async fn run(plan: &Plan) -> anyhow::Result<Report> {
    let fleet = Arc::new(Fleet::start(plan).await?);
    fleet
        .wait_until_ready(START_TIMEOUT)
        .await
        .context("the fleet did not become ready")?;
    let (stop, stop_signal) = watch::channel(false);
    let mut callers = JoinSet::new();
    for caller in Caller::create_all(plan, &fleet) {
        callers.spawn(caller.run(stop_signal.clone()));
    }
    let sampler = tokio::spawn(sample_until_stopped(fleet.clone(), stop_signal.clone()));
    let events = schedule::generate_schedule(plan.seed, plan.nodes, plan.duration);
    let mut observed = run_schedule(&fleet, &events).await;
    tokio::time::sleep(CONVERGENCE_TIME).await;
    observed.final_samples = fleet.sample_configs().await;
    let recovery_start = Instant::now();
    tokio::time::sleep(RECOVERY_WINDOW).await;
    let _ = stop.send(true);
    observed.requests = callers.join_all().await.into_iter().flatten().collect();
    observed.recovery_start = recovery_start;
    observed.samples = sampler.await?;
    observed.unfinished = fleet.wait_idle(IDLE_TIMEOUT).await;
    observed.run_counts = fleet.run_counts();
    observed.node_count = plan.nodes;
    let mut report = Report {
        accepted_changes: observed.accepted.len(),
        violations: violations(&observed),
        ..Report::default()
    };
    for scheduled in &events {
        *report
            .event_counts
            .entry(scheduled.event.name())
            .or_default() += 1;
    }
    for request in &observed.requests {
        *report
            .result_counts
            .entry(request.result.name())
            .or_default() += 1;
    }
    Ok(report)
}

/// What was observed of one event.
enum EventObservation {
    Accepted(AcceptedChange),
    Stop(PlannedStop),
    /// A rate that a target named, with the number of the event.
    Rate(usize, RatePeriod),
}

/// Runs the scheduled events at their offsets; events may overlap.
async fn run_schedule(fleet: &Arc<Fleet>, events: &[ScheduledEvent]) -> Observations {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for (number, scheduled) in events.iter().cloned().enumerate() {
        let fleet = fleet.clone();
        tasks.spawn(async move {
            tokio::time::sleep_until(started + scheduled.offset).await;
            match scheduled.event {
                Event::Change => fleet
                    .apply_change(number)
                    .await
                    .map(EventObservation::Accepted),
                Event::Fault(Fault::Rate(node, rate)) => {
                    let target = fleet.target(node);
                    target.start_naming_rate(f64::from(rate));
                    tokio::time::sleep(scheduled.duration).await;
                    let period = target.stop_naming_rate();
                    period.map(|p| EventObservation::Rate(number, p))
                }
                Event::Fault(fault) => inject(&fleet, fault, scheduled.duration)
                    .await
                    .map(EventObservation::Stop),
            }
        });
    }
    let mut observed = Observations::default();
    for observation in tasks.join_all().await.into_iter().flatten() {
        match observation {
            EventObservation::Accepted(change) => observed.accepted.push(change),
            EventObservation::Stop(stop) => observed.stops.push(stop),
            EventObservation::Rate(number, period) => {
                if is_heard(events, number) {
                    observed.rates.push(period);
                }
            }
        }
    }
    // Only planned stops without another disturbing event are checked, because otherwise the other
    // event may have caused the failure of a request. The stop itself counts as one event.
    observed.stops.retain(|s: &PlannedStop| {
        let at = s.requested - started;
        let disturbs = |e: &&ScheduledEvent| e.disturbs(s.node, at);
        events.iter().filter(disturbs).count() <= 1
    });
    observed
}

/// Whether the node could hear the rate that its target named in an event.
fn is_heard(events: &[ScheduledEvent], number: usize) -> bool {
    let Event::Fault(Fault::Rate(node, _)) = events[number].event else {
        return false;
    };
    !events
        .iter()
        .any(|e| e.hides_answers(node, &events[number]))
}

async fn inject(fleet: &Fleet, fault: Fault, duration: Duration) -> Option<PlannedStop> {
    match fault {
        Fault::Kill(node) => {
            if fleet.kill(node).await {
                tokio::time::sleep(duration).await;
                fleet.restart(node).await;
            }
        }
        Fault::Stop(node) => {
            let stop = fleet.stop(node).await?;
            tokio::time::sleep(duration).await;
            fleet.restart(node).await;
            return Some(stop);
        }
        Fault::Pause(node) => {
            fleet.send_signal(node, "-STOP").await;
            tokio::time::sleep(duration).await;
            fleet.send_signal(node, "-CONT").await;
        }
        Fault::Reload(node) => fleet.send_signal(node, "-HUP").await,
        Fault::Link(node, link, mode) => {
            fleet.proxy(node, link).set_mode(mode);
            tokio::time::sleep(duration).await;
            fleet.proxy(node, link).set_mode(proxy::Mode::Forward);
        }
        Fault::Platform(faults) => {
            fleet.set_platform_faults(faults).await;
            tokio::time::sleep(duration).await;
            fleet.set_platform_faults(Default::default()).await;
        }
        Fault::Target(node, behaviour) => {
            fleet.set_target_behaviour(node, behaviour);
            tokio::time::sleep(duration).await;
            fleet.set_target_behaviour(node, fleet::NORMAL_BEHAVIOUR);
        }
        Fault::Rate(..) => {}
    }
    None
}

/// Samples the configuration of each node periodically until `stop` is set.
async fn sample_until_stopped(
    fleet: Arc<Fleet>,
    mut stop: watch::Receiver<bool>,
) -> Vec<ConfigSample> {
    let mut samples = Vec::new();
    while !*stop.borrow_and_update() {
        samples.extend(fleet.sample_configs().await);
        let _ = tokio::time::timeout(SAMPLE_INTERVAL, stop.changed()).await;
    }
    samples
}

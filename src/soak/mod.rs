//! A randomized fault soak: the real programs as separate processes on loopback, faults from
//! outside them, and checks of what callers and targets see.
//!
//! A seed decides the schedule. Nodes and the platform's stand-in are processes; targets live here,
//! so that what they ran is known whatever happens to the nodes. See `docs/SOAK.md`.

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
use check::{ConfigSample, Observations, PlannedStop, Violation, violations};
use fleet::Fleet;
use schedule::{Event, Fault, ScheduledEvent};

/// Time in which the fleet must get ready before the faults begin.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between looks at what each node has in force.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the last fault within which everything accepted is in force everywhere.
const CONVERGENCE_TIME: Duration = Duration::from_secs(8);
/// Span at the end over which the share of served requests is taken.
const RECOVERY_WINDOW: Duration = Duration::from_secs(3);
/// Time after which nothing may run at a target once all callers have gone.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// One run of the soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Decides the schedule and the callers.
    pub seed: u64,
    /// Nodes, each beside a target.
    pub nodes: usize,
    /// Time in which faults come.
    pub duration: Duration,
    /// Directory of the programs under test.
    pub programs: PathBuf,
    /// Directory for settings and logs.
    pub dir: PathBuf,
}

/// What a run did and found.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Faults injected, by kind.
    pub fault_counts: BTreeMap<&'static str, usize>,
    /// Requests sent, by what their callers were told.
    pub result_counts: BTreeMap<&'static str, usize>,
    /// Changes accepted.
    pub accepted_changes: usize,
    /// What is wrong.
    pub violations: Vec<Violation>,
}

/// Runs the soak once.
///
/// # Errors
/// Anything that keeps the fleet from starting; what the system does wrong is in the report.
pub async fn run(plan: &Plan) -> anyhow::Result<Report> {
    let fleet = Arc::new(Fleet::start(plan).await?);
    fleet
        .wait_until_ready(START_TIMEOUT)
        .await
        .context("the fleet did not get ready")?;
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
            .fault_counts
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

/// Injects the faults at their times; series overlap.
async fn run_schedule(fleet: &Arc<Fleet>, events: &[ScheduledEvent]) -> Observations {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for (number, scheduled) in events.iter().cloned().enumerate() {
        let fleet = fleet.clone();
        tasks.spawn(async move {
            tokio::time::sleep_until(started + scheduled.offset).await;
            match scheduled.event {
                Event::Change => (fleet.apply_change(number).await, None),
                Event::Fault(fault) => {
                    (None, inject_fault(&fleet, fault, scheduled.duration).await)
                }
            }
        });
    }
    let mut observed = Observations::default();
    for (accepted, stopped) in tasks.join_all().await {
        observed.accepted.extend(accepted);
        observed.stops.extend(stopped);
    }
    // A planned stop is judged only where nothing else went wrong at the time.
    observed.stops.retain(|s: &PlannedStop| {
        let at = s.requested - started;
        let disturbs = |e: &&ScheduledEvent| e.disturbs(s.node, at);
        events.iter().filter(disturbs).count() <= 1
    });
    observed
}

async fn inject_fault(fleet: &Fleet, fault: Fault, duration: Duration) -> Option<PlannedStop> {
    match fault {
        Fault::Kill(node) => {
            if fleet.kill(node).await {
                tokio::time::sleep(duration).await;
                fleet.restart(node).await;
            }
        }
        Fault::Stop(node) => {
            let stopped = fleet.stop(node).await?;
            tokio::time::sleep(duration).await;
            fleet.restart(node).await;
            return Some(stopped);
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
        Fault::Store(faults) => {
            fleet.set_platform_faults(faults).await;
            tokio::time::sleep(duration).await;
            fleet.set_platform_faults(Default::default()).await;
        }
        Fault::Target(node, behaviour) => {
            fleet.set_target_behaviour(node, behaviour);
            tokio::time::sleep(duration).await;
            fleet.set_target_behaviour(node, fleet::NORMAL_BEHAVIOUR);
        }
    }
    None
}

/// Notes which version each life of each node has in force.
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

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
const LOOK_PERIOD: Duration = Duration::from_millis(200);
/// Time after the last fault within which everything accepted is in force everywhere.
const CONVERGE_TIMEOUT: Duration = Duration::from_secs(8);
/// Span at the end over which the share of served requests is taken.
const TAIL: Duration = Duration::from_secs(3);
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
        .until_serving(START_TIMEOUT)
        .await
        .context("the fleet did not get ready")?;
    let (end, ended) = watch::channel(false);
    let mut callers = JoinSet::new();
    for caller in Caller::draw(plan, &fleet) {
        callers.spawn(caller.run(ended.clone()));
    }
    let looker = tokio::spawn(look(fleet.clone(), ended.clone()));
    let planned = schedule::generate_schedule(plan.seed, plan.nodes, plan.duration);
    let mut seen = play(&fleet, &planned).await;
    tokio::time::sleep(CONVERGE_TIMEOUT).await;
    seen.final_samples = fleet.held().await;
    let tail = Instant::now();
    tokio::time::sleep(TAIL).await;
    let _ = end.send(true);
    seen.requests = callers.join_all().await.into_iter().flatten().collect();
    seen.tail_start = tail;
    seen.samples = looker.await?;
    seen.unfinished = fleet.running_after(IDLE_TIMEOUT).await;
    seen.run_counts = fleet.run_counts();
    seen.node_count = plan.nodes;
    let mut report = Report {
        accepted_changes: seen.accepted.len(),
        violations: violations(&seen),
        ..Report::default()
    };
    for p in &planned {
        *report.fault_counts.entry(p.event.name()).or_default() += 1;
    }
    for r in &seen.requests {
        *report.result_counts.entry(r.result.name()).or_default() += 1;
    }
    Ok(report)
}

/// Injects the faults at their times; series overlap.
async fn play(fleet: &Arc<Fleet>, planned: &[ScheduledEvent]) -> Observations {
    let began = Instant::now();
    let mut running = JoinSet::new();
    for (number, p) in planned.iter().cloned().enumerate() {
        let fleet = fleet.clone();
        running.spawn(async move {
            tokio::time::sleep_until(began + p.at).await;
            match p.event {
                Event::Change => (fleet.change(number).await, None),
                Event::Fault(fault) => (None, inject(&fleet, fault, p.duration).await),
            }
        });
    }
    let mut seen = Observations::default();
    for (accepted, stopped) in running.join_all().await {
        seen.accepted.extend(accepted);
        seen.stops.extend(stopped);
    }
    // A planned stop is judged only where nothing else went wrong at the time.
    seen.stops.retain(|s: &PlannedStop| {
        let at = s.requested - began;
        let near = |p: &&ScheduledEvent| p.disturbs(s.node, at);
        planned.iter().filter(near).count() <= 1
    });
    seen
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
            let stopped = fleet.stop(node).await?;
            tokio::time::sleep(duration).await;
            fleet.restart(node).await;
            return Some(stopped);
        }
        Fault::Pause(node) => {
            fleet.signal(node, "-STOP").await;
            tokio::time::sleep(duration).await;
            fleet.signal(node, "-CONT").await;
        }
        Fault::Reload(node) => fleet.signal(node, "-HUP").await,
        Fault::Link(node, link, mode) => {
            fleet.link(node, link).set(mode);
            tokio::time::sleep(duration).await;
            fleet.link(node, link).set(proxy::Mode::Pass);
        }
        Fault::Store(faults) => {
            fleet.set_store(faults).await;
            tokio::time::sleep(duration).await;
            fleet.set_store(Default::default()).await;
        }
        Fault::Target(node, behaviour) => {
            fleet.behave(node, behaviour);
            tokio::time::sleep(duration).await;
            fleet.behave(node, fleet::USUAL);
        }
    }
    None
}

/// Notes which version each life of each node has in force.
async fn look(fleet: Arc<Fleet>, mut end: watch::Receiver<bool>) -> Vec<ConfigSample> {
    let mut held = Vec::new();
    while !*end.borrow_and_update() {
        held.extend(fleet.held().await);
        let _ = tokio::time::timeout(LOOK_PERIOD, end.changed()).await;
    }
    held
}

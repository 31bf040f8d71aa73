//! Measures convergence time and control bytes for several fleet sizes.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use super::fleet::Fleet;
use super::process::{cpu_time, resident_bytes};
use super::{Report, rounded};
use crate::coordination::commit::CommitOutcome;
use crate::state::id::{Path, Version};
use crate::state::object::{Object, Service, Team};
use crate::state::snapshot::{Edit, Snapshot};

/// Kinds of control traffic that are counted.
const CONTROL_KINDS: [&str; 7] = [
    "announce", "confirm", "delta", "snapshot", "probe", "member", "repair",
];
/// Time to wait after the initial configuration before measuring, and duration of the measurement
/// of the idle fleet.
const IDLE_PERIOD: Duration = Duration::from_secs(5);
/// Time limit for the fleet to join, and for every node to adopt one change.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after each change has converged.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);

/// Results for one fleet size.
#[derive(Clone, Debug)]
pub struct FleetMeasurement {
    /// Number of nodes.
    pub nodes: usize,
    /// Time from the start of the last node until all nodes had joined.
    pub join_time: Duration,
    /// For each change, the time from its acceptance until every node had adopted it; ascending.
    pub convergence_times: Vec<Duration>,
    /// Control bytes that a node sent per second while idle.
    pub idle_rate: f64,
    /// Control bytes that a node sent per change, without those it would have sent while idle.
    pub change_bytes: f64,
    /// Mean encoded size of a delta.
    pub delta_bytes: f64,
    /// Platform calls of the whole fleet per second while idle.
    pub call_rate: f64,
    /// CPU usage per node while idle, in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory per node.
    pub memory_bytes: f64,
}

impl FleetMeasurement {
    /// Returns the quantile `q` of the convergence times, or the time limit if there are none.
    pub fn convergence_quantile(&self, q: f64) -> Duration {
        let index = (self.convergence_times.len() as f64 * q).ceil() as usize;
        let index = index.clamp(1, self.convergence_times.len().max(1)) - 1;
        self.convergence_times
            .get(index)
            .copied()
            .unwrap_or(WAIT_TIMEOUT)
    }
}

/// Measures fleets of the given sizes with the given number of changes each.
///
/// # Errors
/// On a socket error, and if a fleet does not join or a change does not converge in time.
pub async fn run(
    sizes: &[usize],
    changes: usize,
) -> anyhow::Result<(Report, Vec<FleetMeasurement>)> {
    let mut report = Report::new(&[
        "nodes",
        "join s",
        "p50 ms",
        "p99 ms",
        "max ms",
        "idle B/s",
        "B/change",
        "delta B",
        "ratio",
        "platform calls/s",
        "core %",
        "KiB/node",
    ]);
    let mut measurements = Vec::new();
    for nodes in sizes {
        let m = measure(*nodes, changes).await?;
        let ms = |d: Duration| rounded(d.as_secs_f64() * 1000.0);
        report.add_row(vec![
            Value::from(m.nodes),
            rounded(m.join_time.as_secs_f64()),
            ms(m.convergence_quantile(0.5)),
            ms(m.convergence_quantile(0.99)),
            ms(m.convergence_quantile(1.0)),
            rounded(m.idle_rate),
            rounded(m.change_bytes),
            rounded(m.delta_bytes),
            rounded(m.change_bytes / m.delta_bytes),
            rounded(m.call_rate),
            rounded(m.cpu_percent),
            rounded(m.memory_bytes / 1024.0),
        ]);
        measurements.push(m);
    }
    Ok((report, measurements))
}

async fn measure(nodes: usize, changes: usize) -> anyhow::Result<FleetMeasurement> {
    let initial_memory = resident_bytes();
    let mut fleet = Fleet::default();
    fleet.add_nodes(nodes).await?;
    let joined = fleet.wait_until_joined(WAIT_TIMEOUT).await;
    let join_time = joined.ok_or_else(|| anyhow::anyhow!("{nodes} nodes did not join in time"))?;
    apply_initial_config(&fleet).await?;
    tokio::time::sleep(IDLE_PERIOD).await;

    let per_node = |bytes: u64| bytes as f64 / nodes as f64;
    let (bytes, calls, cpu) = (total_control_bytes(&fleet), total_calls(&fleet), cpu_time());
    tokio::time::sleep(IDLE_PERIOD).await;
    let idle_rate = per_node(total_control_bytes(&fleet) - bytes) / IDLE_PERIOD.as_secs_f64();
    let call_rate = (total_calls(&fleet) - calls) as f64 / IDLE_PERIOD.as_secs_f64();
    let cpu = (cpu_time() - cpu).as_secs_f64() / IDLE_PERIOD.as_secs_f64();

    let bytes = total_control_bytes(&fleet);
    let started = Instant::now();
    let mut convergence_times = Vec::new();
    let mut delta_bytes = 0;
    for n in 0..changes {
        let (elapsed, delta) = apply_change(&fleet, n).await?;
        convergence_times.push(elapsed);
        delta_bytes += delta;
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    let extra_bytes =
        per_node(total_control_bytes(&fleet) - bytes) - idle_rate * started.elapsed().as_secs_f64();
    convergence_times.sort();
    let measurement = FleetMeasurement {
        nodes,
        join_time,
        convergence_times,
        idle_rate,
        change_bytes: extra_bytes / changes as f64,
        delta_bytes: delta_bytes as f64 / changes as f64,
        call_rate,
        cpu_percent: cpu * 100.0 / nodes as f64,
        memory_bytes: resident_bytes().saturating_sub(initial_memory) as f64 / nodes as f64,
    };
    fleet.shut_down();
    Ok(measurement)
}

fn total_control_bytes(fleet: &Fleet) -> u64 {
    CONTROL_KINDS
        .iter()
        .map(|k| fleet.sent_control_bytes(k))
        .sum()
}

fn total_calls(fleet: &Fleet) -> u64 {
    let calls = fleet.platform.call_counts();
    calls.reads + calls.writes
}

/// Applies the initial configuration, one team with ten services, and waits until every node has
/// adopted it.
async fn apply_initial_config(fleet: &Fleet) -> anyhow::Result<()> {
    let mut edits = vec![put_team()];
    edits.extend((0..10).map(|n| put_service(n, 0)));
    let CommitOutcome::Accepted { snapshot, .. } = fleet.node(0).apply_as_admin(edits).await else {
        anyhow::bail!("the first change was not accepted");
    };
    let converged = fleet
        .wait_for_version(snapshot.version(), WAIT_TIMEOUT)
        .await;
    converged.ok_or_else(|| anyhow::anyhow!("the first change did not converge in time"))?;
    Ok(())
}

/// Applies change number `n`, each time at a different node. Returns the time from its acceptance
/// until the last node had adopted it, and the encoded size of its delta in bytes.
async fn apply_change(fleet: &Fleet, n: usize) -> anyhow::Result<(Duration, usize)> {
    let node = n * 7 % fleet.nodes.len();
    let edits = (0..3).map(|k| put_service(n % 10 + k, n + 1)).collect();
    let CommitOutcome::Accepted { snapshot, delta } = fleet.node(node).apply_as_admin(edits).await
    else {
        anyhow::bail!("a change was not accepted");
    };
    let version: Version = snapshot.version();
    let elapsed = fleet.wait_for_version(version, WAIT_TIMEOUT).await;
    let elapsed =
        elapsed.ok_or_else(|| anyhow::anyhow!("version {version} did not converge in time"))?;
    let wire = crate::protocol::wire::WireDelta::from(&*delta);
    Ok((elapsed, postcard::to_stdvec(&wire)?.len()))
}

/// Returns the edit that creates the team of the experiments.
pub fn put_team() -> Edit {
    let token_hash = "00000000000000000000000000000000:".to_string() + &"0".repeat(64);
    let path = Path::new("guild").expect("the path is valid");
    Edit::Put(path, Arc::new(Object::Team(Team { token_hash })))
}

/// Returns the edit that creates or replaces service number `n` of the experiments. Its content
/// differs for each `round`.
pub fn put_service(n: usize, round: usize) -> Edit {
    let path = Path::new(&format!("guild/services/service-{n}")).expect("the path is valid");
    let health = Some(format!("/health/of/a/page/with/a/usual/length/{round:020}"));
    let service = Service {
        shed_status: Some(503),
        health_path: health,
    };
    Edit::Put(path, Arc::new(service.into()))
}

/// Returns a configuration with the team and the given number of services.
pub fn sample_snapshot(services: usize) -> Snapshot {
    let edits: Vec<Edit> = std::iter::once(put_team())
        .chain((0..services).map(|n| put_service(n, 0)))
        .collect();
    Snapshot::default().with_edits(&edits)
}

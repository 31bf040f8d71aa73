//! Baselines for the distribution of changes. They are the simpler designs that users would
//! otherwise choose: every node polls the platform, every node watches it, or every node reads the
//! full configuration on each change.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::convergence::{put_service, sample_snapshot};
use super::{Report, rounded};
use crate::protocol::record::{encode_pieces, piece_key};
use crate::protocol::wire::WireEdit;
use crate::standin::platform::MemoryPlatform;
use crate::state::revision::Revision;
use crate::state::snapshot::Edit;
use crate::transport::platform::Platform;

/// Platform key that holds the newest version number.
const HEAD_KEY: &str = "head";
/// Interval at which a polling node reads the head.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after each change has converged.
const CHANGE_PAUSE: Duration = Duration::from_millis(1500);

/// How the nodes of a baseline find and read a change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    /// Read the head every second. When it has changed, read the delta.
    Poll,
    /// Watch the head. When it has changed, read the delta.
    Watch,
    /// Watch the head. When it has changed, read the full configuration.
    FullSnapshot,
}

/// State that the nodes of one run share.
struct SharedState {
    platform: MemoryPlatform,
    /// Bytes that all nodes have read.
    read_bytes: AtomicU64,
    /// Current version of each node.
    node_versions: Vec<AtomicU64>,
    /// Number of pieces in which the platform stores the full configuration.
    piece_count: usize,
}

/// Measures each baseline with the given numbers of nodes, services and changes.
///
/// # Errors
/// If a call to the platform stand-in fails.
pub async fn run(nodes: usize, services: usize, changes: u64) -> anyhow::Result<Report> {
    let mut report = Report::new(&[
        "way",
        "nodes",
        "p50 ms",
        "max ms",
        "B/change/node",
        "platform calls/s idle",
        "platform calls/change",
    ]);
    for (strategy, name) in [
        (Strategy::Poll, "poll"),
        (Strategy::Watch, "watch"),
        (Strategy::FullSnapshot, "full"),
    ] {
        let cells = measure(strategy, nodes, services, changes).await?;
        let mut row = vec![Value::from(name), Value::from(nodes)];
        row.extend(cells);
        report.add_row(row);
    }
    Ok(report)
}

async fn measure(
    strategy: Strategy,
    nodes: usize,
    services: usize,
    changes: u64,
) -> anyhow::Result<Vec<Value>> {
    let platform = MemoryPlatform::default();
    let snapshot = sample_snapshot(services);
    let (index, pieces) = encode_pieces(&snapshot);
    for (n, piece) in pieces.iter().enumerate() {
        platform
            .compare_and_swap(&piece_key(&index, n), piece, Revision::ABSENT, None)
            .await?;
    }
    let shared = Arc::new(SharedState {
        platform: platform.clone(),
        read_bytes: AtomicU64::new(0),
        node_versions: (0..nodes).map(|_| AtomicU64::new(0)).collect(),
        piece_count: pieces.len(),
    });
    let mut tasks = JoinSet::new();
    for n in 0..nodes {
        tasks.spawn(follow_changes(
            strategy,
            n,
            shared.clone(),
            piece_key(&index, 0),
        ));
    }
    let idle_period = Duration::from_secs(3);
    let before = total_calls(&platform);
    tokio::time::sleep(idle_period).await;
    let idle_calls = (total_calls(&platform) - before) as f64 / idle_period.as_secs_f64();

    shared.read_bytes.store(0, Ordering::Relaxed);
    let mut convergence_times = Vec::new();
    let mut calls = 0;
    let mut revision = Revision::ABSENT;
    for version in 1..=changes {
        let edits: Vec<Edit> = (0..3).map(|k| put_service(k, version as usize)).collect();
        let wire_edits: Vec<WireEdit> = edits.iter().map(WireEdit::from).collect();
        let delta = serde_json::to_string(&wire_edits)?;
        platform
            .compare_and_swap(&format!("delta/{version}"), &delta, Revision::ABSENT, None)
            .await?;
        let before = total_calls(&platform);
        let swapped = platform
            .compare_and_swap(HEAD_KEY, &version.to_string(), revision, None)
            .await?;
        revision = swapped.ok_or_else(|| anyhow::anyhow!("compare-and-swap of the head failed"))?;
        let started = Instant::now();
        while shared
            .node_versions
            .iter()
            .any(|v| v.load(Ordering::Relaxed) < version)
        {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        convergence_times.push(started.elapsed());
        calls += total_calls(&platform) - before;
        tokio::time::sleep(CHANGE_PAUSE).await;
    }
    tasks.abort_all();
    convergence_times.sort();
    let ms = |d: Duration| rounded(d.as_secs_f64() * 1000.0);
    let bytes = shared.read_bytes.load(Ordering::Relaxed) as f64;
    Ok(vec![
        ms(convergence_times[convergence_times.len() / 2]),
        ms(convergence_times[convergence_times.len() - 1]),
        rounded(bytes / changes as f64 / nodes as f64),
        rounded(idle_calls),
        rounded(calls as f64 / changes as f64),
    ])
}

fn total_calls(platform: &MemoryPlatform) -> u64 {
    let calls = platform.call_counts();
    calls.reads + calls.writes
}

/// Runs one node: waits for changes, reads them, and records the current version. A read of the
/// full configuration is approximated by reading the first piece as many times as there are pieces.
async fn follow_changes(
    strategy: Strategy,
    node: usize,
    shared: Arc<SharedState>,
    first_piece_key: String,
) {
    let mut revision = Revision::ABSENT;
    if strategy == Strategy::Poll {
        tokio::time::sleep(POLL_INTERVAL.mul_f64(fastrand::f64())).await;
    }
    loop {
        let read = match strategy {
            Strategy::Poll => {
                tokio::time::sleep(POLL_INTERVAL).await;
                shared.platform.get(HEAD_KEY).await
            }
            Strategy::Watch | Strategy::FullSnapshot => {
                shared
                    .platform
                    .watch(HEAD_KEY, revision, WATCH_TIMEOUT)
                    .await
            }
        };
        let Ok(Some(head)) = read else {
            continue;
        };
        shared.add_bytes(head.text.len());
        if head.revision == revision {
            continue;
        }
        revision = head.revision;
        let key = format!("delta/{}", head.text);
        if strategy == Strategy::FullSnapshot {
            for _ in 0..shared.piece_count {
                shared.read(&first_piece_key).await;
            }
        } else {
            shared.read(&key).await;
        }
        let version = head.text.parse().unwrap_or(0);
        shared.node_versions[node].store(version, Ordering::Relaxed);
    }
}

impl SharedState {
    fn add_bytes(&self, bytes: usize) {
        self.read_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Reads a key and counts the bytes.
    async fn read(&self, key: &str) {
        if let Ok(Some(value)) = self.platform.get(key).await {
            self.add_bytes(value.text.len());
        }
    }
}

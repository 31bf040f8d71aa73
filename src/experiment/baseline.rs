//! Baselines for distribution, the plain ways that users would otherwise take: every node polls
//! the platform, every node watches it, and every node fetches the whole on each change.

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
use crate::state::snapshot::Edit;
use crate::transport::platform::Platform;

/// Key of the head in the baselines.
const HEAD: &str = "head";
/// Interval between polls.
const POLL: Duration = Duration::from_secs(1);
/// Longest wait of one watch.
const WATCH: Duration = Duration::from_secs(20);
/// Pause between changes.
const PAUSE: Duration = Duration::from_millis(1500);

/// How the nodes of a baseline learn of a change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Read the head each second, then the delta.
    Poll,
    /// Wait for the head to move, then read the delta.
    Watch,
    /// Wait for the head to move, then read the whole.
    Full,
}

struct Shared {
    platform: MemoryPlatform,
    bytes: AtomicU64,
    in_force: Vec<AtomicU64>,
    pieces: usize,
}

/// Measures each baseline with so many nodes, services and changes.
///
/// # Errors
/// A platform stand-in that does not answer.
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
    for (way, name) in [
        (Way::Poll, "poll"),
        (Way::Watch, "watch"),
        (Way::Full, "full"),
    ] {
        let cells = measure(way, nodes, services, changes).await?;
        let mut row = vec![Value::from(name), Value::from(nodes)];
        row.extend(cells);
        report.add_row(row);
    }
    Ok(report)
}

async fn measure(
    way: Way,
    nodes: usize,
    services: usize,
    changes: u64,
) -> anyhow::Result<Vec<Value>> {
    let platform = MemoryPlatform::default();
    let snapshot = sample_snapshot(services);
    let (index, pieces) = encode_pieces(&snapshot);
    for (n, piece) in pieces.iter().enumerate() {
        platform
            .compare_and_swap(&piece_key(&index, n), piece, 0, None)
            .await?;
    }
    let shared = Arc::new(Shared {
        platform: platform.clone(),
        bytes: AtomicU64::new(0),
        in_force: (0..nodes).map(|_| AtomicU64::new(0)).collect(),
        pieces: pieces.len(),
    });
    let mut tasks = JoinSet::new();
    for n in 0..nodes {
        tasks.spawn(follow(way, n, shared.clone(), piece_key(&index, 0)));
    }
    let idle = Duration::from_secs(3);
    let before = total(&platform);
    tokio::time::sleep(idle).await;
    let idle_calls = (total(&platform) - before) as f64 / idle.as_secs_f64();

    shared.bytes.store(0, Ordering::Relaxed);
    let mut times = Vec::new();
    let mut calls = 0;
    let mut revision = 0;
    for version in 1..=changes {
        let edits: Vec<Edit> = (0..3).map(|k| put_service(k, version as usize)).collect();
        let wires: Vec<WireEdit> = edits.iter().map(WireEdit::from).collect();
        let delta = serde_json::to_string(&wires)?;
        platform
            .compare_and_swap(&format!("delta/{version}"), &delta, 0, None)
            .await?;
        let before = total(&platform);
        let swapped = platform
            .compare_and_swap(HEAD, &version.to_string(), revision, None)
            .await?;
        revision = swapped.ok_or_else(|| anyhow::anyhow!("the head was not swapped"))?;
        let began = Instant::now();
        while shared
            .in_force
            .iter()
            .any(|v| v.load(Ordering::Relaxed) < version)
        {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        times.push(began.elapsed());
        calls += total(&platform) - before;
        tokio::time::sleep(PAUSE).await;
    }
    tasks.abort_all();
    times.sort();
    let ms = |d: Duration| rounded(d.as_secs_f64() * 1000.0);
    let bytes = shared.bytes.load(Ordering::Relaxed) as f64;
    Ok(vec![
        ms(times[times.len() / 2]),
        ms(times[times.len() - 1]),
        rounded(bytes / changes as f64 / nodes as f64),
        rounded(idle_calls),
        rounded(calls as f64 / changes as f64),
    ])
}

fn total(platform: &MemoryPlatform) -> u64 {
    let calls = platform.call_counts();
    calls.reads + calls.writes
}

async fn follow(way: Way, n: usize, shared: Arc<Shared>, piece: String) {
    let mut revision = 0;
    if way == Way::Poll {
        tokio::time::sleep(POLL.mul_f64(fastrand::f64())).await;
    }
    loop {
        let read = match way {
            Way::Poll => {
                tokio::time::sleep(POLL).await;
                shared.platform.get(HEAD).await
            }
            Way::Watch | Way::Full => shared.platform.watch(HEAD, revision, WATCH).await,
        };
        let Ok(Some(head)) = read else {
            continue;
        };
        shared.count(head.text.len());
        if head.revision == revision {
            continue;
        }
        revision = head.revision;
        let key = format!("delta/{}", head.text);
        if way == Way::Full {
            for _ in 0..shared.pieces {
                shared.fetch(&piece).await;
            }
        } else {
            shared.fetch(&key).await;
        }
        let version = head.text.parse().unwrap_or(0);
        shared.in_force[n].store(version, Ordering::Relaxed);
    }
}

impl Shared {
    fn count(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    async fn fetch(&self, key: &str) {
        if let Ok(Some(value)) = self.platform.get(key).await {
            self.count(value.text.len());
        }
    }
}

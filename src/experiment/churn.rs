//! Churn: one node after another is replaced, then half of the fleet dies and returns.

use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use super::fleet::Fleet;
use super::{Report, rounded};

/// Longest wait for the fleet to agree.
const PATIENCE: Duration = Duration::from_secs(120);
/// Kinds of control traffic that members cause.
const KINDS: [&str; 4] = ["probe", "member", "repair", "join"];

/// Measures a fleet of each given size.
///
/// # Errors
/// Any socket error, and a fleet that does not agree in time.
pub async fn run(sizes: &[usize]) -> anyhow::Result<Report> {
    let mut report = Report::new(&[
        "nodes",
        "case",
        "agreed s",
        "B/node",
        "B/node/event",
        "platform reads",
        "platform writes",
    ]);
    for nodes in sizes {
        let mut fleet = Fleet::default();
        fleet.add_nodes(*nodes).await?;
        agree(&fleet).await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let idle = idle(&fleet).await;
        report.add_row(replace(&mut fleet, 1, idle, "one replaced").await?);
        tokio::time::sleep(Duration::from_secs(3)).await;
        report.add_row(replace(&mut fleet, nodes / 2, idle, "half replaced").await?);
        fleet.shut_down();
    }
    Ok(report)
}

async fn agree(fleet: &Fleet) -> anyhow::Result<Duration> {
    let joined = fleet.wait_until_joined(PATIENCE).await;
    joined.ok_or_else(|| anyhow::anyhow!("{} nodes did not agree", fleet.nodes.len()))
}

fn bytes(fleet: &Fleet) -> f64 {
    KINDS
        .iter()
        .map(|k| fleet.sent_control_bytes(k) as f64)
        .sum()
}

/// Bytes that a node moves in each idle second.
async fn idle(fleet: &Fleet) -> f64 {
    let time = Duration::from_secs(5);
    let before = bytes(fleet);
    tokio::time::sleep(time).await;
    (bytes(fleet) - before) / time.as_secs_f64() / fleet.nodes.len() as f64
}

/// Kills some nodes at once and starts as many new ones; waits until all agree.
async fn replace(
    fleet: &mut Fleet,
    count: usize,
    idle: f64,
    case: &'static str,
) -> anyhow::Result<Vec<Value>> {
    let nodes = fleet.nodes.len();
    for node in fleet.nodes.drain(nodes - count..) {
        node.kill();
    }
    let (before, calls) = (bytes(fleet), fleet.platform.call_counts());
    let began = Instant::now();
    fleet.add_nodes(count).await?;
    agree(fleet).await?;
    let took = began.elapsed().as_secs_f64();
    let moved = (bytes(fleet) - before) / nodes as f64 - idle * took;
    let after = fleet.platform.call_counts();
    Ok(vec![
        Value::from(nodes),
        Value::from(case),
        rounded(took),
        rounded(moved),
        rounded(moved / (2 * count) as f64),
        Value::from(after.reads - calls.reads),
        Value::from(after.writes - calls.writes),
    ])
}

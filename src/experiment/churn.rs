//! Measures membership churn: one node is replaced, then half of the fleet at once.

use std::time::Duration;

use serde_json::Value;
use tokio::time::Instant;

use super::fleet::Fleet;
use super::{Report, rounded};

/// Time limit for all member tables to agree.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(120);
/// Kinds of control traffic that membership causes.
const MEMBERSHIP_KINDS: [&str; 4] = ["probe", "member", "repair", "join"];

/// Measures a fleet of each given size.
///
/// # Errors
/// On a socket error, and if the member tables of a fleet do not agree in time.
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
        wait_until_agreed(&fleet).await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let idle_rate = measure_idle_rate(&fleet).await;
        report.add_row(replace_and_measure(&mut fleet, 1, idle_rate, "one replaced").await?);
        tokio::time::sleep(Duration::from_secs(3)).await;
        report
            .add_row(replace_and_measure(&mut fleet, nodes / 2, idle_rate, "half replaced").await?);
        fleet.shut_down();
    }
    Ok(report)
}

/// Waits until every node is ready and its member table has as many live members as the fleet has
/// nodes.
async fn wait_until_agreed(fleet: &Fleet) -> anyhow::Result<Duration> {
    let joined = fleet.wait_until_joined(AGREEMENT_TIMEOUT).await;
    joined.ok_or_else(|| {
        anyhow::anyhow!(
            "the member tables of {} nodes did not agree in time",
            fleet.nodes.len()
        )
    })
}

/// Bytes of membership traffic that all nodes have sent.
fn membership_bytes(fleet: &Fleet) -> f64 {
    MEMBERSHIP_KINDS
        .iter()
        .map(|k| fleet.sent_control_bytes(k) as f64)
        .sum()
}

/// Measures the bytes of membership traffic that a node sends per second while nothing changes.
async fn measure_idle_rate(fleet: &Fleet) -> f64 {
    let period = Duration::from_secs(5);
    let bytes_before = membership_bytes(fleet);
    tokio::time::sleep(period).await;
    (membership_bytes(fleet) - bytes_before) / period.as_secs_f64() / fleet.nodes.len() as f64
}

/// Kills `count` nodes at once, starts as many new ones, and waits until the member tables agree.
/// Returns the row of the report. The bytes exclude those that the nodes would have sent while
/// idle, at `idle_rate` bytes per second and node.
async fn replace_and_measure(
    fleet: &mut Fleet,
    count: usize,
    idle_rate: f64,
    case: &'static str,
) -> anyhow::Result<Vec<Value>> {
    let nodes = fleet.nodes.len();
    for node in fleet.nodes.drain(nodes - count..) {
        node.kill();
    }
    let (bytes_before, calls_before) = (membership_bytes(fleet), fleet.platform.call_counts());
    let started = Instant::now();
    fleet.add_nodes(count).await?;
    wait_until_agreed(fleet).await?;
    let elapsed = started.elapsed().as_secs_f64();
    let extra_bytes = (membership_bytes(fleet) - bytes_before) / nodes as f64 - idle_rate * elapsed;
    let calls_after = fleet.platform.call_counts();
    // Each replacement causes two membership events: a failure and a join.
    Ok(vec![
        Value::from(nodes),
        Value::from(case),
        rounded(elapsed),
        rounded(extra_bytes),
        rounded(extra_bytes / (2 * count) as f64),
        Value::from(calls_after.reads - calls_before.reads),
        Value::from(calls_after.writes - calls_before.writes),
    ])
}

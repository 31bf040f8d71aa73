//! Calls to the platform when a whole fleet starts at the same moment.

use std::time::Duration;

use tarragoncourse::experiment::fleet::Fleet;

const NODE_COUNT: usize = 60;
/// Calls that one node may cause while the fleet starts.
const CALLS_PER_NODE_MAX: f64 = 6.0;
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Without any node that holds a watcher slot, each node takes itself for the first of its zone.
/// Writes are counted too: a slot takes a lease and a write, and an attempt in vain a revocation.
#[tokio::test(flavor = "multi_thread")]
async fn few_nodes_of_a_starting_fleet_try_to_acquire_a_slot() {
    let mut fleet = Fleet::default();
    fleet.add_nodes(NODE_COUNT).await.expect("start the nodes");
    fleet
        .wait_until_joined(JOIN_TIMEOUT)
        .await
        .expect("the nodes join within the timeout");
    let calls = fleet.platform.call_counts();
    println!("reads={} writes={}", calls.reads, calls.writes);
    let writes_per_node = calls.writes as f64 / NODE_COUNT as f64;
    assert!(writes_per_node <= 1.0, "{writes_per_node} writes a node");
    let calls_per_node = (calls.reads + calls.writes) as f64 / NODE_COUNT as f64;
    assert!(
        calls_per_node <= CALLS_PER_NODE_MAX,
        "{calls_per_node} calls a node"
    );
    fleet.shut_down();
}

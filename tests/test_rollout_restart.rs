//! Nodes that restart soon after the end of a roll-out.

#[path = "support/rollout_fleet.rs"]
mod rollout_fleet;

use std::time::Duration;

use rollout_fleet::{DURATION, RolloutFleet};
use tarragoncourse::coordination::announce::{Stage, TargetReport};
use tarragoncourse::experiment::fleet::node_settings;
use tarragoncourse::node::RunningNode;
use tarragoncourse::node::config::LocalTarget;
use tarragoncourse::protocol::record::decode_slot;
use tarragoncourse::protocol::wire_rollout::decider_key;
use tarragoncourse::standin::target::Behaviour;
use tarragoncourse::state::member::TargetVersion;
use tarragoncourse::transport::platform::Platform;

/// Index of the node that decides the roll-out, if there is one.
async fn deciding_node(rollout: &RolloutFleet) -> Option<usize> {
    let fleet = &rollout.fleet;
    let deciding = fleet.platform.get(&decider_key(&rollout.service)).await;
    let peer = decode_slot(&deciding.ok()??.text)?;
    (0..fleet.nodes.len()).find(|n| fleet.node(*n).addresses().peers == peer)
}

/// Sends requests to one node, and returns how many of them the target of another node ran.
async fn runs_of(rollout: &RolloutFleet, target: usize, caller: usize, requests: usize) -> u32 {
    let target = &rollout.fleet.targets[target].target;
    let runs = || -> u32 { target.run_counts().values().sum() };
    let (before, callers) = (runs(), [rollout.fleet.caller_addresses()[caller]]);
    for _ in 0..requests {
        assert_eq!(rollout.call_at(&callers).await, 0);
    }
    runs() - before
}

/// Time after the end of a roll-out in which the other nodes notice that the old targets are gone.
const ENDED_TIME: Duration = Duration::from_secs(9);
/// Time in which a restarted node learns the decision and publishes the version of its target.
const LEARN_TIME: Duration = Duration::from_secs(3);

/// Guards against nodes that start after a roll-out and publish no version: all others would leave
/// their targets out for as long as they hold the decision.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_are_served_after_their_nodes_restart_soon_after_a_rollout() {
    let mut rollout = RolloutFleet::start().await;
    rollout.fleet.add_nodes(2).await.expect("start nodes");
    rollout.order(Behaviour::NORMAL).await;
    // The nodes without a target stay; they are the ones that hold the decision.
    rollout.fleet.nodes.swap(2, 4);
    rollout.fleet.nodes.swap(3, 5);
    let (status, _) = rollout.call_until_end(2 * DURATION).await;
    assert!(status.contains("completed"), "{status}");
    for old in rollout.fleet.nodes.drain(..2) {
        old.kill();
    }
    rollout.fleet.targets.drain(..2);
    rollout.call_for(ENDED_TIME).await;
    for index in 0..2 {
        rollout.fleet.replace_node(index).await.expect("restart");
    }
    rollout.wait_until_joined().await;
    rollout.call_for(LEARN_TIME).await;
    let failed = rollout.call_for(LEARN_TIME).await;
    let state = rollout.fleet.node(3).dump();
    rollout.fleet.shut_down();
    assert_eq!(failed, 0, "{state}");
}

/// Starts a node in place of the one with this index, beside the same target, which has not reported yet.
async fn replace_by_unreported(rollout: &mut RolloutFleet, index: usize) {
    let fleet = &mut rollout.fleet;
    let target = LocalTarget {
        address: fleet.targets[index].address,
        service: rollout.service.clone(),
        slots: fleet.targets[index].target.slots(),
        announced: true,
        version: None,
    };
    let started = RunningNode::start(node_settings(index, Some(target)), fleet.platform.clone());
    let replaced = std::mem::replace(&mut fleet.nodes[index], started.await.expect("start"));
    replaced.kill();
}

/// Guards against a gate that takes its target for one of the old version for good, because the decision
/// arrives before the first report of the target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_reports_after_its_node_has_learned_the_decision_is_served() {
    let mut rollout = RolloutFleet::start().await;
    rollout.order(Behaviour::NORMAL).await;
    let (status, _) = rollout.call_until_end(2 * DURATION).await;
    assert!(status.contains("completed"), "{status}");
    for index in 2..4 {
        replace_by_unreported(&mut rollout, index).await;
    }
    rollout.call_for(LEARN_TIME).await;
    for index in 2..4 {
        rollout.fleet.node(index).handle_report(TargetReport {
            instance: format!("target-{index}").into(),
            boot: 1000,
            sequence: 1,
            stage: Stage::Serving,
            slots: 4,
            warmup: Duration::ZERO,
            version: Some(TargetVersion("v2".into())),
        });
    }
    for old in rollout.fleet.nodes.drain(..2) {
        old.kill();
    }
    rollout.fleet.targets.drain(..2);
    rollout.call_for(LEARN_TIME).await;
    let failed = rollout.call_for(LEARN_TIME).await;
    rollout.fleet.shut_down();
    assert_eq!(failed, 0);
}

/// Guards against a target that gets no requests for as long as the others hold the decision, because
/// its node has restarted since the version was rolled back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_shares_the_load_after_its_node_restarts_soon_after_a_roll_back() {
    let mut rollout = RolloutFleet::start().await;
    // The caller's node is in a zone of its own, so it uses both targets alike.
    rollout.fleet.add_nodes(1).await.expect("start a node");
    rollout
        .order(Behaviour {
            service_ms: 60,
            ..Behaviour::NORMAL
        })
        .await;
    let (status, _) = rollout.call_until_end(2 * DURATION).await;
    assert!(status.contains("rolled back"), "{status}");
    // The deciding node repeats its last directive. It is the one that restarts, unless it is killed.
    let deciding = deciding_node(&rollout).await;
    let restarted = deciding.filter(|n| *n < 2).unwrap_or(0);
    for new in rollout.fleet.nodes.drain(3..) {
        new.kill();
    }
    rollout.fleet.targets.drain(2..);
    rollout.call_for(ENDED_TIME).await;
    let replaced = rollout.fleet.replace_node(restarted).await;
    replaced.expect("restart");
    rollout.wait_until_joined().await;
    rollout.call_for(LEARN_TIME).await;
    let runs = runs_of(&rollout, restarted, 2, 200).await;
    rollout.fleet.shut_down();
    assert!(runs >= 50, "{runs} of 200");
}

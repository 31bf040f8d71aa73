//! News of the platform's head in a fleet in which only a few nodes watch it.

mod support;

use std::time::{Duration, Instant};

use support::{NodeProcess, SETTINGS, Workdir, http_request, wait_until};

/// Time from the acceptance of a version until it must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Whether a node holds a watcher slot.
fn holds_slot(workdir: &Workdir, node: &NodeProcess) -> bool {
    let state = workdir.run_cli_ok(None, &["dump", &node.admin.to_string()]);
    !state.contains("\"slot\": null")
}

/// Guards against an accepted version that comes into force late because the node that accepted it and
/// those that watch the head were lost before any other node had heard of it. Here a node that
/// the others ignore accepts it.
#[test]
fn a_version_is_in_force_in_time_after_the_loss_of_all_watchers() {
    let mut workdir = Workdir::new("lost-watchers");
    let _platform = workdir.start_platform();
    let mut nodes: Vec<NodeProcess> = (0..5)
        .map(|n| workdir.start_node(&format!("node-{n}"), "hamilton", None))
        .collect();
    workdir.wait_until_joined(&nodes.iter().collect::<Vec<_>>());
    workdir.fleet_key = "the-key-of-another-fleet";
    let island = workdir.start_node("island", "hamilton", None);
    workdir.wait_until_joined(&[&island]);
    workdir.write("a.yaml", SETTINGS);
    workdir.run_cli_ok(Some(&island), &["apply", "-f", "a.yaml"]);
    wait_until("two nodes hold the slots", || {
        nodes.iter().filter(|n| holds_slot(&workdir, n)).count() == 2
    });
    let status = |node: &NodeProcess| {
        let answer = http_request(node.callers, "GET", "guild.example", "/sawing/1", &[], "");
        answer.map_or(0, |r| r.status)
    };
    let prefix = SETTINGS.replace("prefix: /cutting", "prefix: /sawing");
    workdir.write("b.yaml", &prefix);
    let holders: Vec<bool> = nodes.iter().map(|n| holds_slot(&workdir, n)).collect();
    for (node, holds) in nodes.iter_mut().zip(&holders) {
        if *holds {
            node.process.kill();
        }
    }
    workdir.run_cli_ok(Some(&island), &["apply", "-f", "b.yaml"]);
    let accepted = Instant::now();
    let mut left = nodes.iter().zip(&holders).filter(|(_, h)| !**h);
    wait_until("the version is in force", || {
        left.clone().all(|(n, _)| status(n) == 503)
    });
    assert!(left.next().is_some());
    let took = accepted.elapsed();
    assert!(took < APPLY_TIME, "{took:?}");
}

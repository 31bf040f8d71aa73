//! Requests, joins and changes during a platform outage, lost responses of the platform, and paused
//! or restarted nodes.

mod support;

use std::thread::sleep;
use std::time::Duration;

use support::{
    FLEET_SETTINGS, Fleet, NodeProcess, Workdir, http_request, load_route, spawn_load, text,
    wait_until,
};
use tarragoncourse::load::CallerResult;

fn config_version(node: &NodeProcess) -> u64 {
    let response =
        http_request(node.admin, "GET", "x", "/v1/status", &[], "").expect("the node responds");
    let status: serde_json::Value =
        serde_json::from_str(&response.body).expect("the status is valid JSON");
    status["version"]
        .as_u64()
        .expect("the status contains the version")
}

#[test]
fn a_platform_outage_stops_changes_but_not_requests_or_joins() {
    let mut fleet = Fleet::start("outage", 1, 2, "{\"service_ms\": 2}");
    let entry = &fleet.entry_nodes[0];
    fleet.set_faults("{\"down\": true}");
    let drain_output = fleet
        .workdir
        .run_cli(Some(entry), &["drain", "guild/routes/orders"]);
    assert_ne!(drain_output.status.code(), Some(0));
    fleet.workdir.write(
        "b.yaml",
        &FLEET_SETTINGS.replace("deadline: 3s", "deadline: 4s"),
    );
    let apply_output = fleet
        .workdir
        .run_cli(Some(entry), &["apply", "-f", "b.yaml"]);
    assert_eq!(
        apply_output.status.code(),
        Some(1),
        "{}",
        text(&apply_output.stderr)
    );
    assert!(text(&apply_output.stderr).contains("nothing was changed"));
    // Requests are still served, and a node that starts during the outage joins through its peers.
    let mix = vec![load_route("POST", "/orders", 10, 0)];
    let report = spawn_load(fleet.caller_addresses(), 100.0, 2, mix)
        .join()
        .expect("the load thread completes");
    assert_eq!(report.count(CallerResult::Answered), report.records.len());
    let peers = format!("peers: [\"{}\"]\n", entry.peers);
    let late_node = fleet
        .workdir
        .start_node_with("late", "hamilton", None, &peers);
    wait_until("the late node serves requests", || {
        http_request(
            late_node.callers,
            "POST",
            "guild.example",
            "/orders",
            &[],
            "x",
        )
        .is_some_and(|r| r.status == 200)
    });
    assert_eq!(config_version(&late_node), 1);
    // Once the platform responds again, changes are accepted and reach every node.
    fleet.set_faults("{}");
    fleet
        .workdir
        .run_cli_ok(Some(&late_node), &["apply", "--wait", "-f", "b.yaml"]);
    for node in fleet.nodes.iter().chain([&late_node]) {
        assert_eq!(config_version(node), 2);
    }
    fleet.nodes.clear();
}

#[test]
fn a_node_that_cannot_learn_its_minimum_version_rejects_requests() {
    let mut workdir = Workdir::new("minimum-version");
    let platform = workdir.start_platform();
    let first = workdir.start_node("first", "hamilton", None);
    workdir.wait_until_joined(&[&first]);
    let response = http_request(
        workdir.platform.unwrap(),
        "POST",
        "x",
        "/faults",
        &[],
        "{\"down\": true}",
    );
    assert_eq!(response.expect("the platform responds").status, 200);
    let isolated = workdir.start_node("isolated", "hamilton", None);
    sleep(Duration::from_millis(1500));
    let response = http_request(isolated.callers, "GET", "guild.example", "/stock", &[], "")
        .expect("the node responds");
    assert_eq!(response.status, 503);
    assert_eq!(
        response.header("tarragon-outcome").as_deref(),
        Some("not-run; not-ready")
    );
    assert_eq!(
        http_request(isolated.admin, "GET", "x", "/ready", &[], "")
            .expect("the node responds")
            .status,
        503
    );
    drop(platform);
}

#[test]
fn a_lost_response_is_resolved_without_submitting_the_change_twice() {
    let fleet = Fleet::start("lost-responses", 2, 1, "{}");
    for n in 0..6 {
        fleet.set_faults(&format!("{{\"lose_answers\": {}}}", n % 3 + 1));
        let deadline = format!("deadline: {}s", n + 4);
        fleet
            .workdir
            .write("b.yaml", &FLEET_SETTINGS.replace("deadline: 3s", &deadline));
        let output = fleet.workdir.run_cli_ok(
            Some(&fleet.entry_nodes[n % 2]),
            &["apply", "--wait", "-f", "b.yaml"],
        );
        assert!(output.contains(&format!("version={}", n + 2)), "{output}");
    }
    let history = fleet
        .workdir
        .run_cli_ok(Some(&fleet.entry_nodes[0]), &["history"]);
    assert_eq!(history.lines().count(), 8, "{history}");
}

#[test]
fn a_resumed_node_adopts_the_current_version() {
    let fleet = Fleet::start("frozen", 2, 1, "{}");
    let paused = &fleet.entry_nodes[1];
    paused.process.signal("-STOP");
    fleet.workdir.write(
        "b.yaml",
        &FLEET_SETTINGS.replace("prefix: /stock", "prefix: /shelf"),
    );
    fleet
        .workdir
        .run_cli_ok(Some(&fleet.entry_nodes[0]), &["apply", "-f", "b.yaml"]);
    sleep(Duration::from_secs(8));
    paused.process.signal("-CONT");
    wait_until("the resumed node has the current version", || {
        config_version(paused) == 2
    });
    let response = http_request(paused.callers, "GET", "guild.example", "/shelf", &[], "")
        .expect("the node responds");
    let outcome = response.header("tarragon-outcome");
    assert_eq!(response.status, 200, "{outcome:?}");
}

#[test]
fn a_restarted_fleet_recovers_the_accepted_configuration() {
    let mut fleet = Fleet::start("restarted", 1, 3, "{}");
    let instances: Vec<_> = (0..3).map(|n| format!("cutbook-{n}")).collect();
    fleet.nodes.clear();
    for (n, instance) in instances.iter().enumerate() {
        let target = Some(("guild/services/cutbook", fleet.targets[n].1));
        let node = fleet.workdir.start_node(instance, "hamilton", target);
        fleet.nodes.push(node);
    }
    let entry = &fleet.entry_nodes[0];
    wait_until("all nodes are ready and have the current version", || {
        let response = http_request(entry.admin, "GET", "x", "/v1/status", &[], "")
            .expect("the node responds");
        response.body.contains("\"targets\":3")
            && fleet.nodes.iter().all(|n| config_version(n) == 1)
    });
}

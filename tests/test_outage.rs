//! Platform outages, restarts, freezes and a store that lost accepted versions.

mod support;

use std::thread::sleep;
use std::time::Duration;

use support::{
    FLEET_SETTINGS, Fleet, NodeProcess, Workdir, http_request, load_route, spawn_load, text,
    wait_until,
};
use tarragoncourse::load::CallerResult;

fn version(node: &NodeProcess) -> u64 {
    let page = http_request(node.admin, "GET", "x", "/v1/status", &[], "").expect("an answer");
    let status: serde_json::Value = serde_json::from_str(&page.body).expect("JSON");
    status["version"].as_u64().expect("a version")
}

#[test]
fn an_outage_stops_changes_and_nothing_else() {
    let mut fleet = Fleet::start("outage", 1, 2, "{\"service_ms\": 2}");
    let entry = &fleet.entry_nodes[0];
    fleet.set_faults("{\"down\": true}");
    let refused = fleet
        .workdir
        .run_cli(Some(entry), &["drain", "guild/routes/orders"]);
    assert_ne!(refused.status.code(), Some(0));
    fleet.workdir.write(
        "b.yaml",
        &FLEET_SETTINGS.replace("deadline: 3s", "deadline: 4s"),
    );
    let output = fleet
        .workdir
        .run_cli(Some(entry), &["apply", "-f", "b.yaml"]);
    assert_eq!(output.status.code(), Some(1), "{}", text(&output.stderr));
    assert!(text(&output.stderr).contains("nothing was changed"));
    // Serving goes on, and a node that starts now joins from its peers.
    let mix = vec![load_route("POST", "/orders", 10, 0)];
    let report = spawn_load(fleet.caller_addresses(), 100.0, 2, mix)
        .join()
        .expect("load ends");
    assert_eq!(report.count(CallerResult::Answered), report.records.len());
    let peers = format!("peers: [\"{}\"]\n", entry.peers);
    let late = fleet
        .workdir
        .start_node_with("late", "hamilton", None, &peers);
    wait_until("the late node serves", || {
        http_request(late.callers, "POST", "guild.example", "/orders", &[], "x")
            .is_some_and(|a| a.status == 200)
    });
    assert_eq!(version(&late), 1);
    // The platform is back: changes are accepted and reach every node.
    fleet.set_faults("{}");
    fleet
        .workdir
        .run_cli_ok(Some(&late), &["apply", "--wait", "-f", "b.yaml"]);
    for node in fleet.nodes.iter().chain([&late]) {
        assert_eq!(version(node), 2);
    }
    fleet.nodes.clear();
}

#[test]
fn a_node_that_cannot_know_its_floor_serves_nothing() {
    let mut w = Workdir::new("floor");
    let platform = w.start_platform();
    let first = w.start_node("first", "hamilton", None);
    w.wait_until_joined(&[&first]);
    let fault = http_request(
        w.platform.unwrap(),
        "POST",
        "x",
        "/faults",
        &[],
        "{\"down\": true}",
    );
    assert_eq!(fault.expect("an answer").status, 200);
    let alone = w.start_node("alone", "hamilton", None);
    sleep(Duration::from_millis(1500));
    let answer =
        http_request(alone.callers, "GET", "guild.example", "/stock", &[], "").expect("an answer");
    assert_eq!(answer.status, 503);
    assert_eq!(
        answer.header("tarragon-outcome").as_deref(),
        Some("not-run; not-ready")
    );
    assert_eq!(
        http_request(alone.admin, "GET", "x", "/ready", &[], "")
            .expect("an answer")
            .status,
        503
    );
    drop(platform);
}

#[test]
fn a_lost_answer_is_resolved_and_never_submitted_twice() {
    let fleet = Fleet::start("lost", 2, 1, "{}");
    for n in 0..6 {
        fleet.set_faults(&format!("{{\"lose_answers\": {}}}", n % 3 + 1));
        let deadline = format!("deadline: {}s", n + 4);
        fleet
            .workdir
            .write("b.yaml", &FLEET_SETTINGS.replace("deadline: 3s", &deadline));
        let said = fleet.workdir.run_cli_ok(
            Some(&fleet.entry_nodes[n % 2]),
            &["apply", "--wait", "-f", "b.yaml"],
        );
        assert!(said.contains(&format!("version={}", n + 2)), "{said}");
    }
    let history = fleet
        .workdir
        .run_cli_ok(Some(&fleet.entry_nodes[0]), &["history"]);
    assert_eq!(history.lines().count(), 8, "{history}");
}

#[test]
fn a_frozen_node_wakes_to_the_current_version() {
    let fleet = Fleet::start("frozen", 2, 1, "{}");
    let frozen = &fleet.entry_nodes[1];
    frozen.process.signal("-STOP");
    fleet.workdir.write(
        "b.yaml",
        &FLEET_SETTINGS.replace("prefix: /stock", "prefix: /shelf"),
    );
    fleet
        .workdir
        .run_cli_ok(Some(&fleet.entry_nodes[0]), &["apply", "-f", "b.yaml"]);
    sleep(Duration::from_secs(8));
    frozen.process.signal("-CONT");
    wait_until("the woken node is current", || version(frozen) == 2);
    let answer =
        http_request(frozen.callers, "GET", "guild.example", "/shelf", &[], "").expect("an answer");
    assert_eq!(answer.status, 200);
}

#[test]
fn a_restarted_fleet_comes_back_with_what_was_accepted() {
    let mut fleet = Fleet::start("herd", 1, 3, "{}");
    let names: Vec<_> = (0..3).map(|n| format!("cutbook-{n}")).collect();
    fleet.nodes.clear();
    for (n, name) in names.iter().enumerate() {
        let target = Some(("guild/services/cutbook", fleet.targets[n].1));
        let node = fleet.workdir.start_node(name, "hamilton", target);
        fleet.nodes.push(node);
    }
    let entry = &fleet.entry_nodes[0];
    wait_until("all are back and current", || {
        let page = http_request(entry.admin, "GET", "x", "/v1/status", &[], "").expect("an answer");
        page.body.contains("\"targets\":3") && fleet.nodes.iter().all(|n| version(n) == 1)
    });
}

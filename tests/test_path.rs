//! End-to-end test with separate processes: applies settings, sends requests, changes a route, and
//! kills a target.

mod support;

use support::{SETTINGS, Workdir, http_request, wait_until};

const BEHAVIOUR: &str = "{\"service_ms\": 1}";

#[test]
fn a_request_crosses_two_nodes_and_a_change_takes_effect_without_restart() {
    let mut workdir = Workdir::new("path");
    let _platform = workdir.start_platform();
    let (_target1, address1) = workdir.start_target(BEHAVIOUR);
    let (mut target2, address2) = workdir.start_target(BEHAVIOUR);
    let service = "guild/services/cutbook";
    let entry = workdir.start_node("entry", "hamilton", None);
    let node1 = workdir.start_node("cutbook-1", "hamilton", Some((service, address1)));
    let node2 = workdir.start_node("cutbook-2", "matamata", Some((service, address2)));
    workdir.write("a.yaml", SETTINGS);
    workdir.wait_until_joined(&[&entry, &node1, &node2]);
    workdir.run_cli_ok(Some(&node1), &["apply", "--wait", "-f", "a.yaml"]);

    let send = |id: &str| {
        http_request(
            entry.callers,
            "GET",
            "guild.example",
            "/cutting/1",
            &[("x-request-id", id)],
            "",
        )
    };
    wait_until("a request is answered", || {
        send("warm").is_some_and(|r| r.status == 200)
    });
    let response = send("r1").expect("the node responds");
    assert_eq!(response.body, "r1;");
    assert_eq!(
        response.header("tarragon-outcome").as_deref(),
        Some("answered")
    );

    // A second change gives the route another prefix. It takes effect on every node without a
    // restart.
    workdir.write(
        "b.yaml",
        &SETTINGS.replace("prefix: /cutting", "prefix: /sawing"),
    );
    workdir.run_cli_ok(Some(&entry), &["apply", "--wait", "-f", "b.yaml"]);
    for node in [&entry, &node1, &node2] {
        let old = http_request(node.callers, "GET", "guild.example", "/cutting/1", &[], "")
            .expect("the node responds");
        assert_eq!(old.status, 404);
        let new = http_request(
            node.callers,
            "GET",
            "guild.example",
            "/sawing/1",
            &[("x-request-id", "n")],
            "",
        );
        assert_eq!(new.expect("the node responds").body, "n;");
    }

    // After one target is killed, the other answers every request.
    target2.kill();
    for n in 0..50 {
        let id = format!("after-{n}");
        let headers = [("x-request-id", id.as_str())];
        let response = http_request(
            entry.callers,
            "GET",
            "guild.example",
            "/sawing/1",
            &headers,
            "",
        );
        assert_eq!(response.expect("the node responds").body, format!("{id};"));
    }
}

//! The whole path as separate processes: apply, forward, change, and a target's death.

mod support;

use support::{SETTINGS, Workdir, http_request, wait_until};

const BEHAVIOUR: &str = "{\"service_ms\": 1}";

#[test]
fn request_crosses_two_nodes_and_a_change_takes_hold() {
    let mut w = Workdir::new("path");
    let _platform = w.start_platform();
    let (_t1, at1) = w.start_target(BEHAVIOUR);
    let (mut t2, at2) = w.start_target(BEHAVIOUR);
    let service = "guild/services/cutbook";
    let entry = w.start_node("entry", "hamilton", None);
    let n1 = w.start_node("cutbook-1", "hamilton", Some((service, at1)));
    let n2 = w.start_node("cutbook-2", "matamata", Some((service, at2)));
    w.write("a.yaml", SETTINGS);
    w.wait_until_joined(&[&entry, &n1, &n2]);
    w.run_cli_ok(Some(&n1), &["apply", "--wait", "-f", "a.yaml"]);

    let call = |id: &str| {
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
        call("warm").is_some_and(|a| a.status == 200)
    });
    let answer = call("r1").expect("an answer");
    assert_eq!(answer.body, "r1;");
    assert_eq!(
        answer.header("tarragon-outcome").as_deref(),
        Some("answered")
    );

    // A second change moves the route on every node, with no restart.
    w.write(
        "b.yaml",
        &SETTINGS.replace("prefix: /cutting", "prefix: /sawing"),
    );
    w.run_cli_ok(Some(&entry), &["apply", "--wait", "-f", "b.yaml"]);
    for node in [&entry, &n1, &n2] {
        let old = http_request(node.callers, "GET", "guild.example", "/cutting/1", &[], "")
            .expect("an answer");
        assert_eq!(old.status, 404);
        let new = http_request(
            node.callers,
            "GET",
            "guild.example",
            "/sawing/1",
            &[("x-request-id", "n")],
            "",
        );
        assert_eq!(new.expect("an answer").body, "n;");
    }

    // One target dies; every later request is answered by the other.
    t2.kill();
    for n in 0..50 {
        let id = format!("after-{n}");
        let headers = [("x-request-id", id.as_str())];
        let answer = http_request(
            entry.callers,
            "GET",
            "guild.example",
            "/sawing/1",
            &headers,
            "",
        );
        assert_eq!(answer.expect("an answer").body, format!("{id};"));
    }
}

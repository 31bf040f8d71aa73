//! `tarragon apply` and the commands around it, against a live node.

mod support;

use support::{NodeProcess, Process, SETTINGS, Workdir, http_request, text};

fn start(name: &str) -> (Workdir, Process, NodeProcess) {
    let mut w = Workdir::new(name);
    let platform = w.start_platform();
    let node = w.start_node("solo", "hamilton", None);
    w.wait_until_joined(&[&node]);
    w.write("a.yaml", SETTINGS);
    (w, platform, node)
}

#[test]
fn a_change_is_accepted_shown_undone_and_deleted() {
    let (w, _platform, node) = start("apply");
    let n = Some(&node);
    assert!(
        w.run_cli_ok(n, &["apply", "--dry-run", "-f", "a.yaml"])
            .starts_with("checked")
    );
    assert!(
        w.run_cli_ok(n, &["get"]).starts_with("# version 0"),
        "a dry run changes nothing"
    );
    let accepted = w.run_cli_ok(n, &["apply", "-f", "a.yaml"]);
    assert!(accepted.starts_with("accepted version=1"), "{accepted}");
    let change = accepted
        .trim()
        .rsplit('=')
        .next()
        .expect("an id")
        .to_string();
    assert!(
        w.run_cli_ok(n, &["apply", "-f", "a.yaml"])
            .starts_with("unchanged version=1")
    );
    assert!(
        w.run_cli_ok(n, &["change", "show", &change])
            .contains("admin")
    );

    w.write("b.yaml", &SETTINGS.replace("deadline: 5s", "deadline: 7s"));
    let diff = w.run_cli_ok(n, &["diff", "-f", "b.yaml"]);
    assert!(
        diff.contains("- deadline: 5s") && diff.contains("+ deadline: 7s"),
        "{diff}"
    );
    w.run_cli_ok(n, &["apply", "-f", "b.yaml"]);
    assert!(
        w.run_cli_ok(n, &["get", "guild/routes"])
            .contains("deadline: 7s")
    );
    assert!(
        w.run_cli_ok(n, &["undo", "1"])
            .starts_with("accepted version=3")
    );
    assert!(
        w.run_cli_ok(n, &["get", "guild/routes"])
            .contains("deadline: 5s")
    );
    let history = w.run_cli_ok(n, &["history"]);
    assert_eq!(history.lines().count(), 4, "{history}");

    // What is printed is taken back as it is.
    w.write("c.yaml", &w.run_cli_ok(n, &["get"]));
    assert!(
        w.run_cli_ok(n, &["apply", "-f", "c.yaml"])
            .starts_with("unchanged")
    );

    // A service in use cannot go; with its route it can.
    let refused = w.run_cli(n, &["delete", "guild/services/cutbook"]);
    assert_eq!(refused.status.code(), Some(3));
    w.run_cli_ok(
        n,
        &["delete", "guild/services/cutbook", "guild/routes/cutting"],
    );
    assert!(!w.run_cli_ok(n, &["get"]).contains("cutbook"));
}

#[test]
fn a_refused_change_changes_nothing() {
    let (w, _platform, node) = start("refuse");
    let n = Some(&node);
    w.run_cli_ok(n, &["apply", "-f", "a.yaml"]);
    w.write("bad.yaml", "kind: service\npath: guild/services/new\n---\nkind: route\npath: guild/routes/new\nprefix: /new\nservice: guild/services/none\n");
    let output = w.run_cli(n, &["apply", "-f", "bad.yaml"]);
    assert_eq!(output.status.code(), Some(3));
    let err = text(&output.stderr);
    assert!(err.contains("bad.yaml:4: guild/routes/new"), "{err}");
    assert!(
        !w.run_cli_ok(n, &["get"]).contains("new"),
        "no part of it was applied"
    );
}

#[test]
fn a_team_writes_its_own_subtree_only() {
    let (w, _platform, node) = start("teams");
    let n = Some(&node);
    w.run_cli_ok(n, &["apply", "-f", "a.yaml"]);
    let token = w.run_cli_ok(None, &["token", "--of", "hokusei-token"]);
    let hash = token.lines().last().expect("a hash");
    w.write("team.yaml", &format!("kind: team\npath: hokusei\n{hash}\n"));
    w.run_cli_ok(n, &["apply", "-f", "team.yaml"]);
    w.write("own.yaml", "kind: service\npath: hokusei/services/quotes\n");
    w.write("foreign.yaml", "kind: service\npath: hokusei/services/orders\n---\nkind: service\npath: guild/services/quotes\n");
    w.run_cli_ok(n, &["apply", "--token", "hokusei-token", "-f", "own.yaml"]);
    let foreign = w.run_cli(
        n,
        &["apply", "--token", "hokusei-token", "-f", "foreign.yaml"],
    );
    assert_eq!(foreign.status.code(), Some(3));
    assert!(text(&foreign.stderr).contains("does not own this path"));
    let nobody = w.run_cli(n, &["apply", "--token", "wrong", "-f", "own.yaml"]);
    assert_eq!(nobody.status.code(), Some(1));
    let config = w.run_cli_ok(n, &["get"]);
    assert!(!config.contains("hokusei/services/orders"), "refused whole");
}

#[test]
fn racing_operators_get_a_conflict_that_names_path_author_and_version() {
    let (w, _platform, node) = start("race");
    let n = Some(&node);
    w.run_cli_ok(n, &["apply", "-f", "a.yaml"]);
    let body = |base: u64, path: &str, change: u8| {
        format!(
            "{{\"change\":\"{change:032x}\",\"base\":{base},\"dry_run\":false,\
             \"edits\":[{{\"path\":\"{path}\",\"object\":{{\"Service\":[null,null]}}}}]}}"
        )
    };
    let bearer = format!("Bearer {}", support::ADMIN_TOKEN);
    let headers = [("authorization", bearer.as_str())];
    let apply = |b: String| {
        http_request(node.admin, "POST", "x", "/v1/apply", &headers, &b).expect("an answer")
    };
    assert_eq!(apply(body(1, "guild/services/one", 1)).status, 200);
    // Another path on the same outdated base is rebased; the same path is a conflict.
    assert_eq!(apply(body(1, "guild/services/two", 2)).status, 200);
    let conflict = apply(body(1, "guild/services/one", 3));
    assert_eq!(conflict.status, 409);
    assert!(
        conflict
            .body
            .contains("guild/services/one was changed by `admin` in version 2"),
        "{}",
        conflict.body
    );
}

#[test]
fn state_metrics_and_probes_are_there() {
    let (w, _platform, node) = start("state");
    let n = Some(&node);
    w.run_cli_ok(n, &["apply", "-f", "a.yaml"]);
    let dump: serde_json::Value = serde_json::from_str(&w.run_cli_ok(n, &["dump"])).expect("JSON");
    for part in [
        "configuration",
        "members",
        "routing",
        "gate",
        "slot",
        "retry_budget",
    ] {
        assert!(dump.get(part).is_some(), "{part}");
    }
    assert!(!dump.to_string().contains("fleet-key-0123"), "no secrets");
    assert_eq!(dump["configuration"]["version"], 1);
    assert_eq!(
        http_request(node.admin, "GET", "x", "/v1/dump", &[], "")
            .expect("an answer")
            .status,
        401
    );
    let metrics = http_request(node.admin, "GET", "x", "/metrics", &[], "").expect("an answer");
    assert!(
        metrics
            .body
            .contains("tarragon_level{name=\"config_version\"} 1"),
        "{}",
        metrics.body
    );
    assert!(metrics.body.trim_end().ends_with("# EOF"));
    for page in ["/live", "/ready"] {
        assert_eq!(
            http_request(node.admin, "GET", "x", page, &[], "")
                .expect("an answer")
                .status,
            200
        );
    }
    let status = w.run_cli_ok(n, &["status"]);
    assert!(status.contains("guild/services/cutbook"), "{status}");
}

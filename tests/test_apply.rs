//! Tests of `tarragon apply` and the related commands against a running node.

mod support;

use support::{NodeProcess, Process, SETTINGS, Workdir, http_request, text};

/// Starts a platform stand-in and one node, and writes [`SETTINGS`] to `a.yaml`.
fn start_node(name: &str) -> (Workdir, Process, NodeProcess) {
    let mut workdir = Workdir::new(name);
    let platform = workdir.start_platform();
    let node = workdir.start_node("solo", "hamilton", None);
    workdir.wait_until_joined(&[&node]);
    workdir.write("a.yaml", SETTINGS);
    (workdir, platform, node)
}

#[test]
fn a_change_is_accepted_shown_undone_and_deleted() {
    let (workdir, _platform, node) = start_node("apply");
    let on_node = Some(&node);
    assert!(
        workdir
            .run_cli_ok(on_node, &["apply", "--dry-run", "-f", "a.yaml"])
            .starts_with("checked")
    );
    assert!(
        workdir
            .run_cli_ok(on_node, &["get"])
            .starts_with("# version 0"),
        "the dry run changed the configuration"
    );
    let accepted = workdir.run_cli_ok(on_node, &["apply", "-f", "a.yaml"]);
    assert!(accepted.starts_with("accepted version=1"), "{accepted}");
    let change_id = accepted
        .trim()
        .rsplit('=')
        .next()
        .expect("the output contains a change id")
        .to_string();
    assert!(
        workdir
            .run_cli_ok(on_node, &["apply", "-f", "a.yaml"])
            .starts_with("unchanged version=1")
    );
    assert!(
        workdir
            .run_cli_ok(on_node, &["change", "show", &change_id])
            .contains("admin")
    );

    workdir.write("b.yaml", &SETTINGS.replace("deadline: 5s", "deadline: 7s"));
    let diff = workdir.run_cli_ok(on_node, &["diff", "-f", "b.yaml"]);
    assert!(
        diff.contains("- deadline: 5s") && diff.contains("+ deadline: 7s"),
        "{diff}"
    );
    workdir.run_cli_ok(on_node, &["apply", "-f", "b.yaml"]);
    assert!(
        workdir
            .run_cli_ok(on_node, &["get", "guild/routes"])
            .contains("deadline: 7s")
    );
    assert!(
        workdir
            .run_cli_ok(on_node, &["undo", "1"])
            .starts_with("accepted version=3")
    );
    assert!(
        workdir
            .run_cli_ok(on_node, &["get", "guild/routes"])
            .contains("deadline: 5s")
    );
    let history = workdir.run_cli_ok(on_node, &["history"]);
    assert_eq!(history.lines().count(), 4, "{history}");

    // The output of `get` can be applied again; it changes nothing.
    workdir.write("c.yaml", &workdir.run_cli_ok(on_node, &["get"]));
    assert!(
        workdir
            .run_cli_ok(on_node, &["apply", "-f", "c.yaml"])
            .starts_with("unchanged")
    );

    // A service that a route refers to can only be deleted together with that route.
    let rejected = workdir.run_cli(on_node, &["delete", "guild/services/cutbook"]);
    assert_eq!(rejected.status.code(), Some(3));
    workdir.run_cli_ok(
        on_node,
        &["delete", "guild/services/cutbook", "guild/routes/cutting"],
    );
    assert!(!workdir.run_cli_ok(on_node, &["get"]).contains("cutbook"));
}

#[test]
fn a_rejected_change_changes_nothing() {
    let (workdir, _platform, node) = start_node("apply-rejected");
    let on_node = Some(&node);
    workdir.run_cli_ok(on_node, &["apply", "-f", "a.yaml"]);
    workdir.write("bad.yaml", "kind: service\npath: guild/services/new\n---\nkind: route\npath: guild/routes/new\nprefix: /new\nservice: guild/services/none\n");
    let output = workdir.run_cli(on_node, &["apply", "-f", "bad.yaml"]);
    assert_eq!(output.status.code(), Some(3));
    let stderr = text(&output.stderr);
    assert!(stderr.contains("bad.yaml:4: guild/routes/new"), "{stderr}");
    assert!(
        !workdir.run_cli_ok(on_node, &["get"]).contains("new"),
        "the change was partly applied"
    );
}

#[test]
fn a_team_writes_its_own_subtree_only() {
    let (workdir, _platform, node) = start_node("apply-teams");
    let on_node = Some(&node);
    workdir.run_cli_ok(on_node, &["apply", "-f", "a.yaml"]);
    let token = workdir.run_cli_ok(None, &["token", "--of", "hokusei-token"]);
    let token_hash = token
        .lines()
        .last()
        .expect("the output contains a token hash");
    workdir.write(
        "team.yaml",
        &format!("kind: team\npath: hokusei\n{token_hash}\n"),
    );
    workdir.run_cli_ok(on_node, &["apply", "-f", "team.yaml"]);
    workdir.write("own.yaml", "kind: service\npath: hokusei/services/quotes\n");
    workdir.write("foreign.yaml", "kind: service\npath: hokusei/services/orders\n---\nkind: service\npath: guild/services/quotes\n");
    workdir.run_cli_ok(
        on_node,
        &["apply", "--token", "hokusei-token", "-f", "own.yaml"],
    );
    let foreign = workdir.run_cli(
        on_node,
        &["apply", "--token", "hokusei-token", "-f", "foreign.yaml"],
    );
    assert_eq!(foreign.status.code(), Some(3));
    assert!(text(&foreign.stderr).contains("does not own this path"));
    let unauthorized = workdir.run_cli(on_node, &["apply", "--token", "wrong", "-f", "own.yaml"]);
    assert_eq!(unauthorized.status.code(), Some(1));
    let config = workdir.run_cli_ok(on_node, &["get"]);
    assert!(
        !config.contains("hokusei/services/orders"),
        "the rejected change was partly applied"
    );
}

#[test]
fn racing_operators_get_a_conflict_that_names_path_author_and_version() {
    let (workdir, _platform, node) = start_node("apply-race");
    let on_node = Some(&node);
    workdir.run_cli_ok(on_node, &["apply", "-f", "a.yaml"]);
    let apply_body = |base: u64, path: &str, change_id: u8| {
        format!(
            "{{\"change\":\"{change_id:032x}\",\"base\":{base},\"dry_run\":false,\
             \"edits\":[{{\"path\":\"{path}\",\"object\":{{\"Service\":[null,null]}}}}]}}"
        )
    };
    let bearer = format!("Bearer {}", support::ADMIN_TOKEN);
    let headers = [("authorization", bearer.as_str())];
    let apply = |body: String| {
        http_request(node.admin, "POST", "x", "/v1/apply", &headers, &body)
            .expect("the node responds")
    };
    assert_eq!(apply(apply_body(1, "guild/services/one", 1)).status, 200);
    // A change with an outdated base version is rebased if it edits another path, and is a
    // conflict if it edits the same path.
    assert_eq!(apply(apply_body(1, "guild/services/two", 2)).status, 200);
    let conflict = apply(apply_body(1, "guild/services/one", 3));
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
fn dump_metrics_and_probe_endpoints_respond() {
    let (workdir, _platform, node) = start_node("endpoints");
    let on_node = Some(&node);
    workdir.run_cli_ok(on_node, &["apply", "-f", "a.yaml"]);
    let dump: serde_json::Value = serde_json::from_str(&workdir.run_cli_ok(on_node, &["dump"]))
        .expect("the output is valid JSON");
    for section in [
        "configuration",
        "members",
        "routing",
        "gate",
        "slot",
        "retry_budget",
    ] {
        assert!(
            dump.get(section).is_some(),
            "the dump has no section `{section}`"
        );
    }
    assert!(
        !dump.to_string().contains("fleet-key-0123"),
        "the dump contains a secret"
    );
    assert_eq!(dump["configuration"]["version"], 1);
    assert_eq!(
        http_request(node.admin, "GET", "x", "/v1/dump", &[], "")
            .expect("the node responds")
            .status,
        401
    );
    let metrics =
        http_request(node.admin, "GET", "x", "/metrics", &[], "").expect("the node responds");
    assert!(
        metrics
            .body
            .contains("tarragon_level{name=\"config_version\"} 1"),
        "{}",
        metrics.body
    );
    assert!(metrics.body.trim_end().ends_with("# EOF"));
    for endpoint in ["/live", "/ready"] {
        assert_eq!(
            http_request(node.admin, "GET", "x", endpoint, &[], "")
                .expect("the node responds")
                .status,
            200
        );
    }
    let status = workdir.run_cli_ok(on_node, &["status"]);
    assert!(status.contains("guild/services/cutbook"), "{status}");
}

//! `tarragon check`: each kind of bad settings gives one clear error with file, line, path and
//! remedy, and a good file gives none.

mod support;

use support::{SETTINGS, Workdir, text};

/// Appends a document to good settings and expects exactly one problem that holds the words.
fn expect(name: &str, document: &str, words: &[&str]) {
    let w = Workdir::new(&format!("check-{name}"));
    w.write(
        "a.yaml",
        &format!("{}---\n{document}", SETTINGS.trim_start()),
    );
    let output = w.run_cli(None, &["check", "a.yaml"]);
    let err = text(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{name}: {err}");
    assert_eq!(err.trim().lines().count(), 1, "{name}: one problem: {err}");
    for word in words {
        assert!(err.contains(word), "{name}: `{word}` is missing in: {err}");
    }
}

#[test]
fn good_settings_pass() {
    let w = Workdir::new("check-good");
    w.write("a.yaml", SETTINGS);
    assert_eq!(
        w.run_cli_ok(None, &["check", "a.yaml"]).trim(),
        "3 objects, no problems"
    );
}

#[test]
fn a_file_without_settings_is_refused() {
    let w = Workdir::new("check-empty");
    for (name, content) in [("empty.yaml", ""), ("comment.yaml", "# to be written\n")] {
        w.write(name, content);
        let output = w.run_cli(None, &["check", name]);
        let err = text(&output.stderr);
        assert_eq!(output.status.code(), Some(3), "{name}: {err}");
        assert!(err.contains("no settings are in there"), "{name}: {err}");
    }
}

#[test]
fn each_kind_of_bad_settings_has_its_error() {
    let service = "kind: service\npath: guild/services/x\n";
    let route = "kind: route\npath: guild/routes/x\nprefix: /x\nservice: guild/services/cutbook\n";
    let target = "kind: target\npath: guild/targets/x\nservice: guild/services/cutbook\n";
    expect(
        "unknown-field",
        &format!("{service}colour: red\n"),
        &[
            "a.yaml:19: guild/services/x: unknown field `colour`",
            "remove",
        ],
    );
    expect(
        "unknown-kind",
        "kind: tunnel\npath: guild/x\n",
        &["a.yaml:17:", "kind `tunnel`", "use team, service"],
    );
    expect(
        "missing-field",
        "kind: target\npath: guild/targets/x\nservice: guild/services/cutbook\n",
        &["guild/targets/x", "missing field `slots`", "add it"],
    );
    expect(
        "no-unit",
        &format!("{route}deadline: 250\n"),
        &["a.yaml:21: guild/routes/x", "needs a unit", "ms, s, m, h"],
    );
    expect(
        "wrong-unit",
        &format!("{route}deadline: 4KiB\n"),
        &["`4KiB` needs a unit"],
    );
    expect(
        "too-long",
        &format!("{route}deadline: 3h\n"),
        &["deadline 3h is too long", "at most 1h"],
    );
    expect(
        "out-of-bounds",
        &format!("{target}slots: 0\n"),
        &["slots 0 is out of bounds", "use 1 to 4096"],
    );
    expect(
        "bad-path",
        "kind: service\npath: guild//x\n",
        &["a.yaml:17: guild//x", "rename it"],
    );
    expect(
        "duplicate-path",
        "kind: service\npath: guild/services/cutbook\n",
        &["already set on line 5", "remove or rename"],
    );
    expect(
        "missing-service",
        "kind: route\npath: guild/routes/x\nprefix: /x\nservice: guild/services/none\n",
        &[
            "a.yaml:17: guild/routes/x",
            "`guild/services/none` does not exist",
            "add it",
        ],
    );
    expect(
        "missing-team",
        "kind: service\npath: nobody/services/x\n",
        &["team `nobody` does not exist"],
    );
    expect(
        "ambiguous-route",
        "kind: route\npath: guild/routes/x\nhost: guild.example\nprefix: /cutting\nservice: guild/services/cutbook\n",
        &["same host, prefix and method", "guild/routes/cutting"],
    );
    expect(
        "bad-class",
        &format!("{route}class: urgent\n"),
        &["class `urgent` is not known", "lookup, order"],
    );
    expect(
        "bad-method",
        &format!("{route}methods: [post]\n"),
        &["method `post` must be upper-case"],
    );
    expect("not-yaml", "kind: [service\n", &["a.yaml:"]);
}

#[test]
fn every_problem_of_a_file_is_told() {
    let w = Workdir::new("check-many");
    w.write("a.yaml", "kind: tunnel\npath: a\n---\nkind: service\npath: A\n---\nkind: service\npath: guild/x\nhealth: up\n");
    let output = w.run_cli(None, &["check", "a.yaml"]);
    assert_eq!(text(&output.stderr).trim().lines().count(), 3);
}

#[test]
fn a_missing_file_and_a_wrong_option_are_told() {
    let w = Workdir::new("check-missing");
    assert_eq!(
        w.run_cli(None, &["check", "none.yaml"]).status.code(),
        Some(1)
    );
    assert_eq!(
        w.run_cli(None, &["check", "--colour", "a.yaml"])
            .status
            .code(),
        Some(2)
    );
    assert_eq!(w.run_cli(None, &["paint"]).status.code(), Some(2));
    for command in [
        "apply",
        "change",
        "check",
        "delete",
        "demo",
        "diff",
        "drain",
        "dump",
        "experiment",
        "get",
        "history",
        "load",
        "status",
        "token",
        "undo",
    ] {
        let help = w.run_cli_ok(None, &[command, "--help"]);
        assert!(help.contains("Usage:"), "{command}: {help}");
    }
}

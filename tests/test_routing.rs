//! Which route a request's path belongs to.

use tarragoncourse::state::id::Version;
use tarragoncourse::state::member::MemberTable;
use tarragoncourse::state::object::Idempotency;
use tarragoncourse::state::routing::RoutingTable;
use tarragoncourse::state::settings::parse_file;
use tarragoncourse::state::snapshot::Snapshot;

/// Builds the table of routes that are named after their position in `routes`. Each has a host, a
/// prefix, and further fields.
fn table(routes: &[(&str, &str, &str)]) -> RoutingTable {
    let mut text = "kind: service\npath: guild/services/s\n".to_string();
    for (n, (host, prefix, fields)) in routes.iter().enumerate() {
        text.push_str(&format!(
            "---\nkind: route\npath: guild/routes/r{n}\nhost: {host}\nprefix: {prefix}\n\
             service: guild/services/s\n{fields}"
        ));
    }
    let parsed = parse_file("routes.yaml", &text).expect("valid settings");
    let entries = parsed.into_iter().map(|o| o.entry).collect();
    let config = Snapshot::from_external(Version(1), entries);
    RoutingTable::build(&config, &MemberTable::default())
}

/// Name of the route that `path` belongs to, or `-`.
fn route_name(table: &RoutingTable, path: &str) -> String {
    let found = table.route("a.example", path, "POST");
    found.map_or_else(|| "-".to_string(), |r| r.path.name().to_string())
}

/// Guards against an order that runs twice because its path, a collection without a final slash, is
/// taken for one of the idempotent route below it.
#[test]
fn a_path_without_the_final_slash_of_a_prefix_belongs_to_the_shorter_prefix() {
    let table = table(&[
        ("a.example", "/cutting/", "idempotent: never\n"),
        ("a.example", "/cutting/plans/", "idempotent: always\n"),
    ]);
    for (path, expected) in [
        ("/cutting/17", "r0"),
        ("/cutting/plans", "r0"),
        ("/cutting/plansy/1", "r0"),
        ("/cutting/plans/", "r1"),
        ("/cutting/plans/1", "r1"),
        ("/cutting/plans//", "r1"),
        ("/cutting/", "r0"),
        ("/cutting//plans/1", "r0"),
        ("/cutting", "-"),
        ("//cutting/1", "-"),
        ("/", "-"),
    ] {
        assert_eq!(route_name(&table, path), expected, "{path}");
    }
    let order = table.route("a.example", "/cutting/plans", "POST").unwrap();
    assert_eq!(order.route.idempotency, Idempotency::Never);
}

/// Guards against two prefixes that differ only in their slashes and are taken for one.
#[test]
fn slashes_of_a_prefix_are_compared_literally() {
    let table = table(&[
        ("a.example", "/a/", ""),
        ("a.example", "/a//", ""),
        ("a.example", "/b//c/", ""),
        ("a.example", "/", ""),
    ]);
    for (path, expected) in [
        ("/a/x", "r0"),
        ("/a//x", "r1"),
        ("/a//", "r1"),
        ("/b//c/1", "r2"),
        ("/b/c/1", "r3"),
        ("/a", "r3"),
        ("/", "r3"),
    ] {
        assert_eq!(route_name(&table, path), expected, "{path}");
    }
}

/// A prefix without a final slash also names the path that equals it; a prefix with one is longer.
#[test]
fn a_prefix_without_a_final_slash_matches_whole_segments() {
    let table = table(&[
        ("a.example", "/stock", ""),
        ("a.example", "/stock/slate/", ""),
        ("a.example", "/stock/slate", ""),
    ]);
    for (path, expected) in [
        ("/stock", "r0"),
        ("/stock/", "r0"),
        ("/stock/1/2", "r0"),
        ("/stocks", "-"),
        ("/stock/slate", "r2"),
        ("/stock/slate/", "r1"),
        ("/stock/slate/1", "r1"),
        ("/stock/slates", "r0"),
    ] {
        assert_eq!(route_name(&table, path), expected, "{path}");
    }
}

/// The longest prefix is found in paths that have more segments than any prefix.
#[test]
fn a_path_of_many_segments_finds_its_prefix() {
    let table = table(&[("a.example", "/deep/", "")]);
    let path = format!("/deep{}", "/x".repeat(4000));
    assert_eq!(route_name(&table, &path), "r0");
    assert_eq!(route_name(&table, &"/x".repeat(4000)), "-");
}

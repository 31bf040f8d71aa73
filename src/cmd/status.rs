//! Shows nodes and services.

use std::collections::HashMap;
use std::ffi::OsString;

use serde_json::Value;

use crate::api::ApiClient;
use crate::error::CliResult;
use crate::util::{block_on, parse_common_args, print_table};

const USAGE: &str = "
Shows each node with its state and version, and each service with its targets, as
one node sees them.

Usage:
    tarragon status [options]

Options:
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --json           print JSON
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let (config, _) = parse_common_args(argv, USAGE)?;
    let json = config.json;
    block_on(async {
        let api = ApiClient::new(config);
        let page = api.get("/v1/status").await?;
        let versions = api.get("/v1/convergence").await?;
        if json {
            println!(
                "{}",
                serde_json::json!({ "status": page, "convergence": versions })
            );
            return Ok(());
        }
        print(&page, &versions);
        Ok(())
    })
}

fn print(page: &Value, versions: &Value) {
    let pairs = versions["versions"].as_array().into_iter().flatten();
    let held: HashMap<&str, &Value> = pairs
        .filter_map(|p| Some((p[0].as_str()?, &p[1])))
        .collect();
    let nodes = page["nodes"].as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> = nodes.map(|n| node_row(page, n, &held)).collect();
    print_table(
        &[
            "PEER", "ZONE", "STATE", "VERSION", "INSTANCE", "SERVICE", "WATCHER",
        ],
        &rows,
    );
    println!();
    let services = page["services"].as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> = services
        .map(|s| vec![cell(&s["path"]), cell(&s["targets"])])
        .collect();
    print_table(&["SERVICE", "TARGETS"], &rows);
}

fn node_row(page: &Value, node: &Value, held: &HashMap<&str, &Value>) -> Vec<String> {
    let peer = cell(&node["peer"]);
    let own = node["instance"] == page["instance"];
    let version = held.get(if own { "self" } else { peer.as_str() });
    vec![
        peer,
        cell(&node["zone"]),
        cell(&node["state"]),
        version.map_or_else(|| "?".to_string(), |v| cell(v)),
        cell(&node["instance"]),
        cell(&node["service"]),
        if node["watcher"] == true { "yes" } else { "" }.to_string(),
    ]
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

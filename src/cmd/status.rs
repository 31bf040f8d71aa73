//! Shows the nodes and services that are listed in the status of one node.

use std::collections::HashMap;
use std::ffi::OsString;

use serde_json::Value;

use crate::api::ApiClient;
use crate::error::CliResult;
use crate::util::{block_on, parse_common_args, print_table};

const USAGE: &str = "
Shows each node with its state and version, and each service with its number of
targets, as known to one node.

Usage:
    tarragon status [options]

Options:
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --json           print JSON
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let (options, _) = parse_common_args(argv, USAGE)?;
    let json = options.json;
    block_on(async {
        let api = ApiClient::new(options);
        let status = api.get("/v1/status").await?;
        let convergence = api.get("/v1/convergence").await?;
        if json {
            println!(
                "{}",
                serde_json::json!({ "status": status, "convergence": convergence })
            );
            return Ok(());
        }
        print_status(&status, &convergence);
        Ok(())
    })
}

fn print_status(status: &Value, convergence: &Value) {
    let pairs = convergence["versions"].as_array().into_iter().flatten();
    let version_by_node: HashMap<&str, &Value> = pairs
        .filter_map(|p| Some((p[0].as_str()?, &p[1])))
        .collect();
    let nodes = status["nodes"].as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> = nodes
        .map(|node| node_row(status, node, &version_by_node))
        .collect();
    print_table(
        &[
            "PEER", "ZONE", "STATE", "VERSION", "INSTANCE", "SERVICE", "WATCHER",
        ],
        &rows,
    );
    println!();
    let services = status["services"].as_array().into_iter().flatten();
    let rows: Vec<Vec<String>> = services
        .map(|service| vec![cell_text(&service["path"]), cell_text(&service["targets"])])
        .collect();
    print_table(&["SERVICE", "TARGETS"], &rows);
}

fn node_row(status: &Value, node: &Value, version_by_node: &HashMap<&str, &Value>) -> Vec<String> {
    let peer = cell_text(&node["peer"]);
    let is_self = node["instance"] == status["instance"];
    let version = version_by_node.get(if is_self { "self" } else { peer.as_str() });
    vec![
        peer,
        cell_text(&node["zone"]),
        cell_text(&node["state"]),
        version.map_or_else(|| "?".to_string(), |v| cell_text(v)),
        cell_text(&node["instance"]),
        cell_text(&node["service"]),
        if node["watcher"] == true { "yes" } else { "" }.to_string(),
    ]
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

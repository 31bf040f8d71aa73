//! Lists the newest changes.

use std::ffi::OsString;

use serde_json::Value;

use crate::api::ApiClient;
use crate::error::CliResult;
use crate::options::CliOptions;
use crate::util::{block_on, parse_args, positional_args, print_table};

const USAGE: &str = "
Lists the newest changes, newest first.

Usage:
    tarragon history [options]

Options:
    --limit N        maximum number of changes [default: 20]
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --json           print JSON
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut args = parse_args(argv, USAGE)?;
    let limit: Option<u64> = args.opt_value_from_str("--limit")?;
    let options = CliOptions::from_args(&mut args)?;
    let json = options.json;
    positional_args(args)?;
    block_on(async {
        let path = format!("/v1/history?limit={}", limit.unwrap_or(20));
        let changes = ApiClient::new(options).get(&path).await?;
        if json {
            println!("{changes}");
            return Ok(());
        }
        let rows: Vec<Vec<String>> = changes
            .as_array()
            .into_iter()
            .flatten()
            .map(change_row)
            .collect();
        print_table(&["VERSION", "AUTHOR", "CHANGE", "EDITS"], &rows);
        Ok(())
    })
}

/// The table cells of a change: version, author, change id, and the edited paths. A path is
/// prefixed with `+` if it was created or replaced, and with `-` if it was deleted.
pub fn change_row(change: &Value) -> Vec<String> {
    let edits = change["edits"].as_array().into_iter().flatten();
    let path = |e: &Value| match e["put"].as_str() {
        Some(path) => format!("+{path}"),
        None => format!("-{}", e["delete"].as_str().unwrap_or("?")),
    };
    let paths: Vec<String> = edits.map(path).collect();
    vec![
        change["version"].to_string(),
        change["author"].as_str().unwrap_or("?").to_string(),
        change["change"].as_str().unwrap_or("?").to_string(),
        paths.join(" "),
    ]
}

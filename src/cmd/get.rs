//! Prints settings.

use std::ffi::OsString;

use tarragoncourse::protocol::wire::WireEntry;
use tarragoncourse::state::settings::to_yaml;

use crate::api::ApiClient;
use crate::error::CliResult;
use crate::util::{block_on, parse_common_args};

const USAGE: &str = "
Prints the settings in force at one node, as YAML that `tarragon apply` accepts.

Usage:
    tarragon get [options] [PATH]

With PATH, prints only the settings at PATH and below.

Options:
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --json           print JSON
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let (options, paths) = parse_common_args(argv, USAGE)?;
    let json = options.json;
    block_on(async {
        let (version, mut entries) = ApiClient::new(options).config().await?;
        entries.retain(|e| paths.is_empty() || paths.iter().any(|p| is_under(e.path.as_str(), p)));
        if json {
            let wire_entries: Vec<WireEntry> = entries.iter().map(WireEntry::from).collect();
            println!(
                "{}",
                serde_json::json!({ "version": version.0, "entries": wire_entries })
            );
            return Ok(());
        }
        println!("# version {version}");
        let documents: Vec<String> = entries.iter().map(to_yaml).collect();
        print!("{}", documents.join("---\n"));
        Ok(())
    })
}

fn is_under(path: &str, root: &str) -> bool {
    path == root
        || path
            .strip_prefix(root)
            .is_some_and(|rest| rest.starts_with('/'))
}

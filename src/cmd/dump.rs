//! Prints the complete state of one node.

use std::ffi::OsString;

use crate::api::ApiClient;
use crate::error::{CliError, CliResult};
use crate::options::CliOptions;
use crate::util::{block_on, parse_args, positional_args};

const USAGE: &str = "
Prints the complete state of one node as JSON, without secrets.

Usage:
    tarragon dump [options] [NODE]

Options:
    --node ADDRESS   admin address of the node [env: TARRAGON_NODE]
    --token TOKEN    any team's token [env: TARRAGON_TOKEN]
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut argv = argv;
    // `dump ADDRESS` is a more readable alternative to `dump --node ADDRESS`.
    if argv
        .first()
        .is_some_and(|a| !a.to_string_lossy().starts_with('-'))
    {
        argv.insert(0, "--node".into());
    }
    let mut args = parse_args(argv, USAGE)?;
    let options = CliOptions::from_args(&mut args)?;
    positional_args(args)?;
    block_on(async {
        let state = ApiClient::new(options).get("/v1/dump").await?;
        let text = serde_json::to_string_pretty(&state);
        println!("{}", text.map_err(|e| CliError::Other(e.to_string()))?);
        Ok(())
    })
}

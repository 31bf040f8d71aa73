//! Applies the content of an older version as a new version.

use std::ffi::OsString;

use crate::api::ApiClient;
use crate::error::{CliError, CliResult};
use crate::options::CliOptions;
use crate::util::{block_on, one_positional_arg, parse_args};

const USAGE: &str = "
Applies the content of an older version as a new version.

Usage:
    tarragon undo [options] VERSION

Options:
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --token TOKEN    the team's token [env: TARRAGON_TOKEN]
    --json           print JSON
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut args = parse_args(argv, USAGE)?;
    let options = CliOptions::from_args(&mut args)?;
    let json = options.json;
    let version = one_positional_arg(args, "version")?;
    let version = version.parse().map_err(|_| {
        CliError::Usage(format!(
            "`{version}` is not a version number; list the versions with `tarragon history`"
        ))
    })?;
    block_on(async {
        let response = ApiClient::new(options).undo(version).await?;
        match json {
            true => println!("{}", serde_json::json!(response)),
            false => println!(
                "{} version={}",
                response.verdict,
                response.version.unwrap_or(0)
            ),
        }
        Ok(())
    })
}

//! Puts an older version's content into force.

use std::ffi::OsString;

use crate::api::Api;
use crate::config::Config;
use crate::error::{CliError, CliResult};
use crate::util::{arguments, block_on, one_word};

const USAGE: &str = "
Puts the content of an older version into force, as a new version.

Usage:
    tarragon undo [options] VERSION

Options:
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --token TOKEN    the team's token [env: TARRAGON_TOKEN]
    --json           print JSON
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut args = arguments(argv, USAGE)?;
    let config = Config::take(&mut args)?;
    let json = config.json;
    let version = one_word(args, "version")?;
    let version = version
        .parse()
        .map_err(|_| CliError::Usage(format!("`{version}` is not a version number")))?;
    block_on(async {
        let answer = Api::new(config).undo(version).await?;
        match json {
            true => println!("{}", serde_json::json!(answer)),
            false => println!("{} version={}", answer.verdict, answer.version.unwrap_or(0)),
        }
        Ok(())
    })
}

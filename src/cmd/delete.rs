//! Deletes settings.

use std::ffi::OsString;

use tarragoncourse::state::id::Path;
use tarragoncourse::state::snapshot::Edit;

use crate::api::ApiClient;
use crate::error::{CliError, CliResult};
use crate::options::CliOptions;
use crate::util::{block_on, parse_args, positional_args};

const USAGE: &str = "
Deletes the settings at the given paths in one change.

Usage:
    tarragon delete [options] PATH [PATH ...]

Options:
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --token TOKEN    the team's token [env: TARRAGON_TOKEN]
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut args = parse_args(argv, USAGE)?;
    let options = CliOptions::from_args(&mut args)?;
    let edits: Vec<Edit> = positional_args(args)?
        .iter()
        .map(|p| Path::new(p).map(Edit::Delete))
        .collect::<Result<_, _>>()
        .map_err(|e| CliError::Usage(e.to_string()))?;
    if edits.is_empty() {
        return Err(CliError::Usage("no path given; see --help".to_string()));
    }
    block_on(async {
        let api = ApiClient::new(options);
        let (base_version, current) = api.config().await?;
        let missing = edits
            .iter()
            .find(|e| !current.iter().any(|entry| entry.path == *e.path()));
        if let Some(edit) = missing {
            let message = format!(
                "{} does not exist; list the paths with `tarragon get`",
                edit.path()
            );
            return Err(CliError::Other(message));
        }
        let response = api.apply(base_version, &edits, false).await?;
        println!(
            "{} version={}",
            response.verdict,
            response.version.unwrap_or(0)
        );
        Ok(())
    })
}

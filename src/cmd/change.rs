//! Shows one accepted change.

use std::ffi::OsString;

use super::history::change_row;
use crate::api::ApiClient;
use crate::error::{CliError, CliResult};
use crate::util::{block_on, parse_common_args, print_table};

const USAGE: &str = "
Shows whether a change was accepted, and as which version.

Usage:
    tarragon change show [options] ID

Options:
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --json           print JSON
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let (options, args) = parse_common_args(argv, USAGE)?;
    let json = options.json;
    let [action, id] = &args[..] else {
        return Err(CliError::Usage(
            "expected `tarragon change show ID`".to_string(),
        ));
    };
    if action != "show" {
        return Err(CliError::Usage(format!(
            "unknown action `{action}`; use `show`"
        )));
    }
    block_on(async {
        let change = ApiClient::new(options)
            .get(&format!("/v1/change/{id}"))
            .await?;
        match json {
            true => println!("{change}"),
            false => print_table(
                &["VERSION", "AUTHOR", "CHANGE", "EDITS"],
                &[change_row(&change)],
            ),
        }
        Ok(())
    })
}

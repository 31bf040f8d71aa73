//! Shows what applying settings files would change.

use std::ffi::OsString;

use tarragoncourse::state::settings::to_yaml;
use tarragoncourse::state::snapshot::Entry;

use crate::api::ApiClient;
use crate::error::CliResult;
use crate::options::CliOptions;
use crate::util::{block_on, parse_args, positional_args, read_settings};

const USAGE: &str = "
Shows what `tarragon apply` would change: removed lines start with -, added lines
with +.

Usage:
    tarragon diff [options] -f FILE [-f FILE ...]

Options:
    -f FILE          a settings file, YAML
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut args = parse_args(argv, USAGE)?;
    let files: Vec<String> = args.values_from_str("-f")?;
    let options = CliOptions::from_args(&mut args)?;
    positional_args(args)?;
    let objects = read_settings(&files)?;
    block_on(async {
        let (_, current) = ApiClient::new(options).config().await?;
        for (_, object) in &objects {
            let before = current.iter().find(|e| e.path == object.entry.path);
            print_change(before, &object.entry);
        }
        Ok(())
    })
}

/// Prints the lines that are only in the old or only in the new YAML text of an object. Reordered
/// lines are not shown.
fn print_change(before: Option<&Entry>, after: &Entry) {
    let old = before.map(to_yaml).unwrap_or_default();
    let new = to_yaml(after);
    if old == new {
        return;
    }
    println!("{}", after.path);
    let removed = old.lines().filter(|line| !new.lines().any(|n| n == *line));
    removed.for_each(|line| println!("- {line}"));
    let added = new.lines().filter(|line| !old.lines().any(|o| o == *line));
    added.for_each(|line| println!("+ {line}"));
}

//! Checks settings files without a network connection.

use std::ffi::OsString;

use tarragoncourse::state::snapshot::Snapshot;
use tarragoncourse::state::validate::check_config;

use crate::error::{CliError, CliResult};
use crate::util::{parse_args, positional_args, put_edits, read_settings};

const USAGE: &str = "
Checks settings files: fields, units, ranges, paths, and references between objects.

Usage:
    tarragon check [options] FILE [FILE ...]

Options:
    --partial   the files are only a part of the configuration: do not report
                references to services and teams that they do not contain
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut args = parse_args(argv, USAGE)?;
    let partial = args.contains("--partial");
    let files = positional_args(args)?;
    let objects = read_settings(&files)?;
    if !partial {
        let config = Snapshot::default().with_edits(&put_edits(&objects));
        let problems: Vec<String> = check_config(&config)
            .iter()
            .map(|problem| {
                let object = objects
                    .iter()
                    .find(|(_, o)| o.entry.path == *problem.path());
                let (file, line) = object.map_or(("-", 0), |(f, o)| (f.as_str(), o.line));
                format!("{file}:{line}: {problem}")
            })
            .collect();
        if !problems.is_empty() {
            return Err(CliError::Rejected(problems));
        }
    }
    println!("{} objects, no problems", objects.len());
    Ok(())
}

//! Helpers for the subcommands: arguments, settings files and output tables.

use std::ffi::OsString;
use std::fs;

use pico_args::Arguments;
use tarragoncourse::state::settings::{self, LocatedEntry};
use tarragoncourse::state::snapshot::Edit;

use crate::error::{CliError, CliResult};
use crate::options::CliOptions;

/// Creates the argument parser of a subcommand. On `--help`, returns [`CliError::Help`] with the
/// usage text.
pub fn parse_args(argv: Vec<OsString>, usage: &'static str) -> CliResult<Arguments> {
    let mut args = Arguments::from_vec(argv);
    if args.contains("--help") {
        return Err(CliError::Help(usage));
    }
    Ok(args)
}

/// Returns the positional arguments that remain after the options. An unknown option is an error.
pub fn positional_args(args: Arguments) -> CliResult<Vec<String>> {
    let remaining = args.finish();
    let values: Vec<String> = remaining
        .iter()
        .map(|v| v.to_string_lossy().into_owned())
        .collect();
    match values.iter().find(|v| v.starts_with('-') && *v != "-") {
        Some(option) => Err(CliError::Usage(format!(
            "unknown option `{option}`; see --help"
        ))),
        None => Ok(values),
    }
}

/// Parses the arguments of a subcommand that has only the shared options and positional arguments.
pub fn parse_common_args(
    argv: Vec<OsString>,
    usage: &'static str,
) -> CliResult<(CliOptions, Vec<String>)> {
    let mut args = parse_args(argv, usage)?;
    let options = CliOptions::from_args(&mut args)?;
    Ok((options, positional_args(args)?))
}

/// Returns the only positional argument of a subcommand. `what` names it in the error message.
pub fn one_positional_arg(args: Arguments, what: &str) -> CliResult<String> {
    let mut values = positional_args(args)?;
    match (values.pop(), values.is_empty()) {
        (Some(value), true) => Ok(value),
        _ => Err(CliError::Usage(format!(
            "expected exactly one {what}; see --help"
        ))),
    }
}

/// Reads settings files. An error lists the problems of all files. Files without any settings are
/// an error, because they indicate a mistake such as a wrong file name or an empty template.
pub fn read_settings(files: &[String]) -> CliResult<Vec<(String, LocatedEntry)>> {
    if files.is_empty() {
        return Err(CliError::Usage(
            "no settings file given; see --help".to_string(),
        ));
    }
    let mut objects: Vec<(String, LocatedEntry)> = Vec::new();
    let mut problems = Vec::new();
    for file in files {
        let text = fs::read_to_string(file).map_err(|e| {
            CliError::Other(format!("cannot read {file}: {e}; check the file name"))
        })?;
        match settings::parse_file(file, &text) {
            Ok(parsed) => objects.extend(parsed.into_iter().map(|o| (file.clone(), o))),
            Err(errors) => problems.extend(errors.iter().map(ToString::to_string)),
        }
    }
    problems.extend(duplicate_paths(&objects));
    if problems.is_empty() && objects.is_empty() {
        problems.push(format!(
            "{}: no settings found; add an object, or give another file",
            files.join(", ")
        ));
    }
    match problems.is_empty() {
        true => Ok(objects),
        false => Err(CliError::Rejected(problems)),
    }
}

fn duplicate_paths(objects: &[(String, LocatedEntry)]) -> Vec<String> {
    let mut problems = Vec::new();
    for (index, (file, o)) in objects.iter().enumerate() {
        let same_path = |(_, p): &&(String, LocatedEntry)| p.entry.path == o.entry.path;
        if let Some((first, p)) = objects[..index].iter().find(same_path) {
            problems.push(format!("{file}:{}: {}: this path is already set in {first} on line {}; remove or rename one", o.line, o.entry.path, p.line));
        }
    }
    problems
}

/// Returns the edits that create or replace the objects.
pub fn put_edits(objects: &[(String, LocatedEntry)]) -> Vec<Edit> {
    let located: Vec<LocatedEntry> = objects.iter().map(|(_, o)| o.clone()).collect();
    settings::put_edits(&located)
}

/// Runs a future to completion on a new runtime.
pub fn block_on<T>(future: impl Future<Output = CliResult<T>>) -> CliResult<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}

/// Prints rows in aligned columns below a header.
pub fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let lengths = rows.iter().map(|r| r[column].len());
        lengths.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let print_row = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    print_row(header.to_vec());
    rows.iter()
        .for_each(|r| print_row(r.iter().map(String::as_str).collect()));
}

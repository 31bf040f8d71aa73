//! Helpers for the subcommands: arguments, settings files and output tables.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::ffi::OsString;
use std::fs;

use pico_args::Arguments;
use tarragoncourse::state::settings::{self, LocatedEntry, Problem};
use tarragoncourse::state::snapshot::Edit;

use crate::error::{CliError, CliResult};
use crate::options::CliOptions;

/// Entries of settings files, each with the name of its file.
pub type FileEntries = Vec<(String, LocatedEntry)>;

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
pub fn read_settings(files: &[String]) -> CliResult<FileEntries> {
    parse_settings(files)?
        .map_err(|problems| CliError::Rejected(problems.iter().map(ToString::to_string).collect()))
}

/// Like [`read_settings`], but the problems of the files are returned apart from errors such as a
/// missing file.
pub fn parse_settings(files: &[String]) -> CliResult<Result<FileEntries, Vec<Problem>>> {
    if files.is_empty() {
        return Err(CliError::Usage(
            "no settings file given; see --help".to_string(),
        ));
    }
    let mut objects = FileEntries::new();
    let mut problems = Vec::new();
    for file in files {
        let text = fs::read_to_string(file).map_err(|e| {
            CliError::Other(format!("cannot read {file}: {e}; check the file name"))
        })?;
        match settings::parse_file(file, &text) {
            Ok(parsed) => objects.extend(parsed.into_iter().map(|o| (file.clone(), o))),
            Err(errors) => problems.extend(errors),
        }
    }
    problems.extend(duplicate_paths(&objects));
    if problems.is_empty() && objects.is_empty() {
        problems.push(Problem {
            file: files.join(", "),
            line: 0,
            path: "-".to_string(),
            message: "no settings found; add an object, or give another file".to_string(),
        });
    }
    Ok(match problems.is_empty() {
        true => Ok(objects),
        false => Err(problems),
    })
}

fn duplicate_paths(objects: &[(String, LocatedEntry)]) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut first_objects = HashMap::new();
    for (file, o) in objects {
        match first_objects.entry(&o.entry.path) {
            Entry::Vacant(vacant) => drop(vacant.insert((file, o.line))),
            Entry::Occupied(first) => {
                let (first, line) = first.get();
                problems.push(Problem {
                    file: file.clone(),
                    line: o.line,
                    path: o.entry.path.to_string(),
                    message: format!(
                        "this path is already set in {first} on line {line}; remove or rename one"
                    ),
                });
            }
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

//! Helpers of the command line: options, settings files, tables.

use std::ffi::OsString;
use std::fs;

use pico_args::Arguments;
use tarragoncourse::state::settings::{self, LocatedEntry};
use tarragoncourse::state::snapshot::Edit;

use crate::config::Config;
use crate::error::{CliError, CliResult};

/// Options of a subcommand; ends with the usage text on `--help`.
pub fn arguments(argv: Vec<OsString>, usage: &'static str) -> CliResult<Arguments> {
    let mut args = Arguments::from_vec(argv);
    if args.contains("--help") {
        return Err(CliError::Help(usage));
    }
    Ok(args)
}

/// The words left after the options; an unknown option is an error.
pub fn words(args: Arguments) -> CliResult<Vec<String>> {
    let rest = args.finish();
    let words: Vec<String> = rest
        .iter()
        .map(|w| w.to_string_lossy().into_owned())
        .collect();
    match words.iter().find(|w| w.starts_with('-') && *w != "-") {
        Some(option) => Err(CliError::Usage(format!(
            "option `{option}` is not known; see --help"
        ))),
        None => Ok(words),
    }
}

/// The shared options and the words of a subcommand that has no options of its own.
pub fn connect(argv: Vec<OsString>, usage: &'static str) -> CliResult<(Config, Vec<String>)> {
    let mut args = arguments(argv, usage)?;
    let config = Config::take(&mut args)?;
    Ok((config, words(args)?))
}

/// The one word that a subcommand takes.
pub fn one_word(args: Arguments, what: &str) -> CliResult<String> {
    let mut words = words(args)?;
    match (words.pop(), words.is_empty()) {
        (Some(word), true) => Ok(word),
        _ => Err(CliError::Usage(format!("give one {what}; see --help"))),
    }
}

/// Reads settings files; every problem of every file is reported. Files without any settings are a
/// mistake, such as a wrong name or an empty template.
pub fn read_settings(files: &[String]) -> CliResult<Vec<(String, LocatedEntry)>> {
    if files.is_empty() {
        return Err(CliError::Usage(
            "name a settings file; see --help".to_string(),
        ));
    }
    let mut objects: Vec<(String, LocatedEntry)> = Vec::new();
    let mut problems = Vec::new();
    for file in files {
        let text = fs::read_to_string(file)
            .map_err(|e| CliError::Other(format!("{file}: {e}; check the name")))?;
        match settings::parse_file(file, &text) {
            Ok(found) => objects.extend(found.into_iter().map(|o| (file.clone(), o))),
            Err(found) => problems.extend(found.iter().map(ToString::to_string)),
        }
    }
    problems.extend(duplicates(&objects));
    if problems.is_empty() && objects.is_empty() {
        problems.push(format!(
            "{}: no settings are in there; write an object, or name another file",
            files.join(", ")
        ));
    }
    match problems.is_empty() {
        true => Ok(objects),
        false => Err(CliError::Refused(problems)),
    }
}

fn duplicates(objects: &[(String, LocatedEntry)]) -> Vec<String> {
    let mut problems = Vec::new();
    for (at, (file, o)) in objects.iter().enumerate() {
        let same = |(_, p): &&(String, LocatedEntry)| p.entry.path == o.entry.path;
        if let Some((first, p)) = objects[..at].iter().find(same) {
            problems.push(format!(
                "{file}:{}: {}: this path is already set in {first} on line {}; remove or rename one",
                o.line, o.entry.path, p.line
            ));
        }
    }
    problems
}

/// The edits that put objects.
pub fn put_all(objects: &[(String, LocatedEntry)]) -> Vec<Edit> {
    let located: Vec<LocatedEntry> = objects.iter().map(|(_, o)| o.clone()).collect();
    settings::put_edits(&located)
}

/// Runs a future to its end.
pub fn block_on<T>(future: impl Future<Output = CliResult<T>>) -> CliResult<T> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}

/// Prints rows in aligned columns.
pub fn table(head: &[&str], rows: &[Vec<String>]) {
    let width = |at: usize| {
        let cells = rows.iter().map(|r| r[at].len());
        cells.chain([head[at].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let print = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    print(head.to_vec());
    rows.iter()
        .for_each(|r| print(r.iter().map(String::as_str).collect()));
}

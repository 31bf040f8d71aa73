//! Checks settings files.

use std::ffi::OsString;

use serde_json::json;
use tarragoncourse::check::{Files, Finding, FindingRecord, Severity, check, compare};
use tarragoncourse::coordination::retry::RetryAllowance;

use crate::api::ApiClient;
use crate::error::{CliError, CliResult};
use crate::options::CliOptions;
use crate::util::{block_on, parse_args, parse_settings, positional_args};

const USAGE: &str = "
Checks settings files: fields, units, ranges, paths, references between objects,
entries that can never match, and limits that contradict each other. The files are
the complete configuration. Findings are printed with file, line, path and remedy.

Usage:
    tarragon check [options] FILE [FILE ...]

Options:
    --partial        the files are only a part of the configuration: check each
                     object by itself
    --against NODE   admin address of a node: also report what differs from the
                     version in force, worst for callers first
    --token TOKEN    bearer token for the node [env: TARRAGON_TOKEN]
    --retry-slack N  the nodes' setting `retries.slack`
    --nodes N        number of nodes that share the slack [default: 1]
    --strict         fail if there are warnings
    --json           print the findings as JSON, for scripts

Exit codes: 0 no errors, 1 warnings with --strict, 2 errors.
";

/// Exit code of a check that finds warnings with `--strict`.
const WARNINGS_CODE: u8 = 1;
/// Exit code of a check that finds errors or cannot be made.
const ERRORS_CODE: u8 = 2;

/// Options of the subcommand.
struct CheckOptions {
    partial: bool,
    strict: bool,
    json: bool,
    against: Option<String>,
    token: Option<String>,
    retries: RetryAllowance,
    files: Vec<String>,
}

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    run_check(argv).map_err(|e| match e {
        CliError::Io(_) | CliError::Other(_) => {
            CliError::Findings(vec![e.to_string()], ERRORS_CODE)
        }
        other => other,
    })
}

fn run_check(argv: Vec<OsString>) -> CliResult<()> {
    let options = parse_options(argv)?;
    let (count, findings) = match parse_settings(&options.files)? {
        Err(problems) => (0, problems.into_iter().map(Finding::from).collect()),
        Ok(objects) => {
            let files = Files::new(&objects);
            let mut findings = match options.partial {
                true => Vec::new(),
                false => check(&files, options.retries),
            };
            if let Some(node) = &options.against {
                let node = CliOptions::new(node, options.token.clone(), options.json)?;
                let in_force = block_on(async { ApiClient::new(node).config().await });
                let (version, mut entries) = in_force?;
                // What a part of the configuration does not contain is not lost.
                entries.retain(|e| !options.partial || files.get(&e.path).is_some());
                findings.extend(compare(&files, version, &entries));
            }
            (objects.len(), findings)
        }
    };
    report(&options, count, &findings)
}

fn parse_options(argv: Vec<OsString>) -> CliResult<CheckOptions> {
    let mut args = parse_args(argv, USAGE)?;
    let slack: Option<f64> = args.opt_value_from_str("--retry-slack")?;
    let nodes: Option<usize> = args.opt_value_from_str("--nodes")?;
    let shared = |slack| RetryAllowance::fleet_share(0.0, slack, nodes.unwrap_or(1));
    Ok(CheckOptions {
        partial: args.contains("--partial"),
        strict: args.contains("--strict"),
        json: args.contains("--json"),
        against: args.opt_value_from_str("--against")?,
        token: args.opt_value_from_str("--token")?,
        retries: slack.map_or_else(RetryAllowance::default, shared),
        files: positional_args(args)?,
    })
}

/// Prints the findings. Those of a check that fails are its error.
fn report(options: &CheckOptions, count: usize, findings: &[Finding]) -> CliResult<()> {
    let code = match findings.iter().map(|f| f.issue.severity()).min() {
        Some(Severity::Error) => ERRORS_CODE,
        Some(Severity::Warning) if options.strict => WARNINGS_CODE,
        _ => 0,
    };
    let mut lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    if options.json {
        let records: Vec<FindingRecord> = findings.iter().map(FindingRecord::from).collect();
        println!("{}", json!({ "objects": count, "findings": records }));
        lines.clear();
    }
    if code != 0 {
        return Err(CliError::Findings(lines, code));
    }
    lines.iter().for_each(|line| println!("{line}"));
    if !options.json {
        let problems = match lines.len() {
            0 => "no problems".to_string(),
            n => format!("no errors, findings: {n}"),
        };
        println!("{count} objects, {problems}");
    }
    Ok(())
}

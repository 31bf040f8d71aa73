//! Applies settings from files.

use std::ffi::OsString;
use std::time::{Duration, Instant};

use tarragoncourse::state::id::Version;

use crate::api::ApiClient;
use crate::error::{CliError, CliResult};
use crate::options::CliOptions;
use crate::util::{block_on, parse_args, positional_args, put_edits, read_settings};

const USAGE: &str = "
Applies settings from files. The change is atomic: it is accepted completely or not at
all.

Usage:
    tarragon apply [options] -f FILE [-f FILE ...]

Options:
    -f FILE          a settings file, YAML (docs/SETTINGS.md)
    --dry-run        check against the current configuration without changing anything
    --wait           wait until the change is in force on every node
    --timeout TIME   time limit of --wait [default: 30s]
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --token TOKEN    the team's token [env: TARRAGON_TOKEN]
    --json           print JSON
";

/// Interval between queries of the convergence state while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

struct Args {
    files: Vec<String>,
    dry_run: bool,
    wait: bool,
    timeout: Duration,
    options: CliOptions,
}

impl Args {
    fn parse(argv: Vec<OsString>) -> CliResult<Args> {
        let mut args = parse_args(argv, USAGE)?;
        let timeout: Option<String> = args.opt_value_from_str("--timeout")?;
        let timeout = timeout.as_deref().unwrap_or("30s");
        let parsed = Args {
            files: args.values_from_str("-f")?,
            dry_run: args.contains("--dry-run"),
            wait: args.contains("--wait"),
            timeout: tarragoncourse::state::units::parse_duration(timeout)
                .map_err(|e| CliError::Usage(format!("--timeout: {e}")))?,
            options: CliOptions::from_args(&mut args)?,
        };
        positional_args(args)?;
        Ok(parsed)
    }
}

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let args = Args::parse(argv)?;
    let objects = read_settings(&args.files)?;
    block_on(async {
        let api = ApiClient::new(args.options.clone());
        let (base_version, _) = api.config().await?;
        let started = Instant::now();
        let response = api
            .apply(base_version, &put_edits(&objects), args.dry_run)
            .await;
        let response = response.map_err(|e| add_locations(e, &objects))?;
        if args.options.json {
            println!("{}", serde_json::json!(response));
        } else {
            let version = response.version.unwrap_or(0);
            println!(
                "{} version={version} change={}",
                response.verdict, response.change
            );
        }
        if args.wait && response.verdict == "accepted" {
            let version = Version(response.version.unwrap_or(0));
            wait_until_in_force(&api, version, started, &args).await?;
        }
        Ok(())
    })
}

/// Prefixes each problem that starts with the path of an object with the file and line of that
/// object.
fn add_locations(
    error: CliError,
    objects: &[(String, tarragoncourse::state::settings::LocatedEntry)],
) -> CliError {
    let add_location = |problem: String| {
        let has_path = |(_, o): &&(String, tarragoncourse::state::settings::LocatedEntry)| {
            problem.starts_with(&format!("{}:", o.entry.path))
        };
        match objects.iter().find(has_path) {
            Some((file, o)) => format!("{file}:{}: {problem}", o.line),
            None => problem,
        }
    };
    match error {
        CliError::Rejected(problems) => {
            CliError::Rejected(problems.into_iter().map(add_location).collect())
        }
        other => other,
    }
}

/// Polls the convergence state until every node has adopted the version, and prints the progress.
async fn wait_until_in_force(
    api: &ApiClient,
    version: Version,
    started: Instant,
    args: &Args,
) -> CliResult<()> {
    let mut last_printed = 0;
    loop {
        let response = api
            .get(&format!("/v1/convergence?version={version}"))
            .await?;
        let node_count = response["asked"].as_u64().unwrap_or(0);
        let in_force_count = response["in_force"].as_u64().unwrap_or(0);
        if in_force_count != last_printed && !args.options.json {
            println!("in force on {in_force_count} of {node_count} nodes");
            last_printed = in_force_count;
        }
        let elapsed = started.elapsed();
        if in_force_count == node_count {
            let ms = elapsed.as_millis();
            match args.options.json {
                true => println!(
                    "{}",
                    serde_json::json!({ "nodes": node_count, "ms": ms as u64 })
                ),
                false => println!("converged in {ms} ms, including polling"),
            }
            return Ok(());
        }
        if elapsed > args.timeout {
            return Err(CliError::Other(format!(
                "timed out; the version is not yet in force on these nodes: {}",
                response["late"]
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

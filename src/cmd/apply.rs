//! Puts settings from files into force.

use std::ffi::OsString;
use std::time::{Duration, Instant};

use tarragoncourse::state::id::Version;

use crate::api::ApiClient;
use crate::error::{CliError, CliResult};
use crate::options::CliOptions;
use crate::util::{block_on, parse_args, positional_args, put_edits, read_settings};

const USAGE: &str = "
Puts settings from files into force. The change is accepted whole or not at all.

Usage:
    tarragon apply [options] -f FILE [-f FILE ...]

Options:
    -f FILE          a settings file, YAML (docs/SETTINGS.md)
    --dry-run        check against the present configuration, change nothing
    --wait           wait until the change is in force on every node
    --timeout TIME   longest wait [default: 30s]
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --token TOKEN    the team's token [env: TARRAGON_TOKEN]
    --json           print JSON
";

/// Interval between looks at the fleet while waiting.
const POLL: Duration = Duration::from_millis(100);

struct Args {
    files: Vec<String>,
    dry_run: bool,
    wait: bool,
    timeout: Duration,
    config: CliOptions,
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
            config: CliOptions::from_args(&mut args)?,
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
        let api = ApiClient::new(args.config.clone());
        let (base, _) = api.config().await?;
        let began = Instant::now();
        let answer = api.apply(base, &put_edits(&objects), args.dry_run).await;
        let answer = answer.map_err(|e| locate(e, &objects))?;
        if args.config.json {
            println!("{}", serde_json::json!(answer));
        } else {
            let version = answer.version.unwrap_or(0);
            println!(
                "{} version={version} change={}",
                answer.verdict, answer.change
            );
        }
        if args.wait && answer.verdict == "accepted" {
            let version = Version(answer.version.unwrap_or(0));
            wait(&api, version, began, &args).await?;
        }
        Ok(())
    })
}

/// Puts file and line before the problems that name a path of the files.
fn locate(
    e: CliError,
    objects: &[(String, tarragoncourse::state::settings::LocatedEntry)],
) -> CliError {
    let place = |problem: String| {
        let named = |(_, o): &&(String, tarragoncourse::state::settings::LocatedEntry)| {
            problem.starts_with(&format!("{}:", o.entry.path))
        };
        match objects.iter().find(named) {
            Some((file, o)) => format!("{file}:{}: {problem}", o.line),
            None => problem,
        }
    };
    match e {
        CliError::Rejected(problems) => {
            CliError::Rejected(problems.into_iter().map(place).collect())
        }
        other => other,
    }
}

async fn wait(api: &ApiClient, version: Version, began: Instant, args: &Args) -> CliResult<()> {
    let mut shown = 0;
    loop {
        let page = api
            .get(&format!("/v1/convergence?version={version}"))
            .await?;
        let asked = page["asked"].as_u64().unwrap_or(0);
        let done = page["in_force"].as_u64().unwrap_or(0);
        if done != shown && !args.config.json {
            println!("in force on {done} of {asked} nodes");
            shown = done;
        }
        let took = began.elapsed();
        if done == asked {
            let ms = took.as_millis();
            match args.config.json {
                true => println!("{}", serde_json::json!({ "nodes": asked, "ms": ms as u64 })),
                false => println!("converged in {ms} ms, the polling included"),
            }
            return Ok(());
        }
        if took > args.timeout {
            return Err(CliError::Other(format!(
                "not in force on all: {}",
                page["late"]
            )));
        }
        tokio::time::sleep(POLL).await;
    }
}

//! Runs the real programs under random faults and checks every guarantee.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use tarragoncourse::soak::{Plan, Report, run as run_soak};
use tarragoncourse::state::units::parse_duration;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::{CliError, CliResult};
use crate::util::{block_on, parse_args, positional_args};

const USAGE: &str = "
Runs nodes, targets and the platform stand-in on loopback, injects random faults
from outside, and checks what callers and targets observe (docs/SOAK.md).
Exit code 1 if a guarantee was violated.

Usage:
    tarragon soak [options]

Options:
    --seed N       seed of the first run [default: taken from the clock]
    --seeds N      number of runs, with consecutive seeds [default: 1]
    --size N       number of nodes, each with its own target [default: 6]
    --time TIME    period of fault injection in each run [default: 20s]
    --minutes N    start further runs for this time, instead of --seeds
    --dir DIR      directory for settings and logs of failed runs [default: soak]
    --programs DIR directory of tarragond and tarragon-standin [default: beside this one]
";

struct Args {
    seed: u64,
    seeds: u64,
    nodes: usize,
    duration: Duration,
    /// Time for which further runs are started; if absent, `seeds` is the number of runs.
    time_limit: Option<Duration>,
    dir: PathBuf,
    programs: PathBuf,
}

impl Args {
    fn parse(argv: Vec<OsString>) -> CliResult<Args> {
        let mut args = parse_args(argv, USAGE)?;
        let duration: Option<String> = args.opt_value_from_str("--time")?;
        let duration = parse_duration(duration.as_deref().unwrap_or("20s"))
            .map_err(|e| CliError::Usage(format!("--time: {e}")))?;
        let minutes: Option<u64> = args.opt_value_from_str("--minutes")?;
        let programs: Option<PathBuf> = args.opt_value_from_str("--programs")?;
        let seed: Option<u64> = args.opt_value_from_str("--seed")?;
        let dir: Option<PathBuf> = args.opt_value_from_str("--dir")?;
        let parsed = Args {
            seed: seed.unwrap_or_else(|| fastrand::u64(..1 << 32)),
            seeds: args.opt_value_from_str("--seeds")?.unwrap_or(1),
            nodes: args.opt_value_from_str("--size")?.unwrap_or(6),
            duration,
            time_limit: minutes.map(|m| Duration::from_secs(60 * m)),
            dir: dir.unwrap_or_else(|| PathBuf::from("soak")),
            programs: programs.map_or_else(program_directory, Ok)?,
        };
        if parsed.nodes == 0 {
            return Err(CliError::Usage("--size 0: must be at least 1".to_string()));
        }
        positional_args(args)?;
        Ok(parsed)
    }

    fn plan(&self, seed: u64) -> Plan {
        Plan {
            seed,
            nodes: self.nodes,
            duration: self.duration,
            programs: self.programs.clone(),
            dir: self.dir.join(format!("seed-{seed}")),
        }
    }
}

/// The directory that contains this program.
fn program_directory() -> CliResult<PathBuf> {
    let program = std::env::current_exe()?;
    Ok(program.parent().unwrap_or(Path::new(".")).to_path_buf())
}

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let args = Args::parse(argv)?;
    let started = Instant::now();
    let mut total = Totals::default();
    let mut seed = args.seed;
    loop {
        let plan = args.plan(seed);
        let report = block_on(async {
            tokio::select! {
                result = run_soak(&plan) => {
                    result.map_err(|e| CliError::Other(format!("seed {seed}: {e:#}")))
                }
                // The processes of the run are killed when its future is dropped.
                interrupt = wait_for_interrupt() => Err(interrupt?),
            }
        })?;
        print_report(&report, &plan, started);
        total.add(&report);
        seed += 1;
        let finished = match args.time_limit {
            Some(time_limit) => started.elapsed() >= time_limit,
            None => seed - args.seed >= args.seeds,
        };
        if finished {
            break;
        }
    }
    println!("{total}");
    match total.failed_runs {
        0 => Ok(()),
        failed_runs => Err(CliError::Other(format!(
            "{failed_runs} runs violated a guarantee"
        ))),
    }
}

/// Waits for SIGTERM or SIGINT and returns the error to exit with.
async fn wait_for_interrupt() -> std::io::Result<CliError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(CliError::Other("interrupted".to_string()))
}

fn print_report(report: &Report, plan: &Plan, started: Instant) {
    let verdict = match report.violations.len() {
        0 => "kept".to_string(),
        n => format!("{n} broken"),
    };
    let request_count: usize = report.result_counts.values().sum();
    let answered = report.result_counts.get("answered").copied().unwrap_or(0);
    println!(
        "seed {} {verdict}: {request_count} requests, {answered} answered, {} changes, {:.0} s so far",
        plan.seed,
        report.accepted_changes,
        started.elapsed().as_secs_f64(),
    );
    if report.violations.is_empty() {
        // The logs of a run without violations are not needed.
        let _ = std::fs::remove_dir_all(&plan.dir);
        return;
    }
    for violation in &report.violations {
        println!("  {violation}");
    }
    println!(
        "  logs in {}; to repeat: tarragon soak --seed {} --size {} --time {}ms",
        plan.dir.display(),
        plan.seed,
        plan.nodes,
        plan.duration.as_millis(),
    );
}

/// Sums over all runs.
#[derive(Default)]
struct Totals {
    runs: usize,
    failed_runs: usize,
    accepted_changes: usize,
    event_counts: BTreeMap<&'static str, usize>,
    result_counts: BTreeMap<&'static str, usize>,
}

impl Totals {
    fn add(&mut self, report: &Report) {
        self.runs += 1;
        self.failed_runs += usize::from(!report.violations.is_empty());
        self.accepted_changes += report.accepted_changes;
        for (name, count) in &report.event_counts {
            *self.event_counts.entry(name).or_default() += count;
        }
        for (name, count) in &report.result_counts {
            *self.result_counts.entry(name).or_default() += count;
        }
    }
}

impl std::fmt::Display for Totals {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "{} runs, {} broken, {} changes accepted",
            self.runs, self.failed_runs, self.accepted_changes
        )?;
        writeln!(f, "requests: {:?}", self.result_counts)?;
        write!(f, "injected: {:?}", self.event_counts)
    }
}

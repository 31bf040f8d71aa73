//! Runs an experiment, which measures convergence, control bytes, latency or other costs, and
//! prints the results.

use std::ffi::OsString;

use serde_json::Value;
use tarragoncourse::experiment::{
    Report, baseline, churn, claims, convergence, fairness, faults, latency, picking, quota, size,
    spread,
};

use crate::error::{CliError, CliResult};
use crate::util::{block_on, one_positional_arg, parse_args, print_table};

const USAGE: &str = "
Runs an experiment in this process and prints a table of results. The platform and the
targets are stand-ins. Nodes communicate over loopback sockets, except in experiments on
a virtual clock.

Usage:
    tarragon experiment [options] NAME

Names:
    baseline      simpler ways to distribute changes: polling, watching, full snapshots
    churn         cost of replacing one node, then half of the fleet
    claims        platform writes by rate of requests with an idempotency key
    convergence   convergence time and control bytes by fleet size
    faults        results at callers, retries and latency under faults
    latency       latency that the two hops of the mesh add to a direct call
    fairness      shares of workspaces at a gate during a surge of one, on a virtual clock
    picking       target selection compared with simpler policies, on a virtual clock
    quota         ways to keep the limits of workspaces under faults, on a virtual clock
    size          time and memory by size of the configuration and the member table
    spread        distribution of one version to a large fleet with packet loss and failed
                  nodes, on a virtual clock

Options:
    --sizes N,N,...   fleet sizes, numbers of callers or services, or request rates,
                      depending on the experiment
    --changes N       changes per fleet size [default: 20]
    --calls N         calls per number of callers [default: 20000]
    --seed N          seed of the random numbers [default: 1]
    --json            print JSON
";

struct Args {
    name: String,
    sizes: Option<Vec<usize>>,
    changes: usize,
    calls: usize,
    seed: u64,
    json: bool,
}

impl Args {
    fn parse(argv: Vec<OsString>) -> CliResult<Args> {
        let mut args = parse_args(argv, USAGE)?;
        let sizes: Option<String> = args.opt_value_from_str("--sizes")?;
        let changes: Option<usize> = args.opt_value_from_str("--changes")?;
        let calls: Option<usize> = args.opt_value_from_str("--calls")?;
        let seed: Option<u64> = args.opt_value_from_str("--seed")?;
        Ok(Args {
            sizes: sizes.as_deref().map(parse_sizes).transpose()?,
            changes: changes.unwrap_or(20),
            calls: calls.unwrap_or(20_000),
            seed: seed.unwrap_or(1),
            json: args.contains("--json"),
            name: one_positional_arg(args, "experiment name")?,
        })
    }

    fn sizes(&self, default: &[usize]) -> Vec<usize> {
        self.sizes.clone().unwrap_or_else(|| default.to_vec())
    }
}

fn parse_sizes(text: &str) -> CliResult<Vec<usize>> {
    let parse = |n: &str| n.parse().ok().filter(|n| *n > 0);
    let parsed: Option<Vec<usize>> = text.split(',').map(parse).collect();
    parsed.ok_or_else(|| {
        CliError::Usage(format!("--sizes {text}: expected positive numbers N,N,..."))
    })
}

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let args = Args::parse(argv)?;
    let report = block_on(async {
        let result = run_experiment(&args).await;
        result.map_err(|e| CliError::Other(e.to_string()))
    })?;
    if args.json {
        let output = serde_json::json!({
            "experiment": args.name,
            "version": env!("CARGO_PKG_VERSION"),
            "seed": args.seed,
            "rows": report.to_json(),
        });
        println!("{output}");
        return Ok(());
    }
    let cell_text = |v: &Value| match v {
        Value::String(s) => s.clone(),
        other => other.to_string(),
    };
    let rows: Vec<Vec<String>> = report
        .rows
        .iter()
        .map(|r| r.iter().map(cell_text).collect())
        .collect();
    print_table(&report.columns, &rows);
    Ok(())
}

async fn run_experiment(args: &Args) -> anyhow::Result<Report> {
    match args.name.as_str() {
        "baseline" => {
            let nodes = args.sizes(&[128])[0];
            baseline::run(nodes, 500, args.changes.min(10) as u64).await
        }
        "churn" => churn::run(&args.sizes(&[16, 64])).await,
        "claims" => {
            let rates: Vec<f64> = args
                .sizes(&[50, 200, 800])
                .iter()
                .map(|n| *n as f64)
                .collect();
            claims::run(&rates).await
        }
        "convergence" => {
            let (report, _) =
                convergence::run(&args.sizes(&[8, 16, 64, 256]), args.changes).await?;
            Ok(report)
        }
        "faults" => faults::run(args.seed).await,
        "latency" => latency::run(&args.sizes(&[1, 8, 32]), args.calls).await,
        "fairness" => Ok(fairness::run(args.seed)),
        "picking" => Ok(picking::run(args.seed)),
        "quota" => Ok(quota::run(args.sizes(&[300])[0], args.seed)),
        "spread" => Ok(spread::run(&args.sizes(&[1000, 10_000, 30_000]), args.seed)),
        "size" => Ok(size::run(&args.sizes(&[28, 280, 2800]))),
        other => anyhow::bail!("unknown experiment `{other}`; see --help"),
    }
}

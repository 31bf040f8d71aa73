//! Sends requests and checks every response.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use tarragoncourse::load::{CallerResult, LoadPlan, LoadReport, LoadRoute, run as run_load};
use tarragoncourse::state::units::{parse_duration, parse_size};

use crate::error::{CliError, CliResult};
use crate::util::{block_on, parse_args, positional_args, print_table};

const USAGE: &str = "
Sends requests at a constant mean rate, independent of the responses (open loop), and
checks that each response belongs to its request and is complete. The targets must be
stand-ins.

Usage:
    tarragon load [options] --to ADDRESS [--to ADDRESS ...] --route SPEC [--route SPEC ...]

SPEC is METHOD,HOST,PATH[,weight=N][,body=SIZE][,answer=SIZE][,keyed], as in
    --route POST,guild.example,/cutting,weight=3,body=2KiB

Options:
    --to ADDRESS    caller address of a node
    --route SPEC    one kind of request in the mix
    --rate N        mean number of requests per second [default: 100]
    --time TIME     how long to send [default: 10s]
    --timeout TIME  time after which a caller abandons its request [default: 30s]
    --seed N        seed of arrival times, route choice and request ids [default: 1]
    --json          print JSON

Exit code 1 if a response was wrong.
";

struct Args {
    plan: LoadPlan,
    json: bool,
}

impl Args {
    fn parse(argv: Vec<OsString>) -> CliResult<Args> {
        let mut args = parse_args(argv, USAGE)?;
        let specs: Vec<String> = args.values_from_str("--route")?;
        let mix: CliResult<Vec<LoadRoute>> = specs.iter().map(|s| parse_route(s)).collect();
        let nodes: Vec<SocketAddr> = args.values_from_str("--to")?;
        let rate: Option<f64> = args.opt_value_from_str("--rate")?;
        let plan = LoadPlan {
            nodes,
            rate: rate.unwrap_or(100.0),
            duration: duration_option(&mut args, "--time", "10s")?,
            mix: mix?,
            seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
            timeout: duration_option(&mut args, "--timeout", "30s")?,
        };
        let json = args.contains("--json");
        positional_args(args)?;
        if plan.nodes.is_empty() || plan.mix.is_empty() {
            return Err(CliError::Usage(
                "--to and --route are required; see --help".to_string(),
            ));
        }
        Ok(Args { plan, json })
    }
}

/// Parses the value of an option that takes a duration.
fn duration_option(
    args: &mut pico_args::Arguments,
    name: &'static str,
    default: &str,
) -> CliResult<Duration> {
    let text: Option<String> = args.opt_value_from_str(name)?;
    let text = text.as_deref().unwrap_or(default);
    parse_duration(text).map_err(|e| CliError::Usage(format!("{name}: {e}")))
}

/// Parses the value of `--route`.
fn parse_route(spec: &str) -> CliResult<LoadRoute> {
    let usage_error = |why: &str| CliError::Usage(format!("--route {spec}: {why}"));
    let mut fields = spec.split(',');
    let (Some(method), Some(host), Some(path)) = (fields.next(), fields.next(), fields.next())
    else {
        return Err(usage_error("expected METHOD,HOST,PATH"));
    };
    let mut load_route = LoadRoute {
        name: format!("{method} {path}"),
        method: Method::from_bytes(method.as_bytes()).map_err(|_| usage_error("invalid method"))?,
        host: host.to_string(),
        path: path.to_string(),
        weight: 1.0,
        body_bytes: 0,
        response_bytes: 0,
        keyed: false,
    };
    for field in fields {
        let size = |v: &str| parse_size(v).map_err(|e| usage_error(&e.to_string()));
        match field.split_once('=') {
            Some(("weight", v)) => {
                load_route.weight = v
                    .parse()
                    .map_err(|_| usage_error("weight must be a number"))?
            }
            Some(("body", v)) => load_route.body_bytes = size(v)? as usize,
            Some(("answer", v)) => load_route.response_bytes = size(v)? as usize,
            None if field == "keyed" => load_route.keyed = true,
            _ => return Err(usage_error(&format!("unknown field `{field}`"))),
        }
    }
    Ok(load_route)
}

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let args = Args::parse(argv)?;
    block_on(async {
        let report = run_load(&args.plan).await;
        match args.json {
            true => print_json(&args.plan, &report),
            false => print_report(&args.plan, &report),
        }
        match report.count(CallerResult::Wrong) {
            0 => Ok(()),
            n => Err(CliError::Other(format!("{n} responses were wrong"))),
        }
    })
}

/// Prints a table with one row per route, then the number of responses with each outcome.
pub fn print_report(plan: &LoadPlan, report: &LoadReport) {
    let ms = |us: u64| format!("{:.2}", us as f64 / 1000.0);
    let row = |(index, load_route): (usize, &LoadRoute)| {
        let latency = report.latency(Some(index));
        let count = |result: CallerResult| {
            let records = report
                .records
                .iter()
                .filter(|r| r.route == index && r.result == result);
            records.count().to_string()
        };
        let mut cells = vec![load_route.name.clone()];
        cells.extend(CallerResult::ALL.map(count));
        cells.extend([0.5, 0.99, 0.999].map(|q| ms(latency.value_at_quantile(q))));
        cells
    };
    let rows: Vec<Vec<String>> = plan.mix.iter().enumerate().map(row).collect();
    let mut header = vec!["ROUTE"];
    header.extend(CallerResult::ALL.map(CallerResult::name));
    header.extend(["p50 ms", "p99 ms", "p99.9 ms"]);
    print_table(&header, &rows);
    for (outcome, count) in report.outcome_counts() {
        println!("{count:>8}  {outcome}");
    }
}

fn print_json(plan: &LoadPlan, report: &LoadReport) {
    let latency = report.latency(None);
    let counts: serde_json::Map<String, serde_json::Value> = CallerResult::ALL
        .into_iter()
        .map(|result| (result.name().to_string(), report.count(result).into()))
        .collect();
    let output = serde_json::json!({
        "seed": plan.seed,
        "rate": plan.rate,
        "told": counts,
        "p50_us": latency.value_at_quantile(0.5),
        "p99_us": latency.value_at_quantile(0.99),
        "p999_us": latency.value_at_quantile(0.999),
    });
    println!("{output}");
}

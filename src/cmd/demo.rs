//! Demonstration: runs a small fleet in this process, sends requests and injects a fault.

use std::ffi::OsString;
use std::time::Duration;

use hyper::Method;
use tarragoncourse::coordination::commit::CommitOutcome;
use tarragoncourse::experiment::fleet::Fleet;
use tarragoncourse::load::{CallerResult, LoadPlan, LoadRoute, run as run_load};
use tarragoncourse::standin::target::Behaviour;
use tarragoncourse::state::id::{Path, Version};
use tarragoncourse::state::settings::{parse_file, put_edits};
use tarragoncourse::state::snapshot::Edit;

use super::load::print_report;
use crate::error::{CliError, CliResult};
use crate::util::{block_on, parse_args, positional_args};

const USAGE: &str = "
Runs a small fleet in this process: three availability zones, the services of two
deployments, and stand-ins for the platform and the targets. Applies settings, sends
requests, changes a route, kills a node, and prints the results.

Usage:
    tarragon demo
";

const HOKUSEI_SETTINGS: &str = include_str!("../../examples/hokusei.yaml");
const GUILD_SETTINGS: &str = include_str!("../../examples/guild.yaml");
/// The services: path, number of targets, and slots per target.
const SERVICES: [(&str, usize, u32); 6] = [
    ("hokusei/services/quotes", 5, 12),
    ("hokusei/services/orders", 5, 12),
    ("hokusei/services/surveys", 3, 12),
    ("guild/services/stockroom", 5, 16),
    ("guild/services/cutbook", 3, 16),
    ("guild/services/planroom", 3, 16),
];
/// Time limit for the fleet to join, and for every node to adopt one change.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Indices of the idempotent routes in the request mix.
const IDEMPOTENT_ROUTES: [usize; 2] = [0, 3];

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    positional_args(parse_args(argv, USAGE)?)?;
    block_on(async {
        let result = run_demo().await;
        result.map_err(|e| CliError::Other(e.to_string()))
    })
}

async fn run_demo() -> anyhow::Result<()> {
    let mut fleet = start_fleet().await?;
    let version = apply_settings(
        &fleet,
        0,
        &format!("{HOKUSEI_SETTINGS}---\n{GUILD_SETTINGS}"),
    )
    .await?;
    println!("settings of both deployments: version {version} in force on every node");
    // Targets are probed every 500 ms; after 1 s, every target has been probed and can receive
    // requests.
    tokio::time::sleep(Duration::from_secs(1)).await;

    println!("\nsending requests for five seconds:");
    send_requests(&fleet, 3).await?;

    let before = config_control_bytes(&fleet);
    let changed = GUILD_SETTINGS.replace("prefix: /stock", "prefix: /shelves");
    apply_settings(&fleet, 7, &changed).await?;
    let bytes_per_node = (config_control_bytes(&fleet) - before) / fleet.nodes.len() as u64;
    println!("\na route was changed; each node sent {bytes_per_node} control bytes on average");

    println!("\none node was killed; sending requests for five seconds:");
    fleet.nodes.remove(5).kill();
    send_requests(&fleet, 4).await?;
    let calls = fleet.platform.call_counts();
    println!(
        "\nplatform calls in total: {} reads, {} writes",
        calls.reads, calls.writes
    );
    fleet.shut_down();
    Ok(())
}

async fn start_fleet() -> anyhow::Result<Fleet> {
    let mut fleet = Fleet::default();
    for (service, targets, slots) in SERVICES {
        let behaviour = Behaviour {
            slots,
            ..Behaviour::default()
        };
        for _ in 0..targets {
            fleet.add_target(&Path::new(service)?, behaviour).await?;
        }
    }
    let joined = fleet.wait_until_joined(WAIT_TIMEOUT).await;
    let joined = joined.ok_or_else(|| anyhow::anyhow!("the fleet did not join in time"))?;
    let (nodes, ms) = (fleet.nodes.len(), joined.as_millis());
    println!("{nodes} nodes in three zones joined from a cold start in {ms} ms");
    Ok(fleet)
}

/// Applies settings at the node with the given index, and waits until every node has adopted them.
async fn apply_settings(fleet: &Fleet, node: usize, text: &str) -> anyhow::Result<Version> {
    let objects = parse_file("demo", text).map_err(|p| anyhow::anyhow!("{}", p[0]))?;
    let edits: Vec<Edit> = put_edits(&objects);
    match fleet.node(node).apply_as_admin(edits).await {
        CommitOutcome::Accepted { snapshot, .. } => {
            let version = snapshot.version();
            let elapsed = fleet.wait_for_version(version, WAIT_TIMEOUT).await;
            let elapsed =
                elapsed.ok_or_else(|| anyhow::anyhow!("version {version} did not converge"))?;
            println!("converged in {:.1} ms", elapsed.as_secs_f64() * 1000.0);
            Ok(version)
        }
        outcome => anyhow::bail!("the change was not accepted: {outcome:?}"),
    }
}

/// Sends requests for five seconds, prints the report, and checks it. The idempotent routes may run
/// a request more than once; all others must not.
async fn send_requests(fleet: &Fleet, seed: u64) -> anyhow::Result<()> {
    let plan = LoadPlan {
        nodes: fleet.caller_addresses(),
        rate: 400.0,
        duration: Duration::from_secs(5),
        mix: vec![
            load_route(Method::GET, "hokusei.example", "/quotes", 4.0, 0, 2_000),
            load_route(Method::POST, "hokusei.example", "/orders", 2.0, 500, 0),
            load_route(Method::POST, "hokusei.example", "/surveys", 0.3, 300_000, 0),
            load_route(Method::GET, "guild.example", "/slots", 4.0, 0, 1_000),
            load_route(Method::POST, "guild.example", "/cutting", 2.0, 500, 0),
            load_route(Method::POST, "guild.example", "/drawings", 0.3, 300_000, 0),
        ],
        seed,
        timeout: Duration::from_secs(20),
    };
    let report = run_load(&plan).await;
    print_report(&plan, &report);
    let mut runs = std::collections::HashMap::new();
    for (id, count) in fleet.targets.iter().flat_map(|t| t.target.run_counts()) {
        *runs.entry(id).or_insert(0) += count;
    }
    let violations = report.violations(&runs, &IDEMPOTENT_ROUTES);
    anyhow::ensure!(
        violations.is_empty(),
        "requests ran twice, or ran although they were reported as not run: {violations:?}"
    );
    anyhow::ensure!(
        report.count(CallerResult::Wrong) == 0,
        "a response was wrong"
    );
    println!("every received response was correct; no order ran twice");
    Ok(())
}

fn load_route(
    method: Method,
    host: &str,
    path: &str,
    weight: f64,
    body_bytes: usize,
    response_bytes: usize,
) -> LoadRoute {
    LoadRoute {
        name: format!("{method} {host}{path}"),
        method,
        host: host.to_string(),
        path: path.to_string(),
        weight,
        body_bytes,
        response_bytes,
        keyed: false,
    }
}

/// Control bytes that all nodes sent to announce and distribute configuration changes.
fn config_control_bytes(fleet: &Fleet) -> u64 {
    ["announce", "delta"]
        .map(|k| fleet.sent_control_bytes(k))
        .iter()
        .sum()
}

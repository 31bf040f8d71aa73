//! The node's daemon.

use std::io::Write;
use std::process::ExitCode;

use anyhow::Context;
use tarragoncourse::logging;
use tarragoncourse::node::RunningNode;
use tarragoncourse::node::config::NodeSettings;
use tarragoncourse::transport::kv::HttpPlatform;
use tokio::signal::unix::{SignalKind, signal};

const USAGE: &str = "
Runs one node of the mesh beside a target instance.

Usage:
    tarragond --config FILE
    tarragond --help

Options:
    --config FILE   the node's settings, YAML (docs/SETTINGS.md)

Prints one line with its addresses once it listens. SIGTERM and SIGINT stop it
gracefully. Exit codes: 0 stopped whole, 1 could not start, 3 stopped with
requests cut at the drain bound.
";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(e) => {
            eprintln!("tarragond: {e:#}");
            ExitCode::from(1)
        }
    }
}

fn run() -> anyhow::Result<ExitCode> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        println!("{}", USAGE.trim());
        return Ok(ExitCode::SUCCESS);
    }
    let file: String = args.value_from_str("--config")?;
    let text = std::fs::read_to_string(&file).with_context(|| format!("reading {file}"))?;
    let settings = NodeSettings::parse(&file, &text)?;
    logging::start(settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: NodeSettings) -> anyhow::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let platform = HttpPlatform::new(settings.platform);
    let running = RunningNode::start(settings, platform)
        .await
        .context("starting; check the listen addresses")?;
    let at = running.node().addresses();
    println!(
        "listening peers={} gate={} callers={} admin={}",
        at.peers, at.gate, at.callers, at.admin
    );
    std::io::stdout().flush()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let whole = running.stop().await;
    Ok(ExitCode::from(if whole { 0 } else { 3 }))
}

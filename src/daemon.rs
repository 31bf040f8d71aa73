//! What the daemons share: arguments, settings that may change, signals, and the stop.

use std::io::Write;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::logging;
use crate::node::RunningNode;
use crate::node::config::NodeSettings;
use crate::transport::platform::Platform;

/// Interval between looks at whether the settings file changed: it may without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(1);

/// What a daemon does next.
enum Next {
    Stop,
    Reload,
}

/// Runs a daemon to its exit code: reads `--config`, and hands the settings to `start`.
pub fn main<P: Platform>(
    name: &str,
    usage: &str,
    start: impl AsyncFnOnce(NodeSettings) -> anyhow::Result<RunningNode<P>>,
) -> ExitCode {
    match run(usage, start) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{name}: {e:#}");
            ExitCode::from(1)
        }
    }
}

fn run<P: Platform>(
    usage: &str,
    start: impl AsyncFnOnce(NodeSettings) -> anyhow::Result<RunningNode<P>>,
) -> anyhow::Result<ExitCode> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        println!("{}", usage.trim());
        return Ok(ExitCode::SUCCESS);
    }
    let file: String = args.value_from_str("--config")?;
    let settings = read(&file)?;
    logging::init(settings.log)?;
    let runtime = match settings.workers {
        Some(1) => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?,
        Some(workers) => tokio::runtime::Builder::new_multi_thread()
            .worker_threads(workers.max(1))
            .enable_all()
            .build()?,
        None => tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?,
    };
    let code = runtime.block_on(serve(&file, settings, start))?;
    logging::flush();
    Ok(code)
}

/// Starts a node.
///
/// # Errors
/// Any socket error.
pub async fn start_node<P: Platform>(
    settings: NodeSettings,
    platform: P,
) -> anyhow::Result<RunningNode<P>> {
    RunningNode::start(settings, platform)
        .await
        .context("starting; check the listen addresses")
}

fn read(file: &str) -> anyhow::Result<NodeSettings> {
    let text = std::fs::read_to_string(file).with_context(|| format!("reading {file}"))?;
    Ok(NodeSettings::parse(file, &text)?)
}

async fn serve<P: Platform>(
    file: &str,
    settings: NodeSettings,
    start: impl AsyncFnOnce(NodeSettings) -> anyhow::Result<RunningNode<P>>,
) -> anyhow::Result<ExitCode> {
    let mut ends = [
        signal(SignalKind::terminate())?,
        signal(SignalKind::interrupt())?,
    ];
    let mut hangup = signal(SignalKind::hangup())?;
    let mut changed = changed_at(file);
    let running = start(settings).await?;
    let at = running.node().addresses();
    println!(
        "listening peers={} gate={} callers={} admin={}",
        at.peers, at.gate, at.callers, at.admin
    );
    std::io::stdout().flush()?;
    while let Next::Reload = next(file, &mut changed, &mut ends, &mut hangup).await {
        match read(file) {
            Ok(settings) => running.node().reload(&settings),
            Err(e) => log::error!("settings not reloaded; the old ones stay: {e:#}"),
        }
    }
    let whole = running.stop().await;
    Ok(ExitCode::from(if whole { 0 } else { 3 }))
}

async fn next(
    file: &str,
    changed: &mut Option<SystemTime>,
    ends: &mut [Signal; 2],
    hangup: &mut Signal,
) -> Next {
    let [terminate, interrupt] = ends;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Next::Stop,
            _ = interrupt.recv() => return Next::Stop,
            _ = hangup.recv() => {
                *changed = changed_at(file);
                return Next::Reload;
            }
            () = tokio::time::sleep(SETTINGS_POLL) => {
                let now = changed_at(file);
                if now != *changed {
                    *changed = now;
                    return Next::Reload;
                }
            }
        }
    }
}

fn changed_at(file: &str) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}

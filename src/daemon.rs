//! Main function shared by the daemons: parses arguments, loads and reloads the settings, handles
//! signals and shuts the node down.

use std::io::Write;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::logging;
use crate::node::RunningNode;
use crate::node::config::NodeSettings;
use crate::state::units::parse_duration;
use crate::transport::platform::Platform;

/// Interval at which the settings file is checked for changes, because it may change without a
/// SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Action that a signal or a change of the settings file requests from a running daemon.
enum Action {
    Stop,
    Reload,
}

/// Runs a daemon and returns its exit code. Reads the settings file given by `--config` and calls
/// `start` with the settings.
pub fn main<P: Platform>(
    name: &str,
    usage: &str,
    start: impl AsyncFnOnce(NodeSettings) -> anyhow::Result<RunningNode<P>>,
) -> ExitCode {
    match run(usage, start) {
        Ok(code) => code,
        Err(e) => {
            logging::flush();
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
    let apply_time = args.opt_value_from_fn("--apply-time", parse_duration)?;
    let settings = read_settings(&file)?.with_apply_time(&file, apply_time)?;
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
/// Any socket error, for example if a listen address is in use.
pub async fn start_node<P: Platform>(
    settings: NodeSettings,
    platform: P,
) -> anyhow::Result<RunningNode<P>> {
    RunningNode::start(settings, platform)
        .await
        .context("cannot start the node; check the listen addresses")
}

fn read_settings(file: &str) -> anyhow::Result<NodeSettings> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("cannot read {file}; check `--config`"))?;
    Ok(NodeSettings::parse(file, &text)?)
}

async fn serve<P: Platform>(
    file: &str,
    settings: NodeSettings,
    start: impl AsyncFnOnce(NodeSettings) -> anyhow::Result<RunningNode<P>>,
) -> anyhow::Result<ExitCode> {
    let mut stop_signals = [
        signal(SignalKind::terminate())?,
        signal(SignalKind::interrupt())?,
    ];
    let mut hangup = signal(SignalKind::hangup())?;
    let mut modified = modified_at(file);
    let running = start(settings).await?;
    let addresses = running.node().addresses();
    println!(
        "listening peers={} gate={} callers={} admin={}",
        addresses.peers, addresses.gate, addresses.callers, addresses.admin
    );
    std::io::stdout().flush()?;
    while let Action::Reload =
        next_action(file, &mut modified, &mut stop_signals, &mut hangup).await
    {
        match read_settings(file) {
            Ok(settings) => running.node().reload(&settings),
            Err(e) => log::error!("settings not reloaded; the previous ones stay in use: {e:#}"),
        }
    }
    let all_finished = running.stop().await;
    Ok(ExitCode::from(if all_finished { 0 } else { 3 }))
}

/// Waits for a signal or for a change of the settings file.
async fn next_action(
    file: &str,
    modified: &mut Option<SystemTime>,
    stop_signals: &mut [Signal; 2],
    hangup: &mut Signal,
) -> Action {
    let [terminate, interrupt] = stop_signals;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Action::Stop,
            _ = interrupt.recv() => return Action::Stop,
            _ = hangup.recv() => {
                *modified = modified_at(file);
                return Action::Reload;
            }
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {
                let current = modified_at(file);
                if current != *modified {
                    *modified = current;
                    return Action::Reload;
                }
            }
        }
    }
}

fn modified_at(file: &str) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}

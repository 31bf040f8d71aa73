//! Stand-ins for tests and experiments: a server for the platform's key-value service, and a
//! target.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use tarragoncourse::standin::platform::MemoryPlatform;
use tarragoncourse::standin::server::PlatformServer;
use tarragoncourse::standin::target::{Behaviour, Target};
use tarragoncourse::transport::http::{Endpoint, ServeLimits, serve};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

const USAGE: &str = "
Runs a stand-in for the platform or for a target, in tests and experiments.

Usage:
    tarragon-standin platform [--listen ADDRESS]
    tarragon-standin target [--listen ADDRESS] [--behaviour JSON] [--connections N]

Options:
    --listen ADDRESS   address to listen on [default: 127.0.0.1:0]
    --behaviour JSON   fields: slots, service_ms, cold_ms, shed, healthy, lag_ms, draining, cut
    --connections N    maximum number of open connections; further ones wait
                       [default: 20000]

Prints one line with its address once it listens. For the platform, POST /faults sets
the faults to simulate, and GET /calls returns the number of calls. For the target,
POST /_/behaviour sets its behaviour, and GET /_/runs, /_/health and /_/load return
its executed requests, health and load.
";

const CONNECTIONS_MAX_DEFAULT: usize = 20_000;
/// Time limit for open connections to finish after SIGTERM.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("tarragon-standin: {e:#}");
            ExitCode::from(1)
        }
    }
}

fn run() -> anyhow::Result<()> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        println!("{}", USAGE.trim());
        return Ok(());
    }
    let command = args.subcommand()?;
    let listen: Option<SocketAddr> = args.opt_value_from_str("--listen")?;
    let listen = listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let behaviour: Option<String> = args.opt_value_from_str("--behaviour")?;
    let max_connections: Option<usize> = args.opt_value_from_str("--connections")?;
    let max_connections = max_connections.unwrap_or(CONNECTIONS_MAX_DEFAULT);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    match command.as_deref() {
        Some("platform") => runtime.block_on(run_server(
            listen,
            Arc::new(PlatformServer::from(MemoryPlatform::default())),
            max_connections,
        )),
        Some("target") => {
            let behaviour =
                behaviour.map_or(Ok(Behaviour::default()), |b| serde_json::from_str(&b));
            runtime.block_on(run_server(listen, Target::new(behaviour?), max_connections))
        }
        _ => anyhow::bail!("expected `platform` or `target`; see --help"),
    }
}

/// Serves the endpoint until SIGTERM.
async fn run_server<E: Endpoint>(
    listen: SocketAddr,
    endpoint: Arc<E>,
    max_connections: usize,
) -> anyhow::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("listening {}", listener.local_addr()?);
    std::io::stdout().flush()?;
    let (stop, stop_signal) = watch::channel(false);
    let limits = ServeLimits {
        max_connections,
        drain_timeout: DRAIN_TIMEOUT,
    };
    let server = tokio::spawn(serve(listener, endpoint, limits, stop_signal));
    signal(SignalKind::terminate())?.recv().await;
    stop.send(true)?;
    server.await?;
    Ok(())
}

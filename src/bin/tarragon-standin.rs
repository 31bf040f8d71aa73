//! Stand-ins for tests and trials: the platform's key-value service, and a target.

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
Stands in for what surrounds the mesh, in tests and trials.

Usage:
    tarragon-standin platform [--listen ADDRESS]
    tarragon-standin target [--listen ADDRESS] [--behaviour JSON] [--connections N]

Options:
    --listen ADDRESS   where to listen [default: 127.0.0.1:0]
    --behaviour JSON   slots, service_ms, cold_ms, shed, healthy, lag_ms, draining, cut
    --connections N    connections at once; more wait [default: 20000]

Prints one line with its address once it listens. The platform takes faults by
POST /faults and tells its calls by GET /calls; the target takes its behaviour
by POST /_/behaviour and tells its runs, health and load by GET /_/runs,
/_/health and /_/load.
";

const CONNECTIONS_MAX_DEFAULT: usize = 20_000;
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
            Arc::new(PlatformServer(MemoryPlatform::default())),
            max_connections,
        )),
        Some("target") => {
            let behaviour =
                behaviour.map_or(Ok(Behaviour::default()), |b| serde_json::from_str(&b));
            runtime.block_on(run_server(listen, Target::new(behaviour?), max_connections))
        }
        _ => anyhow::bail!("name a stand-in: platform or target; see --help"),
    }
}

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

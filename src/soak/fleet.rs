//! The fleet of a run: node processes, the platform stand-in, and the targets and link proxies in
//! this process.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::Context;
use hyper::{Method, Request, StatusCode};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::sync::{Mutex, watch};
use tokio::time::Instant;

use super::Plan;
use super::check::{AcceptedChange, ConfigSample, PlannedStop};
use super::proxy::Proxy;
use super::schedule::Link;
use crate::protocol::operators::{ApplyRequest, ApplyResponse};
use crate::protocol::wire::WireEdit;
use crate::standin::faults::PlatformFaults;
use crate::standin::target::{Behaviour, Target};
use crate::state::id::ChangeId;
use crate::state::settings;
use crate::transport::client::HttpClient;
use crate::transport::http::{ServeLimits, full_body, read_body, serve};

/// Behaviour of targets while no fault is injected.
pub const NORMAL_BEHAVIOUR: Behaviour = Behaviour {
    service_ms: 5,
    ..Behaviour::NORMAL
};
/// Host name of every route.
pub const HOST: &str = "soak.example";
/// Admin token of the nodes, and its salted hash.
const ADMIN_TOKEN: &str = "admin-demo-token";
const ADMIN_TOKEN_HASH: &str = "30cbb07181cbb4c53ef8db4bba1c0e95:57313ca91d67df58598baf2d09f61ef79aba68e9038efb20493623b8f8ba2f99";
/// Number of availability zones.
const ZONE_COUNT: usize = 3;
/// First port of the range for node listeners. The range lies below the ephemeral ports of the
/// system, so that no outgoing connection takes the port of a node while the node restarts.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in the range.
const PORT_COUNT: u16 = 18_000;
/// Drain timeout in the settings of each node.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for a graceful stop; a node that takes longer is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of requests that read the admin API or set platform faults. A tenth of it is the polling
/// interval while waiting.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of an admin request that applies a configuration change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest response body read, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// Configuration applied before the faults begin; its token hash belongs to [`ADMIN_TOKEN`].
const INITIAL_CONFIG: &str = "
kind: team
path: soak
token-hash: \"30cbb07181cbb4c53ef8db4bba1c0e95:57313ca91d67df58598baf2d09f61ef79aba68e9038efb20493623b8f8ba2f99\"
---
kind: service
path: soak/services/work
shed-status: 503
---
kind: route
path: soak/routes/orders
host: soak.example
prefix: /orders
service: soak/services/work
class: order
deadline: 3s
attempts: 4
idempotent: never
---
kind: route
path: soak/routes/stock
host: soak.example
prefix: /stock
service: soak/services/work
class: lookup
deadline: 3s
---
kind: route
path: soak/routes/deposits
host: soak.example
prefix: /deposits
service: soak/services/work
class: order
deadline: 3s
idempotent: never
keyed: true
";

/// A node process, its target, and the proxies on its links.
struct Node {
    settings_file: PathBuf,
    log_file: PathBuf,
    program: PathBuf,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    process: Mutex<Option<Child>>,
    incarnation: AtomicUsize,
    target: Arc<Target>,
    platform_proxy: Proxy,
    gate_proxy: Proxy,
    target_proxy: Proxy,
}

/// All processes, targets and proxies of a run.
pub struct Fleet {
    nodes: Vec<Node>,
    platform_address: SocketAddr,
    _platform: Child,
    client: HttpClient,
    _target_stops: Vec<watch::Sender<bool>>,
}

impl Fleet {
    /// Starts the platform stand-in, the targets and the nodes.
    ///
    /// # Errors
    /// If a program does not start, or on any socket or file error.
    pub async fn start(plan: &Plan) -> anyhow::Result<Fleet> {
        std::fs::create_dir_all(&plan.dir)?;
        let (platform, platform_address) = start_platform(&plan.programs).await?;
        let mut ports = PortAllocator::new(plan.seed);
        let mut stops = Vec::new();
        let mut nodes = Vec::new();
        for number in 0..plan.nodes {
            let target = Target::new(NORMAL_BEHAVIOUR);
            let (target_address, stop) = serve_target(target.clone()).await?;
            stops.push(stop);
            nodes.push(
                Node::start(
                    plan,
                    number,
                    platform_address,
                    target_address,
                    target,
                    &mut ports,
                )
                .await?,
            );
        }
        Ok(Fleet {
            nodes,
            platform_address,
            _platform: platform,
            client: HttpClient::default(),
            _target_stops: stops,
        })
    }

    /// Applies the initial configuration and waits until every node's status shows all targets.
    ///
    /// # Errors
    /// If that takes longer than `timeout`.
    pub async fn wait_until_ready(&self, timeout: Duration) -> anyhow::Result<()> {
        let deadline = Instant::now() + timeout;
        let objects = settings::parse_file("soak", INITIAL_CONFIG)
            .map_err(|problems| anyhow::anyhow!("invalid initial configuration: {problems:?}"))?;
        let edits: Vec<WireEdit> = settings::put_edits(&objects)
            .iter()
            .map(WireEdit::from)
            .collect();
        while self.apply_edits(0, edits.clone()).await.is_none() {
            anyhow::ensure!(
                Instant::now() < deadline,
                "node 0 did not accept the initial configuration in time"
            );
            tokio::time::sleep(ADMIN_TIMEOUT / 10).await;
        }
        let expected = format!("\"targets\":{}", self.nodes.len());
        for node in 0..self.nodes.len() {
            while !self.get_body(node, "/v1/status").await.contains(&expected) {
                anyhow::ensure!(
                    Instant::now() < deadline,
                    "the status of node {node} did not show all targets in time"
                );
                tokio::time::sleep(ADMIN_TIMEOUT / 10).await;
            }
        }
        Ok(())
    }

    /// Number of nodes in the fleet.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Address on which a node accepts callers.
    pub fn caller_address(&self, node: usize) -> SocketAddr {
        self.nodes[node].caller_address
    }

    /// The proxy on a link of a node.
    pub fn proxy(&self, node: usize, link: Link) -> &Proxy {
        let node = &self.nodes[node];
        match link {
            Link::Platform => &node.platform_proxy,
            Link::Gate => &node.gate_proxy,
            Link::Target => &node.target_proxy,
        }
    }

    /// Sends a signal to a node, such as `-HUP`; does nothing if its process is not running.
    pub async fn send_signal(&self, node: usize, signal: &str) {
        if let Some(child) = &*self.nodes[node].process.lock().await {
            send_signal(child, signal).await;
        }
    }

    /// Kills a node. Returns false if it was not running or another fault was already stopping it.
    pub async fn kill(&self, node: usize) -> bool {
        let child = self.nodes[node].process.lock().await.take();
        match child {
            Some(mut child) => {
                kill_process(&mut child).await;
                true
            }
            None => false,
        }
    }

    /// Stops a node gracefully and waits until it has exited; kills it after [`STOP_TIMEOUT`].
    /// Returns `None` if the node was not running.
    pub async fn stop(&self, node: usize) -> Option<PlannedStop> {
        let mut child = self.nodes[node].process.lock().await.take()?;
        let requested = Instant::now();
        send_signal(&child, "-TERM").await;
        let wait_result = tokio::time::timeout(STOP_TIMEOUT, child.wait()).await;
        let exit_code = match wait_result {
            Ok(status) => status.ok().and_then(|s| s.code()),
            Err(_) => {
                kill_process(&mut child).await;
                None
            }
        };
        Some(PlannedStop {
            node,
            requested,
            exited: Instant::now(),
            exit_code,
        })
    }

    /// Restarts a node after [`Fleet::kill`] or [`Fleet::stop`].
    pub async fn restart(&self, node: usize) {
        let node = &self.nodes[node];
        match node.spawn() {
            Ok(child) => *node.process.lock().await = Some(child),
            Err(e) => log::error!(
                "restarting node with settings {} failed: {e:#}",
                node.settings_file.display()
            ),
        }
    }

    /// Sets the faults of the platform stand-in.
    pub async fn set_platform_faults(&self, faults: PlatformFaults) {
        let body = serde_json::to_string(&faults).unwrap_or_default();
        self.send_request(
            self.platform_address,
            Method::POST,
            "/faults",
            body,
            ADMIN_TIMEOUT,
        )
        .await;
    }

    /// The target of a node.
    pub fn target(&self, node: usize) -> &Arc<Target> {
        &self.nodes[node].target
    }

    /// Sets the behaviour of a node's target.
    pub fn set_target_behaviour(&self, node: usize, behaviour: Behaviour) {
        self.nodes[node].target.set_behaviour(behaviour);
    }

    /// Adds a route whose path and prefix contain `number`, through the admin API of one of the
    /// nodes; `None` if the change was not reported as accepted.
    pub async fn apply_change(&self, number: usize) -> Option<AcceptedChange> {
        let path = format!("soak/routes/change-{number}");
        let text = format!(
            "kind: route\npath: {path}\nhost: {HOST}\nprefix: /change-{number}\n\
             service: soak/services/work\ndeadline: 3s\n"
        );
        let objects = settings::parse_file("change", &text).ok()?;
        let edits = settings::put_edits(&objects);
        let edits = edits.iter().map(WireEdit::from).collect();
        let version = self.apply_edits(number % self.node_count(), edits).await?;
        Some(AcceptedChange { version, path })
    }

    async fn apply_edits(&self, node: usize, edits: Vec<WireEdit>) -> Option<u64> {
        let body = ApplyRequest {
            change: ChangeId(fastrand::u128(..)).to_string(),
            base: None,
            dry_run: false,
            edits,
        };
        let body = serde_json::to_string(&body).ok()?;
        let address = self.nodes[node].admin_address;
        let (status, text) = self
            .send_request(address, Method::POST, "/v1/apply", body, CHANGE_TIMEOUT)
            .await?;
        let response: ApplyResponse = serde_json::from_str(&text).ok()?;
        response
            .version
            .filter(|_| status == StatusCode::OK && response.verdict == "accepted")
    }

    /// Reads the configuration that each node has in force.
    pub async fn sample_configs(&self) -> Vec<ConfigSample> {
        let mut samples = Vec::new();
        for (number, node) in self.nodes.iter().enumerate() {
            let incarnation = node.incarnation.load(Ordering::SeqCst);
            let config: Value = serde_json::from_str(&self.get_body(number, "/v1/config").await)
                .unwrap_or_default();
            // The node was restarted during the request, so it is unknown which process responded.
            if node.incarnation.load(Ordering::SeqCst) != incarnation {
                continue;
            }
            let entries = config["entries"].as_array().into_iter().flatten();
            let paths = entries.filter_map(|e| e["path"].as_str().map(str::to_string));
            samples.push(ConfigSample {
                node: number,
                incarnation,
                version: config["version"].as_u64(),
                paths: paths.collect(),
            });
        }
        samples
    }

    async fn get_body(&self, node: usize, path: &str) -> String {
        let address = self.nodes[node].admin_address;
        let response = self.send_request(address, Method::GET, path, String::new(), ADMIN_TIMEOUT);
        response.await.map_or_else(String::new, |(_, text)| text)
    }

    async fn send_request(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: String,
        timeout: Duration,
    ) -> Option<(StatusCode, String)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {ADMIN_TOKEN}"))
            .body(full_body(body))
            .ok()?;
        let exchange = async {
            let response = self.client.send(address, request).await.ok()?;
            let status = response.status();
            let bytes = read_body(response.into_body(), RESPONSE_MAX_BYTES)
                .await
                .ok()?;
            Some((status, String::from_utf8_lossy(&bytes).into_owned()))
        };
        tokio::time::timeout(timeout, exchange).await.ok().flatten()
    }

    /// How often each request ran, by request id, summed over all targets.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for node in &self.nodes {
            for (id, count) in node.target.run_counts() {
                *counts.entry(id).or_default() += count;
            }
        }
        counts
    }

    /// Waits until no request runs at any target, at most for `timeout`. Returns the number of
    /// requests that still run.
    pub async fn wait_idle(&self, timeout: Duration) -> u32 {
        let deadline = Instant::now() + timeout;
        loop {
            let running = self.nodes.iter().map(|n| n.target.running_requests()).sum();
            if running == 0 || Instant::now() >= deadline {
                return running;
            }
            tokio::time::sleep(ADMIN_TIMEOUT / 10).await;
        }
    }
}

impl Node {
    async fn start(
        plan: &Plan,
        number: usize,
        platform_address: SocketAddr,
        target_address: SocketAddr,
        target: Arc<Target>,
        ports: &mut PortAllocator,
    ) -> anyhow::Result<Node> {
        let (peer_address, gate_address) = (ports.next_free().await?, ports.next_free().await?);
        let (caller_address, admin_address) = (ports.next_free().await?, ports.next_free().await?);
        let platform_proxy = Proxy::start(platform_address).await?;
        let gate_proxy = Proxy::start(gate_address).await?;
        let target_proxy = Proxy::start(target_address).await?;
        let text = format!(
            "instance: node-{number}\nzone: zone-{}\nlisten: {{ peers: \"{peer_address}\", gate: \
             \"{gate_address}\", callers: \"{caller_address}\", admin: \"{admin_address}\" }}\n\
             advertised-gate: {}\nplatform: \"{}\"\nfleet-key: soak-fleet-key-0123456789\n\
             admin-token-hash: \"{ADMIN_TOKEN_HASH}\"\nworkers: 1\ndrain: {}s\n\
             target: {{ address: \"{}\", service: soak/services/work, slots: {} }}\n",
            number % ZONE_COUNT,
            gate_proxy.address.port(),
            platform_proxy.address,
            DRAIN_TIMEOUT.as_secs(),
            target_proxy.address,
            NORMAL_BEHAVIOUR.slots,
        );
        let node = Node {
            settings_file: plan.dir.join(format!("node-{number}.yaml")),
            log_file: plan.dir.join(format!("node-{number}.log")),
            program: plan.programs.join("tarragond"),
            caller_address,
            admin_address,
            process: Mutex::new(None),
            incarnation: AtomicUsize::new(0),
            target,
            platform_proxy,
            gate_proxy,
            target_proxy,
        };
        std::fs::write(&node.settings_file, text)?;
        *node.process.lock().await = Some(node.spawn()?);
        Ok(node)
    }

    fn spawn(&self) -> anyhow::Result<Child> {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        let mut command = Command::new(&self.program);
        command.arg("--config").arg(&self.settings_file);
        command
            .stdout(open_append(&self.log_file)?)
            .stderr(open_append(&self.log_file)?);
        let child = command.kill_on_drop(true).spawn();
        child.with_context(|| format!("starting {}", self.program.display()))
    }
}

/// Finds free ports in the range that starts at [`FIRST_PORT`].
struct PortAllocator {
    next: u16,
}

impl PortAllocator {
    /// The first port to try depends on the seed and the process id, so that parallel runs rarely
    /// try the same ports.
    fn new(seed: u64) -> PortAllocator {
        let offset = seed
            .wrapping_mul(997)
            .wrapping_add(u64::from(std::process::id()) * 61);
        PortAllocator {
            next: (offset % u64::from(PORT_COUNT)) as u16,
        }
    }

    async fn next_free(&mut self) -> anyhow::Result<SocketAddr> {
        for _ in 0..PORT_COUNT {
            self.next = (self.next + 1) % PORT_COUNT;
            let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + self.next));
            if TcpListener::bind(address).await.is_ok() {
                return Ok(address);
            }
        }
        anyhow::bail!("no free port on loopback; stop other soak runs")
    }
}

async fn start_platform(programs: &Path) -> anyhow::Result<(Child, SocketAddr)> {
    let program = programs.join("tarragon-standin");
    let mut child = Command::new(&program)
        .arg("platform")
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .with_context(|| format!("starting {}; build all programs first", program.display()))?;
    let stdout = child
        .stdout
        .take()
        .context("standard output of the platform stand-in is not captured")?;
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).await?;
    let address = line.trim().rsplit(' ').next().unwrap_or_default();
    let address = address
        .parse()
        .with_context(|| format!("parsing the listen address in `{line}`"))?;
    Ok((child, address))
}

async fn serve_target(target: Arc<Target>) -> anyhow::Result<(SocketAddr, watch::Sender<bool>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let limits = ServeLimits {
        max_connections: 1000,
        drain_timeout: Duration::ZERO,
    };
    tokio::spawn(serve(listener, target, limits, stopped));
    Ok((address, stop))
}

fn open_append(file: &Path) -> anyhow::Result<File> {
    Ok(OpenOptions::new().create(true).append(true).open(file)?)
}

async fn send_signal(child: &Child, signal: &str) {
    let Some(id) = child.id() else { return };
    let status = Command::new("kill")
        .args([signal, &id.to_string()])
        .status();
    if let Err(e) = status.await {
        log::error!("sending signal {signal} to process {id} failed: {e}");
    }
}

/// Kills a process, even if it is suspended, and waits for it to exit.
async fn kill_process(child: &mut Child) {
    if let Err(e) = child.kill().await {
        log::error!("killing a process failed: {e}");
    }
}

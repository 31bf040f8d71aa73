//! The processes of a run, and the targets beside them.

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
use super::check::{Accepted, Held, Stopped};
use super::proxy::Proxy;
use super::schedule::Link;
use crate::protocol::operators::{ApplyRequest, ApplyResponse};
use crate::protocol::wire::WireEdit;
use crate::standin::faults::Faults;
use crate::standin::target::{Behaviour, Target};
use crate::state::id::ChangeId;
use crate::state::settings;
use crate::transport::client::HttpClient;
use crate::transport::http::{ServeLimits, full_body, read_body, serve};

/// How targets behave between their faults.
pub const USUAL: Behaviour = Behaviour {
    slots: 12,
    service_ms: 5,
    cold_ms: 0,
    shed: false,
    healthy: true,
    lag_ms: 0,
    draining: false,
    cut: false,
};
/// Host of every route.
pub const HOST: &str = "soak.example";
/// Token of the administrators in a run, and its salted hash.
const TOKEN: &str = "admin-demo-token";
const TOKEN_HASH: &str = "30cbb07181cbb4c53ef8db4bba1c0e95:57313ca91d67df58598baf2d09f61ef79aba68e9038efb20493623b8f8ba2f99";
/// Availability zones of a run.
const ZONES: usize = 3;
/// First port tried. Below the ports that the system gives to outgoing connections, so that a node
/// which starts again finds its own free.
const PORTS_FROM: u16 = 12_000;
/// Ports tried.
const PORTS: u16 = 18_000;
/// Longest time that a node may drain.
const DRAIN: Duration = Duration::from_secs(5);
/// Time after which a process that was asked to stop is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a node answers its operators.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a change is accepted or refused.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest page read, in bytes.
const PAGE_MAX: usize = 16 << 20;

const SETTINGS: &str = "
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

/// One node, with the links around it and the target beside it.
struct Node {
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    callers: SocketAddr,
    admin: SocketAddr,
    child: Mutex<Option<Child>>,
    life: AtomicUsize,
    target: Arc<Target>,
    platform: Proxy,
    gate: Proxy,
    beside: Proxy,
}

/// All that runs.
pub struct Fleet {
    nodes: Vec<Node>,
    store: SocketAddr,
    _store: Child,
    client: HttpClient,
    _stops: Vec<watch::Sender<bool>>,
}

impl Fleet {
    /// Starts the platform's stand-in, the targets and the nodes.
    ///
    /// # Errors
    /// Any program that does not start.
    pub async fn start(plan: &Plan) -> anyhow::Result<Fleet> {
        std::fs::create_dir_all(&plan.dir)?;
        let (store, at) = start_store(&plan.programs).await?;
        let mut ports = Ports::new(plan.seed);
        let mut stops = Vec::new();
        let mut nodes = Vec::new();
        for number in 0..plan.size {
            let target = Target::new(USUAL);
            let (beside, stop) = host(target.clone()).await?;
            stops.push(stop);
            nodes.push(Node::start(plan, number, at, beside, target, &mut ports).await?);
        }
        Ok(Fleet {
            nodes,
            store: at,
            _store: store,
            client: HttpClient::default(),
            _stops: stops,
        })
    }

    /// Waits until every node serves by the run's settings, with every target.
    ///
    /// # Errors
    /// When that takes longer than `limit`.
    pub async fn until_serving(&self, limit: Duration) -> anyhow::Result<()> {
        let end = Instant::now() + limit;
        let objects = settings::parse_file("soak", SETTINGS)
            .map_err(|problems| anyhow::anyhow!("settings of the soak: {problems:?}"))?;
        let edits: Vec<WireEdit> = settings::put_edits(&objects)
            .iter()
            .map(WireEdit::from)
            .collect();
        while self.apply(0, edits.clone()).await.is_none() {
            anyhow::ensure!(Instant::now() < end, "the settings were not accepted");
            tokio::time::sleep(ASK_TIMEOUT / 10).await;
        }
        let wanted = format!("\"targets\":{}", self.nodes.len());
        for node in 0..self.nodes.len() {
            while !self.page(node, "/v1/status").await.contains(&wanted) {
                anyhow::ensure!(Instant::now() < end, "node {node} lacks targets");
                tokio::time::sleep(ASK_TIMEOUT / 10).await;
            }
        }
        Ok(())
    }

    /// Nodes of the fleet.
    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    /// Where a node takes callers.
    pub fn callers(&self, node: usize) -> SocketAddr {
        self.nodes[node].callers
    }

    /// The link of a node.
    pub fn link(&self, node: usize, link: Link) -> &Proxy {
        let node = &self.nodes[node];
        match link {
            Link::Platform => &node.platform,
            Link::Gate => &node.gate,
            Link::Target => &node.beside,
        }
    }

    /// Sends a signal to a node that runs.
    pub async fn signal(&self, node: usize, name: &str) {
        if let Some(child) = &*self.nodes[node].child.lock().await {
            signal(child, name).await;
        }
    }

    /// Ends a node at once. Returns whether it ran, and was not about to stop already.
    pub async fn kill(&self, node: usize) -> bool {
        let child = self.nodes[node].child.lock().await.take();
        match child {
            Some(mut child) => {
                end(&mut child).await;
                true
            }
            None => false,
        }
    }

    /// Asks a node to stop, and waits for it; none if it did not run.
    pub async fn stop(&self, node: usize) -> Option<Stopped> {
        let mut child = self.nodes[node].child.lock().await.take()?;
        let at = Instant::now();
        signal(&child, "-TERM").await;
        let ended = tokio::time::timeout(STOP_TIMEOUT, child.wait()).await;
        let code = match ended {
            Ok(status) => status.ok().and_then(|s| s.code()),
            Err(_) => {
                end(&mut child).await;
                None
            }
        };
        Some(Stopped {
            node,
            at,
            gone: Instant::now(),
            code,
        })
    }

    /// Starts a node again that the caller has ended.
    pub async fn restart(&self, node: usize) {
        let node = &self.nodes[node];
        match node.spawn() {
            Ok(started) => *node.child.lock().await = Some(started),
            Err(e) => log::error!("{}: {e:#}", node.settings.display()),
        }
    }

    /// Sets the faults of the platform's store.
    pub async fn set_store(&self, faults: Faults) {
        let body = serde_json::to_string(&faults).unwrap_or_default();
        self.ask(self.store, Method::POST, "/faults", body, ASK_TIMEOUT)
            .await;
    }

    /// Changes how a target behaves.
    pub fn behave(&self, node: usize, behaviour: Behaviour) {
        self.nodes[node].target.set(behaviour);
    }

    /// Applies a change of its own by some node.
    pub async fn change(&self, number: usize) -> Option<Accepted> {
        let path = format!("soak/routes/change-{number}");
        let text = format!(
            "kind: route\npath: {path}\nhost: {HOST}\nprefix: /change-{number}\n\
             service: soak/services/work\ndeadline: 3s\n"
        );
        let objects = settings::parse_file("change", &text).ok()?;
        let edits = settings::put_edits(&objects);
        let edits = edits.iter().map(WireEdit::from).collect();
        let version = self.apply(number % self.size(), edits).await?;
        Some(Accepted { version, path })
    }

    async fn apply(&self, node: usize, edits: Vec<WireEdit>) -> Option<u64> {
        let body = ApplyRequest {
            change: ChangeId(fastrand::u128(..)).to_string(),
            base: None,
            dry_run: false,
            edits,
        };
        let body = serde_json::to_string(&body).ok()?;
        let to = self.nodes[node].admin;
        let (status, text) = self
            .ask(to, Method::POST, "/v1/apply", body, CHANGE_TIMEOUT)
            .await?;
        let answer: ApplyResponse = serde_json::from_str(&text).ok()?;
        answer
            .version
            .filter(|_| status == StatusCode::OK && answer.verdict == "accepted")
    }

    /// What each node has in force.
    pub async fn held(&self) -> Vec<Held> {
        let mut all = Vec::new();
        for (number, node) in self.nodes.iter().enumerate() {
            let life = node.life.load(Ordering::SeqCst);
            let page: Value =
                serde_json::from_str(&self.page(number, "/v1/config").await).unwrap_or_default();
            // A node that started in between has another life.
            if node.life.load(Ordering::SeqCst) != life {
                continue;
            }
            let entries = page["entries"].as_array().into_iter().flatten();
            let paths = entries.filter_map(|e| e["path"].as_str().map(str::to_string));
            all.push(Held {
                node: number,
                life,
                version: page["version"].as_u64(),
                paths: paths.collect(),
            });
        }
        all
    }

    async fn page(&self, node: usize, path: &str) -> String {
        let to = self.nodes[node].admin;
        let asked = self.ask(to, Method::GET, path, String::new(), ASK_TIMEOUT);
        asked.await.map_or_else(String::new, |(_, text)| text)
    }

    async fn ask(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: String,
        limit: Duration,
    ) -> Option<(StatusCode, String)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(full_body(body))
            .ok()?;
        let answer = async {
            let response = self.client.send(to, request).await.ok()?;
            let status = response.status();
            let bytes = read_body(response.into_body(), PAGE_MAX).await.ok()?;
            Some((status, String::from_utf8_lossy(&bytes).into_owned()))
        };
        tokio::time::timeout(limit, answer).await.ok().flatten()
    }

    /// How often each request ran, over all targets.
    pub fn runs(&self) -> HashMap<String, u32> {
        let mut all = HashMap::new();
        for node in &self.nodes {
            for (id, count) in node.target.runs() {
                *all.entry(id).or_default() += count;
            }
        }
        all
    }

    /// Requests that still run once `limit` has passed; waits no longer than it takes.
    pub async fn running_after(&self, limit: Duration) -> u32 {
        let end = Instant::now() + limit;
        loop {
            let running = self.nodes.iter().map(|n| n.target.running()).sum();
            if running == 0 || Instant::now() >= end {
                return running;
            }
            tokio::time::sleep(ASK_TIMEOUT / 10).await;
        }
    }
}

impl Node {
    async fn start(
        plan: &Plan,
        number: usize,
        store: SocketAddr,
        target: SocketAddr,
        standin: Arc<Target>,
        ports: &mut Ports,
    ) -> anyhow::Result<Node> {
        let (peers, gate_at) = (ports.next().await?, ports.next().await?);
        let (callers, admin) = (ports.next().await?, ports.next().await?);
        let platform = Proxy::start(store).await?;
        let gate = Proxy::start(gate_at).await?;
        let beside = Proxy::start(target).await?;
        let text = format!(
            "instance: node-{number}\nzone: zone-{}\nlisten: {{ peers: \"{peers}\", gate: \
             \"{gate_at}\", callers: \"{callers}\", admin: \"{admin}\" }}\nadvertised-gate: {}\n\
             platform: \"{}\"\nfleet-key: soak-fleet-key-0123456789\nadmin-token-hash: \
             \"{TOKEN_HASH}\"\nworkers: 1\ndrain: {}s\ntarget: {{ address: \"{}\", service: \
             soak/services/work, slots: {} }}\n",
            number % ZONES,
            gate.address.port(),
            platform.address,
            DRAIN.as_secs(),
            beside.address,
            USUAL.slots,
        );
        let node = Node {
            settings: plan.dir.join(format!("node-{number}.yaml")),
            log: plan.dir.join(format!("node-{number}.log")),
            program: plan.programs.join("tarragond"),
            callers,
            admin,
            child: Mutex::new(None),
            life: AtomicUsize::new(0),
            target: standin,
            platform,
            gate,
            beside,
        };
        std::fs::write(&node.settings, text)?;
        *node.child.lock().await = Some(node.spawn()?);
        Ok(node)
    }

    fn spawn(&self) -> anyhow::Result<Child> {
        self.life.fetch_add(1, Ordering::SeqCst);
        let mut command = Command::new(&self.program);
        command.arg("--config").arg(&self.settings);
        command
            .stdout(append(&self.log)?)
            .stderr(append(&self.log)?);
        let started = command.kill_on_drop(true).spawn();
        started.with_context(|| format!("starting {}", self.program.display()))
    }
}

/// Free ports below those of outgoing connections.
struct Ports {
    next: u16,
}

impl Ports {
    /// Runs with different seeds begin at different ports, and so do processes.
    fn new(seed: u64) -> Ports {
        let spread = seed.wrapping_mul(997) + u64::from(std::process::id()) * 61;
        Ports {
            next: (spread % u64::from(PORTS)) as u16,
        }
    }

    async fn next(&mut self) -> anyhow::Result<SocketAddr> {
        for _ in 0..PORTS {
            self.next = (self.next + 1) % PORTS;
            let address = SocketAddr::from(([127, 0, 0, 1], PORTS_FROM + self.next));
            if TcpListener::bind(address).await.is_ok() {
                return Ok(address);
            }
        }
        anyhow::bail!("no port is free on loopback; end other runs")
    }
}

async fn start_store(programs: &Path) -> anyhow::Result<(Child, SocketAddr)> {
    let program = programs.join("tarragon-standin");
    let mut child = Command::new(&program)
        .arg("platform")
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .with_context(|| format!("starting {}; build all programs", program.display()))?;
    let stdout = child.stdout.take().context("the stand-in's output")?;
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).await?;
    let address = line.trim().rsplit(' ').next().unwrap_or_default();
    let address = address
        .parse()
        .with_context(|| format!("reading `{line}`"))?;
    Ok((child, address))
}

async fn host(target: Arc<Target>) -> anyhow::Result<(SocketAddr, watch::Sender<bool>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let limits = ServeLimits {
        connections: 1000,
        drain: Duration::ZERO,
    };
    tokio::spawn(serve(listener, target, limits, stopped));
    Ok((address, stop))
}

fn append(file: &Path) -> anyhow::Result<File> {
    Ok(OpenOptions::new().create(true).append(true).open(file)?)
}

async fn signal(child: &Child, name: &str) {
    let Some(id) = child.id() else { return };
    let sent = Command::new("kill").args([name, &id.to_string()]).status();
    if let Err(e) = sent.await {
        log::error!("signal {name} to {id}: {e}");
    }
}

/// Kills a process, also one that is frozen, and collects it.
async fn end(child: &mut Child) {
    if let Err(e) = child.kill().await {
        log::error!("ending a process: {e}");
    }
}

//! The processes of a case: nodes, started as the deploy file does, and a server beside each; and the
//! record of what is sent, answered and run.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::wait_for_ok;
use crate::server::{Fault, LEAVE, ServerOptions};
use crate::store::Store;

/// Settings of a node, which the platform fills in.
const TEMPLATE: &str = "deploy/node.yaml";
/// The daemon of the deploy file.
const DAEMON: &str = "target/release/tarragon-hosted";
/// Time within which the fleet must be ready.
const START_MAX: Duration = Duration::from_secs(20);
/// Bounds of a small deployment.
pub const CONTACT: Duration = Duration::from_millis(3000);
pub const GRACE: Duration = Duration::from_secs(6);
/// Host of all routes.
pub const HOST: &str = "guild.example";

/// What was seen, with the time since the start, in a file.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(Instant, File, Vec<(Duration, String)>)>>);

impl Record {
    fn create(path: &Path) -> io::Result<Record> {
        let state = (Instant::now(), File::create(path)?, Vec::new());
        Ok(Record(Arc::new(Mutex::new(state))))
    }

    /// Adds a line.
    pub fn add(&self, line: &str) {
        let mut state = self.lock();
        let at = state.0.elapsed();
        let _ = writeln!(state.1, "{:8.3} {line}", at.as_secs_f64());
        state.2.push((at, line.to_string()));
    }

    /// The lines that begin with a text, each with its time.
    pub fn lines(&self, start: &str) -> Vec<(Duration, String)> {
        let state = self.lock();
        let lines = state.2.iter().filter(|(_, line)| line.starts_with(start));
        lines.cloned().collect()
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.lock().0.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, (Instant, File, Vec<(Duration, String)>)> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// A node and its addresses.
pub struct Node {
    pub name: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    /// Address for liveness reports.
    pub control: SocketAddr,
    /// Address of the server beside the node.
    pub app: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

impl Node {
    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
    }

    fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A server beside a node. It is started again some time after it has ended.
struct ServerProcess {
    process: Arc<Mutex<Child>>,
}

/// The server of one node.
#[derive(Clone, Default)]
pub struct ServerPlan {
    pub service: &'static str,
    pub fault: Fault,
    /// Whether the case itself starts the server.
    pub manual: bool,
}

impl ServerPlan {
    pub fn sound(service: &'static str) -> ServerPlan {
        ServerPlan {
            service,
            ..ServerPlan::default()
        }
    }
}

/// A fleet with its store and its servers. All its processes end when it is dropped.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub record: Record,
    servers: Vec<ServerProcess>,
    stopping: Arc<Mutex<bool>>,
    dir: PathBuf,
}

impl Fleet {
    /// Starts a node for each server, and waits until all of them answer requests and have been undisturbed
    /// for [`CONTACT`].
    ///
    /// # Errors
    /// If a process cannot be started, or the fleet does not become ready.
    pub fn start(record: &Path, document: &str, servers: &[ServerPlan]) -> io::Result<Fleet> {
        Fleet::start_with(record, document, servers, |_| {})
    }

    /// Like [`Fleet::start`]. Calls `begin` once the processes have been started.
    ///
    /// # Errors
    /// If a process cannot be started, or the fleet does not become ready.
    pub fn start_with(
        record: &Path,
        document: &str,
        servers: &[ServerPlan],
        begin: impl FnOnce(&Fleet),
    ) -> io::Result<Fleet> {
        let (store, platform) = Store::start();
        store.put("op/config", document);
        let dir = std::env::temp_dir().join(format!("tarragon-review-3-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut fleet = Fleet {
            nodes: Vec::new(),
            record: Record::create(record)?,
            servers: Vec::new(),
            stopping: Arc::default(),
            dir,
        };
        for (plan, n) in servers.iter().zip(1..) {
            fleet.start_one(n, platform, plan)?;
        }
        begin(&fleet);
        fleet.wait_until_ready()?;
        for node in &fleet.nodes {
            let warm = request("GET", "/look/warm", "warm", 1000, "");
            if !wait_for_ok(node.outbound, &warm, START_MAX) {
                return Err(io::Error::other(format!("{} does not serve", node.name)));
            }
        }
        fleet.record.add("ready: all nodes serve");
        std::thread::sleep(CONTACT + Duration::from_millis(500));
        Ok(fleet)
    }

    /// Waits until all nodes say that they are ready.
    ///
    /// # Errors
    /// If they do not in time.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        for node in &self.nodes {
            let question = "GET /ready HTTP/1.1\r\nhost: ready\r\n\r\n";
            if !wait_for_ok(node.ready, question, START_MAX) {
                return Err(io::Error::other(format!("{} is not ready", node.name)));
            }
        }
        Ok(())
    }

    /// Kills all nodes at one moment and starts them again after `pause`.
    ///
    /// # Errors
    /// If a process cannot be started.
    pub fn kill_all(&mut self, pause: Duration) -> io::Result<()> {
        self.record.add("all nodes are killed");
        self.nodes.iter_mut().for_each(Node::kill);
        std::thread::sleep(pause);
        for node in &mut self.nodes {
            node.process = start_daemon(&node.settings, &node.log)?;
        }
        self.record.add("all nodes are started again");
        Ok(())
    }

    fn start_one(&mut self, n: u8, platform: SocketAddr, plan: &ServerPlan) -> io::Result<()> {
        let pid = std::process::id().to_le_bytes();
        let ip = IpAddr::from(Ipv4Addr::new(127, 64 + pid[1] % 64, pid[0], n));
        // Held until all are chosen, so that no port is chosen twice.
        let free = (0..6).map(|_| TcpListener::bind((ip, 0)));
        let free = free.collect::<io::Result<Vec<_>>>()?;
        let addresses = free.iter().map(TcpListener::local_addr);
        let addresses = addresses.collect::<io::Result<Vec<_>>>()?;
        let [outbound, inbound, ready, control, peers, app] = addresses[..] else {
            return Err(io::Error::other("too few free ports"));
        };
        drop(free);
        let fields = [
            ("node_name", format!("sidecar-{n}")),
            ("zone", "matamata".to_string()),
            ("ip", ip.to_string()),
            ("internal_port_range.0", peers.port().to_string()),
            ("listen_addrs.inbound", inbound.to_string()),
            ("listen_addrs.outbound", outbound.to_string()),
            ("listen_addrs.ready", ready.to_string()),
            ("listen_addrs.control", control.to_string()),
            ("platform.address", platform.to_string()),
            ("app_addr", app.to_string()),
            ("service", plan.service.to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_string()),
            ("bounds.retry_budget_slack", "58".to_string()),
            ("bounds.grace_s", GRACE.as_secs().to_string()),
            ("limits.link_mbps", "1000.0".to_string()),
            (".|json", "{}".to_string()),
        ];
        let template = fs::read_to_string(TEMPLATE)?;
        let fill = |text: String, (name, value): &(&str, String)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        };
        let text = fields.iter().fold(template, fill);
        let settings = self.dir.join(format!("node-{n}.yaml"));
        fs::write(&settings, text)?;
        let log = self.dir.join(format!("node-{n}.log"));
        let process = start_daemon(&settings, &log)?;
        self.nodes.push(Node {
            name: format!("node {n}"),
            outbound,
            ready,
            control,
            app,
            settings,
            log,
            process,
        });
        if plan.manual {
            return Ok(());
        }
        let server = self.start_server(&ServerOptions {
            service: plan.service.to_string(),
            listen: app,
            control,
            fault: plan.fault,
            identity: None,
        })?;
        self.servers.push(server);
        Ok(())
    }

    fn start_server(&self, options: &ServerOptions) -> io::Result<ServerProcess> {
        let args = options.to_args();
        let (record, stopping) = (self.record.clone(), self.stopping.clone());
        let start = move || spawn_server(&args, Stdio::null());
        let process = Arc::new(Mutex::new(start()?));
        let shared = process.clone();
        std::thread::spawn(move || {
            loop {
                let output = lock(&shared).stdout.take();
                for line in output
                    .map(BufReader::new)
                    .into_iter()
                    .flat_map(BufRead::lines)
                {
                    record.add(&line.unwrap_or_default());
                }
                let _ = lock(&shared).wait();
                std::thread::sleep(RESTART_DELAY);
                let stopping = lock(&stopping);
                match (*stopping, start()) {
                    (false, Ok(next)) => *lock(&shared) = next,
                    _ => return,
                }
            }
        });
        Ok(ServerProcess { process })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        *lock(&self.stopping) = true;
        for server in &self.servers {
            let mut process = lock(&server.process);
            let _ = process.kill();
            let _ = process.wait();
        }
        self.nodes.iter_mut().for_each(Node::kill);
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Time after which a server that has crashed is back.
const RESTART_DELAY: Duration = Duration::from_millis(2000);
/// Service of the routes `/look/` and `/order/`.
pub const SERVICE: &str = "huvo11a";
/// Service of the route `/report/`.
pub const REPORTS: &str = "xano55b";

fn spawn_server(args: &[String], stdin: Stdio) -> io::Result<Child> {
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("server").args(args).stdin(stdin);
    command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn()
}

/// A server that a case starts. It is killed when this is dropped.
pub struct ManualServer(Child);

impl ManualServer {
    /// Starts a server whose lines go to the record.
    ///
    /// # Errors
    /// If the process cannot be started.
    pub fn start(options: &ServerOptions, record: &Record) -> io::Result<ManualServer> {
        let mut process = spawn_server(&options.to_args(), Stdio::piped())?;
        let (output, record) = (process.stdout.take(), record.clone());
        std::thread::spawn(move || {
            let lines = output.map(BufReader::new).into_iter();
            lines
                .flat_map(BufRead::lines)
                .map_while(Result::ok)
                .for_each(|l| record.add(&l));
        });
        Ok(ManualServer(process))
    }
}

impl ManualServer {
    /// Tells the server that it leaves.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn leave(&mut self) -> io::Result<()> {
        match &mut self.0.stdin {
            Some(stdin) => writeln!(stdin, "{LEAVE}"),
            None => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }
}

impl Drop for ManualServer {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_daemon(settings: &Path, log: &Path) -> io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    Command::new(DAEMON)
        .arg("--config")
        .arg(settings)
        .args(["--apply-time", "2000ms"])
        .stdout(out)
        .spawn()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// The head and body of a request.
pub fn request(method: &str, target: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    let length = match (method, body.len()) {
        ("GET", 0) => String::new(),
        (_, length) => format!("content-length: {length}\r\n"),
    };
    format!(
        "{method} {target} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-deadline-ms: {deadline_ms}\r\n{length}\r\n{body}"
    )
}

/// A configuration with an idempotent and a non-idempotent route to [`SERVICE`], and an idempotent route to
/// [`REPORTS`].
pub fn document(timeout_ms: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        format!(
            "{{\"type\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":1000,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2}}}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"type\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\"health_path\":\"/health\",\"max_connections\":110}}}}"
        )
    };
    let limits = "{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    let resources = [
        route("r-look", "/look/", "idempotent", SERVICE),
        route("r-order", "/order/", "non_idempotent", SERVICE),
        route("r-report", "/report/", "idempotent", REPORTS),
        service(SERVICE),
        service(REPORTS),
        limits.to_string(),
    ];
    format!(
        "{{\"version\":\"0000000c\",\"base_version\":\"00000000\",\"resources\":[{}]}}",
        resources.join(",")
    )
}

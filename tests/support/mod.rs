//! Helpers for integration tests that start the real binaries. Each process is stopped by its
//! process id.

#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Admin token of every node that the tests start.
pub const ADMIN_TOKEN: &str = "admin-demo-token";
/// Hash of [`ADMIN_TOKEN`] for the node settings.
pub const ADMIN_TOKEN_HASH: &str = "30cbb07181cbb4c53ef8db4bba1c0e95:57313ca91d67df58598baf2d09f61ef79aba68e9038efb20493623b8f8ba2f99";

/// Maximum time to wait for a condition or for data on a connection.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Process that is killed when dropped.
pub struct Process {
    pub child: Child,
    /// First line of the output, which contains the listening addresses.
    pub startup_line: String,
}

impl Process {
    fn start(mut command: Command) -> Process {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("start the binary");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut startup_line = String::new();
        let result = BufReader::new(stdout).read_line(&mut startup_line);
        result.expect("read the line with the listening addresses");
        Process {
            child,
            startup_line,
        }
    }

    /// Sends a signal, such as `-STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status();
        assert!(status.expect("run `kill`").success());
    }

    /// Sends SIGKILL and waits for the process to end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM and returns the exit code.
    pub fn terminate(&mut self) -> i32 {
        self.signal("-TERM");
        self.child
            .wait()
            .expect("wait for the process")
            .code()
            .unwrap_or(-1)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Node process and its listening addresses.
pub struct NodeProcess {
    pub process: Process,
    /// Address for the other nodes.
    pub peers: SocketAddr,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address of the admin API.
    pub admin: SocketAddr,
}

/// Temporary directory of one test, and helpers that run the binaries in it.
pub struct Workdir {
    pub dir: PathBuf,
    /// Address of the platform, once it has been started.
    pub platform: Option<SocketAddr>,
    /// Secret of the nodes that are started next. Nodes with different ones ignore each other.
    pub fleet_key: &'static str,
}

impl Workdir {
    /// Creates the directory; `name` must be unique among the tests of one binary.
    pub fn new(name: &str) -> Workdir {
        let dir_name = format!("tarragon-{name}-{}", std::process::id());
        let dir = std::env::temp_dir().join(dir_name);
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("create the directory");
        Workdir {
            dir,
            platform: None,
            fleet_key: "test-fleet-key-0123456789",
        }
    }

    /// Writes a file into the directory.
    pub fn write(&self, name: &str, text: &str) {
        std::fs::write(self.dir.join(name), text).expect("write the file");
    }

    /// Starts the platform stand-in. All nodes that are started afterwards use it.
    pub fn start_platform(&mut self) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tarragon-standin"));
        command.arg("platform");
        let process = Process::start(command);
        self.platform = Some(parse_address(&process.startup_line, "listening "));
        process
    }

    /// Starts a target stand-in and returns its process and address. `behaviour` is JSON, as for
    /// `tarragon-standin target --behaviour`.
    pub fn start_target(&self, behaviour: &str) -> (Process, SocketAddr) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tarragon-standin"));
        command.args(["target", "--behaviour", behaviour]);
        let process = Process::start(command);
        let address = parse_address(&process.startup_line, "listening ");
        (process, address)
    }

    /// Starts a target stand-in at the address of one that has ended.
    pub fn restart_target(&self, address: SocketAddr, behaviour: &str) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tarragon-standin"));
        let listen = address.to_string();
        command.args(["target", "--listen", &listen, "--behaviour", behaviour]);
        Process::start(command)
    }

    /// Starts a node; `target` is the service and address of its local target.
    pub fn start_node(
        &self,
        instance: &str,
        zone: &str,
        target: Option<(&str, SocketAddr)>,
    ) -> NodeProcess {
        self.start_node_with(instance, zone, target, "")
    }

    /// Starts a node with additional lines of YAML in its settings.
    pub fn start_node_with(
        &self,
        instance: &str,
        zone: &str,
        target: Option<(&str, SocketAddr)>,
        extra_settings: &str,
    ) -> NodeProcess {
        let platform = self.platform.expect("the platform was started");
        let any_port = "127.0.0.1:0";
        let mut settings = format!(
            "instance: {instance}\nzone: {zone}\nlisten: {{ peers: \"{any_port}\", gate: \"{any_port}\", \
             callers: \"{any_port}\", admin: \"{any_port}\" }}\nplatform: \"{platform}\"\n\
             fleet-key: {}\nadmin-token-hash: \"{ADMIN_TOKEN_HASH}\"\n{extra_settings}",
            self.fleet_key
        );
        if let Some((service, address)) = target {
            settings +=
                &format!("target: {{ address: \"{address}\", service: {service}, slots: 12 }}\n");
        }
        let file_name = format!("{instance}.yaml");
        self.write(&file_name, &settings);
        let mut command = Command::new(env!("CARGO_BIN_EXE_tarragond"));
        command.arg("--config").arg(self.dir.join(&file_name));
        let process = Process::start(command);
        NodeProcess {
            peers: parse_address(&process.startup_line, "peers="),
            callers: parse_address(&process.startup_line, "callers="),
            admin: parse_address(&process.startup_line, "admin="),
            process,
        }
    }

    /// Waits until every node is ready and lists all nodes as members.
    pub fn wait_until_joined(&self, nodes: &[&NodeProcess]) {
        wait_until("all nodes have joined", || {
            nodes.iter().all(|n| {
                let ready = http_request(n.admin, "GET", "x", "/ready", &[], "");
                let status = http_request(n.admin, "GET", "x", "/v1/status", &[], "");
                let peers = status.map_or(0, |s| s.body.matches("\"peer\"").count());
                ready.is_some_and(|r| r.status == 200) && peers == nodes.len()
            })
        });
    }

    /// Runs the `tarragon` command with the admin token, against the admin address of a node.
    pub fn run_cli(&self, node: Option<&NodeProcess>, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tarragon"));
        command.current_dir(&self.dir).args(args);
        command.env("TARRAGON_TOKEN", ADMIN_TOKEN);
        if let Some(node) = node {
            command.env("TARRAGON_NODE", node.admin.to_string());
        }
        command.output().expect("run `tarragon`")
    }

    /// Runs the `tarragon` command, checks that it succeeds, and returns its output.
    pub fn run_cli_ok(&self, node: Option<&NodeProcess>, args: &[&str]) -> String {
        let output = self.run_cli(node, args);
        let (out, err) = (text(&output.stdout), text(&output.stderr));
        assert!(output.status.success(), "{args:?}: {out}{err}");
        out
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Decodes UTF-8; invalid bytes are replaced.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Parses the address that follows `prefix` in a line of output.
fn parse_address(line: &str, prefix: &str) -> SocketAddr {
    let start = line
        .find(prefix)
        .unwrap_or_else(|| panic!("`{prefix}` is missing in the startup line: {line:?}"));
    let rest = &line[start + prefix.len()..];
    let end = rest.find(char::is_whitespace).unwrap_or(rest.len());
    rest[..end].parse().expect("parse the address")
}

/// Polls until the condition is met; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}: {description}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// HTTP response, split into head and body. The body is not decoded further.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl HttpResponse {
    /// Value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<String> {
        let line = self.head.lines().find(|l| {
            let (n, _) = l.split_once(':').unwrap_or((l, ""));
            n.eq_ignore_ascii_case(name)
        });
        line.and_then(|l| l.split_once(':'))
            .map(|(_, v)| v.trim().to_string())
    }
}

/// Sends raw bytes and reads until the server closes the connection.
pub fn send_raw(to: SocketAddr, bytes: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    stream.write_all(bytes)?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    Ok(text(&response))
}

/// Sends one request on a new connection; `None` if no complete response head is received.
pub fn http_request(
    to: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<HttpResponse> {
    let mut request = format!("{method} {path} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n");
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        request += &format!("content-length: {}\r\n", body.len());
    }
    let response = send_raw(to, format!("{request}\r\n{body}").as_bytes()).ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(HttpResponse {
        status,
        head: head.to_string(),
        body: body.to_string(),
    })
}

/// Configuration with one team, one service and one route.
pub const SETTINGS: &str = "
kind: team
path: guild
token-hash: \"30cbb07181cbb4c53ef8db4bba1c0e95:57313ca91d67df58598baf2d09f61ef79aba68e9038efb20493623b8f8ba2f99\"
---
kind: service
path: guild/services/cutbook
shed-status: 503
---
kind: route
path: guild/routes/cutting
host: guild.example
prefix: /cutting
service: guild/services/cutbook
class: order
deadline: 5s
";

/// Small fleet of real processes.
pub struct Fleet {
    pub workdir: Workdir,
    pub platform: Process,
    pub targets: Vec<(Process, SocketAddr)>,
    /// Nodes with a local target; node `n` has target `n`.
    pub nodes: Vec<NodeProcess>,
    /// Nodes without a target, which accept the callers' requests.
    pub entry_nodes: Vec<NodeProcess>,
}

/// Configuration of the fleet: orders must not run twice, stock lookups may, and deposits require
/// an idempotency key.
pub const FLEET_SETTINGS: &str = "
kind: team
path: guild
token-hash: \"30cbb07181cbb4c53ef8db4bba1c0e95:57313ca91d67df58598baf2d09f61ef79aba68e9038efb20493623b8f8ba2f99\"
---
kind: service
path: guild/services/cutbook
shed-status: 503
---
kind: route
path: guild/routes/orders
host: guild.example
prefix: /orders
service: guild/services/cutbook
class: order
deadline: 3s
attempts: 4
idempotent: never
---
kind: route
path: guild/routes/stock
host: guild.example
prefix: /stock
service: guild/services/cutbook
class: lookup
deadline: 3s
---
kind: route
path: guild/routes/deposits
host: guild.example
prefix: /deposits
service: guild/services/cutbook
class: order
deadline: 3s
idempotent: never
keyed: true
";

impl Fleet {
    /// Starts the processes, applies [`FLEET_SETTINGS`] and waits until every node can use every
    /// target.
    pub fn start(name: &str, entry_count: usize, target_count: usize, behaviour: &str) -> Fleet {
        let mut workdir = Workdir::new(name);
        let platform = workdir.start_platform();
        let targets: Vec<_> = (0..target_count)
            .map(|_| workdir.start_target(behaviour))
            .collect();
        let zones = ["hamilton", "matamata", "te-awamutu"];
        let nodes: Vec<_> = (0..targets.len())
            .map(|n| {
                let target = Some(("guild/services/cutbook", targets[n].1));
                workdir.start_node(&format!("cutbook-{n}"), zones[n % 3], target)
            })
            .collect();
        let entry_nodes: Vec<_> = (0..entry_count)
            .map(|n| workdir.start_node(&format!("entry-{n}"), zones[n % 3], None))
            .collect();
        let fleet = Fleet {
            workdir,
            platform,
            targets,
            nodes,
            entry_nodes,
        };
        let all_nodes: Vec<&NodeProcess> = fleet.nodes.iter().chain(&fleet.entry_nodes).collect();
        fleet.workdir.wait_until_joined(&all_nodes);
        fleet.workdir.write("fleet.yaml", FLEET_SETTINGS);
        fleet.workdir.run_cli_ok(
            Some(&fleet.entry_nodes[0]),
            &["apply", "--wait", "-f", "fleet.yaml"],
        );
        wait_until("every target accepts requests", || {
            all_nodes.iter().all(|n| {
                let status = http_request(n.admin, "GET", "x", "/v1/status", &[], "");
                let expected = format!("\"targets\":{}", fleet.targets.len());
                status.is_some_and(|s| s.body.contains(&expected))
            })
        });
        fleet
    }

    /// Addresses at which the entry nodes accept callers' requests.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entry_nodes.iter().map(|e| e.callers).collect()
    }

    /// Number of times that each request id ran, summed over all targets.
    pub fn run_counts(&self) -> std::collections::HashMap<String, u32> {
        let mut total_counts = std::collections::HashMap::new();
        for (_, address) in &self.targets {
            let response = http_request(*address, "GET", "x", "/_/runs", &[], "")
                .expect("the target responds");
            let runs: std::collections::HashMap<String, u32> =
                serde_json::from_str(&response.body).expect("parse the run counts");
            for (id, count) in runs {
                *total_counts.entry(id).or_insert(0) += count;
            }
        }
        total_counts
    }

    /// Total number of requests that one target ran.
    pub fn run_count(&self, target: usize) -> u32 {
        let response = http_request(self.targets[target].1, "GET", "x", "/_/runs", &[], "");
        let runs: std::collections::HashMap<String, u32> =
            serde_json::from_str(&response.expect("the target responds").body)
                .expect("parse the run counts");
        runs.values().sum()
    }

    /// Sets the faults that the platform stand-in simulates, in JSON.
    pub fn set_faults(&self, json: &str) {
        let to = self.workdir.platform.expect("the platform was started");
        let response = http_request(to, "POST", "x", "/faults", &[], json);
        assert_eq!(response.expect("the platform responds").status, 200);
    }

    /// Starts the targets that have ended again. Returns how many there were.
    pub fn restart_ended_targets(&mut self, behaviour: &str) -> usize {
        let mut ended = 0;
        for (process, address) in &mut self.targets {
            if process.child.try_wait().expect("a child process").is_some() {
                *process = self.workdir.restart_target(*address, behaviour);
                ended += 1;
            }
        }
        ended
    }

    /// Sends a command without a body to the platform stand-in.
    pub fn command_platform(&self, path: &str) {
        let to = self.workdir.platform.expect("the platform was started");
        let response = http_request(to, "POST", "x", path, &[], "");
        assert_eq!(response.expect("the platform responds").status, 200);
    }

    /// Sets the behaviour of one target, in JSON.
    pub fn set_behaviour(&self, target: usize, json: &str) {
        let response = http_request(
            self.targets[target].1,
            "POST",
            "x",
            "/_/behaviour",
            &[],
            json,
        );
        assert_eq!(response.expect("the target responds").status, 200);
    }
}

/// Route for the load generator. Requests to paths under `/deposits` get an idempotency key.
pub fn load_route(
    method: &str,
    path: &str,
    body_bytes: usize,
    response_bytes: usize,
) -> tarragoncourse::load::LoadRoute {
    tarragoncourse::load::LoadRoute {
        name: path.to_string(),
        method: method.parse().expect("parse the method"),
        host: "guild.example".to_string(),
        path: path.to_string(),
        weight: 1.0,
        body_bytes,
        response_bytes,
        keyed: path.starts_with("/deposits"),
    }
}

/// Starts a thread that sends `rate` requests per second to the nodes and returns the report.
pub fn spawn_load(
    nodes: Vec<SocketAddr>,
    rate: f64,
    seconds: u64,
    mix: Vec<tarragoncourse::load::LoadRoute>,
) -> std::thread::JoinHandle<tarragoncourse::load::LoadReport> {
    let plan = tarragoncourse::load::LoadPlan {
        nodes,
        rate,
        duration: Duration::from_secs(seconds),
        mix,
        seed: 1,
        timeout: Duration::from_secs(20),
    };
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Runtime::new().expect("create the runtime");
        runtime.block_on(tarragoncourse::load::run(&plan))
    })
}

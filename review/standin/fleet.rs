//! A small deployment on loopback: nodes as separate processes, with the settings of the deploy
//! file's template, and stand-ins of the platform, of servers and of requesters.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::exchange;
use crate::store::Store;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
/// Sends a signal to a process when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt cannot be written");
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
    }
}

/// A route of the operator's configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub attempts: u8,
}

/// The host of all routes.
pub const HOST: &str = "guild.example";

/// Builds a version of the configuration.
pub fn configuration(version: u32, services: &[&str], routes: &[Route<'_>]) -> String {
    let service = |name: &&str| {
        format!(
            r#"{{"type":"services","metadata":{{"name":"{name}"}},"spec":{{"health_path":"/health"}}}}"#
        )
    };
    let route = |r: &Route<'_>| {
        let Route {
            name,
            prefix,
            kind,
            service,
            timeout_ms,
            objective_ms,
            attempts,
        } = r;
        format!(
            r#"{{"type":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"{HOST}","prefix":"{prefix}","kind":"{kind}","service":"{service}","timeout_ms":{timeout_ms},"target_latency_ms":{objective_ms},"priority":1,"max_attempts":{attempts}}}}}"#
        )
    };
    let limits = r#"{"type":"limits","metadata":{"name":"limits"},"spec":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":10000}}"#;
    let resources = services.iter().map(service).chain(routes.iter().map(route));
    let resources: Vec<String> = resources.chain([limits.to_string()]).collect();
    format!(
        r#"{{"version":"{version:08x}","resources":[{}]}}"#,
        resources.join(",")
    )
}

/// Bounds and limits of the deployment, as the platform's settings give them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub retry_slack: u32,
    /// SIGKILL follows this long after SIGTERM.
    pub grace: Duration,
}

/// One machine: a node as a process, and the address of the server beside it.
pub struct Machine {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub ip: String,
    bounds: Bounds,
    platform: SocketAddr,
    dir: PathBuf,
    record: Record,
    child: Option<Child>,
}

impl Machine {
    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip)
            .parse()
            .expect("a valid address")
    }

    /// Where the requesters and the server of the machine send their requests.
    pub fn outbound(&self) -> SocketAddr {
        self.address(8629)
    }

    /// Where the server of the machine reports.
    pub fn control(&self) -> SocketAddr {
        self.address(8620)
    }

    /// Where the platform asks whether the node is ready.
    pub fn ready(&self) -> SocketAddr {
        self.address(8625)
    }

    /// Where the server of the machine listens.
    pub fn app(&self) -> SocketAddr {
        self.address(8628)
    }

    /// Starts the node's process, with the command of the deploy file.
    pub fn start(&mut self) {
        let config = self.dir.join(format!("{}.yaml", self.name));
        fs::write(&config, self.settings()).expect("the settings cannot be written");
        let log = self.dir.join(format!("{}.log", self.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("no log file");
        let mut command = Command::new("target/release/tarragon-hosted");
        command.arg("--config").arg(&config);
        command
            .stdout(log.try_clone().expect("no log file"))
            .stderr(log);
        // No process outlives the case, however it ends.
        let end_with_parent = || {
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) };
            Ok(())
        };
        unsafe { command.pre_exec(end_with_parent) };
        self.child = Some(command.spawn().expect("tarragon-hosted cannot be started"));
        self.record
            .line(&format!("platform: starts the process on {}", self.name));
    }

    /// Fills in the template of the settings.
    fn settings(&self) -> String {
        let template = fs::read_to_string("deploy/node.yaml").expect("no deploy/node.yaml");
        let fields = [
            ("node_name", self.name.clone()),
            ("zone", self.zone.clone()),
            ("ip", self.ip.clone()),
            ("internal_port_range.0", "7600".to_string()),
            ("listen_addrs.inbound", self.address(8624).to_string()),
            ("listen_addrs.outbound", self.outbound().to_string()),
            ("listen_addrs.ready", self.ready().to_string()),
            ("listen_addrs.control", self.control().to_string()),
            ("platform.address", self.platform.to_string()),
            ("app_addr", self.app().to_string()),
            ("service", self.service.clone()),
            ("bounds.retry_budget_ratio", "0.2".to_string()),
            (
                "bounds.retry_budget_slack",
                self.bounds.retry_slack.to_string(),
            ),
            ("bounds.grace_s", self.bounds.grace.as_secs().to_string()),
            ("limits.link_mbps", "1000.0".to_string()),
            (".|json", "{}".to_string()),
        ];
        let fill = |text: String, (name, value): &(&str, String)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        };
        fields.iter().fold(template, fill)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The process was started here and has not been waited for, so the id is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("platform: SIGKILL to {}", self.name));
        }
    }

    /// Sends SIGTERM, and SIGKILL at the end of the grace period.
    pub fn stop(&mut self) {
        self.signal(SIGTERM);
        self.record
            .line(&format!("platform: SIGTERM to {}", self.name));
        let end = Instant::now() + self.bounds.grace;
        while Instant::now() < end {
            if let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) {
                self.child = None;
                let ended = format!(
                    "platform: the process on {} has ended ({status})",
                    self.name
                );
                return self.record.line(&ended);
            }
            thread::sleep(ms(5));
        }
        self.kill();
    }

    /// Whether the node answers that it is ready.
    pub fn is_ready(&self) -> bool {
        is_ready(self.ready())
    }
}

/// Whether a node answers at its `ready` address with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let headers = [("host", "node"), ("connection", "close")];
    let answer = exchange(address, "GET", "/ready", &headers, b"", ms(500));
    answer.is_ok_and(|a| a.is_some_and(|a| a.status() == 200))
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The machines of a deployment.
pub struct Fleet {
    pub store: Store,
    pub machines: Vec<Machine>,
    dir: PathBuf,
}

impl Fleet {
    /// Starts a machine for each of the services given, all in one zone, with a configuration.
    pub fn start(record: &Record, services: &[&str], bounds: Bounds, config: &str) -> Fleet {
        Fleet::start_in(record, &["matamata"], services, bounds, config)
    }

    /// Like [`Fleet::start`], with the machines in the given zones by turns.
    pub fn start_in(
        record: &Record,
        zones: &[&str],
        services: &[&str],
        bounds: Bounds,
        config: &str,
    ) -> Fleet {
        let network = free_network(services.len());
        let store = Store::start(&format!("{network}.250.1"));
        let dir = std::env::temp_dir().join(format!("tarragon-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("no temporary folder");
        store.write("op/config", config);
        record.line(&format!("operator: writes {config}"));
        let machine = |(n, service): (usize, &&str)| Machine {
            name: format!("sidecar-{}-{}", zones[n % zones.len()], n / zones.len() + 1),
            service: service.to_string(),
            zone: zones[n % zones.len()].to_string(),
            ip: format!("{network}.{}.1", n + 1),
            bounds,
            platform: store.address,
            dir: dir.clone(),
            record: record.clone(),
            child: None,
        };
        let mut machines: Vec<Machine> = services.iter().enumerate().map(machine).collect();
        machines.iter_mut().for_each(Machine::start);
        Fleet {
            store,
            machines,
            dir,
        }
    }

    /// Waits until all nodes are ready and have had time to find each other.
    pub fn wait_until_ready(&self) {
        let end = Instant::now() + ms(20_000);
        while !self.machines.iter().all(Machine::is_ready) {
            if Instant::now() > end {
                could_not_run("the nodes do not become ready");
            }
            thread::sleep(ms(50));
        }
        // The pages give a fleet eight seconds between its start and the traffic.
        thread::sleep(ms(8_000));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.machines.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Ends the program with the exit code for a case that could not run.
pub fn could_not_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

/// Returns the first two numbers of loopback addresses at which the ports of a fleet are free.
fn free_network(machines: usize) -> String {
    let offset = std::process::id() as usize;
    for n in 0..180 {
        let network = format!("127.{}", 40 + (offset + n) % 180);
        let is_free = |m: usize| {
            let ports = [7600, 8620, 8624, 8625, 8628, 8629, 9464];
            ports
                .iter()
                .all(|port| TcpListener::bind(format!("{network}.{m}.1:{port}")).is_ok())
        };
        if (1..=machines).all(is_free) {
            return network;
        }
    }
    could_not_run("no free ports");
}

//! Stand-ins and process control for the scripts of this review: the platform's store, back ends
//! with their liveness reports, requesters, and the nodes under test as separate processes.
//! Standard library only.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "jepu9.example";

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Writes `record.txt`: one line an event, with the time since the start of the script.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        Arc::new(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
        })
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let _ = writeln!(
            self.file.lock().unwrap(),
            "{:8.3} {}",
            self.now(),
            text.as_ref()
        );
    }
}

/// A message of HTTP/1.1 as far as the stand-ins need it.
#[derive(Default, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line(r: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if r.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_string())
}

/// Reads the head of a message.
pub fn read_head(r: &mut impl BufRead) -> io::Result<Message> {
    let mut m = Message {
        first: read_line(r)?,
        ..Message::default()
    };
    loop {
        let line = read_line(r)?;
        if line.is_empty() {
            return Ok(m);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header"))?;
        m.headers.push((name.to_string(), value.trim().to_string()));
    }
}

/// Reads the body that follows a head, by its length or its chunks.
pub fn read_body(r: &mut impl BufRead, m: &mut Message) -> io::Result<()> {
    if m.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(r)?.trim(), 16).map_err(|_| bad("chunk"))?;
            let mut chunk = vec![0; size];
            r.read_exact(&mut chunk)?;
            m.body.extend(chunk);
            read_line(r)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = m
        .header("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    m.body = vec![0; length];
    r.read_exact(&mut m.body)
}

pub fn read_message(r: &mut impl BufRead) -> io::Result<Message> {
    let mut m = read_head(r)?;
    read_body(r, &mut m)?;
    Ok(m)
}

// ---- the platform's store ----

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Events as JSON, with their revision and key.
    events: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// The platform's store, by PROTOCOL.md.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// Copies of the last seconds, the oldest first.
    copies: Mutex<VecDeque<(Instant, StoreState)>>,
    /// Whether the store is away: it ends all connections without an answer.
    away: AtomicBool,
    era: AtomicU64,
}

/// Interval between two copies, and how many are kept.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
const COPIES: usize = 60;

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            copies: Mutex::default(),
            away: AtomicBool::new(false),
            era: AtomicU64::new(1),
        });
        let copying = store.clone();
        thread::spawn(move || {
            loop {
                let copy = copying.state.lock().unwrap().clone();
                let mut copies = copying.copies.lock().unwrap();
                copies.push_back((Instant::now(), copy));
                if copies.len() > COPIES {
                    copies.pop_front();
                }
                drop(copies);
                thread::sleep(COPY_INTERVAL);
            }
        });
        store.state.lock().unwrap().revision = 100;
        let listener = TcpListener::bind(addr).expect("the store's address is free");
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(ms(50));
                expiring.expire();
            }
        });
        store
    }

    /// Writes a value as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut s = self.state.lock().unwrap();
        s.revision += 1;
        put_item(&mut s, key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Is away for a moment, and comes back from a copy of this age. What the operator has written since
    /// is written again; what the nodes have written since is gone, leases too.
    pub fn come_back_from_copy(&self, age: Duration, away: Duration) -> bool {
        self.away.store(true, Ordering::SeqCst);
        self.changed.notify_all();
        let at = Instant::now() - age;
        let found = self
            .copies
            .lock()
            .unwrap()
            .iter()
            .rev()
            .find(|(t, _)| *t <= at)
            .cloned();
        let Some((taken, mut copy)) = found else {
            return false;
        };
        thread::sleep(away);
        let mut s = self.state.lock().unwrap();
        let shift = taken.elapsed();
        copy.leases.values_mut().for_each(|(end, _)| *end += shift);
        copy.next_lease = s.next_lease;
        let newer: Vec<(String, String)> = s
            .items
            .iter()
            .filter(|(k, i)| k.starts_with("op/") && i.revision > copy.revision)
            .map(|(k, i)| (k.clone(), i.value.clone()))
            .collect();
        *s = copy;
        for (key, value) in newer {
            s.revision += 1;
            put_item(&mut s, &key, value, 0);
        }
        self.era.fetch_add(1, Ordering::SeqCst);
        self.away.store(false, Ordering::SeqCst);
        true
    }

    /// Reads a value as the operator does.
    pub fn get(&self, key: &str) -> Option<String> {
        let s = self.state.lock().unwrap();
        s.items.get(key).map(|i| from_base64(&i.value))
    }

    fn expire(&self) {
        let mut s = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = s
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            end_lease(&mut s, id);
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut r = BufReader::new(stream);
        loop {
            let m = read_message(&mut r)?;
            if self.away.load(Ordering::SeqCst) {
                return Ok(());
            }
            let mut words = m.first.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let era = self.era.load(Ordering::SeqCst);
            let (status, body) = self.answer(method, path, query, &m.body);
            if self.era.load(Ordering::SeqCst) != era || self.away.load(Ordering::SeqCst) {
                return Ok(());
            }
            write!(
                out,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
    }

    fn answer(&self, method: &str, path: &str, query: &str, body: &[u8]) -> (u16, String) {
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .find(|(n, _)| *n == name)
                .map_or("", |(_, v)| v)
                .to_string()
        };
        let body = String::from_utf8_lossy(body).into_owned();
        let (call, id) = path[1..].split_once('/').unwrap_or((&path[1..], ""));
        match (method, call) {
            ("GET", "kv-key") => {
                let s = self.state.lock().unwrap();
                match s.items.get(&param("key")) {
                    None => (404, "{}".into()),
                    Some(i) => (200, item_json(&param("key"), i, Some(s.revision))),
                }
            }
            ("GET", "kv-range") => {
                let s = self.state.lock().unwrap();
                let (prefix, after) = (param("prefix"), param("after"));
                let items: Vec<String> = s
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && **k > after)
                    .map(|(k, i)| item_json(k, i, None))
                    .collect();
                let at = s.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has_more\":false,\"at\":{at}}}",
                        items.join(",")
                    ),
                )
            }
            ("GET", "kv-watch") => {
                let after: u64 = param("after").parse().unwrap_or(0);
                let wait = ms(param("wait_ms").parse().unwrap_or(0));
                self.watch(&param("prefix"), after, wait)
            }
            ("POST", "kv-txn") => self.transact(&body),
            ("POST", "kv-lease") => {
                let ttl = ms(json_number(&body, "ttl_ms").unwrap_or(3000));
                let mut s = self.state.lock().unwrap();
                s.next_lease += 1;
                let lease = 70_000 + s.next_lease;
                s.leases.insert(lease, (Instant::now() + ttl, ttl));
                (
                    200,
                    format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()),
                )
            }
            ("POST", "kv-keep") => {
                let mut s = self.state.lock().unwrap();
                match s.leases.get_mut(&id.parse().unwrap_or(0)) {
                    None => (404, "{}".into()),
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                }
            }
            ("DELETE", "kv-lease-end") => {
                let mut s = self.state.lock().unwrap();
                let id = id.parse().unwrap_or(0);
                if !s.leases.contains_key(&id) {
                    return (404, "{}".into());
                }
                end_lease(&mut s, id);
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut s = self.state.lock().unwrap();
        if after > s.revision {
            return (410, "{}".into());
        }
        loop {
            if self.away.load(Ordering::SeqCst) {
                return (503, "{}".into());
            }
            let events: Vec<String> = s
                .events
                .iter()
                .filter(|(r, k, _)| *r > after && k.starts_with(prefix))
                .map(|(_, _, e)| e.clone())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let at = s.revision;
                return (
                    200,
                    format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")),
                );
            }
            s = self.changed.wait_timeout(s, end - now).unwrap().0;
        }
    }

    /// Transactions of the nodes have one expected row, and puts or deletions.
    fn transact(&self, body: &str) -> (u16, String) {
        let (before, after) = body.split_once("\"puts\"").unwrap_or((body, ""));
        let (puts, deletes) = after.split_once("\"delete_keys\"").unwrap_or((after, ""));
        let mut s = self.state.lock().unwrap();
        let key = json_text(before, "key").unwrap_or_default();
        let expected = json_number(before, "revision").unwrap_or(0);
        if s.items.get(&key).map_or(0, |i| i.revision) != expected {
            return (412, "{\"items\":[]}".into());
        }
        let mut rows = Vec::new();
        for part in puts.split('{').skip(1) {
            let lease = json_number(part, "lease").unwrap_or(0);
            if lease > 0 && !s.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
            let key = json_text(part, "key").unwrap_or_default();
            rows.push((key, json_text(part, "value").unwrap_or_default(), lease));
        }
        s.revision += 1;
        for (key, value, lease) in rows {
            put_item(&mut s, &key, value, lease);
        }
        for key in deletes.split('"').skip(1).step_by(2) {
            remove_item(&mut s, key);
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", s.revision))
    }
}

fn put_item(s: &mut StoreState, key: &str, value: String, lease: u64) {
    let revision = s.revision;
    let created = s.items.get(key).map_or(revision, |i| i.created);
    let item = Item {
        value,
        revision,
        created,
        lease,
    };
    s.events
        .push((revision, key.to_string(), item_json(key, &item, None)));
    s.items.insert(key.to_string(), item);
}

fn remove_item(s: &mut StoreState, key: &str) {
    if s.items.remove(key).is_some() {
        let revision = s.revision;
        let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
        s.events.push((revision, key.to_string(), event));
    }
}

fn end_lease(s: &mut StoreState, id: u64) {
    s.leases.remove(&id);
    s.revision += 1;
    let keys: Vec<String> = s
        .items
        .iter()
        .filter(|(_, i)| i.lease == id)
        .map(|(k, _)| k.clone())
        .collect();
    keys.iter().for_each(|k| remove_item(s, k));
}

fn item_json(key: &str, i: &Item, at: Option<u64>) -> String {
    let at = at.map(|a| format!(",\"at\":{a}")).unwrap_or_default();
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created_at\":{},\"lease\":{}{at}}}",
        i.value, i.revision, i.created, i.lease
    )
}

fn json_text(text: &str, name: &str) -> Option<String> {
    let rest = text.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split_once('"')?.0.to_string())
}

fn json_number(text: &str, name: &str) -> Option<u64> {
    let rest = text.split_once(&format!("\"{name}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for c in bytes.chunks(3) {
        let n = (u32::from(c[0]) << 16)
            | (u32::from(*c.get(1).unwrap_or(&0)) << 8)
            | u32::from(*c.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= c.len() {
                true => out.push(SET[(n >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn from_base64(text: &str) -> String {
    const SET: &str = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for digit in text.chars().filter_map(|c| SET.find(c)) {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---- the operator's configuration ----

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
}

pub fn config(version: u64, routes: &[Route], services: &[&str]) -> String {
    let mut parts: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"type\":\"routes\",\"metadata\":{{\"name\":\"r-{}\"}},\"spec\":{{\"host\":\"{HOST}\",\"prefix\":\"{}\",\"kind\":\"{}\",\"timeout_ms\":{},\"target_latency_ms\":500,\"priority\":1,\"service\":\"{}\",\"max_attempts\":2}}}}",
                r.prefix.trim_matches('/'), r.prefix, r.kind, r.timeout_ms, r.service
            )
        })
        .collect();
    for s in services {
        parts.push(format!(
            "{{\"type\":\"services\",\"metadata\":{{\"name\":\"{s}\"}},\"spec\":{{\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}}}"
        ));
    }
    parts.push("{\"type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}".into());
    format!(
        "{{\"version\":\"{version:08x}\",\"base_version\":\"00000000\",\"resources\":[{}]}}",
        parts.join(",")
    )
}

// ---- machines and nodes ----

/// A machine: an address of its own in the loopback range, a node, and a back end beside it.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub service: String,
    ports: [u16; 6],
}

impl Machine {
    pub fn new(name: &str, service: &str) -> Machine {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let n = COUNT.fetch_add(1, Ordering::SeqCst) as u8 + 1;
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 64 + (pid >> 8 & 63) as u8, (pid & 255) as u8, n);
        // Held until all are chosen, so that they differ.
        let held: [TcpListener; 6] = std::array::from_fn(|_| TcpListener::bind((ip, 0)).unwrap());
        let ports = held.each_ref().map(|l| l.local_addr().unwrap().port());
        Machine {
            name: name.into(),
            ip,
            service: service.into(),
            ports,
        }
    }

    fn at(&self, index: usize) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, self.ports[index]))
    }

    pub fn inbound(&self) -> SocketAddr {
        self.at(0)
    }
    pub fn outbound(&self) -> SocketAddr {
        self.at(1)
    }
    pub fn ready(&self) -> SocketAddr {
        self.at(2)
    }
    pub fn control(&self) -> SocketAddr {
        self.at(3)
    }
    pub fn app(&self) -> SocketAddr {
        self.at(4)
    }

    /// Fills in the deploy template, as DEPLOY.md says.
    pub fn settings(&self, store: SocketAddr) -> String {
        let template =
            std::fs::read_to_string("deploy/node.yaml").expect("run from the repository's root");
        let fields = [
            ("node_name", self.name.clone()),
            ("zone", "matamata".into()),
            ("ip", self.ip.to_string()),
            ("internal_port_range.0", self.ports[5].to_string()),
            ("listen_addrs.inbound", self.inbound().to_string()),
            ("listen_addrs.outbound", self.outbound().to_string()),
            ("listen_addrs.ready", self.ready().to_string()),
            ("listen_addrs.control", self.control().to_string()),
            ("platform.address", store.to_string()),
            ("app_addr", self.app().to_string()),
            ("service", self.service.clone()),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.retry_budget_slack", "58".into()),
            ("bounds.grace_s", "6".into()),
            ("limits.link_mbps", "1000.0".into()),
            (".|json", "{}".into()),
        ];
        let fill = |text: String, (name, value): &(&str, String)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        };
        let text = fields.iter().fold(template, fill);
        assert!(
            !text.contains("{{"),
            "an unknown placeholder in deploy/node.yaml: {text}"
        );
        text
    }
}

/// Processes that this script has started and that have not ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that the script has started, by their ids.
pub fn end_all() {
    let running = std::mem::take(&mut *RUNNING.lock().unwrap_or_else(|e| e.into_inner()));
    for pid in running {
        let _ = Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .status();
    }
}

/// A node under test, as a process of its own. It is killed when dropped.
pub struct Node {
    pub machine: Machine,
    dir: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

impl Node {
    pub fn start(machine: &Machine, store: SocketAddr, record: &Arc<Record>) -> Node {
        let dir =
            std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), machine.name));
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("node.yaml"), machine.settings(store)).unwrap();
        let mut node = Node {
            machine: machine.clone(),
            dir,
            child: None,
            record: record.clone(),
        };
        node.run();
        node
    }

    /// Starts the process with the command of the deploy file.
    pub fn run(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join("log"))
            .unwrap();
        let child = Command::new("target/release/tarragon-hosted")
            .arg("--config")
            .arg(self.dir.join("node.yaml"))
            .args(["--apply-time", "2000ms"])
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/tarragon-hosted is built");
        RUNNING.lock().unwrap().push(child.id());
        self.record
            .line(format!("node {} started", self.machine.name));
        self.child = Some(child);
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.as_ref().unwrap().id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &pid])
                .status()
                .unwrap()
                .success()
        );
        self.record
            .line(format!("node {} gets {name}", self.machine.name));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
            self.record
                .line(format!("node {} killed", self.machine.name));
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let request = format!(
            "GET /ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.machine.ready()
        );
        call(self.machine.ready(), &request, ms(800)).is_ok_and(|m| m.status() == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + ms(15_000);
        while Instant::now() < end {
            if self.is_ready() {
                self.record
                    .line(format!("node {} is ready", self.machine.name));
                return true;
            }
            thread::sleep(ms(50));
        }
        let log = std::fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        self.record.line(format!(
            "node {} is not ready; the end of its log:",
            self.machine.name
        ));
        log.lines().rev().take(5).for_each(|l| self.record.line(l));
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        match std::env::var("KEEP").is_ok() {
            true => eprintln!("kept {}", self.dir.display()),
            false => drop(std::fs::remove_dir_all(&self.dir)),
        }
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn call(to: SocketAddr, request: &str, timeout: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, ms(1000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    (&stream).write_all(request.as_bytes())?;
    let mut r = BufReader::new(stream);
    let mut m = read_head(&mut r)?;
    if m.header("content-length").is_some() || m.header("transfer-encoding").is_some() {
        read_body(&mut r, &mut m)?;
    }
    Ok(m)
}

/// A request of a requester. Each has an id of its own.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, extra: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n{extra}\r\n"
    )
}

// ---- back ends ----

/// How much longer a slow back end takes.
const SLOW_FACTOR: u64 = 4;

/// What a back end has seen of one request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: f64,
    pub done: Option<f64>,
}

/// A back end by PROTOCOL.md: runs requests of its own instance, answers with the id and a digest,
/// drops a request whose connection closes, and reports to the node of its machine.
pub struct Backend {
    pub machine: Machine,
    pub instance: String,
    pub born: u64,
    /// Version of its software.
    pub version: String,
    sequence: AtomicU64,
    pub beating: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    pub open: AtomicBool,
    /// Whether the back end is leaving, which all its answers say.
    pub leaving: AtomicBool,
    /// Whether the back end takes longer for its work.
    pub slow: AtomicBool,
    /// The call that each request to this prefix makes, if any.
    pub nested: Mutex<Option<Nested>>,
    record: Arc<Record>,
}

/// Calls that a back end makes while it runs a request: one each, on one kept connection to the node
/// of its machine.
pub struct Nested {
    /// Prefix of the requests that make a call.
    pub of: &'static str,
    /// Path of the call.
    pub path: &'static str,
    pub deadline_ms: u64,
    /// Whether the body of the call is sent in chunks, or with a length.
    pub chunked: bool,
    pub connection: Option<BufReader<TcpStream>>,
    pub made: usize,
    pub served: usize,
}

impl Backend {
    /// Starts the back end. The path `/PREFIX/WORK/...` says how many milliseconds a request takes.
    pub fn start(machine: &Machine, instance: &str, record: &Arc<Record>) -> Arc<Backend> {
        Backend::start_version(machine, instance, "v1", record)
    }

    /// Starts a back end of a version.
    pub fn start_version(
        machine: &Machine,
        instance: &str,
        version: &str,
        record: &Arc<Record>,
    ) -> Arc<Backend> {
        let backend = Arc::new(Backend {
            machine: machine.clone(),
            instance: instance.into(),
            born: unix_ms(),
            version: version.into(),
            sequence: AtomicU64::new(0),
            beating: AtomicBool::new(true),
            runs: Mutex::default(),
            open: AtomicBool::new(true),
            leaving: AtomicBool::new(false),
            slow: AtomicBool::new(false),
            nested: Mutex::new(None),
            record: record.clone(),
        });
        let listener = TcpListener::bind(machine.app()).expect("the back end's address is free");
        let served = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = served.clone();
                thread::spawn(move || drop(backend.serve(stream)));
            }
        });
        let reporting = backend.clone();
        thread::spawn(move || {
            loop {
                if reporting.beating.load(Ordering::SeqCst) {
                    reporting.report(&reporting.heartbeat("ready"));
                }
                thread::sleep(ms(870));
            }
        });
        backend
    }

    /// The next liveness report, as the bytes of a request.
    pub fn heartbeat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"matamata\",\"version\":\"{}\",\"slots\":14,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.machine.service,
            self.machine.app(),
            self.version,
            self.born
        );
        self.post("Heartbeat", &body)
    }

    pub fn deregistration(&self) -> String {
        self.post("Deregister", &format!("{{\"born\":{}}}", self.born))
    }

    fn post(&self, call: &str, body: &str) -> String {
        format!(
            "POST /Instances.{call}/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            self.instance,
            self.machine.control(),
            body.len()
        )
    }

    /// Sends a report. A 2xx answer within a second acknowledges it.
    pub fn report(&self, report: &str) -> bool {
        call(self.machine.control(), report, ms(1000)).is_ok_and(|m| m.status() / 100 == 2)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut r = BufReader::new(stream);
        loop {
            let mut m = read_head(&mut r)?;
            if !self.open.load(Ordering::SeqCst) {
                return Ok(());
            }
            let id = m.header("x-attempt-id").unwrap_or("").to_string();
            let expected = m.header("x-expect-instance").map(str::to_string);
            if expected.is_some_and(|e| e != self.instance) {
                read_body(&mut r, &mut m)?;
                write!(
                    out,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    self.instance
                )?;
                continue;
            }
            let path = m.first.split(' ').nth(1).unwrap_or("").to_string();
            let work = path
                .split('/')
                .nth(2)
                .and_then(|w| w.parse().ok())
                .unwrap_or(0);
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    id: id.clone(),
                    at: self.record.now(),
                    done: None,
                });
                runs.len() - 1
            };
            let budget = m.header("x-deadline-ms").unwrap_or("-").to_string();
            self.record.line(format!(
                "server {} runs {id} {path} (time left {budget} ms)",
                self.instance
            ));
            read_body(&mut r, &mut m)?;
            // A server stops work at the time budget that it receives.
            let budget_ms = budget.parse().unwrap_or(u64::MAX);
            let factor = if self.slow.load(Ordering::SeqCst) {
                SLOW_FACTOR
            } else {
                1
            };
            if work * factor > budget_ms {
                // Its timers fire up to 3 ms late.
                let late = Duration::from_micros(index as u64 * 370 % 3000);
                if !self.work(r.get_ref(), ms(budget_ms) + late) {
                    self.record
                        .line(format!("server {} ends {id} with 504", self.instance));
                    // An answer without a length ends with its connection.
                    write!(
                        out,
                        "HTTP/1.1 504 Gateway Timeout\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: 3e1b.07.0\r\nConnection: close\r\n\r\ntime budget\n"
                    )?;
                }
                return Ok(());
            }
            if self.work(r.get_ref(), ms(work * factor)) {
                self.record.line(format!(
                    "server {} drops {id}: its connection has closed",
                    self.instance
                ));
                return Ok(());
            }
            let status = match self.make_call(&path, &id) {
                true => "200 OK",
                false => "500 Internal Server Error",
            };
            self.runs.lock().unwrap()[index].done = Some(self.record.now());
            let leaving = match self.leaving.load(Ordering::SeqCst) {
                true => "Server-Leaving: 1\r\n",
                false => "",
            };
            let body = format!("answer to {id} by {}\n", self.instance);
            write!(
                out,
                "HTTP/1.1 {status}\r\n{leaving}X-Attempt-Id: {id}\r\nX-Response-Signature: 3e1b.07.{}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len(),
                body.len()
            )?;
            self.record.line(format!(
                "server {} has answered {id} with {status}",
                self.instance
            ));
        }
    }

    /// Makes the call that a request needs. Returns whether it was answered with success.
    fn make_call(&self, path: &str, id: &str) -> bool {
        let mut nested = self.nested.lock().unwrap();
        let Some(n) = nested.as_mut().filter(|n| path.starts_with(n.of)) else {
            return true;
        };
        n.made += 1;
        let call_id = format!("call-{id}");
        let answer = self.send_call(n, &call_id);
        let status = answer.as_ref().map_or(0, Message::status);
        self.record
            .line(format!("server {} made {call_id}: {status}", self.instance));
        n.served += usize::from(status == 200);
        status == 200
    }

    fn send_call(&self, n: &mut Nested, id: &str) -> io::Result<Message> {
        let body = match n.chunked {
            true => ("Transfer-Encoding: chunked\r\n", "6\r\nlookup\r\n0\r\n\r\n"),
            false => ("Content-Length: 6\r\n", "lookup"),
        };
        let text = request("POST", n.path, id, n.deadline_ms, body.0) + body.1;
        if n.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.machine.outbound(), ms(1000))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(ms(2 * n.deadline_ms)))?;
            n.connection = Some(BufReader::new(stream));
        }
        let r = n.connection.as_mut().unwrap();
        let sent = r.get_mut().write_all(text.as_bytes());
        let answer = sent.and_then(|()| read_message(r));
        let closes = |m: &Message| {
            m.header("connection")
                .is_some_and(|c| c.eq_ignore_ascii_case("close"))
        };
        if answer.as_ref().is_ok_and(closes) || answer.is_err() {
            n.connection = None;
        }
        answer
    }

    /// Works for some time. Returns whether the connection has closed meanwhile.
    fn work(&self, stream: &TcpStream, time: Duration) -> bool {
        let end = Instant::now() + time;
        let mut byte = [0; 1];
        let _ = stream.set_nonblocking(true);
        let closed = loop {
            if matches!(stream.peek(&mut byte), Ok(0)) {
                break true;
            }
            let now = Instant::now();
            if now >= end {
                break false;
            }
            thread::sleep((end - now).min(ms(5)));
        };
        let _ = stream.set_nonblocking(false);
        closed
    }

    pub fn has_run(&self, id: &str) -> usize {
        self.runs
            .lock()
            .unwrap()
            .iter()
            .filter(|r| r.id == id)
            .count()
    }
}

/// A small mesh that serves: a store with a configuration, and a node and a back end a machine.
pub struct Mesh {
    pub store: Arc<Store>,
    pub store_addr: SocketAddr,
    pub nodes: Vec<Node>,
    pub backends: Vec<Arc<Backend>>,
}

impl Mesh {
    /// Starts the mesh, and waits until a request for each service has been answered through each node.
    pub fn start(machines: &[Machine], routes: &[Route], record: &Arc<Record>) -> Option<Mesh> {
        let store_ip = Machine::new("store", "-");
        let store_addr = store_ip.app();
        let store = Store::start(store_addr);
        let mut services: Vec<&str> = machines.iter().map(|m| m.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        store.put("op/config", &config(7, routes, &services));
        let nodes: Vec<Node> = machines
            .iter()
            .map(|m| Node::start(m, store_addr, record))
            .collect();
        let start = |(n, m): (usize, &Machine)| Backend::start(m, &format!("i-7f3a91c{n}"), record);
        let backends = machines.iter().enumerate().map(start).collect();
        let mesh = Mesh {
            store,
            store_addr,
            nodes,
            backends,
        };
        for node in &mesh.nodes {
            if !node.wait_ready() || !routes.iter().all(|r| mesh.serves(&node.machine, r, record)) {
                return None;
            }
        }
        Some(mesh)
    }

    fn serves(&self, machine: &Machine, route: &Route, record: &Arc<Record>) -> bool {
        let end = Instant::now() + ms(15_000);
        let mut n = 0;
        while Instant::now() < end {
            n += 1;
            let id = format!(
                "warm-{}-{}-{n}",
                machine.name,
                route.prefix.trim_matches('/')
            );
            let text = request("GET", &format!("{}0/w", route.prefix), &id, 1000, "");
            if call(machine.outbound(), &text, ms(1500)).is_ok_and(|m| m.status() == 200) {
                record.line(format!("{} serves {}", machine.name, route.prefix));
                return true;
            }
            thread::sleep(ms(100));
        }
        false
    }
}

/// Ends the script: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Arc<Record>, broken: bool, text: &str) -> i32 {
    let word = if broken { "BROKEN" } else { "held" };
    record.line(format!("{word}: {text}"));
    println!("{word}: {text}");
    i32::from(broken)
}

//! Stand-in of an application server beside a node: reports, runs requests and answers them.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::{Machine, Record, ms};
use crate::http::{Connection, Message, exchange};

/// Interval of the reports.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(870);

/// What a server does with a request that it runs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Works this long and answers.
    Answer(Duration),
    /// Works this long; the answer is lost with its connection.
    LoseAnswer(Duration),
}

/// A request that a server has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Value of `X-Attempt-Id`.
    pub id: String,
    pub server: String,
    pub begun: Instant,
    /// Whether the server could work until the end of the request.
    pub whole: Option<bool>,
}

/// The runs of all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Shared {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    reporting: AtomicBool,
    gone: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    record: Record,
    runs: Runs,
}

/// A server.
#[derive(Clone)]
pub struct Server(Arc<Shared>);

impl Server {
    /// Starts a server beside a node. `plan` decides what it does with its n-th request.
    pub fn start(
        machine: &Machine,
        id: &str,
        record: &Record,
        runs: &Runs,
        plan: impl Fn(u64, &Message) -> Plan + Send + Sync + 'static,
    ) -> Server {
        let address = machine.app();
        let listener = TcpListener::bind(address).expect("the server's port is in use");
        listener
            .set_nonblocking(true)
            .expect("a listener can be non-blocking");
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let server = Server(Arc::new(Shared {
            id: id.to_string(),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            address,
            control: machine.control(),
            born: now.as_millis() as u64,
            sequence: AtomicU64::new(0),
            reporting: AtomicBool::new(true),
            gone: AtomicBool::new(false),
            connections: Mutex::new(Vec::new()),
            record: record.clone(),
            runs: runs.clone(),
        }));
        record.line(&format!("server {id} of {}: starts", machine.service));
        let (acceptor, reporter) = (server.clone(), server.clone());
        thread::spawn(move || acceptor.accept(&listener, Arc::new(plan)));
        thread::spawn(move || reporter.report_loop());
        server
    }

    fn accept(
        &self,
        listener: &TcpListener,
        plan: Arc<impl Fn(u64, &Message) -> Plan + Send + Sync + 'static>,
    ) {
        let count = Arc::new(AtomicU64::new(0));
        while !self.0.gone.load(Ordering::Acquire) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ms(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            self.0
                .connections
                .lock()
                .unwrap()
                .extend(stream.try_clone());
            let (server, plan, count) = (self.clone(), plan.clone(), count.clone());
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    if server
                        .handle(&request, &mut connection, &*plan, &count)
                        .is_err()
                    {
                        break;
                    }
                }
                let _ = connection.stream.shutdown(Shutdown::Both);
            });
        }
    }

    fn handle(
        &self,
        request: &Message,
        connection: &mut Connection,
        plan: &(impl Fn(u64, &Message) -> Plan + ?Sized),
        count: &AtomicU64,
    ) -> io::Result<()> {
        let Shared {
            id: own,
            record,
            runs,
            ..
        } = &*self.0;
        let Some(id) = request.header("x-attempt-id") else {
            return connection.answer(400, &[("x-not-executed", "1")], b"");
        };
        if request
            .header("x-expect-instance")
            .is_some_and(|i| i != own)
        {
            let headers = [("x-attempt-id", id), ("x-not-executed", "1")];
            return connection.answer(421, &headers, b"");
        }
        let plan = plan(count.fetch_add(1, Ordering::AcqRel), request);
        record.line(&format!(
            "server {own}: runs {id} {} {} caller-service={} deadline-ms={}",
            request.method(),
            request.target(),
            request.header("x-caller-service").unwrap_or("(none)"),
            request.header("x-deadline-ms").unwrap_or("(none)"),
        ));
        let (server, begun) = (own.clone(), Instant::now());
        let run = Run {
            id: id.to_string(),
            server,
            begun,
            whole: None,
        };
        let index = {
            let mut runs = runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        let (Plan::Answer(work) | Plan::LoseAnswer(work)) = plan;
        let whole = self.work(begun, work, connection);
        runs.lock().unwrap()[index].whole = Some(whole);
        if !whole {
            record.line(&format!(
                "server {own}: {id} is cut, its connection has closed"
            ));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if plan == Plan::LoseAnswer(work) {
            record.line(&format!(
                "server {own}: has run {id}, and its answer is lost"
            ));
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        record.line(&format!("server {own}: has run {id}, and answers 200"));
        let body = format!("done {id} by {own}\n");
        let signature = format!("{own}.{id}.{}", body.len());
        let headers = [
            ("x-attempt-id", id),
            ("x-response-signature", signature.as_str()),
        ];
        connection.answer(200, &headers, body.as_bytes())
    }

    /// Works on a request until it is done. Returns false if its connection closed before.
    fn work(&self, begun: Instant, work: Duration, connection: &mut Connection) -> bool {
        while begun.elapsed() < work {
            thread::sleep(ms(5).min(work.saturating_sub(begun.elapsed())));
            if self.0.gone.load(Ordering::Acquire) || connection.is_closed() {
                return false;
            }
        }
        true
    }

    fn report_loop(&self) {
        while !self.0.gone.load(Ordering::Acquire) {
            if self.0.reporting.load(Ordering::Acquire) {
                let report = self.next_report();
                self.send_report(&report);
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    /// Writes the next report that the server is ready, without sending it.
    pub fn next_report(&self) -> String {
        let Shared {
            service,
            address,
            zone,
            born,
            ..
        } = &*self.0;
        let sequence = self.0.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":14,"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#
        )
    }

    /// Sends a report. Returns whether it was acknowledged.
    pub fn send_report(&self, report: &str) -> bool {
        self.post(&format!("/Instances.Heartbeat/{}", self.0.id), report)
    }

    /// Stops the reports, and says that the server is leaving. Returns whether it was acknowledged.
    pub fn deregister(&self) -> bool {
        self.0.reporting.store(false, Ordering::Release);
        let body = format!(r#"{{"born":{}}}"#, self.0.born);
        self.post(&format!("/Instances.Deregister/{}", self.0.id), &body)
    }

    fn post(&self, target: &str, body: &str) -> bool {
        let headers = [
            ("host", "node"),
            ("content-type", "application/json"),
            ("connection", "close"),
        ];
        let answer = exchange(
            self.0.control,
            "POST",
            target,
            &headers,
            body.as_bytes(),
            ms(1_000),
        );
        answer.is_ok_and(|a| a.is_some_and(|a| (200..300).contains(&a.status())))
    }

    /// Ends the server, with the connections that it has.
    pub fn exit(&self) {
        self.0.gone.store(true, Ordering::Release);
        self.0.record.line(&format!("server {}: exits", self.0.id));
        thread::sleep(ms(20));
        for stream in self.0.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

//! A stand-in of an application server. It runs as a process of its own, which prints a line for each
//! request that it begins to work on, and sends liveness reports to the node beside it.
//!
//! The query of a request tells how it is answered: after `work_ms`; in chunks over `stream_ms`, the
//! first of them at once; with `length` bytes.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, exchange, read_message};

/// Interval of the liveness reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(870);
/// Time between two chunks of an answer.
const CHUNK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between the start of an answer and its break, or the crash of the server.
const FAULT_DELAY: Duration = Duration::from_millis(200);
/// Of the answers of a faulty server, one in this many is broken off.
const BROKEN_ONE_IN: usize = 50;
/// Slots that the server reports.
const SLOTS: u32 = 14;

/// Line by which a case tells a server that it leaves.
pub const LEAVE: &str = "leave";

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Requests whose path contains `deadly` crash it, before or while it answers.
    Fragile,
    /// Some of its answers in chunks are broken off.
    Truncates,
}

/// How a server process is started.
pub struct ServerOptions {
    pub service: String,
    pub listen: SocketAddr,
    /// Address for liveness reports.
    pub control: SocketAddr,
    pub fault: Fault,
    /// Id and start time, if the case itself sends the reports.
    pub identity: Option<(String, u64)>,
}

impl ServerOptions {
    /// Reads the arguments that [`ServerOptions::to_args`] writes.
    pub fn from_args(args: &[&str]) -> Option<ServerOptions> {
        let [service, listen, control, fault, id, born] = args else {
            return None;
        };
        let fault = [Fault::None, Fault::Fragile, Fault::Truncates]
            .into_iter()
            .find(|f| format!("{f:?}") == *fault)?;
        let born: u64 = born.parse().ok()?;
        Some(ServerOptions {
            service: service.to_string(),
            listen: listen.parse().ok()?,
            control: control.parse().ok()?,
            fault,
            identity: (born > 0).then(|| (id.to_string(), born)),
        })
    }

    pub fn to_args(&self) -> [String; 6] {
        let none = ("-".to_string(), 0);
        let (id, born) = self.identity.as_ref().unwrap_or(&none);
        [
            self.service.clone(),
            self.listen.to_string(),
            self.control.to_string(),
            format!("{:?}", self.fault),
            id.clone(),
            born.to_string(),
        ]
    }
}

struct Server {
    options: ServerOptions,
    id: String,
    born: u64,
    /// Number of answers in chunks so far.
    answers: AtomicUsize,
    /// Whether the server leaves, which all its answers tell from then on.
    leaving: AtomicBool,
}

/// Serves until the process is killed.
///
/// # Errors
/// If the address is taken.
pub fn run_server(options: ServerOptions) -> io::Result<()> {
    let now = unix_millis();
    let port = options.listen.port();
    let own_identity = || (format!("i-{port:04x}{:08x}", now as u32), now);
    let (id, born) = options.identity.clone().unwrap_or_else(own_identity);
    let server = Arc::new(Server {
        id,
        born,
        options,
        answers: AtomicUsize::new(0),
        leaving: AtomicBool::new(false),
    });
    let told = server.clone();
    std::thread::spawn(move || told.read_orders());
    let listener = TcpListener::bind(server.options.listen)?;
    if server.options.identity.is_none() {
        let reporting = server.clone();
        std::thread::spawn(move || reporting.report());
    }
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        std::thread::spawn(move || server.serve(stream));
    }
    Ok(())
}

impl Server {
    /// Waits on the standard input for the line that says that the server leaves.
    fn read_orders(&self) {
        for line in io::stdin().lines().map_while(Result::ok) {
            if line == LEAVE {
                self.leaving.store(true, Ordering::Release);
            }
        }
    }

    fn report(&self) {
        let options = &self.options;
        for sequence in 1u64.. {
            let report = report(&options.service, &self.id, self.born, "ready", sequence);
            let acked = exchange(options.control, &report, Duration::from_secs(1));
            if !acked.is_ok_and(|a| a.status() == 200) {
                println!("report {} not acknowledged", self.id);
            }
            std::thread::sleep(REPORT_INTERVAL);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(request) = read_message(&mut reader) {
            if self.answer(&mut stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let attempt = request.header("x-attempt-id");
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let text = format!(
                "HTTP/1.1 421 X\r\nx-attempt-id: {attempt}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes());
        }
        println!("run {attempt} {} at {}", request.target(), self.id);
        let leaving = match self.leaving.load(Ordering::Acquire) {
            true => "server-leaving: 1\r\n",
            false => "",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n{leaving}"
        );
        let number = |name: &str| query_number(request.target(), name);
        let stream_time = number("stream_ms").map(Duration::from_millis);
        std::thread::sleep(Duration::from_millis(number("work_ms").unwrap_or(5)));
        let is_deadly = self.options.fault == Fault::Fragile && request.target().contains("deadly");
        if is_deadly && stream_time.is_none() {
            self.crash(attempt);
        }
        match stream_time {
            Some(time) => self.answer_in_chunks(stream, &head, request, time),
            None => {
                let body = "x".repeat(number("length").unwrap_or(400) as usize);
                let text = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
                stream.write_all(text.as_bytes())
            }
        }
    }

    fn answer_in_chunks(
        &self,
        stream: &mut TcpStream,
        head: &str,
        request: &Message,
        time: Duration,
    ) -> io::Result<()> {
        let started = Instant::now();
        let chunk = format!("40\r\n{}\r\n", "x".repeat(0x40));
        let attempt = request.header("x-attempt-id");
        let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let is_broken =
            self.options.fault == Fault::Truncates && number.is_multiple_of(BROKEN_ONE_IN);
        stream.write_all(format!("{head}transfer-encoding: chunked\r\n\r\n").as_bytes())?;
        while started.elapsed() < time {
            stream.write_all(chunk.as_bytes())?;
            std::thread::sleep(CHUNK_INTERVAL);
            if started.elapsed() < FAULT_DELAY {
                continue;
            }
            if self.options.fault == Fault::Fragile && request.target().contains("deadly") {
                self.crash(attempt);
            }
            if is_broken {
                println!("break {attempt} at {}", self.id);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

impl Server {
    fn crash(&self, attempt: &str) -> ! {
        println!("crash {attempt} at {}", self.id);
        let _ = io::stdout().flush();
        std::process::exit(1);
    }
}

/// A liveness report.
pub fn report(service: &str, id: &str, born: u64, state: &str, sequence: u64) -> String {
    let body = format!(
        "{{\"service\":\"{service}\",\"address\":\"127.0.0.1:1\",\"zone\":\"matamata\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
    );
    post(&format!("/Instances.Heartbeat/{id}"), &body)
}

/// A call by which a server says that it is leaving.
pub fn deregistration(id: &str, born: u64) -> String {
    let body = format!("{{\"born\":{born}}}");
    post(&format!("/Instances.Deregister/{id}"), &body)
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: control\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn query_number(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    let (_, value) = pairs.find(|(n, _)| *n == name)?;
    value.parse().ok()
}

/// The time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

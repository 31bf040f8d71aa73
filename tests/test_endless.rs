//! Targets that send bytes without end: in the head of an answer, in its body, or after it. A node
//! must close the connection, answer the caller in time, and keep its memory bounded.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::{NodeProcess, SETTINGS, Workdir, wait_until};

/// Deadline that the caller sends.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Time after the deadline, or after a whole answer, in which the node must have closed the
/// connection to the target, and the caller must have its answer.
const CLOSE_GRACE: Duration = Duration::from_millis(1000);
/// Bytes of one head that a node may read, with those that lie in the buffers of the sockets.
const HEAD_BYTES_MAX: usize = 8 << 20;
/// Peak memory of a node, in kilobytes.
const MEMORY_KB_MAX: u64 = 100_000;
/// Size of the blocks that a target writes.
const BLOCK_BYTES: usize = 64 << 10;

/// What a target sends: `first` once, and then `repeated` until its connection is closed.
#[derive(Clone, Copy)]
struct Flood {
    name: &'static str,
    first: &'static str,
    repeated: &'static str,
}

/// Floods in the head of an answer.
const HEAD_FLOODS: [Flood; 5] = [
    Flood {
        name: "a status line without end",
        first: "HTTP/1.1 200 O",
        repeated: "K",
    },
    Flood {
        name: "headers without end",
        first: "HTTP/1.1 200 OK\r\n",
        repeated: "x-filler: 0123456789\r\n",
    },
    Flood {
        name: "one header without end",
        first: "HTTP/1.1 200 OK\r\nx-filler: ",
        repeated: "0123456789",
    },
    Flood {
        name: "interim answers without end",
        first: "",
        repeated: "HTTP/1.1 100 Continue\r\n\r\n",
    },
    Flood {
        name: "bytes that are no answer",
        first: "",
        repeated: "\0\u{1}\r\n\r\n",
    },
];

/// Floods in the body of an answer.
const BODY_FLOODS: [Flood; 4] = [
    Flood {
        name: "a body without a length",
        first: "HTTP/1.1 200 OK\r\n\r\n",
        repeated: "0123456789",
    },
    Flood {
        name: "chunks without end",
        first: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: "a\r\n0123456789\r\n",
    },
    Flood {
        name: "the extension of a chunk without end",
        first: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;",
        repeated: "x",
    },
    Flood {
        name: "trailers without end",
        first: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
        repeated: "x-filler: 0123456789\r\n",
    },
];

/// Bytes after a complete answer.
const TAIL_FLOOD: Flood = Flood {
    name: "bytes after an answer",
    first: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    repeated: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
};

/// Target that sends a flood on each connection that carries a request.
struct FloodTarget {
    address: SocketAddr,
    flood: Arc<Mutex<Flood>>,
    /// For each ended flood: when its connection was closed, and the bytes sent.
    ended: Arc<Mutex<Vec<(Instant, usize)>>>,
}

impl FloodTarget {
    fn start() -> FloodTarget {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let target = FloodTarget {
            address: listener.local_addr().unwrap(),
            flood: Arc::new(Mutex::new(TAIL_FLOOD)),
            ended: Arc::default(),
        };
        let (flood, ended) = (target.flood.clone(), target.ended.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (flood, ended) = (flood.clone(), ended.clone());
                std::thread::spawn(move || {
                    if let Some(bytes) = send_flood(stream, &flood) {
                        ended.lock().unwrap().push((Instant::now(), bytes));
                    }
                });
            }
        });
        target
    }
}

/// Reads a request and sends the flood until the connection is closed. Returns the number of bytes
/// sent; `None` if no request arrived.
fn send_flood(mut stream: TcpStream, flood: &Mutex<Flood>) -> Option<usize> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        request.push(byte[0]);
    }
    let flood = *flood.lock().unwrap();
    let block = flood
        .repeated
        .repeat(BLOCK_BYTES / flood.repeated.len() + 1);
    let mut sent = flood.first.len();
    if stream.write_all(flood.first.as_bytes()).is_err() {
        return Some(sent);
    }
    while stream.write_all(block.as_bytes()).is_ok() {
        sent += block.len();
    }
    Some(sent)
}

/// Sends a request and returns everything that the caller reads until the connection ends.
fn request(node: &NodeProcess) -> Vec<u8> {
    let mut stream = TcpStream::connect(node.callers).unwrap();
    let head = format!(
        "POST /cutting/1 HTTP/1.1\r\nhost: guild.example\r\nconnection: close\r\ntarragon-deadline-ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut received = Vec::new();
    let mut buffer = [0; BLOCK_BYTES];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        // Only the start and the end are looked at.
        if received.len() > 4 * BLOCK_BYTES {
            received.drain(BLOCK_BYTES..2 * BLOCK_BYTES);
        }
        received.extend_from_slice(&buffer[..read]);
    }
    received
}

/// Peak memory of a process, in kilobytes.
fn peak_memory_kb(node: &NodeProcess) -> u64 {
    let status = format!("/proc/{}/status", node.process.child.id());
    let status = std::fs::read_to_string(status).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Result of one flood.
struct Outcome {
    /// Status of the answer that the caller got.
    status: u16,
    /// Whether the caller could take the answer for a whole one.
    whole: bool,
    /// Time from the request to the end of the answer, and to the end of the flood.
    answered_after: Duration,
    closed_after: Duration,
    bytes: usize,
}

struct Env {
    node: NodeProcess,
    target: FloodTarget,
    _platform: support::Process,
    _workdir: Workdir,
}

impl Env {
    fn start(name: &str) -> Env {
        let mut workdir = Workdir::new(name);
        let platform = workdir.start_platform();
        let target = FloodTarget::start();
        let service = Some(("guild/services/cutbook", target.address));
        let node = workdir.start_node("cutbook-1", "hamilton", service);
        workdir.wait_until_joined(&[&node]);
        workdir.write("settings.yaml", SETTINGS);
        workdir.run_cli_ok(Some(&node), &["apply", "--wait", "-f", "settings.yaml"]);
        Env {
            node,
            target,
            _platform: platform,
            _workdir: workdir,
        }
    }

    fn play(&self, flood: Flood) -> Outcome {
        *self.target.flood.lock().unwrap() = flood;
        self.target.ended.lock().unwrap().clear();
        let started = Instant::now();
        let received = request(&self.node);
        let answered_after = started.elapsed();
        wait_until("the node closes the connection to the target", || {
            !self.target.ended.lock().unwrap().is_empty()
        });
        let (closed_at, bytes) = self.target.ended.lock().unwrap()[0];
        let text = String::from_utf8_lossy(&received);
        let outcome = Outcome {
            status: text
                .split(' ')
                .nth(1)
                .and_then(|s| s.parse().ok())
                .unwrap_or(0),
            whole: text.contains("content-length: 5\r\n") || text.ends_with("0\r\n\r\n"),
            answered_after,
            closed_after: closed_at - started,
            bytes,
        };
        println!(
            "{}: status {} whole {} after {:?}, closed after {:?}, {} bytes, {} kB",
            flood.name,
            outcome.status,
            outcome.whole,
            outcome.answered_after,
            outcome.closed_after,
            outcome.bytes,
            peak_memory_kb(&self.node),
        );
        assert!(
            outcome.answered_after < DEADLINE + CLOSE_GRACE,
            "{}: the caller waited {:?}",
            flood.name,
            outcome.answered_after
        );
        assert!(
            outcome.closed_after < DEADLINE + CLOSE_GRACE,
            "{}: closed after {:?}",
            flood.name,
            outcome.closed_after
        );
        outcome
    }

    fn assert_memory_bounded(&self) {
        let peak = peak_memory_kb(&self.node);
        assert!(peak < MEMORY_KB_MAX, "{peak} kB");
    }
}

#[test]
fn a_head_without_end_is_cut_off_and_answered_as_unknown() {
    let env = Env::start("endless-heads");
    for flood in HEAD_FLOODS {
        let outcome = env.play(flood);
        assert!(
            matches!(outcome.status, 502 | 504),
            "{}: {}",
            flood.name,
            outcome.status
        );
        assert!(
            outcome.bytes < HEAD_BYTES_MAX,
            "{}: {}",
            flood.name,
            outcome.bytes
        );
    }
    env.assert_memory_bounded();
}

#[test]
fn a_body_without_end_ends_at_the_deadline_and_never_looks_whole() {
    let env = Env::start("endless-bodies");
    for flood in BODY_FLOODS {
        let outcome = env.play(flood);
        assert!(!outcome.whole, "{}: the answer looks whole", flood.name);
    }
    env.assert_memory_bounded();
}

#[test]
fn bytes_after_an_answer_reach_no_caller_and_end_the_connection() {
    let env = Env::start("endless-tails");
    for _ in 0..5 {
        let outcome = env.play(TAIL_FLOOD);
        assert_eq!(outcome.status, 200);
        assert!(outcome.whole);
        assert!(outcome.closed_after < outcome.answered_after + CLOSE_GRACE);
        assert!(outcome.bytes < HEAD_BYTES_MAX, "{}", outcome.bytes);
    }
    env.assert_memory_bounded();
}

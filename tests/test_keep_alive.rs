//! Connections to targets that are open, but on which the next request would be lost or late: the
//! target has given them up, or has not read the body of the request before.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use support::{NodeProcess, Process, SETTINGS, Workdir, http_request};

/// Idle time that the target names.
const IDLE: Duration = Duration::from_secs(1);

/// Answers requests; drops one that arrives on a connection that was idle for longer than [`IDLE`],
/// without an answer, like a target that forgets idle connections.
fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

fn serve(mut stream: TcpStream) {
    let mut idle_since = Instant::now();
    let mut request = Vec::new();
    let mut byte = [0];
    while stream.read(&mut byte).is_ok_and(|n| n > 0) {
        if request.is_empty() && idle_since.elapsed() > IDLE {
            return;
        }
        request.push(byte[0]);
        if !request.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8_lossy(&request).into_owned();
        let attempt = text
            .lines()
            .find_map(|l| l.strip_prefix("tarragon-attempt: "))
            .unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\ntarragon-attempt: {attempt}\r\nkeep-alive: timeout={}\r\ncontent-length: 2\r\n\r\nok",
            IDLE.as_secs()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        request.clear();
        idle_since = Instant::now();
    }
}

/// Starts a platform and a node beside a target.
fn start_node(name: &str, target: SocketAddr) -> (NodeProcess, Process, Workdir) {
    let mut workdir = Workdir::new(name);
    let platform = workdir.start_platform();
    let service = Some(("guild/services/cutbook", target));
    let node = workdir.start_node("cutbook-1", "hamilton", service);
    workdir.wait_until_joined(&[&node]);
    workdir.write("settings.yaml", SETTINGS);
    workdir.run_cli_ok(Some(&node), &["apply", "--wait", "-f", "settings.yaml"]);
    (node, platform, workdir)
}

/// Guards against an order that is lost on a connection that its target has given up, although the
/// target had said when it would.
#[test]
fn a_connection_is_not_used_after_the_idle_time_that_its_target_named() {
    let (node, _platform, _workdir) = start_node("keep-alive", start_target());
    for n in 0..4 {
        let response = http_request(node.callers, "POST", "guild.example", "/cutting/1", &[], "");
        assert_eq!(response.map(|r| r.status), Some(200), "request {n}");
        std::thread::sleep(IDLE + Duration::from_millis(300));
    }
}

/// Time after which the target of [`start_early_target`] reads the body of a rejected request.
const LATE_READ: Duration = Duration::from_millis(1500);
/// Length of the body, in bytes.
const UPLOAD_BYTES: usize = 200_000;

/// Rejects requests with a body before it has read the body, and reads on later. Answers others.
fn start_early_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve_early(stream));
        }
    });
    address
}

fn serve_early(mut stream: TcpStream) {
    let mut request = Vec::new();
    let mut byte = [0];
    while stream.read(&mut byte).is_ok_and(|n| n > 0) {
        request.push(byte[0]);
        if !request.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8_lossy(&request).into_owned();
        request.clear();
        let has_body = text.contains("content-length: ");
        let attempt = text
            .lines()
            .find_map(|l| l.strip_prefix("tarragon-attempt: "))
            .unwrap_or_default();
        let status = if has_body { 503 } else { 200 };
        let answer = format!(
            "HTTP/1.1 {status} X\r\ntarragon-attempt: {attempt}\r\ncontent-length: 0\r\n\r\n"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        if has_body {
            std::thread::sleep(LATE_READ);
            if stream.read_exact(&mut vec![0; UPLOAD_BYTES]).is_err() {
                return;
            }
        }
    }
}

/// Guards against a request that waits behind the body of a rejected one, on the same connection,
/// until its caller has left.
#[test]
fn a_request_does_not_wait_behind_the_unread_body_of_a_rejected_one() {
    let (node, _platform, _workdir) = start_node("early-answer", start_early_target());
    let body = "x".repeat(UPLOAD_BYTES);
    for _ in 0..3 {
        let rejected = http_request(
            node.callers,
            "POST",
            "guild.example",
            "/cutting/1",
            &[],
            &body,
        );
        assert_eq!(rejected.map(|r| r.status), Some(503));
        let started = Instant::now();
        let response = http_request(node.callers, "POST", "guild.example", "/cutting/1", &[], "");
        assert_eq!(response.map(|r| r.status), Some(200));
        let elapsed = started.elapsed();
        assert!(elapsed < LATE_READ / 2, "answered after {elapsed:?}");
    }
}

//! Targets that name in their answers how long they keep an idle connection.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use support::{SETTINGS, Workdir, http_request};

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

/// Guards against an order that is lost on a connection that its target has given up, although the
/// target had said when it would.
#[test]
fn a_connection_is_not_used_after_the_idle_time_that_its_target_named() {
    let mut workdir = Workdir::new("keep-alive");
    let _platform = workdir.start_platform();
    let service = Some(("guild/services/cutbook", start_target()));
    let node = workdir.start_node("cutbook-1", "hamilton", service);
    workdir.wait_until_joined(&[&node]);
    workdir.write("settings.yaml", SETTINGS);
    workdir.run_cli_ok(Some(&node), &["apply", "--wait", "-f", "settings.yaml"]);
    for n in 0..4 {
        let response = http_request(node.callers, "POST", "guild.example", "/cutting/1", &[], "");
        assert_eq!(response.map(|r| r.status), Some(200), "request {n}");
        std::thread::sleep(IDLE + Duration::from_millis(300));
    }
}

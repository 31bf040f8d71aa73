//! What callers are told when a request was attempted more than once.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use support::{FLEET_SETTINGS, Workdir, http_request};

/// Reads a request without a body; `false` at the end of the connection.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        if !stream.read(&mut byte).is_ok_and(|n| n > 0) {
            return false;
        }
        request.push(byte[0]);
    }
    true
}

/// Takes the first request and closes the connection without an answer, like a target that fails
/// while it runs the request. Sheds all others.
fn start_target(requests: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            if !read_request(&mut stream) {
                continue;
            }
            if requests.fetch_add(1, Ordering::SeqCst) > 0 {
                let _ = stream.write_all(
                    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
                );
            }
        }
    });
    address
}

/// Guards against a caller that is told that its request did not run, because the last of several
/// attempts did not, although an earlier one may have run.
#[test]
fn a_request_whose_first_attempt_may_have_run_is_not_reported_as_not_run() {
    let mut workdir = Workdir::new("outcome");
    let _platform = workdir.start_platform();
    let requests = Arc::new(AtomicUsize::new(0));
    let service = Some(("guild/services/cutbook", start_target(requests.clone())));
    let node = workdir.start_node("cutbook-1", "hamilton", service);
    workdir.wait_until_joined(&[&node]);
    workdir.write("settings.yaml", FLEET_SETTINGS);
    workdir.run_cli_ok(Some(&node), &["apply", "--wait", "-f", "settings.yaml"]);
    let response = http_request(node.callers, "GET", "guild.example", "/stock", &[], "")
        .expect("the node answers");
    assert!(
        requests.load(Ordering::SeqCst) > 1,
        "there was no second attempt"
    );
    assert_eq!(response.status, 502);
    let outcome = response.header("tarragon-outcome").expect("an outcome");
    assert_eq!(outcome, "unknown; target-broken");
}

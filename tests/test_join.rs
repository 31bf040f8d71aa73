//! Nodes that join a fleet in which some of the known peers are silent, as after a loss of power.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use support::{NodeProcess, Workdir, http_request, wait_until};

/// Time within which a node must be ready although some peers are silent.
const READY_TIME_MAX: Duration = Duration::from_secs(3);
const SILENT_PEERS: usize = 6;

/// Starts listeners that accept connections in their backlog and never read.
fn start_silent_peers() -> Vec<TcpListener> {
    let start = |_| TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    (0..SILENT_PEERS).map(start).collect()
}

fn peers_setting(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
    format!("peers: [{}]\n", quoted.join(", "))
}

fn is_ready(node: &NodeProcess) -> bool {
    let response = http_request(node.admin, "GET", "x", "/ready", &[], "");
    response.is_some_and(|r| r.status == 200)
}

#[test]
fn a_joining_node_does_not_wait_for_silent_peers() {
    let mut workdir = Workdir::new("silent-peers");
    let _platform = workdir.start_platform();
    let first = workdir.start_node("first", "hamilton", None);
    workdir.wait_until_joined(&[&first]);
    let silent = start_silent_peers();
    let mut addresses: Vec<SocketAddr> = silent
        .iter()
        .map(|l| l.local_addr().expect("the listener has an address"))
        .collect();
    addresses.push(first.peers);
    let started = Instant::now();
    let late = workdir.start_node_with("late", "hamilton", None, &peers_setting(&addresses));
    wait_until("the node is ready", || is_ready(&late));
    let elapsed = started.elapsed();
    assert!(elapsed < READY_TIME_MAX, "ready after {elapsed:?}");
    workdir.wait_until_joined(&[&first, &late]);
}

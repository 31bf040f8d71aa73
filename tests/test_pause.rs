//! Processes that were paused for some seconds: what they received before or during the pause must
//! not run once its deadline has passed, although their own timers did not run meanwhile.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

use support::{Fleet, http_request, wait_until};
use tarragoncourse::coordination::pause::{ClockReading, PAUSE_MIN, PauseDetector};

/// Deadline of the requests, shorter than the pause.
const DEADLINE_MS: u64 = 500;
const PAUSE: Duration = Duration::from_millis(1800);

/// Sends an order on a new connection and returns the connection, which stays open.
fn send_order(to: SocketAddr, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("connect to the node");
    let head = format!(
        "POST /orders HTTP/1.1\r\nhost: guild.example\r\nx-request-id: {id}\r\ntarragon-deadline-ms: {DEADLINE_MS}\r\ncontent-length: 1\r\n\r\nx"
    );
    stream.write_all(head.as_bytes()).expect("send the order");
    stream
}

/// Reads the start of the answer.
fn read_status(stream: &mut TcpStream) -> String {
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("set the timeout");
    let mut buffer = [0; 512];
    let read = stream.read(&mut buffer).unwrap_or(0);
    let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
    text.split(' ').nth(1).unwrap_or("closed").to_string()
}

fn answers(fleet: &Fleet) -> bool {
    let to = fleet.entry_nodes[0].callers;
    http_request(to, "GET", "guild.example", "/stock", &[], "").is_some_and(|r| r.status == 200)
}

/// Guards against an ingress that reads a request after a pause and gives it its whole time anew.
#[test]
fn an_order_that_waited_through_a_pause_of_its_ingress_does_not_run() {
    let fleet = Fleet::start("pause-ingress", 1, 1, "{\"service_ms\": 2}");
    assert!(answers(&fleet));
    let process = &fleet.entry_nodes[0].process;
    process.signal("-STOP");
    let mut orders: Vec<TcpStream> = (0..10)
        .map(|n| send_order(fleet.entry_nodes[0].callers, &format!("paused-{n}")))
        .collect();
    sleep(PAUSE);
    process.signal("-CONT");
    for order in &mut orders {
        assert_eq!(read_status(order), "503");
    }
    let runs = fleet.run_counts();
    assert!(!runs.keys().any(|id| id.starts_with("paused")), "{runs:?}");
    // Soon after the pause, requests are served as before.
    wait_until("requests are answered", || answers(&fleet));
}

/// Guards against a gate that admits an attempt after a pause, long after its ingress gave it up.
#[test]
fn an_order_that_waited_through_a_pause_of_its_gate_does_not_run() {
    let fleet = Fleet::start("pause-gate", 1, 1, "{\"service_ms\": 2}");
    // Opens connections to the gate, which are used again.
    assert!((0..5).all(|_| answers(&fleet)));
    let process = &fleet.nodes[0].process;
    process.signal("-STOP");
    let mut orders: Vec<TcpStream> = (0..10)
        .map(|n| send_order(fleet.entry_nodes[0].callers, &format!("paused-{n}")))
        .collect();
    for order in &mut orders {
        let status = read_status(order);
        assert!(matches!(status.as_str(), "503" | "504" | "502"), "{status}");
    }
    sleep(PAUSE);
    process.signal("-CONT");
    wait_until("requests are answered", || answers(&fleet));
    let runs = fleet.run_counts();
    assert!(!runs.keys().any(|id| id.starts_with("paused")), "{runs:?}");
}

/// Reading of an instance that was suspended for `suspended` in total.
fn reading(boot: Duration, suspended: Duration) -> ClockReading {
    ClockReading {
        boot,
        running: boot - suspended,
    }
}

#[test]
fn requests_read_just_after_a_pause_may_have_waited_for_its_whole_length() {
    let ms = Duration::from_millis;
    let mut pauses = PauseDetector::default();
    // The first observation and those of a running process are no pauses.
    for at in [1000, 1050, 1100, 1399] {
        assert_eq!(pauses.observe(reading(ms(at), ms(0))), None);
        assert_eq!(pauses.unread_time(reading(ms(at), ms(0))), Duration::ZERO);
    }
    // A suspended instance, whose running clock stood still. A request may be read before the
    // observation.
    let resumed = reading(ms(4399), ms(3000));
    assert_eq!(resumed.suspended(), ms(3000));
    assert_eq!(pauses.unread_time(resumed), ms(3000));
    assert_eq!(pauses.observe(resumed), Some(ms(3000)));
    let soon = reading(resumed.boot + ms(10), ms(3000));
    assert_eq!(pauses.unread_time(soon), ms(3000));
    pauses.finish_backlog();
    assert_eq!(pauses.unread_time(soon), Duration::ZERO);
    assert!(PAUSE_MIN > ms(50), "the process is observed every 50 ms");
}

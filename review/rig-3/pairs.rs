//! Two requests that a caller sends on one connection, the second before the first is answered.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::fleet::{Fleet, Record, request};
use crate::http::read_message;

/// Sends a request for `target` and one for a stock count behind it. Returns the ids of those that got no
/// whole answer before the connection ended.
pub fn send_pair(
    to: SocketAddr,
    record: &Record,
    n: usize,
    target: &str,
    deadline_ms: u64,
) -> Vec<String> {
    let ids = [format!("long-{n}"), format!("short-{n}")];
    let batch = request("GET", target, &ids[0], deadline_ms, "")
        + &request("GET", "/look/stock", &ids[1], deadline_ms, "");
    let Ok(mut stream) = TcpStream::connect(to) else {
        return Vec::new();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 2000)));
    if stream.write_all(batch.as_bytes()).is_err() {
        return Vec::new();
    }
    record.add(&format!("sent {} and {} on one connection", ids[0], ids[1]));
    let mut reader = BufReader::new(stream);
    let mut unanswered = Vec::new();
    for id in ids {
        match read_message(&mut reader) {
            Ok(answer) => {
                let (status, echo) = (answer.status(), answer.header("x-attempt-id"));
                let bytes = answer.body.len();
                record.add(&format!(
                    "answer {id}: status {status} of {echo}, {bytes} bytes"
                ));
            }
            Err(e) => {
                record.add(&format!("no answer {id}: the connection ended: {e}"));
                unanswered.push(id);
            }
        }
    }
    unanswered
}

/// Number of the second requests that a server has run and whose connection ended without their answer.
pub fn count_lost(fleet: &Fleet, unanswered: &[String]) -> usize {
    let is_run = |id: &str| !fleet.record.lines(&format!("run {id} ")).is_empty();
    let short = unanswered.iter().filter(|id| id.starts_with("short"));
    short.filter(|id| is_run(id)).count()
}

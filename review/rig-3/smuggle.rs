//! A request whose `Content-Length` is near 2^64, with bytes in its body that look like another request. Not a
//! case: requesters of the pages stay within `max_body_bytes`.

use std::io::{self, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, HOST, SERVICE, ServerPlan, document, request};

/// Time budget of the requests, and the timeout of their routes.
const DEADLINE_MS: u64 = 1000;

pub fn run(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let servers = [SERVICE, SERVICE].map(ServerPlan::sound);
    let fleet = Fleet::start(&folder.join("record.txt"), &document(DEADLINE_MS), &servers)?;
    let inner = request("GET", "/look/inner", "inner", DEADLINE_MS, "");
    let length = match trouble {
        true => u64::MAX - 3,
        false => inner.len() as u64,
    };
    let outer = format!(
        "POST /order/outer HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: outer\r\nx-deadline-ms: {DEADLINE_MS}\r\ncontent-length: {length}\r\n\r\n{inner}"
    );
    let mut stream = TcpStream::connect(fleet.nodes[0].outbound)?;
    stream.write_all(outer.as_bytes())?;
    std::thread::sleep(Duration::from_millis(2 * DEADLINE_MS));
    Ok(match fleet.record.lines("run inner").is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken("a server ran a request from the body of another".to_string()),
    })
}

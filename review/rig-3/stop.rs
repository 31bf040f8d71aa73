//! A planned stop of a node while callers read long answers. Behind each of them stands a request that a
//! server has already answered.

use std::io;
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, REPORTS, SERVICE, ServerPlan, document};
use crate::pairs::{count_lost, send_pair};

/// Connections of the callers.
const CONNECTIONS: usize = 8;
/// Time budget of the requests, and the timeout of their routes.
const DEADLINE_MS: u64 = 8000;
/// A report whose server sends it in parts over four seconds.
const LONG: &str = "/report/week?stream_ms=4000";
/// Time from the requests to the signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(500);

pub fn run(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let servers = [SERVICE, SERVICE, SERVICE, REPORTS, REPORTS].map(ServerPlan::sound);
    let fleet = Fleet::start(&folder.join("record.txt"), &document(DEADLINE_MS), &servers)?;
    let callers: Vec<_> = (0..CONNECTIONS)
        .map(|n| {
            let (to, record) = (fleet.nodes[0].outbound, fleet.record.clone());
            std::thread::spawn(move || send_pair(to, &record, n, LONG, DEADLINE_MS))
        })
        .collect();
    std::thread::sleep(SIGNAL_DELAY);
    if trouble {
        fleet.record.add("SIGTERM to node 1");
        fleet.nodes[0].signal("TERM");
    }
    let unanswered = callers.into_iter().map(|c| c.join().unwrap_or_default());
    let unanswered: Vec<String> = unanswered.flatten().collect();
    let lost = count_lost(&fleet, &unanswered);
    let text = format!(
        "run by a server, and the connection ended without the answer: {lost} of {CONNECTIONS}"
    );
    fleet.record.add(&text);
    Ok(match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken(text),
    })
}

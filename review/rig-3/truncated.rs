//! Servers of one service break off a few of their answers. Behind each answer stands a request to another
//! service, whose servers are sound.

use std::io;
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, REPORTS, SERVICE, ServerPlan, document};
use crate::pairs::{count_lost, send_pair};
use crate::server::Fault;

/// Pairs of requests, and the time between two of them: five seconds in all.
const PAIRS: usize = 620;
const INTERVAL: Duration = Duration::from_millis(8);
/// Time budget of the requests, and the timeout of their routes.
const DEADLINE_MS: u64 = 4000;
/// A report whose server sends it in parts over 0.3 seconds.
const LONG: &str = "/report/day?stream_ms=300";
/// Requests of a machine that may be lost so.
const LOST_MAX: usize = 3;

pub fn run(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let fault = match trouble {
        true => Fault::Truncates,
        false => Fault::None,
    };
    let faulty = ServerPlan {
        fault,
        ..ServerPlan::sound(REPORTS)
    };
    let mut servers = vec![ServerPlan::sound(SERVICE); 3];
    let sound = ServerPlan::sound(REPORTS);
    servers.extend([faulty.clone(), faulty, sound.clone(), sound]);
    let fleet = Fleet::start(&folder.join("record.txt"), &document(DEADLINE_MS), &servers)?;
    let mut callers = Vec::new();
    for n in 0..PAIRS {
        let (to, record) = (fleet.nodes[0].outbound, fleet.record.clone());
        callers.push(std::thread::spawn(move || {
            send_pair(to, &record, n, LONG, DEADLINE_MS)
        }));
        std::thread::sleep(INTERVAL);
    }
    let unanswered = callers.into_iter().map(|c| c.join().unwrap_or_default());
    let unanswered: Vec<String> = unanswered.flatten().collect();
    let lost = count_lost(&fleet, &unanswered);
    let text = format!(
        "run by a sound server, and the connection of node 1 ended without the answer: {lost}"
    );
    fleet.record.add(&text);
    Ok(match lost > LOST_MAX {
        true => Verdict::Broken(text),
        false => Verdict::Held,
    })
}

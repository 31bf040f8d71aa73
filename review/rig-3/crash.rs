//! Requests that crash each server that runs them, and come again.

use std::io;
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{CONTACT, Fleet, SERVICE, ServerPlan, document, request};
use crate::http::exchange;
use crate::server::Fault;

/// Interval at which the request comes again.
const INTERVAL: Duration = Duration::from_millis(700);
/// Crashes after which the request is known.
const CRASHES: usize = 3;
/// Retries that may reach servers later than [`CONTACT`] after that.
const RETRIES_MAX: usize = 3;
/// Time budget of the request, and the timeout of its route.
const DEADLINE_MS: u64 = 2000;
/// Time for which the nodes are gone.
const DOWN: Duration = Duration::from_millis(1000);

fn start(folder: &Path, trouble: bool) -> io::Result<Fleet> {
    let fault = match trouble {
        true => Fault::Fragile,
        false => Fault::None,
    };
    let server = ServerPlan {
        fault,
        ..ServerPlan::sound(SERVICE)
    };
    Fleet::start(
        &folder.join("record.txt"),
        &document(DEADLINE_MS),
        &vec![server; 5],
    )
}

/// The same order comes again and again, at one machine after the other. Its servers crash after they have
/// begun to answer it.
pub fn run_streamed(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let fleet = start(folder, trouble)?;
    for n in 0..30 {
        send(&fleet, n, n, "/order/deadly?stream_ms=400");
        std::thread::sleep(INTERVAL);
    }
    Ok(judge(&fleet))
}

/// The same order comes again and again, at two machines at a time. All nodes are killed once the order is
/// refused.
pub fn run_herd(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let mut fleet = start(folder, true)?;
    send_twice(&fleet, 0..6);
    if trouble {
        fleet.kill_all(DOWN)?;
        fleet.wait_until_ready()?;
        std::thread::sleep(CONTACT + Duration::from_millis(500));
    }
    send_twice(&fleet, 6..20);
    Ok(judge(&fleet))
}

fn send_twice(fleet: &Fleet, times: std::ops::Range<usize>) {
    for n in times {
        std::thread::scope(|scope| {
            for k in 0..2 {
                scope.spawn(move || send(fleet, 2 * n + k, 2 * n + k, "/order/deadly"));
            }
        });
        std::thread::sleep(INTERVAL);
    }
}

fn send(fleet: &Fleet, n: usize, node: usize, target: &str) {
    let node = &fleet.nodes[node % fleet.nodes.len()];
    let id = format!("deadly-{n}");
    let text = request("POST", target, &id, DEADLINE_MS, "pallet");
    let answer = exchange(node.outbound, &text, Duration::from_secs(3));
    let what = match &answer {
        Ok(answer) => format!("status {}", answer.status()),
        Err(e) => format!("broken off: {e}"),
    };
    fleet
        .record
        .add(&format!("sent {id} at {}: {what}", node.name));
}

fn judge(fleet: &Fleet) -> Verdict {
    let crashes = fleet.record.lines("crash deadly");
    let Some((third, _)) = crashes.get(CRASHES - 1) else {
        fleet.record.add("fewer than three servers crashed");
        return Verdict::Held;
    };
    let known = *third + CONTACT;
    let runs = fleet.record.lines("run deadly");
    let late = runs.iter().filter(|(at, _)| *at > known).count();
    let text = format!(
        "third crash at {:.3}; retries that reached servers later than {:.3}: {late}; crashes in all: {}",
        third.as_secs_f64(),
        known.as_secs_f64(),
        crashes.len()
    );
    fleet.record.add(&text);
    match late > RETRIES_MAX {
        true => Verdict::Broken(text),
        false => Verdict::Held,
    }
}

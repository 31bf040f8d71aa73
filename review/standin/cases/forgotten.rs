//! After all processes were killed at once, a report that was under way opens the gate of a server
//! that has said before that it leaves.

use std::thread;
use std::time::{Duration, Instant};

use super::request;
use crate::fleet::{Bounds, Fleet, Machine, Record, Route, configuration, could_not_run, ms};
use crate::server::{Plan, Runs, Server};

/// The site's `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// The site's `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let route = Route {
        name: "cutting",
        prefix: "/cutting/",
        kind: "non_idempotent",
        service: "cutbook",
        timeout_ms: 1_000,
        objective_ms: 250,
        attempts: 2,
    };
    let config = configuration(12, &["cutbook"], &[route]);
    let bounds = Bounds {
        retry_slack: 58,
        grace: ms(6_000),
    };
    let mut fleet = Fleet::start(record, &["cutbook"; 3], bounds, &config);
    let runs = Runs::default();
    let work = ms(78);
    let mut servers = Vec::new();
    for (n, machine) in fleet.machines.iter().enumerate() {
        let id = format!("i-{}", n + 1);
        servers.push(Server::start(machine, &id, record, &runs, move |_, _| {
            Plan::Answer(work)
        }));
    }
    fleet.wait_until_ready();

    // The first server leaves: it says so once, and goes on for some seconds. Its last report before
    // that is held up on the way.
    let leaving = &servers[0];
    let late_report = leaving.next_report();
    record.line("server i-1: sends a report that is held up");
    thread::sleep(ms(300));
    let acked = Instant::now();
    if !leaving.deregister() {
        could_not_run("the leaving was not acknowledged");
    }
    record.line("server i-1: says that it leaves, and gets the ack");
    thread::sleep(ms(1_000));
    if trouble {
        fleet.machines.iter_mut().for_each(Machine::kill);
        thread::sleep(ms(500));
        fleet.machines.iter_mut().for_each(Machine::start);
    }
    thread::sleep(ms(1_600));
    let heard = leaving.send_report(&late_report);
    record.line(&format!(
        "server i-1: the held-up report arrives, acknowledged: {heard}"
    ));
    // All machines are in touch again.
    thread::sleep(CONTACT);
    for n in 0..30 {
        let (to, id) = (fleet.machines[n % 3].outbound(), format!("order-{n}"));
        request(
            record,
            to,
            ("POST", "/cutting/17"),
            &id,
            ms(1_000),
            &[],
            b"a roof",
        );
        thread::sleep(ms(50));
    }
    leaving.exit();

    let runs = runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|r| r.server == "i-1" && r.begun > acked + DRAIN);
    let line = |r: &crate::server::Run| {
        let after = r.begun.duration_since(acked).as_millis();
        format!(
            "DRAIN: {} reached server i-1 {after} ms after the ack of its leaving",
            r.id
        )
    };
    late.map(line).collect()
}

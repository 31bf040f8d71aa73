//! A report of an earlier start of a server, which a partition has held up, opens the gate again
//! after the server has said that it leaves.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::request;
use crate::fleet::{Bounds, Fleet, Record, Route, configuration, could_not_run, ms};
use crate::server::{Plan, Run, Runs, Server};

/// Number of machines, each with a server of the service.
const MACHINES: usize = 7;
/// The site's `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// When the held-up report arrives, after the ack of the leaving.
const REPORT_AFTER: Duration = Duration::from_millis(5_200);
/// How long the server goes on after the ack.
const SERVES_ON: Duration = Duration::from_millis(8_500);

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
    let fleet = Fleet::start(record, &["cutbook"; MACHINES], bounds, &config);
    let runs = Runs::default();
    let start = |n: usize| {
        let id = format!("i-{}", n + 1);
        Server::start(&fleet.machines[n], &id, record, &runs, |_, _| {
            Plan::Answer(ms(20))
        })
    };
    let mut servers: Vec<Server> = (0..MACHINES).map(start).collect();
    fleet.wait_until_ready();

    // The first server crashes and starts again under the id that it had. One of its reports from
    // before is still under way.
    let mut held_up = None;
    if trouble {
        held_up = Some((servers[0].next_report(), Instant::now()));
        record.line("server i-1: sends a report that is held up");
        servers[0].exit();
        thread::sleep(ms(500));
        servers[0] = start(0);
    }
    thread::sleep(ms(2_000));
    let leaving = &servers[0];
    let acked = Instant::now();
    if !leaving.deregister() {
        could_not_run("the leaving was not acknowledged");
    }
    record.line("server i-1: says that it leaves, and gets the ack");
    thread::sleep(REPORT_AFTER);
    if let Some((report, sent)) = held_up {
        let heard = leaving.send_report(&report);
        record.line(&format!(
            "the report of the first start of i-1 arrives {} ms late, acknowledged: {heard}",
            sent.elapsed().as_millis()
        ));
    }
    let requesters: Vec<_> = (0..MACHINES)
        .map(|n| {
            let (record, to) = (record.clone(), fleet.machines[n].outbound());
            thread::spawn(move || place_orders(&record, to, n, acked + SERVES_ON))
        })
        .collect();
    requesters.into_iter().for_each(|r| drop(r.join()));
    leaving.exit();

    let runs = runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|r| r.server == "i-1" && r.begun > acked + DRAIN);
    let line = |r: &Run| {
        let after = r.begun.duration_since(acked).as_millis();
        format!(
            "DRAIN: {} reached server i-1 {after} ms after the ack of its leaving",
            r.id
        )
    };
    late.map(line).collect()
}

/// Places orders at a machine until a time.
fn place_orders(record: &Record, to: SocketAddr, requester: usize, end: Instant) {
    let mut n = 0;
    while Instant::now() < end {
        let id = format!("order-{requester}-{n}");
        let line = ("POST", "/cutting/17");
        request(record, to, line, &id, ms(1_000), &[], b"a roof");
        thread::sleep(ms(60));
        n += 1;
    }
}

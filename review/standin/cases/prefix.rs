//! An order on a path without a final slash is taken for a request of a longer, idempotent route,
//! and runs again after its answer is lost.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use super::request;
use crate::fleet::{Bounds, Fleet, Record, Route, configuration, ms};
use crate::server::{Plan, Runs, Server};

/// Number of machines, each with a server of the service, and of the servers that lose answers.
const MACHINES: usize = 5;
const LOSING: usize = 3;
/// Every third answer of these servers is lost.
const LOST_EVERY: u64 = 3;
/// Where new orders are placed: the collection, without a final slash.
const NEW_ORDERS: &str = "/cutting/plans";
/// How long a server works on an order.
const WORK: Duration = Duration::from_millis(20);

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let route = |name, prefix, kind| Route {
        name,
        prefix,
        kind,
        service: "stockroom",
        timeout_ms: 1_000,
        objective_ms: 250,
        attempts: 3,
    };
    let routes = [
        route("cutting", "/cutting/", "non_idempotent"),
        route("cutting-plans", "/cutting/plans/", "idempotent"),
    ];
    let config = configuration(12, &["stockroom"], &routes);
    let bounds = Bounds {
        retry_slack: 58,
        grace: ms(6_000),
    };
    let fleet = Fleet::start(record, &["stockroom"; MACHINES], bounds, &config);
    let runs = Runs::default();
    for (n, machine) in fleet.machines.iter().enumerate() {
        let loses = trouble && n < LOSING;
        // Counted for each path by itself, so that both lose answers.
        let counts = [AtomicU64::new(0), AtomicU64::new(0)];
        Server::start(
            machine,
            &format!("i-{}", n + 1),
            record,
            &runs,
            move |_, order| {
                let count = &counts[usize::from(order.path() == NEW_ORDERS)];
                let nth = count.fetch_add(1, Ordering::AcqRel) + 1;
                match loses && nth.is_multiple_of(LOST_EVERY) {
                    true => Plan::LoseAnswer(WORK),
                    false => Plan::Answer(WORK),
                }
            },
        );
    }
    fleet.wait_until_ready();
    let requesters: Vec<_> = (0..MACHINES)
        .map(|n| {
            let (record, to) = (record.clone(), fleet.machines[n].outbound());
            thread::spawn(move || place_orders(&record, to, n))
        })
        .collect();
    requesters.into_iter().for_each(|r| drop(r.join()));
    let mut counts: HashMap<String, Vec<String>> = HashMap::new();
    for run in runs.lock().unwrap().iter() {
        counts
            .entry(run.id.clone())
            .or_default()
            .push(run.server.clone());
    }
    let mut twice: Vec<_> = counts
        .into_iter()
        .filter(|(_, servers)| servers.len() > 1)
        .collect();
    twice.sort();
    let line = |(id, servers): (String, Vec<String>)| {
        format!(
            "TWICE: {id}, which is not idempotent, ran {} times, by {servers:?}",
            servers.len()
        )
    };
    twice.into_iter().map(line).collect()
}

/// Places orders at a machine, every other one a new one. The path of these has no final slash: of
/// the two prefixes that begin with `/cutting/`, only `/cutting/` begins it.
fn place_orders(record: &Record, to: SocketAddr, requester: usize) {
    for n in 0..30 {
        let path = if n % 2 == 0 {
            NEW_ORDERS
        } else {
            "/cutting/17"
        };
        let id = format!("order-{requester}-{n}");
        request(record, to, ("POST", path), &id, ms(1_000), &[], b"a roof");
        thread::sleep(ms(60));
    }
}

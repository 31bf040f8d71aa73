//! An order on a path without a final slash is taken for a request of a longer, idempotent route,
//! and runs again after its answer is lost.

use std::collections::HashMap;
use std::thread;

use super::request;
use crate::fleet::{Bounds, Fleet, Record, Route, configuration, ms};
use crate::server::{Plan, Runs, Server};

/// Every request with this number, counted by each of the servers that lose answers, loses its own.
const LOST_EVERY: u64 = 3;

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let route = |name, prefix, kind| Route {
        name,
        prefix,
        kind,
        service: "cutbook",
        timeout_ms: 1_000,
        objective_ms: 250,
        attempts: 3,
    };
    let routes = [
        route("cutting", "/cutting/", "non_idempotent"),
        route("cutting-plans", "/cutting/plans/", "idempotent"),
    ];
    let config = configuration(12, &["cutbook"], &routes);
    let bounds = Bounds {
        retry_slack: 58,
        grace: ms(6_000),
    };
    let fleet = Fleet::start(record, &["cutbook", "cutbook"], bounds, &config);
    let runs = Runs::default();
    let loses = move |n: u64| trouble && n % LOST_EVERY == 0;
    let work = ms(20);
    Server::start(
        &fleet.machines[0],
        "i-1",
        record,
        &runs,
        move |n, _| match loses(n) {
            true => Plan::LoseAnswer(work),
            false => Plan::Answer(work),
        },
    );
    Server::start(&fleet.machines[1], "i-2", record, &runs, move |_, _| {
        Plan::Answer(work)
    });
    fleet.wait_until_ready();
    // A new order goes to the collection, so its path has no final slash. The configuration has two
    // prefixes that begin with `/cutting/`, of which only `/cutting/` begins this path.
    for n in 0..40 {
        let path = if n % 2 == 0 {
            "/cutting/plans"
        } else {
            "/cutting/17"
        };
        let to = fleet.machines[n % 2].outbound();
        request(
            record,
            to,
            ("POST", path),
            &format!("order-{n}"),
            ms(1_000),
            &[],
            b"a roof",
        );
        thread::sleep(ms(60));
    }
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

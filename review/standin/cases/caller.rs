//! A request that names `X-Caller-Service` in its `Connection` header reaches the server without
//! the caller's service.

use super::request;
use crate::fleet::{Bounds, Fleet, Record, Route, configuration, ms};
use crate::server::{Plan, Runs, Server};

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
    let config = configuration(12, &["cutbook", "stockroom"], &[route]);
    let bounds = Bounds {
        retry_slack: 58,
        grace: ms(6_000),
    };
    let fleet = Fleet::start(record, &["stockroom", "cutbook"], bounds, &config);
    let runs = Runs::default();
    for (n, machine) in fleet.machines.iter().enumerate() {
        let id = format!("i-{}", n + 1);
        Server::start(machine, &id, record, &runs, |_, _| Plan::Answer(ms(20)));
    }
    fleet.wait_until_ready();
    let to = fleet.machines[0].outbound();
    let forged = [("x-caller-service", "planroom")];
    let hidden = [
        ("connection", "close, x-caller-service"),
        ("x-caller-service", "planroom"),
    ];
    for n in 0..6 {
        let id = format!("order-{n}");
        let more: &[_] = match trouble {
            true => &hidden,
            false => &forged,
        };
        request(
            record,
            to,
            ("POST", "/cutting/17"),
            &id,
            ms(1_000),
            more,
            b"a roof",
        );
    }
    let runs = runs.lock().unwrap();
    let wrong = runs
        .iter()
        .filter(|r| r.caller.as_deref() != Some("stockroom"));
    let line = |r: &crate::server::Run| {
        let caller = r.caller.as_deref().unwrap_or("(none)");
        format!(
            "UNASKED: {} ran with X-Caller-Service {caller}, sent at a machine of stockroom",
            r.id
        )
    };
    wrong.map(line).collect()
}

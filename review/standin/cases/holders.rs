//! After the loss of twelve of seventeen machines, among them all that watch the store, an
//! acknowledged configuration is not in force in time on the machines that are left.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::request;
use crate::fleet::{Bounds, Fleet, Machine, Record, Route, configuration, could_not_run, ms};
use crate::server::{Plan, Runs, Server};

/// The site's zones.
const ZONES: [&str; 4] = ["sukkur", "larkana", "khairpur", "jacobabad"];
/// The site's number of machines.
const MACHINES: usize = 17;
/// Number of machines that are left.
const LEFT: usize = 5;
/// The site's `config_apply_ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// How long requests are sent after that.
const WATCHED: Duration = Duration::from_millis(3_000);

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let version = |number, service| {
        let route = Route {
            name: "refill",
            prefix: "/refill/",
            kind: "non_idempotent",
            service,
            timeout_ms: 800,
            objective_ms: 300,
            attempts: 2,
        };
        configuration(number, &["tankerdesk", "polewatch"], &[route])
    };
    let services: Vec<&str> = (0..MACHINES)
        .map(|n| ["tankerdesk", "polewatch"][(n / 4) % 2])
        .collect();
    let bounds = Bounds {
        retry_slack: 60,
        grace: ms(6_000),
    };
    let first = version(12, "tankerdesk");
    let mut fleet = Fleet::start_in(record, &ZONES, &services, bounds, &first);
    let runs = Runs::default();
    let servers: Vec<Server> = (fleet.machines.iter().enumerate())
        .map(|(n, machine)| {
            let id = format!("{}-{}", machine.service, n + 1);
            Server::start(machine, &id, record, &runs, |_, _| Plan::Answer(ms(20)))
        })
        .collect();
    fleet.wait_until_ready();
    thread::sleep(ms(5_000));

    let holders = fleet.store.values("tarragon/");
    record.line(&format!("platform: the store names {holders:?}"));
    let is_holder = |m: &Machine| holders.iter().any(|h| h.starts_with(&format!("{}:", m.ip)));
    let lost = choose_lost(&fleet.machines, is_holder);
    if trouble {
        for n in &lost {
            servers[*n].exit();
            fleet.machines[*n].kill();
        }
    }
    let acked = Instant::now();
    fleet.store.write("op/config", &version(19, "polewatch"));
    record.line("operator: moves the route from tankerdesk to polewatch, and gets the ack");
    thread::sleep(CONFIG_APPLY + ms(20));

    let sent = Arc::new(Mutex::new(Vec::new()));
    let left = (0..MACHINES).filter(|n| !lost.contains(n));
    let requesters: Vec<_> = left
        .map(|n| {
            let (record, sent) = (record.clone(), sent.clone());
            let to = fleet.machines[n].outbound();
            thread::spawn(move || {
                for i in 0.. {
                    if acked.elapsed() > CONFIG_APPLY + WATCHED {
                        return;
                    }
                    let id = format!("refill-{n}-{i}");
                    sent.lock().unwrap().push((id.clone(), acked.elapsed()));
                    request(
                        &record,
                        to,
                        ("POST", "/refill/4"),
                        &id,
                        ms(800),
                        &[],
                        b"a tanker",
                    );
                    thread::sleep(ms(40));
                }
            })
        })
        .collect();
    requesters.into_iter().for_each(|r| drop(r.join()));

    let (runs, sent) = (runs.lock().unwrap(), sent.lock().unwrap());
    let old = sent.iter().filter(|(id, _)| {
        runs.iter()
            .any(|r| r.id == *id && r.server.starts_with("tankerdesk"))
    });
    let line = |(id, after): &(String, Duration)| {
        format!(
            "CONFIG: {id} was sent {} ms after the ack and run by the old service",
            after.as_millis()
        )
    };
    old.map(line).collect()
}

/// Chooses the machines that are lost: all that are named in the store, and others until [`LEFT`]
/// are left, two or more of each service.
fn choose_lost(machines: &[Machine], is_named: impl Fn(&Machine) -> bool) -> Vec<usize> {
    let mut lost: Vec<usize> = (0..MACHINES).filter(|n| is_named(&machines[*n])).collect();
    if lost.is_empty() {
        could_not_run("no node has written to the store");
    }
    for n in 0..MACHINES {
        let is_left = |m: &usize| !lost.contains(m) && machines[*m].service == machines[n].service;
        let left_of_service = (0..MACHINES).filter(is_left).count();
        if !lost.contains(&n) && MACHINES - lost.len() > LEFT && left_of_service > 2 {
            lost.push(n);
        }
    }
    lost
}

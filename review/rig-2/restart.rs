//! The nodes of a service are stopped and started in turn soon after a version was rolled out.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::mesh::{
    Backend, Machine, Mesh, Node, Record, Route, call, config, ms, request, verdict,
};
use crate::rollout::{STATUS, order, wait_status};

const SERVICE: &str = "huvo11a";
const OTHER: &str = "lovo22d";
/// `config_apply_ms` of the site.
const CONFIG_APPLY_MS: u64 = 2500;
/// Time for which the routes are compared.
const COMPARED_MS: u64 = 20_000;

/// Requests on one route: sent and served.
#[derive(Clone, Copy, Default)]
struct Counts {
    sent: usize,
    served: usize,
}

impl Counts {
    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

fn route(prefix: &'static str, kind: &'static str, service: &'static str) -> Route {
    Route {
        prefix,
        kind,
        service,
        timeout_ms: 2000,
    }
}

fn send(to: &Machine, path: &str, id: &str, record: &Record) -> bool {
    let text = request("GET", path, id, 2000, "");
    let status = call(to.outbound(), &text, ms(2500)).map_or(0, |m| m.status());
    if status != 200 {
        record.line(format!(
            "requester at {} gets {status} for {id} {path}",
            to.name
        ));
    }
    status == 200
}

/// Stops a node as the platform does, and starts it again.
fn stop_and_start(node: &mut Node) {
    node.signal("-TERM");
    let end = Instant::now() + ms(6000);
    while Instant::now() < end && !node.has_ended() {
        thread::sleep(ms(20));
    }
    node.kill();
    thread::sleep(ms(300));
    node.run();
    node.wait_ready();
}

/// What disrupts the mesh after the roll-out.
#[derive(Clone, Copy, PartialEq)]
enum Disruption {
    /// The nodes of the service are stopped and started in turn.
    Restarts,
    /// The store comes back from an older copy.
    Drill,
}

/// Age of that copy, and how long the store is away.
const COPY_AGE_MS: u64 = 6000;
const AWAY_MS: u64 = 300;

pub fn run_restarts(trouble: bool, record: &Arc<Record>) -> Option<i32> {
    run(trouble.then_some(Disruption::Restarts), record)
}

pub fn run_drill(trouble: bool, record: &Arc<Record>) -> Option<i32> {
    run(trouble.then_some(Disruption::Drill), record)
}

fn run(disruption: Option<Disruption>, record: &Arc<Record>) -> Option<i32> {
    let name = |n: usize| format!("m{n}");
    let mut machines: Vec<Machine> = (1..=2).map(|n| Machine::new(&name(n), OTHER)).collect();
    machines.extend((3..=6).map(|n| Machine::new(&name(n), SERVICE)));
    let first = || {
        vec![
            route("/look/", "idempotent", OTHER),
            route("/stock/", "idempotent", SERVICE),
        ]
    };
    let mut mesh = Mesh::start(&machines[..4], &first(), record)?;
    // Requesters of machines 1 and 2, whose nodes are never disrupted.
    let sending = Arc::new(AtomicBool::new(true));
    let compared = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new([Counts::default(); 3]));
    let mut requesters = Vec::new();
    for (r, prefix) in [
        "/look/", "/look/", "/look/", "/look/", "/stock/", "/stock/", "/order/", "/order/",
    ]
    .into_iter()
    .enumerate()
    {
        let (sending, compared, counts, record) = (
            sending.clone(),
            compared.clone(),
            counts.clone(),
            record.clone(),
        );
        let machine = machines[r % 2].clone();
        requesters.push(thread::spawn(move || {
            let kind = ["/look/", "/stock/", "/order/"]
                .iter()
                .position(|p| *p == prefix)
                .unwrap();
            for n in 0.. {
                if !sending.load(Ordering::SeqCst) {
                    return;
                }
                let is_compared = compared.load(Ordering::SeqCst);
                // The third route is added later.
                if kind < 2 || is_compared {
                    let served = send(
                        &machine,
                        &format!("{prefix}5/{n}"),
                        &format!("r{r}-{n}"),
                        &record,
                    );
                    if is_compared {
                        let mut counts = counts.lock().unwrap();
                        counts[kind].sent += 1;
                        counts[kind].served += usize::from(served);
                    }
                }
                thread::sleep(ms(25));
            }
        }));
    }
    thread::sleep(ms(3500));
    order(&mesh, "v2", record);
    let mut added: Vec<Node> = machines[4..]
        .iter()
        .map(|m| Node::start(m, mesh.store_addr, record))
        .collect();
    let start = |m: &Machine| Backend::start_version(m, &format!("i-{}-v2", m.name), "v2", record);
    let _second_version: Vec<Arc<Backend>> = machines[4..].iter().map(start).collect();
    wait_status(&mesh, "v2", "completed", record)?;
    record.line("the servers of v1 stop, and their nodes get SIGTERM");
    for (backend, node) in mesh.backends[2..].iter().zip(&mut mesh.nodes[2..]) {
        backend.beating.store(false, Ordering::SeqCst);
        backend.open.store(false, Ordering::SeqCst);
        node.signal("-TERM");
    }
    if disruption == Some(Disruption::Drill) {
        thread::sleep(ms(500));
        record.line("the store is away");
        if !mesh.store.come_back_from_copy(ms(COPY_AGE_MS), ms(AWAY_MS)) {
            return None;
        }
        let status = mesh.store.get(STATUS).unwrap_or_default();
        record.line(format!(
            "the store is back from a copy; there the status is {status}"
        ));
    }
    thread::sleep(ms(9000));
    if disruption == Some(Disruption::Restarts) {
        added.iter_mut().for_each(stop_and_start);
    }
    thread::sleep(ms(4000));
    let mut routes = first();
    routes.push(route("/order/", "idempotent", SERVICE));
    mesh.store
        .put("op/config", &config(9, &routes, &[SERVICE, OTHER]));
    record.line("operator writes version 9, which adds /order/");
    thread::sleep(ms(CONFIG_APPLY_MS + 1000));
    compared.store(true, Ordering::SeqCst);
    thread::sleep(ms(COMPARED_MS));
    sending.store(false, Ordering::SeqCst);
    requesters.into_iter().for_each(|r| drop(r.join()));
    record.line(format!(
        "the operator reads {}",
        mesh.store.get(STATUS).unwrap_or_default()
    ));
    let [look, stock, order] = *counts.lock().unwrap();
    let first = Counts {
        sent: look.sent + stock.sent,
        served: look.served + stock.served,
    };
    let text = format!(
        "on the route added later {} of {} served, on the first routes {} of {} ({} of {} on the one to the same service)",
        order.served, order.sent, first.served, first.sent, stock.served, stock.sent
    );
    Some(verdict(
        record,
        order.sent >= 20 && order.share() < first.share() / 4.0,
        &text,
    ))
}

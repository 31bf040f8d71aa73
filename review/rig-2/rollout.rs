//! A second version is ordered right after the first was rolled back.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::mesh::{Backend, Machine, Mesh, Node, Record, Route, call, ms, request, verdict};

const SERVICE: &str = "huvo11a";
const ORDER: &str = "op/rollout/huvo11a";
const STATUS: &str = "status/rollout/huvo11a";
/// Bounds of the site.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK: f64 = 5.0;
/// Time of an order, in seconds.
const DURATION: f64 = 20.0;
/// Time after `rolled_back` at which the servers of that version begin to drain, in seconds.
const DRAIN_AFTER: f64 = 10.0;
/// The second order, after `rolled_back`, in seconds; without the disruption.
const SECOND_ORDER: [f64; 2] = [0.3, 15.0];

/// A node and a back end that are started during the script.
struct Added {
    _nodes: Vec<Node>,
    backends: Vec<Arc<Backend>>,
}

fn add(mesh: &Mesh, machines: &[Machine], version: &str, bad: bool, record: &Arc<Record>) -> Added {
    let nodes = machines
        .iter()
        .map(|m| Node::start(m, mesh.store_addr, record))
        .collect();
    let start = |m: &Machine| {
        Backend::start_version(m, &format!("i-{}-{version}", m.name), version, bad, record)
    };
    Added {
        _nodes: nodes,
        backends: machines.iter().map(start).collect(),
    }
}

pub fn order(mesh: &Mesh, version: &str, record: &Record) -> f64 {
    let text = format!(
        "{{\"service\":\"{SERVICE}\",\"target_version\":\"{version}\",\"duration_s\":{DURATION}}}"
    );
    mesh.store.put(ORDER, &text);
    record.line(format!("operator orders {version}"));
    record.now()
}

/// Waits until the operator is told this. Returns when.
pub fn wait_status(mesh: &Mesh, version: &str, state: &str, record: &Record) -> Option<f64> {
    let end = record.now() + DURATION + 10.0;
    while record.now() < end {
        let text = mesh.store.get(STATUS).unwrap_or_default();
        if text.contains(&format!("\"{version}\"")) && text.contains(state) {
            record.line(format!("operator reads {text}"));
            return Some(record.now());
        }
        thread::sleep(ms(20));
    }
    record.line(format!("operator waited in vain for {state} of {version}"));
    None
}

fn sleep_until(record: &Record, at: f64) {
    while record.now() < at {
        thread::sleep(ms(10));
    }
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<i32> {
    let machines: Vec<Machine> = (1..=6)
        .map(|n| Machine::new(&format!("m{n}"), SERVICE))
        .collect();
    let routes = [Route {
        prefix: "/order/",
        kind: "non_idempotent",
        service: SERVICE,
        timeout_ms: 2000,
    }];
    let mesh = Mesh::start(&machines[..2], &routes, record)?;
    let sending = Arc::new(AtomicBool::new(true));
    let sent = Arc::new(Mutex::new(HashMap::<String, f64>::new()));
    let count = Arc::new(AtomicUsize::new(0));
    let requesters: Vec<_> = (0..40)
        .map(|r| {
            let (sending, sent, count, record) =
                (sending.clone(), sent.clone(), count.clone(), record.clone());
            let to = machines[r % 2].outbound();
            thread::spawn(move || {
                while sending.load(Ordering::SeqCst) {
                    let id = format!("o{}", count.fetch_add(1, Ordering::SeqCst));
                    sent.lock().unwrap().insert(id.clone(), record.now());
                    let text = request("POST", "/order/5/x", &id, 2000, "Content-Length: 0\r\n");
                    let status = call(to, &text, ms(2500)).map_or(0, |m| m.status());
                    if status != 200 {
                        record.line(format!("requester gets {status} for {id}"));
                    }
                    thread::sleep(ms(80));
                }
            })
        })
        .collect();
    thread::sleep(ms(4000));
    let first = order(&mesh, "v2", record);
    let second_version = add(&mesh, &machines[2..4], "v2", true, record);
    let rolled_back = wait_status(&mesh, "v2", "rolled_back", record)?;
    let second_at = rolled_back + SECOND_ORDER[usize::from(!trouble)];
    let mut third_version = None;
    let drain_at = rolled_back + DRAIN_AFTER;
    if trouble {
        sleep_until(record, second_at);
        order(&mesh, "v3", record);
        third_version = Some(add(&mesh, &machines[4..6], "v3", false, record));
    }
    sleep_until(record, drain_at);
    for b in &second_version.backends {
        b.beating.store(false, Ordering::SeqCst);
        b.leaving.store(true, Ordering::SeqCst);
        let acked = b.report(&b.heartbeat("draining"));
        record.line(format!(
            "server {} drains, acknowledged: {acked}",
            b.instance
        ));
    }
    sleep_until(record, drain_at + 3.0);
    second_version
        .backends
        .iter()
        .for_each(|b| drop(b.report(&b.deregistration())));
    if !trouble {
        sleep_until(record, second_at);
        order(&mesh, "v3", record);
        third_version = Some(add(&mesh, &machines[4..6], "v3", false, record));
    }
    thread::sleep(ms(5000));
    sending.store(false, Ordering::SeqCst);
    requesters.into_iter().for_each(|r| drop(r.join()));
    drop(third_version);
    Some(judge(
        &mesh,
        &second_version,
        first,
        &sent.lock().unwrap(),
        record,
    ))
}

/// The rule EXPOSURE for the bad version.
fn judge(
    mesh: &Mesh,
    bad: &Added,
    first: f64,
    sent: &HashMap<String, f64>,
    record: &Arc<Record>,
) -> i32 {
    let in_order = |at: f64| (first..first + DURATION).contains(&at);
    let all_backends = mesh.backends.iter().chain(&bad.backends);
    let all: usize = all_backends
        .map(|b| {
            b.runs
                .lock()
                .unwrap()
                .iter()
                .filter(|r| in_order(r.at))
                .count()
        })
        .sum();
    let mut runs: Vec<_> = bad
        .backends
        .iter()
        .flat_map(|b| b.runs.lock().unwrap().clone())
        .collect();
    runs.sort_by(|a, b| a.at.total_cmp(&b.at));
    let to_bad = runs.iter().filter(|r| in_order(r.at)).count();
    let bound = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    // Every second run of each server is answered with a failure.
    let mut failures: Vec<f64> = bad
        .backends
        .iter()
        .flat_map(|b| {
            b.runs
                .lock()
                .unwrap()
                .iter()
                .step_by(2)
                .filter_map(|r| r.done)
                .collect::<Vec<_>>()
        })
        .collect();
    failures.sort_by(f64::total_cmp);
    let fiftieth = failures.get(49).copied();
    let late = fiftieth.map_or(0, |at| {
        runs.iter()
            .filter(|r| sent.get(&r.id).is_some_and(|s| *s > at + ROLLBACK))
            .count()
    });
    record.line(format!(
        "bad answers {}, the 50th at {fiftieth:?}",
        failures.len()
    ));
    let text = format!(
        "the bad version got {to_bad} requests within its order (bound {bound:.0} of {all}), and {late} sent later than rollback_ms after its 50th bad answer"
    );
    verdict(record, to_bad as f64 > bound || late > 0, &text)
}

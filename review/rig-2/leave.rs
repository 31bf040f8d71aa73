//! A node loses power right after it has acknowledged that its back end leaves.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use crate::mesh::{Machine, Mesh, Record, Route, call, ms, request, verdict};

/// Bounds of the site: seconds.
const DRAIN: f64 = 2.0;
const CONTACT: f64 = 3.0;
/// How late the last liveness report before the leave arrives, and until when the back end serves, both
/// from the ack: seconds.
const REPORT_ARRIVES: f64 = 4.2;
const SERVES_UNTIL: f64 = 6.0;

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<i32> {
    let machines: Vec<Machine> = (1..=3)
        .map(|n| Machine::new(&format!("m{n}"), "huvo11a"))
        .collect();
    let routes = [Route {
        prefix: "/order/",
        kind: "non_idempotent",
        service: "huvo11a",
        timeout_ms: 2000,
    }];
    let mut mesh = Mesh::start(&machines, &routes, record)?;
    thread::sleep(ms(3500));
    let sending = Arc::new(AtomicBool::new(true));
    let sent = Arc::new(AtomicUsize::new(0));
    // Requesters of machine 1, whose node is never disrupted.
    let requesters: Vec<_> = (0..8)
        .map(|r| {
            let (sending, sent, record) = (sending.clone(), sent.clone(), record.clone());
            let to = machines[0].outbound();
            thread::spawn(move || {
                while sending.load(Ordering::SeqCst) {
                    let id = format!("o{r}-{}", sent.fetch_add(1, Ordering::SeqCst));
                    let answer = call(
                        to,
                        &request("POST", "/order/100/x", &id, 2000, "Content-Length: 0\r\n"),
                        ms(2500),
                    );
                    let status = answer.map_or(0, |m| m.status());
                    record.line(format!("requester gets {status} for {id}"));
                    thread::sleep(ms(30));
                }
            })
        })
        .collect();
    thread::sleep(ms(500));
    let leaving = mesh.backends[2].clone();
    // The last report before the leave is under way for seconds.
    leaving.beating.store(false, Ordering::SeqCst);
    let late = leaving.heartbeat("ready");
    record.line("server i-7f3a91c2 sends a liveness report (ready), which arrives late");
    thread::sleep(ms(200));
    leaving.leaving.store(true, Ordering::SeqCst);
    if !leaving.report(&leaving.deregistration()) {
        return None;
    }
    let acked = record.now();
    record.line("server i-7f3a91c2 has deregistered, acknowledged by node m3");
    let mut started = acked;
    if trouble {
        mesh.nodes[2].kill();
        thread::sleep(ms(500));
        mesh.nodes[2].run();
        started = record.now();
    }
    sleep_until(record, acked + REPORT_ARRIVES);
    let answered = leaving.report(&late);
    record.line(format!("the late report arrives, acknowledged: {answered}"));
    sleep_until(record, acked + SERVES_UNTIL);
    leaving.open.store(false, Ordering::SeqCst);
    sending.store(false, Ordering::SeqCst);
    requesters.into_iter().for_each(|r| drop(r.join()));
    // Counted only while the node of the back end, too, is in touch.
    let from = (acked + DRAIN).max(if trouble { started + CONTACT } else { 0.0 });
    let runs = leaving.runs.lock().unwrap().clone();
    let counted: Vec<_> = runs.iter().filter(|r| r.at > from).collect();
    for r in &counted {
        record.line(format!(
            "counted: {} reached the leaving server {:.2} s after the ack",
            r.id,
            r.at - acked
        ));
    }
    let text = format!(
        "{} orders reached a server later than drain_ms after the ack of its leave",
        counted.len()
    );
    Some(verdict(record, !counted.is_empty(), &text))
}

fn sleep_until(record: &Record, at: f64) {
    while record.now() < at {
        thread::sleep(ms(5));
    }
}

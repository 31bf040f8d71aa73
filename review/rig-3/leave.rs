//! A server deregisters, its node acknowledges that, and all nodes are killed at one moment. A report that
//! the server had sent before arrives late.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{CONTACT, Fleet, ManualServer, SERVICE, ServerPlan, document, request};
use crate::http::exchange;
use crate::server::{Fault, REPORT_INTERVAL, ServerOptions, deregistration, report, unix_millis};

/// Id of the server that leaves.
const LEAVING: &str = "i-1eaf1eaf";
/// Time for which the leaving server may still get requests after the acknowledgement.
const DRAIN: Duration = Duration::from_millis(2000);
/// Time for which the report is under way.
const LATE: Duration = Duration::from_millis(4000);
/// Time for which the nodes are gone.
const DOWN: Duration = Duration::from_millis(1000);
/// Time budget of the requests, and the timeout of their routes.
const DEADLINE_MS: u64 = 2000;
/// Orders that are sent at the end, a few at each node.
const ORDERS: usize = 20;

pub fn run(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let born = unix_millis();
    let leaving = ServerPlan {
        manual: true,
        ..ServerPlan::sound(SERVICE)
    };
    let mut server = None;
    let mut servers = vec![leaving];
    servers.resize(5, ServerPlan::sound(SERVICE));
    let ended = Arc::new(AtomicBool::new(false));
    let last = Arc::new(AtomicU64::new(0));
    let mut fleet = Fleet::start_with(
        &folder.join("record.txt"),
        &document(DEADLINE_MS),
        &servers,
        |fleet| {
            let options = ServerOptions {
                service: SERVICE.to_string(),
                listen: fleet.nodes[0].app,
                control: fleet.nodes[0].control,
                fault: Fault::None,
                identity: Some((LEAVING.to_string(), born)),
            };
            server = ManualServer::start(&options, &fleet.record).ok();
            let (control, ended, last) = (fleet.nodes[0].control, ended.clone(), last.clone());
            std::thread::spawn(move || {
                while !ended.load(Ordering::Acquire) {
                    let sequence = last.fetch_add(1, Ordering::AcqRel) + 1;
                    let text = report(SERVICE, LEAVING, born, "ready", sequence);
                    let _ = exchange(control, &text, Duration::from_secs(1));
                    std::thread::sleep(REPORT_INTERVAL);
                }
            });
        },
    )?;
    ended.store(true, Ordering::Release);
    std::thread::sleep(REPORT_INTERVAL);
    // The last report before the leave is under way from here on.
    let sent_at = fleet.record.now();
    fleet
        .record
        .add("the server sends a report that is delayed");
    let control = fleet.nodes[0].control;
    let mut server = server.ok_or(io::ErrorKind::NotFound)?;
    server.leave()?;
    let answer = exchange(
        control,
        &deregistration(LEAVING, born),
        Duration::from_secs(1),
    )?;
    let acked_at = fleet.record.now();
    fleet
        .record
        .add(&format!("deregistration: status {}", answer.status()));
    if answer.status() != 200 {
        return Err(io::Error::other("the leave was not acknowledged"));
    }
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        fleet.kill_all(DOWN)?;
    }
    std::thread::sleep((sent_at + LATE).saturating_sub(fleet.record.now()));
    let sequence = last.load(Ordering::Acquire) + 1;
    let late = report(SERVICE, LEAVING, born, "ready", sequence);
    let answer = exchange(control, &late, Duration::from_secs(1))?;
    fleet.record.add(&format!(
        "the late report arrives: status {}",
        answer.status()
    ));
    fleet.wait_until_ready()?;
    std::thread::sleep(CONTACT);
    std::thread::scope(|scope| {
        for n in 0..ORDERS {
            let (fleet, node) = (&fleet, &fleet.nodes[n % fleet.nodes.len()]);
            scope.spawn(move || {
                let target = "/order/slate?work_ms=160";
                let text = request("POST", target, &format!("order-{n}"), DEADLINE_MS, "x");
                let answer = exchange(node.outbound, &text, Duration::from_secs(3));
                let status = answer.map_or(0, |a| a.status());
                let line = format!("sent order-{n} at {}: status {status}", node.name);
                fleet.record.add(&line);
            });
        }
    });
    let runs = fleet.record.lines("run order-");
    let is_late = |at: Duration, line: &str| at > acked_at + DRAIN && line.contains(LEAVING);
    let count = runs.iter().filter(|(at, line)| is_late(*at, line)).count();
    let text = format!("orders that reached the server that had left: {count} of {ORDERS}");
    fleet.record.add(&text);
    Ok(match count {
        0 => Verdict::Held,
        _ => Verdict::Broken(text),
    })
}

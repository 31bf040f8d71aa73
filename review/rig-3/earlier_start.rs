//! The clock of a machine jumps ahead and back around the start of its server. The server starts again under
//! its id, with an earlier start time than before, and is taken out of service some seconds later.

use std::io;
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{CONTACT, Fleet, ManualServer, SERVICE, ServerPlan, document, request};
use crate::http::exchange;
use crate::server::{Fault, REPORT_INTERVAL, ServerOptions, report, unix_millis};

/// Id of the server.
const ID: &str = "i-0c10c4";
/// How far the clock is ahead at the first start.
const AHEAD_MS: u64 = 2000;
/// Time from the first start to the crash, and from there to the second start.
const UNTIL_CRASH: Duration = Duration::from_millis(600);
const DOWN: Duration = Duration::from_millis(300);
/// Time for which the server may still get requests after the acknowledgement.
const DRAIN: Duration = Duration::from_millis(2000);
/// Time budget of the requests, and the timeout of their routes.
const DEADLINE_MS: u64 = 2000;
/// Orders that are sent at the end, a few at each node.
const ORDERS: usize = 32;
/// Servers of the service. One of them crashes, a share of 0.125.
const SERVERS: usize = 8;

pub fn run(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let manual = ServerPlan {
        manual: true,
        ..ServerPlan::sound(SERVICE)
    };
    let mut servers = vec![manual];
    servers.resize(SERVERS, ServerPlan::sound(SERVICE));
    let fleet = Fleet::start(&folder.join("record.txt"), &document(DEADLINE_MS), &servers)?;
    let node = &fleet.nodes[0];
    let start = |born| {
        let options = ServerOptions {
            service: SERVICE.to_string(),
            listen: node.app,
            control: node.control,
            fault: Fault::None,
            identity: Some((ID.to_string(), born)),
        };
        fleet.record.add(&format!("start of {ID}, born {born}"));
        ManualServer::start(&options, &fleet.record)
    };
    let send_report = |born, state, sequence| -> io::Result<u16> {
        let text = report(SERVICE, ID, born, state, sequence);
        let answer = exchange(node.control, &text, Duration::from_secs(1))?;
        let status = answer.status();
        let line =
            format!("report of {ID}: {state}, born {born}, sequence {sequence}: status {status}");
        fleet.record.add(&line);
        Ok(status)
    };
    let first = unix_millis() + if trouble { AHEAD_MS } else { 0 };
    let server = start(first)?;
    send_report(first, "ready", 1)?;
    std::thread::sleep(UNTIL_CRASH);
    drop(server);
    fleet.record.add(&format!("{ID} has crashed"));
    std::thread::sleep(DOWN);
    let second = unix_millis();
    let mut server = start(second)?;
    let mut sequence = 1;
    let calm_at = fleet.record.now() + CONTACT + Duration::from_millis(500);
    while fleet.record.now() < calm_at {
        send_report(second, "ready", sequence)?;
        sequence += 1;
        std::thread::sleep(REPORT_INTERVAL);
    }
    server.leave()?;
    if send_report(second, "draining", sequence)? != 200 {
        return Err(io::Error::other("the leave was not acknowledged"));
    }
    let acked_at = fleet.record.now();
    std::thread::sleep(DRAIN + Duration::from_millis(200));
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
    let is_late = |at: Duration, line: &str| at > acked_at + DRAIN && line.contains(ID);
    let count = runs.iter().filter(|(at, line)| is_late(*at, line)).count();
    let text = format!("orders that reached the server that leaves: {count} of {ORDERS}");
    fleet.record.add(&text);
    Ok(match count {
        0 => Verdict::Held,
        _ => Verdict::Broken(text),
    })
}

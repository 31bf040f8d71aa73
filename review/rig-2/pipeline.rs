//! A planned stop of the machine that took pipelined requests.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use crate::mesh::{Machine, Mesh, Record, Route, ms, read_message, request, verdict};

/// Connections, and idempotent requests sent on each at once.
const CONNECTIONS: usize = 8;
const BATCH: usize = 3;

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<i32> {
    let machines: Vec<Machine> = (1..=3)
        .map(|n| Machine::new(&format!("m{n}"), "huvo11a"))
        .collect();
    let routes = [Route {
        prefix: "/look/",
        kind: "idempotent",
        service: "huvo11a",
        timeout_ms: 2000,
    }];
    let mut mesh = Mesh::start(&machines, &routes, record)?;
    // No disruption for `contact_ms` before the requests.
    thread::sleep(ms(4000));
    let mut connections = Vec::new();
    for c in 0..CONNECTIONS {
        let stream = TcpStream::connect(machines[0].outbound()).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(ms(4000))).ok()?;
        let mut r = BufReader::new(stream);
        // The connection is kept from an earlier request.
        r.get_mut()
            .write_all(request("GET", "/look/1/a", &format!("first-{c}"), 2000, "").as_bytes())
            .ok()?;
        (read_message(&mut r).ok()?.status() == 200).then_some(())?;
        let batch = (0..BATCH).map(|n| {
            request(
                "GET",
                &format!("/look/600/{n}"),
                &format!("p{c}-{n}"),
                2000,
                "",
            )
        });
        r.get_mut()
            .write_all(batch.collect::<String>().as_bytes())
            .ok()?;
        connections.push(r);
    }
    record.line(format!(
        "{CONNECTIONS} connections have sent {BATCH} idempotent requests each"
    ));
    thread::sleep(ms(150));
    let stopped_at = record.now();
    if trouble {
        mesh.nodes[0].signal("-TERM");
    }
    let mut lost = Vec::new();
    for (c, mut r) in connections.into_iter().enumerate() {
        for n in 0..BATCH {
            let id = format!("p{c}-{n}");
            match read_message(&mut r) {
                Ok(m) if m.header("x-attempt-id") == Some(&id) => {
                    let close = m.header("connection").unwrap_or("-");
                    record.line(format!(
                        "requester gets {} for {id}, Connection: {close}",
                        m.status()
                    ));
                }
                Ok(m) => record.line(format!("requester gets {:?} where {id} is due", m.first)),
                Err(e) => {
                    record.line(format!("requester gets no answer to {id}: {e}"));
                    lost.push(id);
                }
            }
        }
    }
    // Passed on before the end, so that the rule counts them.
    let passed_on = |id: &&String| mesh.backends.iter().any(|b| b.has_run(id) > 0);
    let counted = lost.iter().filter(passed_on).count();
    if trouble {
        let end = stopped_at + 7.0;
        while record.now() < end && !mesh.nodes[0].has_ended() {
            thread::sleep(ms(50));
        }
        record.line(format!(
            "node m1 has ended {:.1} s after SIGTERM",
            record.now() - stopped_at
        ));
    }
    let text = format!(
        "{counted} of {} requests that were passed on to a server got no answer",
        CONNECTIONS * BATCH
    );
    Some(verdict(record, counted > 0, &text))
}

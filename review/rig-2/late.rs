//! One of three servers of a service turns slow, and ends requests at their time budget; others are sent
//! behind these. The requesters are on the machine of that server.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use crate::mesh::{Machine, Mesh, Record, Route, ms, read_message, request, verdict};

/// Kept connections.
const CONNECTIONS: usize = 12;
/// Time for which the server is slow, and for which batches begin, in seconds.
const SLOW_S: f64 = 9.0;
const SENDING_S: f64 = 8.0;
/// Requests behind the first of a batch.
const BEHIND: usize = 3;

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<i32> {
    let mut machines: Vec<Machine> = (1..=2)
        .map(|n| Machine::new(&format!("m{n}"), "huvo11a"))
        .collect();
    machines.extend((3..=5).map(|n| Machine::new(&format!("m{n}"), "lovo22d")));
    let routes = [
        Route {
            prefix: "/look/",
            kind: "idempotent",
            service: "huvo11a",
            timeout_ms: 2000,
        },
        Route {
            prefix: "/report/",
            kind: "idempotent",
            service: "lovo22d",
            timeout_ms: 800,
        },
    ];
    let mesh = Mesh::start(&machines, &routes, record)?;
    thread::sleep(ms(3500));
    // One of the three that run the first request of each batch.
    let started = record.now();
    mesh.backends[2].slow.store(trouble, Ordering::SeqCst);
    record.line(format!(
        "server {} is slow: {trouble}",
        mesh.backends[2].instance
    ));
    let requesters: Vec<_> = (0..CONNECTIONS)
        .map(|c| {
            let (to, record) = (machines[2].outbound(), record.clone());
            thread::spawn(move || {
                let mut lost = Vec::new();
                let mut kept: Option<BufReader<TcpStream>> = None;
                let mut sent = 0;
                for b in 0.. {
                    if record.now() > started + SENDING_S {
                        break;
                    }
                    sent += BEHIND;
                    thread::sleep(ms(17 * c as u64));
                    let mut r = match kept.take() {
                        Some(r) => r,
                        None => {
                            let stream = TcpStream::connect(to).ok()?;
                            stream.set_nodelay(true).ok()?;
                            stream.set_read_timeout(Some(ms(4000))).ok()?;
                            let mut r = BufReader::new(stream);
                            // The connection is kept from an earlier request.
                            let first =
                                request("GET", "/look/1/f", &format!("first-{c}-{b}"), 2000, "");
                            r.get_mut().write_all(first.as_bytes()).ok()?;
                            read_message(&mut r).ok()?;
                            r
                        }
                    };
                    let ids: Vec<String> = (0..=BEHIND).map(|n| format!("p{c}-{b}-{n}")).collect();
                    let mut batch = request("GET", "/report/250/r", &ids[0], 2000, "");
                    for id in &ids[1..] {
                        batch += &request("GET", "/look/20/l", id, 2000, "");
                    }
                    r.get_mut().write_all(batch.as_bytes()).ok()?;
                    let mut ended = false;
                    for id in &ids {
                        match read_message(&mut r) {
                            _ if ended => {
                                record.line(format!("requester gets no answer to {id}"));
                                lost.push(id.clone());
                            }
                            Ok(m) => {
                                let close = m.header("connection").unwrap_or("-");
                                record.line(format!(
                                    "requester gets {} for {id}, Connection: {close}",
                                    m.status()
                                ));
                            }
                            Err(e) => {
                                record.line(format!("requester gets no whole answer to {id}: {e}"));
                                ended = true;
                                // The first of a batch has reached its route's timeout.
                                if *id != ids[0] {
                                    lost.push(id.clone());
                                }
                            }
                        }
                    }
                    kept = (!ended).then_some(r);
                }
                Some((sent, lost))
            })
        })
        .collect();
    while record.now() < started + SLOW_S {
        thread::sleep(ms(5));
    }
    mesh.backends[2].slow.store(false, Ordering::SeqCst);
    let (mut sent, mut lost) = (0, Vec::new());
    for r in requesters {
        let (sent_here, lost_here) = r.join().ok()??;
        sent += sent_here;
        lost.extend(lost_here);
    }
    let passed_on = |id: &&String| mesh.backends[..2].iter().any(|b| b.has_run(id) > 0);
    let counted = lost.iter().filter(passed_on).count();
    let text = format!(
        "{counted} of {sent} requests that were passed on to sound servers got no answer on their kept connection"
    );
    Some(verdict(record, counted > 3, &text))
}

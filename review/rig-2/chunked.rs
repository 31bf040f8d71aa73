//! A back end makes its calls on a kept connection, with bodies in chunks.

use std::sync::Arc;
use std::thread;

use crate::mesh::{Machine, Mesh, Nested, Record, Route, call, ms, request, verdict};

/// Time budget of a call, as on the users' sheets.
const CALL_BUDGET_MS: u64 = 400;
/// Requests in all, at intervals; each fourth makes a call.
const REQUESTS: usize = 160;

pub fn run(trouble: bool, record: &Arc<Record>) -> Option<i32> {
    let mut machines: Vec<Machine> = (1..=2)
        .map(|n| Machine::new(&format!("m{n}"), "huvo11a"))
        .collect();
    machines.push(Machine::new("m3", "lovo22d"));
    let routes = [
        Route {
            prefix: "/look/",
            kind: "idempotent",
            service: "huvo11a",
            timeout_ms: 2000,
        },
        Route {
            prefix: "/order/",
            kind: "non_idempotent",
            service: "huvo11a",
            timeout_ms: 2000,
        },
        Route {
            prefix: "/lookup/",
            kind: "idempotent",
            service: "lovo22d",
            timeout_ms: 400,
        },
    ];
    let mesh = Mesh::start(&machines, &routes, record)?;
    for b in &mesh.backends[..2] {
        *b.nested.lock().unwrap() = Some(Nested {
            of: "/order/",
            path: "/lookup/10/s",
            deadline_ms: CALL_BUDGET_MS,
            chunked: trouble,
            connection: None,
            made: 0,
            served: 0,
        });
    }
    thread::sleep(ms(3500));
    let (mut served, mut orders, mut orders_served) = (0, 0, 0);
    for n in 0..REQUESTS {
        let is_order = n % 4 == 0;
        let (method, path) = if is_order {
            ("POST", "/order/10/x")
        } else {
            ("GET", "/look/10/x")
        };
        let id = format!("q{n}");
        let text = request(method, path, &id, 2000, "Content-Length: 0\r\n");
        let status = call(machines[n % 2].outbound(), &text, ms(2500)).map_or(0, |m| m.status());
        record.line(format!("requester gets {status} for {id}"));
        served += usize::from(status == 200);
        orders += usize::from(is_order);
        orders_served += usize::from(is_order && status == 200);
        thread::sleep(ms(60));
    }
    let counts = |f: fn(&Nested) -> usize| -> usize {
        mesh.backends
            .iter()
            .filter_map(|b| b.nested.lock().unwrap().as_ref().map(f))
            .sum()
    };
    let (made, calls_served) = (counts(|n| n.made), counts(|n| n.served));
    let share = |part: usize, all: usize| part as f64 / all.max(1) as f64;
    let (calls, all) = (share(calls_served, made), share(served, REQUESTS));
    let text = format!(
        "calls served {calls_served} of {made} ({calls:.2}), all requests {served} of {REQUESTS} ({all:.2}), orders {orders_served} of {orders}"
    );
    Some(verdict(record, calls < all / 4.0, &text))
}

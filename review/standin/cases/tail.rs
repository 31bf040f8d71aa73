//! The last of the requests that wait one behind the other on a connection are never read, once
//! more than eight of them wait while servers are slow.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Bounds, Fleet, HOST, Record, Route, configuration, ms};
use crate::http::Connection;
use crate::server::{Plan, Runs, Server};

/// Timeout of the route, and time budget of the requests.
const TIMEOUT: Duration = Duration::from_millis(800);
/// How late after the timeout an answer may come.
const SLACK: Duration = Duration::from_millis(500);
/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(60);
/// How much longer the slow servers take.
const SLOWER: u32 = 12;
/// Number of servers, and of slow ones among them.
const SERVERS: usize = 5;
const SLOW: usize = 2;
/// Number of requesters, of the requests of each, and time between these.
const REQUESTERS: usize = 4;
const REQUESTS: usize = 30;
const INTERVAL: Duration = Duration::from_millis(25);
/// How long a requester waits after its last request.
const PATIENCE: Duration = Duration::from_secs(5);

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let route = Route {
        name: "stock",
        prefix: "/stock/",
        kind: "idempotent",
        service: "stockroom",
        timeout_ms: TIMEOUT.as_millis() as u64,
        objective_ms: 200,
        attempts: 2,
    };
    let config = configuration(12, &["stockroom"], &[route]);
    let bounds = Bounds {
        retry_slack: 58,
        grace: ms(6_000),
    };
    let fleet = Fleet::start(record, &["stockroom"; SERVERS], bounds, &config);
    let runs = Runs::default();
    for (n, machine) in fleet.machines.iter().enumerate() {
        let id = format!("i-{}", n + 1);
        let work = if trouble && n < SLOW {
            WORK * SLOWER
        } else {
            WORK
        };
        Server::start(machine, &id, record, &runs, move |_, _| Plan::Answer(work));
    }
    fleet.wait_until_ready();
    let waits: Vec<_> = (0..REQUESTERS)
        .map(|n| {
            let (record, to) = (record.clone(), fleet.machines[n % SERVERS].outbound());
            thread::spawn(move || pipeline(&record, to, n))
        })
        .collect();
    let waits: Vec<Option<Duration>> = waits.into_iter().flat_map(|w| w.join().unwrap()).collect();

    // Of the requests that last longer than the timeout, those without an answer when it is due.
    let long = waits
        .iter()
        .filter(|w| w.is_none_or(|w| w > TIMEOUT))
        .count();
    let late = waits
        .iter()
        .filter(|w| w.is_none_or(|w| w > TIMEOUT + SLACK))
        .count();
    let never = waits.iter().filter(|w| w.is_none()).count();
    record.line(&format!(
        "{} requests, {long} lasted longer than the timeout, {late} of them had no answer {} ms after it, {never} never",
        waits.len(),
        SLACK.as_millis()
    ));
    match late >= 8 && late * 4 > long {
        true => vec![format!(
            "CONFIG: of {long} requests that lasted longer than their route's timeout, {late} had no answer 0.5 s after it, and {never} had none {} s after the last was sent",
            PATIENCE.as_secs()
        )],
        false => Vec::new(),
    }
}

/// Sends requests on one connection without waiting for the answers. Returns how long each took.
fn pipeline(record: &Record, to: std::net::SocketAddr, requester: usize) -> Vec<Option<Duration>> {
    let connection = Connection::connect(to, ms(1_000)).expect("the node accepts no connection");
    let mut writer = Connection::new(connection.stream.try_clone().expect("a second handle"));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let answered = Arc::new(AtomicUsize::new(0));
    let waits = Arc::new(Mutex::new(vec![None; REQUESTS]));
    let reader = {
        let (record, sent, waits) = (record.clone(), sent.clone(), waits.clone());
        let answered = answered.clone();
        thread::spawn(move || {
            let mut connection = connection;
            while let Ok(Some(answer)) = connection.read() {
                let n = answered.fetch_add(1, Ordering::AcqRel);
                let sent: Instant = sent.lock().unwrap()[n];
                waits.lock().unwrap()[n] = Some(sent.elapsed());
                let (status, waited) = (answer.status(), sent.elapsed().as_millis());
                record.line(&format!(
                    "requester {requester}: stock-{requester}-{n} is answered {status} after {waited} ms"
                ));
                if n + 1 == REQUESTS {
                    return;
                }
            }
        })
    };
    for n in 0..REQUESTS {
        let id = format!("stock-{requester}-{n}");
        let budget = TIMEOUT.as_millis().to_string();
        let headers = [
            ("host", HOST),
            ("x-attempt-id", id.as_str()),
            ("x-deadline-ms", &budget),
        ];
        record.line(&format!(
            "requester {requester}: sends {id} GET /stock/slate"
        ));
        sent.lock().unwrap().push(Instant::now());
        if writer.send("GET", "/stock/slate", &headers, b"").is_err() {
            break;
        }
        thread::sleep(INTERVAL);
    }
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end && !reader.is_finished() {
        thread::sleep(ms(10));
    }
    let _ = writer.stream.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
    let waits = waits.lock().unwrap().clone();
    let missing = waits.iter().filter(|w| w.is_none()).count();
    record.line(&format!(
        "requester {requester}: closes, {missing} requests have no answer"
    ));
    waits
}

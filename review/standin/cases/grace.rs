//! A planned stop with a grace period of 10 s cuts an upload 5.2 s after the SIGTERM, while its
//! server is at work on it.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::request;
use crate::fleet::{Bounds, Fleet, Record, Route, configuration, is_ready, ms};
use crate::server::{Plan, Runs, Server};

/// The site's `grace_s`.
const GRACE: Duration = Duration::from_secs(10);
/// Time budget of an upload, and timeout of its route.
const BUDGET: Duration = Duration::from_millis(5_000);
/// How long a server works on an upload.
const WORK: Duration = Duration::from_millis(4_300);
/// When the uploads are sent, after the SIGTERM.
const SENT_AFTER_MS: [u64; 4] = [300, 1_200, 1_400, 1_600];

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let route = Route {
        name: "surveys",
        prefix: "/surveys/",
        kind: "upload",
        service: "surveys",
        timeout_ms: BUDGET.as_millis() as u64,
        objective_ms: 1_500,
        attempts: 2,
    };
    let config = configuration(12, &["surveys"], &[route]);
    let bounds = Bounds {
        retry_slack: 630,
        grace: GRACE,
    };
    let mut fleet = Fleet::start(record, &["surveys", "surveys"], bounds, &config);
    let runs = Runs::default();
    for (n, machine) in fleet.machines.iter().enumerate() {
        let id = format!("i-{}", n + 1);
        Server::start(machine, &id, record, &runs, |_, _| Plan::Answer(WORK));
    }
    fleet.wait_until_ready();

    // The platform asks once a second. After two misses no new work comes.
    let (outbound, ready) = (fleet.machines[0].outbound(), fleet.machines[0].ready());
    let (misses, done) = (
        Arc::new(AtomicU32::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let probe = {
        let (misses, done) = (misses.clone(), done.clone());
        thread::spawn(move || {
            // The first question comes 0.9 s after the SIGTERM.
            thread::sleep(ms(900));
            while !done.load(Ordering::Acquire) {
                match is_ready(ready) {
                    true => misses.store(0, Ordering::Release),
                    false => drop(misses.fetch_add(1, Ordering::AcqRel)),
                }
                thread::sleep(ms(1_000));
            }
        })
    };
    let started = Instant::now();
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let mut uploads = Vec::new();
    for (n, after) in SENT_AFTER_MS.into_iter().enumerate() {
        let (record, unanswered, misses) = (record.clone(), unanswered.clone(), misses.clone());
        uploads.push(thread::spawn(move || {
            thread::sleep(ms(after).saturating_sub(started.elapsed()));
            if misses.load(Ordering::Acquire) >= 2 {
                return record.line("requester: sends nothing, the node is out");
            }
            let (id, body) = (format!("survey-{n}"), vec![b'p'; 60_000]);
            let sent = Instant::now();
            let line = ("POST", "/surveys/roof");
            if request(&record, outbound, line, &id, BUDGET, &[], &body).is_none() {
                unanswered.lock().unwrap().push((id, after, sent.elapsed()));
            }
        }));
    }
    if trouble {
        fleet.machines[0].stop();
    }
    uploads.into_iter().for_each(|u| drop(u.join()));
    done.store(true, Ordering::Release);
    let _ = probe.join();

    let runs = runs.lock().unwrap();
    let mut broken = Vec::new();
    for (id, after, lasted) in unanswered.lock().unwrap().iter() {
        // The time budget and the route's timeout excuse what has reached them.
        if *lasted >= BUDGET || !runs.iter().any(|r| r.id == *id) {
            continue;
        }
        let cut_after = ms(*after) + *lasted;
        // Excused: a server that is still at work in the last sixth of the grace period.
        if cut_after >= GRACE * 5 / 6 {
            continue;
        }
        broken.push(format!(
            "LOST: {id} was sent {after} ms after the SIGTERM and run by a server, and its connection ended without an answer {} ms after the SIGTERM, {} ms before its time budget",
            cut_after.as_millis(),
            (BUDGET - *lasted).as_millis()
        ));
    }
    broken
}

//! Requests that crash each target that runs them.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use support::{Fleet, http_request};

/// Behaviour of the targets.
const BEHAVIOUR: &str = "{\"service_ms\": 200}";
/// Time within which the fleet must know that a request has crashed its third target.
const KNOWN_MAX: Duration = Duration::from_secs(3);
/// Number of times that such a request may still be sent after that.
const RETRIES_MAX: usize = 3;
/// Number of callers that keep the targets busy.
const SENDERS: usize = 30;
/// Time after which an ended target is started again.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Sends a request through one of the entry nodes. Returns the status and the outcome.
fn send(fleet: &Fleet, entry: usize, path: &str, body: &str) -> (u16, String) {
    let to = fleet.entry_nodes[entry % fleet.entry_nodes.len()].callers;
    let response = http_request(to, "PUT", "guild.example", path, &[], body).expect("a response");
    let outcome = response.header("tarragon-outcome").unwrap_or_default();
    (response.status, outcome)
}

/// Sends a request again and again until `count` targets have ended under it.
fn send_until_ended(fleet: &mut Fleet, path: &str, body: &str, count: usize) -> usize {
    let mut ended = 0;
    let started = Instant::now();
    for entry in 0.. {
        assert!(started.elapsed() < Duration::from_secs(40), "{ended} ended");
        send(fleet, entry, path, body);
        std::thread::sleep(RESTART_DELAY);
        ended += fleet.restart_ended_targets(BEHAVIOUR);
        std::thread::sleep(RESTART_DELAY);
        if ended >= count {
            break;
        }
    }
    ended
}

/// Guards against a request that crashes target after target, because each node sees it for the
/// first time.
#[test]
fn a_request_that_has_crashed_three_targets_is_sent_to_no_more_of_them() {
    let mut fleet = Fleet::start("crash", 3, 5, BEHAVIOUR);
    let ended = send_until_ended(&mut fleet, "/stock/7?crash=1&ms=20", "x", 3);
    assert!(ended >= 3);
    std::thread::sleep(KNOWN_MAX);
    let mut ended_later = 0;
    let mut last = (0, String::new());
    for entry in 0..8 {
        last = send(&fleet, entry, "/stock/7?crash=1&ms=20", "x");
        std::thread::sleep(RESTART_DELAY);
        ended_later += fleet.restart_ended_targets(BEHAVIOUR);
    }
    assert!(ended_later <= RETRIES_MAX, "{ended_later} more ended");
    // The refusal is final, and true.
    assert_eq!(last, (503, "not-run; crashes-targets".to_string()));
    // The same path with another body is another request.
    assert_eq!(send(&fleet, 0, "/stock/7", "y").0, 200);
}

/// Requests that ran beside the crashing one are sent on, and may meet it again at the next target.
/// Each comes only once, so that no answer to another caller tells that it is harmless.
#[test]
fn requests_that_ran_beside_a_crashing_request_are_not_blamed() {
    let mut fleet = Fleet::start("crash-beside", 2, 4, BEHAVIOUR);
    let stop = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..SENDERS)
        .map(|sender| {
            let to = fleet.entry_nodes[sender % 2].callers;
            let stop = stop.clone();
            std::thread::spawn(move || {
                for n in 0.. {
                    let path = format!("/stock/{sender}-{n}");
                    http_request(to, "PUT", "guild.example", &path, &[], "beside");
                    if stop.load(Ordering::Acquire) {
                        return;
                    }
                }
            })
        })
        .collect();
    send_until_ended(&mut fleet, "/stock/99?crash=1&ms=20", "x", 3);
    stop.store(true, Ordering::Release);
    for sender in senders {
        sender.join().expect("the sender ends");
    }
    std::thread::sleep(KNOWN_MAX);
    for node in &fleet.entry_nodes {
        let metrics = http_request(node.admin, "GET", "x", "/metrics", &[], "");
        let metrics = metrics.expect("a response").body;
        let refused = metrics
            .lines()
            .find(|l| l.contains("requests_refused_for_crashes"));
        assert!(refused.is_some_and(|l| l.ends_with(" 1.0")), "{refused:?}");
    }
}

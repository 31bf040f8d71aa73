//! Requests under kills, freezes, cuts, shedding and planned stops, with real processes. The
//! oracle compares the targets' counts by request id with what each caller was told.

mod support;

use std::thread::sleep;
use std::time::Duration;

use support::{Fleet, http_request, load_route, send_raw, spawn_load, wait_until};
use tarragoncourse::load::{CallerResult, LoadReport};

/// The routes of a mix that may run twice, by their place in it.
const STOCK: usize = 1;

fn mix() -> Vec<tarragoncourse::load::LoadRoute> {
    vec![
        load_route("POST", "/orders", 200, 0),
        load_route("GET", "/stock", 0, 3000),
    ]
}

fn check(fleet: &Fleet, report: &LoadReport) {
    let violations = report.violations(&fleet.run_counts(), &[STOCK]);
    assert!(violations.is_empty(), "{violations:?}");
    assert_eq!(
        report.count(CallerResult::Wrong),
        0,
        "an answer belonged to another request"
    );
    println!("reasons: {:?}", report.outcome_counts());
}

fn ms(n: u64) {
    sleep(Duration::from_millis(n));
}

#[test]
fn kills_and_freezes_never_run_an_order_twice() {
    let mut fleet = Fleet::start("kills", 2, 4, "{\"service_ms\": 40}");
    let sending = spawn_load(fleet.caller_addresses(), 300.0, 8, mix());
    ms(1000);
    fleet.nodes[0].process.kill();
    ms(700);
    fleet.nodes[1].process.signal("-STOP");
    ms(1500);
    fleet.nodes[1].process.signal("-CONT");
    ms(500);
    fleet.targets[2].0.signal("-STOP");
    ms(1200);
    fleet.targets[2].0.signal("-CONT");
    fleet.set_behaviour(3, "{\"service_ms\": 40, \"shed\": true}");
    ms(800);
    fleet.set_behaviour(3, "{\"service_ms\": 40}");
    let report = sending.join().expect("load ends");
    check(&fleet, &report);
    let answered = report.count(CallerResult::Answered);
    assert!(
        answered * 10 > report.records.len() * 9,
        "most were answered: {answered}"
    );
}

#[test]
fn a_planned_stop_cuts_nothing() {
    let mut fleet = Fleet::start("stop", 1, 3, "{\"service_ms\": 30}");
    let sending = spawn_load(fleet.caller_addresses(), 150.0, 5, mix());
    ms(800);
    // A long answer through the stopping node itself is finished too.
    let callers = fleet.nodes[0].callers;
    let long = std::thread::spawn(move || {
        let id = [("x-request-id", "long")];
        http_request(
            callers,
            "POST",
            "guild.example",
            "/orders?ms=1500&bytes=200000",
            &id,
            "x",
        )
    });
    ms(300);
    assert_eq!(fleet.nodes[0].process.terminate(), 0, "stopped whole");
    let long = long.join().expect("ends").expect("an answer");
    assert_eq!((long.status, long.body.len()), (200, 200_000));
    assert_eq!(fleet.nodes[1].process.terminate(), 0, "stopped whole");
    let report = sending.join().expect("load ends");
    check(&fleet, &report);
    let told: Vec<_> = report
        .records
        .iter()
        .filter(|r| r.result != CallerResult::Answered)
        .collect();
    assert!(told.is_empty(), "a planned stop was felt: {told:?}");
}

#[test]
fn a_leaving_target_gets_no_new_work() {
    let fleet = Fleet::start("drain", 1, 2, "{\"service_ms\": 2}");
    let settings =
        "kind: target\npath: guild/targets/cutbook-0\nservice: guild/services/cutbook\nslots: 12\n";
    fleet.workdir.write("target.yaml", settings);
    let entry = Some(&fleet.entry_nodes[0]);
    fleet
        .workdir
        .run_cli_ok(entry, &["apply", "--wait", "-f", "target.yaml"]);
    fleet
        .workdir
        .run_cli_ok(entry, &["drain", "guild/targets/cutbook-0"]);
    ms(2000);
    let before = fleet.run_count(0);
    let report = spawn_load(fleet.caller_addresses(), 200.0, 2, mix())
        .join()
        .expect("load ends");
    assert_eq!(report.count(CallerResult::Answered), report.records.len());
    assert_eq!(
        fleet.run_count(0),
        before,
        "the drained target ran something"
    );
    fleet
        .workdir
        .run_cli_ok(entry, &["drain", "--back", "guild/targets/cutbook-0"]);
    let accepts_requests = |before: u32| {
        wait_until("the target takes work again", || {
            http_request(
                fleet.entry_nodes[0].callers,
                "GET",
                "guild.example",
                "/stock",
                &[],
                "",
            );
            fleet.run_count(0) > before
        });
    };
    accepts_requests(before);
    // Settings that are gone drain nothing.
    fleet
        .workdir
        .run_cli_ok(entry, &["drain", "guild/targets/cutbook-0"]);
    fleet
        .workdir
        .run_cli_ok(entry, &["delete", "guild/targets/cutbook-0"]);
    accepts_requests(fleet.run_count(0));
}

#[test]
fn an_answer_cut_short_never_looks_whole() {
    let fleet = Fleet::start("cut", 1, 1, "{\"service_ms\": 1, \"cut\": true}");
    let mix = vec![
        load_route("POST", "/orders", 10, 100_000),
        load_route("GET", "/stock", 0, 100_000),
    ];
    let report = spawn_load(fleet.caller_addresses(), 50.0, 1, mix)
        .join()
        .expect("load ends");
    check(&fleet, &report);
    assert_eq!(
        report.count(CallerResult::Answered),
        0,
        "half an answer was taken for a whole one"
    );
}

#[test]
fn a_dead_target_leaves_the_caller_told_unknown() {
    let mut fleet = Fleet::start("dead", 1, 1, "{\"service_ms\": 3000}");
    let callers = fleet.entry_nodes[0].callers;
    let order = std::thread::spawn(move || {
        let id = [("x-request-id", "order")];
        http_request(callers, "POST", "guild.example", "/orders", &id, "x")
    });
    ms(700);
    fleet.targets[0].0.kill();
    let answer = order.join().expect("ends").expect("an answer");
    assert_eq!(answer.status, 502);
    let outcome = answer.header("tarragon-outcome").expect("an outcome");
    assert!(outcome.starts_with("unknown"), "{outcome}");
    // Nobody is left: the next one is not run, and says so.
    wait_until("the next is not run", || {
        let answer =
            http_request(callers, "POST", "guild.example", "/orders", &[], "x").expect("an answer");
        answer.status == 503 && answer.header("retry-after").is_some()
    });
}

#[test]
fn a_key_runs_once_though_the_platform_loses_answers() {
    let fleet = Fleet::start("keys", 2, 2, "{\"service_ms\": 2}");
    let send = |entry: usize, key: &str| {
        let headers = [("idempotency-key", key), ("x-request-id", key)];
        let to = fleet.entry_nodes[entry].callers;
        http_request(to, "POST", "guild.example", "/deposits", &headers, "x").expect("an answer")
    };
    assert_eq!(send(0, "k1").status, 200);
    wait_until("the outcome is kept", || {
        let again = send(1, "k1");
        again.header("tarragon-replayed").is_some() && again.status == 200
    });
    fleet.set_faults("{\"lose_answers\": 3}");
    let first = send(0, "k2");
    let second = send(1, "k2");
    println!("{} then {}", first.status, second.status);
    // The platform is down: keyed requests are not run, others go on.
    fleet.set_faults("{\"down\": true}");
    let refused = send(0, "k3");
    assert_eq!(refused.status, 503);
    let outcome = refused.header("tarragon-outcome").expect("an outcome");
    assert_eq!(outcome, "not-run; claim-unavailable");
    let other = http_request(
        fleet.entry_nodes[0].callers,
        "POST",
        "guild.example",
        "/orders",
        &[],
        "x",
    );
    assert_eq!(other.expect("an answer").status, 200);
    let runs = fleet.run_counts();
    assert_eq!(runs.get("k1"), Some(&1));
    assert!(runs.get("k2").is_none_or(|n| *n == 1));
    assert_eq!(runs.get("k3"), None);
}

#[test]
fn malformed_requests_are_refused_and_harm_nobody() {
    let fleet = Fleet::start("malformed", 1, 1, "{\"service_ms\": 1}");
    let to = fleet.entry_nodes[0].callers;
    let long = format!(
        "GET /stock HTTP/1.1\r\nhost: guild.example\r\nx: {}\r\n\r\n",
        "y".repeat(200_000)
    );
    let many = format!(
        "GET /stock HTTP/1.1\r\nhost: guild.example\r\n{}\r\n",
        "a: b\r\n".repeat(500)
    );
    let bad: [&[u8]; 6] = [b"POST /orders HTTP/1.1\r\nhost: guild.example\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd", b"POST /orders HTTP/1.1\r\nhost: guild.example\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n", b"POST /orders HTTP/1.1\r\nhost: guild.example\r\ncontent-length: -1\r\n\r\n", b"\x00\x01\x02\x03\r\n\r\n", long.as_bytes(), many.as_bytes()];
    for bytes in bad {
        // Either a clear refusal or a closed connection, never an answer from the target.
        let answer = send_raw(to, bytes).unwrap_or_default();
        let status = answer.split(' ').nth(1).unwrap_or("closed");
        assert!(status == "closed" || status.starts_with('4'), "{answer:?}");
    }
    // Both framings at once: the length is ignored and removed, so nothing is smuggled.
    let both = b"POST /orders HTTP/1.1\r\nhost: guild.example\r\nx-request-id: both\r\ncontent-length: 6\r\n\
        transfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\nGET /orders HTTP/1.1\r\nx-request-id: smuggled\r\n\r\n";
    let _ = send_raw(to, both);
    assert_eq!(fleet.run_counts().get("smuggled"), None);
    // Callers cannot set what only nodes say.
    let forged = [
        ("tarragon-attempt", "x"),
        ("tarragon-outcome", "answered"),
        ("x-request-id", "f"),
    ];
    let answer =
        http_request(to, "GET", "guild.example", "/stock", &forged, "").expect("an answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, "f;"));
}

#[test]
fn deadlines_reach_the_target_and_gone_callers_free_their_slots() {
    let fleet = Fleet::start("deadline", 1, 1, "{\"service_ms\": 2, \"slots\": 12}");
    let to = fleet.entry_nodes[0].callers;
    let headers = [("tarragon-deadline-ms", "300"), ("x-request-id", "slow")];
    let began = std::time::Instant::now();
    let answer = http_request(
        to,
        "POST",
        "guild.example",
        "/orders?ms=5000",
        &headers,
        "x",
    )
    .expect("an answer");
    assert_eq!(answer.status, 504);
    assert!(
        began.elapsed() < Duration::from_millis(1500),
        "the deadline was kept"
    );
    // Twelve callers fill the slots and go away; the next is answered at once.
    for n in 0..12 {
        let mut stream = std::net::TcpStream::connect(to).expect("connects");
        let text = format!(
            "GET /stock?ms=20000 HTTP/1.1\r\nhost: guild.example\r\nx-request-id: gone-{n}\r\n\r\n"
        );
        std::io::Write::write_all(&mut stream, text.as_bytes()).expect("writes");
        ms(20);
    }
    wait_until("a slot is free", || {
        http_request(
            to,
            "GET",
            "guild.example",
            "/stock",
            &[("tarragon-deadline-ms", "500")],
            "",
        )
        .is_some_and(|a| a.status == 200)
    });
}

#[test]
fn slow_senders_and_readers_are_cut_and_harm_nobody() {
    use std::io::{Read, Write};
    let fleet = Fleet::start("slow", 1, 1, "{\"service_ms\": 1, \"slots\": 12}");
    let to = fleet.entry_nodes[0].callers;
    let mut sender = std::net::TcpStream::connect(to).expect("connects");
    sender
        .write_all(b"GET /stock HTTP/1.1\r\nhost: gui")
        .expect("writes");
    // Twelve readers take every slot with answers that they never read.
    let readers: Vec<_> = (0..12)
        .map(|n| {
            let mut reader = std::net::TcpStream::connect(to).expect("connects");
            let text = format!("GET /stock?bytes=50000000 HTTP/1.1\r\nhost: guild.example\r\nx-request-id: r{n}\r\n\r\n");
            reader.write_all(text.as_bytes()).expect("writes");
            reader
        })
        .collect();
    ms(500);
    // Their slots are free once the deadline of three seconds has passed.
    wait_until("others are answered", || {
        http_request(to, "GET", "guild.example", "/stock", &[], "").is_some_and(|a| a.status == 200)
    });
    drop(readers);
    let mut rest = Vec::new();
    sender
        .set_read_timeout(Some(Duration::from_secs(15)))
        .expect("a time-out");
    sender
        .read_to_end(&mut rest)
        .expect("the connection is closed within its bound");
}

//! Requests while the network links between nodes and their targets are interrupted, in one or both
//! directions.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use std::thread::sleep;
use std::time::Duration;

use proxy::{CLOSE, DROP_REQUESTS, DROP_RESPONSES, FORWARD, Proxy};
use support::{FLEET_SETTINGS, Workdir, http_request, load_route, spawn_load, wait_until};
use tarragoncourse::load::CallerResult;

#[test]
fn no_order_runs_twice_while_links_are_interrupted() {
    let mut workdir = Workdir::new("links");
    let _platform = workdir.start_platform();
    let targets: Vec<_> = (0..3)
        .map(|_| workdir.start_target("{\"service_ms\": 30}"))
        .collect();
    let proxies: Vec<_> = targets
        .iter()
        .map(|(_, address)| Proxy::start(*address))
        .collect();
    let nodes: Vec<_> = (0..3)
        .map(|n| {
            let target = Some(("guild/services/cutbook", proxies[n].address));
            workdir.start_node(&format!("cutbook-{n}"), "hamilton", target)
        })
        .collect();
    let entry = workdir.start_node("entry", "hamilton", None);
    workdir.wait_until_joined(&[&nodes[0], &nodes[1], &nodes[2], &entry]);
    workdir.write("fleet.yaml", FLEET_SETTINGS);
    workdir.run_cli_ok(Some(&entry), &["apply", "--wait", "-f", "fleet.yaml"]);
    wait_until("every target accepts requests", || {
        let response = http_request(entry.admin, "GET", "x", "/v1/status", &[], "");
        response.is_some_and(|r| r.body.contains("\"targets\":3"))
    });

    let mix = vec![
        load_route("POST", "/orders", 200, 0),
        load_route("GET", "/stock", 0, 2000),
    ];
    let load_thread = spawn_load(vec![entry.callers], 200.0, 8, mix);
    let faults = [
        (0, CLOSE),
        (1, DROP_RESPONSES),
        (2, DROP_REQUESTS),
        (0, DROP_RESPONSES),
        (1, CLOSE),
    ];
    for (proxy, mode) in faults {
        sleep(Duration::from_millis(700));
        proxies[proxy].set_mode(mode);
        sleep(Duration::from_millis(600));
        // Close the connections on which bytes were dropped, so that none resumes with a gap.
        proxies[proxy].set_mode(CLOSE);
        sleep(Duration::from_millis(100));
        proxies[proxy].set_mode(FORWARD);
    }
    let report = load_thread.join().expect("the load thread completes");
    let mut run_counts = std::collections::HashMap::new();
    for (_, address) in &targets {
        let response =
            http_request(*address, "GET", "x", "/_/runs", &[], "").expect("the target responds");
        let counts: std::collections::HashMap<String, u32> =
            serde_json::from_str(&response.body).expect("parse the run counts");
        for (id, count) in counts {
            *run_counts.entry(id).or_insert(0) += count;
        }
    }
    println!("{:?}", report.outcome_counts());
    // Requests of the second route, `/stock`, may run more than once.
    let violations = report.violations(&run_counts, &[1]);
    assert!(violations.is_empty(), "{violations:?}");
    assert_eq!(
        report.count(CallerResult::Wrong),
        0,
        "a response belonged to another request or was truncated"
    );
    assert!(
        report.count(CallerResult::Unknown) > 0,
        "the interruptions affected no request"
    );
    let answered = report.count(CallerResult::Answered);
    assert!(
        answered * 10 > report.records.len() * 8,
        "too few requests were answered: {answered}"
    );
}

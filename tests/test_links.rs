//! Links that are cut, wholly or in one direction, between a node and its target.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use std::thread::sleep;
use std::time::Duration;

use proxy::{CLOSE, DROP_REQUESTS, DROP_RESPONSES, PASS, Proxy};
use support::{FLEET_SETTINGS, Workdir, http_request, load_route, spawn_load, wait_until};
use tarragoncourse::load::CallerResult;

#[test]
fn cut_and_half_cut_links_never_run_an_order_twice() {
    let mut w = Workdir::new("links");
    let _platform = w.start_platform();
    let targets: Vec<_> = (0..3)
        .map(|_| w.start_target("{\"service_ms\": 30}"))
        .collect();
    let proxies: Vec<_> = targets.iter().map(|(_, at)| Proxy::start(*at)).collect();
    let nodes: Vec<_> = (0..3)
        .map(|n| {
            let target = Some(("guild/services/cutbook", proxies[n].address));
            w.start_node(&format!("cutbook-{n}"), "hamilton", target)
        })
        .collect();
    let entry = w.start_node("entry", "hamilton", None);
    w.wait_until_joined(&[&nodes[0], &nodes[1], &nodes[2], &entry]);
    w.write("fleet.yaml", FLEET_SETTINGS);
    w.run_cli_ok(Some(&entry), &["apply", "--wait", "-f", "fleet.yaml"]);
    wait_until("every target takes work", || {
        let page = http_request(entry.admin, "GET", "x", "/v1/status", &[], "");
        page.is_some_and(|p| p.body.contains("\"targets\":3"))
    });

    let mix = vec![
        load_route("POST", "/orders", 200, 0),
        load_route("GET", "/stock", 0, 2000),
    ];
    let sending = spawn_load(vec![entry.callers], 200.0, 8, mix);
    let faults = [
        (0, CLOSE),
        (1, DROP_RESPONSES),
        (2, DROP_REQUESTS),
        (0, DROP_RESPONSES),
        (1, CLOSE),
    ];
    for (at, mode) in faults {
        sleep(Duration::from_millis(700));
        proxies[at].set_mode(mode);
        sleep(Duration::from_millis(600));
        // What was swallowed stays swallowed: its connections end.
        proxies[at].set_mode(CLOSE);
        sleep(Duration::from_millis(100));
        proxies[at].set_mode(PASS);
    }
    let report = sending.join().expect("load ends");
    let mut runs = std::collections::HashMap::new();
    for (_, at) in &targets {
        let page = http_request(*at, "GET", "x", "/_/runs", &[], "").expect("the target answers");
        let counts: std::collections::HashMap<String, u32> =
            serde_json::from_str(&page.body).expect("counts");
        for (id, count) in counts {
            *runs.entry(id).or_insert(0) += count;
        }
    }
    println!("{:?}", report.outcome_counts());
    let violations = report.violations(&runs, &[1]);
    assert!(violations.is_empty(), "{violations:?}");
    assert_eq!(
        report.count(CallerResult::Wrong),
        0,
        "an answer belonged to another request"
    );
    assert!(
        report.count(CallerResult::Unknown) > 0,
        "the cuts were felt"
    );
    let answered = report.count(CallerResult::Answered);
    assert!(
        answered * 10 > report.records.len() * 8,
        "most were answered: {answered}"
    );
}

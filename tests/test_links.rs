//! Links that are cut, wholly or in one direction, between a node and its target.

#[path = "support/proxy.rs"]
mod proxy;
mod support;

use std::thread::sleep;
use std::time::Duration;

use proxy::{CUT, NO_ANSWERS, NO_REQUESTS, PASS, Proxy};
use support::{FLEET, Workdir, http, load, route, until};
use tarragoncourse::load::CallerResult;

#[test]
fn cut_and_half_cut_links_never_run_an_order_twice() {
    let mut w = Workdir::new("links");
    let _platform = w.platform();
    let targets: Vec<_> = (0..3).map(|_| w.target("{\"service_ms\": 30}")).collect();
    let proxies: Vec<_> = targets.iter().map(|(_, at)| Proxy::to(*at)).collect();
    let nodes: Vec<_> = (0..3)
        .map(|n| {
            let target = Some(("guild/services/cutbook", proxies[n].address));
            w.node(&format!("cutbook-{n}"), "hamilton", target)
        })
        .collect();
    let entry = w.node("entry", "hamilton", None);
    w.until_joined(&[&nodes[0], &nodes[1], &nodes[2], &entry]);
    w.write("fleet.yaml", FLEET);
    w.ok(Some(&entry), &["apply", "--wait", "-f", "fleet.yaml"]);
    until("every target takes work", || {
        let page = http(entry.admin, "GET", "x", "/v1/status", &[], "");
        page.is_some_and(|p| p.body.contains("\"targets\":3"))
    });

    let mix = vec![
        route("POST", "/orders", 200, 0),
        route("GET", "/stock", 0, 2000),
    ];
    let sending = load(vec![entry.callers], 200.0, 8, mix);
    let faults = [
        (0, CUT),
        (1, NO_ANSWERS),
        (2, NO_REQUESTS),
        (0, NO_ANSWERS),
        (1, CUT),
    ];
    for (at, mode) in faults {
        sleep(Duration::from_millis(700));
        proxies[at].set(mode);
        sleep(Duration::from_millis(600));
        // What was swallowed stays swallowed: its connections end.
        proxies[at].set(CUT);
        sleep(Duration::from_millis(100));
        proxies[at].set(PASS);
    }
    let report = sending.join().expect("load ends");
    let mut runs = std::collections::HashMap::new();
    for (_, at) in &targets {
        let page = http(*at, "GET", "x", "/_/runs", &[], "").expect("the target answers");
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

//! Tests of the soak test itself: each of its checks fails on an injected fault, schedules contain
//! every kind of event, and short runs of the real programs have no violations.

use std::collections::HashSet;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use tarragoncourse::load::CallerResult;
use tarragoncourse::soak::check::{
    AcceptedChange, CHECK_NAMES, ConfigSample, Observations, PlannedStop, RequestRecord, violations,
};
use tarragoncourse::soak::schedule::{Event, Fault, generate_schedule};
use tarragoncourse::standin::target::RatePeriod;
use tokio::time::Instant;

const MS_10: Duration = Duration::from_millis(10);

fn request_record(id: &str, result: CallerResult) -> RequestRecord {
    let now = Instant::now();
    RequestRecord {
        id: id.to_string(),
        node: 0,
        idempotent: false,
        result,
        abandoned: false,
        started: now,
        ended: now + Duration::from_millis(10),
    }
}

fn config_sample(incarnation: usize, version: u64, paths: &[&str]) -> ConfigSample {
    ConfigSample {
        node: 0,
        incarnation,
        version: Some(version),
        paths: paths.iter().map(|p| p.to_string()).collect::<HashSet<_>>(),
    }
}

/// Returns the observations of a fleet of one node that works correctly.
fn healthy_observations() -> Observations {
    let mut observations = Observations {
        node_count: 1,
        ..Observations::default()
    };
    let ids: Vec<String> = (0..100).map(|n| format!("a{n}")).collect();
    observations.requests = ids
        .iter()
        .map(|id| request_record(id, CallerResult::Answered))
        .collect();
    observations.run_counts = ids.into_iter().map(|id| (id, 1)).collect();
    observations.accepted = vec![AcceptedChange {
        version: 2,
        path: "soak/routes/change-1".to_string(),
    }];
    observations.samples = vec![
        config_sample(1, 1, &[]),
        config_sample(1, 2, &["soak/routes/change-1"]),
    ];
    observations.final_samples = vec![config_sample(1, 2, &["soak/routes/change-1"])];
    observations
}

/// Injects a fault into correct observations and returns the names of the checks that fail.
fn violated_checks(inject: impl FnOnce(&mut Observations)) -> Vec<&'static str> {
    let mut observations = healthy_observations();
    inject(&mut observations);
    let mut names: Vec<_> = violations(&observations).iter().map(|v| v.check).collect();
    names.dedup();
    names
}

#[test]
fn each_check_fails_on_an_injected_fault() {
    assert!(violated_checks(|_| {}).is_empty());
    let mut violated = Vec::new();
    let mut assert_violated = |check: usize, inject: &dyn Fn(&mut Observations)| {
        assert_eq!(violated_checks(inject), [CHECK_NAMES[check]]);
        violated.push(CHECK_NAMES[check]);
    };
    assert_violated(0, &|o| {
        o.requests.push(request_record("c", CallerResult::Wrong))
    });
    assert_violated(1, &|o| {
        o.run_counts.insert("a7".to_string(), 2);
    });
    assert_violated(2, &|o| {
        o.requests.push(request_record("c", CallerResult::NotRun));
        o.run_counts.insert("c".to_string(), 1);
    });
    assert_violated(3, &|o| {
        o.requests.push(request_record("c", CallerResult::Answered))
    });
    assert_violated(4, &|o| {
        let lookup = RequestRecord {
            idempotent: true,
            ..request_record("c", CallerResult::Answered)
        };
        o.requests.push(lookup);
        o.run_counts.insert("c".to_string(), 40);
    });
    assert_violated(5, &|o| o.samples.push(config_sample(1, 1, &[])));
    assert_violated(6, &|o| o.final_samples = vec![config_sample(1, 1, &[])]);
    assert_violated(6, &|o| o.final_samples.clear());
    let planned_stop = |exit_code| {
        let requested = Instant::now();
        PlannedStop {
            node: 0,
            requested,
            exited: requested + Duration::from_secs(2),
            exit_code,
        }
    };
    assert_violated(7, &|o| o.stops.push(planned_stop(Some(3))));
    assert_violated(7, &|o| {
        let stop = planned_stop(Some(0));
        let incomplete = RequestRecord {
            started: stop.requested - Duration::from_secs(9),
            ended: stop.requested + Duration::from_secs(1),
            ..request_record("c", CallerResult::Incomplete)
        };
        o.stops.push(stop);
        o.requests.push(incomplete);
    });
    assert_violated(8, &|o| {
        let unknown = (0..10).map(|n| request_record(&format!("c{n}"), CallerResult::Unknown));
        o.requests.extend(unknown);
    });
    assert_violated(8, &|o| o.requests.clear());
    assert_violated(9, &|o| o.unfinished = 1);
    assert_violated(10, &|o| {
        let named_at = Instant::now();
        let arrivals = (0..36u32).map(|n| named_at + Duration::from_millis(600) + n * MS_10);
        o.rates.push(RatePeriod {
            rate: 20.0,
            named_at: Some(named_at),
            arrivals: arrivals.collect(),
        });
    });
    violated.dedup();
    assert_eq!(violated, CHECK_NAMES);
}

#[test]
fn a_restarted_node_may_start_from_an_older_version() {
    assert!(violated_checks(|o| o.samples.push(config_sample(2, 1, &[]))).is_empty());
}

#[test]
fn schedules_contain_every_kind_of_event() {
    let duration = Duration::from_secs(20);
    let events: Vec<_> = (0..50)
        .flat_map(|seed| generate_schedule(seed, 6, duration))
        .collect();
    let kinds: HashSet<_> = events.iter().map(|e| e.event.name()).collect();
    assert_eq!(kinds.len(), 11, "{kinds:?}");
    let stops = events
        .iter()
        .filter(|e| matches!(e.event, Event::Fault(Fault::Stop(_))));
    assert!(stops.count() > 50);
}

/// Runs each seed in `tests/soak-seeds.txt`. The file keeps every seed that ever failed, with the
/// cause.
#[test]
fn a_short_run_of_each_listed_seed_has_no_violations() {
    let dir = std::env::temp_dir().join(format!("tarragon-soak-{}", std::process::id()));
    let tarragond = PathBuf::from(env!("CARGO_BIN_EXE_tarragond"));
    let seed_file = include_str!("soak-seeds.txt");
    let seeds = seed_file.lines().filter(|l| !l.starts_with('#'));
    for seed in seeds.filter_map(|l| l.split_whitespace().next()) {
        let output = Command::new(env!("CARGO_BIN_EXE_tarragon"))
            .args([
                "soak", "--size", "4", "--time", "8s", "--seed", seed, "--dir",
            ])
            .arg(&dir)
            .arg("--programs")
            .arg(tarragond.parent().expect("the binary is in a directory"))
            .output()
            .expect("the soak test starts");
        let stdout = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{stdout}");
        assert!(stdout.contains("1 runs, 0 broken"), "{stdout}");
    }
}

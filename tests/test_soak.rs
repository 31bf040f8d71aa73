//! The soak: each of its checks goes red on a planted fault, a schedule follows its seed, and a
//! short run of the real programs keeps every promise.

use std::collections::HashSet;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use tarragoncourse::load::CallerResult;
use tarragoncourse::soak::check::{
    AcceptedChange, CHECK_NAMES, ConfigSample, Observations, PlannedStop, RequestRecord, violations,
};
use tarragoncourse::soak::schedule::{Event, Fault, generate_schedule};
use tokio::time::Instant;

fn sent(id: &str, result: CallerResult) -> RequestRecord {
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

fn held(incarnation: usize, version: u64, paths: &[&str]) -> ConfigSample {
    ConfigSample {
        node: 0,
        incarnation,
        version: Some(version),
        paths: paths.iter().map(|p| p.to_string()).collect::<HashSet<_>>(),
    }
}

/// What a fleet of one node shows when all is well.
fn sound() -> Observations {
    let mut seen = Observations {
        node_count: 1,
        ..Observations::default()
    };
    let ids: Vec<String> = (0..100).map(|n| format!("a{n}")).collect();
    seen.requests = ids
        .iter()
        .map(|id| sent(id, CallerResult::Answered))
        .collect();
    seen.run_counts = ids.into_iter().map(|id| (id, 1)).collect();
    seen.accepted = vec![AcceptedChange {
        version: 2,
        path: "soak/routes/change-1".to_string(),
    }];
    seen.samples = vec![held(1, 1, &[]), held(1, 2, &["soak/routes/change-1"])];
    seen.final_samples = vec![held(1, 2, &["soak/routes/change-1"])];
    seen
}

/// The names of the checks that a planted fault turns red.
fn red(plant: impl FnOnce(&mut Observations)) -> Vec<&'static str> {
    let mut seen = sound();
    plant(&mut seen);
    let mut names: Vec<_> = violations(&seen).iter().map(|v| v.check).collect();
    names.dedup();
    names
}

#[test]
fn each_check_goes_red_on_a_planted_fault() {
    assert!(red(|_| {}).is_empty());
    let mut caught = Vec::new();
    let mut expect = |at: usize, plant: &dyn Fn(&mut Observations)| {
        assert_eq!(red(plant), [CHECK_NAMES[at]]);
        caught.push(CHECK_NAMES[at]);
    };
    expect(0, &|s| s.requests.push(sent("c", CallerResult::Wrong)));
    expect(1, &|s| {
        s.run_counts.insert("a7".to_string(), 2);
    });
    expect(2, &|s| {
        s.requests.push(sent("c", CallerResult::NotRun));
        s.run_counts.insert("c".to_string(), 1);
    });
    expect(3, &|s| s.requests.push(sent("c", CallerResult::Answered)));
    expect(4, &|s| {
        let lookup = RequestRecord {
            idempotent: true,
            ..sent("c", CallerResult::Answered)
        };
        s.requests.push(lookup);
        s.run_counts.insert("c".to_string(), 40);
    });
    expect(5, &|s| s.samples.push(held(1, 1, &[])));
    expect(6, &|s| s.final_samples = vec![held(1, 1, &[])]);
    expect(6, &|s| s.final_samples.clear());
    let stopped = |exit_code| {
        let requested = Instant::now();
        PlannedStop {
            node: 0,
            requested,
            exited: requested + Duration::from_secs(2),
            exit_code,
        }
    };
    expect(7, &|s| s.stops.push(stopped(Some(3))));
    expect(7, &|s| {
        let stop = stopped(Some(0));
        let cut = RequestRecord {
            started: stop.requested - Duration::from_secs(9),
            ended: stop.requested + Duration::from_secs(1),
            ..sent("c", CallerResult::Incomplete)
        };
        s.stops.push(stop);
        s.requests.push(cut);
    });
    expect(8, &|s| {
        let unknown = (0..10).map(|n| sent(&format!("c{n}"), CallerResult::Unknown));
        s.requests.extend(unknown);
    });
    expect(8, &|s| s.requests.clear());
    expect(9, &|s| s.unfinished = 1);
    caught.dedup();
    assert_eq!(caught, CHECK_NAMES);
}

#[test]
fn another_life_of_a_node_may_start_from_an_older_version() {
    assert!(red(|s| s.samples.push(held(2, 1, &[]))).is_empty());
}

#[test]
fn a_schedule_holds_every_kind_of_trouble() {
    let time = Duration::from_secs(20);
    let planned: Vec<_> = (0..50)
        .flat_map(|seed| generate_schedule(seed, 6, time))
        .collect();
    let kinds: HashSet<_> = planned.iter().map(|p| p.event.name()).collect();
    assert_eq!(kinds.len(), 10, "{kinds:?}");
    let stops = planned
        .iter()
        .filter(|p| matches!(p.event, Event::Fault(Fault::Stop(_))));
    assert!(stops.count() > 50);
}

/// Seeds that once failed, with the cause of each, stand in `tests/soak-seeds.txt`; they are run here.
#[test]
fn a_short_run_keeps_every_promise() {
    let dir = std::env::temp_dir().join(format!("tarragon-soak-{}", std::process::id()));
    let programs = PathBuf::from(env!("CARGO_BIN_EXE_tarragond"));
    let list = include_str!("soak-seeds.txt");
    let seeds = list.lines().filter(|l| !l.starts_with('#'));
    for seed in seeds.filter_map(|l| l.split_whitespace().next()) {
        let ran = Command::new(env!("CARGO_BIN_EXE_tarragon"))
            .args([
                "soak", "--size", "4", "--time", "8s", "--seed", seed, "--dir",
            ])
            .arg(&dir)
            .arg("--programs")
            .arg(programs.parent().expect("a directory"))
            .output()
            .expect("the soak runs");
        let said = String::from_utf8_lossy(&ran.stdout);
        assert!(ran.status.success(), "{said}");
        assert!(said.contains("1 runs, 0 broken"), "{said}");
    }
}

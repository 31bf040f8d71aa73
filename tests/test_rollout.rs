//! Rolling out a version: comparison, exposure bound, end within the duration, and loss of the
//! deciding node or of the store. A model of a service plays the gates and ingresses.

#[path = "support/rollout_fleet.rs"]
mod rollout_fleet;

#[path = "support/rollout_model.rs"]
mod rollout_model;

#[path = "support/fuzz.rs"]
mod fuzz;

use std::net::SocketAddr;
use std::time::Duration;

use fuzz::{chance, number_below};
use rollout_fleet::{DURATION, RolloutFleet};
use rollout_model::{Behaviour, Ended, Model, Scenario};
use tarragoncourse::coordination::rollout::counts::{
    AnswerCounts, RouteKey, Side, TIME_BUCKETS, TimeHistogram, WindowNumber,
};
use tarragoncourse::coordination::rollout::message::{
    CHOSEN_MAX, Directive, GateReport, Mode, ROUTES_PER_REPORT, RolloutId, Share,
};
use tarragoncourse::coordination::rollout::{Phase, RolloutOrder, RolloutStatus};
use tarragoncourse::experiment::fleet::Fleet;
use tarragoncourse::protocol::datagram::{
    DATAGRAM_MAX_BYTES, Datagram, DatagramOpener, DatagramSealer,
};
use tarragoncourse::protocol::key::FleetKey;
use tarragoncourse::protocol::wire_member::WireMemberRecord;
use tarragoncourse::protocol::wire_rollout::{encode_order, encode_status, order_key, status_key};
use tarragoncourse::standin::target::Behaviour as TargetBehaviour;
use tarragoncourse::state::id::{Incarnation, Path};
use tarragoncourse::state::member::{Health, MemberRecord, TargetRecord, TargetVersion};
use tarragoncourse::state::revision::Revision;
use tarragoncourse::transport::platform::Platform;

fn replay(scenario: Scenario) -> Ended {
    Model::new(scenario).run()
}

/// A bad version is rolled back, gets no more than the bound, and no request later than 5 s after
/// its 50th bad answer.
fn assert_stopped(name: &str, ended: &Ended) {
    assert_eq!(ended.status, RolloutStatus::RolledBack, "{name}: {ended:?}");
    assert!(ended.most_exposed <= 0.0, "{name}: {ended:?}");
    let last = ended.last_new_after_50_bad;
    assert!(last <= Duration::from_secs(5), "{name}: {ended:?}");
    assert_eq!(ended.new_after_end, 0, "{name}: {ended:?}");
}

fn assert_completed(name: &str, ended: &Ended, scenario: &Scenario) {
    assert_eq!(ended.status, RolloutStatus::Completed, "{name}: {ended:?}");
    assert!(ended.at <= scenario.duration, "{name}: {ended:?}");
    assert_eq!(ended.old_at_end, 0, "{name}: {ended:?}");
    assert_eq!(ended.old_after_end, 0, "{name}: {ended:?}");
}

/// Guards against good versions that are condemned by chance, or completed too late, from two
/// requests per second to a thousand.
#[test]
fn a_good_version_is_completed_in_time() {
    for rate in [0, 2, 20, 200, 1000] {
        for seed in 0..6 {
            let scenario = Scenario {
                rate,
                seed,
                ..Scenario::default()
            };
            let ended = replay(scenario.clone());
            assert_completed(&format!("rate {rate} seed {seed}"), &ended, &scenario);
        }
    }
}

/// Guards against bad versions that pass, or get too many requests, whatever makes them bad.
#[test]
fn a_bad_version_is_stopped_within_the_bounds() {
    let late = Duration::from_secs(60);
    let cases = [
        ("at once", Behaviour::Fails(1.0), Duration::ZERO),
        ("a third fails", Behaviour::Fails(0.33), Duration::ZERO),
        ("a tenth fails", Behaviour::Fails(0.1), Duration::ZERO),
        ("slow", Behaviour::Slow(3.0), Duration::ZERO),
        ("never answers", Behaviour::Hangs, Duration::ZERO),
        ("late", Behaviour::Fails(0.5), late),
        ("slow late", Behaviour::Slow(4.0), late),
        (
            "one route fails",
            Behaviour::FailsOnRoute(0.5),
            Duration::ZERO,
        ),
        (
            "one route slow",
            Behaviour::SlowOnRoute(4.0),
            Duration::ZERO,
        ),
        (
            "slow under load",
            Behaviour::SlowUnderLoad(4.0),
            Duration::ZERO,
        ),
    ];
    for (name, behaviour, bad_from) in cases {
        for rate in [40, 600] {
            for seed in 0..3 {
                let ended = replay(Scenario {
                    rate,
                    seed,
                    behaviour,
                    bad_from,
                    ..Scenario::default()
                });
                assert_stopped(&format!("{name} rate {rate} seed {seed}"), &ended);
            }
        }
    }
}

/// Guards against condemning the new version for trouble that both versions have.
#[test]
fn trouble_of_the_whole_service_condemns_neither_version() {
    for (failing, slower) in [(0.6, 1.0), (0.0, 8.0), (1.0, 1.0)] {
        for seed in 0..4 {
            let scenario = Scenario {
                seed,
                trouble: Some((Duration::from_millis(30_300), failing, slower)),
                ..Scenario::default()
            };
            let ended = replay(scenario.clone());
            assert_completed(
                &format!("{failing} {slower} seed {seed}"),
                &ended,
                &scenario,
            );
        }
    }
}

/// Guards against two different ends, against an end that nobody announces, and against requests
/// beyond the bound when the deciding node is lost between its two writes or at any other time.
#[test]
fn another_node_continues_from_the_store() {
    for (behaviour, lost_in) in [
        (Behaviour::Good, Phase::Moving),
        (Behaviour::Fails(0.8), Phase::Stopped),
    ] {
        let scenario = Scenario {
            behaviour,
            lost_after_storing: Some(lost_in),
            ..Scenario::default()
        };
        let ended = replay(scenario.clone());
        assert!(ended.deciders > 1, "{ended:?}");
        match behaviour {
            Behaviour::Good => assert_completed("good", &ended, &scenario),
            _ => assert_stopped("bad", &ended),
        }
    }
}

/// Guards against a step forward that no other node would know of.
#[test]
fn without_the_store_there_is_no_step_forward() {
    let scenario = Scenario {
        store_away: Some((Duration::from_secs(70), Duration::from_secs(400))),
        ..Scenario::default()
    };
    let mut model = Model::new(scenario);
    let ended = model.run_until(Duration::from_secs(300));
    assert_eq!(ended.status, RolloutStatus::Running, "{ended:?}");
    assert_eq!(model.phase_in_store(), Some(Phase::Comparing));
    assert_eq!(model.started_since(Side::New, Duration::from_secs(75)), 0);
    let ended = model.run();
    assert_eq!(ended.status, RolloutStatus::Completed, "{ended:?}");
}

/// Random services, faults and losses: a good version is completed in time unless the store was
/// away, and a clearly bad one never is and never exceeds its bounds.
#[test]
fn random_services_keep_the_bounds() {
    fuzz::run("rollout", 60, 256, |u, counts| {
        let bad = chance(u, 50);
        let rate = [3, 30, 300][number_below(u, 3)];
        // With three requests per second, a version that is bad for less than about a minute gives
        // too few bad answers to be told from a good one.
        let from_s = number_below(u, if rate == 3 { 30 } else { 60 }) as u64;
        let scenario = Scenario {
            rate,
            seed: number_below(u, 1 << 16) as u64,
            old_targets: 1 + number_below(u, 6),
            new_targets: 1 + number_below(u, 6),
            routes: 1 + number_below(u, 6),
            behaviour: match (bad, number_below(u, 3)) {
                (false, _) => Behaviour::Good,
                (true, 0) => Behaviour::Fails(0.5 + number_below(u, 50) as f64 / 100.0),
                (true, 1) => Behaviour::Slow(3.0 + number_below(u, 9) as f64),
                (true, _) => Behaviour::Hangs,
            },
            bad_from: Duration::from_secs(from_s),
            lost_reports: number_below(u, 20) as f64 / 100.0,
            lost_directives: number_below(u, 20) as f64 / 100.0,
            decider_lost_at: chance(u, 30).then(|| Duration::from_secs(5 + from_s)),
            ..Scenario::default()
        };
        let ended = replay(scenario.clone());
        let name = format!("{scenario:?}");
        match bad {
            false => assert_completed(&name, &ended, &scenario),
            true => assert_stopped(&name, &ended),
        }
        counts.add(if bad { "stopped" } else { "completed" });
    });
}

/// Guards against messages that are lost because they do not fit into a datagram.
#[test]
fn the_largest_messages_fit_into_a_datagram() {
    let peer = SocketAddr::from(([0xfd00, 0, 0, 0, 0, 0, 0, 1], 7000));
    let times = TimeHistogram([60_000; TIME_BUCKETS]);
    let counts = AnswerCounts {
        failures: 60_000,
        times,
    };
    let report = GateReport {
        rollout: RolloutId(u64::MAX),
        side: Side::New,
        incarnation: Incarnation(u64::MAX),
        window: WindowNumber(u64::MAX),
        started: u32::MAX.into(),
        drained: true,
        routes: vec![(RouteKey(u32::MAX), counts); ROUTES_PER_REPORT],
    };
    let directive = Directive {
        rollout: RolloutId(u64::MAX),
        service: Path::new(&format!("guild/services/{}", "s".repeat(150))).unwrap(),
        version: TargetVersion("v".repeat(100).into()),
        issued: WindowNumber(u64::MAX),
        mode: Mode::Compare {
            share: Share(10_000),
            targets: vec![peer; CHOSEN_MAX].into(),
            allowance: u32::MAX,
        },
    };
    let key = FleetKey::derive("a key of the tests");
    let mut sealer = DatagramSealer::new(key.clone(), peer, Incarnation(u64::MAX));
    let mut opener = DatagramOpener::new(key);
    for datagram in [
        Datagram::RolloutReport(report),
        Datagram::RolloutDirective {
            decider: peer,
            directive,
        },
    ] {
        let bytes = sealer.seal(&datagram);
        assert!(bytes.len() <= DATAGRAM_MAX_BYTES, "{} bytes", bytes.len());
        assert_eq!(opener.open(&bytes), Ok((peer, datagram)));
    }
}

/// Guards against changed bytes of records in fleets without roll-outs, and against lost versions.
#[test]
fn a_version_is_on_the_wire_only_if_it_is_published() {
    let record = |version: Option<&str>| MemberRecord {
        peer: SocketAddr::from(([10, 0, 0, 1], 7000)),
        gate_port: 7001,
        incarnation: Incarnation(5),
        sequence: 3,
        zone: "z".into(),
        health: Health::Ready,
        watcher: false,
        link_mbit: 10,
        target: Some(TargetRecord {
            instance: "i".into(),
            service: Path::new("g/s").unwrap(),
            slots: 16,
            last_report: (9, 7),
            leaving: false,
            version: version.map(|v| TargetVersion(v.into())),
        }),
    };
    let encode = |r: &MemberRecord| postcard::to_stdvec(&WireMemberRecord::from(r)).unwrap();
    // The layout before there were versions, with the target as an `Option`.
    let earlier = [
        0, 10, 0, 0, 1, 0xd8, 0x36, 0xd9, 0x36, 5, 3, 1, b'z', 1, 0, 10, 1, 1, b'i', 3, b'g', b'/',
        b's', 16, 9, 7, 0,
    ];
    assert_eq!(encode(&record(None)), earlier);
    let without_target = MemberRecord {
        target: None,
        ..record(None)
    };
    assert_eq!(
        encode(&without_target)[..],
        [&earlier[..16], &[0]].concat()[..]
    );
    for record in [record(None), record(Some("v2")), without_target] {
        let wire: WireMemberRecord = postcard::from_bytes(&encode(&record)).unwrap();
        assert_eq!(MemberRecord::try_from(wire), Ok(record));
    }
}

/// Plays a roll-out with real nodes on loopback, beside about 100 requests per second.
/// Returns the status in the store, and the number of requests that failed.
async fn run_fleet(new: TargetBehaviour) -> (String, usize) {
    let mut rollout = RolloutFleet::start().await;
    rollout.order(new).await;
    let ended = rollout.call_until_end(2 * DURATION).await;
    rollout.fleet.shut_down();
    ended
}

/// Guards against a decision that the nodes do not carry out, and against lost requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_completes_a_good_version() {
    let (status, failed) = run_fleet(TargetBehaviour::NORMAL).await;
    assert!(status.contains("completed"), "{status}");
    assert_eq!(failed, 0);
}

/// The same for a version that takes 30 times as long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_rolls_a_slow_version_back() {
    let slow = TargetBehaviour {
        service_ms: 60,
        ..TargetBehaviour::NORMAL
    };
    let (status, failed) = run_fleet(slow).await;
    assert!(status.contains("rolled back"), "{status}");
    assert_eq!(failed, 0);
}

/// Guards against an order that is carried out again after its end, when a third version runs: its
/// targets would get no requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_is_not_decided_again_after_its_end() {
    let service = Path::new("guild/services/shop").unwrap();
    let mut fleet = Fleet::default();
    let mut order = RolloutOrder {
        service: service.clone(),
        version: TargetVersion("v2".into()),
        duration: Duration::from_secs(20),
        revision: 0,
    };
    let (key, text) = (order_key(&service), encode_order(&order));
    let swap = |key, text| {
        fleet
            .platform
            .compare_and_swap(key, text, Revision::ABSENT, None)
    };
    let written = swap(&key, &text).await.expect("write the order");
    order.revision = written.expect("the key is absent").number;
    let text = encode_status(&order, RolloutStatus::Completed);
    swap(&status_key(&service), &text).await.expect("write");
    let started = fleet.add_target_version(&service, TargetBehaviour::NORMAL, Some("v3"));
    started.await.expect("start a target");
    fleet
        .wait_until_joined(Duration::from_secs(30))
        .await
        .expect("join");
    let metrics = || fleet.node(0).metrics().encode(&[]);
    let started = std::time::Instant::now();
    while !metrics().contains("rollout-status") {
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "no node looked for orders"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let deciding = fleet.platform.list("rollout/decider/").await.expect("list");
    assert!(deciding.is_empty(), "{deciding:?}");
    fleet.shut_down();
}

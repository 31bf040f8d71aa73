//! Measures the time and memory that the configuration, the member table and the routing table take
//! at several sizes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::convergence::{put_service, sample_snapshot};
use super::process::resident_bytes;
use super::{Report, rounded};
use crate::protocol::wire::WireSnapshot;
use crate::state::id::{Incarnation, Path};
use crate::state::member::{Health, MemberRecord, MemberTable, TargetRecord};
use crate::state::routing::RoutingTable;
use crate::state::snapshot::Edit;
use crate::state::validate::check_config;

/// Number of repetitions of each timed operation.
const REPETITIONS: u32 = 20;

/// Measures configurations with the given numbers of services. The member table has the records of
/// ten targets per service.
pub fn run(sizes: &[usize]) -> Report {
    let mut report = Report::new(&[
        "services",
        "members",
        "apply us",
        "check us",
        "table build us",
        "rebuild us",
        "refresh one us",
        "snapshot KiB wire",
        "snapshot KiB",
        "members KiB",
        "table KiB",
    ]);
    for services in sizes {
        report.add_row(measure(*services));
    }
    report
}

fn measure(services: usize) -> Vec<Value> {
    let initial_memory = resident_bytes();
    let config = sample_snapshot(services);
    let memory_with_config = resident_bytes();
    let mut members = MemberTable::default();
    for n in 0..services * 10 {
        members.merge(&member_record(n, services));
    }
    let memory_with_members = resident_bytes();
    let table = RoutingTable::build(&config, &members);
    let memory_with_table = resident_bytes();

    let edits: Vec<Edit> = (0..3).map(|k| put_service(k, 1)).collect();
    let apply = mean_time(|| config.with_edits(&edits).digest());
    let check = mean_time(|| check_config(&config).len());
    let build = mean_time(|| RoutingTable::build(&config, &members).version());
    let next = config.with_edits(&edits);
    let rebuild = mean_time(|| table.rebuild(&next, &members).version());
    let path = Path::new("guild/services/service-0").expect("the path is valid");
    let refresh = mean_time(|| table.refresh(&members, [&path]).version());
    let wire = postcard::to_stdvec(&WireSnapshot::from(&config));
    let wire = wire.expect("the snapshot can be encoded").len();
    let kib = |bytes: u64| rounded(bytes as f64 / 1024.0);
    vec![
        Value::from(services),
        Value::from(services * 10),
        micros(apply),
        micros(check),
        micros(build),
        micros(rebuild),
        micros(refresh),
        kib(wire as u64),
        kib(memory_with_config.saturating_sub(initial_memory)),
        kib(memory_with_members.saturating_sub(memory_with_config)),
        kib(memory_with_table.saturating_sub(memory_with_members)),
    ]
}

/// Returns the mean duration of an operation over [`REPETITIONS`] runs.
fn mean_time<T>(mut operation: impl FnMut() -> T) -> Duration {
    let started = Instant::now();
    for _ in 0..REPETITIONS {
        std::hint::black_box(operation());
    }
    started.elapsed() / REPETITIONS
}

fn micros(d: Duration) -> Value {
    rounded(d.as_secs_f64() * 1e6)
}

/// Returns the record of node number `n`. The nodes are spread evenly over the services.
fn member_record(n: usize, services: usize) -> MemberRecord {
    let [a, b] = (n as u16).to_be_bytes();
    let name = format!("guild/services/service-{}", n % services);
    MemberRecord {
        peer: SocketAddr::from(([10, (n >> 16) as u8, a, b], 7000)),
        gate_port: 7001,
        incarnation: Incarnation(1_796_000_000_000),
        sequence: 3,
        zone: Arc::from(["zone-a", "zone-b", "zone-c"][n % 3]),
        health: Health::Ready,
        watcher: false,
        link_mbit: 0,
        target: Some(TargetRecord {
            last_report: (0, 0),
            leaving: false,
            version: None,
            instance: format!("instance-{n}").into(),
            service: Path::new(&name).expect("the path is valid"),
            slots: 12,
        }),
    }
}

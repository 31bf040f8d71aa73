//! Targets that are known to be leaving, while the node beside them restarts and does not know it.

use std::net::SocketAddr;
use std::time::Duration;

use tarragoncourse::coordination::members::{Members, Message, Outbox};
use tarragoncourse::state::id::{Incarnation, Path, Version};
use tarragoncourse::state::member::{Health, MemberRecord, MemberTable, TargetRecord};
use tokio::time::Instant;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

/// Record of a node whose target started at `boot`.
fn record(n: u8, incarnation: u64, boot: u64, leaving: bool) -> MemberRecord {
    MemberRecord {
        peer: address(n),
        gate_port: 7001,
        incarnation: Incarnation(incarnation),
        sequence: u32::from(leaving),
        zone: "a".into(),
        health: Health::Ready,
        watcher: false,
        link_mbit: 0,
        target: Some(TargetRecord {
            instance: format!("target-{n}").into(),
            service: Path::new("guild/services/cutbook").unwrap(),
            slots: 12,
            last_report: (boot, 3),
            leaving,
            version: None,
        }),
    }
}

#[test]
fn a_target_that_left_is_not_offered_again_by_its_restarted_node() {
    let mut table = MemberTable::default();
    table.merge(&record(1, 100, 1000, true));
    // The restarted node has heard a delayed heartbeat of the same process.
    let restarted = record(1, 200, 1000, false);
    table.merge(&restarted);
    assert!(table.has_left(&restarted));
    // Another process takes its place.
    assert!(!table.has_left(&record(1, 200, 2000, false)));
}

#[test]
fn a_target_that_answered_that_it_leaves_is_not_offered_by_a_restarted_node_either() {
    let mut table = MemberTable::default();
    let target = record(1, 100, 1000, false);
    table.merge(&target);
    assert!(!table.has_left(&target));
    table.mark_left(target.peer, target.target.as_ref().unwrap().start());
    assert!(table.has_left(&record(1, 200, 1000, false)));
}

/// A node that restarts tells its peers of itself before they can tell it what its earlier process
/// had published, so they must remind it.
#[test]
fn peers_remind_a_restarted_node_that_its_target_was_leaving() {
    let mut now = Instant::now();
    let rng = fastrand::Rng::with_seed(1);
    let mut peer = Members::new(record(2, 1, 1, false), now, rng.clone());
    let before = record(1, 100, 1000, true);
    peer.merge_records(std::slice::from_ref(&before), now);
    let restarted = MemberRecord {
        target: None,
        ..record(1, 200, 0, false)
    };
    peer.merge_records(std::slice::from_ref(&restarted), now);
    now += Duration::from_millis(50);
    let mut out = Outbox::new();
    peer.tick(Version(1), now, &mut out);
    let reminder = |(to, message): &(SocketAddr, Message)| {
        *to == address(1)
            && matches!(message, Message::Gossip { records } if records.contains(&before))
    };
    assert_eq!(out.iter().filter(|m| reminder(m)).count(), 1, "{out:?}");
    let mut node = Members::new(restarted, now, rng);
    let mut replies = Outbox::new();
    for (_, message) in out.into_iter().filter(reminder) {
        node.receive(address(2), message, now, &mut replies);
    }
    assert_eq!(node.take_past_target(), before.target);
}

/// Guards against a leave that is overwritten by the older record of a peer that has not heard of it.
#[test]
fn a_peer_that_has_not_heard_of_a_leave_does_not_hide_it() {
    let now = Instant::now();
    let restarted = MemberRecord {
        target: None,
        ..record(1, 200, 0, false)
    };
    let mut node = Members::new(restarted, now, fastrand::Rng::with_seed(1));
    let leaving = record(1, 100, 1000, true);
    for known in [&leaving, &record(1, 100, 1000, false)] {
        node.merge_records(std::slice::from_ref(known), now);
    }
    assert_eq!(node.take_past_target(), leaving.target);
}

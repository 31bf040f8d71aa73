//! Watcher slots: number and choice of the nodes that try to acquire a slot, release of slots, and
//! leases that expire while their holder is paused.

use std::net::SocketAddr;
use std::time::Duration;

use tarragoncourse::coordination::watcher_slot::{
    DocumentWatch, LEASE_TTL, RENEW_PERIOD, SLOTS_PER_ZONE, SlotStep, WatcherSlot, is_zone_watched,
};
use tarragoncourse::state::id::Incarnation;
use tarragoncourse::state::member::{Health, MemberRecord, MemberTable};
use tarragoncourse::state::revision::{Era, Lease};
use tokio::time::Instant;

/// Address of node `n`.
fn address(n: usize) -> SocketAddr {
    let [a, b] = (n as u16).to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 7000))
}

/// Lease of the first era.
fn lease(number: u64) -> Lease {
    Lease {
        era: Era(1),
        number,
    }
}

/// Members of one zone; the first `watchers` of them hold a slot.
fn member_table(nodes: usize, watchers: usize) -> MemberTable {
    let mut table = MemberTable::default();
    for n in 0..nodes {
        table.merge(&MemberRecord {
            peer: address(n),
            gate_port: 1,
            incarnation: Incarnation(1),
            sequence: 0,
            zone: "a".into(),
            health: Health::Ready,
            watcher: n < watchers,
            link_mbit: 5,
            target: None,
        });
    }
    table
}

/// Number of nodes that try to acquire a slot.
fn candidate_count(nodes: usize, watchers: usize) -> usize {
    let table = member_table(nodes, watchers);
    let now = Instant::now();
    let is_candidate = |n: &usize| {
        let step = WatcherSlot::new(now).next_step(&table, "a", address(*n), now);
        matches!(step, SlotStep::Acquire(_))
    };
    (0..nodes).filter(is_candidate).count()
}

#[test]
fn the_number_of_slot_candidates_does_not_grow_with_the_fleet() {
    let count_of_10 = candidate_count(10, 0);
    assert!(
        (SLOTS_PER_ZONE..=SLOTS_PER_ZONE + 1).contains(&count_of_10),
        "{count_of_10}"
    );
    assert_eq!(candidate_count(400, 0), count_of_10);
    assert_eq!(
        candidate_count(400, SLOTS_PER_ZONE),
        0,
        "a node tries to acquire a slot although all are occupied"
    );
}

#[test]
fn the_nodes_with_the_fastest_links_acquire_slots() {
    // Watchers receive each version in full, and a configuration document of a few hundred
    // kilobytes takes nearly a second over a slow link.
    let mut table = member_table(20, 0);
    for n in [13, 17] {
        let slow_record = table.get(&address(n)).unwrap();
        let fast_record = MemberRecord {
            link_mbit: 100,
            sequence: 1,
            ..MemberRecord::clone(slow_record)
        };
        table.merge(&fast_record);
    }
    let now = Instant::now();
    let step = |n: usize| WatcherSlot::new(now).next_step(&table, "a", address(n), now);
    for n in [13, 17] {
        assert!(matches!(step(n), SlotStep::Acquire(_)), "{n}");
    }
    let slow_nodes = (0..20).filter(|n| ![13, 17].contains(n));
    let slow_candidates = slow_nodes.filter(|n| step(*n) != SlotStep::Idle).count();
    assert_eq!(
        slow_candidates, 1,
        "expected one spare candidate with a slow link"
    );
}

#[test]
fn a_holder_paused_beyond_its_lease_holds_no_slot() {
    let table = member_table(1, 0);
    let start = Instant::now();
    let mut slot = WatcherSlot::new(start);
    slot.record_acquired(0, lease(9), start);
    assert!(slot.held(start + LEASE_TTL / 2).is_some());
    let renewal_time = start + RENEW_PERIOD;
    assert_eq!(
        slot.next_step(&table, "a", address(0), renewal_time),
        SlotStep::Renew(lease(9))
    );
    // The renewal was sent before the pause, and its response arrived after it. The duration of the
    // lease counts from the time at which the renewal was sent.
    slot.record_renewed(lease(9), renewal_time);
    let resumed_at = renewal_time + LEASE_TTL + Duration::from_secs(1);
    assert!(slot.held(resumed_at).is_none());
    assert!(matches!(
        slot.next_step(&table, "a", address(0), resumed_at),
        SlotStep::Acquire(_)
    ));
}

#[test]
fn a_holder_outranked_by_many_nodes_releases_its_slot() {
    let table = member_table(500, 0);
    let now = Instant::now();
    let step = |n: usize| {
        let mut slot = WatcherSlot::new(now);
        slot.record_acquired(0, lease(5), now);
        slot.next_step(&table, "a", address(n), now)
    };
    let released = (0..500)
        .filter(|n| step(*n) == SlotStep::Release(lease(5)))
        .count();
    assert!(
        released > 480,
        "{released} of 500 nodes released their slot"
    );
}

/// All 17 nodes of a fleet restart at one moment, and the slots stay occupied by the leases of their
/// earlier processes. Some node must watch the document before the members are expected to follow it.
#[test]
fn a_node_of_a_zone_without_a_watcher_watches_the_document() {
    let table = member_table(17, 0);
    let restarted = DocumentWatch {
        ready: true,
        uptime: Duration::from_secs(2),
        holds_slot: false,
        members_alive: 17,
        zone_watched: is_zone_watched(&table, "a"),
    };
    assert!(restarted.is_needed());
    let watched = DocumentWatch {
        zone_watched: is_zone_watched(&member_table(17, 1), "a"),
        ..restarted
    };
    assert!(!watched.is_needed());
}

//! Watcher slots: few candidates whatever the fleet's size, and leases that lapse unnoticed.

use std::net::SocketAddr;
use std::time::Duration;

use tarragoncourse::coordination::slots::{
    LEASE_TTL, RENEW_PERIOD, SLOTS_PER_ZONE, SlotStep, WatcherSlot,
};
use tarragoncourse::state::id::Incarnation;
use tarragoncourse::state::member::{Health, MemberRecord, MemberTable};
use tokio::time::Instant;

fn address(n: usize) -> SocketAddr {
    let [a, b] = (n as u16).to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 7000))
}

fn table(nodes: usize, watchers: usize) -> MemberTable {
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

fn takers(nodes: usize, watchers: usize) -> usize {
    let table = table(nodes, watchers);
    let now = Instant::now();
    let takes = |n: &usize| {
        let step = WatcherSlot::new(now).next_step(&table, "a", address(*n), now);
        matches!(step, SlotStep::Acquire(_))
    };
    (0..nodes).filter(takes).count()
}

#[test]
fn the_number_that_tries_does_not_grow_with_the_fleet() {
    let small = takers(10, 0);
    assert!(
        (SLOTS_PER_ZONE..=SLOTS_PER_ZONE + 1).contains(&small),
        "{small}"
    );
    assert_eq!(takers(400, 0), small);
    assert_eq!(
        takers(400, SLOTS_PER_ZONE),
        0,
        "all slots are seen as taken"
    );
}

#[test]
fn the_nodes_with_the_widest_links_watch() {
    // A document of some hundred kilobytes takes most of a second over a narrow link.
    let mut table = table(20, 0);
    for n in [13, 17] {
        let narrow = table.get(&address(n)).unwrap();
        let wide = MemberRecord {
            link_mbit: 100,
            sequence: 1,
            ..MemberRecord::clone(narrow)
        };
        table.merge(&wide);
    }
    let now = Instant::now();
    let step = |n: usize| WatcherSlot::new(now).next_step(&table, "a", address(n), now);
    for n in [13, 17] {
        assert!(matches!(step(n), SlotStep::Acquire(_)), "{n}");
    }
    let narrow = (0..20).filter(|n| ![13, 17].contains(n));
    let takers = narrow.filter(|n| step(*n) != SlotStep::Idle).count();
    assert_eq!(takers, 1, "one spare");
}

#[test]
fn a_holder_that_slept_past_its_lease_holds_nothing() {
    let table = table(1, 0);
    let began = Instant::now();
    let mut slots = WatcherSlot::new(began);
    slots.record_acquired(0, 9, began);
    assert!(slots.held(began + LEASE_TTL / 2).is_some());
    let later = began + RENEW_PERIOD;
    assert_eq!(
        slots.next_step(&table, "a", address(0), later),
        SlotStep::Renew(9)
    );
    // The renewal was asked before the pause and answered after it: the asking counts.
    slots.record_renewed(9, later);
    let woken = later + LEASE_TTL + Duration::from_secs(1);
    assert!(slots.held(woken).is_none());
    assert!(matches!(
        slots.next_step(&table, "a", address(0), woken),
        SlotStep::Acquire(_)
    ));
}

#[test]
fn a_holder_that_many_outrank_gives_its_slot_back() {
    let many = table(500, 0);
    let now = Instant::now();
    let step = |n: usize| {
        let mut slots = WatcherSlot::new(now);
        slots.record_acquired(0, 5, now);
        slots.next_step(&many, "a", address(n), now)
    };
    let released = (0..500)
        .filter(|n| step(*n) == SlotStep::Release(5))
        .count();
    assert!(released > 480, "{released} of 500");
}

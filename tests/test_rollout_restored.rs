//! Roll-outs whose store comes back from an older copy.

#[path = "support/rollout_fleet.rs"]
mod rollout_fleet;

use std::time::Duration;

use rollout_fleet::{DURATION, RolloutFleet};
use tarragoncourse::coordination::rollout::counts::WindowNumber;
use tarragoncourse::coordination::rollout::exposure::StartedRequests;
use tarragoncourse::coordination::rollout::guide::{HeldDirective, Reception};
use tarragoncourse::coordination::rollout::memory::{OrderChange, RolloutMemory};
use tarragoncourse::coordination::rollout::message::{Directive, Mode};
use tarragoncourse::coordination::rollout::{
    Authority, FleetView, Phase, Rollout, RolloutOrder, RolloutStatus, RolloutWrite, StoredRollout,
};
use tarragoncourse::standin::store::Store;
use tarragoncourse::standin::target::Behaviour;
use tarragoncourse::state::id::Path;
use tarragoncourse::state::member::TargetVersion;
use tarragoncourse::state::revision::Era;
use tokio::time::Instant;

/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(6);
/// Time in which a node that knows nothing of the end would decide the order again.
const DECIDED_AGAIN: Duration = Duration::from_secs(30);

/// Plays a roll-out, and returns a copy of the store that is older than its end.
async fn run_to_end(rollout: &RolloutFleet) -> Store {
    let mut copies = Vec::new();
    loop {
        copies.push(rollout.fleet.platform.backup());
        let (status, _) = rollout.call_until_end(Duration::from_secs(1)).await;
        if rollout_fleet::is_end(&status) {
            let age = COPY_AGE.as_secs() as usize;
            return copies.swap_remove(copies.len().saturating_sub(age));
        }
        assert!(copies.len() < 2 * DURATION.as_secs() as usize, "{status}");
    }
}

/// Guards against a completed roll-out that is decided again, and rolled back, by nodes that trust
/// the older copy: the old targets are gone by then, and the service would be refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_completed_rollout_stays_completed_after_the_store_comes_back_from_an_older_copy() {
    let mut rollout = RolloutFleet::start().await;
    rollout.order(Behaviour::NORMAL).await;
    let copy = run_to_end(&rollout).await;
    for old in rollout.fleet.nodes.drain(..2).collect::<Vec<_>>() {
        old.stop().await;
    }
    rollout.fleet.platform.restore(copy);
    let failed = rollout.call_for(DECIDED_AGAIN).await;
    let status = rollout.status().await;
    rollout.fleet.shut_down();
    assert!(status.contains("completed"), "{status}");
    assert_eq!(failed, 0);
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: Path::new("guild/services/shop").unwrap(),
        version: TargetVersion("v2".into()),
        duration: DURATION,
        revision: 7,
    }
}

fn directive(window: u64, mode: Mode) -> Directive {
    let order = order();
    Directive {
        rollout: order.id(),
        service: order.service,
        version: order.version,
        issued: WindowNumber(window),
        mode,
    }
}

/// What the store of an older copy holds: the versions are still being compared.
fn comparing(began: WindowNumber) -> StoredRollout {
    StoredRollout {
        rollout: order().id(),
        phase: Phase::Comparing,
        began,
        started: StartedRequests { old: 900, new: 90 },
    }
}

/// Guards against a node that learns only from an older copy that the versions are compared, and tells
/// the fleet so.
#[test]
fn a_decision_is_replaced_neither_by_none_nor_by_another_one() {
    let now = Instant::now();
    for (decision, other) in [
        (Mode::NewOnly, Mode::Stopped),
        (Mode::Stopped, Mode::NewOnly),
    ] {
        let mut held = HeldDirective::new(directive(100, decision.clone()), now);
        for later in [other, Mode::OldOnly] {
            let reception = held.receive(&directive(105, later), now);
            assert_eq!(reception, Reception::Contradictory);
        }
        assert_eq!(held.directive().mode, decision);
        let next = Directive {
            rollout: RolloutOrder {
                revision: 8,
                ..order()
            }
            .id(),
            ..directive(106, Mode::OldOnly)
        };
        assert_eq!(held.receive(&next, now), Reception::Accepted);
    }
}

/// Guards against a decision that is lost with the store's newest data: it is written and told again,
/// and no directive contradicts it meanwhile.
#[test]
fn a_decision_that_the_store_has_lost_is_written_again() {
    for (decision, mode, end) in [
        (Phase::Moving, Mode::NewOnly, RolloutStatus::Completed),
        (Phase::Stopped, Mode::Stopped, RolloutStatus::RolledBack),
    ] {
        let start = Duration::from_secs(1_800_000_000);
        let stored = comparing(WindowNumber::at(start - DURATION));
        let running = Some(RolloutStatus::Running);
        let mut rollout = Rollout::new(order(), Some(stored), running, start);
        rollout.adopt_decision(decision);
        let mut writes = Vec::new();
        for step in 0..60 {
            let fleet = FleetView {
                authority: Authority::Held,
                old_targets: &[],
                new_targets: &[],
            };
            let step = rollout.advance(fleet, start + Duration::from_millis(100) * step);
            if let Some(directive) = step.directive {
                assert_eq!(directive.mode, mode);
            }
            if let Some(write) = step.write {
                rollout.record_written(write);
                writes.push(write);
            }
        }
        let state = StoredRollout {
            phase: decision,
            ..stored
        };
        assert_eq!(writes.first(), Some(&RolloutWrite::State(state)));
        assert_eq!(writes.last(), Some(&RolloutWrite::Status(end)));
    }
}

/// Guards against an order that is decided a second time because the operator wrote it again, and
/// against an older order that replaces the newest one.
#[test]
fn an_order_written_again_after_a_return_of_the_store_keeps_its_decision() {
    let zero = Instant::now();
    let at = |s| zero + Duration::from_secs(s);
    let with_revision = |revision| RolloutOrder {
        revision,
        ..order()
    };
    let next = RolloutOrder {
        version: TargetVersion("v3".into()),
        ..with_revision(9)
    };
    let mut memory = RolloutMemory::default();
    let mut observe = |order: &RolloutOrder, era, s| memory.observe_order(order, Era(era), at(s));
    assert_eq!(observe(&order(), 0, 0), OrderChange::New);
    assert_eq!(observe(&order(), 0, 3), OrderChange::Known);
    assert_eq!(observe(&with_revision(5), 0, 6), OrderChange::Outdated);
    let service = order().service;
    memory.record_decision(&service, order().id(), Phase::Stopped);
    let mut observe = |order: &RolloutOrder, era, s| memory.observe_order(order, Era(era), at(s));
    assert_eq!(observe(&with_revision(4), 1, 9), OrderChange::Rewritten);
    // The copy may hold the order before this one until the operator has written again.
    assert_eq!(observe(&next, 2, 20), OrderChange::Outdated);
    assert_eq!(observe(&next, 2, 26), OrderChange::New);
    let decision = |revision| memory.decision(&service, with_revision(revision).id());
    assert_eq!(decision(4), Some(Phase::Stopped));
    assert_eq!(memory.decision(&service, next.id()), None);
}

/// Guards against a version that can never be ordered again after a return of the store.
#[test]
fn the_same_order_long_after_a_return_of_the_store_is_a_new_one() {
    let zero = Instant::now();
    let mut memory = RolloutMemory::default();
    memory.observe_order(&order(), Era(0), zero);
    let other = RolloutOrder {
        service: Path::new("guild/services/other").unwrap(),
        ..order()
    };
    memory.observe_order(&other, Era(1), zero);
    let again = RolloutOrder {
        revision: 40,
        ..order()
    };
    let later = zero + Duration::from_secs(3600);
    assert_eq!(
        memory.observe_order(&again, Era(1), later),
        OrderChange::New
    );
}

/// Guards against a decision that nodes keep alive by passing it on to each other, and against one that is not
/// held because the machine has started since it was issued.
#[test]
fn a_decision_that_was_passed_on_is_held_for_the_rest_of_its_time() {
    let now = Instant::now();
    for (mode, retention) in [(Mode::NewOnly, 60), (Mode::Stopped, 3600)] {
        let age = Duration::from_secs(retention - 10);
        let held = HeldDirective::with_age(directive(100, mode), age, now);
        assert!(held.is_retained(now + Duration::from_secs(9)));
        assert!(!held.is_retained(now + Duration::from_secs(10)));
    }
}

//! Stateful fuzz test of commit and distribution of configurations, on the model in
//! `support/fleet_model.rs`.

#[path = "support/fleet_model.rs"]
mod fleet_model;
#[path = "support/fuzz.rs"]
mod fuzz;

use arbtest::arbitrary::Unstructured;
use fleet_model::{CONVERGENCE_TIME_MAX, FleetModel, InFlight, NODE_COUNT, TICK_PERIOD};
use fuzz::{Counts, chance, number_below};
use tarragoncourse::coordination::distribution::Actions;

/// Applies a random event: a new change, a step of a change, a delivery, a fault, a restart or a
/// tick.
fn apply_random_event(model: &mut FleetModel, u: &mut Unstructured, counts: &mut Counts) {
    match number_below(u, 100) {
        0..=9 => {
            let node = number_below(u, NODE_COUNT);
            if model.nodes[node].up && model.pending_changes.len() < 4 {
                model.begin_change(u, node);
            }
        }
        10..=44 if !model.pending_changes.is_empty() => {
            let i = number_below(u, model.pending_changes.len());
            model.advance_change(u, i, counts);
        }
        45..=79 if !model.in_flight.is_empty() => {
            let i = number_below(u, model.in_flight.len());
            let delivery = model.in_flight.swap_remove(i);
            if chance(u, 15) {
                counts.add("message dropped");
                return;
            }
            if let InFlight::Announce(from, to, v) = &delivery
                && chance(u, 10)
            {
                counts.add("announcement duplicated");
                model.in_flight.push(InFlight::Announce(*from, *to, *v));
            }
            model.deliver(delivery);
        }
        80..=84 => {
            let node = number_below(u, NODE_COUNT);
            if model.nodes[node].up {
                counts.add("crash");
                model.nodes[node].up = false;
            }
        }
        85..=90 => {
            let node = number_below(u, NODE_COUNT);
            if !model.nodes[node].up {
                counts.add("restart");
                // The model keeps the version that was served at this address, to check that it
                // never decreases. The new process does not know it.
                let in_force = model.nodes[node].in_force;
                model.nodes[node] = model.new_node();
                model.nodes[node].in_force = in_force;
            }
        }
        91..=92 => {
            counts.add("outage toggled");
            model.platform_down = !model.platform_down;
        }
        93 => {
            counts.add("half of the nodes crash");
            for n in 0..NODE_COUNT / 2 {
                model.nodes[n].up = false;
            }
        }
        _ => model.tick(),
    }
}

/// Ends all faults, completes the pending changes and checks that the fleet converges in time.
fn stop_faults_and_converge(model: &mut FleetModel, u: &mut Unstructured, counts: &mut Counts) {
    model.platform_down = false;
    for n in 0..NODE_COUNT {
        if !model.nodes[n].up {
            let in_force = model.nodes[n].in_force;
            model.nodes[n] = model.new_node();
            model.nodes[n].in_force = in_force;
        }
    }
    while !model.pending_changes.is_empty() {
        model.advance_change(u, 0, counts);
        model.now += TICK_PERIOD;
    }
    // Node 0 acts as the watcher: it reads the head in every round.
    let mut ticks_left = CONVERGENCE_TIME_MAX.as_millis() / TICK_PERIOD.as_millis();
    while !model.converged() && ticks_left > 0 {
        ticks_left -= 1;
        if let Some((head, _)) = model.read_head() {
            let mut actions = Actions::new();
            model.nodes[0]
                .distribution
                .handle_head_change(head.version, model.now, &mut actions);
            model.perform_actions(0, actions);
        }
        let deliveries: Vec<InFlight> = model.in_flight.drain(..).collect();
        deliveries.into_iter().for_each(|d| model.deliver(d));
        model.tick();
    }
    // A delayed swap may have added a version during these rounds; `converged` includes it.
    assert!(
        model.converged(),
        "the newest version is not in force on every node after {CONVERGENCE_TIME_MAX:?}"
    );
}

#[test]
fn accepted_versions_reach_every_node_and_never_revert() {
    fuzz::run("configuration", 150, 6000, |u, counts| {
        let seed = u.arbitrary().unwrap_or(0);
        let mut model = FleetModel::new(seed);
        while !u.is_empty() {
            apply_random_event(&mut model, u, counts);
            counts.add("steps");
        }
        stop_faults_and_converge(&mut model, u, counts);
        (0..model.unknown_min_versions)
            .for_each(|_| counts.add("minimum version unknown to all nodes that are up"));
    });
}

//! Stateful fuzz of acceptance and distribution over the modelled fleet of `support/world.rs`.

#[path = "support/fuzz.rs"]
mod fuzz;
#[path = "support/world.rs"]
mod world;

use arbtest::arbitrary::Unstructured;
use fuzz::{Counts, chance, number_below};
use tarragoncourse::coordination::distribution::Actions;
use world::{CONVERGENCE, NODES, Parcel, STEP, World};

fn step(world: &mut World, u: &mut Unstructured, counts: &mut Counts) {
    match number_below(u, 100) {
        0..=9 => {
            let node = number_below(u, NODES);
            if world.nodes[node].up && world.operators.len() < 4 {
                world.begin(u, node);
            }
        }
        10..=44 if !world.operators.is_empty() => {
            let at = number_below(u, world.operators.len());
            world.advance(u, at, counts);
        }
        45..=79 if !world.bag.is_empty() => {
            let at = number_below(u, world.bag.len());
            let parcel = world.bag.swap_remove(at);
            if chance(u, 15) {
                counts.add("drop");
                return;
            }
            if let Parcel::Announce(a, b, v) = &parcel
                && chance(u, 10)
            {
                counts.add("duplicate");
                world.bag.push(Parcel::Announce(*a, *b, *v));
            }
            world.deliver(parcel);
        }
        80..=84 => {
            let node = number_below(u, NODES);
            if world.nodes[node].up {
                counts.add("crash");
                world.nodes[node].up = false;
            }
        }
        85..=90 => {
            let node = number_below(u, NODES);
            if !world.nodes[node].up {
                counts.add("restart");
                // The address remembers what it served; the process does not.
                let in_force = world.nodes[node].in_force;
                world.nodes[node] = world.fresh();
                world.nodes[node].in_force = in_force;
            }
        }
        91..=92 => {
            counts.add("outage toggled");
            world.down = !world.down;
        }
        93 => {
            counts.add("herd");
            for n in 0..NODES / 2 {
                world.nodes[n].up = false;
            }
        }
        _ => world.tick(),
    }
}

/// Ends all faults and lets everything be delivered.
fn settle(world: &mut World, u: &mut Unstructured, counts: &mut Counts) {
    world.down = false;
    for n in 0..NODES {
        if !world.nodes[n].up {
            let in_force = world.nodes[n].in_force;
            world.nodes[n] = world.fresh();
            world.nodes[n].in_force = in_force;
        }
    }
    while !world.operators.is_empty() {
        world.advance(u, 0, counts);
        world.now += STEP;
    }
    // A watcher sees the head.
    let mut left = CONVERGENCE.as_millis() / STEP.as_millis();
    while !world.converged() && left > 0 {
        left -= 1;
        if let Some((head, _)) = world.head() {
            let mut actions = Actions::new();
            world.nodes[0]
                .machine
                .handle_head_change(head.version, world.now, &mut actions);
            world.run(0, actions);
        }
        let parcels: Vec<Parcel> = world.bag.drain(..).collect();
        parcels.into_iter().for_each(|p| world.deliver(p));
        world.tick();
    }
    // Late swaps may have moved the head in the last round.
    assert!(
        world.converged(),
        "not in force everywhere within {CONVERGENCE:?}"
    );
}

#[test]
fn accepted_versions_take_hold_everywhere_and_never_revert() {
    fuzz::run("configuration", 150, 6000, |u, counts| {
        let seed = u.arbitrary().unwrap_or(0);
        let mut world = World::new(seed);
        while !u.is_empty() {
            step(&mut world, u, counts);
            counts.add("steps");
        }
        settle(&mut world, u, counts);
        (0..world.excused).for_each(|_| counts.add("excused: no witness left"));
    });
}

//! The interface of a policy by which one node picks targets.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::routing::Candidate;

/// A request for which a target is picked.
#[derive(Clone, Copy)]
pub(super) struct PickRequest<'a> {
    pub(super) candidates: &'a [Candidate],
    /// Zone of the node.
    pub(super) zone: &'a str,
    pub(super) bytes: u64,
    pub(super) now: Instant,
}

/// The end of an attempt, as its node sees it.
#[derive(Clone, Copy)]
pub(super) struct AttemptEnd<'a> {
    pub(super) candidates: &'a [Candidate],
    pub(super) target: usize,
    /// Time from sending to the answer; `None` if the gate refused the attempt.
    pub(super) response_time: Option<Duration>,
    /// Load that the gate reported.
    pub(super) load: u32,
    /// The gate offers one free slot to this node until this time.
    pub(super) offer: Option<Instant>,
    pub(super) now: Instant,
}

/// Result of picking a target.
#[derive(Clone, Copy)]
pub(super) struct Picked {
    pub(super) target: usize,
    /// Whether the attempt uses a slot that the target's gate offered.
    pub(super) by_offer: bool,
}

impl From<usize> for Picked {
    fn from(target: usize) -> Picked {
        Picked {
            target,
            by_offer: false,
        }
    }
}

/// Target selection of one node.
pub(super) trait Policy {
    /// Whether gates offer free slots on their answers.
    const USES_OFFERS: bool = false;

    /// Creates the state of one node.
    fn new(targets: usize, rng: fastrand::Rng) -> Self;

    /// Picks a target.
    fn pick(&mut self, request: PickRequest<'_>) -> Picked;

    /// Records the end of an attempt.
    fn record(&mut self, end: AttemptEnd<'_>);

    /// A target whose load is asked for by a message of its own.
    fn next_probe(&mut self) -> Option<usize> {
        None
    }

    /// Records the answer to a probe.
    fn record_probe(&mut self, _target: usize, _load: u32, _now: Instant) {}
}

/// Returns two different random members of a list, or the only one twice.
pub(super) fn two_of<T: Copy>(list: &[T], rng: &mut fastrand::Rng) -> Option<(T, T)> {
    let first = rng.usize(..list.len().max(1));
    let a = *list.get(first)?;
    let b = match list.len() {
        1 => a,
        n => list[(first + 1 + rng.usize(..n - 1)) % n],
    };
    Some((a, b))
}

//! When nodes ask the platform for a newer version, and which confirmations they pass on.

use std::collections::VecDeque;
use std::time::Duration;

use tarragoncourse::coordination::freshness::{Confirmation, Freshness, FreshnessStep, Role};
use tarragoncourse::state::id::Version;
use tarragoncourse::state::revision::{Era, Revision};
use tokio::time::Instant;

const APPLY_TIME: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(50);
/// Time that a call to the platform and the spread of its confirmation take, on slow instances.
const DELAY: Duration = Duration::from_millis(60);

fn node(seed: u64, now: Instant) -> Freshness {
    Freshness::new(APPLY_TIME, now, fastrand::Rng::with_seed(seed))
}

fn confirmation(age: Duration) -> Confirmation {
    Confirmation {
        version: Version(4),
        revision: Some(Revision::new(Era(1), 7)),
        age,
    }
}

/// A fleet in which every confirmation reaches every node, and the number of calls so far.
struct Model {
    nodes: Vec<(Role, Freshness)>,
    /// Calls in progress: the node, when it was sent.
    in_flight: VecDeque<(usize, Instant)>,
    now: Instant,
    platform_answers: bool,
    calls: usize,
}

impl Model {
    fn new(watchers: usize, followers: usize) -> Model {
        let now = Instant::now();
        let roles = [(Role::Watcher, watchers), (Role::Follower, followers)];
        let roles = roles.into_iter().flat_map(|(role, n)| vec![role; n]);
        let nodes = roles.enumerate().map(|(n, r)| (r, node(n as u64, now)));
        Model {
            nodes: nodes.collect(),
            in_flight: VecDeque::new(),
            now,
            platform_answers: true,
            calls: 0,
        }
    }

    /// Runs the fleet for a time. Returns the longest age of a node's configuration.
    fn run(&mut self, duration: Duration) -> Duration {
        let end = self.now + duration;
        let mut oldest = Duration::ZERO;
        while self.now < end {
            self.now += TICK;
            while let Some((n, sent_at)) = self.in_flight.front().copied()
                && self.now >= sent_at + DELAY
            {
                self.in_flight.pop_front();
                self.finish(n, sent_at);
            }
            for n in 0..self.nodes.len() {
                self.step(n);
            }
            let ages = self.nodes.iter().map(|(_, f)| f.age(self.now));
            oldest = oldest.max(ages.max().unwrap_or_default());
        }
        oldest
    }

    fn step(&mut self, n: usize) {
        let (role, now) = (self.nodes[n].0, self.now);
        if self.nodes[n].1.next_step(role, now) == FreshnessStep::Wait {
            return;
        }
        self.calls += 1;
        self.in_flight.push_back((n, now));
    }

    /// Ends a call: its answer, and the confirmation to all others.
    fn finish(&mut self, n: usize, sent_at: Instant) {
        let Some((role, node)) = self.nodes.get_mut(n) else {
            return;
        };
        if !self.platform_answers {
            return node.record_failure(false, *role, self.now);
        }
        let Some(news) = node.record_answer(Version(4), None, sent_at, self.now) else {
            return;
        };
        for (_, other) in &mut self.nodes {
            other.handle_confirmation(news, self.now);
        }
    }
}

/// Guards against a fleet that hears nothing of the platform once its watchers are lost.
#[test]
fn followers_ask_within_the_apply_time_once_the_watchers_are_silent() {
    let mut fleet = Model::new(4, 40);
    let oldest = fleet.run(Duration::from_secs(10));
    assert!(oldest < APPLY_TIME / 2, "{oldest:?}");
    fleet.nodes.retain(|(role, _)| *role == Role::Follower);
    fleet.in_flight.clear();
    let oldest = fleet.run(Duration::from_secs(10));
    assert!(oldest < APPLY_TIME * 3 / 4, "{oldest:?}");
}

/// The number of calls depends on the apply time, and not on the size of the fleet.
#[test]
fn the_number_of_calls_does_not_grow_with_the_fleet() {
    const SECONDS: usize = 20;
    // The node that asked last asks again after a sixth of the apply time at the earliest; a few others
    // may do so at the start.
    let calls_max = 3 * SECONDS * 1000 / 320 / 2;
    for (watchers, followers) in [(2, 15), (8, 60), (10, 300), (0, 300)] {
        let mut fleet = Model::new(watchers, followers);
        fleet.run(Duration::from_secs(SECONDS as u64));
        assert!(
            fleet.calls <= calls_max,
            "{watchers} + {followers}: {} calls",
            fleet.calls
        );
    }
}

/// While the platform does not answer anybody, each node asks less and less often, and all hear of its
/// return within the longest interval of the watchers.
#[test]
fn unanswered_calls_become_rare_and_a_return_is_noticed() {
    let mut fleet = Model::new(4, 60);
    fleet.run(Duration::from_secs(5));
    let before = fleet.calls;
    fleet.platform_answers = false;
    fleet.run(Duration::from_secs(30));
    let calls = fleet.calls - before;
    assert!(calls <= 64 * 9, "{calls} calls");
    fleet.platform_answers = true;
    fleet.run(Duration::from_secs(4));
    let oldest = fleet.run(Duration::from_secs(5));
    assert!(oldest < APPLY_TIME / 2, "{oldest:?}");
}

#[test]
fn a_confirmation_is_passed_on_once_and_never_back_in_time() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut node = node(1, now - Duration::from_secs(3));
    let fresh = confirmation(Duration::from_millis(30));
    assert_eq!(node.handle_confirmation(fresh, now), Some(fresh));
    assert_eq!(node.handle_confirmation(fresh, now), None);
    // One of another node that asked at about the same time.
    let other = confirmation(Duration::from_millis(10));
    assert_eq!(node.handle_confirmation(other, now), None);
    for age in [Duration::from_secs(2), Duration::MAX] {
        assert_eq!(node.handle_confirmation(confirmation(age), now), None);
    }
    assert_eq!(node.age(now), Duration::from_millis(30));
    // The next call asks for changes since then.
    let revision = fresh.revision;
    assert!(revision.is_some());
    let later = now + APPLY_TIME;
    assert_eq!(
        node.next_step(Role::Follower, later),
        FreshnessStep::Ask(revision)
    );
    // One call at a time.
    assert_eq!(node.next_step(Role::Follower, later), FreshnessStep::Wait);
    // Without the history since then, it asks for the current version.
    node.record_failure(true, Role::Follower, later);
    assert_eq!(
        node.next_step(Role::Follower, later),
        FreshnessStep::Ask(None)
    );
}

/// Guards against a resumed node that takes what it heard before its pause for recent.
#[test]
fn a_resumed_node_asks_at_once() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut node = node(1, now);
    assert_eq!(node.next_step(Role::Follower, now), FreshnessStep::Wait);
    // The clock of the timers stood still meanwhile.
    node.record_pause(Duration::from_secs(5));
    assert_ne!(node.next_step(Role::Follower, now), FreshnessStep::Wait);
}

/// Guards against a node that never asks again because one of its calls ended without a result.
#[test]
fn a_call_without_a_result_is_followed_by_another() {
    let now = Instant::now() + Duration::from_secs(100);
    let mut node = node(1, now - APPLY_TIME);
    assert_ne!(node.next_step(Role::Follower, now), FreshnessStep::Wait);
    let after = |seconds| now + Duration::from_secs(seconds);
    assert_eq!(
        node.next_step(Role::Follower, after(9)),
        FreshnessStep::Wait
    );
    assert_ne!(
        node.next_step(Role::Follower, after(11)),
        FreshnessStep::Wait
    );
}

//! The number of nodes that share the limits.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which the largest size of the own table counts. Members that cannot be reached are
/// declared gone within seconds, but may go on using their entitlements behind a partition.
const RETENTION: Duration = Duration::from_secs(30);
/// Time for which a size told by a peer counts. Peers repeat theirs every few seconds.
const TOLD_RETENTION: Duration = Duration::from_secs(5);
/// Shortest time after the start until the own member table may be complete.
const START_TIME: Duration = Duration::from_secs(3);
/// Time without growth after which the table of a starting node is taken as complete.
const STABLE_TIME: Duration = Duration::from_secs(2);
/// Time after the start from which the table is taken as complete in any case. 128 nodes that start
/// at one moment know each other after 9 s.
const START_TIME_MAX: Duration = Duration::from_secs(15);
/// Time after the start from which a table that is not complete gives an estimate.
const ESTIMATE_FROM: Duration = Duration::from_millis(500);
/// Factor from the members in a table that is not complete to the estimated size. After a restart of all
/// nodes, their tables grow over several seconds; without an estimate, all requests of limited workspaces
/// would be refused for as long.
const ESTIMATE_FACTOR: f64 = 2.5;
/// Resolution of the recorded times; bounds the memory.
const RESOLUTION: Duration = Duration::from_secs(1);

/// The largest size of the fleet that was seen lately.
///
/// A node that has just started knows few members. Until its table is complete, it knows the size
/// only from peers, which tell what they have seen themselves and not what they were told.
///
/// ```
/// use tarragoncourse::coordination::quota::FleetSize;
/// use tokio::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut size = FleetSize::new(now);
/// size.record_members(2, now);
/// assert_eq!(size.get(now), None);
/// size.record_peer(60, now);
/// assert_eq!(size.get(now), Some(60));
/// assert_eq!(size.seen(now), 0);
/// assert_eq!(size.get(now + Duration::from_secs(6)), Some(2));
/// ```
#[derive(Debug)]
pub struct FleetSize {
    started: Instant,
    grown_at: Instant,
    /// Sizes of the own table with the last time of each, the largest and oldest first.
    sizes: VecDeque<(u32, Instant)>,
    /// Largest size that a peer told lately.
    told: Option<(u32, Instant)>,
}

impl FleetSize {
    /// Creates the state of a node that starts now.
    pub fn new(now: Instant) -> FleetSize {
        FleetSize {
            started: now,
            grown_at: now,
            sizes: VecDeque::new(),
            told: None,
        }
    }

    /// Records the number of live members in the own table.
    pub fn record_members(&mut self, count: u32, now: Instant) {
        if count > self.largest() {
            self.grown_at = now;
        }
        while self.sizes.back().is_some_and(|(s, _)| *s < count) {
            self.sizes.pop_back();
        }
        match self.sizes.back_mut() {
            Some((s, at)) if *s == count || now - *at < RESOLUTION => *at = now,
            _ => self.sizes.push_back((count, now)),
        }
        while self.sizes.front().is_some_and(|s| now - s.1 > RETENTION) {
            self.sizes.pop_front();
        }
    }

    /// Records the size that a peer has seen; zero if the peer does not know it.
    pub fn record_peer(&mut self, size: u32, now: Instant) {
        let larger = self.recently_told(now).is_none_or(|told| size >= told);
        if size > 0 && larger {
            self.told = Some((size, now));
        }
    }

    /// The size by which limits are divided, estimated while the table of a starting node may be
    /// incomplete; `None` just after the start.
    pub fn get(&self, now: Instant) -> Option<u32> {
        match self.recently_told(now) {
            Some(told) => Some(told.max(self.largest())),
            None if self.is_complete(now) => Some(self.largest().max(1)),
            None if now - self.started >= ESTIMATE_FROM => Some(self.estimate()),
            None => None,
        }
    }

    /// The size that this node has seen itself, to tell peers; zero while its table may be
    /// incomplete.
    pub fn seen(&self, now: Instant) -> u32 {
        match self.is_complete(now) {
            true => self.largest(),
            false => 0,
        }
    }

    fn estimate(&self) -> u32 {
        (f64::from(self.largest().max(1)) * ESTIMATE_FACTOR).ceil() as u32
    }

    fn is_complete(&self, now: Instant) -> bool {
        let running = now - self.started;
        let stable = now - self.grown_at >= STABLE_TIME;
        running >= START_TIME_MAX || (running >= START_TIME && stable)
    }

    fn recently_told(&self, now: Instant) -> Option<u32> {
        let (size, at) = self.told?;
        (now - at < TOLD_RETENTION).then_some(size)
    }

    fn largest(&self) -> u32 {
        self.sizes.front().map_or(0, |(size, _)| *size)
    }
}

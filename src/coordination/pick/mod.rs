//! Selection of a target with stale information about its load.
//!
//! A node sends few requests to each target, so a reported load is old when it is used, and many
//! nodes use it at the same time. Each target therefore gets a *share* of a node's requests: by its
//! slots and its speed, as the node's own response times show it, and moderately by the load that is
//! expected now. The shares are dealt in turn, which keeps the targets' loads closer together than
//! random choices. Targets in the ingress's own zone go first, cold targets get a growing share, and
//! failing targets are ejected for a time.

mod ejection;
mod load;
mod share;
mod stats;
mod zone;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use self::share::{Offer, ServiceMeans};
use self::stats::TargetStats;
use crate::state::routing::Candidate;

/// Requests of at least this many bytes go to the local target of their ingress if it has a free
/// slot. The body has already crossed the link of that instance; for any other target, it would
/// have to cross another link as well.
const LOCAL_TARGET_MIN_BYTES: u64 = 16 << 10;
/// Requests of at least this many bytes stay in their zone while the service is short of room
/// everywhere.
const STAY_MIN_BYTES: u64 = 2 << 10;
/// Time after which the statistics of an unused target are dropped.
const STATS_RETENTION: Duration = Duration::from_secs(300);

/// Targets to choose from.
type Pool<'a> = SmallVec<[&'a Candidate; 16]>;
/// What the targets of a pool offer.
type Offers<'a> = SmallVec<[Offer<'a>; 16]>;

/// What the end of an attempt says about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFeedback {
    /// The target answered, and the gate reported this load. The response time is `None` for bulk
    /// transfers, whose duration depends on their size rather than on the target.
    Answered(u32, Option<Duration>),
    /// The target can be reached, but the attempt did not succeed there. For example, the attempt
    /// was refused or the target answered with a server error. The gate reported this load.
    Refused(u32),
    /// The target could not be reached, or the connection broke.
    Failed,
    /// The caller disconnected before the attempt ended.
    Abandoned,
}

/// What a request requires of its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickCriteria<'a> {
    /// Availability zone of the ingress.
    pub zone: &'a str,
    /// Peer address of the ingress, whose node may have a local target.
    pub own_peer: Option<SocketAddr>,
    /// Targets that were already tried.
    pub tried: &'a [SocketAddr],
    /// Length of the request body plus the expected length of the response, as far as they are
    /// known, in bytes.
    pub bytes: u64,
    /// Whether only targets of the own zone are picked, if the service has any there, and the request
    /// has enough bytes for the crossing to matter.
    pub stay: bool,
}

/// Target selection of one node, with the statistics of each target.
#[derive(Debug)]
pub struct Picker {
    stats: HashMap<SocketAddr, TargetStats>,
    rng: fastrand::Rng,
    ejections: u64,
}

impl Picker {
    /// Creates a picker without statistics.
    pub fn new(rng: fastrand::Rng) -> Picker {
        Picker {
            stats: HashMap::new(),
            rng,
            ejections: 0,
        }
    }

    /// Number of ejections since the process started.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Picks a target that was not tried yet and counts an attempt as sent to it.
    pub fn pick<'a>(
        &mut self,
        candidates: &'a [Candidate],
        criteria: PickCriteria<'_>,
        now: Instant,
    ) -> Option<&'a Candidate> {
        self.sync_candidates(candidates, now);
        let means = ServiceMeans::of(candidates, &self.stats, criteria.zone, now);
        let untried: Pool = candidates
            .iter()
            .filter(|c| !criteria.tried.contains(&c.peer))
            .collect();
        let usable: Pool = untried
            .iter()
            .filter(|c| !self.stats[&c.peer].is_unavailable(now))
            .copied()
            .collect();
        // If all targets are ejected or busy with a trial attempt, such a target is better than
        // none.
        let pool = if usable.is_empty() { untried } else { usable };
        let offer = |c: &&'a Candidate| means.offer(c, &self.stats[&c.peer], now);
        let offers: Offers = pool.iter().map(offer).collect();
        let chosen = match self.free_local_target(&offers, criteria) {
            Some(local) => local,
            None => self.choose(&offers, criteria)?,
        };
        let stats = self
            .stats
            .get_mut(&chosen.peer)
            .expect("sync_candidates added the target");
        stats.in_flight += 1;
        stats.last_used = now;
        Some(chosen)
    }

    /// Records the end of an attempt at a target. `candidates` holds all targets of the service.
    pub fn record_feedback(
        &mut self,
        peer: SocketAddr,
        feedback: TargetFeedback,
        candidates: &[Candidate],
        now: Instant,
    ) {
        let ejected = candidates.iter().filter(|c| self.is_ejected(&c.peer, now));
        let may_eject = ejection::may_eject(ejected.count(), candidates.len());
        let Some(stats) = self.stats.get_mut(&peer) else {
            return;
        };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        match feedback {
            TargetFeedback::Answered(load, response_time) => {
                response_time
                    .into_iter()
                    .for_each(|t| stats.response_time.record(t));
                stats.record_load(load, now);
                stats.refusals.halve();
                stats.ejection.record_answer();
            }
            TargetFeedback::Refused(load) => {
                stats.record_load(load, now);
                stats.refusals.record(now);
            }
            TargetFeedback::Abandoned => {}
            TargetFeedback::Failed => {
                let ejects = stats.ejection.record_failure(may_eject, now);
                self.ejections += u64::from(ejects);
            }
        }
    }

    /// Number of attempts of this node at a target.
    pub fn in_flight(&self, peer: &SocketAddr) -> u32 {
        self.stats.get(peer).map_or(0, |s| s.in_flight)
    }

    /// Whether a target is currently ejected.
    pub fn is_ejected(&self, peer: &SocketAddr, now: Instant) -> bool {
        let stats = self.stats.get(peer);
        stats.is_some_and(|s| s.ejection.is_active(now))
    }

    /// Drops the statistics of targets that have been unused for `STATS_RETENTION`.
    pub fn evict_unused(&mut self, now: Instant) {
        self.stats
            .retain(|_, s| s.in_flight > 0 || now - s.last_used < STATS_RETENTION);
    }

    /// Adds statistics for new candidates, and resets those of targets whose incarnation has
    /// changed.
    fn sync_candidates(&mut self, candidates: &[Candidate], now: Instant) {
        for c in candidates {
            let fresh = || TargetStats::new(c.incarnation, now);
            let stats = self.stats.entry(c.peer).or_insert_with(fresh);
            if stats.incarnation != c.incarnation {
                let in_flight = stats.in_flight;
                *stats = TargetStats::new(c.incarnation, now);
                stats.in_flight = in_flight;
            }
        }
    }

    /// The local target of the ingress, if the request is large and the target has a free slot.
    fn free_local_target<'a>(
        &self,
        offers: &[Offer<'a>],
        criteria: PickCriteria<'_>,
    ) -> Option<&'a Candidate> {
        let own_peer = criteria.own_peer?;
        let is_large = criteria.bytes >= LOCAL_TARGET_MIN_BYTES;
        let local = offers.iter().find(|o| o.candidate.peer == own_peer);
        local
            .filter(|o| is_large && o.load < 1.0)
            .map(|o| o.candidate)
    }

    /// Chooses a target in the same zone, or one of another zone if that is worth its cost.
    fn choose<'a>(
        &mut self,
        offers: &[Offer<'a>],
        criteria: PickCriteria<'_>,
    ) -> Option<&'a Candidate> {
        let is_near = |o: &Offer<'a>| &*o.candidate.zone == criteria.zone;
        let (near, far): (Offers, Offers) = offers.iter().copied().partition(is_near);
        if criteria.stay && criteria.bytes >= STAY_MIN_BYTES {
            // Once all targets of the zone were tried, the request is given up.
            let tried_none = criteria.tried.is_empty();
            return self.deal(if near.is_empty() && tried_none {
                &far
            } else {
                &near
            });
        }
        let crosses = match (self.first_due(&near), self.first_due(&far)) {
            (Some(near), Some(far)) => {
                zone::crosses(near.load, far.load, criteria.bytes, self.rng.f64())
            }
            (near, _) => near.is_none(),
        };
        self.deal(if crosses { &far } else { &near })
    }

    /// The target that is due next, by credit plus share, less the attempts of this node there.
    fn first_due<'a>(&mut self, offers: &[Offer<'a>]) -> Option<Offer<'a>> {
        let sum: f64 = offers.iter().map(|o| o.weight).sum();
        let mut best: Option<(f64, Offer)> = None;
        for offer in offers {
            let share = offer.weight / sum;
            let stats = self.stats.get_mut(&offer.candidate.peer)?;
            // Nodes that start together must not deal in the same order.
            let credit = *stats.credit.get_or_insert_with(|| self.rng.f64() * share);
            let due = credit + share - offer.own_penalty();
            if best.is_none_or(|(most, _)| due > most) {
                best = Some((due, *offer));
            }
        }
        best.map(|(_, offer)| offer)
    }

    /// Gives each target its share of one attempt and takes the attempt from the one due next.
    fn deal<'a>(&mut self, offers: &[Offer<'a>]) -> Option<&'a Candidate> {
        let chosen = self.first_due(offers)?.candidate;
        let sum: f64 = offers.iter().map(|o| o.weight).sum();
        for offer in offers {
            let Some(stats) = self.stats.get_mut(&offer.candidate.peer) else {
                continue;
            };
            let taken = f64::from(offer.candidate.peer == chosen.peer);
            let credit = stats.credit.unwrap_or_default() + offer.weight / sum - taken;
            stats.credit = Some(credit.clamp(-share::CREDIT_MAX, share::CREDIT_MAX));
        }
        Some(chosen)
    }
}

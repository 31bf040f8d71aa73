//! Picking a target: power of two choices, the own zone first, cold targets ramped up, failing
//! ones ejected for a while and let back slowly.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::state::id::Incarnation;
use crate::state::member::Health;
use crate::state::routing::Candidate;

/// Bytes from which a request goes to the target beside its ingress, while that has room: it has
/// crossed that instance's link already, and any other's would carry it again.
const LOCAL_TARGET_MIN_BYTES: u64 = 16 << 10;
/// Load beyond which other zones are considered, as a share of the slots in use, by the bytes that
/// would cross: the more there are, the longer a request rather waits in its own zone.
const ZONE_SPILL_LOADS: [(u64, f64); 3] = [(16 << 10, 2.0), (2 << 10, 1.6), (0, 1.0)];
/// Smallest share of its slots that a cold target gets.
const RAMP_SHARE_MIN: f64 = 0.1;
/// Failures in a row that eject a target.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection; doubled with each further one.
const EJECTION_BASE: Duration = Duration::from_secs(1);
/// Longest ejection.
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Largest share of a service's targets that may be ejected at once.
const EJECTED_SHARE_MAX: f64 = 0.34;
/// Answers after which a returning target is trusted.
const TRIAL_ANSWERS: u32 = 3;
/// Time for which a reported load counts; it fades linearly.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(500);
/// Time after which an unused target's history is dropped.
const STATS_RETENTION: Duration = Duration::from_secs(300);
/// Weight of the newest sample in a target's mean answer time.
const ANSWER_TIME_WEIGHT: f64 = 0.1;
/// Weight of one recent refusal against the load; a target that sheds answers fast and looks idle.
const REFUSAL_WEIGHT: f64 = 8.0;
/// Most recent refusals that count.
const REFUSALS_MAX: f64 = 16.0;
/// Refusals below which none count, so that the target is tried again.
const REFUSALS_MIN: f64 = 0.05;
/// Time in which a refusal loses half of its weight.
const REFUSAL_HALF_LIFE: Duration = Duration::from_millis(250);
/// Load, as a share of the slots, that an idle target is taken to have when answer times are weighed:
/// a request is better off at a fast target that is half full than at a slow one that is idle.
const IDLE_LOAD: f64 = 0.5;
/// Factor on the load of a target whose node is suspect.
const SUSPECT_LOAD_FACTOR: f64 = 4.0;

#[derive(Debug)]
struct TargetStats {
    incarnation: Incarnation,
    in_flight: u32,
    /// Attempts of other nodes that the gate reported.
    reported_load: u32,
    reported_at: Instant,
    /// Mean time to an answer, in seconds; zero before the first.
    mean_seconds: f64,
    /// Recent refusals, as of `refused_at`.
    refusals: f64,
    refused_at: Instant,
    first_seen: Instant,
    last_used: Instant,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    trial_answers: u32,
}

impl TargetStats {
    fn new(incarnation: Incarnation, now: Instant) -> TargetStats {
        TargetStats {
            incarnation,
            in_flight: 0,
            reported_load: 0,
            reported_at: now,
            mean_seconds: 0.0,
            refusals: 0.0,
            refused_at: now,
            first_seen: now,
            last_used: now,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            trial_answers: 0,
        }
    }

    /// Attempts believed to be at the target: this node's, and those of others as last reported.
    fn load(&self, now: Instant) -> f64 {
        let age = (now - self.reported_at).as_secs_f64() / LOAD_REPORT_TTL.as_secs_f64();
        let reported = f64::from(self.reported_load) * (1.0 - age).max(0.0);
        f64::from(self.in_flight) + reported
    }

    /// Recent refusals, fading.
    fn refusals(&self, now: Instant) -> f64 {
        let age = (now - self.refused_at).as_secs_f64() / REFUSAL_HALF_LIFE.as_secs_f64();
        let left = self.refusals * 0.5f64.powf(age);
        if left < REFUSALS_MIN { 0.0 } else { left }
    }

    fn record_refusal(&mut self, now: Instant) {
        self.refusals = (self.refusals(now) + 1.0).min(REFUSALS_MAX);
        self.refused_at = now;
    }

    fn record_load(&mut self, load: u32, now: Instant) {
        self.reported_load = load.saturating_sub(self.in_flight);
        self.reported_at = now;
    }

    fn record_answer_time(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.mean_seconds == 0.0 {
            self.mean_seconds = took;
        }
        self.mean_seconds += (took - self.mean_seconds) * ANSWER_TIME_WEIGHT;
    }

    /// Whether the target is out, or back on trial and already busy with one attempt.
    fn is_unavailable(&self, now: Instant) -> bool {
        match self.ejected_until {
            Some(until) if now < until => true,
            Some(_) => self.in_flight > 0,
            None => false,
        }
    }
}

/// How an attempt went, as far as it tells of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFeedback {
    /// It answered; the gate reported this load. The time is left out for bulk transfers, which
    /// tell of their own size and not of the target.
    Answered(u32, Option<Duration>),
    /// It refused; it is alive but has no room.
    Refused(u32),
    /// It could not be reached, or broke off.
    Failed,
    /// The caller went away first.
    Abandoned,
}

/// What a request asks of its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickCriteria<'a> {
    /// Availability zone of the ingress.
    pub zone: &'a str,
    /// Peer address of the ingress, which may have a target beside it.
    pub own_peer: Option<SocketAddr>,
    /// Targets that were tried before.
    pub tried: &'a [SocketAddr],
    /// Length of the request's body and of the answer, as far as they are known, in bytes.
    pub bytes: u64,
}

/// The picker of one node, with what it has seen of each target.
#[derive(Debug)]
pub struct Picker {
    stats: HashMap<SocketAddr, TargetStats>,
    rng: fastrand::Rng,
    ejected: u64,
}

impl Picker {
    /// A picker that has seen nothing.
    pub fn new(rng: fastrand::Rng) -> Picker {
        Picker {
            stats: HashMap::new(),
            rng,
            ejected: 0,
        }
    }

    /// Ejections since start.
    pub fn ejections(&self) -> u64 {
        self.ejected
    }

    /// Picks a target that was not tried yet, and counts an attempt as sent to it.
    pub fn pick<'a>(
        &mut self,
        candidates: &'a [Candidate],
        criteria: PickCriteria<'_>,
        now: Instant,
    ) -> Option<&'a Candidate> {
        let PickCriteria { zone, tried, .. } = criteria;
        self.sync_candidates(candidates, now);
        let open: SmallVec<[&Candidate; 16]> = candidates
            .iter()
            .filter(|c| !tried.contains(&c.peer))
            .collect();
        let usable: SmallVec<[&Candidate; 16]> = open
            .iter()
            .filter(|c| !self.stats[&c.peer].is_unavailable(now))
            .copied()
            .collect();
        // With every target out, an ejected one is better than none.
        let pool = if usable.is_empty() { &open } else { &usable };
        let spill_load = ZONE_SPILL_LOADS
            .iter()
            .find(|(least, _)| criteria.bytes >= *least);
        let spill_load = spill_load.map_or(1.0, |(_, spill_load)| *spill_load);
        let local = pool
            .iter()
            .find(|c| criteria.bytes >= LOCAL_TARGET_MIN_BYTES && Some(c.peer) == criteria.own_peer)
            .filter(|c| self.score(c, now) < 1.0);
        let chosen = match local {
            Some(local) => local,
            None => self.choose(pool, zone, spill_load, now)?,
        };
        let stat = self.stats.get_mut(&chosen.peer).expect("synced above");
        stat.in_flight += 1;
        stat.last_used = now;
        Some(chosen)
    }

    /// An attempt sent to a target ended. `share` holds the service's candidates.
    pub fn record_feedback(
        &mut self,
        peer: SocketAddr,
        feedback: TargetFeedback,
        candidates: &[Candidate],
        now: Instant,
    ) {
        let may_eject = self.may_eject(candidates, now);
        let Some(stat) = self.stats.get_mut(&peer) else {
            return;
        };
        stat.in_flight = stat.in_flight.saturating_sub(1);
        match feedback {
            TargetFeedback::Answered(load, took) => {
                stat.failures = 0;
                took.into_iter().for_each(|t| stat.record_answer_time(t));
                stat.record_load(load, now);
                stat.refusals /= 2.0;
                restore(stat);
            }
            TargetFeedback::Refused(load) => {
                stat.record_load(load, now);
                stat.record_refusal(now);
            }
            TargetFeedback::Abandoned => {}
            TargetFeedback::Failed => {
                stat.failures += 1;
                let on_trial = stat.ejected_until.is_some();
                if may_eject && (on_trial || stat.failures >= FAILURES_TO_EJECT) {
                    eject(stat, now);
                    self.ejected += 1;
                }
            }
        }
    }

    /// Attempts of this node at a target.
    pub fn in_flight(&self, peer: &SocketAddr) -> u32 {
        self.stats.get(peer).map_or(0, |s| s.in_flight)
    }

    /// Whether a target is ejected now.
    pub fn is_ejected(&self, peer: &SocketAddr, now: Instant) -> bool {
        let until = self.stats.get(peer).and_then(|s| s.ejected_until);
        until.is_some_and(|u| now < u)
    }

    /// Drops the history of targets that were not used for long.
    pub fn evict_unused(&mut self, now: Instant) {
        self.stats
            .retain(|_, s| s.in_flight > 0 || now - s.last_used < STATS_RETENTION);
    }

    fn sync_candidates(&mut self, candidates: &[Candidate], now: Instant) {
        for c in candidates {
            let fresh = || TargetStats::new(c.incarnation, now);
            let stat = self.stats.entry(c.peer).or_insert_with(fresh);
            if stat.incarnation != c.incarnation {
                let in_flight = stat.in_flight;
                *stat = TargetStats::new(c.incarnation, now);
                stat.in_flight = in_flight;
            }
        }
    }

    fn choose<'a>(
        &mut self,
        pool: &[&'a Candidate],
        zone: &str,
        spill_load: f64,
        now: Instant,
    ) -> Option<&'a Candidate> {
        let near: SmallVec<[&Candidate; 16]> =
            pool.iter().filter(|c| &*c.zone == zone).copied().collect();
        if let Some(best) = self.better_of_two(&near, now)
            && self.score(best, now) < spill_load
        {
            return Some(best);
        }
        self.better_of_two(pool, now)
    }

    fn better_of_two<'a>(&mut self, pool: &[&'a Candidate], now: Instant) -> Option<&'a Candidate> {
        if pool.len() < 2 {
            return pool.first().copied();
        }
        let a = self.rng.usize(..pool.len());
        let b = (a + 1 + self.rng.usize(..pool.len() - 1)) % pool.len();
        let (a, b) = (pool[a], pool[b]);
        let (time_a, time_b) = self.answer_times(a, b);
        let cost = |score: f64, time: f64| (IDLE_LOAD + score) * time;
        if cost(self.score(b, now), time_b) < cost(self.score(a, now), time_a) {
            return Some(b);
        }
        Some(a)
    }

    /// Mean answer times of two targets; alike until both are known.
    fn answer_times(&self, a: &Candidate, b: &Candidate) -> (f64, f64) {
        let mean = |c: &Candidate| self.stats.get(&c.peer).map_or(0.0, |s| s.mean_seconds);
        match (mean(a), mean(b)) {
            (a, b) if a > 0.0 && b > 0.0 => (a, b),
            _ => (1.0, 1.0),
        }
    }

    /// Share of the slots in use after one more attempt; lower is better.
    fn score(&self, c: &Candidate, now: Instant) -> f64 {
        let Some(stat) = self.stats.get(&c.peer) else {
            return 0.0;
        };
        let slots = f64::from(c.slots.max(1)) * ramp(c, stat, now);
        let penalty = if c.health == Health::Suspect {
            SUSPECT_LOAD_FACTOR
        } else {
            1.0
        };
        let refusal_penalty = 1.0 + stat.refusals(now) * REFUSAL_WEIGHT;
        (stat.load(now) + 1.0) / slots * penalty * refusal_penalty
    }

    fn may_eject(&self, candidates: &[Candidate], now: Instant) -> bool {
        let ejected = candidates
            .iter()
            .filter(|c| self.is_ejected(&c.peer, now))
            .count();
        let most = (candidates.len() as f64 * EJECTED_SHARE_MAX).ceil() as usize;
        ejected < most.min(candidates.len().saturating_sub(1))
    }
}

fn ramp(c: &Candidate, stat: &TargetStats, now: Instant) -> f64 {
    if c.health != Health::Cold || c.ramp.is_zero() {
        return 1.0;
    }
    let age = (now - stat.first_seen).as_secs_f64() / c.ramp.as_secs_f64();
    age.clamp(RAMP_SHARE_MIN, 1.0)
}

fn restore(stat: &mut TargetStats) {
    if stat.ejected_until.is_none() {
        return;
    }
    stat.trial_answers += 1;
    if stat.trial_answers >= TRIAL_ANSWERS {
        stat.ejected_until = None;
        stat.ejections = 0;
    }
}

fn eject(stat: &mut TargetStats, now: Instant) {
    let wait = EJECTION_BASE * 2u32.saturating_pow(stat.ejections.min(8));
    stat.ejected_until = Some(now + wait.min(EJECTION_MAX));
    stat.ejections += 1;
    stat.trial_answers = 0;
    stat.failures = 0;
}

//! Selection of a target by the power of two choices: targets in the ingress's own zone first, a
//! growing share for cold targets, and temporary ejection of failing targets. A target that returns
//! from ejection is on trial: it gets one attempt at a time until it has answered a few.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::state::id::Incarnation;
use crate::state::member::Health;
use crate::state::routing::Candidate;

/// Requests of at least this many bytes go to the local target of their ingress if it has a free
/// slot. The body has already crossed the link of that instance; for any other target, it would
/// have to cross another link as well.
const LOCAL_TARGET_MIN_BYTES: u64 = 16 << 10;
/// Load, relative to the slots, from which targets in other zones are considered, for requests of
/// at least the given number of bytes. The more bytes would cross zones, the longer a request waits
/// in its own zone instead.
const ZONE_SPILL_LOADS: [(u64, f64); 3] = [(16 << 10, 2.0), (2 << 10, 1.6), (0, 1.0)];
/// Minimum share of its slots that a cold target gets.
const RAMP_SHARE_MIN: f64 = 0.1;
/// Number of consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; each further one lasts twice as long.
const EJECTION_BASE: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Maximum share of a service's targets that may be ejected at the same time. The number is rounded
/// up, but never includes all targets.
const EJECTED_SHARE_MAX: f64 = 0.34;
/// Number of answers after which a target that returned from ejection counts as healthy again.
const TRIAL_ANSWERS: u32 = 3;
/// Time for which a reported load counts; its weight decreases linearly.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(500);
/// Time after which the statistics of an unused target are dropped.
const STATS_RETENTION: Duration = Duration::from_secs(300);
/// Weight of the newest sample in a target's mean response time.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;
/// Weight of one recent refusal relative to the load. A target that sheds requests answers quickly
/// and would otherwise look idle.
const REFUSAL_WEIGHT: f64 = 8.0;
/// Maximum number of recent refusals that count.
const REFUSALS_MAX: f64 = 16.0;
/// Recent refusals below this value count as zero, so that the target is tried again.
const REFUSALS_MIN: f64 = 0.05;
/// Time in which a refusal loses half of its weight.
const REFUSAL_HALF_LIFE: Duration = Duration::from_millis(250);
/// Load, as a share of the slots, that is added to every target when response times are compared: a
/// request is better off at a fast target that is half full than at a slow one that is idle.
const IDLE_LOAD: f64 = 0.5;
/// Factor on the load of a target whose node is suspected of having failed.
const SUSPECT_LOAD_FACTOR: f64 = 4.0;

#[derive(Debug)]
struct TargetStats {
    incarnation: Incarnation,
    in_flight: u32,
    /// Attempts of other nodes, derived from the load that the gate last reported.
    reported_load: u32,
    reported_at: Instant,
    /// Moving average of the response time, in seconds; zero before the first response.
    mean_seconds: f64,
    /// Number of recent refusals, decayed up to `refused_at`.
    refusals: f64,
    refused_at: Instant,
    first_seen: Instant,
    last_used: Instant,
    /// Consecutive failures.
    failures: u32,
    /// Ejections since the target last counted as healthy.
    ejections: u32,
    /// End of the last ejection. It stays set while the target is on trial.
    ejected_until: Option<Instant>,
    /// Answers since the last ejection.
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

    /// Estimated number of attempts at the target: those of this node, and those of others as last
    /// reported.
    fn load(&self, now: Instant) -> f64 {
        let age = (now - self.reported_at).as_secs_f64() / LOAD_REPORT_TTL.as_secs_f64();
        let reported = f64::from(self.reported_load) * (1.0 - age).max(0.0);
        f64::from(self.in_flight) + reported
    }

    /// Number of recent refusals, decayed up to `now`.
    fn refusals(&self, now: Instant) -> f64 {
        let age = (now - self.refused_at).as_secs_f64() / REFUSAL_HALF_LIFE.as_secs_f64();
        let decayed = self.refusals * 0.5f64.powf(age);
        if decayed < REFUSALS_MIN { 0.0 } else { decayed }
    }

    fn record_refusal(&mut self, now: Instant) {
        self.refusals = (self.refusals(now) + 1.0).min(REFUSALS_MAX);
        self.refused_at = now;
    }

    fn record_load(&mut self, load: u32, now: Instant) {
        self.reported_load = load.saturating_sub(self.in_flight);
        self.reported_at = now;
    }

    fn record_response_time(&mut self, response_time: Duration) {
        let response_time = response_time.as_secs_f64();
        if self.mean_seconds == 0.0 {
            self.mean_seconds = response_time;
        }
        self.mean_seconds += (response_time - self.mean_seconds) * RESPONSE_TIME_WEIGHT;
    }

    /// Whether the target is ejected, or is back on trial and already runs one attempt of this
    /// node.
    fn is_unavailable(&self, now: Instant) -> bool {
        match self.ejected_until {
            Some(until) if now < until => true,
            Some(_) => self.in_flight > 0,
            None => false,
        }
    }
}

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
        let PickCriteria { zone, tried, .. } = criteria;
        self.sync_candidates(candidates, now);
        let untried: SmallVec<[&Candidate; 16]> = candidates
            .iter()
            .filter(|c| !tried.contains(&c.peer))
            .collect();
        let usable: SmallVec<[&Candidate; 16]> = untried
            .iter()
            .filter(|c| !self.stats[&c.peer].is_unavailable(now))
            .copied()
            .collect();
        // If all targets are ejected or busy with a trial attempt, such a target is better than
        // none.
        let pool = if usable.is_empty() { &untried } else { &usable };
        let spill_load = ZONE_SPILL_LOADS
            .iter()
            .find(|(min_bytes, _)| criteria.bytes >= *min_bytes);
        let spill_load = spill_load.map_or(1.0, |(_, spill_load)| *spill_load);
        let local = pool
            .iter()
            .find(|c| criteria.bytes >= LOCAL_TARGET_MIN_BYTES && Some(c.peer) == criteria.own_peer)
            .filter(|c| self.score(c, now) < 1.0);
        let chosen = match local {
            Some(local) => local,
            None => self.choose(pool, zone, spill_load, now)?,
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
        let may_eject = self.may_eject(candidates, now);
        let Some(stats) = self.stats.get_mut(&peer) else {
            return;
        };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        match feedback {
            TargetFeedback::Answered(load, response_time) => {
                stats.failures = 0;
                response_time
                    .into_iter()
                    .for_each(|t| stats.record_response_time(t));
                stats.record_load(load, now);
                stats.refusals /= 2.0;
                count_trial_answer(stats);
            }
            TargetFeedback::Refused(load) => {
                stats.record_load(load, now);
                stats.record_refusal(now);
            }
            TargetFeedback::Abandoned => {}
            TargetFeedback::Failed => {
                stats.failures += 1;
                let on_trial = stats.ejected_until.is_some();
                if may_eject && (on_trial || stats.failures >= FAILURES_TO_EJECT) {
                    eject(stats, now);
                    self.ejections += 1;
                }
            }
        }
    }

    /// Number of attempts of this node at a target.
    pub fn in_flight(&self, peer: &SocketAddr) -> u32 {
        self.stats.get(peer).map_or(0, |s| s.in_flight)
    }

    /// Whether a target is currently ejected.
    pub fn is_ejected(&self, peer: &SocketAddr, now: Instant) -> bool {
        let until = self.stats.get(peer).and_then(|s| s.ejected_until);
        until.is_some_and(|u| now < u)
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

    /// Chooses a target in the same zone if its load is below `spill_load`, or else one of all
    /// zones.
    fn choose<'a>(
        &mut self,
        pool: &[&'a Candidate],
        zone: &str,
        spill_load: f64,
        now: Instant,
    ) -> Option<&'a Candidate> {
        let same_zone: SmallVec<[&Candidate; 16]> =
            pool.iter().filter(|c| &*c.zone == zone).copied().collect();
        if let Some(best) = self.better_of_two(&same_zone, now)
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
        let (time_a, time_b) = self.response_times(a, b);
        let cost = |score: f64, time: f64| (IDLE_LOAD + score) * time;
        if cost(self.score(b, now), time_b) < cost(self.score(a, now), time_a) {
            return Some(b);
        }
        Some(a)
    }

    /// Mean response times of two targets; equal until both are known.
    fn response_times(&self, a: &Candidate, b: &Candidate) -> (f64, f64) {
        let mean = |c: &Candidate| self.stats.get(&c.peer).map_or(0.0, |s| s.mean_seconds);
        match (mean(a), mean(b)) {
            (a, b) if a > 0.0 && b > 0.0 => (a, b),
            _ => (1.0, 1.0),
        }
    }

    /// Share of the slots in use after one more attempt, weighted by refusals and suspicion; lower
    /// is better.
    fn score(&self, c: &Candidate, now: Instant) -> f64 {
        let Some(stats) = self.stats.get(&c.peer) else {
            return 0.0;
        };
        let slots = f64::from(c.slots.max(1)) * ramp_share(c, stats, now);
        let suspect_factor = if c.health == Health::Suspect {
            SUSPECT_LOAD_FACTOR
        } else {
            1.0
        };
        let refusal_factor = 1.0 + stats.refusals(now) * REFUSAL_WEIGHT;
        (stats.load(now) + 1.0) / slots * suspect_factor * refusal_factor
    }

    fn may_eject(&self, candidates: &[Candidate], now: Instant) -> bool {
        let ejected = candidates
            .iter()
            .filter(|c| self.is_ejected(&c.peer, now))
            .count();
        let max_ejected = (candidates.len() as f64 * EJECTED_SHARE_MAX).ceil() as usize;
        ejected < max_ejected.min(candidates.len().saturating_sub(1))
    }
}

/// Share of its slots that a target gets. For a cold target it grows from [`RAMP_SHARE_MIN`] to one
/// during its ramp time.
fn ramp_share(c: &Candidate, stats: &TargetStats, now: Instant) -> f64 {
    if c.health != Health::Cold || c.ramp.is_zero() {
        return 1.0;
    }
    let age = (now - stats.first_seen).as_secs_f64() / c.ramp.as_secs_f64();
    age.clamp(RAMP_SHARE_MIN, 1.0)
}

fn count_trial_answer(stats: &mut TargetStats) {
    if stats.ejected_until.is_none() {
        return;
    }
    stats.trial_answers += 1;
    if stats.trial_answers >= TRIAL_ANSWERS {
        stats.ejected_until = None;
        stats.ejections = 0;
    }
}

fn eject(stats: &mut TargetStats, now: Instant) {
    let duration = EJECTION_BASE * 2u32.saturating_pow(stats.ejections.min(8));
    stats.ejected_until = Some(now + duration.min(EJECTION_MAX));
    stats.ejections += 1;
    stats.trial_answers = 0;
    stats.failures = 0;
}

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
const STAY_BYTES: u64 = 16 << 10;
/// Load beyond which other zones are considered, as a share of the slots in use, by the bytes that
/// would cross: the more there are, the longer a request rather waits in its own zone.
const ZONE_SPILLS: [(u64, f64); 3] = [(16 << 10, 2.0), (2 << 10, 1.6), (0, 1.0)];
/// Smallest share of its slots that a cold target gets.
const RAMP_FLOOR: f64 = 0.1;
/// Failures in a row that eject a target.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection; doubled with each further one.
const EJECT_BASE: Duration = Duration::from_secs(1);
/// Longest ejection.
const EJECT_MAX: Duration = Duration::from_secs(30);
/// Largest share of a service's targets that may be ejected at once.
const EJECT_SHARE: f64 = 0.34;
/// Answers after which a returning target is trusted.
const TRIAL_ANSWERS: u32 = 3;
/// Time for which a reported load counts; it fades linearly.
const REPORT_LIFE: Duration = Duration::from_millis(500);
/// Time after which an unused target's history is dropped.
const HISTORY: Duration = Duration::from_secs(300);
/// Weight of the newest sample in a target's mean answer time.
const MEAN_WEIGHT: f64 = 0.1;
/// Weight of one recent refusal against the load; a target that sheds answers fast and looks idle.
const REFUSAL_WEIGHT: f64 = 8.0;
/// Most recent refusals that count.
const REFUSALS_MAX: f64 = 16.0;
/// Refusals below which none count, so that the target is tried again.
const REFUSALS_FORGOTTEN: f64 = 0.05;
/// Time in which a refusal loses half of its weight.
const REFUSAL_HALF_LIFE: Duration = Duration::from_millis(250);
/// Load, as a share of the slots, that an idle target is taken to have when answer times are weighed:
/// a request is better off at a fast target that is half full than at a slow one that is idle.
const IDLE_COST: f64 = 0.5;
/// Factor on the load of a target whose node is suspect.
const SUSPECT_PENALTY: f64 = 4.0;

#[derive(Debug)]
struct Stat {
    incarnation: Incarnation,
    in_flight: u32,
    /// Attempts of other nodes that the gate reported.
    reported: u32,
    reported_at: Instant,
    /// Mean time to an answer, in seconds; zero before the first.
    mean: f64,
    /// Recent refusals, as of `refused_at`.
    refusals: f64,
    refused_at: Instant,
    first: Instant,
    used: Instant,
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
    trial: u32,
}

impl Stat {
    fn new(incarnation: Incarnation, now: Instant) -> Stat {
        Stat {
            incarnation,
            in_flight: 0,
            reported: 0,
            reported_at: now,
            mean: 0.0,
            refusals: 0.0,
            refused_at: now,
            first: now,
            used: now,
            failures: 0,
            ejections: 0,
            until: None,
            trial: 0,
        }
    }

    /// Attempts believed to be at the target: this node's, and those of others as last reported.
    fn load(&self, now: Instant) -> f64 {
        let age = (now - self.reported_at).as_secs_f64() / REPORT_LIFE.as_secs_f64();
        let reported = f64::from(self.reported) * (1.0 - age).max(0.0);
        f64::from(self.in_flight) + reported
    }

    /// Recent refusals, fading.
    fn refusals(&self, now: Instant) -> f64 {
        let age = (now - self.refused_at).as_secs_f64() / REFUSAL_HALF_LIFE.as_secs_f64();
        let left = self.refusals * 0.5f64.powf(age);
        if left < REFUSALS_FORGOTTEN { 0.0 } else { left }
    }

    fn refuse(&mut self, now: Instant) {
        self.refusals = (self.refusals(now) + 1.0).min(REFUSALS_MAX);
        self.refused_at = now;
    }

    fn report(&mut self, load: u32, now: Instant) {
        self.reported = load.saturating_sub(self.in_flight);
        self.reported_at = now;
    }

    fn learn(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = took;
        }
        self.mean += (took - self.mean) * MEAN_WEIGHT;
    }

    /// Whether the target is out, or back on trial and already busy with one attempt.
    fn is_out(&self, now: Instant) -> bool {
        match self.until {
            Some(until) if now < until => true,
            Some(_) => self.in_flight > 0,
            None => false,
        }
    }
}

/// How an attempt went, as far as it tells of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
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
pub struct Wanted<'a> {
    /// Availability zone of the ingress.
    pub zone: &'a str,
    /// Peer address of the ingress, which may have a target beside it.
    pub own: Option<SocketAddr>,
    /// Targets that were tried before.
    pub tried: &'a [SocketAddr],
    /// Length of the request's body and of the answer, as far as they are known, in bytes.
    pub bytes: u64,
}

/// The picker of one node, with what it has seen of each target.
#[derive(Debug)]
pub struct Picker {
    stats: HashMap<SocketAddr, Stat>,
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
    pub fn ejected(&self) -> u64 {
        self.ejected
    }

    /// Picks a target that was not tried yet, and counts an attempt as sent to it.
    pub fn pick<'a>(
        &mut self,
        candidates: &'a [Candidate],
        wanted: Wanted<'_>,
        now: Instant,
    ) -> Option<&'a Candidate> {
        let Wanted { zone, tried, .. } = wanted;
        self.sync(candidates, now);
        let open: SmallVec<[&Candidate; 16]> = candidates
            .iter()
            .filter(|c| !tried.contains(&c.peer))
            .collect();
        let usable: SmallVec<[&Candidate; 16]> = open
            .iter()
            .filter(|c| !self.stats[&c.peer].is_out(now))
            .copied()
            .collect();
        // With every target out, an ejected one is better than none.
        let pool = if usable.is_empty() { &open } else { &usable };
        let spill = ZONE_SPILLS.iter().find(|(least, _)| wanted.bytes >= *least);
        let spill = spill.map_or(1.0, |(_, spill)| *spill);
        let beside = pool
            .iter()
            .find(|c| wanted.bytes >= STAY_BYTES && Some(c.peer) == wanted.own)
            .filter(|c| self.score(c, now) < 1.0);
        let chosen = match beside {
            Some(beside) => beside,
            None => self.choose(pool, zone, spill, now)?,
        };
        let stat = self.stats.get_mut(&chosen.peer).expect("synced above");
        stat.in_flight += 1;
        stat.used = now;
        Some(chosen)
    }

    /// An attempt sent to a target ended. `share` holds the service's candidates.
    pub fn done(&mut self, peer: SocketAddr, sign: Sign, share: &[Candidate], now: Instant) {
        let may_eject = self.may_eject(share, now);
        let Some(stat) = self.stats.get_mut(&peer) else {
            return;
        };
        stat.in_flight = stat.in_flight.saturating_sub(1);
        match sign {
            Sign::Answered(load, took) => {
                stat.failures = 0;
                took.into_iter().for_each(|t| stat.learn(t));
                stat.report(load, now);
                stat.refusals /= 2.0;
                restore(stat);
            }
            Sign::Refused(load) => {
                stat.report(load, now);
                stat.refuse(now);
            }
            Sign::Abandoned => {}
            Sign::Failed => {
                stat.failures += 1;
                let on_trial = stat.until.is_some();
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
        let until = self.stats.get(peer).and_then(|s| s.until);
        until.is_some_and(|u| now < u)
    }

    /// Drops the history of targets that were not used for long.
    pub fn forget(&mut self, now: Instant) {
        self.stats
            .retain(|_, s| s.in_flight > 0 || now - s.used < HISTORY);
    }

    fn sync(&mut self, candidates: &[Candidate], now: Instant) {
        for c in candidates {
            let fresh = || Stat::new(c.incarnation, now);
            let stat = self.stats.entry(c.peer).or_insert_with(fresh);
            if stat.incarnation != c.incarnation {
                let in_flight = stat.in_flight;
                *stat = Stat::new(c.incarnation, now);
                stat.in_flight = in_flight;
            }
        }
    }

    fn choose<'a>(
        &mut self,
        pool: &[&'a Candidate],
        zone: &str,
        spill: f64,
        now: Instant,
    ) -> Option<&'a Candidate> {
        let near: SmallVec<[&Candidate; 16]> =
            pool.iter().filter(|c| &*c.zone == zone).copied().collect();
        if let Some(best) = self.better_of_two(&near, now)
            && self.score(best, now) < spill
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
        let (slow_a, slow_b) = self.slowness(a, b);
        let cost = |score: f64, slow: f64| (IDLE_COST + score) * slow;
        if cost(self.score(b, now), slow_b) < cost(self.score(a, now), slow_a) {
            return Some(b);
        }
        Some(a)
    }

    /// Mean answer times of two targets; alike until both are known.
    fn slowness(&self, a: &Candidate, b: &Candidate) -> (f64, f64) {
        let mean = |c: &Candidate| self.stats.get(&c.peer).map_or(0.0, |s| s.mean);
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
            SUSPECT_PENALTY
        } else {
            1.0
        };
        let shy = 1.0 + stat.refusals(now) * REFUSAL_WEIGHT;
        (stat.load(now) + 1.0) / slots * penalty * shy
    }

    fn may_eject(&self, share: &[Candidate], now: Instant) -> bool {
        let out = share
            .iter()
            .filter(|c| self.is_ejected(&c.peer, now))
            .count();
        let most = (share.len() as f64 * EJECT_SHARE).ceil() as usize;
        out < most.min(share.len().saturating_sub(1))
    }
}

fn ramp(c: &Candidate, stat: &Stat, now: Instant) -> f64 {
    if c.health != Health::Cold || c.ramp.is_zero() {
        return 1.0;
    }
    let age = (now - stat.first).as_secs_f64() / c.ramp.as_secs_f64();
    age.clamp(RAMP_FLOOR, 1.0)
}

fn restore(stat: &mut Stat) {
    if stat.until.is_none() {
        return;
    }
    stat.trial += 1;
    if stat.trial >= TRIAL_ANSWERS {
        stat.until = None;
        stat.ejections = 0;
    }
}

fn eject(stat: &mut Stat, now: Instant) {
    let wait = EJECT_BASE * 2u32.saturating_pow(stat.ejections.min(8));
    stat.until = Some(now + wait.min(EJECT_MAX));
    stat.ejections += 1;
    stat.trial = 0;
    stat.failures = 0;
}

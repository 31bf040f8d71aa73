//! Policies that were weighed against the one of [`Picker`](crate::coordination::pick::Picker):
//! two random choices with several interpretations of the reported load.

use std::marker::PhantomData;
use std::time::Duration;

use tokio::time::Instant;

use super::policy::{AttemptEnd, PickRequest, Picked, Policy, two_of};
use crate::state::routing::Candidate;

/// Time for which a reported load counts with [`Fading`]; its weight decreases linearly.
const FADING_TIME: Duration = Duration::from_millis(500);
/// Load that is added to every target when response times are compared.
const IDLE_LOAD: f64 = 0.5;
/// Load from which other zones are considered, by the least number of bytes.
const SPILL_LOADS: [(u64, f64); 2] = [(2 << 10, 1.6), (0, 1.0)];
/// Weight of one recent refusal relative to the load, their maximum, and their half-life.
const REFUSAL_WEIGHT: f64 = 8.0;
const REFUSALS_MAX: f64 = 16.0;
const REFUSAL_HALF_LIFE: Duration = Duration::from_millis(250);
/// Weight of the newest sample in the mean response time.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;

/// What a node knows about one target.
#[derive(Clone, Copy)]
pub(super) struct Known {
    in_flight: u32,
    /// Attempts of other nodes at the time of the report.
    reported: f64,
    reported_at: Option<Instant>,
    mean_seconds: f64,
    refusals: f64,
    refused_at: Option<Instant>,
}

/// Interpretation of a reported load.
pub(super) trait ReportedLoad {
    /// Attempts of other nodes that are expected now. `usual` is their mean at all targets.
    fn expected(known: &Known, usual: f64, now: Instant) -> f64;
}

/// The load counts less the older it is, and not at all after [`FADING_TIME`].
pub(super) struct Fading;

impl ReportedLoad for Fading {
    fn expected(known: &Known, _usual: f64, now: Instant) -> f64 {
        let age = known.age(now).as_secs_f64() / FADING_TIME.as_secs_f64();
        known.reported * (1.0 - age).max(0.0)
    }
}

/// The reported attempts end, and others arrive as usual.
pub(super) struct ByAge;

impl ReportedLoad for ByAge {
    fn expected(known: &Known, usual: f64, now: Instant) -> f64 {
        let age = known.age(now).as_secs_f64() / known.mean_seconds.max(0.001);
        usual + (known.reported - usual) * (-age).exp()
    }
}

impl Known {
    fn new() -> Known {
        Known {
            in_flight: 0,
            reported: 0.0,
            reported_at: None,
            mean_seconds: 0.0,
            refusals: 0.0,
            refused_at: None,
        }
    }

    fn age(&self, now: Instant) -> Duration {
        self.reported_at.map_or(FADING_TIME * 10, |at| now - at)
    }

    fn refusals(&self, now: Instant) -> f64 {
        let Some(at) = self.refused_at else {
            return 0.0;
        };
        let age = (now - at).as_secs_f64() / REFUSAL_HALF_LIFE.as_secs_f64();
        self.refusals * 0.5f64.powf(age)
    }

    fn record(&mut self, end: AttemptEnd<'_>) {
        self.in_flight -= 1;
        match end.response_time {
            Some(time) => {
                let seconds = time.as_secs_f64();
                if self.mean_seconds == 0.0 {
                    self.mean_seconds = seconds;
                }
                self.mean_seconds += (seconds - self.mean_seconds) * RESPONSE_TIME_WEIGHT;
                self.refusals /= 2.0;
            }
            None => {
                self.refusals = (self.refusals(end.now) + 1.0).min(REFUSALS_MAX);
                self.refused_at = Some(end.now);
            }
        }
        self.record_load(end.load, end.now);
    }

    fn record_load(&mut self, load: u32, now: Instant) {
        self.reported = f64::from(load.saturating_sub(self.in_flight));
        self.reported_at = Some(now);
    }
}

/// Two random choices, own zone first. `L` interprets reported loads.
pub(super) struct TwoChoices<L> {
    known: Vec<Known>,
    rng: fastrand::Rng,
    load: PhantomData<L>,
}

impl<L: ReportedLoad> TwoChoices<L> {
    fn usual(&self) -> f64 {
        let known = self.known.iter().filter(|k| k.reported_at.is_some());
        let (sum, count) = known.fold((0.0, 0.0), |(s, n), k| (s + k.reported, n + 1.0));
        sum / f64::max(count, 1.0)
    }

    fn score(&self, target: usize, request: PickRequest<'_>) -> f64 {
        let known = &self.known[target];
        let others = L::expected(known, self.usual(), request.now);
        let slots = f64::from(request.candidates[target].slots);
        let refusals = 1.0 + known.refusals(request.now) * REFUSAL_WEIGHT;
        (f64::from(known.in_flight) + others + 1.0) / slots * refusals
    }

    fn better_of_two(&mut self, pool: &[usize], request: PickRequest<'_>) -> Option<usize> {
        let (a, b) = two_of(pool, &mut self.rng)?;
        let times = (self.known[a].mean_seconds, self.known[b].mean_seconds);
        let (time_a, time_b) = match times {
            (a, b) if a > 0.0 && b > 0.0 => (a, b),
            _ => (1.0, 1.0),
        };
        let cost = |t: usize, time: f64| (IDLE_LOAD + self.score(t, request)) * time;
        Some(if cost(b, time_b) < cost(a, time_a) {
            b
        } else {
            a
        })
    }

    fn choose(&mut self, pool: &[usize], request: PickRequest<'_>) -> usize {
        let is_near = |t: &usize| *request.candidates[*t].zone == *request.zone;
        let near: Vec<usize> = pool.iter().copied().filter(is_near).collect();
        let spill = SPILL_LOADS
            .iter()
            .find(|(bytes, _)| request.bytes >= *bytes);
        let spill = spill.map_or(1.0, |(_, load)| *load);
        let best = self.better_of_two(&near, request);
        let target = match best.filter(|t| self.score(*t, request) < spill) {
            Some(best) => best,
            None => self.better_of_two(pool, request).unwrap_or(0),
        };
        self.known[target].in_flight += 1;
        target
    }
}

impl<L: ReportedLoad> Policy for TwoChoices<L> {
    fn new(targets: usize, rng: fastrand::Rng) -> Self {
        TwoChoices {
            known: vec![Known::new(); targets],
            rng,
            load: PhantomData,
        }
    }

    fn pick(&mut self, request: PickRequest<'_>) -> Picked {
        let pool = all_targets(request.candidates);
        self.choose(&pool, request).into()
    }

    fn record(&mut self, end: AttemptEnd<'_>) {
        self.known[end.target].record(end);
    }
}

/// Number of targets that a node uses with [`Subset`].
const SUBSET_SIZE: usize = 4;

/// Two choices among a fixed subset of the targets, about as many of each zone.
pub(super) struct Subset {
    inner: TwoChoices<ByAge>,
    members: Vec<usize>,
}

impl Policy for Subset {
    fn new(targets: usize, mut rng: fastrand::Rng) -> Self {
        // Targets at equal distances are spread over the zones.
        let size = SUBSET_SIZE.min(targets);
        let first = rng.usize(..targets);
        let member = |n: usize| (first + n * targets / size) % targets;
        Subset {
            members: (0..size).map(member).collect(),
            inner: TwoChoices::new(targets, rng),
        }
    }

    fn pick(&mut self, request: PickRequest<'_>) -> Picked {
        self.inner.choose(&self.members, request).into()
    }

    fn record(&mut self, end: AttemptEnd<'_>) {
        self.inner.record(end);
    }
}

/// Free slots that gates offer on their answers; two choices without an offer.
pub(super) struct Offers {
    inner: TwoChoices<ByAge>,
    /// Target and end of each offer, newest last.
    offers: Vec<(usize, Instant)>,
}

impl Policy for Offers {
    const USES_OFFERS: bool = true;

    fn new(targets: usize, rng: fastrand::Rng) -> Self {
        Offers {
            inner: TwoChoices::new(targets, rng),
            offers: Vec::new(),
        }
    }

    fn pick(&mut self, request: PickRequest<'_>) -> Picked {
        self.offers.retain(|(_, until)| *until > request.now);
        let is_near = |(t, _): &(usize, Instant)| *request.candidates[*t].zone == *request.zone;
        let Some(index) = self.offers.iter().rposition(is_near) else {
            return self.inner.pick(request);
        };
        let (target, _) = self.offers.remove(index);
        self.inner.known[target].in_flight += 1;
        Picked {
            target,
            by_offer: true,
        }
    }

    fn record(&mut self, end: AttemptEnd<'_>) {
        self.offers
            .extend(end.offer.map(|until| (end.target, until)));
        self.inner.record(end);
    }
}

/// Probes per request with [`Probes`].
const PROBES_PER_REQUEST: usize = 2;

/// Two choices with the loads that probes have asked for beside each request.
pub(super) struct Probes {
    inner: TwoChoices<ByAge>,
    targets: usize,
    due: usize,
}

impl Policy for Probes {
    fn new(targets: usize, rng: fastrand::Rng) -> Self {
        Probes {
            inner: TwoChoices::new(targets, rng),
            targets,
            due: 0,
        }
    }

    fn pick(&mut self, request: PickRequest<'_>) -> Picked {
        self.due += PROBES_PER_REQUEST;
        self.inner.pick(request)
    }

    fn record(&mut self, end: AttemptEnd<'_>) {
        self.inner.record(end);
    }

    fn next_probe(&mut self) -> Option<usize> {
        self.due = self.due.checked_sub(1)?;
        Some(self.inner.rng.usize(..self.targets))
    }

    fn record_probe(&mut self, target: usize, load: u32, now: Instant) {
        self.inner.known[target].record_load(load, now);
    }
}

/// Each target in turn, whatever its load and zone.
pub(super) struct RoundRobin(usize);

impl Policy for RoundRobin {
    fn new(targets: usize, mut rng: fastrand::Rng) -> Self {
        RoundRobin(rng.usize(..targets))
    }

    fn pick(&mut self, request: PickRequest<'_>) -> Picked {
        self.0 += 1;
        (self.0 % request.candidates.len()).into()
    }

    fn record(&mut self, _end: AttemptEnd<'_>) {}
}

fn all_targets(candidates: &[Candidate]) -> Vec<usize> {
    (0..candidates.len()).collect()
}

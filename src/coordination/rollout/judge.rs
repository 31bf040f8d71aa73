//! Decides from counts whether the new version of a service is worse than the old one.
//!
//! The answers of both sides are compared route by route and in the same windows. Each comparison
//! classifies an answer as bad or not: it failed, it took over twice the old version's median, or
//! it took over twice the old version's 95th percentile. The old version's rate of bad answers in
//! the same windows is the expected one. Cumulative sums of log likelihood ratios test it against
//! higher rates. A sum never falls below zero, so that a version that becomes bad late is found as
//! fast as one that is bad from its start.
//!
//! With few requests, the old version's rate in a batch is uncertain and the sums grow slowly. At the
//! end, a Mantel-Haenszel test over all batches uses what the whole time has shown.

use std::collections::BTreeMap;

use super::counts::{RouteCounts, RouteKey, WindowCounts, WindowNumber};

/// Sum from which a version is bad. An equal version reaches it in about one of e^16 (9 million)
/// answers per sum.
const CONDEMNED_FROM: f64 = 16.0;
/// Sum above which a version is bad if there is no time left to learn more: the answers are 150
/// times more likely from a bad version.
const SUSPECTED_FROM: f64 = 5.0;
/// Standard deviations by which the bad answers must exceed the expected number to be suspicious. One
/// in 4,000 equal versions does.
const SUSPECTED_DEVIATIONS: f64 = 3.5;
/// Smallest suspicious excess, in answers.
const EXCESS_MIN: f64 = 5.0;
/// Most that one batch adds to the excess, in answers. The crash of one target is no suspicion.
const BATCH_EXCESS_MAX: f64 = 3.0;
/// Most that one window adds to a sum, so that no version is condemned for a single window, in
/// which one of its targets may have crashed.
const WINDOW_GAIN_MAX: f64 = 0.6 * CONDEMNED_FROM;
/// How much higher the rate of bad answers is in the hypotheses that are tested.
const EXCESS_RATES: [f64; 3] = [0.03, 0.1, 0.4];
/// Highest rate of bad answers of a hypothesis.
const RATE_MAX: f64 = 0.98;
/// Answers of the old version in a batch that suffice for a comparison.
const OLD_ANSWERS_MIN: u64 = 20;
/// Number of windows after which a batch is evaluated also with fewer answers of the old version.
const BATCH_WINDOWS_MAX: u64 = 10;
/// The same number if the new version has given [`NEW_ANSWERS_MANY`] answers, some of which may be
/// among the 50 bad ones after which it has to be stopped.
const BATCH_WINDOWS_BUSY: u64 = 3;
const NEW_ANSWERS_MANY: u64 = 5;
/// Number of buckets above the median, or above the 95th percentile, from which an answer is slow.
/// The bucket of a time that is twice as long is two buckets higher; one more allows for rounding.
const SLOW_BUCKETS: usize = 3;
/// Fractions of the old version's answers above which slow answers are counted. The second one
/// finds a version that is slow only for its expensive requests.
const SLOW_ABOVE: [f64; 2] = [0.5, 0.95];
/// Number of comparisons: failures, and slow answers by each of [`SLOW_ABOVE`].
const COMPARISONS: usize = 1 + SLOW_ABOVE.len();

/// One classification of the answers of both sides.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    old_bad: u64,
    old_total: u64,
    new_bad: u64,
    new_total: u64,
}

impl Comparison {
    /// Upper estimate of the old version's rate of bad answers. With few answers it is high, so that
    /// only a large difference counts.
    fn expected_rate(&self) -> f64 {
        let bad = self.old_bad as f64 + 1.0;
        (bad + bad.sqrt()) / (self.old_total as f64 + 5.0)
    }

    /// Log likelihood ratio of each hypothesis for the answers of the new version.
    fn evidence(&self) -> [f64; EXCESS_RATES.len()] {
        let expected = self.expected_rate();
        let good = self.new_total - self.new_bad;
        EXCESS_RATES.map(|excess| {
            let rate = (expected + excess).min(RATE_MAX);
            if rate <= expected {
                return 0.0;
            }
            let bad_weight = (rate / expected).ln();
            let good_weight = ((1.0 - rate) / (1.0 - expected)).ln();
            self.new_bad as f64 * bad_weight + good as f64 * good_weight
        })
    }
}

/// Number of bad answers of the new version beyond the expected one, over all batches.
#[derive(Clone, Copy, Debug, Default)]
struct Excess {
    sum: f64,
    variance: f64,
}

impl Excess {
    /// Adds a batch: the expected number and its variance if the bad answers of both versions were
    /// distributed by chance.
    fn add(&mut self, batch: &Comparison) {
        let total = (batch.old_total + batch.new_total) as f64;
        let bad = (batch.old_bad + batch.new_bad) as f64;
        if batch.old_total == 0 || batch.new_total == 0 {
            return;
        }
        let new_part = batch.new_total as f64 / total;
        let excess = batch.new_bad as f64 - bad * new_part;
        self.sum += excess.min(BATCH_EXCESS_MAX);
        self.variance += bad * (total - bad) * new_part * (1.0 - new_part) / (total - 1.0);
    }

    fn is_suspicious(&self) -> bool {
        self.sum >= EXCESS_MIN && self.sum >= SUSPECTED_DEVIATIONS * self.variance.sqrt()
    }
}

/// Classifies the answers of a route for each comparison.
fn compare(counts: &RouteCounts) -> [Comparison; COMPARISONS] {
    let [old, new] = [&counts.old, &counts.new];
    let mut comparisons = [Comparison::default(); COMPARISONS];
    comparisons[0] = Comparison {
        old_bad: old.failures.into(),
        old_total: old.total(),
        new_bad: new.failures.into(),
        new_total: new.total(),
    };
    for (comparison, fraction) in comparisons[1..].iter_mut().zip(SLOW_ABOVE) {
        let Some(usual) = old.times.quantile(fraction) else {
            continue;
        };
        *comparison = Comparison {
            old_bad: old.times.count_from(usual + SLOW_BUCKETS),
            old_total: old.times.total(),
            new_bad: new.times.count_from(usual + SLOW_BUCKETS),
            new_total: new.times.total(),
        };
    }
    comparisons
}

/// The evidence of one batch or window, or the sums of one route.
type Sums = [[f64; EXCESS_RATES.len()]; COMPARISONS];

/// Adds evidence to sums, within the bounds of one window.
fn accumulate(sums: &mut Sums, evidence: &Sums) {
    let pairs = sums.iter_mut().flatten().zip(evidence.iter().flatten());
    for (sum, gain) in pairs {
        *sum = (*sum + gain.min(WINDOW_GAIN_MAX)).clamp(0.0, CONDEMNED_FROM);
    }
}

/// What is known about one route.
#[derive(Clone, Debug)]
struct RouteEvidence {
    /// Counts since `batch_from`, which were not evaluated yet.
    batch: RouteCounts,
    batch_from: WindowNumber,
    sums: Sums,
    excess: [Excess; COMPARISONS],
}

impl RouteEvidence {
    fn new(window: WindowNumber) -> RouteEvidence {
        RouteEvidence {
            batch: RouteCounts::default(),
            batch_from: window,
            sums: Sums::default(),
            excess: Default::default(),
        }
    }

    /// Adds the counts of a window, and evaluates the batch if it is complete.
    fn record(&mut self, counts: &RouteCounts, window: WindowNumber) {
        self.batch.old.add(&counts.old);
        self.batch.new.add(&counts.new);
        let windows = window.since(self.batch_from) + 1;
        let new_answers = self.batch.new.total();
        let is_comparable = new_answers > 0 && self.batch.old.total() >= OLD_ANSWERS_MIN;
        let is_urgent = new_answers >= NEW_ANSWERS_MANY && windows >= BATCH_WINDOWS_BUSY;
        if is_comparable || is_urgent || windows >= BATCH_WINDOWS_MAX {
            let comparisons = compare(&self.batch);
            accumulate(&mut self.sums, &comparisons.map(|c| c.evidence()));
            for (excess, comparison) in self.excess.iter_mut().zip(&comparisons) {
                excess.add(comparison);
            }
            self.batch = RouteCounts::default();
            self.batch_from = WindowNumber(window.0 + 1);
        }
    }
}

/// What the answers so far say about the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against the version.
    Clear,
    /// The version may be bad. It is if there is no time to learn more.
    Suspected,
    /// The version is bad.
    Condemned,
}

/// Compares the new version of a service with the old one.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    routes: BTreeMap<RouteKey, RouteEvidence>,
    /// All routes together. They show a version that is bad on many routes with few requests each.
    /// Both versions get the same mix of routes, because each request is assigned by chance.
    service: Option<RouteEvidence>,
    new_answers: u64,
}

impl Judge {
    /// Adds the answers in a window. Windows are added in order. A window without answers is added
    /// too, because the batches of the routes end with it.
    pub fn record(&mut self, counts: &WindowCounts, window: WindowNumber) {
        for key in counts.keys() {
            let new_route = || RouteEvidence::new(window);
            self.routes.entry(*key).or_insert_with(new_route);
        }
        let mut total = RouteCounts::default();
        for (key, route) in &mut self.routes {
            let counts = counts.get(key).copied().unwrap_or_default();
            total.old.add(&counts.old);
            total.new.add(&counts.new);
            route.record(&counts, window);
        }
        self.new_answers += total.new.total();
        let new_service = || RouteEvidence::new(window);
        let service = self.service.get_or_insert_with(new_service);
        service.record(&total, window);
    }

    /// Number of answers of the new version so far.
    pub fn new_answers(&self) -> u64 {
        self.new_answers
    }

    /// The verdict on the new version.
    pub fn verdict(&self) -> Verdict {
        let routes = self.routes.values().chain(&self.service);
        let highest = routes.flat_map(|r| r.sums.iter().flatten()).copied();
        let highest = highest.fold(0.0, f64::max);
        let service = self.service.iter().flat_map(|s| &s.excess);
        let has_excess = service.copied().any(|e| e.is_suspicious());
        match highest {
            sum if sum >= CONDEMNED_FROM => Verdict::Condemned,
            sum if sum >= SUSPECTED_FROM || has_excess => Verdict::Suspected,
            _ => Verdict::Clear,
        }
    }
}

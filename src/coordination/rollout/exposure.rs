//! Bounds the number of requests that the new version of a service gets before the decision, and
//! divides that number over time.
//!
//! Each directive lets the chosen targets start a certain number of requests. It counts as used until
//! their reports say how many were really started, so that the bound holds whatever the demand does
//! and whichever messages are lost.
//!
//! A version may be slow only under load. A constant small share would never show that. The share is
//! therefore small most of the time and is raised for some windows as soon as the bound permits, to
//! the share with which one new target carries as much load as each old one.

use std::net::SocketAddr;

use super::collector::Collector;
use super::counts::{Side, WindowNumber};
use super::message::{CHOSEN_MAX, ChosenTargets, LEASE_WINDOWS, Mode, Share};

/// The new version may get a tenth of the requests of the service: one in this number.
const BOUND_DIVISOR: u64 = 10;
/// Requests that the new version may get beyond its tenth.
const BOUND_EXTRA: u64 = 50;
/// Share of the new version between load phases.
const BASE_SHARE: f64 = 0.04;
/// Requests per window below which a load phase puts no load on a target. The requests that the
/// bound permits are then spread over the remaining time, because each of them counts as evidence.
const LOAD_REQUESTS_MIN: f64 = 2.0;
/// Largest share of the new version of a service with few requests.
const SPREAD_SHARE_MAX: f64 = 0.3;
/// Factor between the expected number of requests and the number that a target may start. An ingress
/// would otherwise be refused whenever the demand is a little above the mean.
const ALLOWANCE_FACTOR: f64 = 1.5;
/// Requests that a target may start beyond that, for services with few requests.
const ALLOWANCE_EXTRA: f64 = 2.0;
/// Number of windows before the first request to the new version. The demand must be known, and the
/// directives of a node that decided before must have ended.
const WARMUP_WINDOWS: u64 = 4;
/// Length of a load phase, in windows.
const LOAD_WINDOWS: u64 = 3;
/// Number of recent windows of which the busiest one is the expected demand.
const DEMAND_WINDOWS: usize = 5;

/// Requests that a target may start, not all of which are covered by its reports.
#[derive(Clone, Copy, Debug)]
struct Grant {
    target: SocketAddr,
    issued: WindowNumber,
    requests: u32,
}

/// The requests that the new version got or may still get, and the plan for the next ones.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    grants: Vec<Grant>,
    /// Requests started before this node decided, from the store.
    stored: StartedRequests,
    started: StartedRequests,
    /// Requests of the service that were reported in each of the last calls, the newest last.
    demand: [u64; DEMAND_WINDOWS],
    /// Number of calls of [`Exposure::update`], up to [`WARMUP_WINDOWS`].
    updates: u64,
    /// Remaining windows of the load phase.
    load_left: u64,
    /// Number of load phases so far, by which the targets take turns.
    load_phases: usize,
}

/// Requests that were started since a roll-out began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartedRequests {
    pub old: u64,
    pub new: u64,
}

impl StartedRequests {
    fn total(self) -> u64 {
        self.old + self.new
    }
}

impl Exposure {
    /// Continues from what another node has stored.
    pub fn resume(stored: StartedRequests) -> Exposure {
        Exposure {
            stored,
            started: stored,
            ..Exposure::default()
        }
    }

    /// Takes over the totals of the reports, once in each window.
    pub fn update(&mut self, reports: &Collector) {
        let started = StartedRequests {
            old: self.stored.old.max(reports.started(Side::Old)),
            new: self.stored.new.max(reports.started(Side::New)),
        };
        let is_first = self.started == self.stored;
        let demand = started.total().saturating_sub(self.started.total());
        self.started = started;
        self.updates = (self.updates + 1).min(WARMUP_WINDOWS);
        // The first totals cover all windows since the roll-out began.
        if !is_first {
            self.demand.rotate_left(1);
            self.demand[DEMAND_WINDOWS - 1] = demand;
        }
        self.grants
            .retain(|g| g.issued.0 + LEASE_WINDOWS > reports.reported_through(g.target).0);
    }

    /// The requests to store: those that the new version may still start count as started.
    pub fn started(&self) -> StartedRequests {
        StartedRequests {
            new: self.started.new + self.granted(),
            ..self.started
        }
    }

    /// Number of requests that the new version may get now without exceeding the bound.
    pub fn budget(&self) -> u64 {
        let allowed = self.started.total() / BOUND_DIVISOR + BOUND_EXTRA;
        allowed.saturating_sub(self.started.new + self.granted())
    }

    fn granted(&self) -> u64 {
        self.grants.iter().map(|g| u64::from(g.requests)).sum()
    }

    /// Plans the next window, and counts the requests that the targets may start in it.
    /// `remaining` is the number of windows until the decision.
    pub fn plan(
        &mut self,
        now: WindowNumber,
        remaining: u64,
        old_targets: usize,
        new: &[SocketAddr],
    ) -> Mode {
        if new.is_empty() || self.updates < WARMUP_WINDOWS {
            return Mode::OldOnly;
        }
        let count = (old_targets / BOUND_DIVISOR as usize).clamp(1, new.len().min(CHOSEN_MAX));
        let load_share = count as f64 / (old_targets + count) as f64;
        let demand = self.expected_demand();
        if demand * load_share < LOAD_REQUESTS_MIN {
            let spread = self.budget() as f64 / (demand * remaining.max(1) as f64).max(1.0);
            let share = spread.clamp(BASE_SHARE, SPREAD_SHARE_MAX);
            self.load_phases += usize::from(now.0.is_multiple_of(LOAD_WINDOWS));
            let targets = self.choose(new, count);
            return self.grant(now, share, targets);
        }
        let load_requests = self.allowance(load_share);
        if self.load_left == 0 && self.budget() >= load_requests * LOAD_WINDOWS {
            self.load_left = LOAD_WINDOWS;
            self.load_phases += 1;
        }
        let share = match self.load_left > 0 && self.budget() >= load_requests {
            true => load_share,
            false => BASE_SHARE.min(load_share),
        };
        self.load_left = self.load_left.saturating_sub(1);
        let targets = self.choose(new, count);
        self.grant(now, share, targets)
    }

    /// The targets take turns from one load phase to the next.
    fn choose(&self, new: &[SocketAddr], count: usize) -> ChosenTargets {
        let first = self.load_phases * count;
        let turns = new.iter().cycle().skip(first % new.len());
        turns.take(count).copied().collect()
    }

    /// Number of requests that the chosen targets together may start in a window with this share.
    fn allowance(&self, share: f64) -> u64 {
        (self.expected_demand() * share * ALLOWANCE_FACTOR + ALLOWANCE_EXTRA).ceil() as u64
    }

    /// Requests of the service that are expected in a window.
    fn expected_demand(&self) -> f64 {
        self.demand.iter().max().copied().unwrap_or_default() as f64
    }

    /// Builds the directive for a share, lowered to what the budget permits.
    fn grant(&mut self, now: WindowNumber, share: f64, targets: ChosenTargets) -> Mode {
        let wanted = self.allowance(share);
        let allowed = wanted.min(self.budget()) / targets.len() as u64;
        let share = share * (allowed * targets.len() as u64) as f64 / wanted as f64;
        let Ok(allowance @ 1..) = u32::try_from(allowed) else {
            return Mode::OldOnly;
        };
        let grants = targets.iter().map(|t| Grant {
            target: *t,
            issued: now,
            requests: allowance,
        });
        self.grants.extend(grants);
        Mode::Compare {
            share: Share::from_fraction(share.min(1.0)),
            targets,
            allowance,
        }
    }
}

//! Limits and counts the requests of one target during a roll-out, at its gate.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::counts::{AnswerCounts, OVERDUE_AFTER, RouteKey, Side, WindowNumber};
use super::guide::{HeldDirective, Reception};
use super::message::{Directive, GateReport, Mode, ROUTES_PER_REPORT, RolloutId};
use crate::state::id::{AttemptId, Incarnation};

/// A request that the target is running.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    route: RouteKey,
    started: Instant,
    /// Whether it was counted as overdue.
    counted: bool,
    /// Whether its end was counted. A response may still be streaming.
    ended: bool,
}

/// How a request has ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The target has answered, and the answer is no server error.
    Answered,
    /// The target has answered with a server error, has broken the connection, or has not answered
    /// in time.
    Failed,
    /// The request ended for a reason that says nothing about the target.
    Abandoned,
}

/// Limits and counts the requests of one target.
#[derive(Debug)]
pub struct TargetMeter {
    peer: SocketAddr,
    incarnation: Incarnation,
    side: Side,
    held: HeldDirective,
    /// Requests that were started under the held directive.
    started_under: u32,
    started: u64,
    running: HashMap<AttemptId, RunningRequest>,
    /// Requests in progress that were started before the roll-out began.
    earlier: u32,
    /// Whether an attempt arrived in the current window.
    was_asked: bool,
    window: WindowNumber,
    routes: BTreeMap<RouteKey, AnswerCounts>,
}

impl TargetMeter {
    /// Begins with the first directive of a roll-out. `earlier` requests are in progress.
    pub fn new(
        peer: SocketAddr,
        incarnation: Incarnation,
        side: Side,
        held: HeldDirective,
        earlier: u32,
        window: WindowNumber,
    ) -> TargetMeter {
        TargetMeter {
            peer,
            incarnation,
            side,
            held,
            started_under: 0,
            started: 0,
            running: HashMap::new(),
            earlier,
            was_asked: true,
            window,
            routes: BTreeMap::new(),
        }
    }

    /// The roll-out that is metered.
    pub fn rollout(&self) -> RolloutId {
        self.held.directive().rollout
    }

    /// The side of the target.
    pub fn side(&self) -> Side {
        self.side
    }

    /// Takes over a newer directive of the same roll-out.
    pub fn receive(&mut self, directive: &Directive, now: Instant) -> Reception {
        let reception = self.held.receive(directive, now);
        if reception == Reception::Accepted {
            self.started_under = 0;
        }
        reception
    }

    /// Whether the target may start a request, which is counted if so. One that is refused did not
    /// run.
    pub fn start(&mut self, attempt: AttemptId, route: RouteKey, now: Instant) -> bool {
        self.was_asked = true;
        let permitted = self.permits(now);
        if permitted {
            self.started_under = self.started_under.saturating_add(1);
            self.started += 1;
            let request = RunningRequest {
                route,
                started: now,
                counted: false,
                ended: false,
            };
            self.running.insert(attempt, request);
        }
        permitted
    }

    fn permits(&self, now: Instant) -> bool {
        match (&self.held.directive().mode, self.side) {
            (Mode::NewOnly, side) => side == Side::New,
            (_, Side::Old) => true,
            (Mode::OldOnly | Mode::Stopped, Side::New) => false,
            (
                Mode::Compare {
                    targets, allowance, ..
                },
                Side::New,
            ) => {
                self.held.is_in_force(now)
                    && self.started_under < *allowance
                    && targets.contains(&self.peer)
            }
        }
    }

    /// Records how a request has ended. The time of an answer counts until its head has arrived.
    /// Does nothing if the request has ended before.
    pub fn finish(&mut self, attempt: AttemptId, end: RequestEnd, now: Instant) {
        let request = self.running.get_mut(&attempt).filter(|r| !r.ended);
        let Some(request) = request else {
            return;
        };
        request.ended = true;
        let counts = self.routes.entry(request.route).or_default();
        match end {
            RequestEnd::Failed => counts.failures = counts.failures.saturating_add(1),
            RequestEnd::Answered if !request.counted => {
                let taken = now - request.started;
                counts.times.record(taken.min(OVERDUE_AFTER));
            }
            RequestEnd::Answered | RequestEnd::Abandoned => {}
        }
    }

    /// Records that a request no longer occupies the target.
    pub fn release(&mut self, attempt: AttemptId) {
        self.running.remove(&attempt);
    }

    /// Records that requests that were in progress when the roll-out began have ended, if `running`
    /// requests are in progress altogether.
    pub fn limit_earlier(&mut self, running: u32) {
        let metered = self.running.len() as u32;
        self.earlier = self.earlier.min(running.saturating_sub(metered));
    }

    /// Counts the requests that have been in progress for [`OVERDUE_AFTER`]. They are counted once more
    /// only if they fail.
    fn count_overdue(&mut self, now: Instant) {
        for request in self.running.values_mut().filter(|r| !r.counted && !r.ended) {
            let taken: Duration = now - request.started;
            if taken >= OVERDUE_AFTER {
                request.counted = true;
                let counts = self.routes.entry(request.route).or_default();
                counts.times.record(OVERDUE_AFTER);
            }
        }
    }

    /// Returns the reports of the window that has ended, or none if `window` has not ended yet.
    pub fn reports(&mut self, window: WindowNumber, now: Instant) -> SmallVec<[GateReport; 1]> {
        self.count_overdue(now);
        if window <= self.window {
            return SmallVec::new();
        }
        let counts: Vec<_> = std::mem::take(&mut self.routes).into_iter().collect();
        let is_closed = self.held.directive().mode == Mode::NewOnly && !self.was_asked;
        let drained = is_closed && self.running.is_empty() && self.earlier == 0;
        let ended = std::mem::replace(&mut self.window, window);
        self.was_asked = false;
        let parts = counts.len().div_ceil(ROUTES_PER_REPORT).max(1);
        let mut rest = counts.into_iter();
        let report = |_| GateReport {
            rollout: self.rollout(),
            side: self.side,
            incarnation: self.incarnation,
            window: ended,
            started: self.started,
            drained,
            routes: rest.by_ref().take(ROUTES_PER_REPORT).collect(),
        };
        (0..parts).map(report).collect()
    }
}

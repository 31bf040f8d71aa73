//! Rolls out a version of a service: moves its requests from the targets of the old version to
//! those of the new one, or back.
//!
//! One node decides. It collects the counts of the service's gates ([`collector`]), compares the
//! versions ([`judge`]) and bounds the requests that the new version gets ([`exposure`]). Its
//! directives tell the ingresses ([`guide`]) and gates ([`meter`]) which targets take requests. What it decides is
//! written to the platform's store before it is announced, so that another node can continue from there.
//!
//! The new version never gets more than about a tenth of the requests before the decision. There is
//! therefore no gradual increase: when the version has been compared for long enough, all requests move
//! to it at once.

pub mod collector;
pub mod counts;
pub mod exposure;
pub mod guide;
pub mod judge;
pub mod memory;
pub mod message;
pub mod meter;

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use self::collector::Collector;
use self::counts::{WINDOW, WindowNumber};
use self::exposure::{Exposure, StartedRequests};
use self::judge::{Judge, Verdict};
use self::message::{Directive, GateReport, LEASE_WINDOWS, Mode, RolloutId};
use crate::state::id::Path;
use crate::state::member::TargetVersion;

/// Time after the end of a window at which its counts are evaluated. Later reports are ignored.
const REPORT_GRACE: Duration = Duration::from_millis(400);
/// The part of the duration that is kept for moving the requests, one in this number.
const RESERVE_DIVISOR: u64 = 5;
/// Bounds of that part, in windows.
const RESERVE_WINDOWS: (u64, u64) = (5, 60);
/// Number of windows for which the old targets must be drained before the roll-out is completed.
/// An ingress may still use a directive of the window before.
const DRAINED_WINDOWS: u64 = 2;
/// A node decides in favour of a version only after it has compared the versions for this many
/// windows itself, or for the part of the duration that [`RESERVE_DIVISOR`] gives if that is shorter.
const COMPARED_WINDOWS_MIN: u64 = 10;
/// Answers of the new version without which it is not completed, unless the service has few
/// requests.
const NEW_ANSWERS_MIN: u64 = 20;
/// Part of the requests of the service that must have been answered by the new version if this is
/// less than [`NEW_ANSWERS_MIN`], one in this number.
const NEW_ANSWERS_DIVISOR: u64 = 50;
/// Interval at which the number of started requests is stored, in windows.
const STORE_INTERVAL: u64 = 10;

/// An order to roll out a version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    pub service: Path,
    pub version: TargetVersion,
    /// Time within which a good version is completed.
    pub duration: Duration,
    /// Revision at which the order was written.
    pub revision: u64,
}

impl RolloutOrder {
    /// Identifies the order.
    pub fn id(&self) -> RolloutId {
        RolloutId::new(&self.service, &self.version, self.revision)
    }
}

/// What was decided about a roll-out.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Phase {
    /// The versions are being compared.
    #[display("comparing")]
    Comparing,
    /// The new version is good. All requests go to it, and the old targets finish theirs.
    #[display("moving")]
    Moving,
    /// The new version is bad. It gets no requests.
    #[display("stopped")]
    Stopped,
}

impl Phase {
    /// Whether the versions are no longer compared.
    pub fn is_decided(self) -> bool {
        self != Phase::Comparing
    }
}

/// What is stored about a roll-out, for the node that decides next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredRollout {
    pub rollout: RolloutId,
    pub phase: Phase,
    /// Window in which the roll-out began.
    pub began: WindowNumber,
    /// Requests started so far, from which the bound is computed.
    pub started: StartedRequests,
}

/// What the operator is told about a roll-out.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RolloutStatus {
    #[display("running")]
    Running,
    #[display("completed")]
    Completed,
    #[display("rolled back")]
    RolledBack,
}

impl RolloutStatus {
    /// The decision that the operator was told; `None` before the end.
    pub fn decision(self) -> Option<Phase> {
        match self {
            RolloutStatus::Running => None,
            RolloutStatus::Completed => Some(Phase::Moving),
            RolloutStatus::RolledBack => Some(Phase::Stopped),
        }
    }

    /// Whether the roll-out has ended.
    pub fn is_end(self) -> bool {
        self != RolloutStatus::Running
    }
}

/// Whether this node may decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// The node holds the lease, and the store confirmed it recently.
    Held,
    /// The store did not confirm the lease in time.
    Unconfirmed,
}

/// What the deciding node knows about the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    pub authority: Authority,
    /// Targets of other versions that are alive.
    pub old_targets: &'a [SocketAddr],
    /// Targets of the new version that take their full share of requests.
    pub new_targets: &'a [SocketAddr],
}

/// A conditional write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutWrite {
    /// The state for the node that decides next.
    State(StoredRollout),
    /// What the operator is told.
    Status(RolloutStatus),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStep {
    /// To be sent to the nodes, if it is new.
    pub directive: Option<Directive>,
    /// To be written. The result is reported with [`Rollout::record_written`].
    pub write: Option<RolloutWrite>,
}

/// Decides one roll-out.
#[derive(Debug)]
pub struct Rollout {
    order: RolloutOrder,
    began: WindowNumber,
    phase: Phase,
    /// What the store holds; `None` before the first write.
    stored: Option<StoredRollout>,
    /// A decision that was announced, which the store may have lost.
    announced: Option<Phase>,
    published: Option<RolloutStatus>,
    /// Window of the last write of the state.
    stored_in: WindowNumber,
    reports: Collector,
    judge: Judge,
    exposure: Exposure,
    /// Windows that this node has evaluated while the new version took requests.
    compared: u64,
    last_directive: Option<Directive>,
    /// Last window in which a directive may have let the new version take requests.
    last_compared: WindowNumber,
}

impl Rollout {
    /// Begins or continues a roll-out. `stored` is what the store holds about it, and `published`
    /// what the operator was told last.
    pub fn new(
        order: RolloutOrder,
        stored: Option<StoredRollout>,
        published: Option<RolloutStatus>,
        since_epoch: Duration,
    ) -> Rollout {
        let now = WindowNumber::at(since_epoch);
        let stored = stored.filter(|s| s.rollout == order.id());
        let started = stored.map(|s| s.started).unwrap_or_default();
        Rollout {
            began: stored.map_or(now, |s| s.began),
            phase: stored.map_or(Phase::Comparing, |s| s.phase),
            stored,
            announced: None,
            published,
            stored_in: now,
            reports: Collector::new(now),
            judge: Judge::default(),
            exposure: Exposure::resume(started),
            compared: 0,
            last_directive: None,
            last_compared: now,
            order,
        }
    }

    /// Continues with a decision that was announced to the fleet. It holds also if the store has lost
    /// it, and is then written again.
    pub fn adopt_decision(&mut self, phase: Phase) {
        if phase.is_decided() && self.announced.is_none() {
            self.phase = phase;
            self.announced = Some(phase);
        }
    }

    /// Adds the report of a gate.
    pub fn record_report(&mut self, gate: SocketAddr, report: &GateReport, since_epoch: Duration) {
        if report.rollout == self.order.id() {
            let now = WindowNumber::at(since_epoch);
            self.reports.record(gate, report, now);
        }
    }

    /// Records that the store has accepted a write. After any other result, also an unknown one, the
    /// node reads the state again and continues with [`Rollout::new`].
    pub fn record_written(&mut self, write: RolloutWrite) {
        match write {
            RolloutWrite::State(state) => self.stored = Some(state),
            RolloutWrite::Status(status) => self.published = Some(status),
        }
    }

    /// What was decided so far.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the operator was told how the roll-out ended.
    pub fn is_finished(&self) -> bool {
        self.published.is_some_and(RolloutStatus::is_end)
    }

    /// Evaluates the counts and decides. Called several times in each window.
    pub fn advance(&mut self, fleet: FleetView, since_epoch: Duration) -> RolloutStep {
        let now = WindowNumber::at(since_epoch);
        self.evaluate(since_epoch);
        if self.phase == Phase::Comparing {
            self.phase = self.decide(fleet, now);
        }
        RolloutStep {
            directive: self.next_directive(fleet, now),
            write: self.next_write(fleet, now),
        }
    }

    /// Evaluates all windows whose reports must have arrived.
    fn evaluate(&mut self, since_epoch: Duration) {
        let complete = since_epoch.saturating_sub(WINDOW + REPORT_GRACE);
        while let Some((window, counts)) = self.reports.take_until(WindowNumber::at(complete)) {
            if counts.values().any(|c| c.new.total() > 0) {
                self.compared += 1;
            }
            self.judge.record(&counts, window);
            self.exposure.update(&self.reports);
        }
    }

    fn decide(&self, fleet: FleetView, now: WindowNumber) -> Phase {
        let duration = self.order.duration.as_secs();
        let reserve = self.reserve();
        let elapsed = now.since(self.began);
        let verdict = self.judge.verdict();
        if verdict == Verdict::Condemned {
            return Phase::Stopped;
        }
        if elapsed + reserve < duration || fleet.authority != Authority::Held {
            return Phase::Comparing;
        }
        let is_last_chance = elapsed + reserve / 2 >= duration;
        match (verdict, self.has_evidence(fleet)) {
            (Verdict::Clear, true) => Phase::Moving,
            (Verdict::Suspected, _) if is_last_chance => Phase::Stopped,
            (_, false) if elapsed >= duration => Phase::Stopped,
            _ => Phase::Comparing,
        }
    }

    /// Number of windows that are kept for moving the requests.
    fn reserve(&self) -> u64 {
        let (shortest, longest) = RESERVE_WINDOWS;
        let duration = self.order.duration.as_secs();
        let reserve = (duration / RESERVE_DIVISOR).clamp(shortest, longest);
        reserve.min(duration)
    }

    /// Whether the new version was compared for long enough to trust that it is good.
    fn has_evidence(&self, fleet: FleetView) -> bool {
        let started = self.exposure.started();
        let answers_min = NEW_ANSWERS_MIN.min((started.old + started.new) / NEW_ANSWERS_DIVISOR);
        let duration = self.order.duration.as_secs();
        let windows_min = COMPARED_WINDOWS_MIN.min(duration / RESERVE_DIVISOR);
        let has_windows = answers_min == 0 || self.compared >= windows_min.min(answers_min);
        !fleet.new_targets.is_empty() && self.judge.new_answers() >= answers_min && has_windows
    }

    /// The directive for this window, if it was not sent yet.
    fn next_directive(&mut self, fleet: FleetView, now: WindowNumber) -> Option<Directive> {
        let last = self.last_directive.as_ref();
        let is_current = last.is_some_and(|d| d.issued == now);
        let compares = last.is_some_and(|d| matches!(d.mode, Mode::Compare { .. }));
        let must_stop = self.phase == Phase::Stopped || fleet.authority != Authority::Held;
        let mode = match self.announceable_decision() {
            // Nothing that was decided before stops a version that the store says is good.
            Some(Phase::Moving) if !is_current => Mode::NewOnly,
            Some(Phase::Stopped) if compares || !is_current => Mode::Stopped,
            Some(_) => return None,
            None if compares && must_stop => Mode::OldOnly,
            None if is_current => return None,
            None if must_stop || self.stored.is_none() || self.phase == Phase::Moving => {
                Mode::OldOnly
            }
            None => {
                let old_count = fleet.old_targets.len();
                self.last_compared = now;
                let end = self.began.0 + self.order.duration.as_secs() - self.reserve();
                let remaining = end.saturating_sub(now.0);
                self.exposure
                    .plan(now, remaining, old_count, fleet.new_targets)
            }
        };
        let directive = Directive {
            rollout: self.order.id(),
            service: self.order.service.clone(),
            version: self.order.version.clone(),
            issued: now,
            mode,
        };
        self.last_directive = Some(directive.clone());
        Some(directive)
    }

    /// The decision, if the store has accepted it or it was announced before.
    fn announceable_decision(&self) -> Option<Phase> {
        let stored = self.stored.map(|s| s.phase);
        self.announced.or(stored.filter(|p| p.is_decided()))
    }

    /// The next write. The state is stored before the operator is told, so that two nodes never
    /// tell different ends.
    fn next_write(&mut self, fleet: FleetView, now: WindowNumber) -> Option<RolloutWrite> {
        if fleet.authority != Authority::Held || self.is_finished() {
            return None;
        }
        let stored_phase = self.stored.map(|s| s.phase);
        let is_due = now.since(self.stored_in) >= STORE_INTERVAL && self.phase == Phase::Comparing;
        if stored_phase != Some(self.phase) || is_due {
            self.stored_in = now;
            return Some(RolloutWrite::State(StoredRollout {
                rollout: self.order.id(),
                phase: self.phase,
                began: self.began,
                started: self.exposure.started(),
            }));
        }
        let status = self.reached_status(fleet, now);
        (self.published != Some(status)).then_some(RolloutWrite::Status(status))
    }

    /// What the operator may be told. `Completed` and `RolledBack` say that the targets of the other
    /// version get no more requests, so they wait until this is certain.
    fn reached_status(&self, fleet: FleetView, now: WindowNumber) -> RolloutStatus {
        let recent = WindowNumber(now.0.saturating_sub(DRAINED_WINDOWS));
        let drained = || {
            self.reports
                .are_drained(fleet.old_targets, DRAINED_WINDOWS, recent)
        };
        match self.phase {
            Phase::Moving if drained() => RolloutStatus::Completed,
            Phase::Stopped if now.since(self.last_compared) > LEASE_WINDOWS => {
                RolloutStatus::RolledBack
            }
            _ => RolloutStatus::Running,
        }
    }
}

//! Roll-outs at the ingress and at the gate: follows the directives of the deciding node, and reports
//! to it what the local target does.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::Request;
use hyper::header::HOST;
use tokio::time::{Instant, MissedTickBehavior};

use super::{Node, lock, unix_millis};
use crate::coordination::outcome::{NotRun, Outcome};
use crate::coordination::rollout::Phase;
use crate::coordination::rollout::counts::{RouteKey, Side, WINDOW, WindowNumber};
use crate::coordination::rollout::guide::{HeldDirective, KnownSide, Reception};
use crate::coordination::rollout::message::{Directive, GateReport};
use crate::coordination::rollout::meter::{RequestEnd, TargetMeter};
use crate::protocol::datagram::Datagram;
use crate::state::id::{AttemptId, Path};
use crate::state::member::{MemberRecord, TargetVersion};
use crate::state::routing::{Candidate, ServiceEntry};
use crate::transport::platform::Platform;

/// Interval at which reports are sent and decisions are made.
const ROLLOUT_TICK: Duration = Duration::from_millis(200);
/// Number of peers to which a new directive is passed on.
const RELAY_PEERS: usize = 4;
/// Ticks between repairs of nodes that publish no version; one second.
const REPAIR_TICKS: u32 = 5;
/// Number of nodes, on average, that send a decision to such a node in one repair.
const REPAIR_SENDERS: f64 = 2.0;

/// What a node knows about roll-outs.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    /// The newest directive of each service.
    held: BTreeMap<Path, HeldDirective>,
    /// Limits and counts the requests of the local target.
    meter: Option<TargetMeter>,
    /// The node that decides the roll-out of the local target's service.
    decider: Option<SocketAddr>,
    /// Whether the service of the local target was rolled out since this process has started.
    publishes_version: bool,
}

impl Rollouts {
    /// Takes over a directive of some age, unless a newer one is held or it no longer counts.
    fn receive(&mut self, directive: &Directive, age: Duration, now: Instant) -> Reception {
        if let Some(held) = self.held.get_mut(&directive.service) {
            return held.receive(directive, now);
        }
        let held = HeldDirective::with_age(directive.clone(), age, now);
        if !held.is_retained(now) {
            return Reception::Outdated;
        }
        self.held.insert(directive.service.clone(), held);
        Reception::Accepted
    }

    /// The directives that announce a decision.
    fn decisions(&self) -> impl Iterator<Item = &Directive> {
        let held = self.held.values().map(HeldDirective::directive);
        held.filter(|d| d.mode.decision().is_some())
    }

    /// Removes directives that no longer count.
    fn forget_old(&mut self, now: Instant) {
        self.held.retain(|_, held| held.is_retained(now));
        let is_held = |m: &TargetMeter| {
            self.held
                .values()
                .any(|h| h.directive().rollout == m.rollout())
        };
        if !self.meter.as_ref().is_some_and(is_held) {
            self.meter = None;
            self.decider = None;
        }
    }
}

/// Age of a directive that announces a decision. Nodes pass it on to those that start later, so its
/// retention counts from when it was issued. Other directives come from the deciding node alone, and count
/// from when they are received: clocks differ.
fn decision_age(directive: &Directive) -> Duration {
    let age = WindowNumber::at(since_epoch()).since(directive.issued);
    match directive.mode.decision() {
        Some(_) => WINDOW * u32::try_from(age).unwrap_or(u32::MAX),
        None => Duration::ZERO,
    }
}

/// The current time since the Unix epoch.
pub(super) fn since_epoch() -> Duration {
    Duration::from_millis(unix_millis())
}

impl<P: Platform> Node<P> {
    /// Sends the reports of the local target's gate, and makes the decisions of this node.
    pub(super) async fn rollout_loop(self: Arc<Self>) {
        let mut interval = tokio::time::interval(ROLLOUT_TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks: u32 = 0;
        loop {
            interval.tick().await;
            self.send_rollout_reports();
            self.decide_rollouts();
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(REPAIR_TICKS) {
                self.repair_decisions();
            }
            lock(&self.rollouts).forget_old(Instant::now());
        }
    }

    /// Takes over a directive of a deciding node, and passes it on if it is new.
    pub(super) fn handle_directive(&self, decider: SocketAddr, directive: &Directive) {
        let now = Instant::now();
        let reception = lock(&self.rollouts).receive(directive, decision_age(directive), now);
        match reception {
            Reception::Accepted => {}
            Reception::Outdated => return,
            Reception::Contradictory => {
                return self.send_held_directive(&directive.service, decider);
            }
        }
        if let Some(decision) = directive.mode.decision() {
            self.adopt_decision(directive, decision);
        }
        if self.is_own_service(&directive.service) {
            self.meter_target(decider, directive, now);
        }
        let datagram = Datagram::RolloutDirective {
            decider,
            directive: directive.clone(),
        };
        let peers = lock(&self.members).sample_peers(RELAY_PEERS);
        for peer in peers {
            self.send(peer, &datagram);
        }
    }

    /// Sends the decisions that this node holds to a node that has started.
    pub(super) fn send_decisions(&self, to: SocketAddr) {
        let decisions: Vec<Directive> = lock(&self.rollouts).decisions().cloned().collect();
        for directive in decisions {
            self.send_held_directive(&directive.service, to);
        }
    }

    /// Sends the decisions that this node holds to the nodes of their services that publish no version:
    /// they have started since, and were not sent the directives or have lost them.
    fn repair_decisions(&self) {
        let services: Vec<Path> = {
            let rollouts = lock(&self.rollouts);
            rollouts.decisions().map(|d| d.service.clone()).collect()
        };
        for service in services {
            for peer in self.unversioned_peers(&service) {
                self.send_held_directive(&service, peer);
            }
        }
    }

    /// Nodes of a service that publish no version, drawn so that about [`REPAIR_SENDERS`] nodes of the
    /// fleet draw each.
    fn unversioned_peers(&self, service: &Path) -> Vec<SocketAddr> {
        let members = lock(&self.members);
        let probability = REPAIR_SENDERS / members.table().alive_count().max(1) as f64;
        let records = members.table().records_of_service(service);
        let is_unversioned = |r: &MemberRecord| {
            r.health.is_alive() && r.target.as_ref().is_some_and(|t| t.version.is_none())
        };
        let unversioned = records.filter(|r| is_unversioned(r)).map(|r| r.peer);
        unversioned
            .filter(|_| fastrand::f64() < probability)
            .collect()
    }

    /// Sends the directive that this node holds for a service to another one.
    fn send_held_directive(&self, service: &Path, to: SocketAddr) {
        let held = {
            let rollouts = lock(&self.rollouts);
            rollouts.held.get(service).map(|h| h.directive().clone())
        };
        if let Some(directive) = held.filter(|_| to != self.addresses.peers) {
            log::info!(
                "directive sent to a node that does not know it to={to} service={service} mode={:?}",
                directive.mode
            );
            let decider = self.addresses.peers;
            self.send(to, &Datagram::RolloutDirective { decider, directive });
        }
    }

    /// Remembers a decision that was announced. If this node decides the roll-out and does not know it,
    /// because the store has lost it, it continues from there.
    fn adopt_decision(&self, directive: &Directive, decision: Phase) {
        let (service, rollout) = (&directive.service, directive.rollout);
        if let Some(decider) = lock(&self.deciders).get_mut(service) {
            decider.adopt_decision(rollout, decision);
        }
        lock(&self.rollout_memory).record_decision(service, rollout, decision);
    }

    fn is_own_service(&self, service: &Path) -> bool {
        let target = self.settings.target.as_ref();
        target.is_some_and(|t| t.service == *service)
    }

    /// Version of the local target, if it is known.
    pub(super) fn target_version(&self) -> Option<TargetVersion> {
        let announced = lock(&self.announced_target).version().cloned();
        let target = self.settings.target.as_ref();
        announced.or_else(|| target?.version.as_deref().map(|v| TargetVersion(v.into())))
    }

    /// Version of the local target to publish: from the first roll-out of its service on. Other nodes may
    /// hold a directive for longer than this one.
    pub(super) fn published_version(&self) -> Option<TargetVersion> {
        let is_rolled_out = lock(&self.rollouts).publishes_version;
        is_rolled_out.then(|| self.target_version()).flatten()
    }

    /// The side of the local target in a roll-out. One of unknown version belongs to the old one.
    fn target_side(&self, directive: &Directive) -> Side {
        match self.target_version() {
            Some(version) if version == directive.version => Side::New,
            _ => Side::Old,
        }
    }

    /// Lets the gate follow a decision about its own service after a report of the local target, whose
    /// version may have been unknown when the decision arrived. Other directives are sent again soon.
    pub(super) fn meter_reported_target(&self) {
        let service = self.settings.target.as_ref().map(|t| &t.service);
        let followed = {
            let rollouts = lock(&self.rollouts);
            let held = service.and_then(|s| rollouts.held.get(s));
            let held = held.filter(|h| h.directive().mode.decision().is_some());
            let side = rollouts.meter.as_ref().map(TargetMeter::side);
            held.zip(rollouts.decider.zip(side))
                .map(|(h, (decider, side))| (h.directive().clone(), decider, side))
        };
        if let Some((directive, decider, side)) = followed
            && self.target_side(&directive) != side
        {
            self.meter_target(decider, &directive, Instant::now());
        }
    }

    /// Lets the gate follow a directive about its own service.
    fn meter_target(&self, decider: SocketAddr, directive: &Directive, now: Instant) {
        let side = self.target_side(directive);
        let (running, incarnation) = {
            let state = lock(&self.gate);
            (state.gate.running(), state.gate.incarnation())
        };
        {
            let mut rollouts = lock(&self.rollouts);
            rollouts.decider = Some(decider);
            rollouts.publishes_version = true;
            match &mut rollouts.meter {
                Some(meter) if meter.rollout() == directive.rollout && meter.side() == side => {
                    meter.receive(directive, now);
                }
                meter => {
                    let held = HeldDirective::new(directive.clone(), now);
                    let window = WindowNumber::at(since_epoch());
                    let peer = self.addresses.peers;
                    let new = TargetMeter::new(peer, incarnation, side, held, running, window);
                    *meter = Some(new);
                }
            }
        }
        self.publish_version();
    }

    /// Publishes the version of the local target if it has not been published yet.
    fn publish_version(&self) {
        let version = self.published_version();
        lock(&self.members).update_own(|r| {
            if let Some(target) = &mut r.target {
                target.version = version;
            }
        });
    }

    /// Sends the counts of the window that has ended to the deciding node.
    fn send_rollout_reports(&self) {
        let running = lock(&self.gate).gate.running();
        let (decider, reports) = {
            let mut rollouts = lock(&self.rollouts);
            let Some(decider) = rollouts.decider else {
                return;
            };
            let Some(meter) = &mut rollouts.meter else {
                return;
            };
            meter.limit_earlier(running);
            let window = WindowNumber::at(since_epoch());
            (decider, meter.reports(window, Instant::now()))
        };
        for report in reports {
            if decider == self.addresses.peers {
                self.handle_rollout_report(decider, &report);
            } else {
                self.send(decider, &Datagram::RolloutReport(report));
            }
        }
    }

    /// Adds the report of a gate to the roll-out that this node decides.
    pub(super) fn handle_rollout_report(&self, from: SocketAddr, report: &GateReport) {
        for decider in lock(&self.deciders).values_mut() {
            decider.rollout.record_report(from, report, since_epoch());
        }
    }

    /// The targets of a service to which an attempt may be sent; `None` if all are, because the
    /// service is not rolled out. After a gate has refused the request for its version, it goes to
    /// the old one.
    pub(super) fn rollout_candidates(
        &self,
        path: &Path,
        service: &ServiceEntry,
        last_outcome: Option<Outcome>,
    ) -> Option<Vec<Candidate>> {
        let rollouts = lock(&self.rollouts);
        let held = rollouts.held.get(path)?;
        let draw = match last_outcome {
            Some(Outcome::NotRun(NotRun::OtherVersion)) => 1.0,
            _ => fastrand::f64(),
        };
        let mut candidates = service.candidates.clone();
        let side = |c: &Candidate| -> KnownSide { held.side_of(service.versions.get(&c.peer)) };
        let destination = held.destination(draw, Instant::now());
        destination.retain(&mut candidates, |c| c.peer, side);
        Some(candidates)
    }

    /// Whether the local target may run a request, according to the roll-out of its service.
    pub(super) fn start_under_rollout(&self, attempt: AttemptId, request: &Request<Body>) -> bool {
        if lock(&self.rollouts).meter.is_none() {
            return true;
        }
        let host = request.headers().get(HOST).and_then(|h| h.to_str().ok());
        let table = self.routing.load();
        let route = table.route(
            host.unwrap_or_default(),
            request.uri().path(),
            request.method().as_str(),
        );
        let key = route.map_or(RouteKey(0), |r| RouteKey::of(&r.path));
        let mut rollouts = lock(&self.rollouts);
        let meter = rollouts.meter.as_mut();
        meter.is_none_or(|m| m.start(attempt, key, Instant::now()))
    }

    /// Counts how a request has ended at the local target.
    pub(super) fn count_under_rollout(&self, attempt: AttemptId, end: RequestEnd) {
        if let Some(meter) = &mut lock(&self.rollouts).meter {
            meter.finish(attempt, end, Instant::now());
        }
    }

    /// Records that the gate has released the slot of an attempt.
    pub(super) fn release_under_rollout(&self, attempt: AttemptId) {
        if let Some(meter) = &mut lock(&self.rollouts).meter {
            meter.release(attempt);
        }
    }
}

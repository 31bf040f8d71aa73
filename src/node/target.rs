//! The local target: probes it, processes its reports, and publishes its health to the fleet.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::{HeaderMap, Request};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::gate::SentTo;
use super::gate_response::rate_text;
use super::{Node, lock};
use crate::coordination::announce::{TargetReport, UpdateOutcome};
use crate::coordination::health::{TARGET_PROBE_INTERVAL, TargetProbe};
use crate::coordination::notice::{NoticeChange, TargetNotice};
use crate::node::config::LocalTarget;
use crate::protocol::dialect::Dialect;
use crate::state::member::{Health, TargetRecord, TargetStart};
use crate::transport::platform::Platform;

/// Timeout for connecting to the target, and for the response of its health page.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl<P: Platform> Node<P> {
    /// Probes the local target and publishes its health. A node without a target publishes
    /// [`Health::Ready`], and a target that is `announced` is not probed.
    pub(super) async fn target_loop(self: Arc<Self>) {
        let Some(target) = self.settings.target.clone() else {
            self.publish_health(Health::Ready);
            return;
        };
        if target.announced {
            return;
        }
        loop {
            let probe = self.probe_target(&target).await;
            let now = Instant::now();
            let leaving = {
                let mut notices = lock(&self.target_notices);
                // The next process at this address starts without notices.
                if probe == TargetProbe::NoConnection {
                    notices.clear();
                }
                notices.is_leaving()
            };
            let health = {
                let mut health = lock(&self.target_health);
                health.record_probe(probe, now);
                health.state(self.ramp(), now)
            };
            self.publish_health(if leaving { Health::Down } else { health });
            tokio::time::sleep(TARGET_PROBE_INTERVAL).await;
        }
    }

    /// Probes the target: connects to it, and requests its health page if the service has one.
    async fn probe_target(&self, target: &LocalTarget) -> TargetProbe {
        // A recent response to a request proves as much as a probe, and a probe would cost the
        // target time.
        if lock(&self.target_health).answered_recently(Instant::now()) {
            return TargetProbe::Healthy;
        }
        let connect = TcpStream::connect(target.address);
        if !matches!(
            tokio::time::timeout(PROBE_TIMEOUT, connect).await,
            Ok(Ok(_))
        ) {
            return TargetProbe::NoConnection;
        }
        let table = self.routing.load();
        let service = table.service(&target.service);
        let Some(page) = service.and_then(|s| s.settings.health_path.clone()) else {
            return TargetProbe::Healthy;
        };
        let request = Request::get(page).body(Body::default());
        let Ok(request) = request else {
            return TargetProbe::Healthy;
        };
        let response = self.target_client.send(target.address, request);
        match tokio::time::timeout(PROBE_TIMEOUT, response).await {
            Ok(Ok(response)) if response.status().is_success() => {
                self.end_leave_if_restarted(response.headers());
                TargetProbe::Healthy
            }
            _ => TargetProbe::Unhealthy,
        }
    }

    /// Ends the leaving state of a target whose health page answers without the notice: all answers
    /// of a leaving process have it, so another process has taken its place.
    fn end_leave_if_restarted(&self, headers: &HeaderMap) {
        let mut notices = lock(&self.target_notices);
        if notices.is_leaving() && !self.platform.dialect().target_notice(headers).leaving {
            notices.clear();
        }
    }

    /// Returns the length of the target's slow start, according to the operators' settings; zero if
    /// they have none for this instance.
    fn ramp(&self) -> Duration {
        let table = self.routing.load();
        let settings = table.target_settings(&self.settings.instance);
        settings.map_or(Duration::ZERO, |t| t.ramp)
    }

    /// Processes a report of the local target, if it is `announced`. Once this returns, the gate
    /// sends no more requests to a target that has reported that it is leaving.
    pub fn handle_report(&self, report: TargetReport) -> UpdateOutcome {
        let now = Instant::now();
        let (instance, stage, sequence) = (report.instance.clone(), report.stage, report.sequence);
        let heard = lock(&self.announced_target).handle_report(report, now);
        if heard != UpdateOutcome::Known {
            log::info!(
                "target report instance={instance} sequence={sequence} stage={stage:?} heard={heard:?}"
            );
        }
        self.sync_target(now);
        self.meter_reported_target();
        heard
    }

    /// Processes a notice that the local target is leaving. `boot` is its start time, if it is
    /// known.
    pub fn handle_leave_notice(&self, instance: &str, boot: Option<u64>) -> UpdateOutcome {
        let heard = lock(&self.announced_target).mark_leaving(instance, boot);
        log::info!("target leaves instance={instance} boot={boot:?} heard={heard:?}");
        self.sync_target(Instant::now());
        heard
    }

    /// Processes what an answer of the local target says about the target.
    pub(super) fn handle_notice(&self, sent_to: &SentTo, notice: TargetNotice) {
        let now = Instant::now();
        let (change, rate) = {
            let mut notices = lock(&self.target_notices);
            let change = notices.handle_answer(&sent_to.start, notice, sent_to.sent_at, now);
            (change, notices.rate())
        };
        lock(&self.gate).gate.set_rate(rate, now);
        let instance = &sent_to.start.0;
        match change {
            NoticeChange::None => {}
            NoticeChange::Rate => {
                let rate = rate_text(rate);
                log::info!("target rate instance={instance} rate={rate}");
            }
            NoticeChange::Leaving => {
                log::info!("target answers that it leaves instance={instance}");
                self.close_to_leaving_target(&sent_to.start);
            }
        }
    }

    /// Closes the gate to a target that says in an answer that it is leaving. Its node publishes
    /// this like a leave that the target has reported.
    fn close_to_leaving_target(&self, start: &TargetStart) {
        let (instance, boot) = start;
        lock(&self.announced_target).mark_leaving(instance, Some(*boot));
        self.sync_target(Instant::now());
        if !self.has_announced_target() {
            self.publish_health(Health::Down);
            self.refresh_gate();
        }
    }

    /// Whether the local target announces itself with reports.
    pub(super) fn has_announced_target(&self) -> bool {
        self.settings.target.as_ref().is_some_and(|t| t.announced)
    }

    /// The start of a target that does not announce itself. Its start time is not known.
    pub(super) fn settings_start(&self) -> TargetStart {
        (self.settings.instance.as_str().into(), 0)
    }

    /// Records that no connection to the local target could be established, or that another
    /// instance answered at its address. The target counts as down until its next report.
    pub(super) fn mark_target_down(&self) {
        let heard = lock(&self.announced_target).record_refusal();
        if heard == UpdateOutcome::Changed {
            log::warn!(
                "the local target accepted no connection, or another instance answered at its address; it receives no requests until its next report"
            );
            self.sync_target(Instant::now());
        }
    }

    /// Removes the rate that an earlier start of the local target named.
    fn sync_rate(&self, now: Instant) {
        let Some(start) = lock(&self.announced_target).start() else {
            return;
        };
        let rate = {
            let mut notices = lock(&self.target_notices);
            notices.set_start(&start);
            notices.rate()
        };
        lock(&self.gate).gate.set_rate(rate, now);
    }

    /// Publishes the state that the local target has reported, and updates the gate accordingly.
    pub(super) fn sync_target(&self, now: Instant) {
        let Some(target_settings) = self.settings.target.as_ref().filter(|t| t.announced) else {
            return;
        };
        let (past_target, published_slots) = {
            let mut members = lock(&self.members);
            let published = members.own_record().target.as_ref().map(|t| t.slots);
            (members.take_past_target(), published)
        };
        if past_target.is_some() {
            self.history_known.store(true, Ordering::Release);
        }
        self.sync_rate(now);
        let version = self.published_version();
        let (health, record) = {
            let mut target = lock(&self.announced_target);
            // The earlier incarnation may have published that the target is leaving.
            if let Some(past) = &past_target {
                target.restore_leaving(past);
            }
            let slots = target.slots().unwrap_or(target_settings.slots);
            let usable_slots = lock(&self.gate).gate.usable_slots(published_slots);
            let unreported = target.unreported_leave();
            let instance = target.instance().or(unreported.as_ref().map(|(i, _)| i));
            let record = instance.map(|instance| TargetRecord {
                instance: instance.clone(),
                service: target_settings.service.clone(),
                slots: usable_slots.map_or(slots, |usable| usable.min(slots)),
                last_report: match &unreported {
                    Some((_, boot)) => (*boot, 0),
                    None => target.last_report().unwrap_or_default(),
                },
                leaving: unreported.is_some() || target.is_leaving(),
                version,
            });
            (target.health(now), record)
        };
        // A record that differs only in the last report of the same start is not published.
        let changed = {
            let mut members = lock(&self.members);
            let unchanged = match (&members.own_record().target, &record) {
                (Some(published), Some(new)) => {
                    let same_start = published.start() == new.start();
                    let same_state = TargetRecord {
                        last_report: published.last_report,
                        ..new.clone()
                    } == *published;
                    same_start && same_state
                }
                (None, None) => true,
                _ => false,
            };
            if !unchanged {
                members.update_own(|r| r.target = record);
            }
            !unchanged
        };
        // The target may have told an earlier process that it is leaving.
        self.publish_health(match self.is_history_known() {
            true => health,
            false => Health::Down,
        });
        if changed {
            self.refresh_gate();
        }
        self.refresh_targets();
    }

    /// Publishes the health of the local target in this node's member record.
    fn publish_health(&self, health: Health) {
        if self.is_leaving() {
            return;
        }
        let before = {
            let mut members = lock(&self.members);
            let before = members.own_record().health;
            // Leaving and gone are final; the result of a probe that started earlier must not
            // overwrite them.
            members.update_own(|r| {
                if r.health < Health::Suspect {
                    r.health = health;
                }
            });
            before
        };
        if before == health {
            return;
        }
        log::info!("target health={health} before={before}");
        self.refresh_gate();
    }
}

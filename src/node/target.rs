//! Probing the target beside the node, and publishing its health.

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::Request;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::announce::{Heard, Report};
use crate::coordination::health::{TARGET_PROBE, TargetProbe};
use crate::node::config::TargetAddress;
use crate::state::member::{Health, TargetRecord};
use crate::transport::platform::Platform;

/// Time within which the target must take a connection or answer its health page.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl<P: Platform> Node<P> {
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
            let health = {
                let mut health = lock(&self.health);
                health.probed(probe, now);
                health.state(self.ramp(), now)
            };
            self.publish_health(health);
            tokio::time::sleep(TARGET_PROBE).await;
        }
    }

    async fn probe_target(&self, target: &TargetAddress) -> TargetProbe {
        // A connection costs the target time; an answered request proves as much.
        if lock(&self.health).answered_lately(Instant::now()) {
            return TargetProbe::Fine;
        }
        let connect = TcpStream::connect(target.address);
        if !matches!(
            tokio::time::timeout(PROBE_TIMEOUT, connect).await,
            Ok(Ok(_))
        ) {
            return TargetProbe::Refused;
        }
        let table = self.routing.load();
        let service = table.service(&target.service);
        let Some(page) = service.and_then(|s| s.settings.health_path.clone()) else {
            return TargetProbe::Fine;
        };
        let request = Request::get(page).body(Body::default());
        let Ok(request) = request else {
            return TargetProbe::Fine;
        };
        let answer = self.local.send(target.address, request);
        match tokio::time::timeout(PROBE_TIMEOUT, answer).await {
            Ok(Ok(response)) if response.status().is_success() => TargetProbe::Fine,
            _ => TargetProbe::PageFails,
        }
    }

    fn ramp(&self) -> Duration {
        let table = self.routing.load();
        let settings = table.target(&self.settings.instance);
        settings.map_or(Duration::ZERO, |t| t.ramp)
    }

    /// Takes in a report of the target beside this node, where it announces itself. Once this
    /// returns, the gate hands a target that leaves no more work.
    pub fn report(&self, report: Report) -> Heard {
        let now = Instant::now();
        let (instance, stage, sequence) = (report.instance.clone(), report.stage, report.sequence);
        let heard = lock(&self.target).hear(report, now);
        if heard != Heard::Known {
            log::info!(
                "target report instance={instance} sequence={sequence} stage={stage:?} heard={heard:?}"
            );
        }
        self.follow_target(now);
        heard
    }

    /// The target beside this node says that it leaves.
    pub fn target_leaves(&self, instance: &str, boot: Option<u64>) -> Heard {
        let heard = lock(&self.target).leave(instance, boot);
        log::info!("target leaves instance={instance} boot={boot:?} heard={heard:?}");
        self.follow_target(Instant::now());
        heard
    }

    /// The target beside this node refused a connection, or another answered in its place.
    pub(super) fn target_refused(&self) {
        let heard = lock(&self.target).refused();
        if heard == Heard::Changed {
            log::warn!("target refuses connections; waiting for its next report");
            self.follow_target(Instant::now());
        }
    }

    /// Publishes what the target has announced, and brings the gate in line with it.
    pub(super) fn follow_target(&self, now: Instant) {
        let Some(place) = self.settings.target.as_ref().filter(|t| t.announced) else {
            return;
        };
        let past = lock(&self.members).take_past();
        let (health, beside) = {
            let mut target = lock(&self.target);
            if let Some(past) = &past {
                target.recall(past);
            }
            let beside = target.instance().map(|instance| TargetRecord {
                instance: instance.clone(),
                service: place.service.clone(),
                slots: target.slots().unwrap_or(place.slots),
                last_report: target.last().unwrap_or_default(),
                leaving: target.is_leaving(),
            });
            (target.health(now), beside)
        };
        let changed = {
            let mut members = lock(&self.members);
            let same = match (&members.own().target, &beside) {
                (Some(held), Some(new)) => {
                    TargetRecord {
                        last_report: held.last_report,
                        ..new.clone()
                    } == *held
                }
                (None, None) => true,
                _ => false,
            };
            if !same {
                members.update(|r| r.target = beside);
            }
            !same
        };
        self.publish_health(health);
        if changed {
            self.refresh_gate();
        }
        self.refresh_targets();
    }

    fn publish_health(&self, health: Health) {
        if self.is_leaving() {
            return;
        }
        let before = {
            let mut members = lock(&self.members);
            let before = members.own().health;
            // Leaving and gone are final; a probe that was under way must not undo them.
            members.update(|r| {
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

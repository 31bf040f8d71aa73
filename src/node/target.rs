//! Probing the target beside the node, and publishing its health.

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::Request;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::health::{TARGET_PROBE, TargetProbe};
use crate::node::config::TargetAddress;
use crate::state::member::Health;
use crate::transport::platform::Platform;

/// Time within which the target must take a connection or answer its health page.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

impl<P: Platform> Node<P> {
    pub(super) async fn target_loop(self: Arc<Self>) {
        let Some(target) = self.settings.target.clone() else {
            self.publish_health(Health::Ready);
            return;
        };
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
        let Some(page) = service.and_then(|s| s.settings.health.clone()) else {
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

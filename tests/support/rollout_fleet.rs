//! A fleet of real nodes on loopback in which a version of a service is rolled out.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gotham::helpers::http::Body;
use hyper::Request;
use tarragoncourse::coordination::rollout::RolloutOrder;
use tarragoncourse::experiment::fleet::Fleet;
use tarragoncourse::experiment::latency::put_service_and_routes;
use tarragoncourse::protocol::wire_rollout::{encode_order, order_key, status_key};
use tarragoncourse::standin::target::Behaviour;
use tarragoncourse::state::id::Path;
use tarragoncourse::state::member::TargetVersion;
use tarragoncourse::state::revision::Revision;
use tarragoncourse::transport::client::HttpClient;
use tarragoncourse::transport::http::read_body;
use tarragoncourse::transport::platform::Platform;

const JOIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two calls to each node.
const CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Duration of the ordered roll-outs.
pub const DURATION: Duration = Duration::from_secs(20);

/// Two targets of version `v1` and, once they were added, two of `v2`, each with its node.
pub struct RolloutFleet {
    pub fleet: Fleet,
    pub service: Path,
    client: HttpClient,
}

impl RolloutFleet {
    /// Starts the targets of `v1`, and waits until they are served.
    pub async fn start() -> RolloutFleet {
        let mut rollout = RolloutFleet {
            fleet: Fleet::default(),
            service: Path::new("guild/services/shop").unwrap(),
            client: HttpClient::default(),
        };
        rollout.add_targets("v1", Behaviour::NORMAL).await;
        let config = put_service_and_routes(&rollout.service);
        rollout.fleet.node(0).apply_as_admin(config).await;
        rollout
    }

    /// Orders `v2`, and starts its targets.
    pub async fn order(&mut self, new: Behaviour) {
        let order = RolloutOrder {
            service: self.service.clone(),
            version: TargetVersion("v2".into()),
            duration: DURATION,
            revision: 0,
        };
        let (key, text) = (order_key(&self.service), encode_order(&order));
        let written = self
            .fleet
            .platform
            .compare_and_swap(&key, &text, Revision::ABSENT, None);
        written.await.expect("write the order");
        self.add_targets("v2", new).await;
    }

    async fn add_targets(&mut self, version: &str, behaviour: Behaviour) {
        for _ in 0..2 {
            let started = self
                .fleet
                .add_target_version(&self.service, behaviour, Some(version));
            started.await.expect("start a target");
        }
        self.wait_until_joined().await;
    }

    /// Waits until each node knows all others.
    pub async fn wait_until_joined(&self) {
        let joined = self.fleet.wait_until_joined(JOIN_TIMEOUT).await;
        joined.expect("join");
    }

    /// Sends one request to each node. Returns how many of them failed.
    async fn call_each(&self) -> usize {
        self.call_at(&self.fleet.caller_addresses()).await
    }

    /// Sends one request to each address. Returns how many of them failed.
    pub async fn call_at(&self, callers: &[SocketAddr]) -> usize {
        let calls = callers.iter().map(|to| async {
            let request = Request::get("/lookup").body(Body::default()).unwrap();
            match self.client.send(*to, request).await {
                Ok(r) if r.status().is_success() => read_body(r.into_body(), 1 << 20).await.is_ok(),
                _ => false,
            }
        });
        let answered = futures_util::future::join_all(calls).await;
        answered.iter().filter(|ok| !**ok).count()
    }

    /// Sends requests for some time. Returns how many of them failed.
    pub async fn call_for(&self, time: Duration) -> usize {
        let (started, mut failed) = (Instant::now(), 0);
        while started.elapsed() < time {
            failed += self.call_each().await;
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        failed
    }

    /// What the operator is told, as stored.
    pub async fn status(&self) -> String {
        let value = self.fleet.platform.get(&status_key(&self.service)).await;
        value.ok().flatten().map_or(String::new(), |v| v.text)
    }

    /// Sends requests until the operator is told that the roll-out has ended, at most for `time`.
    /// Returns the status, and how many requests failed.
    pub async fn call_until_end(&self, time: Duration) -> (String, usize) {
        let (started, mut failed) = (Instant::now(), 0);
        let mut status = String::new();
        while started.elapsed() < time && !is_end(&status) {
            failed += self.call_for(CALL_INTERVAL).await;
            status = self.status().await;
        }
        (status, failed)
    }
}

/// Whether a stored status says that a roll-out has ended.
pub fn is_end(status: &str) -> bool {
    ["completed", "rolled back"]
        .iter()
        .any(|end| status.contains(end))
}

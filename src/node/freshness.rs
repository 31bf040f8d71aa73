//! Keeps the configuration fresh: asks the platform for a newer version when none of the other nodes has
//! confirmed recently that there is none, and spreads such confirmations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::control::{origin_peers, relay_peers};
use super::{Node, lock};
use crate::coordination::distribution::Actions;
use crate::coordination::freshness::{Confirmation, FreshnessStep, Role};
use crate::coordination::watcher_slot::all_nodes_watch;
use crate::protocol::datagram::Datagram;
use crate::protocol::record::{HEAD_KEY, decode_head};
use crate::state::id::Version;
use crate::state::revision::Revision;
use crate::transport::platform::{Platform, PlatformError, PlatformResult};

/// Time after the start within which the slots' holders and their confirmations become known.
const START_TIME: Duration = Duration::from_secs(3);

/// What a call to the platform found.
struct Newest {
    version: Version,
    /// Revision after which the next call may ask for changes.
    revision: Option<Revision>,
}

impl<P: Platform> Node<P> {
    /// Asks the platform for a newer version if that is due.
    pub(super) fn check_freshness(self: &Arc<Self>, now: Instant) {
        if !self.is_ready() || self.is_leaving() || !lock(&self.freshness).may_be_due(now) {
            return;
        }
        let Some(role) = self.freshness_role() else {
            return;
        };
        let (step, age) = {
            let mut freshness = lock(&self.freshness);
            (freshness.next_step(role, now), freshness.age(now))
        };
        let FreshnessStep::Ask(revision) = step else {
            return;
        };
        if role == Role::Follower {
            log::info!(
                "configuration not confirmed, asking the platform version={} age_ms={}",
                self.version(),
                age.as_millis()
            );
        }
        tokio::spawn(self.clone().ask_platform(role, revision));
    }

    /// Records that as of `asked_at`, when a call to the platform was sent, no version was newer than
    /// the one in force.
    pub(super) fn record_fresh(&self, revision: Revision, asked_at: Instant) {
        // The others are not told, since every node reads the configuration when it starts.
        lock(&self.freshness).confirm(asked_at, Some(revision));
    }

    /// Handles a peer's confirmation: pulls its version if that is newer, or else passes the
    /// confirmation on.
    pub(super) fn handle_confirmation(
        self: &Arc<Self>,
        from: SocketAddr,
        confirmation: Confirmation,
        now: Instant,
    ) {
        if confirmation.version > self.version() {
            let mut actions = Actions::new();
            let version = confirmation.version;
            lock(&self.distribution).handle_version(from, version, now, &mut actions);
            return self.execute(actions);
        }
        let news = lock(&self.freshness).handle_confirmation(confirmation, now);
        if let Some(confirmation) = news {
            let mut peers = relay_peers(&mut lock(&self.members));
            peers.retain(|p| *p != from);
            self.send_confirmation(&peers, confirmation);
        }
    }

    /// Who this node is when it asks the platform; `None` if it has no need to ask.
    fn freshness_role(&self) -> Option<Role> {
        if P::EXTERNAL_CONFIG && all_nodes_watch(self.members_alive()) {
            return None;
        }
        if self.holds_slot() {
            return Some(Role::Watcher);
        }
        // A node that waits for changes itself hears of them first, and one that has just started has
        // read the newest version. Else all nodes of a fleet that starts would ask.
        let is_waiting = P::EXTERNAL_CONFIG && self.should_watch_document();
        let has_just_started = self.started.elapsed() < START_TIME;
        (!is_waiting && !has_just_started).then_some(Role::Follower)
    }

    async fn ask_platform(self: Arc<Self>, role: Role, revision: Option<Revision>) {
        let asked_at = Instant::now();
        let found = self.read_newest(revision).await;
        let now = Instant::now();
        let in_force = self.version();
        let confirmation = match found {
            Ok(newest) if newest.version <= in_force => {
                lock(&self.freshness).record_answer(in_force, newest.revision, asked_at, now)
            }
            // The newer version is being read.
            Ok(_) => {
                lock(&self.freshness).record_failure(false, role, now);
                None
            }
            Err(e) => {
                log::info!("configuration not confirmed by the platform: {e}");
                let compacted = e == PlatformError::Compacted;
                lock(&self.freshness).record_failure(compacted, role, now);
                None
            }
        };
        if let Some(confirmation) = confirmation {
            let mut peers = origin_peers(&mut lock(&self.members));
            peers.sort_unstable();
            peers.dedup();
            self.send_confirmation(&peers, confirmation);
        }
    }

    /// Reads the newest version from the platform, only as far as it has changed after `revision`, and
    /// puts it in force.
    async fn read_newest(self: &Arc<Self>, revision: Option<Revision>) -> PlatformResult<Newest> {
        if !P::EXTERNAL_CONFIG {
            return self.read_newest_head().await;
        }
        let update = match revision {
            Some(after) => self.platform.watch_document(after, Duration::ZERO).await?,
            None => self.read_document().await?,
        };
        if let Some(document) = &update.document {
            self.adopt_document(document);
        }
        Ok(Newest {
            version: self.version(),
            revision: Some(update.revision),
        })
    }

    async fn read_newest_head(self: &Arc<Self>) -> PlatformResult<Newest> {
        let mut version = Version(0);
        if let Some(value) = self.platform.get(HEAD_KEY).await? {
            self.handle_head(&value).await;
            version = decode_head(&value.text).map_or(version, |head| head.version);
        }
        Ok(Newest {
            version,
            revision: None,
        })
    }

    fn send_confirmation(&self, peers: &[SocketAddr], confirmation: Confirmation) {
        for peer in peers {
            self.send(*peer, &Datagram::Confirm(confirmation));
        }
    }
}

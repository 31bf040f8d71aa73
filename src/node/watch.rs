//! Watcher slots: taking and renewing them, and watching the head while holding one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::distribution::Actions;
use crate::coordination::slots::{LEASE_TTL, SlotStep};
use crate::protocol::record::{HEAD_KEY, decode_head, decode_slot, encode_slot, slot_key};
use crate::state::id::Version;
use crate::transport::platform::{DocumentUpdate, Platform, PlatformError, PlatformResult, Value};

/// Interval between decisions about slots.
const SLOT_POLL: Duration = Duration::from_millis(500);
/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Longest wait of one watch on the operator's document. A watch whose connection went silent is
/// noticed after it.
const DOCUMENT_WAIT: Duration = Duration::from_secs(5);
/// Pause after a change of the document, in which further changes gather.
const DOCUMENT_PAUSE: Duration = Duration::from_millis(700);
/// Mean pause after a failed call for the document.
const DOCUMENT_RETRY: Duration = Duration::from_millis(500);
/// In fleets up to this size every node watches the document itself.
const WATCH_ALL: usize = 16;
/// Pause after a failed watch call.
const WATCH_PAUSE: Duration = Duration::from_secs(1);

impl<P: Platform> Node<P> {
    pub(super) async fn slot_loop(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SLOT_POLL.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
            if !self.is_ready() || self.is_leaving() {
                continue;
            }
            match self.slot_step() {
                SlotStep::Idle => {}
                SlotStep::Take(number) => self.take_slot(number).await,
                SlotStep::Renew(lease) => self.renew_slot(lease).await,
                SlotStep::Release(lease) => {
                    let _ = self.platform.revoke_lease(lease).await;
                }
            }
            self.publish_slot();
        }
    }

    fn slot_step(&self) -> SlotStep {
        let members = lock(&self.members);
        let own = members.own();
        let (zone, peer) = (own.zone.clone(), own.peer);
        lock(&self.slots).step(members.table(), &zone, peer, Instant::now())
    }

    async fn take_slot(self: &Arc<Self>, number: usize) {
        let asked = Instant::now();
        let Ok(lease) = self.platform.grant_lease(LEASE_TTL).await else {
            return;
        };
        let key = slot_key(&self.settings.zone, number);
        let value = encode_slot(self.addresses.peers);
        match self
            .platform
            .compare_and_swap(&key, &value, 0, Some(lease))
            .await
        {
            Ok(Some(_)) => {
                lock(&self.slots).took(number, lease, asked);
                log::info!("watching slot={key}");
            }
            taken => {
                let _ = self.platform.revoke_lease(lease).await;
                if taken == Ok(None) {
                    self.meet_holder(&key).await;
                }
            }
        }
    }

    /// A slot that looked free is held by a node that this one does not know: meet it.
    async fn meet_holder(self: &Arc<Self>, key: &str) {
        let held = self.platform.get(key).await.ok().flatten();
        let holder = held.and_then(|v| decode_slot(&v.text));
        if let Some(peer) = holder.filter(|p| !self.knows(p)) {
            self.join_peers(vec![peer]).await;
        }
    }

    async fn renew_slot(&self, lease: u64) {
        let asked = Instant::now();
        match self.platform.renew_lease(lease).await {
            Ok(true) => lock(&self.slots).renewed(lease, asked),
            Ok(false) => lock(&self.slots).lapsed(lease),
            Err(_) => {}
        }
    }

    fn publish_slot(&self) {
        let holds = lock(&self.slots).held(Instant::now()).is_some();
        lock(&self.members).update(|r| r.watcher = holds);
    }

    pub(super) async fn release_slot(&self) {
        let held = lock(&self.slots).held(Instant::now());
        if let Some(h) = held {
            let _ = self.platform.revoke_lease(h.lease).await;
        }
    }

    pub(super) async fn watch_loop(self: Arc<Self>) {
        if P::EXTERNAL_CONFIG {
            return self.watch_document().await;
        }
        let mut revision = 0;
        loop {
            if lock(&self.slots).held(Instant::now()).is_none() {
                tokio::time::sleep(SLOT_POLL).await;
                continue;
            }
            match self.platform.watch(HEAD_KEY, revision, WATCH_WAIT).await {
                Ok(Some(value)) => {
                    revision = value.revision;
                    self.head_seen(&value).await;
                }
                Ok(None) => {}
                Err(_) => {
                    revision = 0;
                    tokio::time::sleep(WATCH_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
                }
            }
        }
    }

    /// Follows the operator's document: every node in a small fleet, the holders of watcher slots
    /// in a large one.
    async fn watch_document(self: Arc<Self>) {
        let mut revision = None;
        loop {
            if !self.watches_document() {
                revision = None;
                tokio::time::sleep(SLOT_POLL).await;
                continue;
            }
            let found = match revision {
                None => self.read_document().await,
                Some(after) => self.platform.watch_document(after, DOCUMENT_WAIT).await,
            };
            let pause = match found {
                Ok(watched) => {
                    self.regained_platform();
                    revision = Some(watched.revision);
                    self.take_watched(&watched)
                }
                Err(e) => {
                    // A history that is gone says nothing about the platform's health.
                    if e != PlatformError::Compacted {
                        self.lost_platform(&e);
                    }
                    revision = None;
                    DOCUMENT_RETRY.mul_f64(0.5 + fastrand::f64())
                }
            };
            self.first_read.notify_one();
            tokio::time::sleep(pause).await;
        }
    }

    async fn read_document(&self) -> PlatformResult<DocumentUpdate> {
        let found = self.platform.read_document().await?;
        Ok(DocumentUpdate {
            // Before the operator's first document, any change is news.
            revision: found.as_ref().map_or(0, |d| d.revision),
            document: found.map(|d| d.snapshot),
        })
    }

    /// Takes what the platform itself holds, and returns the pause before the next call. A node
    /// with the operator's document is as current as any peer: it is ready.
    fn take_watched(self: &Arc<Self>, watched: &DocumentUpdate) -> Duration {
        let Some(document) = &watched.document else {
            return Duration::ZERO;
        };
        self.take_document(document);
        if self.version() >= document.version() {
            self.become_ready();
        }
        // Versions in quick succession come together.
        DOCUMENT_PAUSE
    }

    /// A node that is not ready needs the document itself, whoever else watches it.
    fn watches_document(&self) -> bool {
        !self.is_ready()
            || self.members_alive() <= WATCH_ALL
            || lock(&self.slots).held(Instant::now()).is_some()
    }

    /// Notes that the platform answers, and says so if it did not before.
    fn regained_platform(&self) {
        if self.cut_off.swap(false, Ordering::AcqRel) {
            log::info!("platform regained");
        }
    }

    /// Notes that the platform does not answer, and says so if it did before.
    fn lost_platform(&self, e: &PlatformError) {
        if !self.cut_off.swap(true, Ordering::AcqRel) {
            log::warn!("platform lost: {e}");
        }
    }

    async fn head_seen(self: &Arc<Self>, value: &Value) {
        let Ok(head) = decode_head(&value.text) else {
            return;
        };
        if head.version < self.version() {
            self.head_went_back(head.version).await;
            return;
        }
        let mut actions = Actions::new();
        lock(&self.distribution).head_moved(head.version, Instant::now(), &mut actions);
        self.execute(actions);
    }

    /// The store lost accepted versions; what this node holds is put back.
    pub(super) async fn head_went_back(&self, head: Version) {
        self.rollbacks.fetch_add(1, Ordering::Relaxed);
        log::warn!(
            "platform head went back head={head} held={}",
            self.version()
        );
        match self.restore_head().await {
            Ok(true) => log::warn!("platform head restored version={}", self.version()),
            Ok(false) => {}
            Err(e) => log::warn!("platform head not restored: {e}"),
        }
    }
}

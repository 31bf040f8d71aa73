//! Watcher slots: acquires and renews them, and watches the platform's head while this node holds
//! one. Also watches the document of an external operator.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::distribution::Actions;
use crate::coordination::watcher_slot::{
    DocumentWatch, LEASE_TTL, SLOTS_PER_ZONE, SlotStep, is_zone_watched,
};
use crate::protocol::record::{
    HEAD_KEY, SLOT_PREFIX, decode_head, decode_slot, encode_slot, slot_key,
};
use crate::state::id::Version;
use crate::state::revision::{Lease, Revision};
use crate::transport::platform::{DocumentUpdate, Platform, PlatformError, PlatformResult, Value};

/// Mean interval between checks of the watcher slots.
const SLOT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound of the random delay before the first attempt to acquire a slot. When a whole fleet
/// starts, the first nodes acquire the slots, and the others find them taken.
const FIRST_SLOT_DELAY_MAX: Duration = Duration::from_secs(1);
/// Timeout of one watch on the head.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of one watch on the operator's document. It bounds the time until a silently broken
/// connection is detected.
const DOCUMENT_WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a change of the document, so that changes in quick succession are read together.
const DOCUMENT_BATCH_DELAY: Duration = Duration::from_millis(700);
/// Mean delay after a failed read or watch of the document.
const DOCUMENT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time that a starting node with a document waits for its peers to tell their versions.
const PEER_VERSIONS_WAIT: Duration = Duration::from_millis(300);
/// Mean delay after a failed watch on the head.
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);

impl<P: Platform> Node<P> {
    /// Acquires, renews and releases watcher slots while the node is ready.
    pub(super) async fn slot_loop(self: Arc<Self>) {
        tokio::time::sleep(FIRST_SLOT_DELAY_MAX.mul_f64(fastrand::f64())).await;
        loop {
            tokio::time::sleep(SLOT_CHECK_INTERVAL.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
            if !self.is_ready() || self.is_leaving() {
                continue;
            }
            lock(&self.watcher_slot).record_era(self.platform.era(), Instant::now());
            self.publish_slot();
            match self.slot_step() {
                SlotStep::Idle => {}
                SlotStep::Acquire(number) => self.try_acquire_slot(number).await,
                SlotStep::Renew(lease) => self.renew_slot(lease).await,
                SlotStep::Release(lease) => {
                    let _ = self.platform.revoke_lease(lease).await;
                }
            }
            self.publish_slot();
        }
    }

    /// Returns the next step of the watcher slot state machine.
    fn slot_step(&self) -> SlotStep {
        let members = lock(&self.members);
        let own = members.own_record();
        let (zone, peer) = (own.zone.clone(), own.peer);
        lock(&self.watcher_slot).next_step(members.table(), &zone, peer, Instant::now())
    }

    /// Acquires a watcher slot of this node's zone, unless another node holds it. In that case, joins
    /// the holders that are missing from the member table. A slot that names this node was acquired
    /// by an earlier process, and is taken over from its lease.
    async fn try_acquire_slot(self: &Arc<Self>, number: usize) {
        let slots = match self.platform.list(SLOT_PREFIX).await {
            Ok(slots) => slots,
            Err(e) => return log::info!("watcher slots not read: {e}"),
        };
        let find = |n: usize| {
            let key = slot_key(&self.settings.zone, n);
            slots
                .iter()
                .find(|(k, _)| *k == key)
                .map(|(_, value)| value)
        };
        let is_own = |v: &&Value| decode_slot(&v.text) == Some(self.addresses.peers);
        let own = (0..SLOTS_PER_ZONE).find_map(|n| Some((n, find(n).filter(is_own)?.revision)));
        match (own, find(number)) {
            (Some((own_number, revision)), _) => self.acquire_slot(own_number, revision).await,
            // Another writer has left a value that names no node.
            (None, Some(value)) if decode_slot(&value.text).is_none() => {
                log::warn!("watcher slot names no node, taking it slot={number}");
                self.acquire_slot(number, value.revision).await
            }
            (None, Some(_)) => self.join_holders(&slots).await,
            (None, None) => self.acquire_slot(number, Revision::ABSENT).await,
        }
    }

    /// Tries to acquire a watcher slot of this node's zone under a new lease. `revision` is that of
    /// the slot's key.
    async fn acquire_slot(self: &Arc<Self>, number: usize, revision: Revision) {
        let requested_at = Instant::now();
        let Ok(lease) = self.platform.grant_lease(LEASE_TTL).await else {
            return;
        };
        let key = slot_key(&self.settings.zone, number);
        let value = encode_slot(self.addresses.peers);
        match self
            .platform
            .compare_and_swap(&key, &value, revision, Some(lease))
            .await
        {
            Ok(Some(_)) => {
                lock(&self.watcher_slot).record_acquired(number, lease, requested_at);
                log::info!("watching slot={key}");
            }
            // Another node was faster, or the slot may have been acquired without a response.
            _ => {
                let _ = self.platform.revoke_lease(lease).await;
            }
        }
    }

    /// Renews the lease of the slot. If the platform does not respond, the lease remains valid
    /// until it expires.
    async fn renew_slot(&self, lease: Lease) {
        let requested_at = Instant::now();
        match self.platform.renew_lease(lease).await {
            Ok(true) => lock(&self.watcher_slot).record_renewed(lease, requested_at),
            Ok(false) => {
                lock(&self.watcher_slot).record_expired(lease, Instant::now());
                log::warn!("watcher slot lost lease={lease}");
            }
            Err(_) => {}
        }
    }

    /// Publishes in this node's member record whether it holds a watcher slot.
    fn publish_slot(&self) {
        let holds = self.holds_slot();
        lock(&self.members).update_own(|r| r.watcher = holds);
    }

    /// Releases the watcher slot, if this node holds one.
    pub(super) async fn release_slot(&self) {
        let held_slot = lock(&self.watcher_slot).held(Instant::now());
        if let Some(slot) = held_slot {
            let _ = self.platform.revoke_lease(slot.lease).await;
        }
    }

    /// Watches the head in the platform while this node holds a watcher slot, or watches the
    /// document of an external operator.
    pub(super) async fn watch_loop(self: Arc<Self>) {
        if P::EXTERNAL_CONFIG {
            return self.watch_document().await;
        }
        let mut revision = Revision::ABSENT;
        loop {
            if !self.holds_slot() {
                tokio::time::sleep(SLOT_CHECK_INTERVAL).await;
                continue;
            }
            match self.platform.watch(HEAD_KEY, revision, WATCH_TIMEOUT).await {
                Ok(Some(value)) => {
                    revision = value.revision;
                    self.handle_head(&value).await;
                }
                Ok(None) => {}
                Err(_) => {
                    revision = Revision::ABSENT;
                    tokio::time::sleep(WATCH_RETRY_DELAY.mul_f64(0.5 + fastrand::f64())).await;
                }
            }
        }
    }

    /// Watches the operator's document. Every node of a small fleet does so, and only the holders
    /// of watcher slots in a large one.
    async fn watch_document(self: Arc<Self>) {
        let mut revision = None;
        let mut wait = DOCUMENT_WATCH_TIMEOUT;
        loop {
            if !self.should_watch_document() {
                // Watches later from where the document was known last, without reading it again.
                revision = lock(&self.freshness).revision();
                wait = DOCUMENT_WATCH_TIMEOUT;
                tokio::time::sleep(SLOT_CHECK_INTERVAL).await;
                continue;
            }
            let asked_at = Instant::now();
            let found = match revision {
                None => self.read_document().await,
                Some(after) => self.platform.watch_document(after, wait).await,
            };
            let delay = match found {
                Ok(update) => {
                    self.record_document_success();
                    let delay = self.handle_document_update(&update);
                    // A watch that has waited does not tell when the platform looked last.
                    match revision.is_none() || wait.is_zero() {
                        true => self.record_fresh(update.revision, asked_at),
                        false => lock(&self.freshness).record_revision(update.revision),
                    }
                    revision = Some(update.revision);
                    delay
                }
                Err(e) => {
                    // The platform did respond, but does not have the history to watch.
                    if e != PlatformError::Compacted {
                        self.record_document_failure(&e);
                    }
                    revision = None;
                    DOCUMENT_RETRY_DELAY.mul_f64(0.5 + fastrand::f64())
                }
            };
            self.first_read.notify_one();
            tokio::time::sleep(delay).await;
            // The store may have come back from an older copy during the delay, which only a
            // response shows.
            wait = match delay.is_zero() {
                true => DOCUMENT_WATCH_TIMEOUT,
                false => Duration::ZERO,
            };
        }
    }

    /// Reads the operator's document and the revision to watch from.
    pub(super) async fn read_document(&self) -> PlatformResult<DocumentUpdate> {
        let found = self.platform.read_document().await?;
        Ok(DocumentUpdate {
            // Without a document, the watch reports the first one.
            revision: found.as_ref().map_or(Revision::ABSENT, |d| d.revision),
            document: found.map(|d| d.snapshot),
        })
    }

    /// Activates a document from the platform, and returns the delay before the next watch.
    fn handle_document_update(self: &Arc<Self>, update: &DocumentUpdate) -> Duration {
        let Some(document) = &update.document else {
            return Duration::ZERO;
        };
        self.adopt_document(document);
        if self.version() >= document.version() && !self.document_read.swap(true, Ordering::AcqRel)
        {
            tokio::spawn(self.clone().become_ready_without_peers());
        }
        // After the delay, versions that follow in quick succession are read together.
        DOCUMENT_BATCH_DELAY
    }

    /// Makes a node with a document ready if no peer has told in time that there is a newer one. The
    /// platform may have come back from a copy with an older document than the peers'.
    async fn become_ready_without_peers(self: Arc<Self>) {
        tokio::time::sleep(PEER_VERSIONS_WAIT).await;
        self.become_ready_with_document();
    }

    /// Returns whether this node watches the document itself.
    pub(super) fn should_watch_document(&self) -> bool {
        let (members_alive, zone_watched) = {
            let members = lock(&self.members);
            let table = members.table();
            let zone_watched = is_zone_watched(table, &self.settings.zone);
            (table.alive_count(), zone_watched)
        };
        let watch = DocumentWatch {
            ready: self.is_ready(),
            uptime: self.started.elapsed(),
            holds_slot: self.holds_slot(),
            members_alive,
            zone_watched,
        };
        watch.is_needed()
    }

    /// Whether this node holds a watcher slot.
    pub(super) fn holds_slot(&self) -> bool {
        lock(&self.watcher_slot).held(Instant::now()).is_some()
    }

    /// Records that a call for the document succeeded, and logs it if the previous one had failed.
    fn record_document_success(&self) {
        if self.document_failing.swap(false, Ordering::AcqRel) {
            log::info!("platform regained");
        }
    }

    /// Records that a call for the document failed, and logs it if the previous one had succeeded.
    fn record_document_failure(&self, e: &PlatformError) {
        if !self.document_failing.swap(true, Ordering::AcqRel) {
            log::warn!("platform lost: {e}");
        }
    }

    /// Handles a head that the watch reported.
    pub(super) async fn handle_head(self: &Arc<Self>, value: &Value) {
        let Ok(head) = decode_head(&value.text) else {
            return;
        };
        if head.version < self.version() {
            self.handle_head_rollback(head.version).await;
            return;
        }
        let mut actions = Actions::new();
        lock(&self.distribution).handle_head_change(head.version, Instant::now(), &mut actions);
        self.execute(actions);
    }

    /// Handles a head that is older than the active version, because the platform has lost accepted
    /// versions: restores it from the active configuration.
    pub(super) async fn handle_head_rollback(&self, head: Version) {
        self.head_rollbacks.fetch_add(1, Ordering::Relaxed);
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

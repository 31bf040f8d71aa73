//! The roll-outs that this node decides: acquires and renews their leases, makes their decisions, and
//! writes to the platform's store what they call for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::rollout::since_epoch;
use super::store::StoreResult;
use super::{Node, lock};
use crate::coordination::rollout::memory::OrderChange;
use crate::coordination::rollout::message::RolloutId;
use crate::coordination::rollout::{
    Authority, FleetView, Phase, Rollout, RolloutOrder, RolloutStatus, RolloutWrite, StoredRollout,
};
use crate::coordination::watcher_slot::{LEASE_TTL, RENEW_PERIOD};
use crate::protocol::datagram::Datagram;
use crate::protocol::record::encode_slot;
use crate::protocol::wire_rollout::{decider_key, decode_state, encode_state, state_key};
use crate::state::id::Path;
use crate::state::member::Health;
use crate::state::revision::{Era, Lease, Revision};
use crate::transport::platform::Platform;

/// Interval between looks for new orders. Only the holders of watcher slots look for them.
const ORDER_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between looks for writes that are due.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Time since the last renewal of a lease from which the node takes no step forward, though the
/// lease may still be valid.
const CONFIRMED_TIME: Duration = Duration::from_secs(4);
/// Time for which the directive is repeated after the end of a roll-out, unless the targets that get no
/// more requests are gone before. Afterwards, other versions may be started without an order.
const FOLLOW_UP: Duration = Duration::from_secs(30);
/// Number of peers to which a directive is sent, in addition to the nodes of the service's targets.
const DIRECTIVE_PEERS: usize = 8;

/// A roll-out that this node decides.
pub(super) struct Decider {
    pub(super) rollout: Rollout,
    order: RolloutOrder,
    lease: Lease,
    /// When the call that acquired or last renewed the lease was sent.
    renewed_at: Instant,
    /// Revision of the stored state.
    state_revision: Revision,
    /// The write that the last decision calls for.
    due_write: Option<RolloutWrite>,
    /// When the operator was told the end.
    ended_at: Option<Instant>,
}

/// Nodes of a service's targets.
struct ServiceTargets {
    old: Vec<SocketAddr>,
    /// Targets of the new version that take their full share of requests.
    new: Vec<SocketAddr>,
    all: Vec<SocketAddr>,
}

impl Decider {
    /// Continues with a decision about a roll-out that was announced to the fleet.
    pub(super) fn adopt_decision(&mut self, rollout: RolloutId, decision: Phase) {
        if self.order.id() == rollout {
            self.rollout.adopt_decision(decision);
        }
    }
}

impl<P: Platform> Node<P> {
    /// Makes the decisions that are due, and sends the directives that follow.
    pub(super) fn decide_rollouts(&self) {
        let services: Vec<Path> = lock(&self.deciders).keys().cloned().collect();
        for service in services {
            self.decide_rollout(&service);
        }
    }

    fn decide_rollout(&self, service: &Path) {
        let Some(order) = lock(&self.deciders).get(service).map(|d| d.order.clone()) else {
            return;
        };
        let targets = self.service_targets(&order);
        let directive = {
            let mut deciders = lock(&self.deciders);
            let Some(decider) = deciders.get_mut(service) else {
                return;
            };
            if decider.renewed_at.elapsed() >= LEASE_TTL {
                log::warn!("roll-out left to another node service={service}: lease not renewed");
                deciders.remove(service);
                return;
            }
            let fleet = FleetView {
                authority: match decider.renewed_at.elapsed() < CONFIRMED_TIME {
                    true => Authority::Held,
                    false => Authority::Unconfirmed,
                },
                old_targets: &targets.old,
                new_targets: &targets.new,
            };
            let before = decider.rollout.phase();
            let step = decider.rollout.advance(fleet, since_epoch());
            let phase = decider.rollout.phase();
            if phase != before {
                log::info!("roll-out decided service={service} phase={phase} before={before}");
            }
            decider.due_write = step.write;
            let losing = match phase {
                Phase::Moving => !targets.old.is_empty(),
                _ => targets.all.len() > targets.old.len(),
            };
            let ended_at = decider.ended_at;
            if ended_at.is_some_and(|at| !losing || at.elapsed() >= FOLLOW_UP) {
                log::info!("roll-out finished service={service} phase={phase}");
                let era = decider.lease.era;
                deciders.remove(service);
                lock(&self.rollout_memory).record_finished(order.id(), era);
                return;
            }
            step.directive
        };
        let Some(directive) = directive else {
            return;
        };
        let own = self.addresses.peers;
        let datagram = Datagram::RolloutDirective {
            decider: own,
            directive: directive.clone(),
        };
        let peers = lock(&self.members).sample_peers(DIRECTIVE_PEERS);
        let others = peers.iter().filter(|p| !targets.all.contains(p));
        for peer in targets.all.iter().chain(others).filter(|p| **p != own) {
            self.send(*peer, &datagram);
        }
        self.handle_directive(own, &directive);
    }

    fn service_targets(&self, order: &RolloutOrder) -> ServiceTargets {
        let members = lock(&self.members);
        let mut targets = ServiceTargets {
            old: Vec::new(),
            new: Vec::new(),
            all: Vec::new(),
        };
        for record in members.table().records_of_service(&order.service) {
            targets.all.push(record.peer);
            let version = record.target.as_ref().and_then(|t| t.version.as_ref());
            match version == Some(&order.version) {
                true if record.health == Health::Ready => targets.new.push(record.peer),
                false => targets.old.push(record.peer),
                true => {}
            }
        }
        targets
    }

    /// Looks for orders, renews leases and writes what the decisions call for.
    pub(super) async fn rollout_store_loop(self: Arc<Self>) {
        let mut orders_at = Instant::now() + ORDER_INTERVAL;
        loop {
            tokio::time::sleep(WRITE_INTERVAL).await;
            if !self.is_ready() || self.is_leaving() {
                continue;
            }
            self.renew_rollout_leases().await;
            self.write_rollouts().await;
            if Instant::now() >= orders_at {
                orders_at = Instant::now() + ORDER_INTERVAL;
                self.look_for_orders().await;
            }
        }
    }

    /// Takes over orders that no other node decides.
    async fn look_for_orders(&self) {
        if !self.holds_slot() && lock(&self.deciders).is_empty() {
            return;
        }
        // What a call returns may be of an earlier era than the one known after it.
        let era = self.platform.era();
        let Ok(orders) = self.platform.rollout_orders().await else {
            return;
        };
        for order in orders {
            if !self.observe_order(&order, era) {
                continue;
            }
            let is_decided_here = lock(&self.deciders)
                .get(&order.service)
                .is_some_and(|d| d.order == order);
            self.drop_replaced(&order).await;
            let era = self.platform.era();
            if is_decided_here || lock(&self.rollout_memory).is_finished(order.id(), era) {
                continue;
            }
            if let Err(e) = self.take_order(order.clone()).await {
                log::warn!("roll-out not taken service={}: {e}", order.service);
            }
        }
    }

    /// Compares an order with the last one for its service. Returns whether it is to be followed.
    fn observe_order(&self, order: &RolloutOrder, era: Era) -> bool {
        let change = lock(&self.rollout_memory).observe_order(order, era, Instant::now());
        if matches!(change, OrderChange::Rewritten | OrderChange::Outdated) {
            log::info!(
                "roll-out order read service={} version={} revision={} era={era} change={change:?}",
                order.service,
                order.version,
                order.revision
            );
        }
        change != OrderChange::Outdated
    }

    /// Gives up an earlier order for the same service.
    async fn drop_replaced(&self, order: &RolloutOrder) {
        let replaced = {
            let mut deciders = lock(&self.deciders);
            let is_other = |d: &Decider| d.order != *order;
            match deciders.get(&order.service).is_some_and(is_other) {
                true => deciders.remove(&order.service),
                false => None,
            }
        };
        if let Some(decider) = replaced {
            let _ = self.platform.revoke_lease(decider.lease).await;
        }
    }

    /// Acquires the lease of an order, and continues from what the store holds about it.
    async fn take_order(&self, order: RolloutOrder) -> StoreResult<()> {
        let era = self.platform.era();
        let published = self.platform.rollout_status(&order).await?;
        // The versions that run by now may be others than those of the order.
        if let Some(decision) = published.and_then(RolloutStatus::decision) {
            let mut memory = lock(&self.rollout_memory);
            memory.record_decision(&order.service, order.id(), decision);
            memory.record_finished(order.id(), era);
            return Ok(());
        }
        let requested_at = Instant::now();
        let key = decider_key(&order.service);
        if self.platform.get(&key).await?.is_some() {
            return Ok(());
        }
        let lease = self.platform.grant_lease(LEASE_TTL).await?;
        let value = encode_slot(self.addresses.peers);
        let acquired = self
            .platform
            .compare_and_swap(&key, &value, Revision::ABSENT, Some(lease))
            .await;
        if !matches!(acquired, Ok(Some(_))) {
            let _ = self.platform.revoke_lease(lease).await;
            return Ok(());
        }
        let state = self.platform.get(&state_key(&order.service)).await?;
        let state_revision = state.as_ref().map_or(Revision::ABSENT, |v| v.revision);
        let stored: Option<StoredRollout> = state.and_then(|v| decode_state(&v.text).ok());
        let announced = lock(&self.rollout_memory).decision(&order.service, order.id());
        log::info!(
            "deciding roll-out service={} version={} rollout={} stored={stored:?} published={published:?} announced={announced:?}",
            order.service,
            order.version,
            order.id(),
        );
        let mut rollout = Rollout::new(order.clone(), stored, published, since_epoch());
        if let Some(decision) = announced {
            rollout.adopt_decision(decision);
        }
        let decider = Decider {
            rollout,
            order: order.clone(),
            lease,
            renewed_at: requested_at,
            state_revision,
            due_write: None,
            ended_at: None,
        };
        lock(&self.deciders).insert(order.service, decider);
        Ok(())
    }

    async fn renew_rollout_leases(&self) {
        let due: Vec<(Path, Lease)> = lock(&self.deciders)
            .iter()
            .filter(|(_, d)| d.renewed_at.elapsed() >= RENEW_PERIOD / 2)
            .map(|(service, d)| (service.clone(), d.lease))
            .collect();
        for (service, lease) in due {
            let requested_at = Instant::now();
            match self.platform.renew_lease(lease).await {
                Ok(true) => {
                    if let Some(d) = lock(&self.deciders).get_mut(&service) {
                        d.renewed_at = requested_at;
                    }
                }
                Ok(false) => {
                    log::warn!("roll-out left service={service}: the store has no such lease");
                    lock(&self.deciders).remove(&service);
                }
                Err(_) => {}
            }
        }
    }

    async fn write_rollouts(&self) {
        let due: Vec<_> = lock(&self.deciders)
            .values_mut()
            .filter_map(|d| Some((d.order.clone(), d.state_revision, d.due_write.take()?)))
            .collect();
        for (order, revision, write) in due {
            let written = self.write_rollout(&order, revision, write).await;
            self.record_rollout_write(&order, write, written).await;
        }
    }

    /// Writes to the store. Returns the new revision of the state, or `None` if another node has
    /// written it.
    async fn write_rollout(
        &self,
        order: &RolloutOrder,
        revision: Revision,
        write: RolloutWrite,
    ) -> StoreResult<Option<Revision>> {
        match write {
            RolloutWrite::State(state) => {
                let (key, value) = (state_key(&order.service), encode_state(&state));
                let written = self.platform.compare_and_swap(&key, &value, revision, None);
                Ok(written.await?)
            }
            RolloutWrite::Status(status) => {
                let written = self.platform.write_rollout_status(order, status).await?;
                Ok(written.then_some(revision))
            }
        }
    }

    /// After a write that did not succeed for certain, the node gives up the roll-out. It is taken
    /// again from the store.
    async fn record_rollout_write(
        &self,
        order: &RolloutOrder,
        write: RolloutWrite,
        written: StoreResult<Option<Revision>>,
    ) {
        let lease = {
            let mut deciders = lock(&self.deciders);
            let Some(decider) = deciders.get_mut(&order.service) else {
                return;
            };
            if let Ok(Some(revision)) = written {
                log::info!("roll-out written service={} write={write:?}", order.service);
                decider.state_revision = revision;
                decider.rollout.record_written(write);
                if decider.rollout.is_finished() {
                    decider.ended_at = Some(Instant::now());
                }
                return;
            }
            log::warn!(
                "roll-out not written service={} write={write:?}",
                order.service
            );
            let lease = decider.lease;
            deciders.remove(&order.service);
            lease
        };
        let _ = self.platform.revoke_lease(lease).await;
    }
}

//! What a node remembers of orders and decisions, so that they hold although the platform's store
//! comes back from an older copy of its data.
//!
//! A decision is announced only after the store has accepted it, and the operator acts on its end: the
//! targets of the other version are stopped. A copy from before the decision must not undo it. The
//! operator writes its orders again after such a return, some of them at other revisions.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use super::message::RolloutId;
use super::{Phase, RolloutOrder};
use crate::state::id::Path;
use crate::state::revision::Era;

/// Time after a return of the store within which another order may be one from its copy that the
/// operator has not replaced yet.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time after a return of the store within which an order that was lost is written again. The same
/// order at a later time is a new one.
const REWRITE_TIME: Duration = Duration::from_secs(60);

/// How an order compares with the last one for its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderChange {
    /// It is the same order.
    Known,
    /// It is a new order.
    New,
    /// It is the same order, written again at another revision after a return of the store.
    Rewritten,
    /// It is older than the last one: read from an outdated replica or copy of the store.
    Outdated,
}

#[derive(Clone, Copy, Debug)]
struct Decision {
    rollout: RolloutId,
    phase: Phase,
}

#[derive(Clone, Debug)]
struct SeenOrder {
    order: RolloutOrder,
    /// Era in which it was last read.
    era: Era,
}

/// Orders and decisions that a node has seen.
#[derive(Debug, Default)]
pub struct RolloutMemory {
    /// The last decision for each service.
    decisions: BTreeMap<Path, Decision>,
    /// Roll-outs whose end was told to the operator, and the era in which the store said so.
    finished: HashMap<RolloutId, Era>,
    /// The last order for each service.
    orders: BTreeMap<Path, SeenOrder>,
    /// The newest era, and when it was first seen. `None` before the first order.
    era: Option<(Era, Instant)>,
}

impl RolloutMemory {
    /// Records a decision that was stored and announced. The first one for a roll-out stays.
    pub fn record_decision(&mut self, service: &Path, rollout: RolloutId, phase: Phase) {
        if phase.is_decided() && self.decision(service, rollout).is_none() {
            let decision = Decision { rollout, phase };
            self.decisions.insert(service.clone(), decision);
        }
    }

    /// The decision about a roll-out; `None` if this node knows of none.
    pub fn decision(&self, service: &Path, rollout: RolloutId) -> Option<Phase> {
        let decision = self.decisions.get(service);
        decision.filter(|d| d.rollout == rollout).map(|d| d.phase)
    }

    /// Records that the store has told the end of a roll-out in an era.
    pub fn record_finished(&mut self, rollout: RolloutId, era: Era) {
        self.finished.insert(rollout, era);
    }

    /// Whether the store has told the end of a roll-out in this era. It may have lost it in a later one.
    pub fn is_finished(&self, rollout: RolloutId, era: Era) -> bool {
        self.finished.get(&rollout) == Some(&era)
    }

    /// Compares an order that was read in an era with the last one for its service, and remembers
    /// it unless it is outdated. The decision about an order that was written again stays.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::rollout::RolloutOrder;
    /// use tarragoncourse::coordination::rollout::memory::{OrderChange, RolloutMemory};
    /// use tarragoncourse::state::id::Path;
    /// use tarragoncourse::state::member::TargetVersion;
    /// use tarragoncourse::state::revision::Era;
    /// use tokio::time::Instant;
    ///
    /// let order = RolloutOrder {
    ///     service: Path::new("guild/services/shop").unwrap(),
    ///     version: TargetVersion("v2".into()),
    ///     duration: Duration::from_secs(120),
    ///     revision: 7,
    /// };
    /// let rewritten = RolloutOrder { revision: 5, ..order.clone() };
    /// let mut memory = RolloutMemory::default();
    /// let now = Instant::now();
    /// assert_eq!(memory.observe_order(&order, Era(0), now), OrderChange::New);
    /// assert_eq!(memory.observe_order(&rewritten, Era(0), now), OrderChange::Outdated);
    /// assert_eq!(memory.observe_order(&rewritten, Era(1), now), OrderChange::Rewritten);
    /// ```
    pub fn observe_order(&mut self, order: &RolloutOrder, era: Era, now: Instant) -> OrderChange {
        let era_age = self.observe_era(era, now);
        let change = match self.orders.get(&order.service) {
            None => OrderChange::New,
            Some(last) => last.compare(order, era, era_age),
        };
        if change == OrderChange::Outdated {
            return change;
        }
        let seen = SeenOrder {
            order: order.clone(),
            era,
        };
        let last = self.orders.insert(order.service.clone(), seen);
        if let (OrderChange::Rewritten, Some(last)) = (change, last) {
            let decision = self.decision(&order.service, last.order.id());
            decision.inspect(|p| self.record_decision(&order.service, order.id(), *p));
        }
        change
    }

    /// Returns the time since the newest era was first seen.
    fn observe_era(&mut self, era: Era, now: Instant) -> Duration {
        let (newest, since) = self.era.filter(|(e, _)| *e >= era).unwrap_or((era, now));
        self.era = Some((newest, since));
        now - since
    }
}

impl SeenOrder {
    /// Compares an order that was read in an era, which began `era_age` ago.
    fn compare(&self, order: &RolloutOrder, era: Era, era_age: Duration) -> OrderChange {
        let is_same = self.order.version == order.version && self.order.duration == order.duration;
        if self.order == *order {
            return OrderChange::Known;
        }
        match era > self.era {
            true if is_same && era_age < REWRITE_TIME => OrderChange::Rewritten,
            true if era_age < SETTLE_TIME => OrderChange::Outdated,
            true => OrderChange::New,
            false if era < self.era || order.revision < self.order.revision => {
                OrderChange::Outdated
            }
            false => OrderChange::New,
        }
    }
}

//! Decides which kinds of work get a guaranteed share of the slots in a lasting shortage.
//!
//! By priority alone, lookups that fill the slots leave nothing for orders at the same target. A
//! kind that is served much less often than all requests therefore takes the next free slots,
//! until it is served at [`GUARANTEED_SERVICE`] of the rate of all.

use std::collections::HashMap;

use super::{KINDS_MAX, Queue, WorkKind};

/// Guaranteed ratio of a kind's served share to the served share of all requests. The goal is a
/// quarter; the difference allows for attempts that run but are not answered in time.
const GUARANTEED_SERVICE: f64 = 0.4;
/// Maximum share of the slots that a kind occupies by its guarantee.
const GUARANTEED_SLOT_SHARE: f64 = 0.5;
/// Number of arrivals after which the counts are halved, so that they follow the load.
const ARRIVALS_MAX: f64 = 1024.0;
/// Count of arrivals below which a kind is forgotten.
const ARRIVALS_MIN: f64 = 0.01;

/// Arrivals and dispatches, recent ones with more weight.
#[derive(Clone, Copy, Debug, Default)]
struct Service {
    arrived: f64,
    served: f64,
}

impl Service {
    fn halve(&mut self) {
        self.arrived /= 2.0;
        self.served /= 2.0;
    }
}

/// How often each kind is served.
#[derive(Debug, Default)]
pub(super) struct KindShares {
    by_kind: HashMap<WorkKind, Service>,
    all: Service,
}

impl KindShares {
    pub(super) fn record_arrival(&mut self, kind: WorkKind) {
        if self.by_kind.len() >= KINDS_MAX && !self.by_kind.contains_key(&kind) {
            return;
        }
        self.by_kind.entry(kind).or_default().arrived += 1.0;
        self.all.arrived += 1.0;
        if self.all.arrived >= ARRIVALS_MAX {
            self.all.halve();
            self.by_kind.values_mut().for_each(Service::halve);
            self.by_kind.retain(|_, s| s.arrived >= ARRIVALS_MIN);
        }
    }

    pub(super) fn record_start(&mut self, kind: WorkKind) {
        if let Some(service) = self.by_kind.get_mut(&kind) {
            service.served += 1.0;
            self.all.served += 1.0;
        }
    }

    /// Number of attempts of a kind that must run for it to be served as often as guaranteed.
    fn missing(&self, kind: WorkKind) -> f64 {
        let Some(service) = self.by_kind.get(&kind) else {
            return 0.0;
        };
        let served_share = self.all.served / self.all.arrived.max(1.0);
        (GUARANTEED_SERVICE * service.arrived * served_share - service.served).max(0.0)
    }
}

impl Queue {
    /// Number of attempts of a kind that run or wait before all others because the kind is served
    /// too rarely; zero without a lasting shortage.
    pub(super) fn guaranteed(&self, kind: WorkKind, limit: u32) -> usize {
        if !self.is_overload_sustained(kind) {
            return 0;
        }
        let slots = ((f64::from(limit) * GUARANTEED_SLOT_SHARE) as u32).max(1);
        let running = self.running_by_kind.get(&kind).copied().unwrap_or(0);
        let free = slots.saturating_sub(running) as usize;
        (self.shares.missing(kind).ceil() as usize).min(free)
    }

    /// The waiting kind that is furthest below its guarantee and has an attempt that may run.
    pub(super) fn kind_below_guarantee(
        &self,
        limit: u32,
        may_run: impl Fn(WorkKind) -> bool,
    ) -> Option<WorkKind> {
        let kinds = self.refusal_rates.keys().copied();
        let below = kinds.filter(|k| self.guaranteed(*k, limit) > 0 && may_run(*k));
        below.max_by(|a, b| {
            let missing = |k: &WorkKind| self.shares.missing(*k);
            missing(a)
                .total_cmp(&missing(b))
                .then_with(|| b.order().cmp(&a.order()))
        })
    }
}

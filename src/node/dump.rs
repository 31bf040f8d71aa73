//! Dumps of the process state for operators, without secrets.

use std::sync::atomic::Ordering;

use serde_json::{Value, json};
use tokio::time::Instant;

use super::{Node, lock};
use crate::transport::platform::Platform;

impl<P: Platform> Node<P> {
    /// Returns the state of the process as JSON. The parts are read one after the other, not as one
    /// atomic snapshot.
    pub fn dump(&self) -> Value {
        json!({
            "instance": self.settings.instance,
            "zone": self.settings.zone,
            "uptime_seconds": self.started.elapsed().as_secs_f64(),
            "ready": self.is_ready(),
            "leaving": self.is_leaving(),
            "rollbacks_refused": self.head_rollbacks.load(Ordering::Relaxed),
            "configuration": self.dump_configuration(),
            "members": self.dump_members(),
            "routing": self.dump_routing(),
            "gate": self.dump_gate(),
            "slot": self.dump_slot(),
            "configuration_confirmed_age_seconds": lock(&self.freshness).age(Instant::now()).as_secs_f64(),
            "platform_era": self.platform.era().0,
            "retry_budget": lock(&self.retry_budgets).remaining(),
            "quota": self.dump_quota(),
            "control_deferred": lock(&self.sender).budget.deferred(),
        })
    }

    /// Returns the values of the gauges for the metrics, by name.
    pub(super) fn gauge_values(&self) -> Vec<(&'static str, f64)> {
        let (alive, awareness, member_counts) = {
            let members = lock(&self.members);
            (
                members.table().alive_count(),
                members.awareness(),
                members.counts(),
            )
        };
        let (config_counts, newest_known) = {
            let distribution = lock(&self.distribution);
            (distribution.counts(), distribution.newest_known())
        };
        let (target_ends, refused_requests) = {
            let table = lock(&self.crash_table);
            (table.len(), table.refused_count())
        };
        let confirmed_age = lock(&self.freshness).age(Instant::now());
        let rate = lock(&self.target_notices).rate();
        let quota = self.quota_levels();
        let state = lock(&self.gate);
        let gate_counts = state.gate.counts();
        let mut values = vec![
            ("config_version", self.version().0 as f64),
            ("config_confirmed_age_seconds", confirmed_age.as_secs_f64()),
            ("config_wanted", newest_known.0 as f64),
            ("config_adopted", config_counts.adopted as f64),
            ("config_pulls", config_counts.pulls as f64),
            ("config_mismatches", config_counts.mismatches as f64),
            ("config_refused", config_counts.refused as f64),
            (
                "config_rollbacks",
                self.head_rollbacks.load(Ordering::Relaxed) as f64,
            ),
            ("platform_era", self.platform.era().0 as f64),
            ("target_ends", target_ends as f64),
            ("requests_refused_for_crashes", refused_requests as f64),
            ("members_alive", alive as f64),
            ("members_awareness", f64::from(awareness)),
            ("members_suspected", member_counts.suspected as f64),
            ("members_declared", member_counts.declared as f64),
            ("members_refuted", member_counts.refuted as f64),
            ("gate_running", f64::from(state.gate.running())),
            ("gate_waiting", state.gate.waiting() as f64),
            (
                "gate_flows_waiting",
                state.gate.waiting_flows().count as f64,
            ),
            ("gate_limit", f64::from(state.gate.limit())),
            // -1 while the target names no rate.
            ("target_rate", rate.map_or(-1.0, |r| r.per_second())),
            ("gate_handed", gate_counts.started as f64),
            ("gate_refused", gate_counts.refused as f64),
            ("gate_replaced", gate_counts.replaced as f64),
            (
                "refused_locally",
                lock(&self.pressure).refused_locally() as f64,
            ),
            ("gate_voided", gate_counts.voided as f64),
            ("gate_shed", gate_counts.shed as f64),
            ("ready", f64::from(u8::from(self.is_ready()))),
        ];
        values.extend(quota);
        values
    }

    fn dump_configuration(&self) -> Value {
        let distribution = lock(&self.distribution);
        let current = distribution.current();
        let counts = distribution.counts();
        json!({
            "version": current.version().0,
            "digest": current.digest().to_string(),
            "change": current.change().to_string(),
            "objects": current.len(),
            "wanted": distribution.newest_known().0,
            "adopted": counts.adopted,
            "pulls": counts.pulls,
            "busy": counts.busy,
            "mismatches": counts.mismatches,
            "refused": counts.refused,
        })
    }

    fn dump_members(&self) -> Value {
        let members = lock(&self.members);
        let records: Vec<Value> = members
            .table()
            .records()
            .map(|r| {
                json!({
                    "peer": r.peer.to_string(),
                    "gate": r.gate_port,
                    "incarnation": r.incarnation.0,
                    "sequence": r.sequence,
                    "zone": &*r.zone,
                    "state": r.health.to_string(),
                    "watcher": r.watcher,
                    "instance": r.target.as_ref().map(|t| t.instance.to_string()),
                    "service": r.target.as_ref().map(|t| t.service.to_string()),
                })
            })
            .collect();
        let counts = members.counts();
        json!({
            "alive": members.table().alive_count(),
            "awareness": members.awareness(),
            "suspected": counts.suspected,
            "declared": counts.declared,
            "refuted": counts.refuted,
            "pauses": counts.pauses,
            "records": records,
        })
    }

    fn dump_routing(&self) -> Value {
        let table = self.routing.load_full();
        let picker = lock(&self.picker);
        let now = Instant::now();
        let services: Vec<Value> = table
            .services()
            .map(|(path, service)| {
                let targets: Vec<Value> = service
                    .candidates
                    .iter()
                    .map(|c| {
                        json!({
                            "peer": c.peer.to_string(),
                            "gate": c.gate_addr.to_string(),
                            "zone": &*c.zone,
                            "state": c.health.to_string(),
                            "in_flight": picker.in_flight(&c.peer),
                            "ejected": picker.is_ejected(&c.peer, now),
                        })
                    })
                    .collect();
                json!({ "path": path.to_string(), "targets": targets })
            })
            .collect();
        let routes: Vec<String> = table.routes().map(|r| r.path.to_string()).collect();
        json!({
            "version": table.version().0,
            "routes": routes,
            "services": services,
            "ejections": picker.ejections(),
        })
    }

    fn dump_gate(&self) -> Value {
        let rate = lock(&self.target_notices).rate();
        let state = lock(&self.gate);
        let counts = state.gate.counts();
        let flows = state.gate.waiting_flows();
        json!({
            "incarnation": state.gate.incarnation().0,
            "closed": state.gate.closed_reason().map(|r| r.to_string()),
            "leaving": state.gate.is_leaving(),
            "running": state.gate.running(),
            "waiting": state.gate.waiting(),
            "flows_waiting": flows.count,
            "flow_furthest_over": flows.furthest_over.map(|w| w.to_string()),
            "limit": state.gate.limit(),
            "target_rate": rate.map(|r| r.per_second()),
            "mean_ms": state.gate.mean_service_time().as_secs_f64() * 1000.0,
            "handed": counts.started,
            "refused": counts.refused,
            "replaced": counts.replaced,
            "voided": counts.voided,
            "shed": counts.shed,
        })
    }

    fn dump_slot(&self) -> Value {
        match lock(&self.watcher_slot).held(Instant::now()) {
            Some(slot) => json!({ "number": slot.number, "lease": slot.lease.number }),
            None => Value::Null,
        }
    }
}

//! Admits callers' requests within the limits of their workspaces, and runs the ledger that this
//! node may be for other nodes.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::identity::Identity;
use crate::coordination::outcome::Outcome;
use crate::coordination::quota::{
    Admission, FleetSize, Ledger, LedgerChange, Placement, QuotaClient, QuotaReply, QuotaRequest,
    REPLY_TIMEOUT, ShardSet, Token, shard_of,
};
use crate::protocol::datagram::Datagram;
use crate::state::workspace::{RateLimit, WorkspaceEntry, WorkspaceId};
use crate::transport::platform::Platform;

/// Time after which a request that waits asks again, in case a datagram was lost.
const ASK_AGAIN_TIME: Duration = Duration::from_millis(40);
/// Interval at which the ledgers are chosen anew from the member table.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// How a request is decided: at its arrival, after a reply, or when it cannot wait longer.
type Decide = fn(&mut QuotaClient, WorkspaceId, &RateLimit, Option<u32>, Instant) -> Admission;

/// Both sides of the quota at one node.
pub(super) struct QuotaState {
    client: QuotaClient,
    ledger: Ledger,
    fleet_size: FleetSize,
    /// Shards of the workspaces that have a limit.
    limited: ShardSet,
    placed_at: Option<Instant>,
    /// Requests that had been admitted by the own entitlement when the ledgers were chosen last.
    own_before: u64,
    /// Whether the own entitlement was in use then.
    own_in_use: bool,
}

impl QuotaState {
    pub(super) fn new(peer: SocketAddr, now: Instant, rng: &mut fastrand::Rng) -> QuotaState {
        QuotaState {
            client: QuotaClient::new(peer, now, rng.fork()),
            ledger: Ledger::new(now, rng.fork()),
            fleet_size: FleetSize::new(now),
            limited: ShardSet::default(),
            placed_at: None,
            own_before: 0,
            own_in_use: false,
        }
    }

    fn placement_due(&self, now: Instant) -> bool {
        self.placed_at
            .is_none_or(|at| now - at >= PLACEMENT_INTERVAL)
    }

    /// Returns whether the own entitlement is in use, if that has changed since the last call.
    fn take_own_change(&mut self) -> Option<bool> {
        let own = self.client.counts().own;
        let in_use = own > self.own_before;
        self.own_before = own;
        let was_in_use = std::mem::replace(&mut self.own_in_use, in_use);
        (in_use != was_in_use).then_some(in_use)
    }
}

/// Permits one request to run. Empty if the workspace has no limit.
#[derive(Debug, Default)]
#[must_use]
pub(super) struct QuotaPermit(Option<Token>);

impl<P: Platform> Node<P> {
    /// Admits a request of an identified caller. A request without a workspace has no limit.
    ///
    /// # Errors
    /// The time after which the caller may retry.
    pub(super) async fn admit_caller(
        self: &Arc<Self>,
        identity: &Identity,
        deadline: Instant,
    ) -> Result<QuotaPermit, Duration> {
        match &identity.workspace {
            Some(workspace) => self.admit(workspace, deadline).await,
            None => Ok(QuotaPermit::default()),
        }
    }

    /// Admits a request of a workspace. Waits for a ledger for at most [`REPLY_TIMEOUT`].
    ///
    /// # Errors
    /// The time after which the caller may retry.
    pub(super) async fn admit(
        self: &Arc<Self>,
        workspace: &WorkspaceEntry,
        deadline: Instant,
    ) -> Result<QuotaPermit, Duration> {
        let Some(limit) = &workspace.workspace.limit else {
            return Ok(QuotaPermit::default());
        };
        let arrived = Instant::now();
        let wait_end = deadline.min(arrived + REPLY_TIMEOUT);
        let mut step: Decide = QuotaClient::admit;
        loop {
            // Registered before the decision, so that no reply is missed.
            let mut reply = pin!(self.quota_wake.notified());
            reply.as_mut().enable();
            let now = Instant::now();
            let admission = {
                let state = &mut *lock(&self.quota);
                let nodes = state.fleet_size.get(now);
                step(&mut state.client, workspace.id, limit, nodes, now)
            };
            match admission {
                Admission::Run(token) => return Ok(QuotaPermit(Some(token))),
                Admission::Refuse(wait) => return Err(wait),
                Admission::Wait(Some(Duration::ZERO)) => self.send_quota_requests(now),
                Admission::Wait(Some(delay)) => {
                    let node = self.clone();
                    tokio::spawn(async move {
                        tokio::time::sleep(delay).await;
                        node.send_quota_requests(Instant::now());
                    });
                }
                Admission::Wait(None) => {}
            }
            let until = wait_end.min(now + ASK_AGAIN_TIME);
            let _ = tokio::time::timeout_at(until, reply).await;
            step = match Instant::now() < wait_end {
                true => QuotaClient::decide,
                false => QuotaClient::give_up,
            };
        }
    }

    /// Returns the token of a request that did not run.
    pub(super) fn settle_permit(&self, permit: QuotaPermit, outcome: Outcome) {
        if let (Some(token), Outcome::NotRun(_)) = (permit.0, outcome) {
            lock(&self.quota).client.return_token(token, Instant::now());
        }
    }

    /// Handles a request to the ledger of this node.
    pub(super) fn handle_quota_request(
        &self,
        from: SocketAddr,
        request: QuotaRequest,
        now: Instant,
    ) {
        if let Some(reply) = self.ask_own_ledger(from, &request, now) {
            self.send(from, &Datagram::QuotaReply(reply));
        }
    }

    /// Handles the reply of a ledger.
    pub(super) fn handle_quota_reply(&self, from: SocketAddr, reply: &QuotaReply, now: Instant) {
        let decided = {
            let state = &mut *lock(&self.quota);
            state.fleet_size.record_peer(reply.nodes, now);
            state.client.handle_reply(from, reply, now)
        };
        if decided {
            self.quota_wake.notify_waiters();
        }
    }

    /// Drives the timers of the quota.
    pub(super) fn tick_quota(&self, now: Instant) {
        if lock(&self.quota).placement_due(now) {
            self.place_ledgers(now);
        }
        lock(&self.quota).client.tick(now);
        self.send_quota_requests(now);
        let (changes, own_change) = {
            let mut state = lock(&self.quota);
            (state.client.take_changes(), state.take_own_change())
        };
        for change in changes {
            match change {
                LedgerChange::Moved(shard, Some(ledger)) => {
                    log::info!("quota ledger shard={shard} ledger={ledger}");
                }
                LedgerChange::Moved(shard, None) => {
                    log::warn!("quota ledger shard={shard} ledger=-");
                }
                LedgerChange::Lost(ledger) => {
                    log::warn!("quota ledger does not reply ledger={ledger}");
                }
            }
        }
        if let Some(in_use) = own_change {
            log::info!("quota own entitlement in_use={in_use}");
        }
    }

    /// Chooses the ledgers and records the size of the fleet, from the member table.
    fn place_ledgers(&self, now: Instant) {
        let table = self.routing.load();
        let limited = table.workspaces().filter(|w| w.workspace.limit.is_some());
        let mut shards = ShardSet::default();
        limited.for_each(|w| shards.insert(shard_of(w.id)));
        let members = lock(&self.members);
        let nodes = members.table().alive_count() as u32;
        // Without limits, no ledger is needed.
        let placement = match shards == ShardSet::default() {
            true => Placement::default(),
            false => Placement::new(members.table().records().map(|r| &**r)),
        };
        let mut state = lock(&self.quota);
        drop(members);
        state.fleet_size.record_members(nodes, now);
        state.limited = shards;
        state.placed_at = Some(now);
        state.client.set_placement(placement);
    }

    /// Sends the requests to ledgers that are due. The ledger of this node is asked directly.
    fn send_quota_requests(&self, now: Instant) {
        let requests = {
            let state = &mut *lock(&self.quota);
            let seen = state.fleet_size.seen(now);
            state.client.take_requests(state.limited, seen, now)
        };
        for (ledger, request) in requests {
            if ledger != self.addresses.peers {
                self.send(ledger, &Datagram::QuotaRequest(request));
            } else if let Some(reply) = self.ask_own_ledger(ledger, &request, now) {
                self.handle_quota_reply(ledger, &reply, now);
            }
        }
    }

    fn ask_own_ledger(
        &self,
        from: SocketAddr,
        request: &QuotaRequest,
        now: Instant,
    ) -> Option<QuotaReply> {
        let table = self.routing.load();
        let limit_of = |id| table.workspace(id).and_then(|w| w.workspace.limit);
        let state = &mut *lock(&self.quota);
        if from != self.addresses.peers {
            state.fleet_size.record_peer(request.nodes, now);
        }
        state
            .ledger
            .handle(from, request, &state.fleet_size, limit_of, now)
    }

    /// Returns the levels of the quota for the metrics, by name.
    pub(super) fn quota_levels(&self) -> [(&'static str, f64); 8] {
        let now = Instant::now();
        let state = lock(&self.quota);
        let (client, ledger) = (state.client.counts(), state.ledger.counts());
        [
            ("quota_admitted", client.admitted as f64),
            ("quota_refused", client.refused as f64),
            ("quota_own", client.own as f64),
            ("quota_unanswered", client.unanswered as f64),
            ("quota_lenders", state.ledger.lenders(now) as f64),
            ("quota_granted", ledger.granted as f64),
            ("quota_denied", ledger.refused as f64),
            // Zero while the size is not known.
            (
                "quota_nodes",
                f64::from(state.fleet_size.get(now).unwrap_or(0)),
            ),
        ]
    }

    /// Returns the state of the quota for the dump.
    pub(super) fn dump_quota(&self) -> Value {
        let now = Instant::now();
        let state = lock(&self.quota);
        let ledgers: Vec<Value> = state
            .client
            .ledgers()
            .map(|l| l.map_or(Value::Null, |l| l.to_string().into()))
            .collect();
        let counts = state.client.counts();
        json!({
            "nodes": state.fleet_size.get(now),
            "ledgers": ledgers,
            "own_shards": state.client.own_shards(now),
            "admitted": counts.admitted,
            "refused": counts.refused,
            "own": counts.own,
            "unanswered": counts.unanswered,
            "returned": counts.returned,
            "lenders": state.ledger.lenders(now),
            "granted": state.ledger.counts().granted,
            "denied": state.ledger.counts().refused,
        })
    }
}

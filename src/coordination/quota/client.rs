//! A node's side of the quota: the tokens that it holds, what it asks ledgers for, and its own
//! entitlements while they are not lent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::link::LedgerLink;
use super::workspace_state::WorkspaceState;
use super::{
    ASKS_MAX, Ask, LEASE, LEASE_MARGIN, Placement, QuotaReply, QuotaRequest, REPLY_TIMEOUT,
    SHARD_COUNT, ShardSet, TOKEN_LIFETIME, shard_of,
};
use crate::state::workspace::{RateLimit, WorkspaceId};

/// Time for which asks are collected before they are sent to another node.
const COALESCE_TIME: Duration = Duration::from_millis(1);
/// Time after which the state of an unused workspace is dropped.
const WORKSPACE_RETENTION: Duration = Duration::from_secs(60);
/// Shortest time that a refusal names.
const WAIT_MIN: Duration = Duration::from_millis(10);
/// Longest time that a refusal for the lack of own tokens names.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// The right to run one request of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    workspace: WorkspaceId,
    expires: Instant,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run it.
    Run(Token),
    /// Refuse it; a token is available after this time at the earliest.
    Refuse(Duration),
    /// Wait for a reply of the ledger. If there is a time, the asks are to be sent after it;
    /// otherwise an earlier request sees to that.
    Wait(Option<Duration>),
}

/// What a client has done so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounts {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests admitted by the node's own entitlement.
    pub own: u64,
    /// Messages to ledgers without a reply in time.
    pub unanswered: u64,
    /// Tokens returned by requests that did not run.
    pub returned: u64,
}

/// A change in what the node believes about a ledger, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerChange {
    /// The shard uses another ledger, or none.
    Moved(usize, Option<SocketAddr>),
    /// The ledger does not reply, and is not used for some time.
    Lost(SocketAddr),
}

/// State machine of a node's side of the quota.
#[derive(Debug)]
pub struct QuotaClient {
    /// Address of this node, which may be a ledger itself.
    own_peer: SocketAddr,
    placement: Placement,
    shards: [ShardState; SHARD_COUNT],
    links: BTreeMap<SocketAddr, LedgerLink>,
    workspaces: BTreeMap<WorkspaceId, WorkspaceState>,
    pending: Vec<Pending>,
    /// Whether a request was told to send the asks.
    send_due: bool,
    next_id: u32,
    rng: fastrand::Rng,
    counts: ClientCounts,
    changes: Vec<LedgerChange>,
}

/// Where a shard's entitlement is.
#[derive(Clone, Copy, Debug)]
struct ShardState {
    /// The ledger that is asked.
    ledger: Option<SocketAddr>,
    /// The ledger that the entitlement was lent to last.
    lent_to: Option<SocketAddr>,
    /// Until then, the entitlement may be in use at `lent_to`, and neither at this node nor at
    /// another ledger.
    lent_until: Instant,
}

/// A request to a ledger without a reply so far.
#[derive(Debug)]
struct Pending {
    id: u32,
    ledger: SocketAddr,
    sent_at: Instant,
    asks: SmallVec<[Ask; 4]>,
    overdue: bool,
}

impl QuotaClient {
    /// Creates the client of a node that starts now. The entitlements may still be lent by an
    /// earlier process at the same address.
    pub fn new(own_peer: SocketAddr, now: Instant, rng: fastrand::Rng) -> QuotaClient {
        let shard = ShardState {
            ledger: None,
            lent_to: None,
            lent_until: now + LEASE + LEASE_MARGIN,
        };
        QuotaClient {
            own_peer,
            placement: Placement::default(),
            shards: [shard; SHARD_COUNT],
            links: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            pending: Vec::new(),
            send_due: false,
            next_id: 0,
            rng,
            counts: ClientCounts::default(),
            changes: Vec::new(),
        }
    }

    /// Sets the ledgers by the current member table.
    pub fn set_placement(&mut self, placement: Placement) {
        self.placement = placement;
        let (placement, shards) = (&self.placement, &self.shards);
        self.links.retain(|ledger, _| {
            let ranked = (0..SHARD_COUNT).any(|s| placement.ledgers(s).contains(ledger));
            ranked || shards.iter().any(|s| s.lent_to == Some(*ledger))
        });
    }

    /// Decides about a request that arrives now. `nodes` is the size of the fleet, `None` while it
    /// is not known.
    pub fn admit(
        &mut self,
        workspace: WorkspaceId,
        limit: &RateLimit,
        nodes: Option<u32>,
        now: Instant,
    ) -> Admission {
        let state = self.workspaces.entry(workspace).or_insert_with(|| {
            let own_at = self.shards[shard_of(workspace)].lent_until;
            WorkspaceState::new(now, own_at)
        });
        state.record_demand(now);
        self.decide(workspace, limit, nodes, now)
    }

    /// Decides again about a request that has waited.
    pub fn decide(
        &mut self,
        workspace: WorkspaceId,
        limit: &RateLimit,
        nodes: Option<u32>,
        now: Instant,
    ) -> Admission {
        if let Some(token) = self.take_held(workspace, now) {
            return self.run(token);
        }
        if let Some(token) = self.take_own(workspace, limit, nodes, now) {
            return self.run(token);
        }
        let shard = shard_of(workspace);
        let ledger = self.choose_ledger(shard, now);
        let Some(state) = self.workspaces.get_mut(&workspace) else {
            return self.refuse(WAIT_MIN);
        };
        if let Some(until) = state.refused_until.filter(|until| *until > now) {
            return self.refuse(until - now);
        }
        state.refused_until = None;
        match ledger {
            None => self.give_up(workspace, limit, nodes, now),
            Some(ledger) => {
                state.waiting = state.waiting.saturating_add(1);
                let delay = match ledger == self.own_peer {
                    true => Duration::ZERO,
                    false => COALESCE_TIME,
                };
                let already_due = std::mem::replace(&mut self.send_due, true);
                Admission::Wait((!already_due || delay.is_zero()).then_some(delay))
            }
        }
    }

    /// Decides about a request that has waited as long as it may: the own entitlement or refusal.
    pub fn give_up(
        &mut self,
        workspace: WorkspaceId,
        limit: &RateLimit,
        nodes: Option<u32>,
        now: Instant,
    ) -> Admission {
        let token = self.take_held(workspace, now);
        let token = token.or_else(|| self.take_own(workspace, limit, nodes, now));
        if let Some(token) = token {
            return self.run(token);
        }
        let lent = self.shards[shard_of(workspace)].lent_until;
        let lent = lent.saturating_duration_since(now);
        let own_rate = limit.rate / f64::from(nodes.unwrap_or(u32::MAX));
        let interval = Duration::try_from_secs_f64(1.0 / own_rate).unwrap_or(WAIT_MAX);
        self.refuse(lent.max(interval).clamp(WAIT_MIN, WAIT_MAX))
    }

    /// Takes back the token of a request that did not run. It may be used again until it expires.
    pub fn return_token(&mut self, token: Token, now: Instant) {
        let state = self.workspaces.get_mut(&token.workspace);
        if let Some(state) = state.filter(|_| token.expires > now) {
            state.hold(token.expires, 1);
            self.counts.returned += 1;
        }
    }

    /// Returns the requests to send now: the asks that have been collected and, for shards of
    /// `limited` workspaces, renewals of leases and probes of lost ledgers that are due.
    pub fn take_requests(
        &mut self,
        limited: ShardSet,
        nodes_seen: u32,
        now: Instant,
    ) -> Vec<(SocketAddr, QuotaRequest)> {
        self.send_due = false;
        let mut requests: BTreeMap<SocketAddr, QuotaRequest> = BTreeMap::new();
        let waiting: SmallVec<[WorkspaceId; 8]> = self
            .workspaces
            .iter()
            .filter(|(_, state)| state.waiting > 0)
            .map(|(workspace, _)| *workspace)
            .collect();
        for workspace in waiting {
            let Some(ledger) = self.choose_ledger(shard_of(workspace), now) else {
                continue;
            };
            let asks = &mut requests.entry(ledger).or_default().asks;
            let state = self.workspaces.get_mut(&workspace);
            // What does not fit is asked for in the next message.
            if let Some(state) = state.filter(|_| asks.len() < ASKS_MAX) {
                asks.push(Ask {
                    workspace,
                    tokens: state.take_wanted(),
                });
            }
        }
        for shard in limited.iter() {
            let chosen = self.choose_ledger(shard, now);
            for ledger in self.placement.ledgers(shard).iter().copied() {
                let link = self.links.entry(ledger).or_default();
                if (chosen == Some(ledger) || link.is_avoided()) && link.message_due(now) {
                    requests.entry(ledger).or_default();
                }
            }
        }
        let prepare = |(ledger, request)| (ledger, self.prepare(ledger, request, nodes_seen, now));
        requests.into_iter().map(prepare).collect()
    }

    /// Handles a reply. Returns whether requests that wait may now be decided.
    pub fn handle_reply(&mut self, from: SocketAddr, reply: &QuotaReply, now: Instant) -> bool {
        let Some(link) = self.links.get_mut(&from) else {
            return false;
        };
        link.record_reply(reply.stamp, now);
        let found = |p: &Pending| p.id == reply.id && p.ledger == from;
        // A reply that comes again or much too late brings no tokens.
        let Some(index) = self.pending.iter().position(found) else {
            return false;
        };
        let pending = self.pending.swap_remove(index);
        let expires = pending.sent_at + TOKEN_LIFETIME;
        for (ask, grant) in pending.asks.iter().zip(&reply.grants) {
            if let Some(state) = self.workspaces.get_mut(&ask.workspace) {
                state.apply_grant(ask, grant, expires, now);
            }
        }
        !pending.asks.is_empty()
    }

    /// Notices ledgers that do not reply, and drops what is not used any more.
    pub fn tick(&mut self, now: Instant) {
        for pending in &mut self.pending {
            if !pending.overdue && now - pending.sent_at >= REPLY_TIMEOUT {
                pending.overdue = true;
                self.counts.unanswered += 1;
                let link = self.links.entry(pending.ledger).or_default();
                if link.record_failure() {
                    self.changes.push(LedgerChange::Lost(pending.ledger));
                }
            }
        }
        self.pending.retain(|p| now - p.sent_at < TOKEN_LIFETIME);
        self.workspaces
            .retain(|_, state| now - state.used_at < WORKSPACE_RETENTION);
        for shard in 0..SHARD_COUNT {
            self.choose_ledger(shard, now);
        }
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LedgerChange> {
        std::mem::take(&mut self.changes)
    }

    /// The ledger of each shard.
    pub fn ledgers(&self) -> impl Iterator<Item = Option<SocketAddr>> {
        self.shards.iter().map(|s| s.ledger)
    }

    /// Number of shards whose entitlement is at this node.
    pub fn own_shards(&self, now: Instant) -> usize {
        self.shards.iter().filter(|s| s.lent_until <= now).count()
    }

    /// Returns the counts.
    pub fn counts(&self) -> ClientCounts {
        self.counts
    }

    /// Chooses the ledger of a shard. While the entitlement is lent to a ledger that replies, that
    /// one is asked, so that a change of ledgers leaves no gap.
    fn choose_ledger(&mut self, shard: usize, now: Instant) -> Option<SocketAddr> {
        let links = &self.links;
        let usable = |peer: &SocketAddr| links.get(peer).is_none_or(|l| !l.is_avoided());
        let state = &mut self.shards[shard];
        let lent_to = state.lent_to.filter(|_| state.lent_until > now);
        let ranking = self.placement.ledgers(shard).iter().copied();
        let chosen = lent_to.into_iter().chain(ranking).find(usable);
        if chosen != state.ledger {
            state.ledger = chosen;
            self.changes.push(LedgerChange::Moved(shard, chosen));
        }
        chosen
    }

    /// Completes a request: lends all shards that may be lent to this ledger.
    fn prepare(
        &mut self,
        ledger: SocketAddr,
        mut request: QuotaRequest,
        nodes_seen: u32,
        now: Instant,
    ) -> QuotaRequest {
        let link = self.links.entry(ledger).or_default();
        request.echo = link.echo(now);
        link.record_sent(now);
        request.nodes = nodes_seen;
        let needs_reply = !request.asks.is_empty() || link.check_due(now);
        if request.echo.is_some() && link.is_trusted() {
            request.lent = self.lend_to(ledger, now);
        }
        if needs_reply {
            self.next_id = self.next_id.wrapping_add(1).max(1);
            request.id = self.next_id;
            self.pending.push(Pending {
                id: request.id,
                ledger,
                sent_at: now,
                asks: request.asks.clone(),
                overdue: false,
            });
        }
        request
    }

    /// Lends the entitlements of the shards that prefer this ledger and are not lent to another one.
    fn lend_to(&mut self, ledger: SocketAddr, now: Instant) -> ShardSet {
        let mut lent = ShardSet::default();
        for (shard, state) in self.shards.iter_mut().enumerate() {
            let links = &self.links;
            let usable = |peer: &&SocketAddr| links.get(peer).is_none_or(|l| !l.is_avoided());
            let preferred = self.placement.ledgers(shard).iter().find(usable);
            let free = state.lent_until <= now || state.lent_to == Some(ledger);
            if preferred == Some(&ledger) && free {
                state.ledger = Some(ledger);
                state.lent_until = now + LEASE + LEASE_MARGIN;
                state.lent_to = Some(ledger);
                lent.insert(shard);
            }
        }
        lent
    }

    fn take_held(&mut self, workspace: WorkspaceId, now: Instant) -> Option<Token> {
        let expires = self.workspaces.get_mut(&workspace)?.take_held(now)?;
        Some(Token { workspace, expires })
    }

    /// Takes a token of the own entitlement if it is not lent.
    fn take_own(
        &mut self,
        workspace: WorkspaceId,
        limit: &RateLimit,
        nodes: Option<u32>,
        now: Instant,
    ) -> Option<Token> {
        let free_since = self.shards[shard_of(workspace)].lent_until;
        let fraction = 1.0 / f64::from(nodes?);
        let state = self.workspaces.get_mut(&workspace)?;
        if free_since > now {
            return None;
        }
        let own = state.take_own(limit, fraction, free_since, now, &mut self.rng);
        self.counts.own += u64::from(own);
        let expires = now + TOKEN_LIFETIME;
        own.then_some(Token { workspace, expires })
    }

    fn run(&mut self, token: Token) -> Admission {
        self.counts.admitted += 1;
        Admission::Run(token)
    }

    fn refuse(&mut self, wait: Duration) -> Admission {
        self.counts.refused += 1;
        Admission::Refuse(wait)
    }
}

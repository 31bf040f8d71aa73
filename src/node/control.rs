//! The control loop of a node: receives and sends datagrams, drives the timers of the state
//! machines and executes their actions.
//!
//! The live nodes of an availability zone form a ring in the order of their addresses. Every node
//! relays announcements of new versions to its neighbours on the ring.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior};

use super::{Node, lock};
use crate::coordination::budget::SendPriority;
use crate::coordination::distribution::{Action, Actions, PULL_TIMEOUT, PullReply};
use crate::coordination::members::{Members, Message, Outbox};
use crate::coordination::outcome::NotRun;
use crate::coordination::retry::RetryAllowance;
use crate::protocol::datagram::{DATAGRAM_MAX_BYTES, Datagram, DatagramOpener};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::state::id::Version;
use crate::state::member::Health;
use crate::state::snapshot::{Delta, Snapshot};
use crate::transport::link::send_request;
use crate::transport::platform::Platform;

/// Interval between ticks of the state machines.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Up to this fleet size, a node that learned a version from the platform announces it to all
/// peers.
const ANNOUNCE_ALL_MAX_NODES: usize = 16;
/// Random peers in this node's zone that a version from the platform is announced to, in addition
/// to the ring neighbours.
const ANNOUNCE_ZONE_PEERS: usize = 2;
/// Random peers, mostly of the same zone, that a version is announced to.
const ANNOUNCE_RANDOM_PEERS: usize = 1;
/// Number of ring neighbours on each side that take part in announcements: the nearest receive
/// them, and the others are fallbacks for announcements that are not acknowledged.
const RING_NEIGHBOURS_PER_SIDE: usize = 3;
/// Timeout of a fetch over UDP, after which TCP is used.
const FETCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay after an error of the datagram socket.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(50);
/// Ticks between removals of the load statistics of unused targets; one minute.
const EVICT_INTERVAL_TICKS: u32 = 1200;

impl<P: Platform> Node<P> {
    /// Receives datagrams from other nodes and handles the authentic ones.
    pub(super) async fn receive_loop(self: Arc<Self>) {
        let mut opener = DatagramOpener::new(self.fleet_key.clone());
        let mut buffer = [0; DATAGRAM_MAX_BYTES + 1];
        loop {
            let length = match self.udp.recv_from(&mut buffer).await {
                Ok((length, _)) => length,
                Err(e) => {
                    log::warn!("no datagram received: {e}");
                    tokio::time::sleep(RECEIVE_ERROR_DELAY).await;
                    continue;
                }
            };
            match opener.open(&buffer[..length]) {
                Ok((from, datagram)) => {
                    self.metrics.record_received(datagram.kind(), length);
                    self.handle_datagram(from, datagram, Instant::now());
                }
                Err(_) => self.metrics.record_received("refused", length),
            }
        }
    }

    /// Drives the timers of the state machines.
    pub(super) async fn tick_loop(self: Arc<Self>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks: u32 = 0;
        loop {
            interval.tick().await;
            self.observe_running().await;
            let now = Instant::now();
            self.tick(now);
            ticks = ticks.wrapping_add(1);
            self.spread_ends(ticks);
            if ticks.is_multiple_of(EVICT_INTERVAL_TICKS) {
                lock(&self.picker).evict_unused(now);
            }
        }
    }

    fn tick(self: &Arc<Self>, now: Instant) {
        let version = self.version();
        let mut out = Outbox::new();
        let fallbacks = {
            let mut members = lock(&self.members);
            members.tick(version, now, &mut out);
            fallback_peers(&members)
        };
        self.sync_incarnation();
        self.send_members(out);
        let mut actions = Actions::new();
        lock(&self.distribution).tick(&fallbacks, now, &mut actions);
        self.execute(actions);
        self.check_freshness(now);
        self.sync_target(now);
        self.refresh_targets();
        self.tick_quota(now);
        let mut state = lock(&self.gate);
        let gate_actions = state.gate.expire(now);
        state.notify_waiters(gate_actions);
    }

    fn handle_datagram(self: &Arc<Self>, from: SocketAddr, datagram: Datagram, now: Instant) {
        let mut actions = Actions::new();
        match datagram {
            Datagram::Announce(version) => {
                lock(&self.distribution).handle_announcement(from, version, now, &mut actions);
            }
            Datagram::Acknowledge(version) => {
                lock(&self.distribution).handle_ack(from, version);
            }
            Datagram::Fetch { fetch_id, since } => self.answer_fetch(from, fetch_id, since),
            Datagram::Fetched { fetch_id, deltas } => {
                if let Some(waiter) = lock(&self.pending_fetches).remove(&fetch_id) {
                    // Fails if the waiter has timed out; it then pulls over TCP.
                    let _ = waiter.send(deltas);
                }
            }
            Datagram::Confirm(confirmation) => self.handle_confirmation(from, confirmation, now),
            Datagram::QuotaRequest(request) => self.handle_quota_request(from, request, now),
            Datagram::QuotaReply(reply) => self.handle_quota_reply(from, &reply, now),
            Datagram::Ends(records) => self.handle_ends(&records, now),
            Datagram::EndsDigest(digest) => self.answer_ends_digest(from, digest),
            Datagram::RolloutDirective { decider, directive } => {
                self.handle_directive(decider, &directive);
            }
            Datagram::RolloutReport(report) => self.handle_rollout_report(from, &report),
            Datagram::Member(message) => {
                if let Some(version) = reported_version(&message) {
                    lock(&self.distribution).handle_version(from, version, now, &mut actions);
                }
                let mut out = Outbox::new();
                lock(&self.members).receive(from, message, now, &mut out);
                self.send_members(out);
            }
        }
        self.execute(actions);
        self.start_due_sync();
    }

    /// Starts a member table exchange with a peer if one is due.
    fn start_due_sync(self: &Arc<Self>) {
        let due = lock(&self.members).take_sync_peer();
        if let Some(peer) = due {
            let node = self.clone();
            tokio::spawn(async move { node.sync_members_with(peer).await });
        }
    }

    /// Executes the actions of the distribution state machine.
    pub(super) fn execute(self: &Arc<Self>, actions: Actions) {
        for action in actions {
            match action {
                Action::Announce(to, version) => self.send(to, &Datagram::Announce(version)),
                Action::Acknowledge(to, version) => self.send(to, &Datagram::Acknowledge(version)),
                Action::Pull {
                    from,
                    since,
                    fetch_id,
                } => {
                    tokio::spawn(self.clone().pull_from_peer(from, since, fetch_id));
                }
                Action::ReadPlatform { fetch_id } => {
                    tokio::spawn(self.clone().pull_from_platform(fetch_id));
                }
                Action::Adopt(snapshot) => self.adopt(&snapshot),
            }
        }
    }

    /// Pulls newer versions from a peer: over UDP if the deltas fit into one datagram, and over TCP
    /// if they do not, if no datagram arrives in time, or if this node has no configuration yet.
    async fn pull_from_peer(self: Arc<Self>, from: SocketAddr, since: Version, fetch_id: u64) {
        let fetched = match since {
            Version(0) => None,
            _ => self.fetch_deltas(from, since, fetch_id).await,
        };
        let result = match fetched {
            Some(deltas) => PullReply::Deltas(deltas),
            None => self.pull_over_tcp(from, since).await,
        };
        self.finish_pull(fetch_id, result, false);
    }

    /// Fetches deltas from a peer over UDP. Returns `None` if no deltas arrive within the timeout.
    async fn fetch_deltas(
        &self,
        from: SocketAddr,
        since: Version,
        fetch_id: u64,
    ) -> Option<Vec<Arc<Delta>>> {
        let (send, fetched) = oneshot::channel();
        lock(&self.pending_fetches).insert(fetch_id, send);
        self.send(from, &Datagram::Fetch { fetch_id, since });
        let deltas = tokio::time::timeout(FETCH_TIMEOUT, fetched).await;
        lock(&self.pending_fetches).remove(&fetch_id);
        deltas.ok()?.ok()?
    }

    /// Replies to a fetch over UDP, without deltas if the peer needs a snapshot.
    fn answer_fetch(&self, to: SocketAddr, fetch_id: u64, since: Version) {
        let response = lock(&self.distribution).answer_pull(since);
        let deltas = match response {
            PullReply::Deltas(deltas) => Some(deltas),
            _ => None,
        };
        self.send(to, &Datagram::Fetched { fetch_id, deltas });
    }

    /// Pulls deltas or a complete snapshot from a peer over TCP.
    async fn pull_over_tcp(&self, from: SocketAddr, since: Version) -> PullReply {
        let request = PeerRequest::Pull(since);
        match send_request(&self.fleet_key, from, &request, PULL_TIMEOUT).await {
            Ok((PeerReply::Pull(response), bytes)) => {
                self.metrics.record_exchange(pull_kind(&response), bytes);
                response
            }
            _ => PullReply::Failed,
        }
    }

    /// Reads newer versions from the platform.
    async fn pull_from_platform(self: Arc<Self>, fetch_id: u64) {
        let result = self.read_newer().await.unwrap_or(PullReply::Failed);
        self.finish_pull(fetch_id, result, true);
    }

    /// Passes the result of a pull to the distribution state machine. `from_platform` is true if it
    /// was read from the platform, and false if it came from a peer.
    fn finish_pull(self: &Arc<Self>, fetch_id: u64, result: PullReply, from_platform: bool) {
        let peers = self.announce_peers(from_platform);
        let mut actions = Actions::new();
        let now = Instant::now();
        lock(&self.distribution).handle_fetch_result(fetch_id, result, &peers, now, &mut actions);
        self.execute(actions);
    }

    /// Returns the peers that a new version is announced to. A node that learned it from the
    /// platform starts the propagation in every zone; all others relay it.
    pub(super) fn announce_peers(&self, from_platform: bool) -> Vec<SocketAddr> {
        let members = &mut lock(&self.members);
        let mut peers = match from_platform {
            // Every node may read the document itself. If each announced it to all peers, the
            // number of messages would be quadratic in the number of nodes.
            true if P::EXTERNAL_CONFIG => relay_peers(members),
            true if members.table().alive_count() <= ANNOUNCE_ALL_MAX_NODES => {
                members.live_peers().to_vec()
            }
            true => origin_peers(members),
            false => relay_peers(members),
        };
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Makes a snapshot the active configuration: rebuilds the routing table from it.
    fn adopt(&self, snapshot: &Snapshot) {
        let members = lock(&self.members);
        // Concurrent adoptions may arrive here out of order; the active version never decreases.
        if snapshot.version() <= self.routing.load().version() {
            return;
        }
        let table = self.routing.load().rebuild(snapshot, members.table());
        self.routing.store(Arc::new(table));
        drop(members);
        self.refresh_gate();
        log::info!(
            "in force version={} digest={:?}",
            snapshot.version(),
            snapshot.digest()
        );
    }

    /// Updates the routing table after changes in the member table.
    pub(super) fn refresh_targets(&self) {
        let mut members = lock(&self.members);
        let changed = members.take_changed_services();
        if changed.is_empty() {
            return;
        }
        let table = self.routing.load().refresh(members.table(), &changed);
        self.routing.store(Arc::new(table));
        drop(members);
        self.refresh_retry_budgets();
    }

    /// Recomputes this node's share of the fleet's retry allowance from the number of live nodes.
    pub(super) fn refresh_retry_budgets(&self) {
        if let Some(fleet) = self.fleet_retries.load_full() {
            let nodes = self.members_alive();
            let allowance = RetryAllowance::fleet_share(fleet.ratio, fleet.slack, nodes);
            lock(&self.retry_budgets).set_allowance(allowance);
        }
    }

    /// Updates the gate of this node from the operators' settings and from the state of the local
    /// target.
    pub(super) fn refresh_gate(&self) {
        let table = self.routing.load();
        let settings = table.target_settings(&self.settings.instance);
        let default_slots = self.settings.target.as_ref().map_or(1, |t| t.slots);
        // Locked until the gate is updated, so that of two concurrent calls the one with the older
        // state cannot reopen the gate.
        let members = lock(&self.members);
        let target = lock(&self.announced_target);
        let notices = lock(&self.target_notices);
        let unannounced = self.has_announced_target() && target.instance().is_none();
        let leaving = target.is_leaving() || notices.is_leaving();
        let drained = leaving || settings.is_some_and(|t| t.drained);
        let closed = match members.own_record().health {
            _ if drained => Some(NotRun::Leaving),
            _ if unannounced => Some(NotRun::Unannounced),
            Health::Down => Some(NotRun::Unreachable),
            _ => None,
        };
        let mut state = lock(&self.gate);
        let slots = settings.map(|t| t.slots).or(target.slots());
        let slots = slots.unwrap_or(default_slots);
        state.gate.set_slots(slots);
        state.gate.set_closed(closed);
        // Refuses the waiting attempts, so that their ingresses can retry at other targets.
        if let Some(reason) = closed {
            let gate_actions = state.gate.refuse_waiting(reason);
            state.notify_waiters(gate_actions);
        }
    }

    /// Sends the messages of the membership protocol.
    pub(super) fn send_members(&self, out: Outbox) {
        for (to, message) in out {
            self.send(to, &Datagram::Member(message));
        }
    }

    /// Sends a datagram, unless the byte budget has too little left for the datagram's priority.
    pub(super) fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let bytes = {
            let mut sender = lock(&self.sender);
            let bytes = sender.sealer.seal(datagram);
            let allowed =
                sender
                    .budget
                    .try_spend(send_priority(datagram), bytes.len(), Instant::now());
            if !allowed {
                return;
            }
            bytes
        };
        if bytes.len() > DATAGRAM_MAX_BYTES {
            return self.send_reduced(to, datagram);
        }
        self.metrics.record_sent(datagram.kind(), bytes.len());
        // If the socket buffer is full, the datagram is lost, which the protocols tolerate.
        let _ = self.udp.try_send_to(&bytes, to);
    }

    /// Sends a datagram that exceeds the size limit, because of long names or large deltas, in a
    /// reduced form: gossip is split in two, and a reply to a fetch is sent without deltas, so that
    /// the peer pulls over TCP. Other datagrams are dropped.
    fn send_reduced(&self, to: SocketAddr, datagram: &Datagram) {
        match datagram {
            Datagram::Member(Message::Gossip { records }) if records.len() > 1 => {
                let (first, second) = records.split_at(records.len() / 2);
                for half in [first, second] {
                    let records = half.to_vec();
                    self.send(to, &Datagram::Member(Message::Gossip { records }));
                }
            }
            Datagram::Fetched { fetch_id, .. } => {
                let (fetch_id, deltas) = (*fetch_id, None);
                self.send(to, &Datagram::Fetched { fetch_id, deltas });
            }
            _ => {}
        }
    }
}

/// Returns the peers to which a node announces a version that it learned from the platform: the
/// relay peers, some more peers in its zone, and one peer in each other zone.
pub(super) fn origin_peers(members: &mut Members) -> Vec<SocketAddr> {
    let mut peers = relay_peers(members);
    peers.extend(members.sample_own_zone(ANNOUNCE_ZONE_PEERS));
    peers.extend(members.sample_other_zones());
    peers
}

/// Returns the peers to which a node relays an announcement: its ring neighbours, so that every
/// node is reached, and a random peer.
pub(super) fn relay_peers(members: &mut Members) -> Vec<SocketAddr> {
    let own = members.own_record();
    let mut peers = members.table().neighbours(&own.zone, &own.peer, 1);
    peers.extend(members.sample_news_peers(ANNOUNCE_RANDOM_PEERS));
    peers
}

/// Returns the ring neighbours beyond the nearest one on each side. An announcement that is not
/// acknowledged is also sent to one of them.
fn fallback_peers(members: &Members) -> Vec<SocketAddr> {
    let own = members.own_record();
    let ring = members
        .table()
        .neighbours(&own.zone, &own.peer, RING_NEIGHBOURS_PER_SIDE);
    ring.into_iter().skip(2).collect()
}

/// Returns the configuration version that the sender of a message reports.
fn reported_version(message: &Message) -> Option<Version> {
    match message {
        Message::Ping { summary, .. } | Message::Ack { summary, .. } => Some(summary.version),
        _ => None,
    }
}

/// Returns the priority of a datagram in the byte budget.
fn send_priority(datagram: &Datagram) -> SendPriority {
    match datagram {
        Datagram::Member(Message::Gossip { .. }) => SendPriority::Gossip,
        Datagram::Member(Message::TableDigests { .. }) | Datagram::EndsDigest(_) => {
            SendPriority::Repair
        }
        Datagram::QuotaRequest(_) | Datagram::QuotaReply(_) => SendPriority::Unlimited,
        _ => SendPriority::Always,
    }
}

/// Returns the `kind` label of a pull in the metrics.
fn pull_kind(response: &PullReply) -> &'static str {
    match response {
        PullReply::Snapshot(_) => "snapshot",
        _ => "delta",
    }
}

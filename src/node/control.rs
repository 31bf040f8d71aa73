//! The control loop: datagrams in and out, timers, and the actions of the state machines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, MissedTickBehavior};

use super::{Node, lock};
use crate::coordination::budget::Urgency;
use crate::coordination::distribution::{Action, Actions, PULL_TIMEOUT, Pulled};
use crate::coordination::members::{Members, Message, Outbox};
use crate::coordination::outcome::NotRun;
use crate::coordination::retry::Allowance;
use crate::protocol::datagram::{DATAGRAM_MAX_BYTES, Datagram, DatagramOpener};
use crate::protocol::peer::{PeerReply, PeerRequest};
use crate::state::id::Version;
use crate::state::member::Health;
use crate::state::snapshot::{Delta, Snapshot};
use crate::transport::link::send_request;
use crate::transport::platform::Platform;

/// Interval between ticks of the state machines.
const TICK: Duration = Duration::from_millis(50);
/// In fleets up to this size a version that is known at first hand is announced to all.
const ANNOUNCE_ALL: usize = 16;
/// Peers of the own zone that a version is announced to, beside the ring's neighbours.
const ANNOUNCE_ZONE: usize = 2;
/// Peers of any zone that a version is announced to.
const ANNOUNCE_ANY: usize = 1;
/// How far along the ring peers are told in place of silent ones.
const SPARE_REACH: usize = 3;
/// Time within which a fetch by datagram is answered, before TCP is used.
const FETCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Ticks between the forgetting of unused targets.
const FORGET_TICKS: u32 = 1200;

impl<P: Platform> Node<P> {
    pub(super) async fn receive_loop(self: Arc<Self>) {
        let mut opener = DatagramOpener::new(self.key.clone());
        let mut buffer = [0; DATAGRAM_MAX_BYTES + 1];
        loop {
            let Ok((length, _)) = self.udp.recv_from(&mut buffer).await else {
                continue;
            };
            match opener.open(&buffer[..length]) {
                Ok((from, datagram)) => {
                    self.metrics.received(datagram.kind(), length);
                    self.handle(from, datagram, Instant::now());
                }
                Err(_) => self.metrics.received("refused", length),
            }
        }
    }

    pub(super) async fn tick_loop(self: Arc<Self>) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks: u32 = 0;
        loop {
            interval.tick().await;
            let now = Instant::now();
            self.tick(now);
            ticks = ticks.wrapping_add(1);
            if ticks.is_multiple_of(FORGET_TICKS) {
                lock(&self.picker).forget(now);
            }
        }
    }

    fn tick(self: &Arc<Self>, now: Instant) {
        let version = self.version();
        let mut out = Outbox::new();
        let spares = {
            let mut members = lock(&self.members);
            members.tick(version, now, &mut out);
            spare_peers(&members)
        };
        self.follow_incarnation();
        self.send_members(out);
        let mut actions = Actions::new();
        lock(&self.distribution).tick(&spares, now, &mut actions);
        self.execute(actions);
        self.follow_target(now);
        self.refresh_targets();
        let mut state = lock(&self.gate);
        let wakes = state.gate.expire(now);
        state.deliver(wakes);
    }

    fn handle(self: &Arc<Self>, from: SocketAddr, datagram: Datagram, now: Instant) {
        let mut actions = Actions::new();
        match datagram {
            Datagram::Announce(version) => {
                lock(&self.distribution).announced(from, version, now, &mut actions);
            }
            Datagram::Acknowledge(version) => {
                lock(&self.distribution).acknowledged(from, version);
            }
            Datagram::Fetch {
                fetch_id: ticket,
                since,
            } => self.answer_fetch(from, ticket, since),
            Datagram::Fetched {
                fetch_id: ticket,
                deltas,
            } => {
                if let Some(waiter) = lock(&self.fetches).remove(&ticket) {
                    // A waiter that gave up asks over TCP instead.
                    let _ = waiter.send(deltas);
                }
            }
            Datagram::Member(message) => {
                if let Some(version) = version_told(&message) {
                    lock(&self.distribution).hear(from, version, now, &mut actions);
                }
                let mut out = Outbox::new();
                lock(&self.members).receive(from, message, now, &mut out);
                self.send_members(out);
            }
        }
        self.execute(actions);
        self.exchange_if_due();
    }

    fn exchange_if_due(self: &Arc<Self>) {
        let due = lock(&self.members).take_exchange();
        if let Some(peer) = due {
            let node = self.clone();
            tokio::spawn(async move { node.exchange_with(peer).await });
        }
    }

    pub(super) fn execute(self: &Arc<Self>, actions: Actions) {
        for action in actions {
            match action {
                Action::Announce(to, version) => self.send(to, &Datagram::Announce(version)),
                Action::Acknowledge(to, version) => self.send(to, &Datagram::Acknowledge(version)),
                Action::Pull {
                    from,
                    since,
                    ticket,
                } => {
                    tokio::spawn(self.clone().pull(from, since, ticket));
                }
                Action::ReadPlatform { ticket } => {
                    tokio::spawn(self.clone().pull_platform(ticket));
                }
                Action::Adopt(snapshot) => self.adopt(&snapshot),
            }
        }
    }

    /// Pulls by one datagram each way if the deltas fit, and by TCP if not.
    async fn pull(self: Arc<Self>, from: SocketAddr, since: Version, ticket: u64) {
        let fetched = match since {
            Version(0) => None,
            _ => self.fetch(from, since, ticket).await,
        };
        let result = match fetched {
            Some(deltas) => Pulled::Deltas(deltas),
            None => self.pull_stream(from, since).await,
        };
        self.pulled(ticket, result, false);
    }

    async fn fetch(
        &self,
        from: SocketAddr,
        since: Version,
        ticket: u64,
    ) -> Option<Vec<Arc<Delta>>> {
        let (send, fetched) = oneshot::channel();
        lock(&self.fetches).insert(ticket, send);
        self.send(
            from,
            &Datagram::Fetch {
                fetch_id: ticket,
                since,
            },
        );
        let deltas = tokio::time::timeout(FETCH_TIMEOUT, fetched).await;
        lock(&self.fetches).remove(&ticket);
        deltas.ok()?.ok()?
    }

    fn answer_fetch(&self, to: SocketAddr, ticket: u64, since: Version) {
        let served = lock(&self.distribution).serve(since);
        let deltas = match served {
            Pulled::Deltas(deltas) => Some(deltas),
            _ => None,
        };
        self.send(
            to,
            &Datagram::Fetched {
                fetch_id: ticket,
                deltas,
            },
        );
    }

    async fn pull_stream(&self, from: SocketAddr, since: Version) -> Pulled {
        let request = PeerRequest::Pull(since);
        match send_request(&self.key, from, &request, PULL_TIMEOUT).await {
            Ok((PeerReply::Pull(pulled), moved)) => {
                self.metrics.exchanged(pulled_kind(&pulled), moved);
                pulled
            }
            _ => Pulled::Failed,
        }
    }

    async fn pull_platform(self: Arc<Self>, ticket: u64) {
        let result = self.read_newer().await.unwrap_or(Pulled::Failed);
        self.pulled(ticket, result, true);
    }

    fn pulled(self: &Arc<Self>, ticket: u64, result: Pulled, first_hand: bool) {
        let peers = self.announce_peers(first_hand);
        let mut actions = Actions::new();
        let now = Instant::now();
        lock(&self.distribution).pulled(ticket, result, &peers, now, &mut actions);
        self.execute(actions);
    }

    /// Whom a new version is announced to. A node that knows it at first hand starts the spread
    /// in every zone; the others pass it on.
    pub(super) fn announce_peers(&self, first_hand: bool) -> Vec<SocketAddr> {
        let members = &mut lock(&self.members);
        let mut peers = match first_hand {
            // Where every node reads the document itself, telling all would be as many messages
            // as there are pairs.
            true if P::EXTERNAL_CONFIG => relay_peers(members),
            true if members.table().alive_count() <= ANNOUNCE_ALL => members.peers().to_vec(),
            true => start_peers(members),
            false => relay_peers(members),
        };
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    fn adopt(&self, snapshot: &Snapshot) {
        let members = lock(&self.members);
        // Two adoptions may race to this point; the table never goes back.
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

    pub(super) fn refresh_targets(&self) {
        let mut members = lock(&self.members);
        let changed = members.take_changed();
        if changed.is_empty() {
            return;
        }
        let table = self.routing.load().refresh(members.table(), &changed);
        self.routing.store(Arc::new(table));
        drop(members);
        self.refresh_allowance();
    }

    /// This node's part of what the fleet may repeat follows the number of nodes.
    pub(super) fn refresh_allowance(&self) {
        if let Some(fleet) = self.fleet_retries.load_full() {
            let nodes = self.members_alive();
            let allowance = Allowance::of_fleet(fleet.ratio, fleet.slack, nodes);
            lock(&self.retries).set(allowance);
        }
    }

    /// Brings the own gate in line with the operators' settings and the target's health.
    pub(super) fn refresh_gate(&self) {
        let health = lock(&self.members).own().health;
        let table = self.routing.load();
        let settings = table.target(&self.settings.instance);
        let own = self.settings.target.as_ref().map_or(1, |t| t.slots);
        let (slots, leaving, unknown) = {
            let target = lock(&self.target);
            let announced = self.settings.target.as_ref().is_some_and(|t| t.announced);
            let unknown = announced && target.instance().is_none();
            (target.slots(), target.is_leaving(), unknown)
        };
        let drained = leaving || settings.is_some_and(|t| t.drained);
        let closed = match health {
            _ if drained => Some(NotRun::Leaving),
            _ if unknown => Some(NotRun::Unannounced),
            Health::Down => Some(NotRun::Unreachable),
            _ => None,
        };
        let mut state = lock(&self.gate);
        let slots = settings.map(|t| t.slots).or(slots).unwrap_or(own);
        state.gate.set_slots(slots);
        state.gate.set_closed(closed);
        // What waits can still run elsewhere.
        if let Some(reason) = closed {
            let wakes = state.gate.turn_away(reason);
            state.deliver(wakes);
        }
    }

    pub(super) fn send_members(&self, out: Outbox) {
        for (to, message) in out {
            self.send(to, &Datagram::Member(message));
        }
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let bytes = {
            let mut sender = lock(&self.sender);
            let bytes = sender.sealer.seal(datagram);
            let allowed = sender
                .budget
                .allow(urgency(datagram), bytes.len(), Instant::now());
            if !allowed {
                return;
            }
            bytes
        };
        if bytes.len() > DATAGRAM_MAX_BYTES {
            return self.send_smaller(to, datagram);
        }
        self.metrics.sent(datagram.kind(), bytes.len());
        // A full socket buffer drops the datagram, as the network would.
        let _ = self.udp.try_send_to(&bytes, to);
    }

    /// Long names or large deltas can make a datagram too large.
    fn send_smaller(&self, to: SocketAddr, datagram: &Datagram) {
        match datagram {
            Datagram::Member(Message::News { records }) if records.len() > 1 => {
                let (head, tail) = records.split_at(records.len() / 2);
                for half in [head, tail] {
                    let records = half.to_vec();
                    self.send(to, &Datagram::Member(Message::News { records }));
                }
            }
            Datagram::Fetched {
                fetch_id: ticket, ..
            } => {
                let (ticket, deltas) = (*ticket, None);
                self.send(
                    to,
                    &Datagram::Fetched {
                        fetch_id: ticket,
                        deltas,
                    },
                );
            }
            _ => {}
        }
    }
}

/// The ring's neighbours, some of the own zone, and one of each other zone.
fn start_peers(members: &mut Members) -> Vec<SocketAddr> {
    let mut peers = relay_peers(members);
    peers.extend(members.sample_zone(ANNOUNCE_ZONE));
    peers.extend(members.one_of_each_zone());
    peers
}

/// The ring's neighbours, which no other way of spreading leaves out, and a random peer.
fn relay_peers(members: &mut Members) -> Vec<SocketAddr> {
    let own = members.own();
    let mut peers = members.table().neighbours(&own.zone, &own.peer, 1);
    peers.extend(members.sample(ANNOUNCE_ANY));
    peers
}

/// The ring's neighbours beyond the nearest, to be told in place of silent ones.
fn spare_peers(members: &Members) -> Vec<SocketAddr> {
    let own = members.own();
    let ring = members
        .table()
        .neighbours(&own.zone, &own.peer, SPARE_REACH);
    ring.into_iter().skip(2).collect()
}

fn version_told(message: &Message) -> Option<Version> {
    match message {
        Message::Ping { brief, .. } | Message::Ack { brief, .. } => Some(brief.version),
        _ => None,
    }
}

fn urgency(datagram: &Datagram) -> Urgency {
    match datagram {
        Datagram::Member(Message::News { .. }) => Urgency::News,
        Datagram::Member(Message::Compare { .. }) => Urgency::Repair,
        _ => Urgency::Always,
    }
}

fn pulled_kind(pulled: &Pulled) -> &'static str {
    match pulled {
        Pulled::Whole(_) => "snapshot",
        _ => "delta",
    }
}

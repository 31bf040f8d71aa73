//! The node: the daemon's tasks around the state machines.
//!
//! Shared tables are locked in the order of the fields of [`Node`]: members, distribution, slots,
//! target, gate, health, link, picker, retries, sender, fetches. A lock is never held across an await.

mod answers;
mod api;
mod body;
mod claims;
mod collect;
pub mod config;
mod control;
mod dump;
mod gate;
mod ingress;
mod join;
mod metrics;
mod peers;
mod store;
mod target;
mod watch;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, Semaphore, oneshot, watch as signal};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::coordination::announce::Announced;
use crate::coordination::budget::ByteBudget;
use crate::coordination::distribution::Distribution;
use crate::coordination::gate::Gate;
use crate::coordination::health::TargetHealth;
use crate::coordination::members::Members;
use crate::coordination::pick::Picker;
use crate::coordination::retry::RetryBudgets;
use crate::coordination::slots::Slots;
use crate::coordination::transfer::Link;
use crate::node::config::{FleetRetries, NodeSettings};
use crate::protocol::datagram::DatagramSealer;
use crate::protocol::key::FleetKey;
use crate::state::id::{Incarnation, Version};
use crate::state::member::{Health, MemberRecord, TargetRecord};
use crate::state::routing::RoutingTable;
use crate::state::snapshot::{Delta, Snapshot};
use crate::transport::client::HttpClient;
use crate::transport::http::{Endpoint, ServeLimits, serve};
use crate::transport::platform::Platform;

use body::BodyKeeper;
pub use claims::ClaimQueue;
pub use metrics::Metrics;

/// Time for which an unused connection to the target is kept. Targets close idle connections
/// after some seconds, and a request sent just then would be lost.
const LOCAL_IDLE: Duration = Duration::from_secs(2);
/// Time before the closing of the listeners at which the gate closes, so that other nodes have
/// turned away.
const GATE_NOTICE: Duration = Duration::from_millis(400);
/// Peers that are told at once of a node's leaving.
const FAREWELLS: usize = 16;
/// Whole configurations or delta runs served at once.
const PULLS_MAX: usize = 8;
/// Member tables served at once.
const JOINS_MAX: usize = 8;
/// Connections of operators at once.
const ADMIN_CONNECTIONS: usize = 64;

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Other nodes.
    pub peers: SocketAddr,
    /// Requests to the target beside this node.
    pub gate: SocketAddr,
    /// Callers.
    pub callers: SocketAddr,
    /// Operators.
    pub admin: SocketAddr,
}

/// Fetches by datagram that wait for their answers, by ticket.
type Fetches = HashMap<u64, oneshot::Sender<Option<Vec<Arc<Delta>>>>>;

struct Sender {
    sealer: DatagramSealer,
    budget: ByteBudget,
}

/// One node: its settings, its shared tables and its clients.
pub struct Node<P> {
    settings: NodeSettings,
    addresses: Addresses,
    key: FleetKey,
    platform: P,
    started: Instant,
    routing: ArcSwap<RoutingTable>,
    members: Mutex<Members>,
    distribution: Mutex<Distribution>,
    slots: Mutex<Slots>,
    /// What the target beside this node announces, where it does.
    target: Mutex<Announced>,
    gate: Mutex<gate::GateState>,
    health: Mutex<TargetHealth>,
    /// This instance's link; none where its rate is not known.
    link: Mutex<Option<Link>>,
    picker: Mutex<Picker>,
    retries: Mutex<RetryBudgets>,
    fleet_retries: ArcSwapOption<FleetRetries>,
    sender: Mutex<Sender>,
    fetches: Mutex<Fetches>,
    udp: UdpSocket,
    /// Client for the gates of other nodes.
    hop: HttpClient,
    /// Client for the target beside this node.
    local: HttpClient,
    claims: ClaimQueue,
    pulls: Semaphore,
    joins: Semaphore,
    bodies: BodyKeeper,
    metrics: Metrics,
    ready: AtomicBool,
    leaving: AtomicBool,
    /// Told when the first read of the operator's document has ended, whatever came of it.
    first_read: Notify,
    /// Whether the platform did not answer the last call for the configuration.
    cut_off: AtomicBool,
    rollbacks: AtomicU64,
    stop: signal::Sender<bool>,
}

/// A started node.
pub struct RunningNode<P> {
    node: Arc<Node<P>>,
    serving: JoinSet<bool>,
    control: JoinSet<()>,
}

impl<P: Platform> RunningNode<P> {
    /// Binds the listeners and starts the tasks.
    ///
    /// # Errors
    /// Any socket error.
    pub async fn start(settings: NodeSettings, platform: P) -> io::Result<RunningNode<P>> {
        let listen = &settings.listen;
        let (peers, udp) = bind_peers(listen.peers).await?;
        let gate = TcpListener::bind(listen.gate).await?;
        let callers = TcpListener::bind(listen.callers).await?;
        let admin = TcpListener::bind(listen.admin).await?;
        let ready = match listen.ready {
            Some(address) => Some(TcpListener::bind(address).await?),
            None => None,
        };
        let addresses = Addresses {
            peers: peers.local_addr()?,
            gate: gate.local_addr()?,
            callers: callers.local_addr()?,
            admin: admin.local_addr()?,
        };
        let (node, wishes) = Node::new(settings, platform, addresses, udp);
        let mut running = RunningNode {
            node: Arc::new(node),
            serving: JoinSet::new(),
            control: JoinSet::new(),
        };
        running.serve(gate, callers, admin);
        if let Some(listener) = ready {
            running.serve_on(listener, |node| api::ReadyPage(node));
        }
        running.spawn_control(peers, wishes);
        Ok(running)
    }

    /// The node.
    pub fn node(&self) -> &Arc<Node<P>> {
        &self.node
    }

    /// Stops gracefully: announces leaving, takes no new work, finishes what is in flight.
    /// Returns whether everything ended within the drain time.
    pub async fn stop(mut self) -> bool {
        self.node.turn_away();
        let node = self.node.clone();
        // The platform may be slow; the stop does not wait for it.
        tokio::spawn(async move { node.release_slot().await });
        // Callers need the notice to turn elsewhere. The target beside this node does not: until
        // shortly before the end it goes on with the work of the others.
        let notice = self.node.settings.leave_notice;
        tokio::time::sleep(notice.saturating_sub(GATE_NOTICE)).await;
        self.node.leave();
        tokio::time::sleep(notice.min(GATE_NOTICE)).await;
        let _ = self.node.stop.send(true);
        log::info!("listeners close");
        let mut whole = true;
        while let Some(ended) = self.serving.join_next().await {
            whole &= ended.unwrap_or(false);
        }
        self.node.say_gone();
        log::info!("stopped whole={whole}");
        self.control.shutdown().await;
        whole
    }

    /// Ends all tasks at once, as a crash would.
    pub fn kill(mut self) {
        self.serving.abort_all();
        self.control.abort_all();
    }

    /// Serves an endpoint of the surroundings for as long as the node runs, and while it drains.
    pub fn serve_on<E: Endpoint>(
        &mut self,
        listener: TcpListener,
        endpoint: impl FnOnce(Arc<Node<P>>) -> E,
    ) {
        let limits = ServeLimits {
            max_connections: ADMIN_CONNECTIONS,
            drain_timeout: Duration::ZERO,
        };
        let service = Arc::new(endpoint(self.node.clone()));
        // Ended with the control tasks: readiness and reports are asked for until the end.
        let (until, never) = signal::channel(false);
        self.control.spawn(async move {
            let _until = until;
            serve(listener, service, limits, never).await;
        });
    }

    fn serve(&mut self, gate: TcpListener, callers: TcpListener, admin: TcpListener) {
        let node = &self.node;
        let limits = ServeLimits {
            max_connections: node.settings.connections,
            drain_timeout: node.settings.drain,
        };
        let few = ServeLimits {
            max_connections: ADMIN_CONNECTIONS,
            ..limits
        };
        let stop = || node.stop.subscribe();
        let service = Arc::new(gate::GateService(node.clone()));
        self.serving.spawn(serve(gate, service, limits, stop()));
        let service = Arc::new(ingress::Ingress(node.clone()));
        self.serving.spawn(serve(callers, service, limits, stop()));
        let service = Arc::new(api::Api(node.clone()));
        self.serving.spawn(serve(admin, service, few, stop()));
    }

    fn spawn_control(&mut self, peers: TcpListener, wishes: claims::WishReceiver) {
        let node = &self.node;
        self.control.spawn(node.clone().receive_loop());
        self.control.spawn(node.clone().tick_loop());
        self.control.spawn(node.clone().peer_loop(peers));
        self.control.spawn(node.clone().join_loop());
        self.control.spawn(node.clone().slot_loop());
        self.control.spawn(node.clone().watch_loop());
        self.control.spawn(node.clone().target_loop());
        self.control.spawn(node.clone().claim_loop(wishes));
    }
}

impl<P: Platform> Node<P> {
    fn new(
        settings: NodeSettings,
        platform: P,
        addresses: Addresses,
        udp: UdpSocket,
    ) -> (Node<P>, claims::WishReceiver) {
        let now = Instant::now();
        let incarnation = Incarnation(wall_millis());
        let key = FleetKey::derive(&settings.fleet_key);
        let mut rng = fastrand::Rng::new();
        let own = own_record(&settings, addresses, incarnation);
        let slots = settings.target.as_ref().map_or(1, |t| t.slots);
        let (claims, wishes) = ClaimQueue::new();
        let sender = Sender {
            sealer: DatagramSealer::new(key.clone(), addresses.peers, incarnation),
            budget: ByteBudget::new(now),
        };
        let node = Node {
            addresses,
            platform,
            started: now,
            routing: ArcSwap::from_pointee(RoutingTable::default()),
            members: Mutex::new(Members::new(own, now, rng.fork())),
            distribution: Mutex::new(Distribution::new(Arc::new(Snapshot::default()), rng.fork())),
            slots: Mutex::new(Slots::new(now)),
            target: Mutex::new(Announced::default()),
            gate: Mutex::new(gate::GateState::new(Gate::new(incarnation, slots))),
            health: Mutex::new(TargetHealth::default()),
            link: Mutex::new(settings.link_mbit.map(|rate| Link::new(rate, now))),
            picker: Mutex::new(Picker::new(rng.fork())),
            retries: Mutex::new(RetryBudgets::default()),
            fleet_retries: ArcSwapOption::from_pointee(settings.retries),
            sender: Mutex::new(sender),
            fetches: Mutex::new(Fetches::new()),
            udp,
            hop: HttpClient::default(),
            local: HttpClient::with_idle_timeout(LOCAL_IDLE),
            claims,
            pulls: Semaphore::new(PULLS_MAX),
            joins: Semaphore::new(JOINS_MAX),
            bodies: BodyKeeper::new(settings.replay_body),
            metrics: Metrics::default(),
            ready: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            first_read: Notify::new(),
            cut_off: AtomicBool::new(false),
            rollbacks: AtomicU64::new(0),
            stop: signal::Sender::new(false),
            key,
            settings,
        };
        (node, wishes)
    }

    /// Addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The configuration version in force.
    pub fn version(&self) -> Version {
        self.routing.load().version()
    }

    /// Whether the node holds a current configuration and serves callers.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Live members known, this node included.
    pub fn members_alive(&self) -> usize {
        lock(&self.members).table().alive_count()
    }

    /// Counters of this node.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Takes over what may change while the node runs: the log level and what the fleet may
    /// repeat. Other changes wait for a restart.
    pub fn reload(&self, settings: &NodeSettings) {
        log::set_max_level(settings.log);
        self.fleet_retries.store(settings.retries.map(Arc::new));
        self.refresh_allowance();
        log::info!(
            "settings reloaded log={} retries={:?}",
            settings.log,
            settings.retries
        );
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Callers are asked to turn elsewhere.
    fn turn_away(&self) {
        log::info!("leaving instance={}", self.settings.instance);
        self.leaving.store(true, Ordering::Release);
    }

    /// The gate takes no more work, and the others are told so.
    fn leave(&self) {
        let news = {
            let mut members = lock(&self.members);
            members.update(|r| r.health = Health::Leaving);
            members.farewell(FAREWELLS)
        };
        self.send_members(news);
        let mut state = lock(&self.gate);
        let wakes = state.gate.leave();
        state.deliver(wakes);
    }

    fn say_gone(&self) {
        let news = {
            let mut members = lock(&self.members);
            members.update(|r| r.health = Health::Gone);
            members.farewell(FAREWELLS)
        };
        self.send_members(news);
    }
}

/// UDP and TCP on one port. With port zero the operating system's choice for one may be taken for
/// the other, so a few are tried.
async fn bind_peers(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    const TRIES: usize = 16;
    let mut last = None;
    for _ in 0..TRIES {
        let tcp = TcpListener::bind(address).await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => return Ok((tcp, udp)),
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()))
}

fn own_record(
    settings: &NodeSettings,
    addresses: Addresses,
    incarnation: Incarnation,
) -> MemberRecord {
    let known = settings.target.as_ref().filter(|t| !t.announced);
    let beside = known.map(|t| TargetRecord {
        instance: settings.instance.as_str().into(),
        service: t.service.clone(),
        slots: t.slots,
        last_report: (0, 0),
        leaving: false,
    });
    MemberRecord {
        peer: addresses.peers,
        gate_port: settings.advertised_gate.unwrap_or(addresses.gate.port()),
        incarnation,
        sequence: 0,
        zone: settings.zone.as_str().into(),
        health: Health::Down,
        watcher: false,
        link_mbit: settings.link_mbit.unwrap_or(0.0) as u32,
        target: beside,
    }
}

/// Milliseconds since the Unix epoch.
fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Locks a table. A panic elsewhere leaves tables consistent between calls, so poison is ignored.
fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(|e| e.into_inner())
}

//! The node process: the tasks, clients and shared state around the state machines of
//! [`crate::coordination`].
//!
//! A node runs next to at most one target instance, its local target, as a sidecar. Its gate admits
//! requests to that target, and its ingress forwards callers' requests to the gates of the nodes
//! that run next to the chosen targets.
//!
//! The platform is the external key-value service that stores the accepted configuration. Its head
//! record points to the newest accepted version. On some platforms
//! ([`Platform::EXTERNAL_CONFIG`]), an external operator maintains the configuration instead, as a
//! document that the nodes only read.
//!
//! To avoid deadlocks, mutexes are locked in the order of the fields of [`Node`]: members,
//! distribution, watcher_slot, freshness, announced_target, target_notices, gate, target_health, link_schedule, picker,
//! peer_restarts, retry_budgets, pressure, quota, sender, pending_fetches, pauses,
//! recent_refusals, deciders, rollouts, rollout_memory, confirmed_leave. A lock is never held across an await.

mod api;
mod attempt;
mod body;
mod chained_body;
mod claims;
pub mod config;
mod control;
mod crash;
mod dump;
mod fingerprint;
mod freshness;
mod gate;
mod gate_reply;
mod gate_response;
mod gc;
mod identity;
mod ingress;
mod join;
mod leave;
mod local_response;
mod metrics;
mod peer_server;
mod quota;
mod response_body;
mod retries;
mod rollout;
mod rollout_decider;
mod running;
mod store;
pub mod supervise;
mod target;
mod watch;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore, oneshot, watch as signal};
use tokio::time::Instant;

use crate::coordination::announce::AnnouncedTarget;
use crate::coordination::budget::ByteBudget;
use crate::coordination::claim_memory::ClaimMemory;
use crate::coordination::crash_table::CrashTable;
use crate::coordination::distribution::Distribution;
use crate::coordination::freshness::Freshness;
use crate::coordination::gate::Gate;
use crate::coordination::health::TargetHealth;
use crate::coordination::members::Members;
use crate::coordination::notice::TargetNotices;
use crate::coordination::pause::PauseDetector;
use crate::coordination::pick::Picker;
use crate::coordination::pressure::Pressure;
use crate::coordination::refusals::RecentRefusals;
use crate::coordination::restarts::PeerRestarts;
use crate::coordination::retry::RetryBudgets;
use crate::coordination::rollout::memory::RolloutMemory;
use crate::coordination::target_end::BrokenAttempts;
use crate::coordination::transfer::LinkSchedule;
use crate::coordination::watcher_slot::WatcherSlot;
use crate::node::config::{FleetRetries, NodeSettings};
use crate::protocol::datagram::DatagramSealer;
use crate::protocol::key::FleetKey;
use crate::state::id::{Incarnation, Path, Version};
use crate::state::member::{Health, MemberRecord, TargetRecord, TargetStart};
use crate::state::routing::RoutingTable;
use crate::state::snapshot::{Delta, Snapshot};
use crate::transport::client::HttpClient;
use crate::transport::clock::read_clocks;
use crate::transport::counted::CountedPlatform;
use crate::transport::platform::Platform;

use body::BodyBuffer;
pub use claims::ClaimQueue;
pub use metrics::Metrics;
use rollout::Rollouts;
use rollout_decider::Decider;
pub use running::RunningNode;

/// Idle timeout of connections to the local target. Targets close idle connections after a few
/// seconds, and a request that is sent at that moment would be lost.
const TARGET_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of peers that a leaving node notifies directly.
const LEAVE_NOTICE_PEERS: usize = 16;
/// Pull requests for the configuration that are served concurrently.
const CONCURRENT_PULLS_MAX: usize = 8;
/// Join requests that are served concurrently. Each reply contains the complete member table.
const CONCURRENT_JOINS_MAX: usize = 8;
/// Number of times for [`BACKLOG_READ_TURN`] after a pause until the requests that arrived meanwhile
/// have been read. While many are left, the timers are late as well.
const BACKLOG_READ_TURNS: usize = 4;
/// Time in which an idle runtime looks for readable sockets and handles them.
const BACKLOG_READ_TURN: Duration = Duration::from_millis(1);

/// The addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For control messages from other nodes, over UDP and TCP.
    pub peers: SocketAddr,
    /// For requests from other nodes to the local target.
    pub gate: SocketAddr,
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the operators' API.
    pub admin: SocketAddr,
}

/// Delta fetches over UDP that wait for a reply, by their fetch id.
type PendingFetches = HashMap<u64, oneshot::Sender<Option<Vec<Arc<Delta>>>>>;

/// Encodes and authenticates datagrams, and limits the bytes sent.
struct DatagramSender {
    sealer: DatagramSealer,
    budget: ByteBudget,
}

/// One node: its settings, its shared state and its clients.
pub struct Node<P> {
    settings: NodeSettings,
    addresses: Addresses,
    fleet_key: FleetKey,
    platform: CountedPlatform<P>,
    started: Instant,
    routing: ArcSwap<RoutingTable>,
    members: Mutex<Members>,
    distribution: Mutex<Distribution>,
    watcher_slot: Mutex<WatcherSlot>,
    freshness: Mutex<Freshness>,
    /// State that the local target has reported; stays empty unless the target is `announced`.
    announced_target: Mutex<AnnouncedTarget>,
    /// What the local target says about itself in its answers.
    target_notices: Mutex<TargetNotices>,
    gate: Mutex<gate::GateState>,
    /// Notified when an attempt was queued or has ended while the target names a rate.
    pace_wake: Notify,
    target_health: Mutex<TargetHealth>,
    broken_attempts: Mutex<BrokenAttempts>,
    crash_table: Mutex<CrashTable>,
    /// Held while a suspect runs at the local target: a request under which a target has ended.
    suspect_turn: Semaphore,
    /// Schedule of large bodies on this instance's network link, or `None` if the link rate is not
    /// configured.
    link_schedule: Mutex<Option<LinkSchedule>>,
    picker: Mutex<Picker>,
    peer_restarts: Mutex<PeerRestarts>,
    retry_budgets: Mutex<RetryBudgets>,
    /// How often gates have admitted this node's attempts lately.
    pressure: Mutex<Pressure>,
    fleet_retries: ArcSwapOption<FleetRetries>,
    /// Both sides of the quota: the tokens of this node, and the ledger that it may be.
    quota: Mutex<quota::QuotaState>,
    /// Notified when a ledger has replied, for the requests that wait for tokens.
    quota_wake: Notify,
    sender: Mutex<DatagramSender>,
    pending_fetches: Mutex<PendingFetches>,
    pauses: Mutex<PauseDetector>,
    udp: UdpSocket,
    /// HTTP client for the gates of other nodes.
    gate_client: HttpClient,
    /// HTTP client for the local target.
    target_client: HttpClient,
    /// HTTP client for the local target that opens a connection for each request.
    unpooled_client: HttpClient,
    /// Requests that the local target has refused.
    recent_refusals: Mutex<RecentRefusals>,
    /// Roll-outs that this node decides.
    deciders: Mutex<BTreeMap<Path, Decider>>,
    rollouts: Mutex<Rollouts>,
    rollout_memory: Mutex<RolloutMemory>,
    /// The last start of the local target whose leave other nodes know of.
    confirmed_leave: Mutex<Option<TargetStart>>,
    claim_queue: ClaimQueue,
    claim_memory: Mutex<ClaimMemory>,
    pull_permits: Semaphore,
    join_permits: Semaphore,
    body_buffer: BodyBuffer,
    metrics: Metrics,
    ready: AtomicBool,
    /// Whether the node knows what an earlier process at its address published, or that no peer can
    /// tell.
    history_known: AtomicBool,
    leaving: AtomicBool,
    /// When the requests in progress are cut off; set when the listeners close.
    drain_ends: OnceLock<Instant>,
    /// Notified when a read of the operator's document has ended, whether it succeeded or failed.
    /// Joining waits for the first read.
    first_read: Notify,
    /// Whether the operator's document has been read and put in force.
    document_read: AtomicBool,
    /// Whether the last attempt to read or watch the operator's document failed.
    document_failing: AtomicBool,
    /// Number of times that the platform's head was older than the active version.
    head_rollbacks: AtomicU64,
    /// Set to `true` to close the listeners.
    stop: signal::Sender<bool>,
}

impl<P: Platform> Node<P> {
    fn new(
        settings: NodeSettings,
        platform: P,
        addresses: Addresses,
        udp: UdpSocket,
    ) -> (Node<P>, claims::ClaimReceiver) {
        let now = Instant::now();
        let incarnation = Incarnation(unix_millis());
        let fleet_key = FleetKey::derive(&settings.fleet_key);
        let mut rng = fastrand::Rng::new();
        let own = own_record(&settings, addresses, incarnation);
        let slots = settings.target.as_ref().map_or(1, |t| t.slots);
        let mut initial_gate = Gate::new(incarnation, slots);
        initial_gate.limit_until_answered();
        let (claim_queue, claim_receiver) = ClaimQueue::new();
        let sender = DatagramSender {
            sealer: DatagramSealer::new(fleet_key.clone(), addresses.peers, incarnation),
            budget: ByteBudget::new(now),
        };
        let metrics = Metrics::default();
        let node = Node {
            addresses,
            platform: CountedPlatform::new(platform, metrics.platform_calls()),
            started: now,
            routing: ArcSwap::from_pointee(RoutingTable::default()),
            members: Mutex::new(Members::new(own, now, rng.fork())),
            distribution: Mutex::new(Distribution::new(Arc::new(Snapshot::default()), rng.fork())),
            watcher_slot: Mutex::new(WatcherSlot::new(now)),
            freshness: Mutex::new(Freshness::new(settings.apply_time, now, rng.fork())),
            announced_target: Mutex::new(AnnouncedTarget::default()),
            target_notices: Mutex::new(TargetNotices::default()),
            gate: Mutex::new(gate::GateState::new(initial_gate)),
            pace_wake: Notify::new(),
            target_health: Mutex::new(TargetHealth::default()),
            broken_attempts: Mutex::default(),
            crash_table: Mutex::default(),
            suspect_turn: Semaphore::new(1),
            link_schedule: Mutex::new(settings.link_mbit.map(|rate| LinkSchedule::new(rate, now))),
            picker: Mutex::new(Picker::new(rng.fork())),
            peer_restarts: Mutex::new(PeerRestarts::default()),
            retry_budgets: Mutex::new(RetryBudgets::default()),
            pressure: Mutex::default(),
            fleet_retries: ArcSwapOption::from_pointee(settings.retries),
            quota: Mutex::new(quota::QuotaState::new(addresses.peers, now, &mut rng)),
            quota_wake: Notify::new(),
            sender: Mutex::new(sender),
            pending_fetches: Mutex::new(PendingFetches::new()),
            pauses: Mutex::new(PauseDetector::default()),
            udp,
            gate_client: HttpClient::default(),
            target_client: HttpClient::with_idle_timeout(TARGET_IDLE_TIMEOUT),
            unpooled_client: HttpClient::unpooled(),
            recent_refusals: Mutex::default(),
            deciders: Mutex::default(),
            rollouts: Mutex::default(),
            rollout_memory: Mutex::default(),
            confirmed_leave: Mutex::default(),
            claim_queue,
            claim_memory: Mutex::default(),
            pull_permits: Semaphore::new(CONCURRENT_PULLS_MAX),
            join_permits: Semaphore::new(CONCURRENT_JOINS_MAX),
            body_buffer: BodyBuffer::new(settings.replay_body),
            metrics,
            ready: AtomicBool::new(false),
            history_known: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            drain_ends: OnceLock::new(),
            first_read: Notify::new(),
            document_read: AtomicBool::new(false),
            document_failing: AtomicBool::new(false),
            head_rollbacks: AtomicU64::new(0),
            stop: signal::Sender::new(false),
            fleet_key,
            settings,
        };
        (node, claim_receiver)
    }

    /// Returns the addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the active configuration version.
    pub fn version(&self) -> Version {
        self.routing.load().version()
    }

    /// Returns whether the node has obtained an up-to-date configuration and serves callers.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Returns the number of live members in the member table, including this node.
    pub fn members_alive(&self) -> usize {
        lock(&self.members).table().alive_count()
    }

    /// Returns the metrics of this node.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Applies the settings that may change at run time: the log level and the retry allowance of
    /// the fleet. All others take effect at the next start.
    pub fn reload(&self, settings: &NodeSettings) {
        log::set_max_level(settings.log);
        self.fleet_retries.store(settings.retries.map(Arc::new));
        self.refresh_retry_budgets();
        log::info!(
            "settings reloaded log={} retries={:?}",
            settings.log,
            settings.retries
        );
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Whether an attempt that starts now could still run when the node ends: the listeners have closed,
    /// and the deadline lies after the drain. Its answer would be lost.
    fn may_outlast_stop(&self, deadline: Instant) -> bool {
        self.drain_ends.get().is_some_and(|ends| deadline > *ends)
    }

    /// Records that the process is running. After a pause, returns only once the requests that
    /// arrived during it have been read.
    async fn observe_running(&self) {
        let ended = lock(&self.pauses).observe(read_clocks());
        let Some(length) = ended else {
            return;
        };
        log::warn!("process was paused ms={}", length.as_millis());
        lock(&self.freshness).record_pause(length);
        for _ in 0..BACKLOG_READ_TURNS {
            tokio::time::sleep(BACKLOG_READ_TURN).await;
        }
        lock(&self.pauses).finish_backlog();
    }

    /// Longest time for which a request that is read now may have waited unread.
    fn unread_time(&self) -> Duration {
        lock(&self.pauses).unread_time(read_clocks())
    }

    /// Starts the shutdown: the node reports that it is not ready, and asks callers to close their
    /// connections.
    fn start_leaving(&self) {
        log::info!("leaving instance={}", self.settings.instance);
        self.leaving.store(true, Ordering::Release);
    }

    /// Notifies peers that the node is leaving, and makes the gate refuse all new and waiting
    /// attempts.
    fn close_gate(&self) {
        let messages = {
            let mut members = lock(&self.members);
            members.update_own(|r| r.health = Health::Leaving);
            members.own_record_messages(LEAVE_NOTICE_PEERS)
        };
        self.send_members(messages);
        let mut state = lock(&self.gate);
        let actions = state.gate.leave();
        state.notify_waiters(actions);
    }

    /// Notifies peers that the node has stopped.
    fn announce_gone(&self) {
        let messages = {
            let mut members = lock(&self.members);
            members.update_own(|r| r.health = Health::Gone);
            members.own_record_messages(LEAVE_NOTICE_PEERS)
        };
        self.send_members(messages);
    }
}

/// Builds the initial member record of this node. An `announced` target is added to it later, with
/// its first report.
fn own_record(
    settings: &NodeSettings,
    addresses: Addresses,
    incarnation: Incarnation,
) -> MemberRecord {
    let fixed_target = settings.target.as_ref().filter(|t| !t.announced);
    let record = fixed_target.map(|t| TargetRecord {
        instance: settings.instance.as_str().into(),
        service: t.service.clone(),
        slots: t.slots,
        last_report: (0, 0),
        leaving: false,
        version: None,
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
        target: record,
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}

/// Locks a mutex. Poisoning is ignored, because the state behind each mutex is consistent between
/// calls even after a panic in another task.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

//! Starts a node: binds its listeners and spawns its tasks. Stops it gracefully.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch as signal;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::supervise::supervise;
use super::{Addresses, Node, api, claims, gate, ingress};
use crate::coordination::shutdown::ShutdownTimes;
use crate::node::config::NodeSettings;
use crate::transport::http::{Endpoint, ServeLimits, serve};
use crate::transport::platform::Platform;

/// Time between closing the gate and closing the listeners, so that other nodes learn of the
/// shutdown and stop sending requests.
const GATE_CLOSE_LEAD: Duration = Duration::from_millis(400);
/// Concurrent connections to each administrative listener: the operators' API, the readiness
/// endpoint and additional endpoints.
const ADMIN_CONNECTIONS_MAX: usize = 64;

/// A running node and its tasks.
pub struct RunningNode<P> {
    node: Arc<Node<P>>,
    /// Listeners that drain at a stop. Each returns whether it drained within the timeout.
    serving: JoinSet<bool>,
    /// Background tasks, which are aborted at the end of a stop.
    control: JoinSet<()>,
}

impl<P: Platform> RunningNode<P> {
    /// Binds the listeners and starts the tasks.
    ///
    /// # Errors
    /// Returns an error if a socket cannot be bound.
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
        let (node, claim_receiver) = Node::new(settings, platform, addresses, udp);
        let mut running = RunningNode {
            node: Arc::new(node),
            serving: JoinSet::new(),
            control: JoinSet::new(),
        };
        running.serve(gate, callers, admin);
        if let Some(listener) = ready {
            running.serve_on(listener, |node| api::ReadyEndpoint(node));
        }
        running.spawn_control(peers, claim_receiver);
        Ok(running)
    }

    /// Returns the node.
    pub fn node(&self) -> &Arc<Node<P>> {
        &self.node
    }

    /// Stops gracefully: notifies other nodes, admits no new requests, and completes those in
    /// flight. Returns whether all of them completed within the drain timeout.
    pub async fn stop(mut self) -> bool {
        self.node.start_leaving();
        let node = self.node.clone();
        // Runs in a separate task: the platform may respond slowly, and the shutdown does not wait
        // for it.
        tokio::spawn(async move { node.release_slot().await });
        // Callers move to other nodes during the leave notice. Meanwhile the gate still admits
        // requests from other nodes to the local target; it closes shortly before the listeners do.
        let ShutdownTimes { notice, drain } = self.node.settings.shutdown_times();
        log::info!(
            "stopping notice_ms={} drain_ms={}",
            notice.as_millis(),
            drain.as_millis()
        );
        tokio::time::sleep(notice.saturating_sub(GATE_CLOSE_LEAD)).await;
        self.node.close_gate();
        tokio::time::sleep(notice.min(GATE_CLOSE_LEAD)).await;
        // Set once, as a node is stopped once.
        let _ = self.node.drain_ends.set(Instant::now() + drain);
        let _ = self.node.stop.send(true);
        log::info!("listeners close");
        let mut drained = true;
        while let Some(ended) = self.serving.join_next().await {
            drained &= ended.unwrap_or(false);
        }
        self.node.announce_gone();
        log::info!("stopped whole={drained}");
        self.control.shutdown().await;
        drained
    }

    /// Aborts all tasks without a graceful shutdown, to simulate a crash.
    pub fn kill(mut self) {
        self.serving.abort_all();
        self.control.abort_all();
    }

    /// Serves an additional endpoint until the node has stopped, including while it drains.
    pub fn serve_on<E: Endpoint>(
        &mut self,
        listener: TcpListener,
        endpoint: impl FnOnce(Arc<Node<P>>) -> E,
    ) {
        let limits = ServeLimits {
            max_connections: ADMIN_CONNECTIONS_MAX,
            drain_timeout: Duration::ZERO,
        };
        let service = Arc::new(endpoint(self.node.clone()));
        // Ends with the control tasks, not when the listeners close: readiness checks and reports
        // of the local target also arrive while the node drains.
        let (stop, never_stopped) = signal::channel(false);
        self.control.spawn(async move {
            let _stop = stop;
            serve(listener, service, limits, never_stopped).await;
        });
    }

    fn serve(&mut self, gate: TcpListener, callers: TcpListener, admin: TcpListener) {
        let node = &self.node;
        let limits = ServeLimits {
            max_connections: node.settings.connections,
            drain_timeout: node.settings.shutdown_times().drain,
        };
        let admin_limits = ServeLimits {
            max_connections: ADMIN_CONNECTIONS_MAX,
            ..limits
        };
        let stop = || node.stop.subscribe();
        let service = Arc::new(gate::GateService(node.clone()));
        self.serving.spawn(serve(gate, service, limits, stop()));
        let service = Arc::new(ingress::Ingress(node.clone()));
        self.serving.spawn(serve(callers, service, limits, stop()));
        let service = Arc::new(api::Api(node.clone()));
        self.serving
            .spawn(serve(admin, service, admin_limits, stop()));
    }

    fn spawn_control(&mut self, peers: TcpListener, claim_receiver: claims::ClaimReceiver) {
        let listener = Arc::new(peers);
        let claim_receiver = Arc::new(tokio::sync::Mutex::new(claim_receiver));
        self.spawn_task("receive", Node::receive_loop);
        self.spawn_task("tick", Node::tick_loop);
        self.spawn_task("peer", move |node| node.peer_loop(listener.clone()));
        self.spawn_task("join", Node::join_loop);
        self.spawn_task("slot", Node::slot_loop);
        self.spawn_task("watch", Node::watch_loop);
        self.spawn_task("target", Node::target_loop);
        self.spawn_task("pace", Node::pace_loop);
        self.spawn_task("rollout", Node::rollout_loop);
        self.spawn_task("rollout-store", Node::rollout_store_loop);
        self.spawn_task("claim", move |node| node.claim_loop(claim_receiver.clone()));
    }

    /// Spawns a background task that is restarted if it panics.
    fn spawn_task<F>(
        &mut self,
        name: &'static str,
        run: impl Fn(Arc<Node<P>>) -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let node = self.node.clone();
        self.control
            .spawn(supervise(name, move || run(node.clone())));
    }
}

/// Binds UDP and TCP sockets to the same port. With port zero, the port that the operating system
/// picks for TCP may be in use for UDP, so several attempts are made.
async fn bind_peers(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    const BIND_ATTEMPTS: usize = 16;
    let mut last_error = None;
    for _ in 0..BIND_ATTEMPTS {
        let tcp = TcpListener::bind(address).await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => return Ok((tcp, udp)),
            Err(e) => last_error = Some(e),
        }
    }
    Err(last_error.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()))
}

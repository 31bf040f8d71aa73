//! A fleet that runs in this process: nodes, targets and the platform stand-in. Nodes and targets
//! communicate over loopback.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::node::config::{Listen, LocalTarget, NodeSettings};
use crate::node::{Node, RunningNode};
use crate::standin::platform::MemoryPlatform;
use crate::standin::target::{Behaviour, Target};
use crate::state::id::{Path, Version};
use crate::transport::http::{ServeLimits, serve};

/// Availability zones, to which the nodes are assigned in turn.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Interval at which the state of the nodes is checked while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum number of open connections of a target stand-in.
const TARGET_CONNECTIONS_MAX: usize = 10_000;

/// A running target stand-in.
pub struct RunningTarget {
    /// The target stand-in.
    pub target: Arc<Target>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: Path,
    /// Software version, if its node knows one.
    pub version: Option<String>,
    stop: watch::Sender<bool>,
}

/// A running fleet.
#[derive(Default)]
pub struct Fleet {
    /// The platform stand-in.
    pub platform: MemoryPlatform,
    /// The nodes.
    pub nodes: Vec<RunningNode<MemoryPlatform>>,
    /// The targets. Target `n` is the local target of node `n` if all targets are added before
    /// other nodes.
    pub targets: Vec<RunningTarget>,
}

impl Fleet {
    /// Starts a target of a service, and a node with it as its local target.
    ///
    /// # Errors
    /// On a socket error.
    pub async fn add_target(&mut self, service: &Path, behaviour: Behaviour) -> io::Result<()> {
        self.add_target_version(service, behaviour, None).await
    }

    /// Starts a target of a service with a software version, and a node with it as its local target.
    ///
    /// # Errors
    /// On a socket error.
    pub async fn add_target_version(
        &mut self,
        service: &Path,
        behaviour: Behaviour,
        version: Option<&str>,
    ) -> io::Result<()> {
        let target = Target::new(behaviour);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (stop, stop_signal) = watch::channel(false);
        let limits = ServeLimits {
            max_connections: TARGET_CONNECTIONS_MAX,
            drain_timeout: Duration::ZERO,
        };
        tokio::spawn(serve(listener, target.clone(), limits, stop_signal));
        let local_target = LocalTarget {
            address,
            service: service.clone(),
            slots: behaviour.slots,
            announced: false,
            version: version.map(str::to_string),
        };
        self.add_node(Some(local_target)).await?;
        self.targets.push(RunningTarget {
            target,
            address,
            service: service.clone(),
            version: version.map(str::to_string),
            stop,
        });
        Ok(())
    }

    /// Starts a node, with a local target if one is given.
    ///
    /// # Errors
    /// On a socket error.
    pub async fn add_node(&mut self, target: Option<LocalTarget>) -> io::Result<()> {
        let number = self.nodes.len();
        let settings = node_settings(number, target);
        let running = RunningNode::start(settings, self.platform.clone()).await?;
        self.nodes.push(running);
        Ok(())
    }

    /// Starts nodes without local targets.
    ///
    /// # Errors
    /// On a socket error.
    pub async fn add_nodes(&mut self, count: usize) -> io::Result<()> {
        for _ in 0..count {
            self.add_node(None).await?;
        }
        Ok(())
    }

    /// Starts a new node in place of the one with the given index, which must have a local target,
    /// and then kills the old node. The target keeps running.
    ///
    /// # Errors
    /// On a socket error.
    pub async fn replace_node(&mut self, index: usize) -> io::Result<()> {
        let target = &self.targets[index];
        let local_target = LocalTarget {
            address: target.address,
            service: target.service.clone(),
            slots: target.target.slots(),
            announced: false,
            version: target.version.clone(),
        };
        let running = RunningNode::start(
            node_settings(index, Some(local_target)),
            self.platform.clone(),
        )
        .await?;
        std::mem::replace(&mut self.nodes[index], running).kill();
        Ok(())
    }

    /// Returns the node with the given index.
    pub fn node(&self, index: usize) -> &Arc<Node<MemoryPlatform>> {
        self.nodes[index].node()
    }

    /// Returns the addresses of all nodes for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let callers = |n: &RunningNode<MemoryPlatform>| n.node().addresses().callers;
        self.nodes.iter().map(callers).collect()
    }

    /// Waits until every node is ready and its member table lists all nodes as alive. Returns the
    /// elapsed time, or `None` after `timeout`.
    pub async fn wait_until_joined(&self, timeout: Duration) -> Option<Duration> {
        let count = self.nodes.len();
        self.wait_until_all(timeout, |n| n.is_ready() && n.members_alive() == count)
            .await
    }

    /// Waits until every node has adopted this version or a newer one. Returns the elapsed time, or
    /// `None` after `timeout`.
    pub async fn wait_for_version(&self, version: Version, timeout: Duration) -> Option<Duration> {
        self.wait_until_all(timeout, |n| n.version() >= version)
            .await
    }

    /// Waits until the condition has been true once for each node.
    async fn wait_until_all(
        &self,
        timeout: Duration,
        condition: impl Fn(&Node<MemoryPlatform>) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        let mut checked = 0;
        while checked < self.nodes.len() {
            if condition(self.node(checked)) {
                checked += 1;
                continue;
            }
            if started.elapsed() > timeout {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Some(started.elapsed())
    }

    /// Returns the control bytes of a kind that all nodes have sent. Received bytes are not added,
    /// because another node has already counted them as sent.
    pub fn sent_control_bytes(&self, kind: &'static str) -> u64 {
        let sent_bytes = |n: &RunningNode<MemoryPlatform>| {
            let (sent, _) = n.node().metrics().control_bytes(kind);
            sent
        };
        self.nodes.iter().map(sent_bytes).sum()
    }

    /// Kills all nodes and stops all targets, without a graceful shutdown.
    pub fn shut_down(self) {
        self.nodes.into_iter().for_each(RunningNode::kill);
        for t in self.targets {
            // An error means that the task of the target has already ended with the runtime.
            let _ = t.stop.send(true);
        }
    }
}

/// Returns settings for a node that listens on loopback, on ports that the operating system picks.
pub fn node_settings(number: usize, target: Option<LocalTarget>) -> NodeSettings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    NodeSettings {
        instance: format!("instance-{number}"),
        zone: ZONES[number % ZONES.len()].to_string(),
        listen: Listen {
            peers: any_port,
            gate: any_port,
            callers: any_port,
            admin: any_port,
            ready: None,
            reports: None,
        },
        platform: any_port,
        fleet_key: "fleet key of an experiment".to_string(),
        admin_token_hash: None,
        target,
        peers: Vec::new(),
        log: log::LevelFilter::Warn,
        drain: Duration::from_secs(10),
        join_jitter: Duration::from_millis(100),
        replay_body: 64 << 10,
        connections: 10_000,
        leave_notice: Duration::from_millis(500),
        grace_period: None,
        apply_time: Duration::from_secs(2),
        link_mbit: None,
        advertised_gate: None,
        workers: None,
        retries: None,
    }
}

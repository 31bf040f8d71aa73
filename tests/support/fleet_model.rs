//! Model of a fleet for the fuzz test of commit and distribution of configurations. It consists of
//! the state machines of the nodes, the messages in flight and a platform store with faults. The
//! model records the accepted versions and checks the behaviour of the nodes against this list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::fuzz::{Counts, chance, number_below};
use arbtest::arbitrary::Unstructured;
use tarragoncourse::coordination::commit::{
    ChangeRecord, ChangeRequest, Commit, CommitEvent, CommitOutcome, CommitStep, Head,
    Indeterminate,
};
use tarragoncourse::coordination::distribution::{Action, Actions, Distribution, PullReply};
use tarragoncourse::protocol::record::{
    HEAD_KEY, change_key, decode_change, decode_head, encode_change, encode_head,
};
use tarragoncourse::standin::store::Store;
use tarragoncourse::state::digest::Digest;
use tarragoncourse::state::id::{ChangeId, Path, Version};
use tarragoncourse::state::object::{Object, Service, TargetSettings};
use tarragoncourse::state::revision::Revision;
use tarragoncourse::state::snapshot::{Delta, Edit, Snapshot};
use tokio::time::Instant;

pub const NODE_COUNT: usize = 6;
/// Time by which one tick advances the clock.
pub const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Guaranteed maximum time in which a fleet without faults converges.
pub const CONVERGENCE_TIME_MAX: Duration = Duration::from_secs(8);

/// Node of the model.
pub struct Node {
    pub up: bool,
    pub distribution: Distribution,
    /// Minimum current version at which the node serves callers; `None` until the node has joined.
    pub min_version: Option<Version>,
    /// Newest version with which callers were served at this address. It is kept when the node
    /// restarts.
    pub in_force: Version,
}

/// Message or platform call that has been sent and has not arrived yet.
pub enum InFlight {
    /// Announcement of a version: sender, receiver, version.
    Announce(SocketAddr, SocketAddr, Version),
    /// Acknowledgement of an announcement: sender, receiver, version.
    Acknowledge(SocketAddr, SocketAddr, Version),
    /// Pull: sender, receiver, version after which deltas are requested, fetch id.
    Pull(SocketAddr, SocketAddr, Version, u64),
    /// Result of a pull or a platform read: receiver, fetch id, response.
    FetchResult(SocketAddr, u64, PullReply),
    /// Read of the platform: sender, fetch id.
    PlatformRead(SocketAddr, u64),
    /// Compare-and-swap of the head that takes effect after the sender's timeout: new value,
    /// expected revision.
    DelayedSwap(String, Revision),
}

/// Change requested by an operator, and the commit's next step.
pub struct PendingChange {
    pub node: usize,
    pub commit: Commit,
    pub step: CommitStep,
}

/// Model of a fleet and its platform.
pub struct FleetModel {
    pub nodes: Vec<Node>,
    pub store: Store,
    pub platform_down: bool,
    pub in_flight: Vec<InFlight>,
    pub pending_changes: Vec<PendingChange>,
    /// Version, digest and change of every swap of the head, in order.
    pub accepted: Vec<(Version, Digest, ChangeId)>,
    /// Changes whose commit reported that they were not accepted.
    pub rejected: Vec<ChangeId>,
    pub now: Instant,
    /// Identifier of the last change.
    pub last_change: u128,
    /// Number of restarts after which the node could not find out its minimum version: the platform
    /// was down, and no node that was up knew the version that the address had served.
    pub unknown_min_versions: u64,
    pub rng: fastrand::Rng,
}

/// Address of node `n`.
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000))
}

/// Index of the node with this address.
pub fn index(a: SocketAddr) -> usize {
    match a.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3] as usize - 1,
        std::net::IpAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

pub fn team_path() -> Path {
    Path::new("guild").unwrap()
}

/// Snapshot that contains only the team.
pub fn team_snapshot() -> Snapshot {
    let token_hash = "00:00".to_string();
    let team_object = Object::Team(tarragoncourse::state::object::Team { token_hash });
    Snapshot::default().with_edits(&[Edit::Put(team_path(), Arc::new(team_object))])
}

impl FleetModel {
    /// Creates a fleet of new nodes; `seed` determines the random choices of the state machines.
    pub fn new(seed: u64) -> FleetModel {
        let rng = fastrand::Rng::with_seed(seed);
        let mut model = FleetModel {
            nodes: Vec::new(),
            store: Store::default(),
            platform_down: false,
            in_flight: Vec::new(),
            pending_changes: Vec::new(),
            accepted: Vec::new(),
            rejected: Vec::new(),
            now: Instant::now(),
            last_change: 0,
            unknown_min_versions: 0,
            rng,
        };
        model.nodes = (0..NODE_COUNT).map(|_| model.new_node()).collect();
        model
    }

    /// Creates a node that has not joined and whose current configuration is empty.
    pub fn new_node(&mut self) -> Node {
        Node {
            up: true,
            distribution: Distribution::new(Arc::new(Snapshot::default()), self.rng.fork()),
            min_version: None,
            in_force: Version(0),
        }
    }

    /// Addresses of all other nodes, including those that are down.
    pub fn peers(&self, node: usize) -> Vec<SocketAddr> {
        (0..NODE_COUNT)
            .filter(|n| *n != node)
            .map(address)
            .collect()
    }

    /// Head in the store and its revision.
    pub fn read_head(&self) -> Option<(Head, Revision)> {
        let value = self.store.get(HEAD_KEY)?;
        Some((decode_head(&value.text).unwrap(), value.revision))
    }

    /// Swaps the head if its revision matches. Checks after every successful swap that the version
    /// grew by one and that the change was neither accepted before nor reported as rejected.
    pub fn swap_head(&mut self, text: &str, revision: Revision) -> bool {
        let swapped = self
            .store
            .compare_and_swap(HEAD_KEY, text, revision, None)
            .is_some();
        if swapped {
            let (head, _) = self.read_head().unwrap();
            let last_version = self.accepted.last().map_or(Version(0), |a| a.0);
            assert_eq!(
                head.version,
                last_version.next(),
                "each accepted version must be one above the last"
            );
            assert!(
                !self.rejected.contains(&head.change),
                "a change that was reported as rejected was accepted"
            );
            assert!(
                self.accepted.iter().all(|a| a.2 != head.change),
                "a change was accepted twice"
            );
            self.accepted.push((head.version, head.digest, head.change));
        }
        swapped
    }

    /// Performs the actions of a node's state machine: puts messages in flight and checks adopted
    /// snapshots.
    pub fn perform_actions(&mut self, node: usize, actions: Actions) {
        let own_address = address(node);
        for action in actions {
            match action {
                Action::Announce(to, v) => {
                    self.in_flight.push(InFlight::Announce(own_address, to, v))
                }
                Action::Acknowledge(to, v) => {
                    self.in_flight
                        .push(InFlight::Acknowledge(own_address, to, v))
                }
                Action::Pull {
                    from,
                    since,
                    fetch_id,
                } => {
                    self.in_flight
                        .push(InFlight::Pull(own_address, from, since, fetch_id));
                }
                Action::ReadPlatform { fetch_id } => self
                    .in_flight
                    .push(InFlight::PlatformRead(own_address, fetch_id)),
                Action::Adopt(snapshot) => self.handle_adopted(node, &snapshot),
            }
        }
    }

    /// Checks a snapshot that a node adopted: its version was accepted, its content is that of the
    /// accepted version, and every service that it refers to exists.
    pub fn handle_adopted(&mut self, node: usize, snapshot: &Snapshot) {
        let accepted = self.accepted.iter().find(|a| a.0 == snapshot.version());
        let (_, digest, _) = accepted.expect("the adopted version was accepted");
        assert_eq!(
            *digest,
            snapshot.digest(),
            "the adopted snapshot differs from the accepted version"
        );
        assert!(
            references_exist(snapshot),
            "the adopted snapshot refers to a missing service"
        );
        self.update_in_force(node);
    }

    /// Records the node's current version as in force if it is at least the minimum version, since
    /// the node then serves callers. Checks that the version in force never decreases.
    pub fn update_in_force(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        let current = n.distribution.current().version();
        if n.min_version.is_some_and(|v| current >= v) {
            assert!(
                current >= n.in_force,
                "node {node}: version in force decreased from {} to {current}",
                n.in_force
            );
            n.in_force = current;
        }
    }

    /// Advances the clock by one tick period. Every node that is up runs its tick and determines
    /// its minimum version if it has none yet.
    pub fn tick(&mut self) {
        self.now += TICK_PERIOD;
        for n in 0..NODE_COUNT {
            if self.nodes[n].up {
                let peers = self.peers(n);
                let mut actions = Actions::new();
                self.nodes[n]
                    .distribution
                    .tick(&peers, self.now, &mut actions);
                self.perform_actions(n, actions);
                self.determine_min_version(n);
            }
        }
    }

    /// Models the part of joining that determines the minimum version: the version of the
    /// platform's head, or, while the platform is down, the newest version known to the nodes that
    /// are up.
    pub fn determine_min_version(&mut self, node: usize) {
        if self.nodes[node].min_version.is_some() {
            return;
        }
        let current_version = |n: &Node| n.distribution.current().version();
        let newest_known = |n: &Node| n.distribution.newest_known();
        let newest = self.nodes.iter().filter(|n| n.up).map(newest_known).max();
        let min_version = match self.platform_down {
            false => self.read_head().map_or(Version(0), |(h, _)| h.version),
            true => newest.unwrap_or_default(),
        };
        // If the platform is down and no node that is up knows the version, a restarted process
        // cannot find out which version its address served before. GUARANTEES.md states this
        // exception.
        if self.platform_down && min_version < self.nodes[node].in_force {
            self.unknown_min_versions += 1;
            self.nodes[node].in_force = Version(0);
        }
        self.nodes[node].min_version = Some(min_version);
        let mut actions = Actions::new();
        let holder = (0..NODE_COUNT)
            .find(|n| self.nodes[*n].up && current_version(&self.nodes[*n]) >= min_version);
        match holder {
            Some(peer) if peer != node => {
                let version = current_version(&self.nodes[peer]);
                let distribution = &mut self.nodes[node].distribution;
                distribution.handle_version(address(peer), version, self.now, &mut actions);
            }
            _ => self.nodes[node].distribution.handle_head_change(
                min_version,
                self.now,
                &mut actions,
            ),
        }
        self.perform_actions(node, actions);
        self.update_in_force(node);
    }

    /// Delivers a message or performs a platform call. A pull from a node that is down fails; all
    /// other messages to nodes that are down are lost. Three percent of the pull replies are
    /// corrupted: an edit is missing.
    pub fn deliver(&mut self, delivery: InFlight) {
        let mut actions = Actions::new();
        match delivery {
            InFlight::Announce(from, to, v) if self.nodes[index(to)].up => {
                self.nodes[index(to)].distribution.handle_announcement(
                    from,
                    v,
                    self.now,
                    &mut actions,
                );
                self.perform_actions(index(to), actions);
            }
            InFlight::Acknowledge(from, to, v) if self.nodes[index(to)].up => {
                self.nodes[index(to)].distribution.handle_ack(from, v);
            }
            InFlight::Pull(from, to, since, fetch_id) => {
                let peer = &self.nodes[index(to)];
                let mut response = match peer.up {
                    true => peer.distribution.answer_pull(since),
                    false => PullReply::Failed,
                };
                if self.rng.u8(..100) < 3 {
                    drop_last_edit(&mut response);
                }
                self.in_flight
                    .push(InFlight::FetchResult(from, fetch_id, response));
            }
            InFlight::FetchResult(to, fetch_id, response) if self.nodes[index(to)].up => {
                let peers = self.peers(index(to));
                let distribution = &mut self.nodes[index(to)].distribution;
                distribution.handle_fetch_result(
                    fetch_id,
                    response,
                    &peers,
                    self.now,
                    &mut actions,
                );
                self.perform_actions(index(to), actions);
            }
            InFlight::PlatformRead(node, fetch_id) => {
                let response = self.read_platform(index(node));
                self.in_flight
                    .push(InFlight::FetchResult(node, fetch_id, response));
            }
            InFlight::DelayedSwap(text, revision) => {
                self.swap_head(&text, revision);
            }
            _ => {}
        }
    }

    /// Response of the platform to a read: the deltas from the node's current version to the head.
    /// The read fails while the platform is down or if there is no newer version.
    pub fn read_platform(&self, node: usize) -> PullReply {
        let current = self.nodes[node].distribution.current().version();
        match self.read_head() {
            Some((head, _)) if !self.platform_down && head.version > current => {
                PullReply::Deltas(self.read_deltas(&head, current))
            }
            _ => PullReply::Failed,
        }
    }

    /// Follows the chain of change records from `head` back to version `since`, and returns the
    /// deltas in ascending order.
    pub fn read_deltas(&self, head: &Head, since: Version) -> Vec<Arc<Delta>> {
        let (mut version, mut change) = (head.version, head.change);
        let mut deltas = Vec::new();
        while version > since {
            let record = self
                .read_record(version, change)
                .expect("the chain of change records has no gap");
            change = record.previous;
            version = Version(version.0 - 1);
            deltas.push(record.delta);
        }
        deltas.reverse();
        deltas
    }

    pub fn read_record(&self, version: Version, change: ChangeId) -> Option<ChangeRecord> {
        let value = self.store.get(&change_key(version, change))?;
        Some(decode_change(&value.text).unwrap())
    }

    /// Configuration at `head`, built on the node's current snapshot, and the deltas after `since`.
    pub fn load_config(
        &self,
        node: usize,
        head: &Head,
        since: Version,
    ) -> (Arc<Snapshot>, Vec<Arc<Delta>>) {
        let current = self.nodes[node].distribution.current().clone();
        let deltas = self.read_deltas(head, since.min(current.version()));
        let mut base = (*current).clone();
        for d in deltas.iter().filter(|d| d.version > current.version()) {
            base = base.apply(d).unwrap();
        }
        let deltas_after = deltas.into_iter().filter(|d| d.version > since);
        (Arc::new(base), deltas_after.collect())
    }

    /// Starts a change with random edits at this node.
    pub fn begin_change(&mut self, u: &mut Unstructured, node: usize) {
        self.last_change += 1;
        let current = self.nodes[node].distribution.current();
        let request = ChangeRequest {
            change: ChangeId(self.last_change),
            author: "admin".to_string(),
            base: chance(u, 50).then(|| current.version()),
            edits: random_edits(u, current),
        };
        let newest_known = self.nodes[node].distribution.newest_known();
        let deadline = self.now + Duration::from_secs(5);
        let mut commit = Commit::new(request, newest_known, deadline, self.rng.fork());
        let step = commit.advance(CommitEvent::Resume, self.now);
        self.pending_changes
            .push(PendingChange { node, commit, step });
    }

    /// Performs the next step of the pending change with index `i`. The change is dropped if its
    /// node is down.
    pub fn advance_change(&mut self, u: &mut Unstructured, i: usize, counts: &mut Counts) {
        let mut pending = self.pending_changes.swap_remove(i);
        if !self.nodes[pending.node].up {
            return;
        }
        let step = pending.step.clone();
        let event = self.perform_step(u, pending.node, step, counts);
        pending.step = pending.commit.advance(event, self.now);
        match &pending.step {
            CommitStep::Done(outcome) => self.handle_outcome(&pending, outcome, counts),
            _ => self.pending_changes.push(pending),
        }
    }

    /// Performs a step of a commit and returns its result. The response may be lost; the call then
    /// takes effect at once, later or not at all.
    pub fn perform_step(
        &mut self,
        u: &mut Unstructured,
        node: usize,
        step: CommitStep,
        counts: &mut Counts,
    ) -> CommitEvent {
        let response_lost = chance(u, 15);
        let no_response = self.platform_down || (response_lost && chance(u, 50));
        match step {
            CommitStep::Pause(wait) => {
                self.now += wait;
                CommitEvent::Resume
            }
            CommitStep::ReadHead if no_response => CommitEvent::HeadRead(Err(Indeterminate)),
            CommitStep::ReadHead => CommitEvent::HeadRead(Ok(self.read_head())),
            CommitStep::Load { .. } if no_response => CommitEvent::Loaded(Err(Indeterminate)),
            CommitStep::Load { head, since } => {
                CommitEvent::Loaded(Ok(self.load_config(node, &head, since)))
            }
            CommitStep::ReadRecord(..) if no_response => {
                CommitEvent::RecordRead(Err(Indeterminate))
            }
            CommitStep::ReadRecord(v, c) => CommitEvent::RecordRead(Ok(self.read_record(v, c))),
            CommitStep::WriteRecord(_) if no_response => {
                CommitEvent::RecordWritten(Err(Indeterminate))
            }
            CommitStep::WriteRecord(record) => {
                let key = change_key(record.delta.version, record.delta.change);
                self.store
                    .compare_and_swap(&key, &encode_change(&record), Revision::ABSENT, None);
                CommitEvent::RecordWritten(if response_lost {
                    Err(Indeterminate)
                } else {
                    Ok(())
                })
            }
            CommitStep::SwapHead { head, revision } => {
                let text = encode_head(&head);
                if no_response {
                    if !self.platform_down || chance(u, 30) {
                        counts.add("delayed swap");
                        self.in_flight.push(InFlight::DelayedSwap(text, revision));
                    }
                    return CommitEvent::HeadSwapped(Err(Indeterminate));
                }
                let swapped = self.swap_head(&text, revision);
                if response_lost {
                    counts.add("lost response");
                    return CommitEvent::HeadSwapped(Err(Indeterminate));
                }
                CommitEvent::HeadSwapped(Ok(swapped))
            }
            CommitStep::Done(_) => unreachable!("completed changes are dropped"),
        }
    }

    /// Checks the outcome of a change against the accepted versions. The node adopts its own
    /// accepted change.
    pub fn handle_outcome(
        &mut self,
        pending: &PendingChange,
        outcome: &CommitOutcome,
        counts: &mut Counts,
    ) {
        let change = pending.commit.change();
        let accepted = self.accepted.iter().find(|a| a.2 == change).map(|a| a.0);
        match outcome {
            CommitOutcome::Accepted { snapshot, delta } => {
                counts.add("accepted");
                assert_eq!(
                    accepted,
                    Some(snapshot.version()),
                    "reported as accepted, but not accepted in that version"
                );
                let peers = self.peers(pending.node);
                let mut actions = Actions::new();
                let distribution = &mut self.nodes[pending.node].distribution;
                distribution.adopt_if_newer(
                    snapshot.clone(),
                    vec![delta.clone()],
                    &peers,
                    self.now,
                    &mut actions,
                );
                self.perform_actions(pending.node, actions);
            }
            CommitOutcome::Found(version) => {
                counts.add("found");
                assert_eq!(
                    accepted,
                    Some(*version),
                    "reported as accepted, but not accepted in that version"
                );
            }
            CommitOutcome::Unknown => counts.add("unknown"),
            _ => {
                counts.add("not accepted");
                assert_eq!(accepted, None, "reported as {outcome:?}, but accepted");
                self.rejected.push(change);
            }
        }
    }

    /// Whether the newest accepted version is in force on every node that is up.
    pub fn converged(&self) -> bool {
        let newest = self.accepted.last().map_or(Version(0), |a| a.0);
        let nodes_up = self.nodes.iter().filter(|n| n.up);
        nodes_up.into_iter().all(|n| n.in_force == newest)
    }
}

/// Whether every service that is referred to exists. The check does not use the validation of the
/// code under test.
pub fn references_exist(snapshot: &Snapshot) -> bool {
    let services: Vec<&Path> = snapshot
        .entries()
        .filter(|e| e.object.kind() == "service")
        .map(|e| &e.path)
        .collect();
    let mut referenced = snapshot.entries().flat_map(|e| e.object.services());
    referenced.all(|s| services.contains(&s))
}

/// Removes the last edit of the last delta, as a faulty peer might.
pub fn drop_last_edit(response: &mut PullReply) {
    if let PullReply::Deltas(deltas) = response
        && let Some(last) = deltas.last_mut()
    {
        Arc::make_mut(last).edits.pop();
    }
}

/// One to three random puts and deletes of services and targets; creates the team first if the
/// configuration is empty.
pub fn random_edits(u: &mut Unstructured, current: &Snapshot) -> Vec<Edit> {
    let mut edits = Vec::new();
    if current.is_empty() {
        edits.extend(Snapshot::default().edits_to(&team_snapshot()));
    }
    for _ in 0..=number_below(u, 3) {
        let n = number_below(u, 4);
        let service = Path::new(&format!("guild/services/s{n}")).unwrap();
        let target = Path::new(&format!("guild/targets/t{}", number_below(u, 4))).unwrap();
        edits.push(match number_below(u, 4) {
            0 => Edit::Put(
                service,
                Arc::new(
                    Service {
                        shed_status: Some(500 + n as u16),
                        health_path: None,
                    }
                    .into(),
                ),
            ),
            1 => Edit::Delete(service),
            2 => Edit::Delete(target),
            _ => Edit::Put(
                target,
                Arc::new(
                    TargetSettings {
                        service,
                        slots: number_below(u, 9) as u32 + 1,
                        max_connections: 10,
                        ramp: Duration::ZERO,
                        drained: false,
                    }
                    .into(),
                ),
            ),
        });
    }
    edits
}

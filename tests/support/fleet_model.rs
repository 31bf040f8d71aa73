//! A modelled fleet for the fuzz of acceptance and distribution: nodes' state machines, links that
//! hold what is under way, a store with faults, and a plain list of accepted versions as the oracle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::fuzz::{Counts, chance, number_below};
use arbtest::arbitrary::Unstructured;
use tarragoncourse::coordination::commit::{
    ChangeRecord, ChangeRequest, Commit, CommitEvent, CommitOutcome, CommitStep, Head,
    Indeterminate,
};
use tarragoncourse::coordination::distribution::{Action, Actions, Distribution, PullResponse};
use tarragoncourse::protocol::record::{
    HEAD_KEY, change_key, decode_change, decode_head, encode_change, encode_head,
};
use tarragoncourse::standin::store::Store;
use tarragoncourse::state::digest::Digest;
use tarragoncourse::state::id::{ChangeId, Path, Version};
use tarragoncourse::state::object::{Object, Service, TargetSettings};
use tarragoncourse::state::snapshot::{Delta, Edit, Snapshot};
use tokio::time::Instant;

pub const NODE_COUNT: usize = 6;
pub const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Stated bound: a fleet without faults converges within this time.
pub const CONVERGENCE_TIME_MAX: Duration = Duration::from_secs(8);

pub struct Node {
    pub up: bool,
    pub distribution: Distribution,
    /// Serving callers; only then the version counts as in force.
    pub floor: Option<Version>,
    pub in_force: Version,
}

pub enum InFlight {
    Announce(SocketAddr, SocketAddr, Version),
    Acknowledge(SocketAddr, SocketAddr, Version),
    /// A pull on its way to the peer that serves it.
    Pull(SocketAddr, SocketAddr, Version, u64),
    /// An answer on its way back.
    FetchResult(SocketAddr, u64, PullResponse),
    /// A node's read of the platform.
    PlatformRead(SocketAddr, u64),
    /// A swap whose sender has given up waiting, and which takes effect late.
    DelayedSwap(String, u64),
}

pub struct PendingChange {
    pub node: usize,
    pub commit: Commit,
    pub step: CommitStep,
}

pub struct FleetModel {
    pub nodes: Vec<Node>,
    pub store: Store,
    pub platform_down: bool,
    pub in_flight: Vec<InFlight>,
    pub pending_changes: Vec<PendingChange>,
    pub accepted: Vec<(Version, Digest, ChangeId)>,
    pub rejected: Vec<ChangeId>,
    pub now: Instant,
    pub last_change: u128,
    pub lost_floors: u64,
    pub rng: fastrand::Rng,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000))
}

pub fn index(a: SocketAddr) -> usize {
    match a.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3] as usize - 1,
        std::net::IpAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

pub fn team_path() -> Path {
    Path::new("guild").unwrap()
}

pub fn team_snapshot() -> Snapshot {
    let token_hash = "00:00".to_string();
    let team_object = Object::Team(tarragoncourse::state::object::Team { token_hash });
    Snapshot::default().with_edits(&[Edit::Put(team_path(), Arc::new(team_object))])
}

impl FleetModel {
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
            lost_floors: 0,
            rng,
        };
        model.nodes = (0..NODE_COUNT).map(|_| model.new_node()).collect();
        model
    }

    pub fn new_node(&mut self) -> Node {
        Node {
            up: true,
            distribution: Distribution::new(Arc::new(Snapshot::default()), self.rng.fork()),
            floor: None,
            in_force: Version(0),
        }
    }

    pub fn peers(&self, node: usize) -> Vec<SocketAddr> {
        (0..NODE_COUNT)
            .filter(|n| *n != node)
            .map(address)
            .collect()
    }

    pub fn read_head(&self) -> Option<(Head, u64)> {
        let value = self.store.get(HEAD_KEY)?;
        Some((decode_head(&value.text).unwrap(), value.revision))
    }

    /// The oracle looks at the store after every write to the head.
    pub fn swap_head(&mut self, text: &str, revision: u64) -> bool {
        let swapped = self
            .store
            .compare_and_swap(HEAD_KEY, text, revision, None)
            .is_some();
        if swapped {
            let (head, _) = self.read_head().unwrap();
            let last_version = self.accepted.last().map_or(Version(0), |a| a.0);
            assert_eq!(head.version, last_version.next(), "versions grow by one");
            assert!(
                !self.rejected.contains(&head.change),
                "told as refused, yet accepted"
            );
            assert!(
                self.accepted.iter().all(|a| a.2 != head.change),
                "accepted twice"
            );
            self.accepted.push((head.version, head.digest, head.change));
        }
        swapped
    }

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

    pub fn handle_adopted(&mut self, node: usize, snapshot: &Snapshot) {
        let accepted = self.accepted.iter().find(|a| a.0 == snapshot.version());
        let (_, digest, _) = accepted.expect("only accepted versions are adopted");
        assert_eq!(*digest, snapshot.digest(), "all of a version or none of it");
        assert!(references_exist(snapshot), "no dangling reference");
        self.update_in_force(node);
    }

    /// A node serves from when it holds its floor; from then on its version only grows.
    pub fn update_in_force(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        let current = n.distribution.current().version();
        if n.floor.is_some_and(|f| current >= f) {
            assert!(
                current >= n.in_force,
                "node {node} went back from {} to {current}",
                n.in_force
            );
            n.in_force = current;
        }
    }

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
                self.determine_floor(n);
            }
        }
    }

    /// What joining does: the platform's head, or the newest version that the peers hold.
    pub fn determine_floor(&mut self, node: usize) {
        if self.nodes[node].floor.is_some() {
            return;
        }
        let current_version = |n: &Node| n.distribution.current().version();
        let newest_known = |n: &Node| n.distribution.newest_known();
        let newest = self.nodes.iter().filter(|n| n.up).map(newest_known).max();
        let floor = match self.platform_down {
            false => self.read_head().map_or(Version(0), |(h, _)| h.version),
            true => newest.unwrap_or_default(),
        };
        // With the platform down and every node gone that ever heard of the version, nothing is
        // left that could tell this process what its address once held. GUARANTEES.md says so.
        if self.platform_down && floor < self.nodes[node].in_force {
            self.lost_floors += 1;
            self.nodes[node].in_force = Version(0);
        }
        self.nodes[node].floor = Some(floor);
        let mut actions = Actions::new();
        let holder = (0..NODE_COUNT)
            .find(|n| self.nodes[*n].up && current_version(&self.nodes[*n]) >= floor);
        match holder {
            Some(peer) if peer != node => {
                let version = current_version(&self.nodes[peer]);
                let distribution = &mut self.nodes[node].distribution;
                distribution.handle_version(address(peer), version, self.now, &mut actions);
            }
            _ => self.nodes[node]
                .distribution
                .handle_head_change(floor, self.now, &mut actions),
        }
        self.perform_actions(node, actions);
        self.update_in_force(node);
    }

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
                    false => PullResponse::Failed,
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

    pub fn read_platform(&self, node: usize) -> PullResponse {
        let current = self.nodes[node].distribution.current().version();
        match self.read_head() {
            Some((head, _)) if !self.platform_down && head.version > current => {
                PullResponse::Deltas(self.read_deltas(&head, current))
            }
            _ => PullResponse::Failed,
        }
    }

    pub fn read_deltas(&self, head: &Head, since: Version) -> Vec<Arc<Delta>> {
        let (mut version, mut change) = (head.version, head.change);
        let mut deltas = Vec::new();
        while version > since {
            let record = self
                .read_record(version, change)
                .expect("the chain is whole");
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

    /// Takes one operator's change one step further.
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
                    .compare_and_swap(&key, &encode_change(&record), 0, None);
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
                        counts.add("late swap");
                        self.in_flight.push(InFlight::DelayedSwap(text, revision));
                    }
                    return CommitEvent::HeadSwapped(Err(Indeterminate));
                }
                let swapped = self.swap_head(&text, revision);
                if response_lost {
                    counts.add("lost answer");
                    return CommitEvent::HeadSwapped(Err(Indeterminate));
                }
                CommitEvent::HeadSwapped(Ok(swapped))
            }
            CommitStep::Done(_) => unreachable!("ended operators are dropped"),
        }
    }

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
                    "told as accepted, yet not"
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
                assert_eq!(accepted, Some(*version), "told as accepted, yet not");
            }
            CommitOutcome::Unknown => counts.add("unknown"),
            _ => {
                counts.add("not accepted");
                assert_eq!(accepted, None, "told as {outcome:?}, yet accepted");
                self.rejected.push(change);
            }
        }
    }

    pub fn converged(&self) -> bool {
        let newest = self.accepted.last().map_or(Version(0), |a| a.0);
        let nodes_up = self.nodes.iter().filter(|n| n.up);
        nodes_up.into_iter().all(|n| n.in_force == newest)
    }
}

/// Whether every service that is referred to exists; said again here, as an oracle must.
pub fn references_exist(snapshot: &Snapshot) -> bool {
    let services: Vec<&Path> = snapshot
        .entries()
        .filter(|e| e.object.kind() == "service")
        .map(|e| &e.path)
        .collect();
    let mut referenced = snapshot.entries().flat_map(|e| e.object.services());
    referenced.all(|s| services.contains(&s))
}

/// Takes an edit out of the last delta, as a faulty peer might.
pub fn drop_last_edit(response: &mut PullResponse) {
    if let PullResponse::Deltas(deltas) = response
        && let Some(last) = deltas.last_mut()
    {
        Arc::make_mut(last).edits.pop();
    }
}

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

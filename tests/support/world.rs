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

pub const NODES: usize = 6;
pub const STEP: Duration = Duration::from_millis(50);
/// Stated bound: a fleet without faults converges within this time.
pub const CONVERGENCE: Duration = Duration::from_secs(8);

pub struct Node {
    pub up: bool,
    pub machine: Distribution,
    /// Serving callers; only then the version counts as in force.
    pub floor: Option<Version>,
    pub in_force: Version,
}

pub enum Parcel {
    Announce(SocketAddr, SocketAddr, Version),
    Acknowledge(SocketAddr, SocketAddr, Version),
    /// A pull on its way to the peer that serves it.
    Pull(SocketAddr, SocketAddr, Version, u64),
    /// An answer on its way back.
    Answer(SocketAddr, u64, PullResponse),
    /// A node's read of the platform.
    Read(SocketAddr, u64),
    /// A swap whose sender has given up waiting, and which takes effect late.
    LateSwap(String, u64),
}

pub struct Operator {
    pub node: usize,
    pub commit: Commit,
    pub step: CommitStep,
}

pub struct World {
    pub nodes: Vec<Node>,
    pub store: Store,
    pub down: bool,
    pub bag: Vec<Parcel>,
    pub operators: Vec<Operator>,
    pub accepted: Vec<(Version, Digest, ChangeId)>,
    pub refused: Vec<ChangeId>,
    pub now: Instant,
    pub changes: u128,
    pub excused: u64,
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

pub fn team() -> Path {
    Path::new("guild").unwrap()
}

pub fn first() -> Snapshot {
    let token_hash = "00:00".to_string();
    let team_object = Object::Team(tarragoncourse::state::object::Team { token_hash });
    Snapshot::default().with_edits(&[Edit::Put(team(), Arc::new(team_object))])
}

impl World {
    pub fn new(seed: u64) -> World {
        let rng = fastrand::Rng::with_seed(seed);
        let mut world = World {
            nodes: Vec::new(),
            store: Store::default(),
            down: false,
            bag: Vec::new(),
            operators: Vec::new(),
            accepted: Vec::new(),
            refused: Vec::new(),
            now: Instant::now(),
            changes: 0,
            excused: 0,
            rng,
        };
        world.nodes = (0..NODES).map(|_| world.fresh()).collect();
        world
    }

    pub fn fresh(&mut self) -> Node {
        Node {
            up: true,
            machine: Distribution::new(Arc::new(Snapshot::default()), self.rng.fork()),
            floor: None,
            in_force: Version(0),
        }
    }

    pub fn peers(&self, of: usize) -> Vec<SocketAddr> {
        (0..NODES).filter(|n| *n != of).map(address).collect()
    }

    pub fn head(&self) -> Option<(Head, u64)> {
        let value = self.store.get(HEAD_KEY)?;
        Some((decode_head(&value.text).unwrap(), value.revision))
    }

    /// The oracle looks at the store after every write to the head.
    pub fn swap(&mut self, text: &str, revision: u64) -> bool {
        let swapped = self
            .store
            .compare_and_swap(HEAD_KEY, text, revision, None)
            .is_some();
        if swapped {
            let (head, _) = self.head().unwrap();
            let last = self.accepted.last().map_or(Version(0), |a| a.0);
            assert_eq!(head.version, last.next(), "versions grow by one");
            assert!(
                !self.refused.contains(&head.change),
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

    pub fn run(&mut self, node: usize, actions: Actions) {
        let own = address(node);
        for action in actions {
            match action {
                Action::Announce(to, v) => self.bag.push(Parcel::Announce(own, to, v)),
                Action::Acknowledge(to, v) => self.bag.push(Parcel::Acknowledge(own, to, v)),
                Action::Pull {
                    from,
                    since,
                    fetch_id,
                } => {
                    self.bag.push(Parcel::Pull(own, from, since, fetch_id));
                }
                Action::ReadPlatform { fetch_id } => self.bag.push(Parcel::Read(own, fetch_id)),
                Action::Adopt(snapshot) => self.adopt(node, &snapshot),
            }
        }
    }

    pub fn adopt(&mut self, node: usize, snapshot: &Snapshot) {
        let truth = self.accepted.iter().find(|a| a.0 == snapshot.version());
        let (_, digest, _) = truth.expect("only accepted versions are adopted");
        assert_eq!(*digest, snapshot.digest(), "all of a version or none of it");
        assert!(is_closed(snapshot), "no dangling reference");
        self.serve(node);
    }

    /// A node serves from when it holds its floor; from then on its version only grows.
    pub fn serve(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        let held = n.machine.current().version();
        if n.floor.is_some_and(|f| held >= f) {
            assert!(
                held >= n.in_force,
                "node {node} went back from {} to {held}",
                n.in_force
            );
            n.in_force = held;
        }
    }

    pub fn tick(&mut self) {
        self.now += STEP;
        for n in 0..NODES {
            if self.nodes[n].up {
                let spare = self.peers(n);
                let mut actions = Actions::new();
                self.nodes[n].machine.tick(&spare, self.now, &mut actions);
                self.run(n, actions);
                self.learn_floor(n);
            }
        }
    }

    /// What joining does: the platform's head, or the newest version that the peers hold.
    pub fn learn_floor(&mut self, node: usize) {
        if self.nodes[node].floor.is_some() {
            return;
        }
        let held = |n: &Node| n.machine.current().version();
        let heard = |n: &Node| n.machine.newest_known();
        let newest = self.nodes.iter().filter(|n| n.up).map(heard).max();
        let floor = match self.down {
            false => self.head().map_or(Version(0), |(h, _)| h.version),
            true => newest.unwrap_or_default(),
        };
        // With the platform down and every node gone that ever heard of the version, nothing is
        // left that could tell this process what its address once held. GUARANTEES.md says so.
        if self.down && floor < self.nodes[node].in_force {
            self.excused += 1;
            self.nodes[node].in_force = Version(0);
        }
        self.nodes[node].floor = Some(floor);
        let mut actions = Actions::new();
        let holder = (0..NODES).find(|n| self.nodes[*n].up && held(&self.nodes[*n]) >= floor);
        match holder {
            Some(peer) if peer != node => {
                let version = held(&self.nodes[peer]);
                let machine = &mut self.nodes[node].machine;
                machine.handle_version(address(peer), version, self.now, &mut actions);
            }
            _ => self.nodes[node]
                .machine
                .handle_head_change(floor, self.now, &mut actions),
        }
        self.run(node, actions);
        self.serve(node);
    }

    pub fn deliver(&mut self, parcel: Parcel) {
        let mut actions = Actions::new();
        match parcel {
            Parcel::Announce(from, to, v) if self.nodes[index(to)].up => {
                self.nodes[index(to)]
                    .machine
                    .handle_announcement(from, v, self.now, &mut actions);
                self.run(index(to), actions);
            }
            Parcel::Acknowledge(from, to, v) if self.nodes[index(to)].up => {
                self.nodes[index(to)].machine.handle_ack(from, v);
            }
            Parcel::Pull(from, to, since, ticket) => {
                let peer = &self.nodes[index(to)];
                let mut answer = match peer.up {
                    true => peer.machine.answer_pull(since),
                    false => PullResponse::Failed,
                };
                if self.rng.u8(..100) < 3 {
                    corrupt(&mut answer);
                }
                self.bag.push(Parcel::Answer(from, ticket, answer));
            }
            Parcel::Answer(to, ticket, pulled) if self.nodes[index(to)].up => {
                let peers = self.peers(index(to));
                let machine = &mut self.nodes[index(to)].machine;
                machine.handle_fetch_result(ticket, pulled, &peers, self.now, &mut actions);
                self.run(index(to), actions);
            }
            Parcel::Read(node, ticket) => {
                let answer = self.read(index(node));
                self.bag.push(Parcel::Answer(node, ticket, answer));
            }
            Parcel::LateSwap(text, revision) => {
                self.swap(&text, revision);
            }
            _ => {}
        }
    }

    pub fn read(&self, node: usize) -> PullResponse {
        let held = self.nodes[node].machine.current().version();
        match self.head() {
            Some((head, _)) if !self.down && head.version > held => {
                PullResponse::Deltas(self.chain(&head, held))
            }
            _ => PullResponse::Failed,
        }
    }

    pub fn chain(&self, head: &Head, since: Version) -> Vec<Arc<Delta>> {
        let (mut version, mut change) = (head.version, head.change);
        let mut deltas = Vec::new();
        while version > since {
            let record = self.record(version, change).expect("the chain is whole");
            change = record.previous;
            version = Version(version.0 - 1);
            deltas.push(record.delta);
        }
        deltas.reverse();
        deltas
    }

    pub fn record(&self, version: Version, change: ChangeId) -> Option<ChangeRecord> {
        let value = self.store.get(&change_key(version, change))?;
        Some(decode_change(&value.text).unwrap())
    }

    pub fn load(
        &self,
        node: usize,
        head: &Head,
        since: Version,
    ) -> (Arc<Snapshot>, Vec<Arc<Delta>>) {
        let held = self.nodes[node].machine.current().clone();
        let deltas = self.chain(head, since.min(held.version()));
        let mut base = (*held).clone();
        for d in deltas.iter().filter(|d| d.version > held.version()) {
            base = base.apply(d).unwrap();
        }
        let after = deltas.into_iter().filter(|d| d.version > since);
        (Arc::new(base), after.collect())
    }

    pub fn begin(&mut self, u: &mut Unstructured, node: usize) {
        self.changes += 1;
        let held = self.nodes[node].machine.current();
        let request = ChangeRequest {
            change: ChangeId(self.changes),
            author: "admin".to_string(),
            base: chance(u, 50).then(|| held.version()),
            edits: edits(u, held),
        };
        let floor = self.nodes[node].machine.newest_known();
        let deadline = self.now + Duration::from_secs(5);
        let mut commit = Commit::new(request, floor, deadline, self.rng.fork());
        let step = commit.advance(CommitEvent::Resume, self.now);
        self.operators.push(Operator { node, commit, step });
    }

    /// Takes one operator's change one step further.
    pub fn advance(&mut self, u: &mut Unstructured, at: usize, counts: &mut Counts) {
        let mut operator = self.operators.swap_remove(at);
        if !self.nodes[operator.node].up {
            return;
        }
        let step = operator.step.clone();
        let event = self.perform(u, operator.node, step, counts);
        operator.step = operator.commit.advance(event, self.now);
        match &operator.step {
            CommitStep::Done(verdict) => self.ended(&operator, verdict, counts),
            _ => self.operators.push(operator),
        }
    }

    pub fn perform(
        &mut self,
        u: &mut Unstructured,
        node: usize,
        step: CommitStep,
        counts: &mut Counts,
    ) -> CommitEvent {
        let lost = chance(u, 15);
        let silent = self.down || (lost && chance(u, 50));
        match step {
            CommitStep::Pause(wait) => {
                self.now += wait;
                CommitEvent::Resume
            }
            CommitStep::ReadHead if silent => CommitEvent::HeadRead(Err(Indeterminate)),
            CommitStep::ReadHead => CommitEvent::HeadRead(Ok(self.head())),
            CommitStep::Load { .. } if silent => CommitEvent::Loaded(Err(Indeterminate)),
            CommitStep::Load { head, since } => {
                CommitEvent::Loaded(Ok(self.load(node, &head, since)))
            }
            CommitStep::ReadRecord(..) if silent => CommitEvent::RecordRead(Err(Indeterminate)),
            CommitStep::ReadRecord(v, c) => CommitEvent::RecordRead(Ok(self.record(v, c))),
            CommitStep::WriteRecord(_) if silent => CommitEvent::RecordWritten(Err(Indeterminate)),
            CommitStep::WriteRecord(record) => {
                let key = change_key(record.delta.version, record.delta.change);
                self.store
                    .compare_and_swap(&key, &encode_change(&record), 0, None);
                CommitEvent::RecordWritten(if lost { Err(Indeterminate) } else { Ok(()) })
            }
            CommitStep::SwapHead { head, revision } => {
                let text = encode_head(&head);
                if silent {
                    if !self.down || chance(u, 30) {
                        counts.add("late swap");
                        self.bag.push(Parcel::LateSwap(text, revision));
                    }
                    return CommitEvent::HeadSwapped(Err(Indeterminate));
                }
                let swapped = self.swap(&text, revision);
                if lost {
                    counts.add("lost answer");
                    return CommitEvent::HeadSwapped(Err(Indeterminate));
                }
                CommitEvent::HeadSwapped(Ok(swapped))
            }
            CommitStep::Done(_) => unreachable!("ended operators are dropped"),
        }
    }

    pub fn ended(&mut self, operator: &Operator, verdict: &CommitOutcome, counts: &mut Counts) {
        let change = operator.commit.change();
        let accepted = self.accepted.iter().find(|a| a.2 == change).map(|a| a.0);
        match verdict {
            CommitOutcome::Accepted { snapshot, delta } => {
                counts.add("accepted");
                assert_eq!(
                    accepted,
                    Some(snapshot.version()),
                    "told as accepted, yet not"
                );
                let peers = self.peers(operator.node);
                let mut actions = Actions::new();
                let machine = &mut self.nodes[operator.node].machine;
                machine.adopt_if_newer(
                    snapshot.clone(),
                    vec![delta.clone()],
                    &peers,
                    self.now,
                    &mut actions,
                );
                self.run(operator.node, actions);
            }
            CommitOutcome::Found(version) => {
                counts.add("found");
                assert_eq!(accepted, Some(*version), "told as accepted, yet not");
            }
            CommitOutcome::Unknown => counts.add("unknown"),
            _ => {
                counts.add("not accepted");
                assert_eq!(accepted, None, "told as {verdict:?}, yet accepted");
                self.refused.push(change);
            }
        }
    }

    pub fn converged(&self) -> bool {
        let newest = self.accepted.last().map_or(Version(0), |a| a.0);
        let up = self.nodes.iter().filter(|n| n.up);
        up.into_iter().all(|n| n.in_force == newest)
    }
}

/// Whether every service that is referred to exists; said again here, as an oracle must.
pub fn is_closed(snapshot: &Snapshot) -> bool {
    let services: Vec<&Path> = snapshot
        .entries()
        .filter(|e| e.object.kind() == "service")
        .map(|e| &e.path)
        .collect();
    let mut named = snapshot.entries().flat_map(|e| e.object.services());
    named.all(|s| services.contains(&s))
}

/// Takes an edit out of the last delta, as a faulty peer might.
pub fn corrupt(answer: &mut PullResponse) {
    if let PullResponse::Deltas(deltas) = answer
        && let Some(last) = deltas.last_mut()
    {
        Arc::make_mut(last).edits.pop();
    }
}

pub fn edits(u: &mut Unstructured, held: &Snapshot) -> Vec<Edit> {
    let mut edits = Vec::new();
    if held.is_empty() {
        edits.extend(Snapshot::default().edits_to(&first()));
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

//! Distribution of accepted versions: eager announcement, lazy content.
//!
//! A node that learns a version announces it to a few peers at once. A node that hears of a newer
//! version pulls the missing deltas, verifies the result's digest, and swaps its snapshot whole.
//! The held version never decreases.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::state::id::Version;
use crate::state::snapshot::{Delta, Snapshot};

/// Deltas kept for peers that are a few versions behind.
pub const DELTAS_KEPT: usize = 64;
/// Time within which an announcement is acknowledged, before another peer is told instead.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(200);
/// Time within which a pull is answered, before another peer is asked.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Base of the back-off after a busy or failed pull.
pub const RETRY_BASE: Duration = Duration::from_millis(50);
/// Longest back-off between pulls.
pub const RETRY_MAX: Duration = Duration::from_secs(2);
/// Failed pulls in a row after which the platform is asked.
const FAILURES_BEFORE_PLATFORM: u32 = 4;
/// Peers remembered as sources of the wanted version.
const SOURCES_MAX: usize = 8;
/// Times an unacknowledged announcement is sent again.
const RESENDS: u8 = 2;

/// What a peer answers to a pull.
#[derive(Clone, Debug)]
pub enum Pulled {
    /// Every delta after the asked version, in order.
    Deltas(Vec<Arc<Delta>>),
    /// The whole configuration, because the gap is longer than the deltas kept.
    Whole(Arc<Snapshot>),
    /// The peer serves as many pulls as it may; these hold the version too.
    Busy(Vec<SocketAddr>),
    /// The peer has nothing newer.
    Nothing,
    /// The peer did not answer, or what it sent was not understood.
    Failed,
}

/// What the node is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell a peer the held version.
    Announce(SocketAddr, Version),
    /// Acknowledge an announcement.
    Acknowledge(SocketAddr, Version),
    /// Pull from a peer what follows the held version.
    Pull {
        /// Whom to ask.
        from: SocketAddr,
        /// The held version, or zero for the whole configuration.
        since: Version,
        /// Matches the answer to the question.
        ticket: u64,
    },
    /// Read the configuration from the platform.
    ReadPlatform {
        /// Matches the answer to the question.
        ticket: u64,
    },
    /// Put this snapshot in force.
    Adopt(Arc<Snapshot>),
}

/// What to do.
pub type Actions = Vec<Action>;

/// Counts of distribution events since start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DistributionCounts {
    /// Versions put in force.
    pub adopted: u64,
    /// Pulls asked of peers.
    pub pulls: u64,
    /// Pulls answered by a peer with *busy*.
    pub busy: u64,
    /// Results whose digest was not the accepted one.
    pub mismatches: u64,
    /// Older versions that were offered and refused.
    pub refused: u64,
}

#[derive(Debug)]
struct Fetch {
    ticket: u64,
    from: Option<SocketAddr>,
    started: Instant,
}

#[derive(Debug)]
struct Unacknowledged {
    peer: SocketAddr,
    version: Version,
    sent: Instant,
    resends: u8,
}

/// The distribution state machine of one node.
#[derive(Debug)]
pub struct Distribution {
    held: Arc<Snapshot>,
    wanted: Version,
    deltas: VecDeque<Arc<Delta>>,
    sources: SmallVec<[SocketAddr; SOURCES_MAX]>,
    fetch: Option<Fetch>,
    retry_at: Option<Instant>,
    failures: u32,
    want_whole: bool,
    waiting: Vec<Unacknowledged>,
    ticket: u64,
    rng: fastrand::Rng,
    counts: DistributionCounts,
}

impl Distribution {
    /// Starts with a snapshot; the empty one at version zero on a fresh node.
    pub fn new(held: Arc<Snapshot>, rng: fastrand::Rng) -> Distribution {
        Distribution {
            wanted: held.version(),
            held,
            deltas: VecDeque::new(),
            sources: SmallVec::new(),
            fetch: None,
            retry_at: None,
            failures: 0,
            want_whole: false,
            waiting: Vec::new(),
            ticket: 0,
            rng,
            counts: DistributionCounts::default(),
        }
    }

    /// The snapshot in force.
    pub fn held(&self) -> &Arc<Snapshot> {
        &self.held
    }

    /// The newest version heard of.
    pub fn wanted(&self) -> Version {
        self.wanted
    }

    /// Counts of events.
    pub fn counts(&self) -> DistributionCounts {
        self.counts
    }

    /// A peer says which version it holds.
    pub fn hear(&mut self, from: SocketAddr, version: Version, now: Instant, out: &mut Actions) {
        if version < self.held.version() {
            out.push(Action::Announce(from, self.held.version()));
            return;
        }
        if version == self.held.version() {
            return;
        }
        if version > self.wanted {
            self.wanted = version;
            self.sources.clear();
        }
        if version == self.wanted && !self.sources.contains(&from) {
            self.sources.truncate(SOURCES_MAX - 1);
            self.sources.push(from);
        }
        self.pull(now, out);
    }

    /// A peer announced a version and waits for an acknowledgement.
    pub fn announced(
        &mut self,
        from: SocketAddr,
        version: Version,
        now: Instant,
        out: &mut Actions,
    ) {
        out.push(Action::Acknowledge(from, version));
        self.hear(from, version, now, out);
    }

    /// A peer acknowledged an announcement.
    pub fn acknowledged(&mut self, from: SocketAddr, version: Version) {
        self.waiting
            .retain(|w| w.peer != from || w.version > version);
    }

    /// The platform's head is known to be at a version that no peer may hold yet.
    pub fn head_moved(&mut self, version: Version, now: Instant, out: &mut Actions) {
        if version <= self.held.version() {
            return;
        }
        self.wanted = self.wanted.max(version);
        if self.fetch.is_none() {
            self.read_platform(now, out);
        }
    }

    /// A pull or a platform read ended. `peers` is whom to announce a new version to.
    pub fn pulled(
        &mut self,
        ticket: u64,
        result: Pulled,
        peers: &[SocketAddr],
        now: Instant,
        out: &mut Actions,
    ) {
        if self.fetch.as_ref().is_none_or(|f| f.ticket != ticket) {
            return;
        }
        let from = self.fetch.take().and_then(|f| f.from);
        match result {
            Pulled::Deltas(deltas) => self.apply(deltas, peers, now, out),
            Pulled::Whole(snapshot) => self.offer(snapshot, Vec::new(), peers, now, out),
            Pulled::Busy(others) => self.busy(from, &others, now),
            Pulled::Nothing | Pulled::Failed => self.failed(from, now),
        }
        if self.retry_at.is_none() {
            self.pull(now, out);
        }
    }

    /// Does what is due. `spare` gives peers to tell in place of silent ones, nearest first.
    pub fn tick(&mut self, spare: &[SocketAddr], now: Instant, out: &mut Actions) {
        self.resend(spare, now, out);
        let late = |f: &Fetch| now - f.started >= PULL_TIMEOUT;
        if self.fetch.as_ref().is_some_and(late) {
            let from = self.fetch.take().and_then(|f| f.from);
            self.failed(from, now);
        }
        if self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            self.pull(now, out);
        }
    }

    /// The answer to a peer that holds `since`.
    pub fn serve(&self, since: Version) -> Pulled {
        if since >= self.held.version() {
            return Pulled::Nothing;
        }
        let next = self.deltas.iter().position(|d| d.base == since);
        if let Some(at) = next.filter(|_| since.0 > 0) {
            return Pulled::Deltas(self.deltas.iter().skip(at).cloned().collect());
        }
        Pulled::Whole(self.held.clone())
    }

    /// Peers known to hold the version that this node wants, to name when busy.
    pub fn sources(&self) -> &[SocketAddr] {
        &self.sources
    }

    fn pull(&mut self, now: Instant, out: &mut Actions) {
        let behind = self.wanted > self.held.version();
        if !behind || self.fetch.is_some() || self.retry_at.is_some() {
            return;
        }
        if self.sources.is_empty() || self.failures >= FAILURES_BEFORE_PLATFORM {
            self.failures = 0;
            self.read_platform(now, out);
            return;
        }
        let at = self.rng.usize(..self.sources.len());
        let from = self.sources[at];
        let since = if self.want_whole {
            Version(0)
        } else {
            self.held.version()
        };
        let ticket = self.begin(Some(from), now);
        self.counts.pulls += 1;
        out.push(Action::Pull {
            from,
            since,
            ticket,
        });
    }

    fn read_platform(&mut self, now: Instant, out: &mut Actions) {
        let ticket = self.begin(None, now);
        out.push(Action::ReadPlatform { ticket });
    }

    fn begin(&mut self, from: Option<SocketAddr>, now: Instant) -> u64 {
        self.ticket += 1;
        self.fetch = Some(Fetch {
            ticket: self.ticket,
            from,
            started: now,
        });
        self.ticket
    }

    fn apply(
        &mut self,
        deltas: Vec<Arc<Delta>>,
        peers: &[SocketAddr],
        now: Instant,
        out: &mut Actions,
    ) {
        let mut next = (*self.held).clone();
        for d in deltas.iter().filter(|d| d.version > self.held.version()) {
            match next.apply(d) {
                Ok(applied) => next = applied,
                Err(_) => {
                    self.mismatch(now);
                    return;
                }
            }
        }
        self.offer(Arc::new(next), deltas, peers, now, out);
    }

    fn mismatch(&mut self, now: Instant) {
        self.counts.mismatches += 1;
        self.want_whole = true;
        self.back_off(now);
    }

    /// Puts a newer snapshot in force and announces it to `peers`; an older one is refused.
    /// `deltas` lead to it, for peers that are a few versions behind.
    pub fn offer(
        &mut self,
        snapshot: Arc<Snapshot>,
        deltas: Vec<Arc<Delta>>,
        peers: &[SocketAddr],
        now: Instant,
        out: &mut Actions,
    ) {
        if snapshot.version() <= self.held.version() {
            self.counts.refused += u64::from(snapshot.version() < self.held.version());
            return;
        }
        self.keep(deltas, snapshot.version());
        self.held = snapshot;
        self.wanted = self.wanted.max(self.held.version());
        self.failures = 0;
        self.want_whole = false;
        self.retry_at = None;
        self.counts.adopted += 1;
        out.push(Action::Adopt(self.held.clone()));
        self.announce(peers, now, out);
    }

    /// Keeps deltas that follow on without a gap; starts over after a whole snapshot.
    fn keep(&mut self, deltas: Vec<Arc<Delta>>, newest: Version) {
        for d in deltas {
            let last = self.deltas.back().map(|k| k.version);
            if last.is_some_and(|l| d.version <= l) {
                continue;
            }
            if last.is_some_and(|l| d.base != l) {
                self.deltas.clear();
            }
            self.deltas.push_back(d);
        }
        if self.deltas.back().is_some_and(|d| d.version != newest) {
            self.deltas.clear();
        }
        while self.deltas.len() > DELTAS_KEPT {
            self.deltas.pop_front();
        }
    }

    fn announce(&mut self, peers: &[SocketAddr], now: Instant, out: &mut Actions) {
        let version = self.held.version();
        self.waiting.clear();
        // Whoever told this node of the version needs no telling.
        let told = match self.wanted == version {
            true => std::mem::take(&mut self.sources),
            false => SmallVec::new(),
        };
        for peer in peers.iter().filter(|p| !told.contains(p)) {
            out.push(Action::Announce(*peer, version));
            self.waiting.push(Unacknowledged {
                peer: *peer,
                version,
                sent: now,
                resends: RESENDS,
            });
        }
    }

    /// A silent peer is told once more, in case the datagram was lost, and somebody in its place,
    /// in case it is dead.
    fn resend(&mut self, spare: &[SocketAddr], now: Instant, out: &mut Actions) {
        let mut spare = spare.iter().cycle();
        for w in &mut self.waiting {
            if now - w.sent < ACK_TIMEOUT {
                continue;
            }
            w.resends -= 1;
            w.sent = now;
            out.push(Action::Announce(w.peer, w.version));
            let instead = spare.next().filter(|s| **s != w.peer);
            out.extend(instead.map(|s| Action::Announce(*s, w.version)));
        }
        self.waiting.retain(|w| w.resends > 0);
    }

    fn busy(&mut self, from: Option<SocketAddr>, others: &[SocketAddr], now: Instant) {
        self.counts.busy += 1;
        let fresh = others.iter().filter(|o| Some(**o) != from);
        for other in fresh.copied().collect::<SmallVec<[_; 4]>>() {
            if self.sources.len() < SOURCES_MAX && !self.sources.contains(&other) {
                self.sources.push(other);
            }
        }
        self.back_off(now);
    }

    fn failed(&mut self, from: Option<SocketAddr>, now: Instant) {
        self.sources.retain(|s| Some(*s) != from);
        self.back_off(now);
    }

    fn back_off(&mut self, now: Instant) {
        let ceiling = RETRY_BASE * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        let wait = ceiling.min(RETRY_MAX).mul_f64(0.5 + self.rng.f64() / 2.0);
        self.retry_at = Some(now + wait);
    }
}

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
pub const DELTAS_MAX: usize = 64;
/// Time within which an announcement is acknowledged, before another peer is told instead.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(200);
/// Time within which a pull is answered, before another peer is asked.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Base of the back-off after a busy or failed pull.
pub const PULL_BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Longest back-off between pulls.
pub const PULL_BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Failed pulls in a row after which the platform is asked.
const FAILURES_BEFORE_PLATFORM: u32 = 4;
/// Peers remembered as sources of the wanted version.
const SOURCES_MAX: usize = 8;
/// Times an unacknowledged announcement is sent again.
const RESENDS_MAX: u8 = 2;

/// What a peer answers to a pull.
#[derive(Clone, Debug)]
pub enum PullResponse {
    /// Every delta after the asked version, in order.
    Deltas(Vec<Arc<Delta>>),
    /// The whole configuration, because the gap is longer than the deltas kept.
    Snapshot(Arc<Snapshot>),
    /// The peer serves as many pulls as it may; these hold the version too.
    Busy(Vec<SocketAddr>),
    /// The peer has nothing newer.
    UpToDate,
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
        fetch_id: u64,
    },
    /// Read the configuration from the platform.
    ReadPlatform {
        /// Matches the answer to the question.
        fetch_id: u64,
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
    fetch_id: u64,
    from: Option<SocketAddr>,
    started: Instant,
}

#[derive(Debug)]
struct PendingAck {
    peer: SocketAddr,
    version: Version,
    sent: Instant,
    resends_left: u8,
}

/// The distribution state machine of one node.
#[derive(Debug)]
pub struct Distribution {
    current: Arc<Snapshot>,
    newest_known: Version,
    deltas: VecDeque<Arc<Delta>>,
    sources: SmallVec<[SocketAddr; SOURCES_MAX]>,
    fetch: Option<Fetch>,
    retry_at: Option<Instant>,
    failures: u32,
    need_snapshot: bool,
    pending_acks: Vec<PendingAck>,
    fetch_id: u64,
    rng: fastrand::Rng,
    counts: DistributionCounts,
}

impl Distribution {
    /// Starts with a snapshot; the empty one at version zero on a fresh node.
    pub fn new(current: Arc<Snapshot>, rng: fastrand::Rng) -> Distribution {
        Distribution {
            newest_known: current.version(),
            current,
            deltas: VecDeque::new(),
            sources: SmallVec::new(),
            fetch: None,
            retry_at: None,
            failures: 0,
            need_snapshot: false,
            pending_acks: Vec::new(),
            fetch_id: 0,
            rng,
            counts: DistributionCounts::default(),
        }
    }

    /// The snapshot in force.
    pub fn current(&self) -> &Arc<Snapshot> {
        &self.current
    }

    /// The newest version heard of.
    pub fn newest_known(&self) -> Version {
        self.newest_known
    }

    /// Counts of events.
    pub fn counts(&self) -> DistributionCounts {
        self.counts
    }

    /// A peer says which version it holds.
    pub fn handle_version(
        &mut self,
        from: SocketAddr,
        version: Version,
        now: Instant,
        out: &mut Actions,
    ) {
        if version < self.current.version() {
            out.push(Action::Announce(from, self.current.version()));
            return;
        }
        if version == self.current.version() {
            return;
        }
        if version > self.newest_known {
            self.newest_known = version;
            self.sources.clear();
        }
        if version == self.newest_known && !self.sources.contains(&from) {
            self.sources.truncate(SOURCES_MAX - 1);
            self.sources.push(from);
        }
        self.pull_if_behind(now, out);
    }

    /// A peer announced a version and waits for an acknowledgement.
    pub fn handle_announcement(
        &mut self,
        from: SocketAddr,
        version: Version,
        now: Instant,
        out: &mut Actions,
    ) {
        out.push(Action::Acknowledge(from, version));
        self.handle_version(from, version, now, out);
    }

    /// A peer acknowledged an announcement.
    pub fn handle_ack(&mut self, from: SocketAddr, version: Version) {
        self.pending_acks
            .retain(|w| w.peer != from || w.version > version);
    }

    /// The platform's head is known to be at a version that no peer may hold yet.
    pub fn handle_head_change(&mut self, version: Version, now: Instant, out: &mut Actions) {
        if version <= self.current.version() {
            return;
        }
        self.newest_known = self.newest_known.max(version);
        if self.fetch.is_none() {
            self.start_platform_read(now, out);
        }
    }

    /// A pull or a platform read ended. `peers` is whom to announce a new version to.
    pub fn handle_fetch_result(
        &mut self,
        fetch_id: u64,
        result: PullResponse,
        peers: &[SocketAddr],
        now: Instant,
        out: &mut Actions,
    ) {
        if self.fetch.as_ref().is_none_or(|f| f.fetch_id != fetch_id) {
            return;
        }
        let from = self.fetch.take().and_then(|f| f.from);
        match result {
            PullResponse::Deltas(deltas) => self.apply_deltas(deltas, peers, now, out),
            PullResponse::Snapshot(snapshot) => {
                self.adopt_if_newer(snapshot, Vec::new(), peers, now, out)
            }
            PullResponse::Busy(others) => self.handle_busy(from, &others, now),
            PullResponse::UpToDate | PullResponse::Failed => self.handle_failure(from, now),
        }
        if self.retry_at.is_none() {
            self.pull_if_behind(now, out);
        }
    }

    /// Does what is due. `spare` gives peers to tell in place of silent ones, nearest first.
    pub fn tick(&mut self, fallbacks: &[SocketAddr], now: Instant, out: &mut Actions) {
        self.resend_announcements(fallbacks, now, out);
        let timed_out = |f: &Fetch| now - f.started >= PULL_TIMEOUT;
        if self.fetch.as_ref().is_some_and(timed_out) {
            let from = self.fetch.take().and_then(|f| f.from);
            self.handle_failure(from, now);
        }
        if self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            self.pull_if_behind(now, out);
        }
    }

    /// The answer to a peer that holds `since`.
    pub fn answer_pull(&self, since: Version) -> PullResponse {
        if since >= self.current.version() {
            return PullResponse::UpToDate;
        }
        let next = self.deltas.iter().position(|d| d.base == since);
        if let Some(at) = next.filter(|_| since.0 > 0) {
            return PullResponse::Deltas(self.deltas.iter().skip(at).cloned().collect());
        }
        PullResponse::Snapshot(self.current.clone())
    }

    /// Peers known to hold the version that this node wants, to name when busy.
    pub fn sources(&self) -> &[SocketAddr] {
        &self.sources
    }

    fn pull_if_behind(&mut self, now: Instant, out: &mut Actions) {
        let behind = self.newest_known > self.current.version();
        if !behind || self.fetch.is_some() || self.retry_at.is_some() {
            return;
        }
        if self.sources.is_empty() || self.failures >= FAILURES_BEFORE_PLATFORM {
            self.failures = 0;
            self.start_platform_read(now, out);
            return;
        }
        let at = self.rng.usize(..self.sources.len());
        let from = self.sources[at];
        let since = if self.need_snapshot {
            Version(0)
        } else {
            self.current.version()
        };
        let fetch_id = self.begin_fetch(Some(from), now);
        self.counts.pulls += 1;
        out.push(Action::Pull {
            from,
            since,
            fetch_id,
        });
    }

    fn start_platform_read(&mut self, now: Instant, out: &mut Actions) {
        let fetch_id = self.begin_fetch(None, now);
        out.push(Action::ReadPlatform { fetch_id });
    }

    fn begin_fetch(&mut self, from: Option<SocketAddr>, now: Instant) -> u64 {
        self.fetch_id += 1;
        self.fetch = Some(Fetch {
            fetch_id: self.fetch_id,
            from,
            started: now,
        });
        self.fetch_id
    }

    fn apply_deltas(
        &mut self,
        deltas: Vec<Arc<Delta>>,
        peers: &[SocketAddr],
        now: Instant,
        out: &mut Actions,
    ) {
        let mut next = (*self.current).clone();
        for d in deltas.iter().filter(|d| d.version > self.current.version()) {
            match next.apply(d) {
                Ok(applied) => next = applied,
                Err(_) => {
                    self.record_mismatch(now);
                    return;
                }
            }
        }
        self.adopt_if_newer(Arc::new(next), deltas, peers, now, out);
    }

    fn record_mismatch(&mut self, now: Instant) {
        self.counts.mismatches += 1;
        self.need_snapshot = true;
        self.schedule_retry(now);
    }

    /// Puts a newer snapshot in force and announces it to `peers`; an older one is refused.
    /// `deltas` lead to it, for peers that are a few versions behind.
    pub fn adopt_if_newer(
        &mut self,
        snapshot: Arc<Snapshot>,
        deltas: Vec<Arc<Delta>>,
        peers: &[SocketAddr],
        now: Instant,
        out: &mut Actions,
    ) {
        if snapshot.version() <= self.current.version() {
            self.counts.refused += u64::from(snapshot.version() < self.current.version());
            return;
        }
        self.retain_deltas(deltas, snapshot.version());
        self.current = snapshot;
        self.newest_known = self.newest_known.max(self.current.version());
        self.failures = 0;
        self.need_snapshot = false;
        self.retry_at = None;
        self.counts.adopted += 1;
        out.push(Action::Adopt(self.current.clone()));
        self.announce(peers, now, out);
    }

    /// Keeps deltas that follow on without a gap; starts over after a whole snapshot.
    fn retain_deltas(&mut self, deltas: Vec<Arc<Delta>>, newest: Version) {
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
        while self.deltas.len() > DELTAS_MAX {
            self.deltas.pop_front();
        }
    }

    fn announce(&mut self, peers: &[SocketAddr], now: Instant, out: &mut Actions) {
        let version = self.current.version();
        self.pending_acks.clear();
        // Whoever told this node of the version needs no telling.
        let informed = match self.newest_known == version {
            true => std::mem::take(&mut self.sources),
            false => SmallVec::new(),
        };
        for peer in peers.iter().filter(|p| !informed.contains(p)) {
            out.push(Action::Announce(*peer, version));
            self.pending_acks.push(PendingAck {
                peer: *peer,
                version,
                sent: now,
                resends_left: RESENDS_MAX,
            });
        }
    }

    /// A silent peer is told once more, in case the datagram was lost, and somebody in its place,
    /// in case it is dead.
    fn resend_announcements(&mut self, fallbacks: &[SocketAddr], now: Instant, out: &mut Actions) {
        let mut fallbacks = fallbacks.iter().cycle();
        for w in &mut self.pending_acks {
            if now - w.sent < ACK_TIMEOUT {
                continue;
            }
            w.resends_left -= 1;
            w.sent = now;
            out.push(Action::Announce(w.peer, w.version));
            let fallback = fallbacks.next().filter(|s| **s != w.peer);
            out.extend(fallback.map(|s| Action::Announce(*s, w.version)));
        }
        self.pending_acks.retain(|w| w.resends_left > 0);
    }

    fn handle_busy(&mut self, from: Option<SocketAddr>, others: &[SocketAddr], now: Instant) {
        self.counts.busy += 1;
        let new_sources = others.iter().filter(|o| Some(**o) != from);
        for other in new_sources.copied().collect::<SmallVec<[_; 4]>>() {
            if self.sources.len() < SOURCES_MAX && !self.sources.contains(&other) {
                self.sources.push(other);
            }
        }
        self.schedule_retry(now);
    }

    fn handle_failure(&mut self, from: Option<SocketAddr>, now: Instant) {
        self.sources.retain(|s| Some(*s) != from);
        self.schedule_retry(now);
    }

    fn schedule_retry(&mut self, now: Instant) {
        let ceiling = PULL_BACKOFF_BASE * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        let wait = ceiling
            .min(PULL_BACKOFF_MAX)
            .mul_f64(0.5 + self.rng.f64() / 2.0);
        self.retry_at = Some(now + wait);
    }
}

//! Distribution of accepted versions: version numbers are announced at once, content is pulled on
//! demand.
//!
//! A node that adopts a version announces it to a few peers immediately. A node that learns of a
//! newer version pulls the missing deltas, verifies the digest of the result and replaces its
//! snapshot as a whole. The version of the current snapshot never decreases.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::state::id::Version;
use crate::state::snapshot::{Delta, Snapshot};

/// Number of deltas kept for peers that are a few versions behind.
pub const DELTAS_MAX: usize = 64;
/// Time to wait for an acknowledgement before the announcement is sent to another peer as well.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(200);
/// Time to wait for the reply to a pull before another peer is tried.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Base of the exponential backoff after a pull without a usable result.
pub const PULL_BACKOFF_BASE: Duration = Duration::from_millis(50);
/// Maximum backoff between pulls.
pub const PULL_BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Number of consecutive pulls without a usable result after which the configuration is read from
/// the platform.
const FAILURES_BEFORE_PLATFORM: u32 = 4;
/// Number of peers remembered as sources of the newest known version.
const SOURCES_MAX: usize = 8;
/// Number of times an unacknowledged announcement is sent again.
const RESENDS_MAX: u8 = 2;

/// Reply of a peer to a pull; also used for the result of a read from the platform.
#[derive(Clone, Debug)]
pub enum PullReply {
    /// All deltas after the requested version, in order.
    Deltas(Vec<Arc<Delta>>),
    /// The whole configuration, because the gap is longer than the deltas kept.
    Snapshot(Arc<Snapshot>),
    /// The peer already serves its maximum number of pulls. It names other peers that hold the
    /// version.
    Busy(Vec<SocketAddr>),
    /// The peer has no newer version.
    UpToDate,
    /// The peer did not reply, or its reply could not be decoded.
    Failed,
}

/// Action for the node to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Announce the current version to a peer.
    Announce(SocketAddr, Version),
    /// Acknowledge an announcement.
    Acknowledge(SocketAddr, Version),
    /// Pull the versions after the current one from a peer.
    Pull {
        /// Peer to pull from.
        from: SocketAddr,
        /// Current version, or zero to request the whole configuration.
        since: Version,
        /// Matches the reply to this request.
        fetch_id: u64,
    },
    /// Read the configuration from the platform.
    ReadPlatform {
        /// Matches the result to this read.
        fetch_id: u64,
    },
    /// Make this snapshot the current configuration.
    Adopt(Arc<Snapshot>),
}

/// Actions to perform, in order.
pub type Actions = Vec<Action>;

/// Counts of distribution events since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DistributionCounts {
    /// Versions adopted.
    pub adopted: u64,
    /// Pulls sent to peers.
    pub pulls: u64,
    /// Pulls that a peer replied to with [`PullReply::Busy`].
    pub busy: u64,
    /// Received deltas that did not apply or did not produce the accepted digest.
    pub mismatches: u64,
    /// Snapshots rejected because they were older than the current one.
    pub refused: u64,
}

#[derive(Debug)]
struct Fetch {
    fetch_id: u64,
    /// Peer that the request was sent to, or `None` for the platform.
    from: Option<SocketAddr>,
    started_at: Instant,
}

#[derive(Debug)]
struct PendingAck {
    peer: SocketAddr,
    version: Version,
    sent_at: Instant,
    resends_left: u8,
}

/// State machine that distributes versions on one node.
#[derive(Debug)]
pub struct Distribution {
    current: Arc<Snapshot>,
    newest_known: Version,
    deltas: VecDeque<Arc<Delta>>,
    /// Peers that hold the newest known version.
    sources: SmallVec<[SocketAddr; SOURCES_MAX]>,
    /// Pull or platform read in progress.
    fetch: Option<Fetch>,
    retry_at: Option<Instant>,
    /// Number of consecutive fetches without a usable result.
    failures: u32,
    /// Whether to pull the whole configuration, because deltas did not apply.
    need_snapshot: bool,
    pending_acks: Vec<PendingAck>,
    /// Identifier of the last fetch.
    fetch_id: u64,
    rng: fastrand::Rng,
    counts: DistributionCounts,
}

impl Distribution {
    /// Creates the state machine with the current snapshot; a new node starts with the empty one at
    /// version zero.
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

    /// The current snapshot.
    pub fn current(&self) -> &Arc<Snapshot> {
        &self.current
    }

    /// The newest version that this node knows of, whether or not it holds that version.
    pub fn newest_known(&self) -> Version {
        self.newest_known
    }

    /// Counts of events.
    pub fn counts(&self) -> DistributionCounts {
        self.counts
    }

    /// Handles a version reported by a peer that holds it.
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

    /// Handles an announcement, which the peer expects to be acknowledged.
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

    /// Handles a peer's acknowledgement of an announcement.
    pub fn handle_ack(&mut self, from: SocketAddr, version: Version) {
        self.pending_acks
            .retain(|ack| ack.peer != from || ack.version > version);
    }

    /// Handles a version read from the platform's head, which no peer may hold yet.
    pub fn handle_head_change(&mut self, version: Version, now: Instant, out: &mut Actions) {
        if version <= self.current.version() {
            return;
        }
        self.newest_known = self.newest_known.max(version);
        if self.fetch.is_none() {
            self.start_platform_read(now, out);
        }
    }

    /// Handles the end of a pull or of a platform read. A new version is announced to `peers`.
    pub fn handle_fetch_result(
        &mut self,
        fetch_id: u64,
        result: PullReply,
        peers: &[SocketAddr],
        now: Instant,
        out: &mut Actions,
    ) {
        if self.fetch.as_ref().is_none_or(|f| f.fetch_id != fetch_id) {
            return;
        }
        let from = self.fetch.take().and_then(|f| f.from);
        match result {
            PullReply::Deltas(deltas) => self.apply_deltas(deltas, peers, now, out),
            PullReply::Snapshot(snapshot) => {
                self.adopt_if_newer(snapshot, Vec::new(), peers, now, out)
            }
            PullReply::Busy(others) => self.handle_busy(from, &others, now),
            PullReply::UpToDate | PullReply::Failed => self.handle_failure(from, now),
        }
        if self.retry_at.is_none() {
            self.pull_if_behind(now, out);
        }
    }

    /// Performs all actions that are due. Each announcement that was not acknowledged is also sent
    /// to one of `fallbacks`, which lists peers from nearest to farthest.
    pub fn tick(&mut self, fallbacks: &[SocketAddr], now: Instant, out: &mut Actions) {
        self.resend_announcements(fallbacks, now, out);
        let timed_out = |f: &Fetch| now - f.started_at >= PULL_TIMEOUT;
        if self.fetch.as_ref().is_some_and(timed_out) {
            let from = self.fetch.take().and_then(|f| f.from);
            self.handle_failure(from, now);
        }
        if self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
            self.pull_if_behind(now, out);
        }
    }

    /// Reply to a peer that holds version `since`; zero requests the whole configuration.
    pub fn answer_pull(&self, since: Version) -> PullReply {
        if since >= self.current.version() {
            return PullReply::UpToDate;
        }
        let next = self.deltas.iter().position(|d| d.base == since);
        if let Some(at) = next.filter(|_| since.0 > 0) {
            return PullReply::Deltas(self.deltas.iter().skip(at).cloned().collect());
        }
        PullReply::Snapshot(self.current.clone())
    }

    /// Peers that hold the newest known version; a busy node names them in its reply.
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
            started_at: now,
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

    /// Adopts a snapshot that is newer than the current one and announces it to `peers`; rejects an
    /// older one. `deltas` lead to the snapshot and are kept for peers that are a few versions
    /// behind.
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
        self.append_deltas(deltas, snapshot.version());
        self.current = snapshot;
        self.newest_known = self.newest_known.max(self.current.version());
        self.failures = 0;
        self.need_snapshot = false;
        self.retry_at = None;
        self.counts.adopted += 1;
        out.push(Action::Adopt(self.current.clone()));
        self.announce(peers, now, out);
    }

    /// Appends deltas to those kept for other peers. A gap drops the deltas before it, because
    /// peers could not apply them; all are dropped if the last one does not produce version
    /// `newest`, for example when a snapshot arrived without its deltas.
    fn append_deltas(&mut self, deltas: Vec<Arc<Delta>>, newest: Version) {
        for d in deltas {
            let last = self.deltas.back().map(|kept| kept.version);
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
        // The known sources already hold the version and need no announcement.
        let informed = match self.newest_known == version {
            true => std::mem::take(&mut self.sources),
            false => SmallVec::new(),
        };
        for peer in peers.iter().filter(|p| !informed.contains(p)) {
            out.push(Action::Announce(*peer, version));
            self.pending_acks.push(PendingAck {
                peer: *peer,
                version,
                sent_at: now,
                resends_left: RESENDS_MAX,
            });
        }
    }

    /// Sends each unacknowledged announcement again, in case the datagram was lost, and to a
    /// fallback peer as well, in case the first peer has failed.
    fn resend_announcements(&mut self, fallbacks: &[SocketAddr], now: Instant, out: &mut Actions) {
        let mut fallbacks = fallbacks.iter().cycle();
        for ack in &mut self.pending_acks {
            if now - ack.sent_at < ACK_TIMEOUT {
                continue;
            }
            ack.resends_left -= 1;
            ack.sent_at = now;
            out.push(Action::Announce(ack.peer, ack.version));
            let fallback = fallbacks.next().filter(|s| **s != ack.peer);
            out.extend(fallback.map(|s| Action::Announce(*s, ack.version)));
        }
        self.pending_acks.retain(|ack| ack.resends_left > 0);
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

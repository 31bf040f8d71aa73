//! Requests that crash the targets that run them: notices that the local target has ended and which
//! requests it was running, tells the fleet, and refuses a request that has crashed too many.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;

use super::fingerprint::fingerprint_text;
use super::{Node, lock, unix_millis};
use crate::coordination::crash_table::{EndId, EndRecord, Verdict};
use crate::coordination::outcome::NotRun;
use crate::node::config::LocalTarget;
use crate::protocol::datagram::Datagram;
use crate::state::id::{Fingerprint, Fingerprints};
use crate::state::member::TargetStart;
use crate::transport::platform::Platform;

/// Time after the first broken connection until the others of a target that ended have broken too.
const BREAK_SETTLE_TIME: Duration = Duration::from_millis(10);
/// Timeout for the connection that shows whether the target has ended.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of peers that a new end is sent to at once.
const FIRST_PEERS: usize = 16;
/// Number of peers that each batch of gossip is sent to.
const GOSSIP_PEERS: usize = 2;
/// Number of times that an end is gossiped, in addition to the binary logarithm of the fleet's size.
const BASE_TRANSMISSIONS: u32 = 2;
/// Maximum number of ends in a batch of gossip.
const NEWS_MAX: usize = 16;
/// Ticks between batches of gossip: 0.2 s.
const GOSSIP_TICKS: u32 = 4;
/// Ticks between comparisons of the known ends with a peer: 2 s.
const DIGEST_TICKS: u32 = 40;
/// Time after the start for which a node without any end asks its peers for them.
const ASK_TIME: Duration = Duration::from_secs(10);
/// Maximum number of datagrams in a reply with all known ends.
const REPAIR_DATAGRAMS_MAX: usize = 16;
/// Size of the records in one datagram, below the limit of a datagram by its other fields.
const RECORDS_MAX_BYTES: usize = 1200;
/// Size of a record without its fingerprints.
const RECORD_BASE_BYTES: usize = 32;

impl<P: Platform> Node<P> {
    /// Records that the connection to the local target broke while it ran a request, and checks
    /// whether the target has ended.
    pub(super) fn note_broken(
        self: &Arc<Self>,
        start: &TargetStart,
        fingerprints: &Fingerprints,
        target: &LocalTarget,
    ) {
        let check = lock(&self.broken_attempts).record(start, fingerprints, Instant::now());
        if check {
            let (node, start, target) = (self.clone(), start.clone(), target.clone());
            tokio::spawn(async move { node.check_target_end(start, target).await });
        }
    }

    /// Connects to the local target to find out whether it has ended. One that has said that it is
    /// leaving ends as planned, whatever it runs.
    async fn check_target_end(self: Arc<Self>, start: TargetStart, target: LocalTarget) {
        tokio::time::sleep(BREAK_SETTLE_TIME).await;
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address));
        let has_ended = matches!(connect.await, Ok(Err(_)));
        let concerned = lock(&self.broken_attempts).take(&start, Instant::now());
        if !has_ended || self.is_target_leaving() {
            return;
        }
        let (instance, boot) = &start;
        let end = EndId::new(instance, *boot, unix_millis());
        log::warn!(
            "target ended instance={instance} boot={boot} end={end} running={}",
            fingerprint_text(&concerned)
        );
        let record = EndRecord {
            end,
            concerned,
            cleared: 0,
        };
        if self.merge_end(&record, Instant::now()) {
            self.send_first_news();
        }
    }

    /// Records that a request was answered: none that crashes its targets ever is.
    pub(super) fn note_answered(&self, fingerprints: &Fingerprints) {
        if !lock(&self.crash_table).clear(fingerprints) {
            return;
        }
        log::info!(
            "request answered after a target ended while it ran fingerprints={}",
            fingerprint_text(fingerprints)
        );
        self.send_first_news();
    }

    /// Whether a request must not run because it has crashed too many targets.
    pub(super) fn is_refused(&self, fingerprints: &Fingerprints) -> bool {
        let verdict = lock(&self.crash_table).verdict(fingerprints);
        matches!(verdict, Verdict::Refuse(_))
    }

    /// Logs the refusal of a request, with the ends of targets that decided it.
    pub(super) fn log_crash_refusal(&self, request_id: &str, fingerprints: &Fingerprints) {
        let table = lock(&self.crash_table);
        let ends: Vec<String> = table.ends(fingerprints).map(|e| e.to_string()).collect();
        log::info!(
            "refused id={request_id} reason={} fingerprints={} ends={}",
            NotRun::CrashesTargets,
            fingerprint_text(fingerprints),
            ends.join(",")
        );
    }

    /// Waits until a request may run at the local target. Of the requests under which a target has
    /// ended, only one runs at a time, so that the next end shows which one is the cause.
    pub(super) async fn take_turn(
        &self,
        fingerprints: &Fingerprints,
        deadline: Instant,
    ) -> Result<Option<SemaphorePermit<'_>>, NotRun> {
        let verdict = || lock(&self.crash_table).verdict(fingerprints);
        match verdict() {
            Verdict::Refuse(_) => return Err(NotRun::CrashesTargets),
            Verdict::Clear => return Ok(None),
            Verdict::Suspect(_) => {}
        }
        let half_left = deadline.saturating_duration_since(Instant::now()) / 2;
        let turn = tokio::time::timeout(half_left, self.suspect_turn.acquire());
        let Ok(Ok(turn)) = turn.await else {
            return Err(NotRun::QueueFull);
        };
        match verdict() {
            Verdict::Refuse(_) => Err(NotRun::CrashesTargets),
            Verdict::Clear => Ok(None),
            Verdict::Suspect(_) => Ok(Some(turn)),
        }
    }

    fn merge_end(&self, record: &EndRecord, now: Instant) -> bool {
        let nodes = self.members_alive().max(1);
        let mut table = lock(&self.crash_table);
        table.set_transmissions(BASE_TRANSMISSIONS + nodes.ilog2());
        table.merge(record, now)
    }

    /// Handles ends of targets that a peer has sent.
    pub(super) fn handle_ends(&self, records: &[EndRecord], now: Instant) {
        for record in records {
            self.merge_end(record, now);
        }
    }

    /// Sends all known ends to a peer that knows of others, or asks it for its own.
    pub(super) fn answer_ends_digest(&self, from: SocketAddr, digest: u64) {
        let (own_digest, records) = {
            let table = lock(&self.crash_table);
            let own_digest = table.digest();
            match own_digest == digest {
                true => return,
                false => (own_digest, table.records().cloned().collect::<Vec<_>>()),
            }
        };
        if records.is_empty() {
            return self.send(from, &Datagram::EndsDigest(own_digest));
        }
        for records in datagram_chunks(records).take(REPAIR_DATAGRAMS_MAX) {
            self.send(from, &Datagram::Ends(records));
        }
    }

    /// Gossips new ends of targets, and compares the known ones with a peer from time to time. A node
    /// that knows of none asks for them for a while after its start.
    pub(super) fn spread_ends(&self, ticks: u32) {
        if ticks.is_multiple_of(GOSSIP_TICKS) && !lock(&self.crash_table).is_empty() {
            let peers = lock(&self.members).sample_news_peers(GOSSIP_PEERS);
            self.send_news(peers);
        }
        let asks = self.started.elapsed() < ASK_TIME || !lock(&self.crash_table).is_empty();
        if ticks.is_multiple_of(DIGEST_TICKS) && asks {
            let digest = {
                let mut table = lock(&self.crash_table);
                table.expire(Instant::now());
                table.digest()
            };
            let peers = lock(&self.members).sample_peers(1);
            for peer in peers {
                self.send(peer, &Datagram::EndsDigest(digest));
            }
        }
    }

    /// Sends new ends to many peers at once; in a small fleet, to all.
    fn send_first_news(&self) {
        let peers = lock(&self.members).sample_peers(FIRST_PEERS);
        self.send_news(peers);
    }

    /// Sends the ends that are still to be gossiped to some peers.
    fn send_news(&self, peers: Vec<SocketAddr>) {
        let news = lock(&self.crash_table).take_news(NEWS_MAX);
        for records in datagram_chunks(news) {
            let datagram = Datagram::Ends(records);
            for peer in &peers {
                self.send(*peer, &datagram);
            }
        }
    }

    fn is_target_leaving(&self) -> bool {
        lock(&self.announced_target).is_leaving() || lock(&self.target_notices).is_leaving()
    }
}

/// Divides records among datagrams.
fn datagram_chunks(records: Vec<EndRecord>) -> impl Iterator<Item = Vec<EndRecord>> {
    let mut records = records.into_iter().peekable();
    std::iter::from_fn(move || {
        let mut chunk = vec![records.next()?];
        let size = |r: &EndRecord| RECORD_BASE_BYTES + size_of::<Fingerprint>() * r.concerned.len();
        let mut bytes = size(&chunk[0]);
        while let Some(next) = records.next_if(|r| bytes + size(r) <= RECORDS_MAX_BYTES) {
            bytes += size(&next);
            chunk.push(next);
        }
        Some(chunk)
    })
}

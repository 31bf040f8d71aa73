//! Failure detection: direct and indirect probes, suspicion, and the local health score.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{Members, Message, Outbox, Probe, Relay};
use crate::state::member::{Health, MemberRecord};

/// Interval between probes.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time to wait for an acknowledgement before other peers are asked to probe; multiplied by one
/// plus the local health score.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a suspected member has to refute the suspicion; extended by the local health score.
pub const SUSPICION_TIMEOUT_BASE: Duration = Duration::from_secs(3);
/// Time for which gone members are kept in the table and probed again.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);
/// Number of peers asked to send an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// Maximum of the local health score.
pub(super) const AWARENESS_MAX: u32 = 8;
/// A gap between ticks of at least this length means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

impl Members {
    pub(super) fn send_ack(&mut self, to: SocketAddr, sequence: u32, out: &mut Outbox) {
        let summary = self.summary();
        let records = self.take_gossip();
        out.push((
            to,
            Message::Ack {
                sequence,
                summary,
                records,
            },
        ));
    }

    /// Pings `peer` on behalf of `origin`, which could not reach it.
    pub(super) fn relay_ping(
        &mut self,
        origin: SocketAddr,
        sequence: u32,
        peer: SocketAddr,
        now: Instant,
        out: &mut Outbox,
    ) {
        let relay_sequence = self.next_sequence();
        self.relays
            .retain(|_, r| now - r.sent_at < PROBE_PERIOD * 2);
        let sent_at = now;
        self.relays.insert(
            relay_sequence,
            Relay {
                origin,
                sequence,
                sent_at,
            },
        );
        let summary = self.summary();
        let records = Vec::new();
        out.push((
            peer,
            Message::Ping {
                sequence: relay_sequence,
                summary,
                records,
            },
        ));
    }

    /// Handles an acknowledgement: forwards it if the ping was sent on behalf of another node, or
    /// else ends the probe in progress if it matches.
    pub(super) fn handle_ack(&mut self, from: SocketAddr, sequence: u32, out: &mut Outbox) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let sequence = relay.sequence;
            let summary = self.summary();
            let records = Vec::new();
            out.push((
                relay.origin,
                Message::Ack {
                    sequence,
                    summary,
                    records,
                },
            ));
            return;
        }
        let matches = |p: &Probe| p.sequence == sequence && (p.peer == from || p.indirect);
        if self.probe.as_ref().is_some_and(matches) {
            self.probe = None;
            self.awareness = self.awareness.saturating_sub(1);
        }
    }

    /// Detects that this process was paused. Its observations from before the pause are then no
    /// longer valid: the probe in progress is dropped, suspicions are extended by the length of the
    /// pause, and the local health score is raised. The node also publishes its record again.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.counts.pauses += 1;
        self.awareness = (self.awareness + 2).min(AWARENESS_MAX);
        self.probe = None;
        self.suspects.values_mut().for_each(|at| *at += gap);
        self.next_probe = now + PROBE_PERIOD;
        self.publish();
    }

    /// Checks the probe in progress: asks other peers to probe as well after [`PROBE_TIMEOUT`], and
    /// suspects the peer after [`PROBE_PERIOD`], both scaled by the local health score.
    pub(super) fn check_probe(&mut self, now: Instant, out: &mut Outbox) {
        let Some(probe) = &self.probe else {
            return;
        };
        let waited = now - probe.sent_at;
        let scale = 1 + self.awareness;
        if !probe.indirect && waited >= PROBE_TIMEOUT * scale {
            self.start_indirect_probes(out);
        }
        let (peer, limit) = match &self.probe {
            Some(p) => (p.peer, PROBE_PERIOD * scale),
            None => return,
        };
        if waited >= limit {
            self.probe = None;
            self.awareness = (self.awareness + 1).min(AWARENESS_MAX);
            self.mark_suspect(peer, now);
            self.ping(peer, out);
        }
    }

    pub(super) fn start_indirect_probes(&mut self, out: &mut Outbox) {
        let helpers = self.sample_peers(INDIRECT_PROBES + 1);
        let Some(probe) = &mut self.probe else {
            return;
        };
        probe.indirect = true;
        let (sequence, peer) = (probe.sequence, probe.peer);
        let helpers = helpers.into_iter().filter(|h| *h != peer);
        for helper in helpers.take(INDIRECT_PROBES) {
            out.push((helper, Message::PingRequest { sequence, peer }));
        }
    }

    /// Marks a live member as suspect, or as gone if it was leaving.
    pub(super) fn mark_suspect(&mut self, peer: SocketAddr, now: Instant) {
        let Some(current) = self.table.get(&peer) else {
            return;
        };
        if current.health >= Health::Suspect && current.health != Health::Leaving {
            return;
        }
        let mut record = (**current).clone();
        record.health = match record.health {
            Health::Leaving => Health::Gone,
            _ => Health::Suspect,
        };
        self.counts.suspected += 1;
        self.store_record(&record);
        self.track_health(&record, now);
    }

    /// Declares suspected members gone that have not refuted the suspicion in time.
    pub(super) fn check_suspects(&mut self, now: Instant) {
        let expired: Vec<SocketAddr> = self
            .suspects
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in expired {
            self.suspects.remove(&peer);
            let Some(current) = self.table.get(&peer) else {
                continue;
            };
            let mut record = (**current).clone();
            record.health = Health::Gone;
            self.counts.declared += 1;
            self.store_record(&record);
            self.track_health(&record, now);
        }
    }

    /// Removes members from the table that have been gone for [`GONE_RETENTION`].
    pub(super) fn evict_gone(&mut self, now: Instant) {
        let is_due = |(_, at): &(&SocketAddr, &Instant)| **at <= now;
        let expired: Vec<SocketAddr> = self.gone.iter().filter(is_due).map(|(p, _)| *p).collect();
        for peer in expired {
            self.gone.remove(&peer);
            self.gossip.remove(&peer);
            self.table.remove(&peer);
        }
    }

    pub(super) fn start_probe(&mut self, now: Instant, out: &mut Outbox) {
        if self.probe.is_some() {
            return;
        }
        let Some(peer) = self.next_probe_peer() else {
            return;
        };
        let sequence = self.ping(peer, out);
        self.probe = Some(Probe {
            peer,
            sequence,
            sent_at: now,
            indirect: false,
        });
    }

    pub(super) fn ping(&mut self, peer: SocketAddr, out: &mut Outbox) -> u32 {
        let sequence = self.next_sequence();
        let summary = self.summary();
        let mut records = self.take_gossip();
        // A member that is recorded as suspect, leaving or gone receives this record, so that it
        // can refute it at once.
        let current = self.table.get(&peer);
        let suspected = current.filter(|r| r.health >= Health::Suspect);
        records.extend(suspected.map(|r| (**r).clone()));
        out.push((
            peer,
            Message::Ping {
                sequence,
                summary,
                records,
            },
        ));
        sequence
    }

    /// Round robin over a shuffled list, so that every live member is probed within a bounded time.
    pub(super) fn next_probe_peer(&mut self) -> Option<SocketAddr> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.probe_round();
            }
            let peer = self.probe_order.pop()?;
            let alive = |r: &Arc<MemberRecord>| r.health.is_alive();
            if self.table.get(&peer).is_some_and(alive) {
                return Some(peer);
            }
        }
    }

    /// Pings one gone member, chosen at random.
    pub(super) fn ping_gone(&mut self, out: &mut Outbox) {
        let gone = self.rng.choice(self.gone.keys().copied());
        if let Some(peer) = gone {
            self.ping(peer, out);
        }
    }

    pub(super) fn suspicion_timeout(&self) -> Duration {
        SUSPICION_TIMEOUT_BASE * (1 + self.awareness / 2)
    }
}

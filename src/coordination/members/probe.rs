//! Failure detection: probes, indirect probes, suspicion, and the node's doubt of itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{Members, Message, Outbox, Probe, Relay};
use crate::state::member::{Health, MemberRecord};

/// Interval between probes.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time within which a probe is answered, before others are asked to probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a suspect has to refute.
pub const SUSPICION: Duration = Duration::from_secs(3);
/// Time for which gone members are remembered and retried.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);
/// Peers asked to probe on this node's behalf.
const INDIRECT_PROBES: usize = 3;
/// Highest local health score.
pub(super) const AWARENESS_MAX: u32 = 8;
/// A gap between ticks beyond this means that the process was paused.
const PAUSE: Duration = Duration::from_millis(1500);

impl Members {
    pub(super) fn acknowledge(&mut self, to: SocketAddr, sequence: u32, out: &mut Outbox) {
        let brief = self.brief();
        let records = self.pick_news();
        out.push((
            to,
            Message::Ack {
                sequence,
                brief,
                records,
            },
        ));
    }

    pub(super) fn relay(
        &mut self,
        origin: SocketAddr,
        sequence: u32,
        target: SocketAddr,
        now: Instant,
        out: &mut Outbox,
    ) {
        let own = self.next_sequence();
        self.relays.retain(|_, r| now - r.sent < PROBE_PERIOD * 2);
        let sent = now;
        self.relays.insert(
            own,
            Relay {
                origin,
                sequence,
                sent,
            },
        );
        let brief = self.brief();
        let records = Vec::new();
        out.push((
            target,
            Message::Ping {
                sequence: own,
                brief,
                records,
            },
        ));
    }

    pub(super) fn acknowledged(&mut self, from: SocketAddr, sequence: u32, out: &mut Outbox) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let sequence = relay.sequence;
            let brief = self.brief();
            let records = Vec::new();
            out.push((
                relay.origin,
                Message::Ack {
                    sequence,
                    brief,
                    records,
                },
            ));
            return;
        }
        let matches = |p: &Probe| p.sequence == sequence && (p.target == from || p.indirect);
        if self.probe.as_ref().is_some_and(matches) {
            self.probe = None;
            self.awareness = self.awareness.saturating_sub(1);
        }
    }

    pub(super) fn notice_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < PAUSE {
            return;
        }
        self.counts.pauses += 1;
        self.awareness = (self.awareness + 2).min(AWARENESS_MAX);
        self.probe = None;
        self.suspects.values_mut().for_each(|at| *at += gap);
        self.next_probe = now + PROBE_PERIOD;
        self.publish();
    }

    pub(super) fn check_probe(&mut self, now: Instant, out: &mut Outbox) {
        let Some(probe) = &self.probe else {
            return;
        };
        let waited = now - probe.sent;
        let scale = 1 + self.awareness;
        if !probe.indirect && waited >= PROBE_TIMEOUT * scale {
            self.ask_others(out);
        }
        let (target, limit) = match &self.probe {
            Some(p) => (p.target, PROBE_PERIOD * scale),
            None => return,
        };
        if waited >= limit {
            self.probe = None;
            self.awareness = (self.awareness + 1).min(AWARENESS_MAX);
            self.suspect(target, now);
            self.ping(target, out);
        }
    }

    pub(super) fn ask_others(&mut self, out: &mut Outbox) {
        let helpers = self.sample(INDIRECT_PROBES + 1);
        let Some(probe) = &mut self.probe else {
            return;
        };
        probe.indirect = true;
        let (sequence, target) = (probe.sequence, probe.target);
        let helpers = helpers.into_iter().filter(|h| *h != target);
        for helper in helpers.take(INDIRECT_PROBES) {
            out.push((helper, Message::PingRequest { sequence, target }));
        }
    }

    pub(super) fn suspect(&mut self, target: SocketAddr, now: Instant) {
        let Some(held) = self.table.get(&target) else {
            return;
        };
        if held.health >= Health::Suspect && held.health != Health::Leaving {
            return;
        }
        let mut claim = (**held).clone();
        claim.health = match claim.health {
            Health::Leaving => Health::Gone,
            _ => Health::Suspect,
        };
        self.counts.suspected += 1;
        self.store(&claim);
        self.note_health(&claim, now);
    }

    pub(super) fn check_suspects(&mut self, now: Instant) {
        let due: Vec<SocketAddr> = self
            .suspects
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in due {
            self.suspects.remove(&peer);
            let Some(held) = self.table.get(&peer) else {
                continue;
            };
            let mut claim = (**held).clone();
            claim.health = Health::Gone;
            self.counts.declared += 1;
            self.store(&claim);
            self.note_health(&claim, now);
        }
    }

    pub(super) fn forget_gone(&mut self, now: Instant) {
        let due = |(_, at): &(&SocketAddr, &Instant)| **at <= now;
        let due: Vec<SocketAddr> = self.gone.iter().filter(due).map(|(p, _)| *p).collect();
        for peer in due {
            self.gone.remove(&peer);
            self.news.remove(&peer);
            self.table.remove(&peer);
        }
    }

    pub(super) fn start_probe(&mut self, now: Instant, out: &mut Outbox) {
        if self.probe.is_some() {
            return;
        }
        let Some(target) = self.next_target() else {
            return;
        };
        let sequence = self.ping(target, out);
        self.probe = Some(Probe {
            target,
            sequence,
            sent: now,
            indirect: false,
        });
    }

    pub(super) fn ping(&mut self, target: SocketAddr, out: &mut Outbox) -> u32 {
        let sequence = self.next_sequence();
        let brief = self.brief();
        let mut records = self.pick_news();
        // A doubted member is told so, which lets it refute at once.
        let held = self.table.get(&target);
        let doubted = held.filter(|r| r.health >= Health::Suspect);
        records.extend(doubted.map(|r| (**r).clone()));
        out.push((
            target,
            Message::Ping {
                sequence,
                brief,
                records,
            },
        ));
        sequence
    }

    /// Round robin over a shuffled order, so that every live member is probed in bounded time.
    pub(super) fn next_target(&mut self) -> Option<SocketAddr> {
        loop {
            if self.order.is_empty() {
                self.order = self.peers().to_vec();
                self.rng.shuffle(&mut self.order);
            }
            let peer = self.order.pop()?;
            let alive = |r: &Arc<MemberRecord>| r.health.is_alive();
            if self.table.get(&peer).is_some_and(alive) {
                return Some(peer);
            }
        }
    }

    pub(super) fn retry_gone(&mut self, out: &mut Outbox) {
        let gone = self.rng.choice(self.gone.keys().copied());
        if let Some(peer) = gone {
            self.ping(peer, out);
        }
    }

    pub(super) fn patience(&self) -> Duration {
        SUSPICION * (1 + self.awareness / 2)
    }
}

//! Spreading of records: gossip that stops early, and comparison of tables for what it left out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{Brief, Members, Message, Outbox};
use crate::state::member::{MemberRecord, TABLE_BUCKETS};

/// Shortest interval between offers of table digests.
pub const COMPARE_PERIOD: Duration = Duration::from_secs(2);
/// Differing buckets from which two tables are exchanged whole.
const BUCKETS_FOR_EXCHANGE: usize = 16;
/// Records for which an exchange waits one second longer; bounds its bytes to about 64 KB/s.
const RECORDS_PER_SECOND: usize = 1000;
/// Records in one datagram; keeps it under a common MTU of 1,400 bytes.
pub const RECORDS_PER_DATAGRAM: usize = 10;
/// Times a record is passed on, less one for each time it is heard again, beyond the logarithm
/// of the fleet's size.
const PASSES: u32 = 2;
/// Records under way beyond which each is passed on `PASSES` times only; repair does the rest.
const NEWS_BUSY: usize = 64;
/// Peers that a batch of news goes to at once.
const NEWS_FANOUT: usize = 2;

impl Members {
    /// Takes in the whole table of a peer, and passes on what that table lacks: two parts of a
    /// fleet that meet learn of each other both ways.
    pub fn exchange(&mut self, theirs: &[MemberRecord], now: Instant) {
        let known: HashMap<SocketAddr, &MemberRecord> =
            theirs.iter().map(|r| (r.peer, r)).collect();
        let lacks = |r: &&Arc<MemberRecord>| {
            let theirs = known.get(&r.peer);
            r.health.is_alive() && theirs.is_none_or(|t| t.precedence() < r.precedence())
        };
        let lacking: Vec<SocketAddr> = self.table.records().filter(lacks).map(|r| r.peer).collect();
        self.learn(theirs, now);
        // The peer asks for the whole itself when it lacks much.
        if lacking.len() < NEWS_BUSY {
            lacking.into_iter().for_each(|peer| self.spread_news(peer));
        }
    }

    /// A peer whose whole table is to be asked for, if one is due.
    pub fn take_exchange(&mut self) -> Option<SocketAddr> {
        self.exchange_with.take()
    }

    pub(super) fn spread_news(&mut self, peer: SocketAddr) {
        let more = match self.news.len() < NEWS_BUSY {
            true => self.table.alive_count().max(1).ilog2(),
            false => 0,
        };
        self.news.insert(peer, PASSES + more);
    }

    pub(super) fn heard_again(&mut self, peer: &SocketAddr) {
        if let Some(left) = self.news.get_mut(peer) {
            *left -= 1;
            if *left == 0 {
                self.news.remove(peer);
            }
        }
    }

    /// Offers this node's table digests when a peer's table differs, at a bounded rate.
    pub(super) fn compare(
        &mut self,
        from: SocketAddr,
        brief: Brief,
        now: Instant,
        out: &mut Outbox,
    ) {
        if brief.table != 0 && brief.table != self.table.digest() {
            self.offer_compare(from, now, out);
        }
    }

    pub(super) fn offer_compare(&mut self, from: SocketAddr, now: Instant, out: &mut Outbox) {
        if now < self.next_compare {
            return;
        }
        self.next_compare = now + COMPARE_PERIOD;
        let marks = Box::new(*self.table.bucket_digests());
        out.push((from, Message::Compare { marks }));
    }

    pub(super) fn answer_compare(
        &mut self,
        to: SocketAddr,
        marks: &[u64; TABLE_BUCKETS],
        out: &mut Outbox,
    ) {
        let differing: Vec<MemberRecord> = self
            .table
            .records_in_differing_buckets(marks)
            .map(|r| (**r).clone())
            .collect();
        let most = RECORDS_PER_DATAGRAM * 4;
        let chosen = self.rng.choose_multiple(differing, most);
        for records in chosen.chunks(RECORDS_PER_DATAGRAM) {
            let records = records.to_vec();
            out.push((to, Message::News { records }));
        }
    }

    /// Tables that differ in many places are exchanged whole, less often the larger they are.
    pub(super) fn plan_exchange(
        &mut self,
        with: SocketAddr,
        marks: &[u64; TABLE_BUCKETS],
        now: Instant,
    ) {
        let pairs = self.table.bucket_digests().iter().zip(marks);
        let differing = pairs.filter(|(a, b)| a != b).count();
        if differing < BUCKETS_FOR_EXCHANGE || now < self.next_exchange {
            return;
        }
        let pause = Duration::from_secs((self.table.len() / RECORDS_PER_SECOND) as u64);
        self.next_exchange = now + COMPARE_PERIOD + pause;
        self.exchange_with = Some(with);
    }

    pub(super) fn send_news(&mut self, out: &mut Outbox) {
        if self.news.is_empty() {
            return;
        }
        for peer in self.sample(NEWS_FANOUT) {
            let records = self.pick_news();
            if records.is_empty() {
                return;
            }
            out.push((peer, Message::News { records }));
        }
    }

    /// Takes the news passed on least so far, and counts one pass for each.
    pub(super) fn pick_news(&mut self) -> Vec<MemberRecord> {
        let mut fresh: Vec<(u32, SocketAddr)> = self.news.iter().map(|(p, n)| (*n, *p)).collect();
        fresh.sort_unstable_by(|a, b| b.cmp(a));
        fresh.truncate(RECORDS_PER_DATAGRAM);
        let mut records = Vec::with_capacity(fresh.len());
        for (_, peer) in fresh {
            records.extend(self.table.get(&peer).map(|r| (**r).clone()));
            self.heard_again(&peer);
        }
        records
    }
}

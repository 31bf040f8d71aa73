//! Requests that crash the targets that run them: which ends of targets a request was running at,
//! according to all nodes, and what follows for its next run.
//!
//! Each end of a target is one record that names the requests that were running. A request that ends
//! with a complete response, wherever it runs, is cleared from the records, because one that crashes
//! its targets is never answered. Records merge by union, so nodes may exchange them in any order and
//! any number of times. The table is bounded: a flood of different requests displaces the records of
//! those that have crashed the fewest targets.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use super::target_end::Concerned;
use crate::state::digest::DigestBuilder;
use crate::state::id::Fingerprint;

/// Number of targets that may end while they run a request before it is refused.
pub const ENDS_MAX: usize = 3;
/// Time for which the end of a target is remembered.
pub const RETENTION: Duration = Duration::from_secs(3600);
/// Maximum number of records.
pub const RECORDS_MAX: usize = 256;

/// Identifies one end of one target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct EndId(pub u64);

impl EndId {
    /// Identifies the end of the start of a target instance. If the start time is not known, `now_ms`
    /// tells the ends of an instance apart.
    pub fn new(instance: &str, boot: u64, now_ms: u64) -> EndId {
        let time = if boot == 0 { now_ms } else { boot };
        let mut builder = DigestBuilder::default();
        let digest = builder.text(instance).number(time).finish();
        let bytes = digest.0[..8].try_into();
        EndId(u64::from_le_bytes(
            bytes.expect("the slice has eight bytes"),
        ))
    }
}

/// The end of a target, and the requests that it was running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndRecord {
    /// Identifies the end.
    pub end: EndId,
    /// Fingerprints of the requests.
    pub concerned: Concerned,
    /// Bit set of the indexes in `concerned` that have been cleared.
    pub cleared: u128,
}

impl EndRecord {
    fn concerns(&self, fingerprint: Fingerprint) -> bool {
        let index = self.concerned.iter().position(|f| *f == fingerprint);
        index.is_some_and(|i| self.cleared & (1 << i) == 0)
    }

    fn uncleared(&self) -> impl Iterator<Item = Fingerprint> {
        let indexed = self.concerned.iter().enumerate();
        indexed
            .filter(|(i, _)| self.cleared & (1 << i) == 0)
            .map(|(_, f)| *f)
    }
}

/// What is known about a request that is about to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No target has ended while it ran, or it has been answered since.
    Clear,
    /// Targets have ended while it ran, this many, but too few to refuse it.
    Suspect(usize),
    /// It has crashed this many targets, and must not run.
    Refuse(usize),
}

#[derive(Debug)]
struct Entry {
    record: EndRecord,
    received_at: Instant,
    /// Number of times that the record is still to be gossiped.
    transmissions_left: u32,
}

/// The ends of targets that a node knows of.
#[derive(Debug, Default)]
pub struct CrashTable {
    entries: BTreeMap<EndId, Entry>,
    /// Number of uncleared records by fingerprint.
    counts: HashMap<Fingerprint, usize>,
    /// Times that a new record is gossiped.
    transmissions: u32,
}

impl CrashTable {
    /// Sets the number of times that each new or changed record is gossiped.
    pub fn set_transmissions(&mut self, transmissions: u32) {
        self.transmissions = transmissions;
    }

    /// Decides on a request with these fingerprints.
    ///
    /// ```
    /// use smallvec::smallvec;
    /// use tarragoncourse::coordination::crash_table::{CrashTable, EndId, EndRecord, Verdict};
    /// use tarragoncourse::state::id::Fingerprint;
    /// use tokio::time::Instant;
    ///
    /// let request = Fingerprint(7);
    /// let mut table = CrashTable::default();
    /// for end in 1..=3 {
    ///     let record = EndRecord { end: EndId(end), concerned: smallvec![request], cleared: 0 };
    ///     table.merge(&record, Instant::now());
    /// }
    /// assert_eq!(table.verdict(&[request]), Verdict::Refuse(3));
    /// table.clear(&[request]);
    /// assert_eq!(table.verdict(&[request]), Verdict::Clear);
    /// ```
    pub fn verdict(&self, fingerprints: &[Fingerprint]) -> Verdict {
        let counts = fingerprints.iter().filter_map(|f| self.counts.get(f));
        match counts.max().copied().unwrap_or(0) {
            0 => Verdict::Clear,
            n if n < ENDS_MAX => Verdict::Suspect(n),
            n => Verdict::Refuse(n),
        }
    }

    /// Merges a record. Returns whether it changed the table.
    pub fn merge(&mut self, record: &EndRecord, now: Instant) -> bool {
        let transmissions_left = self.transmissions;
        match self.entries.get_mut(&record.end) {
            Some(entry) if entry.record.concerned != record.concerned => return false,
            Some(entry) => {
                let cleared = entry.record.cleared | record.cleared;
                if cleared == entry.record.cleared {
                    entry.transmissions_left = entry.transmissions_left.saturating_sub(1);
                    return false;
                }
                let before = entry.record.clone();
                entry.record.cleared = cleared;
                entry.transmissions_left = transmissions_left;
                self.subtract(before.uncleared());
                let after: Concerned = self.entries[&record.end].record.uncleared().collect();
                self.add(after);
            }
            None => {
                self.evict(now);
                let entry = Entry {
                    record: record.clone(),
                    received_at: now,
                    transmissions_left,
                };
                self.entries.insert(record.end, entry);
                self.add(record.uncleared().collect());
            }
        }
        true
    }

    /// Clears an answered request from all records. Returns whether there were any.
    pub fn clear(&mut self, fingerprints: &[Fingerprint]) -> bool {
        let mut changed = false;
        for fingerprint in fingerprints {
            if self.counts.remove(fingerprint).is_none() {
                continue;
            }
            changed = true;
            for entry in self.entries.values_mut() {
                let concerned = &entry.record.concerned;
                if let Some(index) = concerned.iter().position(|f| f == fingerprint) {
                    entry.record.cleared |= 1 << index;
                    entry.transmissions_left = self.transmissions;
                }
            }
        }
        changed
    }

    /// The ends that a request was running at.
    pub fn ends(&self, fingerprints: &[Fingerprint]) -> impl Iterator<Item = EndId> {
        let records = self.entries.values().map(|e| &e.record);
        records
            .filter(|r| fingerprints.iter().any(|f| r.concerns(*f)))
            .map(|r| r.end)
    }

    /// Takes up to `max` records that are still to be gossiped, and counts one transmission of each.
    pub fn take_news(&mut self, max: usize) -> Vec<EndRecord> {
        let pending = self
            .entries
            .values_mut()
            .filter(|e| e.transmissions_left > 0);
        let sent = pending.take(max).map(|e| {
            e.transmissions_left -= 1;
            e.record.clone()
        });
        sent.collect()
    }

    /// All records, for a node whose digest differs.
    pub fn records(&self) -> impl Iterator<Item = &EndRecord> {
        self.entries.values().map(|e| &e.record)
    }

    /// A digest of all records; zero if there are none.
    pub fn digest(&self) -> u64 {
        let digest = |r: &EndRecord| {
            let mut builder = DigestBuilder::default();
            let (low, high) = (r.cleared as u64, (r.cleared >> 64) as u64);
            let digest = builder.number(r.end.0).number(low).number(high).finish();
            let bytes = digest.0[..8].try_into();
            u64::from_le_bytes(bytes.expect("the slice has eight bytes"))
        };
        self.records().fold(0, |all, r| all ^ digest(r))
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no end is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of fingerprints that are refused.
    pub fn refused_count(&self) -> usize {
        self.counts.values().filter(|n| **n >= ENDS_MAX).count()
    }

    /// Forgets old records.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |e: &Entry| now - e.received_at >= RETENTION;
        let old: Vec<EndId> = self
            .entries
            .iter()
            .filter(|(_, e)| is_old(e))
            .map(|(end, _)| *end)
            .collect();
        old.into_iter().for_each(|end| self.remove(end));
    }

    /// Makes room for one record: removes the one whose requests have crashed the fewest targets,
    /// and the oldest of several.
    fn evict(&mut self, now: Instant) {
        self.expire(now);
        if self.entries.len() < RECORDS_MAX {
            return;
        }
        let weight = |e: &Entry| e.record.uncleared().map(|f| self.counts[&f]).max();
        let key = |e: &Entry| (weight(e).unwrap_or(0), e.received_at);
        let least = self.entries.iter().min_by_key(|(_, e)| key(e));
        if let Some(end) = least.map(|(end, _)| *end) {
            self.remove(end);
        }
    }

    fn remove(&mut self, end: EndId) {
        if let Some(entry) = self.entries.remove(&end) {
            self.subtract(entry.record.uncleared());
        }
    }

    fn add(&mut self, fingerprints: Concerned) {
        for fingerprint in fingerprints {
            *self.counts.entry(fingerprint).or_default() += 1;
        }
    }

    fn subtract(&mut self, fingerprints: impl Iterator<Item = Fingerprint>) {
        for fingerprint in fingerprints {
            if let Some(count) = self.counts.get_mut(&fingerprint) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&fingerprint);
                }
            }
        }
    }
}

//! The key-value store of the platform stand-in. It reads no clock: callers pass the current time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use crate::state::revision::{Era, Lease, Revision};
use crate::transport::platform::Value;

/// Maximum size of a value.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
struct Entry {
    value: Value,
    lease: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct LeaseTerm {
    ttl: Duration,
    expires: Instant,
}

/// Number of calls since the start. A watch counts as one read, independent of its duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct CallCounts {
    /// Gets, lists and watches.
    pub reads: u64,
    /// Compare-and-swaps, deletes, and all lease calls.
    pub writes: u64,
}

/// An in-memory key-value store with revisions and leases.
#[derive(Clone, Debug, Default)]
pub struct Store {
    entries: BTreeMap<String, Entry>,
    leases: HashMap<u64, LeaseTerm>,
    era: Era,
    revision: u64,
    next_lease: u64,
    /// Number of calls since the start. Updated by
    /// [`MemoryPlatform`](super::platform::MemoryPlatform), not by the store.
    pub call_counts: CallCounts,
}

impl Store {
    /// Number of times that the store has come back from an older copy.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Comes back from an older copy of the store: a new era starts, in which the revisions and
    /// leases after the copy are given out again.
    pub fn come_back_from(&mut self, copy: Store) {
        *self = Store {
            era: Era(self.era.0 + 1),
            call_counts: self.call_counts,
            ..copy
        };
    }

    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.entries.get(key).map(|e| self.read(e))
    }

    /// Reads all keys with a prefix.
    pub fn list(&self, prefix: &str) -> Vec<(String, Value)> {
        let following = self.entries.range(prefix.to_string()..);
        let matching = following.take_while(|(k, _)| k.starts_with(prefix));
        matching.map(|(k, e)| (k.clone(), self.read(e))).collect()
    }

    /// Writes a key if its revision is the expected one and the
    /// lease, if given, still exists. Returns the new revision, or `None` if nothing was written.
    pub fn compare_and_swap(
        &mut self,
        key: &str,
        text: &str,
        expected: Revision,
        lease: Option<Lease>,
    ) -> Option<Revision> {
        if lease.is_some_and(|l| l.era != self.era || !self.leases.contains_key(&l.number)) {
            return None;
        }
        let lease = lease.map(|l| l.number);
        if self.revision_of(key) != expected {
            return None;
        }
        self.revision += 1;
        let revision = Revision::new(self.era, self.revision);
        let value = Value {
            text: text.to_string(),
            revision,
        };
        self.entries.insert(key.to_string(), Entry { value, lease });
        Some(revision)
    }

    /// Removes a key if it exists and its revision is the expected one. Returns whether it did.
    pub fn delete(&mut self, key: &str, expected: Revision) -> bool {
        let matches = expected != Revision::ABSENT && self.revision_of(key) == expected;
        if matches {
            self.revision += 1;
            self.entries.remove(key);
        }
        matches
    }

    /// Grants a lease that expires after `ttl` unless it is renewed.
    pub fn grant_lease(&mut self, ttl: Duration, now: Instant) -> Lease {
        self.next_lease += 1;
        let expires = now + ttl;
        let term = LeaseTerm { ttl, expires };
        self.leases.insert(self.next_lease, term);
        Lease {
            era: self.era,
            number: self.next_lease,
        }
    }

    /// Renews a lease. Returns whether it still exists.
    pub fn renew_lease(&mut self, lease: Lease, now: Instant) -> bool {
        let found = self.leases.get_mut(&lease.number);
        let found = found.filter(|_| lease.era == self.era);
        found.map(|l| l.expires = now + l.ttl).is_some()
    }

    /// Removes a lease and the keys attached to it.
    pub fn revoke_lease(&mut self, lease: Lease) {
        if lease.era == self.era {
            self.remove_lease(lease.number);
        }
    }

    fn remove_lease(&mut self, number: u64) {
        self.leases.remove(&number);
        self.entries.retain(|_, e| e.lease != Some(number));
    }

    /// Removes expired leases and their keys.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired = |(_, l): &(&u64, &LeaseTerm)| l.expires <= now;
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(expired)
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|l| self.remove_lease(l));
    }

    /// Extends every lease by the given time. This simulates a stopped lease clock.
    pub fn extend_leases(&mut self, by: Duration) {
        self.leases.values_mut().for_each(|l| l.expires += by);
    }

    /// Returns the value of an entry, whose revision belongs to the era in which it is read.
    fn read(&self, entry: &Entry) -> Value {
        Value {
            text: entry.value.text.clone(),
            revision: Revision::new(self.era, entry.value.revision.number),
        }
    }

    fn revision_of(&self, key: &str) -> Revision {
        let entry = self.entries.get(key);
        entry.map_or(Revision::ABSENT, |e| self.read(e).revision)
    }
}

//! The key-value store of the platform stand-in. It reads no clock: callers pass the current time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use crate::transport::platform::Value;

/// Maximum size of a value.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
struct Entry {
    value: Value,
    lease: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
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
    leases: HashMap<u64, Lease>,
    revision: u64,
    next_lease: u64,
    /// Number of calls since the start. Updated by
    /// [`MemoryPlatform`](super::platform::MemoryPlatform), not by the store.
    pub call_counts: CallCounts,
}

impl Store {
    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.entries.get(key).map(|e| e.value.clone())
    }

    /// Reads all keys with a prefix.
    pub fn list(&self, prefix: &str) -> Vec<(String, Value)> {
        let following = self.entries.range(prefix.to_string()..);
        let matching = following.take_while(|(k, _)| k.starts_with(prefix));
        matching
            .map(|(k, e)| (k.clone(), e.value.clone()))
            .collect()
    }

    /// Writes a key if its revision is the expected one (zero if the key is absent) and the lease,
    /// if given, still exists. Returns the new revision, or `None` if nothing was written.
    pub fn compare_and_swap(
        &mut self,
        key: &str,
        text: &str,
        expected: u64,
        lease: Option<u64>,
    ) -> Option<u64> {
        if lease.is_some_and(|l| !self.leases.contains_key(&l)) {
            return None;
        }
        if self.revision_of(key) != expected {
            return None;
        }
        self.revision += 1;
        let value = Value {
            text: text.to_string(),
            revision: self.revision,
        };
        self.entries.insert(key.to_string(), Entry { value, lease });
        Some(self.revision)
    }

    /// Removes a key if it exists and its revision is the expected one. Returns whether it did.
    pub fn delete(&mut self, key: &str, expected: u64) -> bool {
        let matches = expected > 0 && self.revision_of(key) == expected;
        if matches {
            self.revision += 1;
            self.entries.remove(key);
        }
        matches
    }

    /// Grants a lease that expires after `ttl` unless it is renewed. Returns its id.
    pub fn grant_lease(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.next_lease += 1;
        let expires = now + ttl;
        self.leases.insert(self.next_lease, Lease { ttl, expires });
        self.next_lease
    }

    /// Renews a lease. Returns whether it still exists.
    pub fn renew_lease(&mut self, lease: u64, now: Instant) -> bool {
        let found = self.leases.get_mut(&lease);
        found.map(|l| l.expires = now + l.ttl).is_some()
    }

    /// Removes a lease and the keys attached to it.
    pub fn revoke_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.entries.retain(|_, e| e.lease != Some(lease));
    }

    /// Removes expired leases and their keys.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired = |(_, l): &(&u64, &Lease)| l.expires <= now;
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(expired)
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|l| self.revoke_lease(l));
    }

    /// Extends every lease by the given time. This simulates a stopped lease clock.
    pub fn extend_leases(&mut self, by: Duration) {
        self.leases.values_mut().for_each(|l| l.expires += by);
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |e| e.value.revision)
    }
}

//! The platform stand-in as a library: a store with faults behind the [`Platform`] trait.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::faults::Faults;
use super::store::{Calls, Store, VALUE_MAX};
use crate::protocol::dialect::NativeDialect;
use crate::transport::platform::{Platform, PlatformError, PlatformResult, Value};

#[derive(Debug)]
struct Inner {
    store: Store,
    faults: Faults,
    expired: Instant,
    second: Instant,
    writes: u64,
    reads: u64,
}

/// A platform in memory. Clones share one store.
#[derive(Clone, Debug)]
pub struct MemoryPlatform {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Read,
    Write,
}

impl Default for MemoryPlatform {
    fn default() -> Self {
        let now = Instant::now();
        let inner = Inner {
            store: Store::default(),
            faults: Faults::default(),
            expired: now,
            second: now,
            writes: 0,
            reads: 0,
        };
        MemoryPlatform {
            inner: Arc::new(Mutex::new(inner)),
            changed: Arc::new(Notify::new()),
        }
    }
}

impl MemoryPlatform {
    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// The present faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Calls counted since start.
    pub fn calls(&self) -> Calls {
        self.lock().store.calls
    }

    /// A copy of the whole store, to be put back later.
    pub fn backup(&self) -> Store {
        self.lock().store.clone()
    }

    /// Puts an older copy of the store back, as an operator's restore would.
    pub fn restore(&self, store: Store) {
        self.lock().store = store;
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn enter(&self, kind: Kind) -> PlatformResult<()> {
        let faults = {
            let mut inner = self.lock();
            inner.advance(Instant::now());
            inner.count(kind)?;
            inner.faults
        };
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if self.lock().faults.down {
            return Err(PlatformError::NoAnswer);
        }
        Ok(())
    }

    /// The answer to a write, unless a fault loses it.
    fn leave<T>(&self, answer: T) -> PlatformResult<T> {
        let mut inner = self.lock();
        self.changed.notify_waiters();
        if inner.faults.lose_answers > 0 {
            inner.faults.lose_answers -= 1;
            return Err(PlatformError::NoAnswer);
        }
        Ok(answer)
    }
}

impl Inner {
    fn advance(&mut self, now: Instant) {
        if self.faults.freeze_leases {
            self.store.extend_leases(now - self.expired);
        }
        self.expired = now;
        self.store.expire(now);
        if now - self.second >= Duration::from_secs(1) {
            self.second = now;
            (self.reads, self.writes) = (0, 0);
        }
    }

    fn count(&mut self, kind: Kind) -> PlatformResult<()> {
        let (done, most) = match kind {
            Kind::Read => {
                self.store.calls.reads += 1;
                self.reads += 1;
                (self.reads, self.faults.reads_per_second)
            }
            Kind::Write => {
                self.store.calls.writes += 1;
                self.writes += 1;
                (self.writes, self.faults.writes_per_second)
            }
        };
        if most > 0 && done > most {
            return Err(PlatformError::Refused("too many calls".to_string()));
        }
        Ok(())
    }
}

impl Platform for MemoryPlatform {
    type Dialect = NativeDialect;

    fn dialect(&self) -> &NativeDialect {
        &NativeDialect
    }

    async fn get(&self, key: &str) -> PlatformResult<Option<Value>> {
        self.enter(Kind::Read).await?;
        Ok(self.lock().store.get(key))
    }

    async fn swap(
        &self,
        key: &str,
        value: &str,
        expected: u64,
        lease: Option<u64>,
    ) -> PlatformResult<Option<u64>> {
        if value.len() > VALUE_MAX {
            let message = format!("value has {} bytes, {VALUE_MAX} are allowed", value.len());
            return Err(PlatformError::Refused(message));
        }
        self.enter(Kind::Write).await?;
        let swapped = self.lock().store.swap(key, value, expected, lease);
        self.leave(swapped)
    }

    async fn delete(&self, key: &str, expected: u64) -> PlatformResult<bool> {
        self.enter(Kind::Write).await?;
        let deleted = self.lock().store.delete(key, expected);
        self.leave(deleted)
    }

    async fn list(&self, prefix: &str) -> PlatformResult<Vec<(String, Value)>> {
        self.enter(Kind::Read).await?;
        Ok(self.lock().store.list(prefix))
    }

    async fn grant(&self, ttl: Duration) -> PlatformResult<u64> {
        self.enter(Kind::Write).await?;
        let lease = self.lock().store.grant(ttl, Instant::now());
        self.leave(lease)
    }

    async fn renew(&self, lease: u64) -> PlatformResult<bool> {
        self.enter(Kind::Write).await?;
        let renewed = self.lock().store.renew(lease, Instant::now());
        self.leave(renewed)
    }

    async fn revoke(&self, lease: u64) -> PlatformResult<()> {
        self.enter(Kind::Write).await?;
        self.lock().store.revoke(lease);
        self.leave(())
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> PlatformResult<Option<Value>> {
        self.enter(Kind::Read).await?;
        let end = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.lock().faults.down {
                return Err(PlatformError::NoAnswer);
            }
            let value = self.lock().store.get(key);
            if let Some(value) = value.filter(|v| v.revision != after) {
                return Ok(Some(value));
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                return Ok(None);
            }
        }
    }
}

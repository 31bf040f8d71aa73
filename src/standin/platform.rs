//! The platform stand-in as a library: an in-memory implementation of the [`Platform`] trait with
//! injectable faults.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::faults::PlatformFaults;
use super::store::{CallCounts, Store, VALUE_MAX_BYTES};
use crate::protocol::dialect::NativeDialect;
use crate::state::revision::{Era, Lease, Revision};
use crate::transport::era::EraTracker;
use crate::transport::platform::{Platform, PlatformError, PlatformResult, Value};

#[derive(Debug)]
struct Inner {
    store: Store,
    faults: PlatformFaults,
    /// When leases were last expired or extended.
    leases_updated: Instant,
    /// Start of the current one-second window of the rate limits.
    window_start: Instant,
    window_writes: u64,
    window_reads: u64,
}

/// A platform that keeps its data in memory. Clones share one store.
#[derive(Clone, Debug)]
pub struct MemoryPlatform {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
    era: EraTracker,
}

#[derive(Clone, Copy, PartialEq)]
enum CallKind {
    Read,
    Write,
}

impl Default for MemoryPlatform {
    fn default() -> Self {
        let now = Instant::now();
        let inner = Inner {
            store: Store::default(),
            faults: PlatformFaults::default(),
            leases_updated: now,
            window_start: now,
            window_writes: 0,
            window_reads: 0,
        };
        MemoryPlatform {
            inner: Arc::new(Mutex::new(inner)),
            changed: Arc::new(Notify::new()),
            era: EraTracker::default(),
        }
    }
}

impl MemoryPlatform {
    /// Sets the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// Returns the faults that are currently simulated.
    pub fn faults(&self) -> PlatformFaults {
        self.lock().faults
    }

    /// Number of calls since the start.
    pub fn call_counts(&self) -> CallCounts {
        self.lock().store.call_counts
    }

    /// Returns a copy of the store for [`MemoryPlatform::restore`].
    pub fn backup(&self) -> Store {
        self.lock().store.clone()
    }

    /// Comes back from an older copy of the store, in a new era.
    pub fn restore(&self, copy: Store) {
        self.lock().store.come_back_from(copy);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Counts a call, and applies the rate limits, the delay and the outage.
    async fn begin_call(&self, kind: CallKind) -> PlatformResult<()> {
        let faults = {
            let mut inner = self.lock();
            inner.advance_time(Instant::now());
            inner.count_call(kind)?;
            inner.faults
        };
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        let inner = self.lock();
        if inner.faults.down {
            return Err(PlatformError::Indeterminate);
        }
        self.era.observe(inner.store.era());
        Ok(())
    }

    /// Notifies the pending watches of a write. Returns the result of the write, or an error if the
    /// fault that loses responses is set.
    fn finish_write<T>(&self, result: T) -> PlatformResult<T> {
        let mut inner = self.lock();
        self.changed.notify_waiters();
        if inner.faults.lose_answers > 0 {
            inner.faults.lose_answers -= 1;
            return Err(PlatformError::Indeterminate);
        }
        Ok(result)
    }
}

impl Inner {
    /// Expires leases; while `freeze_leases` is set, first extends them by the elapsed time so that
    /// none expires. Resets the rate-limit counters when their one-second window has ended.
    fn advance_time(&mut self, now: Instant) {
        if self.faults.freeze_leases {
            self.store.extend_leases(now - self.leases_updated);
        }
        self.leases_updated = now;
        self.store.expire_leases(now);
        if now - self.window_start >= Duration::from_secs(1) {
            self.window_start = now;
            (self.window_reads, self.window_writes) = (0, 0);
        }
    }

    /// Counts a call; returns an error if it exceeds the rate limit of its kind.
    fn count_call(&mut self, kind: CallKind) -> PlatformResult<()> {
        let (used, limit) = match kind {
            CallKind::Read => {
                self.store.call_counts.reads += 1;
                self.window_reads += 1;
                (self.window_reads, self.faults.reads_per_second)
            }
            CallKind::Write => {
                self.store.call_counts.writes += 1;
                self.window_writes += 1;
                (self.window_writes, self.faults.writes_per_second)
            }
        };
        if limit > 0 && used > limit {
            return Err(PlatformError::Rejected(
                "rate limit exceeded; retry later".to_string(),
            ));
        }
        Ok(())
    }
}

impl Platform for MemoryPlatform {
    type Dialect = NativeDialect;

    fn dialect(&self) -> &NativeDialect {
        &NativeDialect
    }

    fn era(&self) -> Era {
        self.era.current()
    }

    async fn get(&self, key: &str) -> PlatformResult<Option<Value>> {
        self.begin_call(CallKind::Read).await?;
        Ok(self.lock().store.get(key))
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &str,
        expected: Revision,
        lease: Option<Lease>,
    ) -> PlatformResult<Option<Revision>> {
        if value.len() > VALUE_MAX_BYTES {
            let message = format!(
                "value has {} bytes, at most {VALUE_MAX_BYTES} are allowed",
                value.len()
            );
            return Err(PlatformError::Rejected(message));
        }
        self.begin_call(CallKind::Write).await?;
        let swapped = self
            .lock()
            .store
            .compare_and_swap(key, value, expected, lease);
        self.finish_write(swapped)
    }

    async fn delete(&self, key: &str, expected: Revision) -> PlatformResult<bool> {
        self.begin_call(CallKind::Write).await?;
        let deleted = self.lock().store.delete(key, expected);
        self.finish_write(deleted)
    }

    async fn list(&self, prefix: &str) -> PlatformResult<Vec<(String, Value)>> {
        self.begin_call(CallKind::Read).await?;
        Ok(self.lock().store.list(prefix))
    }

    async fn grant_lease(&self, ttl: Duration) -> PlatformResult<Lease> {
        self.begin_call(CallKind::Write).await?;
        let lease = self.lock().store.grant_lease(ttl, Instant::now());
        self.finish_write(lease)
    }

    async fn renew_lease(&self, lease: Lease) -> PlatformResult<bool> {
        self.begin_call(CallKind::Write).await?;
        let renewed = self.lock().store.renew_lease(lease, Instant::now());
        self.finish_write(renewed)
    }

    async fn revoke_lease(&self, lease: Lease) -> PlatformResult<()> {
        self.begin_call(CallKind::Write).await?;
        self.lock().store.revoke_lease(lease);
        self.finish_write(())
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> PlatformResult<Option<Value>> {
        self.begin_call(CallKind::Read).await?;
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.lock().faults.down {
                return Err(PlatformError::Indeterminate);
            }
            let value = self.lock().store.get(key);
            if let Some(value) = value.filter(|v| v.revision != after) {
                return Ok(Some(value));
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return Ok(None);
            }
        }
    }
}

//! Counts the calls to a platform by operation, and logs each of them.

use std::time::Duration;

use derive_more::Display;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use tokio::time::Instant;

use crate::coordination::rollout::{RolloutOrder, RolloutStatus};
use crate::state::revision::{Era, Lease, Revision};

use super::platform::{Document, DocumentUpdate, Platform, PlatformResult, Value};

/// An operation of the platform.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Operation {
    /// Reads a key.
    #[display("get")]
    Get,
    /// Writes a key by compare-and-swap.
    #[display("compare-and-swap")]
    CompareAndSwap,
    /// Deletes a key.
    #[display("delete")]
    Delete,
    /// Reads the keys with a prefix.
    #[display("list")]
    List,
    /// Creates a lease.
    #[display("grant-lease")]
    GrantLease,
    /// Renews a lease.
    #[display("renew-lease")]
    RenewLease,
    /// Revokes a lease.
    #[display("revoke-lease")]
    RevokeLease,
    /// Reads the orders to roll out versions.
    #[display("rollout-orders")]
    RolloutOrders,
    /// Reads what the operator was told about an order.
    #[display("rollout-status")]
    RolloutStatus,
    /// Tells the operator about an order.
    #[display("write-rollout-status")]
    WriteRolloutStatus,
    /// Watches a key.
    #[display("watch")]
    Watch,
    /// Reads the operator's document.
    #[display("read-document")]
    ReadDocument,
    /// Watches the operator's document.
    #[display("watch-document")]
    WatchDocument,
}

/// Label of the counter of an operation.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OperationLabel {
    operation: String,
}

/// Numbers of calls by operation. Clones share the counters.
pub type CallCounters = Family<OperationLabel, Counter>;

/// A platform whose calls are counted.
#[derive(Clone, Debug)]
pub struct CountedPlatform<P> {
    platform: P,
    counters: CallCounters,
}

impl<P: Platform> CountedPlatform<P> {
    /// Wraps a platform.
    pub fn new(platform: P, counters: CallCounters) -> CountedPlatform<P> {
        CountedPlatform { platform, counters }
    }

    async fn record<T>(
        &self,
        operation: Operation,
        call: impl Future<Output = PlatformResult<T>>,
    ) -> PlatformResult<T> {
        let label = OperationLabel {
            operation: operation.to_string(),
        };
        self.counters.get_or_create(&label).inc();
        let started = Instant::now();
        let result = call.await;
        let elapsed_ms = started.elapsed().as_secs_f64() * 1000.0;
        match &result {
            Ok(_) => log::info!("platform call operation={operation} ms={elapsed_ms:.1} result=ok"),
            Err(e) => {
                log::info!("platform call operation={operation} ms={elapsed_ms:.1} result={e:?}")
            }
        }
        result
    }
}

impl<P: Platform> Platform for CountedPlatform<P> {
    type Dialect = P::Dialect;

    const EXTERNAL_CONFIG: bool = P::EXTERNAL_CONFIG;

    fn dialect(&self) -> &P::Dialect {
        self.platform.dialect()
    }

    fn era(&self) -> Era {
        self.platform.era()
    }

    async fn read_document(&self) -> PlatformResult<Option<Document>> {
        let call = self.platform.read_document();
        self.record(Operation::ReadDocument, call).await
    }

    async fn watch_document(
        &self,
        after: Revision,
        wait: Duration,
    ) -> PlatformResult<DocumentUpdate> {
        let call = self.platform.watch_document(after, wait);
        self.record(Operation::WatchDocument, call).await
    }

    async fn get(&self, key: &str) -> PlatformResult<Option<Value>> {
        self.record(Operation::Get, self.platform.get(key)).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        value: &str,
        expected: Revision,
        lease: Option<Lease>,
    ) -> PlatformResult<Option<Revision>> {
        let call = self.platform.compare_and_swap(key, value, expected, lease);
        self.record(Operation::CompareAndSwap, call).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> PlatformResult<bool> {
        let call = self.platform.delete(key, expected);
        self.record(Operation::Delete, call).await
    }

    async fn list(&self, prefix: &str) -> PlatformResult<Vec<(String, Value)>> {
        let call = self.platform.list(prefix);
        self.record(Operation::List, call).await
    }

    async fn rollout_orders(&self) -> PlatformResult<Vec<RolloutOrder>> {
        let call = self.platform.rollout_orders();
        self.record(Operation::RolloutOrders, call).await
    }

    async fn rollout_status(&self, order: &RolloutOrder) -> PlatformResult<Option<RolloutStatus>> {
        let call = self.platform.rollout_status(order);
        self.record(Operation::RolloutStatus, call).await
    }

    async fn write_rollout_status(
        &self,
        order: &RolloutOrder,
        status: RolloutStatus,
    ) -> PlatformResult<bool> {
        let call = self.platform.write_rollout_status(order, status);
        self.record(Operation::WriteRolloutStatus, call).await
    }

    async fn grant_lease(&self, ttl: Duration) -> PlatformResult<Lease> {
        let call = self.platform.grant_lease(ttl);
        self.record(Operation::GrantLease, call).await
    }

    async fn renew_lease(&self, lease: Lease) -> PlatformResult<bool> {
        let call = self.platform.renew_lease(lease);
        self.record(Operation::RenewLease, call).await
    }

    async fn revoke_lease(&self, lease: Lease) -> PlatformResult<()> {
        let call = self.platform.revoke_lease(lease);
        self.record(Operation::RevokeLease, call).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> PlatformResult<Option<Value>> {
        let call = self.platform.watch(key, after, wait);
        self.record(Operation::Watch, call).await
    }
}

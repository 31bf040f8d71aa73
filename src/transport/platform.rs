//! The interface to the platform's key-value service.
//!
//! Support for another key-value service is a further implementation of [`Platform`].
//! `docs/PLATFORM.md` describes the interface and the guarantees that the service must provide.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};

use crate::coordination::rollout::{RolloutOrder, RolloutStatus};
use crate::protocol::dialect::Dialect;
use crate::protocol::wire_rollout::{
    ORDER_PREFIX, decode_order, decode_status, encode_status, status_key,
};
use crate::state::revision::{Era, Lease, Revision};
use crate::state::snapshot::Snapshot;

/// A value and the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The value, which is always text.
    pub text: String,
    /// Revision of the last write.
    pub revision: Revision,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// There was no valid response, so the call may or may not have taken effect.
    #[display("no valid response from the platform; check that it is running and reachable")]
    Indeterminate,
    /// The platform rejected the call or could not be reached; the call had no effect.
    #[display("the platform did not execute the call: {_0}")]
    Rejected(#[error(not(source))] String),
    /// The platform does not have the history after the given revision: it has deleted it, or has
    /// come back from an older copy of its data.
    #[display("the platform does not have the requested history; read the current value")]
    Compacted,
}

/// A complete configuration that is maintained in the platform by an external operator.
#[derive(Clone, Debug)]
pub struct Document {
    /// The configuration.
    pub snapshot: Arc<Snapshot>,
    /// The revision after which a watch must start.
    pub revision: Revision,
}

/// The result of a watch on the operator's document.
#[derive(Clone, Debug)]
pub struct DocumentUpdate {
    /// The newest document, if it changed.
    pub document: Option<Arc<Snapshot>>,
    /// The revision after which the next watch must start.
    pub revision: Revision,
}

/// The result of a call to the platform.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// A key-value service with compare-and-swap, leases and watches. Also defines which HTTP dialect
/// the callers and targets of the platform use, and who maintains the configuration.
pub trait Platform: Clone + Send + Sync + 'static {
    /// The headers and statuses that callers and targets use.
    type Dialect: Dialect;

    /// Whether an external operator maintains the configuration, as a [`Document`]. The nodes then
    /// only read it, and their HTTP API for operators rejects changes.
    const EXTERNAL_CONFIG: bool = false;

    /// The headers and statuses that callers and targets use.
    fn dialect(&self) -> &Self::Dialect;

    /// The newest era that the platform's responses have shown.
    fn era(&self) -> Era;

    /// Reads the operator's document; `None` if it does not exist yet.
    fn read_document(&self) -> impl Future<Output = PlatformResult<Option<Document>>> + Send {
        async { Ok(None) }
    }

    /// Waits at most `wait` until the operator's document changes after the revision `after`. Fails
    /// with [`PlatformError::Compacted`] if that is a revision of an earlier era.
    fn watch_document(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = PlatformResult<DocumentUpdate>> + Send {
        async move {
            tokio::time::sleep(wait).await;
            let document = None;
            let revision = after;
            Ok(DocumentUpdate { document, revision })
        }
    }

    /// Reads the value of a key.
    fn get(&self, key: &str) -> impl Future<Output = PlatformResult<Option<Value>>> + Send;

    /// Writes a key if its current revision is `expected`, which no key of a later era has. Attaches the key to `lease` if one is given. Returns the new revision, or `None` if the
    /// current revision was a different one.
    fn compare_and_swap(
        &self,
        key: &str,
        value: &str,
        expected: Revision,
        lease: Option<Lease>,
    ) -> impl Future<Output = PlatformResult<Option<Revision>>> + Send;

    /// Deletes a key if its current revision is `expected`. Returns whether the key was deleted.
    fn delete(
        &self,
        key: &str,
        expected: Revision,
    ) -> impl Future<Output = PlatformResult<bool>> + Send;

    /// Reads all keys with a prefix. The result may be some seconds old.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = PlatformResult<Vec<(String, Value)>>> + Send;

    /// Reads the orders to roll out versions of services.
    fn rollout_orders(&self) -> impl Future<Output = PlatformResult<Vec<RolloutOrder>>> + Send {
        async {
            let listed = self.list(ORDER_PREFIX).await?;
            let decode = |(_, v): &(String, Value)| decode_order(&v.text, v.revision.number).ok();
            Ok(listed.iter().filter_map(decode).collect())
        }
    }

    /// Reads what the operator was told about an order; `None` if nothing was.
    fn rollout_status(
        &self,
        order: &RolloutOrder,
    ) -> impl Future<Output = PlatformResult<Option<RolloutStatus>>> + Send {
        async {
            let value = self.get(&status_key(&order.service)).await?;
            Ok(value.and_then(|v| decode_status(&v.text, order)))
        }
    }

    /// Tells the operator about an order. Returns `false` without a write if the end of the order was
    /// told before, or if another node was faster.
    fn write_rollout_status(
        &self,
        order: &RolloutOrder,
        status: RolloutStatus,
    ) -> impl Future<Output = PlatformResult<bool>> + Send {
        async move {
            let key = status_key(&order.service);
            let value = self.get(&key).await?;
            let told = value.as_ref().and_then(|v| decode_status(&v.text, order));
            if told.is_some_and(RolloutStatus::is_end) {
                return Ok(told == Some(status));
            }
            let revision = value.map_or(Revision::ABSENT, |v| v.revision);
            let text = encode_status(order, status);
            let written = self.compare_and_swap(&key, &text, revision, None).await?;
            Ok(written.is_some())
        }
    }

    /// Creates a lease. The keys attached to it are deleted when it expires.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = PlatformResult<Lease>> + Send;

    /// Renews a lease. Returns whether the lease still existed; one of an earlier era does not.
    fn renew_lease(&self, lease: Lease) -> impl Future<Output = PlatformResult<bool>> + Send;

    /// Revokes a lease. The keys attached to it are deleted. Does nothing to one of an earlier era.
    fn revoke_lease(&self, lease: Lease) -> impl Future<Output = PlatformResult<()>> + Send;

    /// Waits at most `wait` until the revision of a key is another than `after`. Returns the value,
    /// or `None` if the key did not change.
    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = PlatformResult<Option<Value>>> + Send;
}

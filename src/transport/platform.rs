//! What the system needs of the platform's key-value service.
//!
//! Another service is one more implementation of [`Platform`]. `docs/PLATFORM.md` states the
//! surface and what the service must offer.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};

use crate::protocol::dialect::Dialect;
use crate::state::snapshot::Snapshot;

/// A value with the revision that last wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The value; text.
    pub text: String,
    /// Grows with each write to any key.
    pub revision: u64,
}

/// Why a call failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No answer; the call may or may not have taken effect.
    #[display("the platform did not answer; check that it is up and reachable")]
    Indeterminate,
    /// The platform refused; the call did not take effect.
    #[display("the platform refused the call: {_0}")]
    Rejected(#[error(not(source))] String),
    /// The history after the given revision is gone.
    #[display("the platform no longer has this history; read the value anew")]
    Compacted,
}

/// A whole configuration that an operator outside the system keeps in the platform.
#[derive(Clone, Debug)]
pub struct Document {
    /// The configuration.
    pub snapshot: Arc<Snapshot>,
    /// Where a watch goes on.
    pub revision: u64,
}

/// What a watch on the operator's document found.
#[derive(Clone, Debug)]
pub struct DocumentUpdate {
    /// The newest document, if it changed.
    pub document: Option<Arc<Snapshot>>,
    /// Where the next watch goes on.
    pub revision: u64,
}

/// The result of a call.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// A key-value service with compare-and-swap, leases and watches, and the surroundings that come
/// with it: how its callers and targets speak, and who keeps the configuration.
pub trait Platform: Clone + Send + Sync + 'static {
    /// How callers and targets speak.
    type Dialect: Dialect;

    /// Whether an operator outside the system keeps the configuration, as a [`Document`]. The
    /// system then only reads it, and its own operators' API refuses changes.
    const EXTERNAL_CONFIG: bool = false;

    /// How callers and targets speak.
    fn dialect(&self) -> &Self::Dialect;

    /// Reads the operator's document; none if there is none yet.
    fn read_document(&self) -> impl Future<Output = PlatformResult<Option<Document>>> + Send {
        async { Ok(None) }
    }

    /// Waits until the operator's document changes after a revision, at most for `wait`.
    fn watch_document(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = PlatformResult<DocumentUpdate>> + Send {
        async move {
            tokio::time::sleep(wait).await;
            let document = None;
            let revision = after;
            Ok(DocumentUpdate { document, revision })
        }
    }

    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = PlatformResult<Option<Value>>> + Send;

    /// Writes a key if its revision is the expected one, zero for absent. Returns the new
    /// revision, or none if the revision was another.
    fn compare_and_swap(
        &self,
        key: &str,
        value: &str,
        expected: u64,
        lease: Option<u64>,
    ) -> impl Future<Output = PlatformResult<Option<u64>>> + Send;

    /// Removes a key if its revision is the expected one. Returns whether it did.
    fn delete(&self, key: &str, expected: u64)
    -> impl Future<Output = PlatformResult<bool>> + Send;

    /// Reads all keys with a prefix.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = PlatformResult<Vec<(String, Value)>>> + Send;

    /// Grants a lease; keys attached to it vanish when it lapses.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = PlatformResult<u64>> + Send;

    /// Renews a lease. Returns whether it still exists.
    fn renew_lease(&self, lease: u64) -> impl Future<Output = PlatformResult<bool>> + Send;

    /// Gives a lease back; keys attached to it vanish.
    fn revoke_lease(&self, lease: u64) -> impl Future<Output = PlatformResult<()>> + Send;

    /// Waits until the key's revision is beyond `after`, at most for `wait`. Returns the value,
    /// or none if nothing changed.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = PlatformResult<Option<Value>>> + Send;
}

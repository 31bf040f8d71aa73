//! What the system needs of the platform's key-value service.
//!
//! Another service is one more implementation of [`Platform`]. `docs/PLATFORM.md` states the
//! surface and what the service must offer.

use std::time::Duration;

use derive_more::{Display, Error};

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
    NoAnswer,
    /// The platform refused; the call did not take effect.
    #[display("the platform refused the call: {_0}")]
    Refused(#[error(not(source))] String),
}

/// The result of a call.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// A key-value service with compare-and-swap, leases and watches.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = PlatformResult<Option<Value>>> + Send;

    /// Writes a key if its revision is the expected one, zero for absent. Returns the new
    /// revision, or none if the revision was another.
    fn swap(
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
    fn grant(&self, ttl: Duration) -> impl Future<Output = PlatformResult<u64>> + Send;

    /// Renews a lease. Returns whether it still exists.
    fn renew(&self, lease: u64) -> impl Future<Output = PlatformResult<bool>> + Send;

    /// Gives a lease back; keys attached to it vanish.
    fn revoke(&self, lease: u64) -> impl Future<Output = PlatformResult<()>> + Send;

    /// Waits until the key's revision is beyond `after`, at most for `wait`. Returns the value,
    /// or none if nothing changed.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = PlatformResult<Option<Value>>> + Send;
}

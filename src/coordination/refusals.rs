//! Requests that the local target has refused lately.
//!
//! A faulty target may repeat a refusal on its connection, where it would be taken for the answer to
//! the next attempt of the same request, which has the same id. The next attempt therefore needs a
//! connection on which no earlier one was refused.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of refused requests that are remembered.
const REFUSALS_MAX: usize = 256;

/// The requests that were refused last, by their ids.
///
/// ```
/// use tarragoncourse::coordination::refusals::RecentRefusals;
/// let mut refusals = RecentRefusals::default();
/// refusals.record(b"9c41");
/// assert!(refusals.contains(b"9c41"));
/// assert!(!refusals.contains(b"9c42"));
/// ```
#[derive(Debug, Default)]
pub struct RecentRefusals(VecDeque<u64>);

impl RecentRefusals {
    /// Records that the target has refused the request with this id.
    pub fn record(&mut self, id: &[u8]) {
        if self.0.len() >= REFUSALS_MAX {
            self.0.pop_front();
        }
        self.0.push_back(hash(id));
    }

    /// Whether the request is remembered. Another one may, very rarely, be taken for it.
    pub fn contains(&self, id: &[u8]) -> bool {
        self.0.contains(&hash(id))
    }
}

fn hash(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

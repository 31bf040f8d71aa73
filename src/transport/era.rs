//! The era of the platform's store, as a client learns it from the store's responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::state::revision::{Era, Lease, Revision};

/// The newest era that a client has seen in the store's responses. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct EraTracker(Arc<AtomicU64>);

impl EraTracker {
    /// Returns the newest era seen so far; zero before the first response.
    pub fn current(&self) -> Era {
        Era(self.0.load(Ordering::Acquire))
    }

    /// Whether a revision is of an earlier era than the newest one seen, so that the store may have
    /// given its number to another write.
    ///
    /// ```
    /// use tarragoncourse::state::revision::{Era, Revision};
    /// use tarragoncourse::transport::era::EraTracker;
    /// let tracker = EraTracker::default();
    /// tracker.observe(Era(2));
    /// assert!(tracker.is_outdated(Revision::new(Era(1), 7)));
    /// assert!(!tracker.is_outdated(Revision::ABSENT));
    /// ```
    pub fn is_outdated(&self, revision: Revision) -> bool {
        revision != Revision::ABSENT && revision.era < self.current()
    }

    /// Whether a lease is of an earlier era than the newest one seen. The store may have lost it, and
    /// may have given its number to another node.
    pub fn is_lost(&self, lease: Lease) -> bool {
        lease.era < self.current()
    }

    /// Records the era of a response. A response of an earlier era may be read late, and changes
    /// nothing.
    ///
    /// ```
    /// use tarragoncourse::state::revision::Era;
    /// use tarragoncourse::transport::era::EraTracker;
    /// let tracker = EraTracker::default();
    /// tracker.observe(Era(2));
    /// tracker.observe(Era(1));
    /// assert_eq!(tracker.current(), Era(2));
    /// ```
    pub fn observe(&self, era: Era) {
        let before = self.0.fetch_max(era.0, Ordering::AcqRel);
        match before {
            0 if era.0 > 0 => log::info!("platform era={era} before=0"),
            _ if era.0 > before => log::warn!("platform era={era} before={before}"),
            _ => {}
        }
    }
}

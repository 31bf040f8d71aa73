//! Which requests a target was running when it ended.
//!
//! A connection that breaks says little: it may have been reset, or have been idle for too long. If
//! the target then accepts no connection, all attempts that broke just before were running when it
//! ended. Every one of them may be the cause, most of them merely ran beside it.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::state::id::{Fingerprint, Fingerprints};
use crate::state::member::TargetStart;

/// Time within which the connections of a target that ends break.
const BREAK_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of broken attempts that are kept.
const BROKEN_MAX: usize = 256;
/// Maximum number of fingerprints that one end concerns; the most recent attempts are kept.
pub const CONCERNED_MAX: usize = 128;

/// The fingerprints of the requests that were running when a target ended.
pub type Concerned = SmallVec<[Fingerprint; 32]>;

/// The attempts whose connections to the local target broke lately.
#[derive(Debug, Default)]
pub struct BrokenAttempts {
    attempts: Vec<(Instant, TargetStart, Fingerprints)>,
    checking: bool,
}

impl BrokenAttempts {
    /// Records an attempt whose connection broke. Returns whether to check that the target has
    /// ended: no check is in progress.
    pub fn record(
        &mut self,
        start: &TargetStart,
        fingerprints: &Fingerprints,
        now: Instant,
    ) -> bool {
        self.attempts.retain(|(at, _, _)| now - *at <= BREAK_WINDOW);
        if self.attempts.len() == BROKEN_MAX {
            self.attempts.remove(0);
        }
        self.attempts
            .push((now, start.clone(), fingerprints.clone()));
        !std::mem::replace(&mut self.checking, true)
    }

    /// Ends a check. Returns the fingerprints of the requests that broke with this start of the
    /// target.
    ///
    /// ```
    /// use smallvec::smallvec;
    /// use tarragoncourse::coordination::target_end::BrokenAttempts;
    /// use tarragoncourse::state::id::Fingerprint;
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let start = ("cutbook-1".into(), 1000);
    /// let mut broken = BrokenAttempts::default();
    /// assert!(broken.record(&start, &smallvec![Fingerprint(7)], now));
    /// assert!(!broken.record(&start, &smallvec![Fingerprint(8)], now));
    /// assert_eq!(broken.take(&start, now).as_slice(), [Fingerprint(8), Fingerprint(7)]);
    /// ```
    pub fn take(&mut self, start: &TargetStart, now: Instant) -> Concerned {
        self.checking = false;
        let mut concerned = Concerned::new();
        for (at, broken_start, fingerprints) in self.attempts.drain(..).rev() {
            if broken_start != *start || now - at > BREAK_WINDOW {
                continue;
            }
            for fingerprint in fingerprints {
                if concerned.len() < CONCERNED_MAX && !concerned.contains(&fingerprint) {
                    concerned.push(fingerprint);
                }
            }
        }
        concerned
    }
}

//! What a node knows of one ledger.

use std::time::Duration;

use tokio::time::Instant;

use super::Echo;

/// Time after the last message to a ledger at which the lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Time without a reply after which a renewal asks for one, so that a ledger that has ended is
/// noticed before the next ask.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Requests without a reply in a row after which a ledger is not used. Two datagrams may be lost.
const FAILURES_MAX: u8 = 3;
/// Interval between messages to a ledger that is not used, to notice that it replies again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of one ledger.
#[derive(Debug, Default)]
pub(super) struct LedgerLink {
    /// Stamp of the last reply and when it arrived.
    stamp: Option<(u32, Instant)>,
    sent_at: Option<Instant>,
    /// Requests without a reply since the last reply.
    failures: u8,
}

impl LedgerLink {
    /// Whether the ledger is not used, because it does not reply.
    pub(super) fn is_avoided(&self) -> bool {
        self.failures >= FAILURES_MAX
    }

    /// Whether entitlements may be lent. One lent to a ledger that has ended is lost for a lease.
    pub(super) fn is_trusted(&self) -> bool {
        self.failures == 0
    }

    /// Whether a message is due that asks for nothing: to renew the lease, or to notice that the
    /// ledger replies again.
    pub(super) fn message_due(&self, now: Instant) -> bool {
        let interval = match self.is_avoided() {
            true => PROBE_INTERVAL,
            false => RENEW_INTERVAL,
        };
        self.sent_at.is_none_or(|at| now - at >= interval)
    }

    /// Whether the next message has to bring a reply.
    pub(super) fn check_due(&self, now: Instant) -> bool {
        self.failures > 0 || self.stamp.is_none_or(|(_, at)| now - at >= CHECK_INTERVAL)
    }

    /// The last stamp, to send with a request.
    pub(super) fn echo(&self, now: Instant) -> Option<Echo> {
        let (stamp, arrived) = self.stamp?;
        let held_ms = (now - arrived).as_millis() as u32;
        Some(Echo { stamp, held_ms })
    }

    /// Records that a message is sent.
    pub(super) fn record_sent(&mut self, now: Instant) {
        self.sent_at = Some(now);
    }

    /// Records a reply. A stamp that is old only shortens the next lease.
    pub(super) fn record_reply(&mut self, stamp: u32, now: Instant) {
        self.stamp = Some((stamp, now));
        self.failures = 0;
    }

    /// Records a request without a reply. Returns whether the ledger is avoided from now on.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures == FAILURES_MAX
    }
}

//! Requests that crash the targets that run them: notices that the local target has ended, and which
//! requests it was running.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::Instant;

use super::fingerprint::fingerprint_text;
use super::{Node, lock};
use crate::node::config::LocalTarget;
use crate::state::id::Fingerprints;
use crate::state::member::TargetStart;
use crate::transport::platform::Platform;

/// Time after the first broken connection until the others of a target that ended have broken too.
const BREAK_SETTLE_TIME: Duration = Duration::from_millis(10);
/// Timeout for the connection that shows whether the target has ended.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

impl<P: Platform> Node<P> {
    /// Records that the connection to the local target broke while it ran a request, and checks
    /// whether the target has ended.
    pub(super) fn note_broken(
        self: &Arc<Self>,
        start: &TargetStart,
        fingerprints: &Fingerprints,
        target: &LocalTarget,
    ) {
        let check = lock(&self.broken_attempts).record(start, fingerprints, Instant::now());
        if check {
            let (node, start, target) = (self.clone(), start.clone(), target.clone());
            tokio::spawn(async move { node.check_target_end(start, target).await });
        }
    }

    /// Connects to the local target to find out whether it has ended. One that has said that it is
    /// leaving ends as planned, whatever it runs.
    async fn check_target_end(self: Arc<Self>, start: TargetStart, target: LocalTarget) {
        tokio::time::sleep(BREAK_SETTLE_TIME).await;
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address));
        let has_ended = matches!(connect.await, Ok(Err(_)));
        let concerned = lock(&self.broken_attempts).take(&start, Instant::now());
        if !has_ended || self.is_target_leaving() {
            return;
        }
        let (instance, boot) = &start;
        log::warn!(
            "target ended instance={instance} boot={boot} running={}",
            fingerprint_text(&concerned)
        );
    }

    fn is_target_leaving(&self) -> bool {
        lock(&self.announced_target).is_leaving() || lock(&self.target_notices).is_leaving()
    }
}

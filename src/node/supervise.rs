//! Restarts background tasks that panic, so that one unexpected message or state does not leave the
//! process running without one of its tasks.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;

/// Delay before a task that has panicked is started again.
pub const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs a task until it returns, and starts it again whenever it panics.
///
/// ```
/// # #[tokio::main(flavor = "current_thread", start_paused = true)]
/// # async fn main() {
/// let mut starts = 0;
/// tarragoncourse::node::supervise::supervise("example", || {
///     starts += 1;
///     let first = starts == 1;
///     async move { assert!(!first, "panics once") }
/// })
/// .await;
/// assert_eq!(starts, 2);
/// # }
/// ```
pub async fn supervise<F: Future<Output = ()>>(name: &'static str, mut start: impl FnMut() -> F) {
    // The state that the tasks share is consistent between calls even after a panic.
    while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
        log::error!(
            "a task panicked and is started again; report this with the panic message task={name}"
        );
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

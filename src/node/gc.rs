//! Collection of what the platform no longer needs: old change records and replaced snapshots.
//!
//! Done by the node that wrote a new snapshot. Deletes are fenced by revisions, so two nodes that
//! collect at once, or one that was paused, do no harm.

use super::Node;
use super::store::{HISTORY_RECORDS_MAX, SNAPSHOT_INTERVAL, StoreResult};
use crate::protocol::record::{SnapshotIndex, change_prefix, piece_key};
use crate::state::id::Version;
use crate::transport::platform::Platform;

impl<P: Platform> Node<P> {
    /// Deletes the records that lie beyond the history's reach before a snapshot, and the pieces
    /// of the snapshot that it replaced.
    pub(super) async fn collect_garbage(
        &self,
        snapshot: Version,
        replaced: Option<SnapshotIndex>,
    ) -> StoreResult<()> {
        if let Some(index) = replaced {
            self.delete_pieces(&index).await?;
        }
        let end = snapshot
            .0
            .saturating_sub(HISTORY_RECORDS_MAX as u64 + SNAPSHOT_INTERVAL);
        let begin = end.saturating_sub(SNAPSHOT_INTERVAL);
        for version in begin..end {
            // Records that lost their race lie under the same version.
            self.delete_prefix(&change_prefix(Version(version))).await?;
        }
        Ok(())
    }

    async fn delete_pieces(&self, index: &SnapshotIndex) -> StoreResult<()> {
        for piece in 0..index.pieces {
            self.delete_prefix(&piece_key(index, piece)).await?;
        }
        Ok(())
    }

    async fn delete_prefix(&self, prefix: &str) -> StoreResult<()> {
        for (key, value) in self.platform.list(prefix).await? {
            self.platform.delete(&key, value.revision).await?;
        }
        Ok(())
    }
}

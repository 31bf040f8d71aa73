//! Garbage collection in the platform: deletes old change records and replaced snapshots.
//!
//! The node that wrote a new snapshot runs it. Every delete is conditional on the revision that was
//! read, so it is safe if two nodes collect concurrently or if a node resumes after a pause.

use super::Node;
use super::store::{HISTORY_RECORDS_MAX, SNAPSHOT_INTERVAL, StoreResult};
use crate::protocol::record::{SnapshotIndex, change_prefix, piece_key};
use crate::state::id::Version;
use crate::transport::platform::Platform;

impl<P: Platform> Node<P> {
    /// Deletes the pieces of the snapshot that the new one replaced, and the change records that
    /// are now older than the retained history of [`HISTORY_RECORDS_MAX`] versions and one snapshot
    /// interval. The call for the previous snapshot has deleted the records before these.
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
            // The prefix also covers the records of concurrent changes that were not accepted as
            // this version.
            self.delete_prefix(&change_prefix(Version(version))).await?;
        }
        Ok(())
    }

    async fn delete_pieces(&self, index: &SnapshotIndex) -> StoreResult<()> {
        for piece in 0..index.piece_count {
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

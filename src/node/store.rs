//! The configuration in the platform: reads it, commits changes, writes snapshots, and restores the
//! head after data loss.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::commit::{
    ChangeRecord, ChangeRequest, Commit, CommitEvent, CommitOutcome, CommitStep, Head,
    Indeterminate, PlatformResult,
};
use crate::coordination::distribution::{Actions, PullReply};
use crate::protocol::record::{
    HEAD_KEY, SNAPSHOT_KEY, SnapshotIndex, change_key, decode_change, decode_head, decode_index,
    decode_pieces, encode_change, encode_head, encode_index, encode_pieces, piece_key,
};
use crate::protocol::wire::WireError;
use crate::state::id::{ChangeId, Version};
use crate::state::revision::Revision;
use crate::state::snapshot::{Delta, Edit, Snapshot};
use crate::state::validate::{ADMIN, check_references};
use crate::transport::platform::{Platform, PlatformError};

/// Timeout for committing a change.
pub(super) const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of versions between snapshots in the platform.
pub(super) const SNAPSHOT_INTERVAL: u64 = 64;
/// Author of the deltas that are computed between documents of an external operator.
const OPERATOR_AUTHOR: &str = "operator";
/// Limit on the change records read for one pull; beyond it, the snapshot is read.
const PULL_RECORDS_MAX: u64 = 256;
/// Limit on the change records read for one request of an operator.
pub(super) const HISTORY_RECORDS_MAX: usize = 1000;

/// An error in reading or writing the configuration.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    /// A call to the platform failed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// A value cannot be decoded.
    #[display("cannot decode a value from the platform: {_0}")]
    Decode(WireError),
    /// A change record or a piece of a snapshot is missing.
    #[display(
        "`{_0}` is missing in the platform; restore it from a backup or apply the settings again"
    )]
    #[from(skip)]
    Missing(#[error(not(source))] String),
}

pub(super) type StoreResult<T> = Result<T, StoreError>;

impl<P: Platform> Node<P> {
    /// Reads the head and its revision. Returns `None` if no change was ever accepted.
    pub(super) async fn read_head(&self) -> StoreResult<Option<(Head, Revision)>> {
        let Some(value) = self.platform.get(HEAD_KEY).await? else {
            return Ok(None);
        };
        Ok(Some((decode_head(&value.text)?, value.revision)))
    }

    /// Reads the versions that are newer than the active one from the platform: as deltas, or as a
    /// snapshot if there are too many deltas or they cannot be read.
    pub(super) async fn read_newer(&self) -> StoreResult<PullReply> {
        if P::EXTERNAL_CONFIG {
            let found = self.platform.read_document().await?;
            return Ok(found.map_or(PullReply::UpToDate, |d| self.document_delta(d.snapshot)));
        }
        let Some((head, _)) = self.read_head().await? else {
            return Ok(PullReply::UpToDate);
        };
        let current = lock(&self.distribution).current().clone();
        if head.version <= current.version() {
            return Ok(PullReply::UpToDate);
        }
        if head.version.0 - current.version().0 <= PULL_RECORDS_MAX
            && let Ok(records) = self.read_chain(&head, current.version()).await
        {
            let deltas = records.into_iter().map(|r| r.delta);
            return Ok(PullReply::Deltas(deltas.collect()));
        }
        Ok(PullReply::Snapshot(Arc::new(
            self.read_snapshot(&head).await?,
        )))
    }

    /// Converts a document to the result of a pull. A delta from the active snapshot is computed,
    /// so that it can also be served to peers that have the same version.
    fn document_delta(&self, document: Arc<Snapshot>) -> PullReply {
        let current = lock(&self.distribution).current().clone();
        if document.version() <= current.version() {
            return PullReply::UpToDate;
        }
        match current.version() {
            Version(0) => PullReply::Snapshot(document),
            _ => PullReply::Deltas(vec![Arc::new(current.delta_to(&document, OPERATOR_AUTHOR))]),
        }
    }

    /// Activates a document that was read from the platform, if it is valid and newer than the
    /// active version.
    pub(super) fn adopt_document(self: &Arc<Self>, document: &Arc<Snapshot>) {
        let deltas = match self.document_delta(document.clone()) {
            PullReply::Deltas(deltas) => deltas,
            PullReply::Snapshot(_) => Vec::new(),
            _ => return,
        };
        let invalid = check_references(document);
        if let Some(first) = invalid.first() {
            log::error!(
                "document not put in force version={} problems={}: {first}",
                document.version(),
                invalid.len()
            );
            return;
        }
        let peers = self.announce_peers(true);
        let mut actions = Actions::new();
        let now = Instant::now();
        lock(&self.distribution).adopt_if_newer(
            document.clone(),
            deltas,
            &peers,
            now,
            &mut actions,
        );
        self.execute(actions);
    }

    /// Reads a change record. Returns `None` if it does not exist.
    pub(super) async fn read_record(
        &self,
        version: Version,
        change: ChangeId,
    ) -> StoreResult<Option<ChangeRecord>> {
        let key = change_key(version, change);
        let Some(value) = self.platform.get(&key).await? else {
            return Ok(None);
        };
        Ok(Some(decode_change(&value.text)?))
    }

    /// Reads the change records after `since` up to the head, and returns them oldest first. Each
    /// record refers to the previous change, so they are read backwards from the head.
    pub(super) async fn read_chain(
        &self,
        head: &Head,
        since: Version,
    ) -> StoreResult<Vec<ChangeRecord>> {
        let (mut version, mut change) = (head.version, head.change);
        let mut records = Vec::new();
        while version > since {
            let record = self.read_record(version, change).await?;
            let record = record.ok_or_else(|| StoreError::Missing(change_key(version, change)))?;
            change = record.previous;
            version = Version(version.0 - 1);
            records.push(record);
        }
        records.reverse();
        Ok(records)
    }

    /// Builds the configuration at a head from the newest snapshot in the platform and the
    /// change records after it.
    async fn read_snapshot(&self, head: &Head) -> StoreResult<Snapshot> {
        let mut snapshot = match self.platform.get(SNAPSHOT_KEY).await? {
            Some(value) => self.read_pieces(&decode_index(&value.text)?).await?,
            None => Snapshot::default(),
        };
        for record in self.read_chain(head, snapshot.version()).await? {
            snapshot = snapshot
                .apply(&record.delta)
                .map_err(|_| WireError::OutOfBounds("digest"))?;
        }
        Ok(snapshot)
    }

    /// Reads the pieces of a snapshot.
    async fn read_pieces(&self, index: &SnapshotIndex) -> StoreResult<Snapshot> {
        let mut pieces = Vec::with_capacity(index.piece_count);
        for n in 0..index.piece_count {
            let key = piece_key(index, n);
            let value = self.platform.get(&key).await?;
            pieces.push(value.ok_or(StoreError::Missing(key))?.text);
        }
        Ok(decode_pieces(index, &pieces)?)
    }

    /// Commits edits as an administrator, without a conflict check.
    pub async fn apply_as_admin(self: &Arc<Self>, edits: Vec<Edit>) -> CommitOutcome {
        let request = ChangeRequest {
            change: ChangeId(fastrand::u128(..)),
            author: ADMIN.to_string(),
            base: None,
            edits,
        };
        self.commit(request).await
    }

    /// Commits a change, and activates it on this node if it was accepted.
    pub(super) async fn commit(self: &Arc<Self>, request: ChangeRequest) -> CommitOutcome {
        let now = Instant::now();
        let min_version = lock(&self.distribution).newest_known();
        let rng = fastrand::Rng::new();
        let mut commit = Commit::new(request, min_version, now + COMMIT_TIMEOUT, rng);
        let mut step = commit.advance(CommitEvent::Resume, now);
        loop {
            if let CommitStep::Done(outcome) = step {
                self.handle_commit_outcome(&outcome).await;
                return outcome;
            }
            let event = self.run_step(step).await;
            step = commit.advance(event, Instant::now());
        }
    }

    /// Executes one step of a commit. Returns the event that reports its result.
    async fn run_step(&self, step: CommitStep) -> CommitEvent {
        match step {
            CommitStep::ReadHead => CommitEvent::HeadRead(log_failure(self.read_head().await)),
            CommitStep::Load { head, since } => {
                CommitEvent::Loaded(log_failure(self.load_config(&head, since).await))
            }
            CommitStep::WriteRecord(record) => {
                CommitEvent::RecordWritten(self.write_record(&record).await)
            }
            CommitStep::SwapHead { head, revision } => {
                CommitEvent::HeadSwapped(self.swap_head(&head, revision).await)
            }
            CommitStep::ReadRecord(version, change) => {
                CommitEvent::RecordRead(log_failure(self.read_record(version, change).await))
            }
            CommitStep::Pause(wait) => {
                tokio::time::sleep(wait).await;
                CommitEvent::Resume
            }
            CommitStep::Done(_) => unreachable!("handled by the caller"),
        }
    }

    /// Loads the snapshot at a head and the deltas after `since`. Builds the snapshot from the
    /// active one and the deltas if possible, and reads it from the platform otherwise. Returns the
    /// active snapshot without deltas if it is newer than the head.
    async fn load_config(
        &self,
        head: &Head,
        since: Version,
    ) -> StoreResult<(Arc<Snapshot>, Vec<Arc<Delta>>)> {
        let current = lock(&self.distribution).current().clone();
        if current.version() > head.version {
            return Ok((current, Vec::new()));
        }
        let from = since.min(current.version());
        let records = self.read_chain(head, from).await;
        let records = match records {
            Ok(records) => records,
            // The caller needs no deltas in this case; the snapshot is read from the platform
            // below.
            Err(StoreError::Missing(_)) if since == head.version => Vec::new(),
            Err(e) => return Err(e),
        };
        let deltas: Vec<_> = records.into_iter().map(|r| r.delta).collect();
        let mut base = current;
        for d in deltas
            .iter()
            .filter(|d| d.version > base.version())
            .cloned()
            .collect::<Vec<_>>()
        {
            match base.apply(&d) {
                Ok(next) => base = Arc::new(next),
                Err(_) => return Err(WireError::OutOfBounds("digest").into()),
            }
        }
        if base.version() != head.version || base.digest() != head.digest {
            base = Arc::new(self.read_snapshot(head).await?);
        }
        let after = deltas.into_iter().filter(|d| d.version > since);
        Ok((base, after.collect()))
    }

    /// Writes a change record, if it does not exist yet.
    async fn write_record(&self, record: &ChangeRecord) -> PlatformResult<()> {
        let key = change_key(record.delta.version, record.delta.change);
        // If the key already exists, it holds the same record, because the key contains the change
        // id.
        match self
            .platform
            .compare_and_swap(&key, &encode_change(record), Revision::ABSENT, None)
            .await
        {
            Ok(_) => Ok(()),
            Err(_) => Err(Indeterminate),
        }
    }

    /// Replaces the head if its revision is still the given one. Returns whether it did.
    async fn swap_head(&self, head: &Head, revision: Revision) -> PlatformResult<bool> {
        match self
            .platform
            .compare_and_swap(HEAD_KEY, &encode_head(head), revision, None)
            .await
        {
            Ok(swapped) => Ok(swapped.is_some()),
            Err(_) => Err(Indeterminate),
        }
    }

    /// Activates an accepted change and writes a snapshot if one is due, or restores the head if it
    /// is older than the active version.
    async fn handle_commit_outcome(self: &Arc<Self>, outcome: &CommitOutcome) {
        let CommitOutcome::Accepted { snapshot, delta } = outcome else {
            if let CommitOutcome::HeadBehind { head, .. } = outcome {
                self.handle_head_rollback(*head).await;
            }
            return;
        };
        let peers = self.announce_peers(true);
        let mut actions = Actions::new();
        lock(&self.distribution).adopt_if_newer(
            snapshot.clone(),
            vec![delta.clone()],
            &peers,
            Instant::now(),
            &mut actions,
        );
        self.execute(actions);
        if snapshot.version().0.is_multiple_of(SNAPSHOT_INTERVAL) {
            let (node, snapshot) = (self.clone(), snapshot.clone());
            tokio::spawn(async move {
                if let Err(e) = node.write_snapshot(&snapshot).await {
                    log::warn!(
                        "snapshot not written; nodes read the changes since the one before version={} error={e}",
                        snapshot.version()
                    );
                }
            });
        }
    }

    /// Writes the pieces of a snapshot and then the index that refers to them, so that the index
    /// never refers to missing pieces. Collects garbage afterwards.
    async fn write_snapshot(&self, snapshot: &Snapshot) -> StoreResult<()> {
        let (index, pieces) = encode_pieces(snapshot);
        for (n, piece) in pieces.iter().enumerate() {
            self.platform
                .compare_and_swap(&piece_key(&index, n), piece, Revision::ABSENT, None)
                .await?;
        }
        let existing = self.platform.get(SNAPSHOT_KEY).await?;
        let revision = existing.as_ref().map_or(Revision::ABSENT, |v| v.revision);
        let replaced = existing.and_then(|v| decode_index(&v.text).ok());
        if replaced
            .as_ref()
            .is_some_and(|r| r.version >= index.version)
        {
            return Ok(());
        }
        let text = encode_index(&index);
        let swapped = self
            .platform
            .compare_and_swap(SNAPSHOT_KEY, &text, revision, None)
            .await?;
        if swapped.is_some() {
            self.collect_garbage(index.version, replaced).await?;
        }
        Ok(())
    }

    /// Restores the active version as the head if the platform has lost it. Returns whether it did.
    pub(super) async fn restore_head(&self) -> StoreResult<bool> {
        let current = lock(&self.distribution).current().clone();
        let found = self.read_head().await?;
        let (version, revision) =
            found.map_or((Version(0), Revision::ABSENT), |(h, r)| (h.version, r));
        if version >= current.version() {
            return Ok(false);
        }
        self.write_snapshot(&current).await?;
        let head = Head {
            version: current.version(),
            digest: current.digest(),
            change: current.change(),
            author: "restore".to_string(),
        };
        let swapped = self
            .platform
            .compare_and_swap(HEAD_KEY, &encode_head(&head), revision, None)
            .await?;
        Ok(swapped.is_some())
    }

    /// Reads the newest change records after `since`, newest first: at most `limit` and at most
    /// [`HISTORY_RECORDS_MAX`] of them. Stops at a record that does not exist, such as one that
    /// garbage collection has deleted.
    pub(super) async fn history(
        &self,
        since: Version,
        limit: usize,
    ) -> StoreResult<Vec<ChangeRecord>> {
        let Some((head, _)) = self.read_head().await? else {
            return Ok(Vec::new());
        };
        let (mut version, mut change) = (head.version, head.change);
        let mut records = Vec::new();
        while version > since && records.len() < limit.min(HISTORY_RECORDS_MAX) {
            let Some(record) = self.read_record(version, change).await? else {
                break;
            };
            change = record.previous;
            version = Version(version.0 - 1);
            records.push(record);
        }
        Ok(records)
    }

    /// Returns the version of the head, and the edits that restore the content of an older version.
    pub(super) async fn undo_edits(&self, to: Version) -> StoreResult<(Version, Vec<Edit>)> {
        let head = self
            .read_head()
            .await?
            .map_or(Version(0), |(h, _)| h.version);
        let records = self.history(to, HISTORY_RECORDS_MAX).await?;
        let oldest = records
            .last()
            .map_or(head, |r| Version(r.delta.version.0 - 1));
        if oldest != to {
            let key = format!("change/{:020}", oldest.0);
            return Err(StoreError::Missing(key));
        }
        let mut edits: Vec<Edit> = Vec::new();
        for undo in records.into_iter().flat_map(|r| r.undo) {
            // The records are ordered newest first. If several of them change a path, the edit of
            // the oldest one replaces the others, because it restores the oldest content.
            edits.retain(|e| e.path() != undo.path());
            edits.push(undo);
        }
        Ok((head, edits))
    }
}

/// Logs the error of a failed call. The commit treats every failure as an indeterminate result.
fn log_failure<T>(result: StoreResult<T>) -> PlatformResult<T> {
    result.map_err(|e| {
        log::debug!("platform call failed: {e}");
        Indeterminate
    })
}

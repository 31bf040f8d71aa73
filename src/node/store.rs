//! The configuration in the platform: reading, accepting changes, snapshots and restoring.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::commit::{
    Answer, ChangeRecord, Commit, Event, Head, NoAnswer, Request, Step, Verdict,
};
use crate::coordination::distribution::{Actions, Pulled};
use crate::protocol::record::{
    HEAD_KEY, SNAPSHOT_KEY, SnapshotIndex, change_key, decode_change, decode_head, decode_index,
    decode_pieces, encode_change, encode_head, encode_index, encode_pieces, piece_key,
};
use crate::protocol::wire::WireError;
use crate::state::id::{ChangeId, Version};
use crate::state::snapshot::{Delta, Edit, Snapshot};
use crate::state::validate::{ADMIN, check_references};
use crate::transport::platform::{Platform, PlatformError};

/// Longest time that a change may take to be accepted.
pub(super) const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Versions between whole snapshots in the platform.
pub(super) const SNAPSHOT_EVERY: u64 = 64;
/// Author of deltas between documents of an operator outside the system.
const OPERATOR: &str = "operator";
/// Most records read back along the chain in one go.
const CHAIN_MAX: u64 = 256;
/// Most records read back by an operator's question.
pub(super) const HISTORY_MAX: usize = 1000;

/// Why the configuration could not be read or written.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    /// The call failed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// A value is not understood.
    #[display("the platform holds a value that is not understood: {_0}")]
    Value(WireError),
    /// A record or piece is missing.
    #[display("the platform lacks `{_0}`; restore it from a backup or apply the settings again")]
    #[from(skip)]
    Missing(#[error(not(source))] String),
}

pub(super) type StoreResult<T> = Result<T, StoreError>;

impl<P: Platform> Node<P> {
    /// The head and its revision; none if nothing was ever accepted.
    pub(super) async fn read_head(&self) -> StoreResult<Option<(Head, u64)>> {
        let Some(value) = self.platform.get(HEAD_KEY).await? else {
            return Ok(None);
        };
        Ok(Some((decode_head(&value.text)?, value.revision)))
    }

    /// What the platform has beyond the held version.
    pub(super) async fn read_newer(&self) -> StoreResult<Pulled> {
        if P::EXTERNAL_CONFIG {
            let found = self.platform.read_document().await?;
            return Ok(found.map_or(Pulled::Nothing, |d| self.pulled_document(d.snapshot)));
        }
        let Some((head, _)) = self.read_head().await? else {
            return Ok(Pulled::Nothing);
        };
        let held = lock(&self.distribution).held().clone();
        if head.version <= held.version() {
            return Ok(Pulled::Nothing);
        }
        if head.version.0 - held.version().0 <= CHAIN_MAX
            && let Ok(records) = self.read_chain(&head, held.version()).await
        {
            let deltas = records.into_iter().map(|r| r.delta);
            return Ok(Pulled::Deltas(deltas.collect()));
        }
        Ok(Pulled::Whole(Arc::new(self.read_whole(&head).await?)))
    }

    /// A document as an answer to a pull: the delta from what is held, so that peers that are as
    /// far behind can be served with it.
    fn pulled_document(&self, document: Arc<Snapshot>) -> Pulled {
        let held = lock(&self.distribution).held().clone();
        if document.version() <= held.version() {
            return Pulled::Nothing;
        }
        match held.version() {
            Version(0) => Pulled::Whole(document),
            _ => Pulled::Deltas(vec![Arc::new(held.delta_to(&document, OPERATOR))]),
        }
    }

    /// Puts a document that was read from the platform in force, if it is newer.
    pub(super) fn take_document(self: &Arc<Self>, document: &Arc<Snapshot>) {
        let deltas = match self.pulled_document(document.clone()) {
            Pulled::Deltas(deltas) => deltas,
            Pulled::Whole(_) => Vec::new(),
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
        lock(&self.distribution).offer(document.clone(), deltas, &peers, now, &mut actions);
        self.execute(actions);
    }

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

    /// The records after `since` up to the head, oldest first.
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

    /// The whole configuration at a head: the newest snapshot and the records after it.
    async fn read_whole(&self, head: &Head) -> StoreResult<Snapshot> {
        let mut whole = match self.platform.get(SNAPSHOT_KEY).await? {
            Some(value) => self.read_pieces(&decode_index(&value.text)?).await?,
            None => Snapshot::default(),
        };
        for record in self.read_chain(head, whole.version()).await? {
            whole = whole
                .apply(&record.delta)
                .map_err(|_| WireError::OutOfBounds("digest"))?;
        }
        Ok(whole)
    }

    async fn read_pieces(&self, index: &SnapshotIndex) -> StoreResult<Snapshot> {
        let mut pieces = Vec::with_capacity(index.pieces);
        for n in 0..index.pieces {
            let key = piece_key(index, n);
            let value = self.platform.get(&key).await?;
            pieces.push(value.ok_or(StoreError::Missing(key))?.text);
        }
        Ok(decode_pieces(index, &pieces)?)
    }

    /// Makes a change as an administrator, without a conflict check.
    pub async fn change(self: &Arc<Self>, edits: Vec<Edit>) -> Verdict {
        let request = Request {
            change: ChangeId(fastrand::u128(..)),
            author: ADMIN.to_string(),
            base: None,
            edits,
        };
        self.commit(request).await
    }

    /// Drives a change to its verdict, and puts an accepted one in force here.
    pub(super) async fn commit(self: &Arc<Self>, request: Request) -> Verdict {
        let now = Instant::now();
        let floor = lock(&self.distribution).wanted();
        let rng = fastrand::Rng::new();
        let mut commit = Commit::new(request, floor, now + COMMIT_TIMEOUT, rng);
        let mut step = commit.next(Event::Go, now);
        loop {
            if let Step::Done(verdict) = step {
                self.committed(&verdict).await;
                return verdict;
            }
            let event = self.perform(step).await;
            step = commit.next(event, Instant::now());
        }
    }

    async fn perform(&self, step: Step) -> Event {
        match step {
            Step::ReadHead => Event::Head(answer(self.read_head().await)),
            Step::Load { head, since } => Event::Loaded(answer(self.load(&head, since).await)),
            Step::WriteRecord(record) => Event::Written(self.write_record(&record).await),
            Step::SwapHead { head, revision } => {
                Event::Swapped(self.swap_head(&head, revision).await)
            }
            Step::ReadRecord(version, change) => {
                Event::Record(answer(self.read_record(version, change).await))
            }
            Step::Pause(wait) => {
                tokio::time::sleep(wait).await;
                Event::Go
            }
            Step::Done(_) => unreachable!("handled by the caller"),
        }
    }

    /// The snapshot at a head and the deltas after `since`.
    async fn load(
        &self,
        head: &Head,
        since: Version,
    ) -> StoreResult<(Arc<Snapshot>, Vec<Arc<Delta>>)> {
        let held = lock(&self.distribution).held().clone();
        if held.version() > head.version {
            return Ok((held, Vec::new()));
        }
        let from = since.min(held.version());
        let records = self.read_chain(head, from).await;
        let records = match records {
            Ok(records) => records,
            Err(StoreError::Missing(_)) if since == head.version => Vec::new(),
            Err(e) => return Err(e),
        };
        let deltas: Vec<_> = records.into_iter().map(|r| r.delta).collect();
        let mut base = held;
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
            base = Arc::new(self.read_whole(head).await?);
        }
        let after = deltas.into_iter().filter(|d| d.version > since);
        Ok((base, after.collect()))
    }

    async fn write_record(&self, record: &ChangeRecord) -> Answer<()> {
        let key = change_key(record.delta.version, record.delta.change);
        // A record that is already there is the same one: its key names its content.
        match self
            .platform
            .compare_and_swap(&key, &encode_change(record), 0, None)
            .await
        {
            Ok(_) => Ok(()),
            Err(_) => Err(NoAnswer),
        }
    }

    async fn swap_head(&self, head: &Head, revision: u64) -> Answer<bool> {
        match self
            .platform
            .compare_and_swap(HEAD_KEY, &encode_head(head), revision, None)
            .await
        {
            Ok(swapped) => Ok(swapped.is_some()),
            Err(_) => Err(NoAnswer),
        }
    }

    async fn committed(self: &Arc<Self>, verdict: &Verdict) {
        let Verdict::Accepted { snapshot, delta } = verdict else {
            if let Verdict::HeadBehind { head, .. } = verdict {
                self.head_went_back(*head).await;
            }
            return;
        };
        let peers = self.announce_peers(true);
        let mut actions = Actions::new();
        lock(&self.distribution).offer(
            snapshot.clone(),
            vec![delta.clone()],
            &peers,
            Instant::now(),
            &mut actions,
        );
        self.execute(actions);
        if snapshot.version().0.is_multiple_of(SNAPSHOT_EVERY) {
            let (node, snapshot) = (self.clone(), snapshot.clone());
            tokio::spawn(async move { node.write_snapshot(&snapshot).await });
        }
    }

    /// Writes a whole snapshot, then the index that names it.
    async fn write_snapshot(&self, snapshot: &Snapshot) -> StoreResult<()> {
        let (index, pieces) = encode_pieces(snapshot);
        for (n, piece) in pieces.iter().enumerate() {
            self.platform
                .compare_and_swap(&piece_key(&index, n), piece, 0, None)
                .await?;
        }
        let held = self.platform.get(SNAPSHOT_KEY).await?;
        let revision = held.as_ref().map_or(0, |v| v.revision);
        let replaced = held.and_then(|v| decode_index(&v.text).ok());
        if replaced
            .as_ref()
            .is_some_and(|n| n.version >= index.version)
        {
            return Ok(());
        }
        let text = encode_index(&index);
        let swapped = self
            .platform
            .compare_and_swap(SNAPSHOT_KEY, &text, revision, None)
            .await?;
        if swapped.is_some() {
            self.collect(index.version, replaced).await?;
        }
        Ok(())
    }

    /// Puts the held version back as the head, after the store lost it. Returns whether it did.
    pub(super) async fn restore_head(&self) -> StoreResult<bool> {
        let held = lock(&self.distribution).held().clone();
        let found = self.read_head().await?;
        let (version, revision) = found.map_or((Version(0), 0), |(h, r)| (h.version, r));
        if version >= held.version() {
            return Ok(false);
        }
        self.write_snapshot(&held).await?;
        let head = Head {
            version: held.version(),
            digest: held.digest(),
            change: held.change(),
            author: "restore".to_string(),
        };
        let swapped = self
            .platform
            .compare_and_swap(HEAD_KEY, &encode_head(&head), revision, None)
            .await?;
        Ok(swapped.is_some())
    }

    /// The newest records, newest first, at most `most`, back to `since` exclusive.
    pub(super) async fn history(
        &self,
        since: Version,
        most: usize,
    ) -> StoreResult<Vec<ChangeRecord>> {
        let Some((head, _)) = self.read_head().await? else {
            return Ok(Vec::new());
        };
        let (mut version, mut change) = (head.version, head.change);
        let mut records = Vec::new();
        while version > since && records.len() < most.min(HISTORY_MAX) {
            let Some(record) = self.read_record(version, change).await? else {
                break;
            };
            change = record.previous;
            version = Version(version.0 - 1);
            records.push(record);
        }
        Ok(records)
    }

    /// The edits that lead from the head back to an older version's content, and the head.
    pub(super) async fn undo_edits(&self, to: Version) -> StoreResult<(Version, Vec<Edit>)> {
        let head = self
            .read_head()
            .await?
            .map_or(Version(0), |(h, _)| h.version);
        let records = self.history(to, HISTORY_MAX).await?;
        let oldest = records
            .last()
            .map_or(head, |r| Version(r.delta.version.0 - 1));
        if oldest != to {
            let key = format!("change/{:020}", oldest.0);
            return Err(StoreError::Missing(key));
        }
        let mut edits: Vec<Edit> = Vec::new();
        for undo in records.into_iter().flat_map(|r| r.undo) {
            // Records come newest first; an older one's content replaces a newer one's.
            edits.retain(|e| e.path() != undo.path());
            edits.push(undo);
        }
        Ok((head, edits))
    }
}

fn answer<T>(result: StoreResult<T>) -> Answer<T> {
    result.map_err(|e| {
        log::debug!("platform call failed: {e}");
        NoAnswer
    })
}

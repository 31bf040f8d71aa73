//! Commit of a configuration change: a compare-and-swap of the head in the platform, which points
//! to a chain of immutable change records.
//!
//! A change is accepted exactly when the swap of the head succeeds. If the response to the swap is
//! lost, the head and the chain of records behind it show whether the swap took effect. The same
//! swap may be sent again, because it only succeeds at the head revision that it was made for. A
//! different swap is sent only once the earlier one can no longer succeed.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::state::digest::Digest;
use crate::state::id::{ChangeId, Path, Version};
use crate::state::revision::Revision;
use crate::state::snapshot::{Delta, Edit, Snapshot};
use crate::state::validate::{ValidationError, check_config, check_ownership};

/// Number of lost races, in which another change was swapped in first, after which a change is
/// rejected as contended.
pub const LOST_RACES_MAX: u32 = 16;
/// Base of the exponential backoff between tries.
pub const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Maximum backoff between tries.
pub const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Pointer to the newest accepted version, stored in the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The newest accepted version.
    pub version: Version,
    /// Digest of the whole configuration at that version.
    pub digest: Digest,
    /// Change that produced the version. Version and change together name the change record.
    pub change: ChangeId,
    /// Author of the change.
    pub author: String,
}

/// Immutable record of one change, written before the head is swapped.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRecord {
    /// Delta from the previous version.
    pub delta: Arc<Delta>,
    /// Previous change in the chain.
    pub previous: ChangeId,
    /// Edits that restore the previous version.
    pub undo: Vec<Edit>,
}

/// Change requested by an operator.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Random identifier of the change.
    pub change: ChangeId,
    /// Team that requests the change.
    pub author: String,
    /// Version that the edits were based on; `None` skips the conflict check.
    pub base: Option<Version>,
    /// Edits to apply.
    pub edits: Vec<Edit>,
}

/// Failure of a platform call whose outcome is indeterminate: it may or may not have taken effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("the platform did not respond; the call may or may not have taken effect")]
pub struct Indeterminate;

/// Result of a platform call.
pub type PlatformResult<T> = Result<T, Indeterminate>;

/// Next step of a commit.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitStep {
    /// Read the head and its revision.
    ReadHead,
    /// Load the configuration at this head and the deltas after version `since`.
    Load {
        /// Head to load.
        head: Head,
        /// Version after which deltas are needed.
        since: Version,
    },
    /// Write a change record under its version and change identifier.
    WriteRecord(ChangeRecord),
    /// Swap the head if its revision is still the given one.
    SwapHead {
        /// New head.
        head: Head,
        /// Expected revision.
        revision: Revision,
    },
    /// Read the change record of this version and change.
    ReadRecord(Version, ChangeId),
    /// Wait for this time, then continue with [`CommitEvent::Resume`].
    Pause(Duration),
    /// The commit has ended with this outcome.
    Done(CommitOutcome),
}

/// Result of the last step.
#[derive(Clone, Debug)]
pub enum CommitEvent {
    /// The commit starts, or a pause has ended.
    Resume,
    /// The head and its revision; `None` if no change was ever accepted.
    HeadRead(PlatformResult<Option<(Head, Revision)>>),
    /// The configuration at the head and the requested deltas.
    Loaded(PlatformResult<(Arc<Snapshot>, Vec<Arc<Delta>>)>),
    /// The change record was written.
    RecordWritten(PlatformResult<()>),
    /// Whether the swap took effect.
    HeadSwapped(PlatformResult<bool>),
    /// The change record, if it exists.
    RecordRead(PlatformResult<Option<ChangeRecord>>),
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// The change was accepted as a new version.
    Accepted {
        /// The new snapshot.
        snapshot: Arc<Snapshot>,
        /// The delta that leads to it.
        delta: Arc<Delta>,
    },
    /// The change had been accepted as this version before; found while resolving a lost response.
    Found(Version),
    /// The configuration already contains the change.
    Unchanged(Version),
    /// Rejected: the resulting configuration would be invalid, or a path does not belong to the
    /// author.
    Invalid(Vec<ValidationError>),
    /// Rejected: another change edited the same path after the base version of the request.
    Conflict(Conflict),
    /// Rejected: the platform's head is older than the newest version known to this node.
    HeadBehind {
        /// Version of the platform's head.
        head: Version,
        /// Newest version known to this node.
        held: Version,
    },
    /// Rejected: another change was swapped in first in each of [`LOST_RACES_MAX`] tries.
    Contended,
    /// Not accepted: the platform did not respond before a swap was sent.
    Unavailable,
    /// The response to the swap was lost, and the outcome could not be determined in time.
    Unknown,
}

/// Conflict with a change of the same path that was accepted after the base version of the request.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{path} was changed by `{author}` in version {version}; read it and apply again")]
pub struct Conflict {
    /// Path that both changes edit.
    pub path: Path,
    /// Author of the other change.
    pub author: String,
    /// Version of the other change.
    pub version: Version,
}

#[derive(Clone, Debug)]
enum Phase {
    ReadingHead,
    Loading {
        head: Head,
        revision: Revision,
    },
    WritingRecord(Proposal),
    SwappingHead(Proposal),
    /// Reads the head to find out whether the swap of this proposal took effect.
    Resolving(Proposal),
    /// Reads the chain of records back from a newer head to look for this proposal.
    WalkingChain(Proposal),
    BackingOff(Option<Proposal>),
    Ended,
}

/// New head and change record, built on the configuration at the current head.
#[derive(Clone, Debug)]
struct Proposal {
    head: Head,
    /// Head revision that the swap expects.
    revision: Revision,
    record: ChangeRecord,
    snapshot: Arc<Snapshot>,
}

/// State machine of one change.
#[derive(Debug)]
pub struct Commit {
    request: ChangeRequest,
    /// Newest version known to this node when the commit started.
    newest_known: Version,
    deadline: Instant,
    phase: Phase,
    lost_races: u32,
    backoffs: u32,
    /// Whether a swap was sent whose outcome is not yet known.
    swap_sent: bool,
    rng: fastrand::Rng,
}

impl Commit {
    /// Creates a commit. `newest_known` is the newest version that this node knows of.
    pub fn new(
        request: ChangeRequest,
        newest_known: Version,
        deadline: Instant,
        rng: fastrand::Rng,
    ) -> Commit {
        Commit {
            request,
            newest_known,
            deadline,
            phase: Phase::ReadingHead,
            lost_races: 0,
            backoffs: 0,
            swap_sent: false,
            rng,
        }
    }

    /// Identifier of the change.
    pub fn change(&self) -> ChangeId {
        self.request.change
    }

    /// Takes the result of the last step and returns the next one.
    pub fn advance(&mut self, event: CommitEvent, now: Instant) -> CommitStep {
        if now >= self.deadline && !matches!(event, CommitEvent::HeadSwapped(Ok(true))) {
            return self.finish_unresolved();
        }
        let phase = std::mem::replace(&mut self.phase, Phase::Ended);
        match (phase, event) {
            (Phase::ReadingHead | Phase::BackingOff(None), CommitEvent::Resume) => {
                self.read_head(None)
            }
            (Phase::BackingOff(Some(p)), CommitEvent::Resume) => self.read_head(Some(p)),
            (Phase::ReadingHead, CommitEvent::HeadRead(result)) => self.handle_head(result),
            (Phase::Loading { head, revision }, CommitEvent::Loaded(result)) => {
                self.handle_loaded(head, revision, result)
            }
            (Phase::WritingRecord(p), CommitEvent::RecordWritten(result)) => {
                self.handle_written(p, result)
            }
            (Phase::SwappingHead(p), CommitEvent::HeadSwapped(result)) => {
                self.handle_swapped(p, result)
            }
            (Phase::Resolving(p), CommitEvent::HeadRead(result)) => self.resolve(p, result),
            (Phase::WalkingChain(p), CommitEvent::RecordRead(result)) => {
                self.handle_record(p, result)
            }
            (phase, _) => {
                debug_assert!(false, "unexpected event in phase {phase:?}");
                self.finish_unresolved()
            }
        }
    }

    fn read_head(&mut self, proposal: Option<Proposal>) -> CommitStep {
        self.phase = match proposal {
            Some(p) => Phase::Resolving(p),
            None => Phase::ReadingHead,
        };
        CommitStep::ReadHead
    }

    fn handle_head(&mut self, result: PlatformResult<Option<(Head, Revision)>>) -> CommitStep {
        let Ok(found) = result else {
            return self.back_off(None);
        };
        let (head, revision) = found.unwrap_or_else(|| (empty_head(), Revision::ABSENT));
        if head.version < self.newest_known {
            return self.finish(CommitOutcome::HeadBehind {
                head: head.version,
                held: self.newest_known,
            });
        }
        let since = self.request.base.unwrap_or(head.version);
        let step = CommitStep::Load {
            head: head.clone(),
            since: since.min(head.version),
        };
        self.phase = Phase::Loading { head, revision };
        step
    }

    fn handle_loaded(
        &mut self,
        head: Head,
        revision: Revision,
        result: PlatformResult<(Arc<Snapshot>, Vec<Arc<Delta>>)>,
    ) -> CommitStep {
        let Ok((base, deltas)) = result else {
            return self.back_off(None);
        };
        // This node adopted a newer version after the head was read.
        if base.version() != head.version {
            return self.back_off(None);
        }
        if let Some(conflict) = self.find_conflict(&deltas) {
            return self.finish(CommitOutcome::Conflict(conflict));
        }
        let updated = base.with_edits(&self.request.edits);
        if updated.digest() == head.digest {
            return self.finish(CommitOutcome::Unchanged(head.version));
        }
        let mut invalid = check_ownership(&self.request.author, &self.request.edits);
        invalid.extend(check_config(&updated));
        if !invalid.is_empty() {
            return self.finish(CommitOutcome::Invalid(invalid));
        }
        let proposal = self.build_proposal(&head, revision, &base, updated.digest());
        let step = CommitStep::WriteRecord(proposal.record.clone());
        self.phase = Phase::WritingRecord(proposal);
        step
    }

    fn find_conflict(&self, deltas: &[Arc<Delta>]) -> Option<Conflict> {
        let base = self.request.base?;
        let later = deltas.iter().filter(|d| d.version > base);
        let edited = later.flat_map(|d| d.edits.iter().map(move |e| (d, e.path())));
        let is_edited = |path: &Path| self.request.edits.iter().any(|e| e.path() == path);
        let found = edited.into_iter().find(|(_, path)| is_edited(path));
        found.map(|(d, path)| Conflict {
            path: path.clone(),
            author: d.author.clone(),
            version: d.version,
        })
    }

    fn build_proposal(
        &self,
        head: &Head,
        revision: Revision,
        base: &Snapshot,
        digest: Digest,
    ) -> Proposal {
        let delta = Arc::new(Delta {
            base: head.version,
            version: head.version.next(),
            digest,
            change: self.request.change,
            author: self.request.author.clone(),
            edits: self.request.edits.clone(),
        });
        let undo = inverse_edits(base, &delta.edits);
        let snapshot = base
            .apply(&delta)
            .expect("the delta was built on this base");
        Proposal {
            head: Head {
                version: delta.version,
                digest,
                change: delta.change,
                author: delta.author.clone(),
            },
            revision,
            record: ChangeRecord {
                delta,
                previous: head.change,
                undo,
            },
            snapshot: Arc::new(snapshot),
        }
    }

    fn handle_written(&mut self, proposal: Proposal, result: PlatformResult<()>) -> CommitStep {
        if result.is_err() {
            // Writing again is harmless, because records are immutable and named by version and
            // change.
            return self.back_off(None);
        }
        self.send_swap(proposal)
    }

    fn send_swap(&mut self, proposal: Proposal) -> CommitStep {
        self.swap_sent = true;
        let step = CommitStep::SwapHead {
            head: proposal.head.clone(),
            revision: proposal.revision,
        };
        self.phase = Phase::SwappingHead(proposal);
        step
    }

    fn handle_swapped(&mut self, proposal: Proposal, result: PlatformResult<bool>) -> CommitStep {
        match result {
            Ok(true) => self.finish_accepted(proposal),
            Ok(false) => self.read_head(Some(proposal)),
            Err(Indeterminate) => self.back_off(Some(proposal)),
        }
    }

    fn resolve(
        &mut self,
        proposal: Proposal,
        result: PlatformResult<Option<(Head, Revision)>>,
    ) -> CommitStep {
        let Ok(found) = result else {
            return self.back_off(Some(proposal));
        };
        let (head, revision) = found.unwrap_or_else(|| (empty_head(), Revision::ABSENT));
        if head.change == proposal.head.change {
            return self.finish_accepted(proposal);
        }
        if revision == proposal.revision {
            return self.send_swap(proposal);
        }
        self.walk_chain(proposal, head.version, head.change)
    }

    fn walk_chain(&mut self, proposal: Proposal, version: Version, change: ChangeId) -> CommitStep {
        if change == proposal.head.change {
            return self.finish(CommitOutcome::Found(proposal.head.version));
        }
        if version <= proposal.head.version {
            return self.handle_lost_race();
        }
        self.phase = Phase::WalkingChain(proposal);
        CommitStep::ReadRecord(version, change)
    }

    fn handle_record(
        &mut self,
        proposal: Proposal,
        result: PlatformResult<Option<ChangeRecord>>,
    ) -> CommitStep {
        match result {
            Err(Indeterminate) => self.back_off(Some(proposal)),
            Ok(Some(record)) => {
                let before = Version(record.delta.version.0 - 1);
                self.walk_chain(proposal, before, record.previous)
            }
            // The record was garbage-collected, so the chain cannot show whether the swap took
            // effect.
            Ok(None) => self.finish(CommitOutcome::Unknown),
        }
    }

    fn handle_lost_race(&mut self) -> CommitStep {
        self.lost_races += 1;
        self.swap_sent = false;
        if self.lost_races >= LOST_RACES_MAX {
            return self.finish(CommitOutcome::Contended);
        }
        self.back_off(None)
    }

    fn finish_accepted(&mut self, proposal: Proposal) -> CommitStep {
        self.finish(CommitOutcome::Accepted {
            snapshot: proposal.snapshot,
            delta: proposal.record.delta,
        })
    }

    fn back_off(&mut self, proposal: Option<Proposal>) -> CommitStep {
        let ceiling = BACKOFF_BASE * 2u32.saturating_pow(self.backoffs.min(8));
        self.backoffs += 1;
        self.phase = Phase::BackingOff(proposal);
        CommitStep::Pause(ceiling.min(BACKOFF_MAX).mul_f64(self.rng.f64()))
    }

    /// Ends the commit without a definite result: the change may have been accepted if a swap was
    /// sent.
    fn finish_unresolved(&mut self) -> CommitStep {
        let outcome = if self.swap_sent {
            CommitOutcome::Unknown
        } else {
            CommitOutcome::Unavailable
        };
        self.finish(outcome)
    }

    fn finish(&mut self, outcome: CommitOutcome) -> CommitStep {
        self.phase = Phase::Ended;
        CommitStep::Done(outcome)
    }
}

fn empty_head() -> Head {
    Head {
        digest: Snapshot::default().digest(),
        ..Head::default()
    }
}

fn inverse_edits(base: &Snapshot, edits: &[Edit]) -> Vec<Edit> {
    let inverse = |e: &Edit| match base.get(e.path()) {
        Some(object) => Edit::Put(e.path().clone(), object.clone()),
        None => Edit::Delete(e.path().clone()),
    };
    edits.iter().map(inverse).collect()
}

//! Acceptance of a change: compare-and-swap on one head over immutable change records.
//!
//! Acceptance *is* the swap. When the swap's answer is lost, the head and the chain of records
//! behind it tell whether it took effect. The same swap may be sent again, because the head's
//! revision fences it; a changed swap is only made once the earlier one can no longer succeed.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::state::digest::Digest;
use crate::state::id::{ChangeId, Path, Version};
use crate::state::snapshot::{Delta, Edit, Snapshot};
use crate::state::validate::{ValidationError, check_config, check_ownership};

/// Lost races after which a change is refused as contended.
pub const RACES_MAX: u32 = 16;
/// Base of the back-off between tries.
pub const BACK_OFF_BASE: Duration = Duration::from_millis(20);
/// Longest back-off between tries.
pub const BACK_OFF_MAX: Duration = Duration::from_secs(1);

/// The platform's record of the newest accepted version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The newest accepted version.
    pub version: Version,
    /// Digest of the whole configuration at that version.
    pub digest: Digest,
    /// The change that made it; with the version, the name of its record.
    pub change: ChangeId,
    /// Who wrote it.
    pub author: String,
}

/// An immutable record of one change, written before the head moves.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeRecord {
    /// The step that the change makes.
    pub delta: Arc<Delta>,
    /// The change before it in the chain.
    pub previous: ChangeId,
    /// The edits that lead back to the version before.
    pub undo: Vec<Edit>,
}

/// What an operator asks for.
#[derive(Clone, Debug)]
pub struct Request {
    /// Random name of the change.
    pub change: ChangeId,
    /// Team that asks.
    pub author: String,
    /// Version that the operator saw; none skips the conflict check.
    pub base: Option<Version>,
    /// The edits.
    pub edits: Vec<Edit>,
}

/// Something that a call to the platform may fail with. Its effect is not known.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("the platform did not answer")]
pub struct NoAnswer;

/// The result of a call to the platform.
pub type Answer<T> = Result<T, NoAnswer>;

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read the head and its revision.
    ReadHead,
    /// Load the configuration at this head and the deltas after `since`.
    Load {
        /// The head to load.
        head: Head,
        /// First version whose delta is not needed.
        since: Version,
    },
    /// Write a change record under its version and change id.
    WriteRecord(ChangeRecord),
    /// Swap the head if its revision still is the given one; zero means absent.
    SwapHead {
        /// The new head.
        head: Head,
        /// The expected revision.
        revision: u64,
    },
    /// Read a change record.
    ReadRecord(Version, ChangeId),
    /// Wait.
    Pause(Duration),
    /// The end.
    Done(Verdict),
}

/// What came of the last step.
#[derive(Clone, Debug)]
pub enum Event {
    /// The commit begins, or a pause is over.
    Go,
    /// The head and its revision; none if nothing was ever accepted.
    Head(Answer<Option<(Head, u64)>>),
    /// The configuration at the head, and the deltas asked for.
    Loaded(Answer<(Arc<Snapshot>, Vec<Arc<Delta>>)>),
    /// The record is written.
    Written(Answer<()>),
    /// Whether the swap took effect.
    Swapped(Answer<bool>),
    /// The record, if it exists.
    Record(Answer<Option<ChangeRecord>>),
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Accepted as this version.
    Accepted {
        /// The new snapshot.
        snapshot: Arc<Snapshot>,
        /// The step to it.
        delta: Arc<Delta>,
    },
    /// Accepted earlier as this version; found when resolving a lost answer.
    Found(Version),
    /// The configuration already is as asked.
    Unchanged(Version),
    /// Refused: the result would not be valid, or a path is not the author's.
    Invalid(Vec<ValidationError>),
    /// Refused: another change touched the same path after the operator's base version.
    Conflict(Conflict),
    /// Refused: the platform's head is older than a version that this node holds.
    HeadBehind {
        /// The platform's version.
        head: Version,
        /// The version held here.
        held: Version,
    },
    /// Refused: other changes won every race.
    Contended,
    /// Not accepted: the platform did not answer before anything was swapped.
    Unavailable,
    /// The answer to the swap was lost and could not be resolved in time.
    Unknown,
}

/// A change that was made on an outdated view of a path.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{path} was changed by `{author}` in version {version}; read it and apply again")]
pub struct Conflict {
    /// The path that both touch.
    pub path: Path,
    /// Who changed it.
    pub author: String,
    /// The version that did.
    pub version: Version,
}

#[derive(Clone, Debug)]
enum Phase {
    Start,
    Loading {
        head: Head,
        revision: u64,
    },
    Writing(Proposal),
    Swapping(Proposal),
    /// The head is read to learn the fate of the proposal.
    Resolving(Proposal),
    /// The chain is walked back from a newer head.
    Walking(Proposal),
    Pausing(Option<Proposal>),
    Ended,
}

#[derive(Clone, Debug)]
struct Proposal {
    head: Head,
    revision: u64,
    record: ChangeRecord,
    snapshot: Arc<Snapshot>,
}

/// The state machine of one change.
#[derive(Debug)]
pub struct Commit {
    request: Request,
    floor: Version,
    deadline: Instant,
    phase: Phase,
    races: u32,
    pauses: u32,
    swapped: bool,
    rng: fastrand::Rng,
}

impl Commit {
    /// Starts a commit. `floor` is the newest version held or heard of here.
    pub fn new(request: Request, floor: Version, deadline: Instant, rng: fastrand::Rng) -> Commit {
        Commit {
            request,
            floor,
            deadline,
            phase: Phase::Start,
            races: 0,
            pauses: 0,
            swapped: false,
            rng,
        }
    }

    /// The change's id.
    pub fn change(&self) -> ChangeId {
        self.request.change
    }

    /// Takes what came of the last step and tells the next.
    pub fn next(&mut self, event: Event, now: Instant) -> Step {
        if now >= self.deadline && !matches!(event, Event::Swapped(Ok(true))) {
            return self.give_up();
        }
        let phase = std::mem::replace(&mut self.phase, Phase::Ended);
        match (phase, event) {
            (Phase::Start | Phase::Pausing(None), Event::Go) => self.read_head(None),
            (Phase::Pausing(Some(p)), Event::Go) => self.read_head(Some(p)),
            (Phase::Start, Event::Head(answer)) => self.got_head(answer),
            (Phase::Loading { head, revision }, Event::Loaded(answer)) => {
                self.loaded(head, revision, answer)
            }
            (Phase::Writing(p), Event::Written(answer)) => self.written(p, answer),
            (Phase::Swapping(p), Event::Swapped(answer)) => self.swapped(p, answer),
            (Phase::Resolving(p), Event::Head(answer)) => self.resolve(p, answer),
            (Phase::Walking(p), Event::Record(answer)) => self.walked(p, answer),
            (phase, _) => {
                debug_assert!(false, "event does not fit phase {phase:?}");
                self.give_up()
            }
        }
    }

    fn read_head(&mut self, proposal: Option<Proposal>) -> Step {
        self.phase = match proposal {
            Some(p) => Phase::Resolving(p),
            None => Phase::Start,
        };
        Step::ReadHead
    }

    fn got_head(&mut self, answer: Answer<Option<(Head, u64)>>) -> Step {
        let Ok(found) = answer else {
            return self.pause(None);
        };
        let (head, revision) = found.unwrap_or_else(|| (empty_head(), 0));
        if head.version < self.floor {
            return self.done(Verdict::HeadBehind {
                head: head.version,
                held: self.floor,
            });
        }
        let since = self.request.base.unwrap_or(head.version);
        let step = Step::Load {
            head: head.clone(),
            since: since.min(head.version),
        };
        self.phase = Phase::Loading { head, revision };
        step
    }

    fn loaded(
        &mut self,
        head: Head,
        revision: u64,
        answer: Answer<(Arc<Snapshot>, Vec<Arc<Delta>>)>,
    ) -> Step {
        let Ok((base, since)) = answer else {
            return self.pause(None);
        };
        // The node took a newer version in force since the head was read.
        if base.version() != head.version {
            return self.pause(None);
        }
        if let Some(conflict) = self.conflict(&since) {
            return self.done(Verdict::Conflict(conflict));
        }
        let next = base.with_edits(&self.request.edits);
        if next.digest() == head.digest {
            return self.done(Verdict::Unchanged(head.version));
        }
        let mut invalid = check_ownership(&self.request.author, &self.request.edits);
        invalid.extend(check_config(&next));
        if !invalid.is_empty() {
            return self.done(Verdict::Invalid(invalid));
        }
        let proposal = self.propose(&head, revision, &base, next.digest());
        let step = Step::WriteRecord(proposal.record.clone());
        self.phase = Phase::Writing(proposal);
        step
    }

    fn conflict(&self, since: &[Arc<Delta>]) -> Option<Conflict> {
        let base = self.request.base?;
        let later = since.iter().filter(|d| d.version > base);
        let touched = later.flat_map(|d| d.edits.iter().map(move |e| (d, e.path())));
        let mine = |path: &Path| self.request.edits.iter().any(|e| e.path() == path);
        let found = touched.into_iter().find(|(_, path)| mine(path));
        found.map(|(d, path)| Conflict {
            path: path.clone(),
            author: d.author.clone(),
            version: d.version,
        })
    }

    fn propose(&self, head: &Head, revision: u64, base: &Snapshot, digest: Digest) -> Proposal {
        let delta = Arc::new(Delta {
            base: head.version,
            version: head.version.next(),
            digest,
            change: self.request.change,
            author: self.request.author.clone(),
            edits: self.request.edits.clone(),
        });
        let undo = undo(base, &delta.edits);
        let snapshot = base.apply(&delta).expect("the delta was made on this base");
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

    fn written(&mut self, proposal: Proposal, answer: Answer<()>) -> Step {
        if answer.is_err() {
            // Records are immutable and named by version and change; writing again is harmless.
            return self.pause(None);
        }
        self.swap(proposal)
    }

    fn swap(&mut self, proposal: Proposal) -> Step {
        self.swapped = true;
        let step = Step::SwapHead {
            head: proposal.head.clone(),
            revision: proposal.revision,
        };
        self.phase = Phase::Swapping(proposal);
        step
    }

    fn swapped(&mut self, proposal: Proposal, answer: Answer<bool>) -> Step {
        match answer {
            Ok(true) => self.accepted(proposal),
            Ok(false) => self.read_head(Some(proposal)),
            Err(NoAnswer) => self.pause(Some(proposal)),
        }
    }

    fn resolve(&mut self, proposal: Proposal, answer: Answer<Option<(Head, u64)>>) -> Step {
        let Ok(found) = answer else {
            return self.pause(Some(proposal));
        };
        let (head, revision) = found.unwrap_or_else(|| (empty_head(), 0));
        if head.change == proposal.head.change {
            return self.accepted(proposal);
        }
        if revision == proposal.revision {
            return self.swap(proposal);
        }
        self.walk(proposal, head.version, head.change)
    }

    fn walk(&mut self, proposal: Proposal, version: Version, change: ChangeId) -> Step {
        if change == proposal.head.change {
            return self.done(Verdict::Found(proposal.head.version));
        }
        if version <= proposal.head.version {
            return self.lost_race();
        }
        self.phase = Phase::Walking(proposal);
        Step::ReadRecord(version, change)
    }

    fn walked(&mut self, proposal: Proposal, answer: Answer<Option<ChangeRecord>>) -> Step {
        match answer {
            Err(NoAnswer) => self.pause(Some(proposal)),
            Ok(Some(record)) => {
                let before = Version(record.delta.version.0 - 1);
                self.walk(proposal, before, record.previous)
            }
            // The chain was collected up to here; the proposal's fate is beyond reach.
            Ok(None) => self.done(Verdict::Unknown),
        }
    }

    fn lost_race(&mut self) -> Step {
        self.races += 1;
        self.swapped = false;
        if self.races >= RACES_MAX {
            return self.done(Verdict::Contended);
        }
        self.pause(None)
    }

    fn accepted(&mut self, proposal: Proposal) -> Step {
        self.done(Verdict::Accepted {
            snapshot: proposal.snapshot,
            delta: proposal.record.delta,
        })
    }

    fn pause(&mut self, proposal: Option<Proposal>) -> Step {
        let ceiling = BACK_OFF_BASE * 2u32.saturating_pow(self.pauses.min(8));
        self.pauses += 1;
        self.phase = Phase::Pausing(proposal);
        Step::Pause(ceiling.min(BACK_OFF_MAX).mul_f64(self.rng.f64()))
    }

    fn give_up(&mut self) -> Step {
        let verdict = if self.swapped {
            Verdict::Unknown
        } else {
            Verdict::Unavailable
        };
        self.done(verdict)
    }

    fn done(&mut self, verdict: Verdict) -> Step {
        self.phase = Phase::Ended;
        Step::Done(verdict)
    }
}

fn empty_head() -> Head {
    Head {
        digest: Snapshot::default().digest(),
        ..Head::default()
    }
}

fn undo(base: &Snapshot, edits: &[Edit]) -> Vec<Edit> {
    let back = |e: &Edit| match base.get(e.path()) {
        Some(object) => Edit::Put(e.path().clone(), object.clone()),
        None => Edit::Delete(e.path().clone()),
    };
    edits.iter().map(back).collect()
}

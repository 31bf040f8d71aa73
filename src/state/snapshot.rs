//! Immutable configuration snapshots with a digest that is cheap to keep current.
//!
//! A snapshot is 256 buckets of sorted entries. Applying a delta copies and digests only the
//! buckets it touches, so the cost follows the delta and not the configuration.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};

use super::digest::{Digest, DigestBuilder};
use super::id::{ChangeId, Path, Version};
use super::object::Object;

const BUCKET_COUNT: usize = 256;

/// One settings object with its path.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Where the object lives.
    pub path: Path,
    /// The object.
    pub object: Arc<Object>,
}

/// One edit of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Creates or replaces the object at the path.
    Put(Path, Arc<Object>),
    /// Removes the object at the path; removing what is absent is not an error.
    Delete(Path),
}

impl Edit {
    /// The path that the edit touches.
    pub fn path(&self) -> &Path {
        match self {
            Edit::Put(p, _) | Edit::Delete(p) => p,
        }
    }
}

/// The step from one version to a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    /// The version that the delta follows.
    pub base: Version,
    /// The version that the delta produces.
    pub version: Version,
    /// Digest of the whole configuration after the delta.
    pub digest: Digest,
    /// The operator's change that made it.
    pub change: ChangeId,
    /// Team that wrote the change.
    pub author: String,
    /// What changes.
    pub edits: Vec<Edit>,
}

/// Why a delta was refused. Nothing of it was applied.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ApplyError {
    /// The delta does not follow the held version.
    #[display("delta makes version {to}, held is {held}; pull the versions between them first")]
    VersionGap {
        /// The version held.
        held: Version,
        /// The version the delta makes.
        to: Version,
    },
    /// The result's digest is not the announced one.
    #[display("version {version} has another digest than announced; pull a whole snapshot")]
    DigestMismatch {
        /// The version that was refused.
        version: Version,
    },
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    entries: Vec<Entry>,
    digest: Digest,
}

/// A whole configuration at one version.
#[derive(Clone)]
pub struct Snapshot {
    version: Version,
    digest: Digest,
    change: ChangeId,
    buckets: Vec<Arc<Bucket>>,
}

impl Default for Snapshot {
    fn default() -> Self {
        // Buckets are shared until they are written to.
        let bucket = Arc::new(Bucket::default());
        let mut empty = Snapshot {
            version: Version(0),
            digest: Digest::default(),
            change: ChangeId(0),
            buckets: std::iter::repeat_n(bucket, BUCKET_COUNT).collect(),
        };
        empty.digest = empty.compute_digest();
        empty
    }
}

impl Snapshot {
    /// Builds a snapshot from a whole list of entries, as read from a peer or the platform.
    ///
    /// # Errors
    /// [`ApplyError::DigestMismatch`] when the entries do not have the expected digest.
    pub fn from_entries(
        version: Version,
        change: ChangeId,
        expected: Digest,
        entries: Vec<Entry>,
    ) -> Result<Snapshot, ApplyError> {
        let edits: Vec<Edit> = entries
            .into_iter()
            .map(|e| Edit::Put(e.path, e.object))
            .collect();
        let mut built = Snapshot::default().with_edits(&edits);
        if built.digest != expected {
            return Err(ApplyError::DigestMismatch { version });
        }
        built.version = version;
        built.change = change;
        Ok(built)
    }

    /// The version of this snapshot.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Digest of the whole content.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The change that made this version.
    pub fn change(&self) -> ChangeId {
        self.change
    }

    /// All entries; sorted within a bucket, buckets in no meaningful order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.buckets.iter().flat_map(|b| b.entries.iter())
    }

    /// Number of objects.
    pub fn len(&self) -> usize {
        self.buckets.iter().map(|b| b.entries.len()).sum()
    }

    /// Whether there is no object.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The object at a path.
    ///
    /// ```
    /// use tarragoncourse::state::{id::Path, snapshot::Snapshot};
    /// assert!(Snapshot::default().get(&Path::new("guild").unwrap()).is_none());
    /// ```
    pub fn get(&self, path: &Path) -> Option<&Arc<Object>> {
        let entries = &self.buckets[bucket_of(path)].entries;
        let at = entries.binary_search_by(|e| e.path.cmp(path)).ok()?;
        Some(&entries[at].object)
    }

    /// The configuration after some edits, still under the present version.
    pub fn with_edits(&self, edits: &[Edit]) -> Snapshot {
        let mut next = self.clone();
        let mut touched = [false; BUCKET_COUNT];
        for edit in edits {
            let at = bucket_of(edit.path());
            touched[at] = true;
            Arc::make_mut(&mut next.buckets[at]).apply_edit(edit);
        }
        for at in (0..BUCKET_COUNT).filter(|at| touched[*at]) {
            Arc::make_mut(&mut next.buckets[at]).update_digest();
        }
        next.digest = next.compute_digest();
        next
    }

    /// Applies a delta whole, or refuses it whole.
    ///
    /// # Errors
    /// [`ApplyError::VersionGap`] when versions are missing; [`ApplyError::DigestMismatch`] when the result is
    /// not the configuration that was accepted.
    pub fn apply(&self, delta: &Delta) -> Result<Snapshot, ApplyError> {
        if delta.base != self.version || delta.version <= self.version {
            return Err(ApplyError::VersionGap {
                held: self.version,
                to: delta.version,
            });
        }
        let mut next = self.with_edits(&delta.edits);
        if next.digest != delta.digest {
            return Err(ApplyError::DigestMismatch {
                version: delta.version,
            });
        }
        next.version = delta.version;
        next.change = delta.change;
        Ok(next)
    }

    /// Builds a snapshot from entries that come from outside the system, so that no digest is
    /// known beforehand. Every node that builds from the same entries gets the same digest.
    ///
    /// ```
    /// use tarragoncourse::state::{id::Version, snapshot::Snapshot};
    /// let built = Snapshot::from_external(Version(7), Vec::new());
    /// assert_eq!(built.digest(), Snapshot::default().digest());
    /// ```
    pub fn from_external(version: Version, entries: Vec<Entry>) -> Snapshot {
        let edits: Vec<Edit> = entries
            .into_iter()
            .map(|e| Edit::Put(e.path, e.object))
            .collect();
        let mut built = Snapshot::default().with_edits(&edits);
        built.version = version;
        built.change = ChangeId(version.0.into());
        built
    }

    /// The delta that leads from this configuration to a later one.
    pub fn delta_to(&self, later: &Snapshot, author: &str) -> Delta {
        Delta {
            base: self.version,
            version: later.version,
            digest: later.digest,
            change: later.change,
            author: author.to_string(),
            edits: self.edits_to(later),
        }
    }

    /// The edits that turn this configuration into another one.
    pub fn edits_to(&self, other: &Snapshot) -> Vec<Edit> {
        let pairs = self.buckets.iter().zip(&other.buckets);
        pairs
            .filter(|(a, b)| a.digest != b.digest)
            .flat_map(|(a, b)| a.edits_to(b))
            .collect()
    }

    fn compute_digest(&self) -> Digest {
        let mut digest = DigestBuilder::default();
        for b in &self.buckets {
            digest.bytes(&b.digest.0);
        }
        digest.finish()
    }
}

impl Bucket {
    fn apply_edit(&mut self, edit: &Edit) {
        let found = self.entries.binary_search_by(|e| e.path.cmp(edit.path()));
        match (edit, found) {
            (Edit::Put(_, object), Ok(at)) => self.entries[at].object = object.clone(),
            (Edit::Put(path, object), Err(at)) => self.entries.insert(
                at,
                Entry {
                    path: path.clone(),
                    object: object.clone(),
                },
            ),
            (Edit::Delete(_), Ok(at)) => drop(self.entries.remove(at)),
            (Edit::Delete(_), Err(_)) => {}
        }
    }

    fn update_digest(&mut self) {
        if self.entries.is_empty() {
            self.digest = Digest::default();
            return;
        }
        let mut digest = DigestBuilder::default();
        for e in &self.entries {
            digest.bytes(&e.object.digest(&e.path).0);
        }
        self.digest = digest.finish();
    }

    fn edits_to(&self, other: &Bucket) -> Vec<Edit> {
        let removed = |e: &&Entry| !other.entries.iter().any(|o| o.path == e.path);
        let changed = |e: &&Entry| !self.entries.contains(e);
        let deletes = self.entries.iter().filter(removed);
        let puts = other.entries.iter().filter(changed);
        deletes
            .map(|e| Edit::Delete(e.path.clone()))
            .chain(puts.map(|e| Edit::Put(e.path.clone(), e.object.clone())))
            .collect()
    }
}

impl PartialEq for Snapshot {
    fn eq(&self, other: &Snapshot) -> bool {
        (self.version, self.digest, self.change) == (other.version, other.digest, other.change)
    }
}

impl fmt::Debug for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Snapshot({} {:?})", self.version, self.digest)
    }
}

fn bucket_of(path: &Path) -> usize {
    blake3::hash(path.as_str().as_bytes()).as_bytes()[0] as usize
}

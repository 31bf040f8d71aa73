//! Immutable configuration snapshots with an incremental digest.
//!
//! A snapshot consists of 256 buckets of sorted entries. Applying a delta copies and hashes only
//! the buckets that it changes, so the cost depends on the size of the delta and not on the size of
//! the configuration.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};

use super::digest::{Digest, DigestBuilder};
use super::id::{ChangeId, Path, Version};
use super::object::Object;

const BUCKET_COUNT: usize = 256;

/// A configuration object with its path.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Path of the object.
    pub path: Path,
    /// The object, shared between snapshots.
    pub object: Arc<Object>,
}

/// The creation, replacement or removal of one object. A change consists of one or more edits.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Creates or replaces the object at the path.
    Put(Path, Arc<Object>),
    /// Removes the object at the path. It is not an error if there is none.
    Delete(Path),
}

impl Edit {
    /// Path of the object that the edit changes.
    pub fn path(&self) -> &Path {
        match self {
            Edit::Put(p, _) | Edit::Delete(p) => p,
        }
    }
}

/// The edits that lead from one version to a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct Delta {
    /// The version to which the delta applies.
    pub base: Version,
    /// The version that the delta produces.
    pub version: Version,
    /// Digest of the complete configuration after the delta.
    pub digest: Digest,
    /// The change that produced the new version.
    pub change: ChangeId,
    /// Name of the team or administrator that submitted the change.
    pub author: String,
    /// The edits, in order.
    pub edits: Vec<Edit>,
}

/// Why a delta or a snapshot was rejected. A delta is applied completely or not at all.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ApplyError {
    /// The delta does not apply to the current version.
    #[display(
        "delta to version {delta_version} does not apply to version {current}; pull the deltas between them"
    )]
    VersionGap {
        /// The current version.
        current: Version,
        /// The version that the delta produces.
        delta_version: Version,
    },
    /// The result does not have the expected digest.
    #[display("digest of version {version} differs from the expected digest; pull a full snapshot")]
    DigestMismatch {
        /// The version that was rejected.
        version: Version,
    },
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    entries: Vec<Entry>,
    digest: Digest,
}

/// A complete configuration at one version.
#[derive(Clone)]
pub struct Snapshot {
    version: Version,
    digest: Digest,
    change: ChangeId,
    buckets: Vec<Arc<Bucket>>,
}

impl Default for Snapshot {
    fn default() -> Self {
        // All empty buckets share one allocation; a bucket is copied when it is modified.
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
    /// Builds a snapshot from the complete list of entries that a peer or the platform returned.
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

    pub fn version(&self) -> Version {
        self.version
    }

    /// Digest of all entries. It does not cover the version and the change.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The change that produced this version.
    pub fn change(&self) -> ChangeId {
        self.change
    }

    /// All entries, sorted within a bucket. The order of the buckets depends on a hash of the
    /// paths.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.buckets.iter().flat_map(|b| b.entries.iter())
    }

    /// Number of objects.
    pub fn len(&self) -> usize {
        self.buckets.iter().map(|b| b.entries.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the object at a path.
    ///
    /// ```
    /// use tarragoncourse::state::{id::Path, snapshot::Snapshot};
    /// assert!(Snapshot::default().get(&Path::new("guild").unwrap()).is_none());
    /// ```
    pub fn get(&self, path: &Path) -> Option<&Arc<Object>> {
        let entries = &self.buckets[bucket_of(path)].entries;
        let index = entries.binary_search_by(|e| e.path.cmp(path)).ok()?;
        Some(&entries[index].object)
    }

    /// Returns this configuration with the edits applied. The version and the change identifier
    /// stay the same.
    pub fn with_edits(&self, edits: &[Edit]) -> Snapshot {
        let mut next = self.clone();
        let mut touched = [false; BUCKET_COUNT];
        for edit in edits {
            let bucket = bucket_of(edit.path());
            touched[bucket] = true;
            Arc::make_mut(&mut next.buckets[bucket]).apply_edit(edit);
        }
        for bucket in (0..BUCKET_COUNT).filter(|bucket| touched[*bucket]) {
            Arc::make_mut(&mut next.buckets[bucket]).update_digest();
        }
        next.digest = next.compute_digest();
        next
    }

    /// Applies all edits of a delta, or rejects the delta.
    ///
    /// # Errors
    /// [`ApplyError::VersionGap`] when the delta does not apply to this version;
    /// [`ApplyError::DigestMismatch`] when the result does not have the delta's digest.
    pub fn apply(&self, delta: &Delta) -> Result<Snapshot, ApplyError> {
        if delta.base != self.version || delta.version <= self.version {
            return Err(ApplyError::VersionGap {
                current: self.version,
                delta_version: delta.version,
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

    /// Builds a snapshot from entries of an external source, which supplies no digest to verify.
    /// All nodes that build from the same entries compute the same digest.
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

    /// Returns the delta from this configuration to a later one.
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

    /// Returns the edits that turn this configuration into another one.
    pub fn edits_to(&self, other: &Snapshot) -> Vec<Edit> {
        let pairs = self.buckets.iter().zip(&other.buckets);
        pairs
            .filter(|(a, b)| a.digest != b.digest)
            .flat_map(|(a, b)| a.edits_to(b))
            .collect()
    }

    fn compute_digest(&self) -> Digest {
        let mut builder = DigestBuilder::default();
        for b in &self.buckets {
            builder.bytes(&b.digest.0);
        }
        builder.finish()
    }
}

impl Bucket {
    fn apply_edit(&mut self, edit: &Edit) {
        let position = self.entries.binary_search_by(|e| e.path.cmp(edit.path()));
        match (edit, position) {
            (Edit::Put(_, object), Ok(index)) => self.entries[index].object = object.clone(),
            (Edit::Put(path, object), Err(index)) => self.entries.insert(
                index,
                Entry {
                    path: path.clone(),
                    object: object.clone(),
                },
            ),
            (Edit::Delete(_), Ok(index)) => drop(self.entries.remove(index)),
            (Edit::Delete(_), Err(_)) => {}
        }
    }

    fn update_digest(&mut self) {
        if self.entries.is_empty() {
            self.digest = Digest::default();
            return;
        }
        let mut builder = DigestBuilder::default();
        for e in &self.entries {
            builder.bytes(&e.object.digest(&e.path).0);
        }
        self.digest = builder.finish();
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

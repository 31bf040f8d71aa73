//! Workspaces: groups of callers that share keys, a priority and a rate limit.

use derive_more::{Display, Error};

use super::digest::DigestBuilder;
use super::id::Path;

/// Context of the key digests, so that they differ from all other digests of the same text.
const KEY_CONTEXT: &str = "tarragoncourse workspace key v1";
/// Longest name of a workspace, in bytes. It is sent in a header.
const NAME_MAX_BYTES: usize = 200;

/// Digest of a workspace's key. Only digests are stored, sent to other nodes and logged. `Debug`
/// prints the first 12 of the 64 hexadecimal digits.
#[derive(Clone, Copy, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{}", blake3::Hash::from(self.0).to_hex())]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    ///
    /// ```
    /// use tarragoncourse::state::workspace::KeyDigest;
    /// let digest = KeyDigest::of("nr26tta828m82thhkmgj");
    /// assert_eq!(KeyDigest::parse(&digest.to_string()), Some(digest));
    /// assert_ne!(digest, KeyDigest::of(""));
    /// ```
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(blake3::derive_key(KEY_CONTEXT, key.as_bytes()))
    }

    /// Parses 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<KeyDigest> {
        blake3::Hash::from_hex(text)
            .ok()
            .map(|h| KeyDigest(h.into()))
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.to_string()[..12])
    }
}

/// Limit on the requests of a workspace at all nodes together.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{rate}/s burst {burst}")]
pub struct RateLimit {
    /// Sustained rate, in requests per second.
    pub rate: f64,
    /// Number of requests allowed at once after an idle period.
    pub burst: f64,
}

impl RateLimit {
    /// Creates a limit. Returns `None` if the rate is zero, negative or not finite, which means that
    /// the workspace is not limited. An invalid burst is read as zero.
    ///
    /// ```
    /// use tarragoncourse::state::workspace::RateLimit;
    /// assert_eq!(RateLimit::new(0.0, 10.0), None);
    /// assert_eq!(RateLimit::new(5.0, -1.0).unwrap().burst, 0.0);
    /// ```
    pub fn new(rate: f64, burst: f64) -> Option<RateLimit> {
        let burst = match burst.is_finite() {
            true => burst.max(0.0),
            false => 0.0,
        };
        (rate.is_finite() && rate > 0.0).then_some(RateLimit { rate, burst })
    }
}

/// A group of callers. Each key identifies a caller as a member of the workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name that targets receive with the requests of the workspace.
    pub name: String,
    /// Digests of the keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of the requests, in place of the priority of their routes.
    pub priority: Option<u8>,
    /// Limit on the requests; `None` if they are not limited.
    pub limit: Option<RateLimit>,
}

/// Why a workspace is rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum WorkspaceError {
    /// The name cannot be sent in a header.
    #[display(
        "the name of a workspace must have 1 to {NAME_MAX_BYTES} visible ASCII characters; rename it"
    )]
    Name,
}

impl Workspace {
    /// Checks that the name can be sent in a header.
    ///
    /// # Errors
    /// [`WorkspaceError::Name`] if it is empty, too long or not printable ASCII.
    pub fn check(&self) -> Result<(), WorkspaceError> {
        let valid_length = (1..=NAME_MAX_BYTES).contains(&self.name.len());
        let visible = self.name.bytes().all(|b| b.is_ascii_graphic());
        match valid_length && visible {
            true => Ok(()),
            false => Err(WorkspaceError::Name),
        }
    }

    pub(super) fn hash_into(&self, builder: &mut DigestBuilder) {
        builder.text(&self.name);
        builder.number(self.keys.len() as u64);
        for key in &self.keys {
            builder.bytes(&key.0);
        }
        builder.number(self.priority.map_or(0, |p| u64::from(p) + 1));
        let (rate, burst) = self.limit.map_or((0.0, 0.0), |l| (l.rate, l.burst));
        builder.number(rate.to_bits()).number(burst.to_bits());
    }
}

/// Identifies a workspace between nodes: a digest of its path.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct WorkspaceId(pub u64);

impl From<&Path> for WorkspaceId {
    fn from(path: &Path) -> WorkspaceId {
        let mut builder = DigestBuilder::default();
        let digest = builder.text("workspace").text(path.as_str()).finish();
        let bytes = digest.0[..8].try_into().expect("the slice has eight bytes");
        WorkspaceId(u64::from_le_bytes(bytes))
    }
}

/// A workspace with its path and identifier.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    /// Path of the workspace object.
    pub path: Path,
    /// Identifier between nodes.
    pub id: WorkspaceId,
    pub workspace: Workspace,
}

impl WorkspaceEntry {
    /// Creates the entry of a workspace.
    pub fn new(path: &Path, workspace: &Workspace) -> WorkspaceEntry {
        WorkspaceEntry {
            path: path.clone(),
            id: path.into(),
            workspace: workspace.clone(),
        }
    }
}

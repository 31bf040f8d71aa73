//! Newtypes for configuration versions, identifiers and configuration paths.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, From};
use smallvec::SmallVec;

/// A configuration version. Versions only increase; version zero is the empty configuration.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl Version {
    /// Returns the next version.
    ///
    /// ```
    /// use tarragoncourse::state::id::Version;
    /// assert_eq!(Version(4).next(), Version(5));
    /// ```
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

/// Identifies one configuration change: 128 random bits, written as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:032x}")]
pub struct ChangeId(pub u128);

/// Identifies one attempt to run a request at one target: 128 random bits, written as 32
/// hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:032x}")]
pub struct AttemptId(pub u128);

/// Distinguishes successive processes that use the same address. It starts as the wall-clock time
/// of the process start, in milliseconds since the Unix epoch. A process increases it to refute a
/// record of its address that has a higher incarnation.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Identifies what a request is, whatever its id: the same request that comes again has the same
/// fingerprint. A digest of the parts that the caller chooses, written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

/// The fingerprints of one request: for any caller and, if the caller is known, for this one.
pub type Fingerprints = SmallVec<[Fingerprint; 2]>;

/// Parses 32 hexadecimal digits into the value of a [`ChangeId`] or [`AttemptId`].
///
/// ```
/// use tarragoncourse::state::id::parse_hex;
/// assert_eq!(parse_hex("000000000000000000000000000000ff"), Some(255));
/// assert_eq!(parse_hex("ff"), None);
/// ```
pub fn parse_hex(text: &str) -> Option<u128> {
    if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}

/// Maximum length of a path.
pub const PATH_MAX_BYTES: usize = 200;

/// The path of a configuration object: segments of lower-case letters, digits, `-`, `_` and `.`,
/// separated by `/`. The first segment is the name of the owning team. Cloning shares the text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Path(Arc<str>);

/// Why a text is not a valid [`Path`].
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum PathError {
    /// The text is empty or longer than [`PATH_MAX_BYTES`].
    #[display("a path must have 1 to {PATH_MAX_BYTES} bytes; correct its length")]
    InvalidLength,
    /// A segment is empty or contains a character that is not allowed.
    #[display(
        "path `{_0}` must be segments of a-z, 0-9, `-`, `_`, `.` joined by single `/`; rename it"
    )]
    InvalidSegment(#[error(not(source))] String),
}

impl Path {
    /// Validates a text and creates the path.
    ///
    /// ```
    /// use tarragoncourse::state::id::Path;
    /// let p = Path::new("guild/routes/cutting").unwrap();
    /// assert_eq!(p.team(), "guild");
    /// assert!(Path::new("guild//cutting").is_err());
    /// ```
    pub fn new(text: &str) -> Result<Path, PathError> {
        if text.is_empty() || text.len() > PATH_MAX_BYTES {
            return Err(PathError::InvalidLength);
        }
        if !text.split('/').all(is_segment) {
            return Err(PathError::InvalidSegment(text.to_string()));
        }
        Ok(Path(Arc::from(text)))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The first segment, which is the name of the team that owns the path.
    pub fn team(&self) -> &str {
        self.0.split('/').next().unwrap_or_default()
    }

    /// The last segment.
    pub fn name(&self) -> &str {
        self.0.rsplit('/').next().unwrap_or_default()
    }
}

fn is_segment(s: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    !s.is_empty() && s.bytes().all(allowed)
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

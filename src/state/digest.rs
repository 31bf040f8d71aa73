//! Content digests: 256-bit BLAKE3 hashes over a canonical encoding.

use std::fmt;

/// The digest of a configuration, or of a part of it. `Debug` prints only the first 12 of its 64
/// hexadecimal digits.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Parses 64 hexadecimal digits.
    ///
    /// ```
    /// use tarragoncourse::state::digest::Digest;
    /// let d = Digest([7; 32]);
    /// assert_eq!(Digest::parse(&d.to_string()), Some(d));
    /// ```
    pub fn parse(text: &str) -> Option<Digest> {
        blake3::Hash::from_hex(text).ok().map(|h| Digest(h.into()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from(self.0).to_hex().as_str())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from(self.0).to_hex()[..12])
    }
}

/// Hashes a sequence of fields. Byte strings and texts are preceded by their length, so that
/// different lists of fields of the same types never have the same encoding.
#[derive(Default)]
pub struct DigestBuilder(blake3::Hasher);

impl DigestBuilder {
    /// Hashes the length of a byte string and then its bytes.
    pub fn bytes(&mut self, b: &[u8]) -> &mut Self {
        self.0.update(&(b.len() as u64).to_le_bytes());
        self.0.update(b);
        self
    }

    /// Hashes a text: its length in bytes and then its UTF-8 bytes.
    pub fn text(&mut self, s: &str) -> &mut Self {
        self.bytes(s.as_bytes())
    }

    /// Hashes a number as eight little-endian bytes.
    pub fn number(&mut self, n: u64) -> &mut Self {
        self.0.update(&n.to_le_bytes());
        self
    }

    /// Returns the digest of all fields added so far.
    pub fn finish(&self) -> Digest {
        Digest(*self.0.finalize().as_bytes())
    }
}

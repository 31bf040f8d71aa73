//! Content digests: 256-bit BLAKE3 over a canonical encoding.

use std::fmt;

/// The digest of a configuration, or of a part of one.
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

/// Feeds typed fields to BLAKE3 with their lengths, so that no two field lists encode alike.
#[derive(Default)]
pub struct DigestBuilder(blake3::Hasher);

impl DigestBuilder {
    /// Adds a byte string, preceded by its length.
    pub fn bytes(&mut self, b: &[u8]) -> &mut Self {
        self.0.update(&(b.len() as u64).to_le_bytes());
        self.0.update(b);
        self
    }

    /// Adds a text field.
    pub fn text(&mut self, s: &str) -> &mut Self {
        self.bytes(s.as_bytes())
    }

    /// Adds an unsigned number.
    pub fn number(&mut self, n: u64) -> &mut Self {
        self.0.update(&n.to_le_bytes());
        self
    }

    /// The digest of everything fed so far.
    pub fn finish(&self) -> Digest {
        Digest(*self.0.finalize().as_bytes())
    }
}

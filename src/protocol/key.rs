//! Authentication: the key that nodes share, and salted hashes of operators' bearer tokens.

use std::fmt;

use subtle::ConstantTimeEq;

/// Length of a message authentication code.
pub const MAC_BYTES: usize = 16;

/// The secret key that all nodes of a fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives the key from the secret in the node's settings file.
    pub fn derive(secret: &str) -> FleetKey {
        FleetKey(blake3::derive_key(
            "tarragoncourse fleet key v1",
            secret.as_bytes(),
        ))
    }

    /// Computes the authentication code of the parts. The code covers their concatenation, so the
    /// boundaries between the parts are not authenticated.
    ///
    /// ```
    /// use tarragoncourse::protocol::key::FleetKey;
    /// let key = FleetKey::derive("secret");
    /// assert_eq!(key.mac(&[b"ab", b"c"]), key.mac(&[b"a", b"bc"]));
    /// ```
    pub fn mac(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for p in parts {
            hasher.update(p);
        }
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Checks the authentication code of the parts, in constant time.
    pub fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.mac(parts).ct_eq(mac).into()
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// Hashes an operator's token with a salt. Returns `salt:hash` in hexadecimal.
///
/// ```
/// use tarragoncourse::protocol::key::{hash_token, token_matches};
/// let stored = hash_token("a-long-random-token", 7);
/// assert!(token_matches("a-long-random-token", &stored));
/// assert!(!token_matches("another", &stored));
/// ```
pub fn hash_token(token: &str, salt: u128) -> String {
    let salt = format!("{salt:032x}");
    let hash = hash_with_salt(&salt, token);
    format!("{salt}:{}", hash.to_hex())
}

/// Checks a token against a stored hash, in constant time.
pub fn token_matches(token: &str, stored: &str) -> bool {
    let Some((salt, expected)) = stored.split_once(':') else {
        return false;
    };
    let hash = hash_with_salt(salt, token).to_hex();
    hash.as_bytes().ct_eq(expected.as_bytes()).into()
}

fn hash_with_salt(salt: &str, token: &str) -> blake3::Hash {
    let key = blake3::derive_key("tarragoncourse operator token v1", salt.as_bytes());
    blake3::keyed_hash(&key, token.as_bytes())
}

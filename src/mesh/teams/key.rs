//! Keyed hashing of API keys, so that only digests are stored and compared.

use std::hash::Hasher;

use rand::random;
use siphasher::sip128::{Hasher128, SipHasher24};

/// The digest of a key. Equal for equal keys under the same hasher; reveals nothing about the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyDigest(u128);

/// Hashes keys under a random secret, a new one for each roster.
///
/// Only digests are compared, so the comparison time reveals nothing to a sender who does not know the secret.
#[derive(Clone, Copy)]
pub struct KeyHasher {
    secret: [u8; 16],
}

impl KeyHasher {
    /// A hasher with a new random secret.
    pub fn new() -> Self {
        Self { secret: random() }
    }

    /// The digest of a key, computed in time that depends only on the length of the key.
    pub fn digest(&self, key: &[u8]) -> KeyDigest {
        let mut hasher = SipHasher24::new_with_key(&self.secret);
        hasher.write(key);
        KeyDigest(hasher.finish128().as_u128())
    }
}

impl Default for KeyHasher {
    fn default() -> Self {
        Self::new()
    }
}

impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyHasher")
    }
}

//! How API keys are kept and compared.

use std::hash::Hasher;

use rand::random;
use siphasher::sip128::{Hasher128, SipHasher24};

/// What is kept of a key. Equal for equal keys under the same hasher; tells nothing of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyDigest(u128);

/// Hashes keys under a secret that is drawn anew for each roster.
///
/// Only digests are compared. A sender who cannot know the secret learns nothing from how long that takes.
#[derive(Clone, Copy)]
pub struct KeyHasher {
    secret: [u8; 16],
}

impl KeyHasher {
    /// A hasher with a secret of its own.
    pub fn new() -> Self {
        Self { secret: random() }
    }

    /// The digest of a key, in time that depends on the length of the key only.
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

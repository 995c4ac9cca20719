//! Idempotency keys that name the one node which may ever run them.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::id::NodeId;

/// What the text of every minted key begins with; no other key may begin with it.
pub const MINTED_PREFIX: &str = "as1.";
/// The longest key a caller may make itself, in bytes.
pub const FOREIGN_MAX_BYTES: usize = 255;
/// The bytes of a minted key before they are encoded: owner, time and nonce.
const MINTED_BYTES: usize = 24;
/// What the key of every claim row begins with.
const CLAIM_ROW_PREFIX: &str = "claim:";
/// The bit of the nonce that marks a key for one request.
const ONE_REQUEST_BIT: u64 = 1 << 63;
/// Keeps the hash for delegated keys apart from every other hash in use.
const DELEGATION_DOMAIN: &[u8] = b"aspenspring delegated key 1";
/// Keeps the hash for claim rows apart from every other hash in use.
const CLAIM_DOMAIN: &[u8] = b"aspenspring claim row 1";

/// How long a key can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum KeyLifetime {
    /// The key was given to a caller, who may present it for long.
    Caller,
    /// The key was minted for a request that came without one. Its caller never learns it, so
    /// nobody presents it after the request's deadline.
    OneRequest,
}

/// A key that belongs to exactly one life of one node for ever.
///
/// Only the owner may run a request with this key, and it remembers in memory what it ran. When the
/// owner is gone nobody else runs the key, so at most one run needs no write to the platform.
///
/// Its text form is `as1.` followed by the owner, the time and the nonce in base64url.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The only node that may run the key, or hand it on.
    pub owner: NodeId,
    /// When the key was minted, in milliseconds since the Unix epoch.
    pub minted_unix_ms: u64,
    /// A random part, whose highest bit tells the lifetime.
    pub nonce: u64,
}

impl Key {
    /// A new key; `random` is taken but for the bit that tells the lifetime.
    pub fn mint(owner: NodeId, unix_ms: u64, random: u64, lifetime: KeyLifetime) -> Self {
        let nonce = match lifetime {
            KeyLifetime::Caller => random & !ONE_REQUEST_BIT,
            KeyLifetime::OneRequest => random | ONE_REQUEST_BIT,
        };
        Self { owner, minted_unix_ms: unix_ms, nonce }
    }

    /// How long the key can run.
    pub fn lifetime(self) -> KeyLifetime {
        if self.nonce & ONE_REQUEST_BIT == 0 {
            KeyLifetime::Caller
        } else {
            KeyLifetime::OneRequest
        }
    }

    /// The key that takes the place of this one after its owner delegated it to `heir`.
    ///
    /// The result depends on nothing but this key and `heir`, so everybody who is told of the
    /// delegation, however often and by whatever way, derives the same key. To `heir` it is a key
    /// of its own like any other. The time of minting and the lifetime are kept.
    pub fn delegated_to(self, heir: NodeId) -> Key {
        let hash = Sha256::new()
            .chain_update(DELEGATION_DOMAIN)
            .chain_update(self.to_bytes())
            .chain_update(heir.0.to_be_bytes())
            .finalize();
        let nonce = u64::from_be_bytes(take(&hash));
        Key::mint(heir, self.minted_unix_ms, nonce, self.lifetime())
    }

    /// The owner, the time and the nonce, each in network order.
    fn to_bytes(self) -> [u8; MINTED_BYTES] {
        let mut bytes = [0; MINTED_BYTES];
        bytes[..8].copy_from_slice(&self.owner.0.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.minted_unix_ms.to_be_bytes());
        bytes[16..].copy_from_slice(&self.nonce.to_be_bytes());
        bytes
    }

    /// The reverse of `to_bytes`.
    fn from_bytes(bytes: &[u8; MINTED_BYTES]) -> Self {
        Self {
            owner: NodeId(u64::from_be_bytes(take(&bytes[..8]))),
            minted_unix_ms: u64::from_be_bytes(take(&bytes[8..16])),
            nonce: u64::from_be_bytes(take(&bytes[16..])),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{MINTED_PREFIX}{}", URL_SAFE_NO_PAD.encode(self.to_bytes()))
    }
}

impl FromStr for Key {
    type Err = KeyTextError;

    /// Reads the text form.
    ///
    /// # Errors
    ///
    /// `NotMinted` without the prefix, `Malformed` where what follows is not a whole key.
    fn from_str(text: &str) -> Result<Self, KeyTextError> {
        let encoded = text.strip_prefix(MINTED_PREFIX).ok_or(KeyTextError::NotMinted)?;
        let decoded = URL_SAFE_NO_PAD.decode(encoded).map_err(|_| KeyTextError::Malformed)?;
        let bytes: [u8; MINTED_BYTES] = decoded.try_into().map_err(|_| KeyTextError::Malformed)?;
        Ok(Self::from_bytes(&bytes))
    }
}

/// The first `N` bytes of a slice that is known to be long enough.
fn take<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let mut taken = [0; N];
    taken.copy_from_slice(&bytes[..N]);
    taken
}

/// An idempotency key as a caller presents it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParsedKey<'a> {
    /// A key that one of our nodes minted.
    Minted(Key),
    /// A key of the caller's own making; it has to be claimed for an owner before it can run.
    Foreign(&'a str),
}

impl<'a> ParsedKey<'a> {
    /// Tells minted keys from those of the caller's own making.
    ///
    /// # Errors
    ///
    /// `Malformed` for a text that begins like a minted key and is none; `Empty`, `TooLong` or
    /// `NotVisibleAscii` for a text that no caller may use.
    pub fn parse(text: &'a str) -> Result<Self, KeyTextError> {
        if text.starts_with(MINTED_PREFIX) {
            return text.parse().map(Self::Minted);
        }
        if text.is_empty() {
            return Err(KeyTextError::Empty);
        }
        if text.len() > FOREIGN_MAX_BYTES {
            return Err(KeyTextError::TooLong);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyTextError::NotVisibleAscii);
        }
        Ok(Self::Foreign(text))
    }
}

/// Why a text is not an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyTextError {
    /// The key has no characters.
    #[error("an idempotency key has at least one character")]
    Empty,
    /// The key is longer than `FOREIGN_MAX_BYTES`.
    #[error("an idempotency key has at most {FOREIGN_MAX_BYTES} characters")]
    TooLong,
    /// The key holds a space, a control character or something beyond ASCII.
    #[error("an idempotency key consists of visible ASCII characters")]
    NotVisibleAscii,
    /// The text does not begin like a minted key.
    #[error("a minted key begins with {MINTED_PREFIX}")]
    NotMinted,
    /// The text begins like a minted key, and the rest is not one.
    #[error("the text after {MINTED_PREFIX} is not a whole key")]
    Malformed,
}

/// The key of the table row that binds a caller's own key for `service` to a minted key.
///
/// The hash makes the row's key safe and short whatever the caller chose, and the length in front
/// of the service keeps (`ab`, `c`) apart from (`a`, `bc`).
pub fn claim_row_key(service: &str, foreign: &str) -> String {
    let hash = Sha256::new()
        .chain_update(CLAIM_DOMAIN)
        .chain_update((service.len() as u64).to_be_bytes())
        .chain_update(service)
        .chain_update(foreign)
        .finalize();
    format!("{CLAIM_ROW_PREFIX}{}", URL_SAFE_NO_PAD.encode(hash))
}

//! Idempotency keys, each of which names the only node that may run requests with it.

use std::fmt;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::id::NodeId;

/// The prefix of every minted key in text form. Caller-supplied keys must not begin with it.
pub const MINTED_PREFIX: &str = "as1.";
/// Maximum length of a caller-supplied key, in bytes.
pub const CALLER_KEY_MAX_BYTES: usize = 255;
/// The length of a minted key before it is encoded, in bytes: owner, time and nonce.
const MINTED_BYTES: usize = 24;
/// The prefix of the table row key of every claim.
const CLAIM_ROW_PREFIX: &str = "claim:";
/// The bit of the nonce that marks a key for one request.
const ONE_REQUEST_BIT: u64 = 1 << 63;
/// Separates the hash for delegated keys from all other hashes in use.
const DELEGATION_HASH_DOMAIN: &[u8] = b"aspenspring delegated key 1";
/// Separates the hash for claim rows from all other hashes in use.
const CLAIM_HASH_DOMAIN: &[u8] = b"aspenspring claim row 1";

/// How long a key can be used to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum KeyLifetime {
    /// The key was issued to a caller, who may use it for a long time.
    Caller,
    /// The key was minted for a request without a key. The caller never receives it, so it is not
    /// used after the request's deadline.
    OneRequest,
}

/// A key that permanently belongs to exactly one incarnation of one node.
///
/// Only the owner may run a request with this key, and it records its runs in memory. No other node
/// runs the key when the owner is gone, so the guarantee of at most one run needs no write to the
/// platform.
///
/// Its text form is `as1.` followed by the owner, the time and the nonce in base64url.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The only node that may run the key or delegate it.
    pub owner: NodeId,
    /// When the key was minted, in milliseconds since the Unix epoch.
    pub minted_unix_ms: u64,
    /// A random part, whose highest bit encodes the lifetime.
    pub nonce: u64,
}

impl Key {
    /// A new key; `random` provides all bits of the nonce except the one for the lifetime.
    pub fn mint(owner: NodeId, unix_ms: u64, random: u64, lifetime: KeyLifetime) -> Self {
        let nonce = match lifetime {
            KeyLifetime::Caller => random & !ONE_REQUEST_BIT,
            KeyLifetime::OneRequest => random | ONE_REQUEST_BIT,
        };
        Self { owner, minted_unix_ms: unix_ms, nonce }
    }

    /// The lifetime that the nonce encodes.
    pub fn lifetime(self) -> KeyLifetime {
        if self.nonce & ONE_REQUEST_BIT == 0 {
            KeyLifetime::Caller
        } else {
            KeyLifetime::OneRequest
        }
    }

    /// The key that replaces this one after its owner delegated it to `successor`.
    ///
    /// The result depends only on this key and `successor`, so every node that learns of the
    /// delegation derives the same key. Its owner is `successor`; the minting time and the lifetime
    /// are kept.
    pub fn delegated_to(self, successor: NodeId) -> Key {
        let hash = Sha256::new()
            .chain_update(DELEGATION_HASH_DOMAIN)
            .chain_update(self.to_bytes())
            .chain_update(successor.0.to_be_bytes())
            .finalize();
        let nonce = u64::from_be_bytes(first_bytes(&hash));
        Key::mint(successor, self.minted_unix_ms, nonce, self.lifetime())
    }

    /// The owner, the time and the nonce, each in network byte order.
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
            owner: NodeId(u64::from_be_bytes(first_bytes(&bytes[..8]))),
            minted_unix_ms: u64::from_be_bytes(first_bytes(&bytes[8..16])),
            nonce: u64::from_be_bytes(first_bytes(&bytes[16..])),
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

    /// Parses the text form.
    ///
    /// # Errors
    ///
    /// `NotMinted` if the prefix is missing, `Malformed` if the rest is not a valid key.
    fn from_str(text: &str) -> Result<Self, KeyTextError> {
        let encoded = text.strip_prefix(MINTED_PREFIX).ok_or(KeyTextError::NotMinted)?;
        let decoded = URL_SAFE_NO_PAD.decode(encoded).map_err(|_| KeyTextError::Malformed)?;
        let bytes: [u8; MINTED_BYTES] = decoded.try_into().map_err(|_| KeyTextError::Malformed)?;
        Ok(Self::from_bytes(&bytes))
    }
}

/// The first `N` bytes of a slice that is known to be long enough.
fn first_bytes<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let mut first = [0; N];
    first.copy_from_slice(&bytes[..N]);
    first
}

/// An idempotency key as received from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParsedKey<'a> {
    /// A key that a node minted.
    Minted(Key),
    /// A caller-supplied key. It must be claimed for an owner before it can run.
    CallerSupplied(&'a str),
}

impl<'a> ParsedKey<'a> {
    /// Distinguishes minted keys from caller-supplied ones.
    ///
    /// # Errors
    ///
    /// `Malformed` for an invalid text with the prefix of minted keys; `Empty`, `TooLong` or
    /// `NotVisibleAscii` for a text that is not allowed as a caller-supplied key.
    pub fn parse(text: &'a str) -> Result<Self, KeyTextError> {
        if text.starts_with(MINTED_PREFIX) {
            return text.parse().map(Self::Minted);
        }
        if text.is_empty() {
            return Err(KeyTextError::Empty);
        }
        if text.len() > CALLER_KEY_MAX_BYTES {
            return Err(KeyTextError::TooLong);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyTextError::NotVisibleAscii);
        }
        Ok(Self::CallerSupplied(text))
    }
}

/// Why a text is not an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyTextError {
    /// The key has no characters.
    #[error("an idempotency key has at least one character")]
    Empty,
    /// The key is longer than `CALLER_KEY_MAX_BYTES`.
    #[error("an idempotency key has at most {CALLER_KEY_MAX_BYTES} characters")]
    TooLong,
    /// The key contains a space, a control character or a non-ASCII character.
    #[error("an idempotency key consists of visible ASCII characters")]
    NotVisibleAscii,
    /// The text does not have the prefix of minted keys.
    #[error("a minted key begins with {MINTED_PREFIX}")]
    NotMinted,
    /// The text after the prefix of minted keys is not a valid key.
    #[error("the text after {MINTED_PREFIX} is not a whole key")]
    Malformed,
}

/// The key of the table row that binds a caller-supplied key for `service` to a minted key.
///
/// Hashing gives a short row key with safe characters, whatever the caller chose. The length prefix
/// of the service distinguishes (`ab`, `c`) from (`a`, `bc`).
pub fn claim_row_key(service: &str, caller_key: &str) -> String {
    let hash = Sha256::new()
        .chain_update(CLAIM_HASH_DOMAIN)
        .chain_update((service.len() as u64).to_be_bytes())
        .chain_update(service)
        .chain_update(caller_key)
        .finalize();
    format!("{CLAIM_ROW_PREFIX}{}", URL_SAFE_NO_PAD.encode(hash))
}

//! Idempotency keys that name the one node which may ever run them.

use serde::{Deserialize, Serialize};

use super::id::NodeId;

/// A key that belongs to exactly one life of one node for ever.
///
/// Only the owner may run a request with this key, and it remembers in memory what it ran. When the
/// owner is gone nobody else runs the key, so at most one run needs no write to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The only node that may run the key, or hand it on.
    pub owner: NodeId,
    /// When the key was minted, in milliseconds since the Unix epoch.
    pub minted_unix_ms: u64,
    /// A random part.
    pub nonce: u64,
}

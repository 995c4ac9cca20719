//! Identifiers of nodes, root requests and attempts.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one incarnation of a node, from the start of its process to the end.
///
/// The id is drawn at random when the process starts, so a restarted node is a different node and
/// is never mistaken for the previous incarnation, whose attempts and keys it has no record of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a root request: one request of an outside caller across all of its hops. Also used as
/// the trace id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RootId(pub u128);

impl fmt::Display for RootId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identifies one attempt of one hop: the unit that is admitted, run, refused or fenced.
///
/// A retry is a new attempt with a new sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The node that sent the attempt.
    pub origin: NodeId,
    /// The sending node's sequence number.
    pub sequence: u64,
    /// A random part, so that the id cannot be guessed from earlier ones.
    pub nonce: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{:08x}", self.origin, self.sequence, self.nonce)
    }
}

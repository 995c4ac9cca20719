//! Identifiers of nodes, whole requests and single attempts.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One life of one node process.
///
/// It is drawn at random when the process starts, so a restarted node is a different node: nothing
/// that was promised by an earlier life can be mistaken for a promise of the present one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One whole request of an outside caller, over all of its hops. It is also the trace id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RootId(pub u128);

impl fmt::Display for RootId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// One attempt of one hop: the unit that is admitted, run, refused or fenced.
///
/// A retry is a new attempt with a new sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The node that sent the attempt.
    pub origin: NodeId,
    /// A counter of the sending node.
    pub sequence: u64,
    /// A random part, so that an attempt cannot be guessed from the ones before it.
    pub nonce: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{:08x}", self.origin, self.sequence, self.nonce)
    }
}

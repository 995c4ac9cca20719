//! Priority of a call: by its class first, then by a hash of its root request.

use serde::{Deserialize, Serialize};

use super::id::RootId;

/// The rank of a class, as set in the settings. The lowest rank is shed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClassRank(pub u8);

/// The id of a policy arm, as set in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ArmId(pub u8);

/// The order in which calls are shed: a call whose level is below a node's floor is refused.
///
/// The high byte is the class rank, the low byte a hash of the root request. All hops of a root
/// therefore have the same level and are admitted or refused alike (as in DAGOR, SoCC 2018).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Level(pub u16);

impl Level {
    /// A floor that refuses nothing.
    pub const LOWEST: Level = Level(0);
    /// The highest level a call can have.
    pub const HIGHEST: Level = Level(u16::MAX);

    /// The level of every hop of `root` in the class of rank `class`.
    pub fn new(class: ClassRank, root: RootId) -> Self {
        Self(u16::from(class.0) << 8 | u16::from(hash_byte(root)))
    }

    /// The class rank of the level.
    pub fn class(self) -> ClassRank {
        ClassRank((self.0 >> 8) as u8)
    }
}

/// Hashes all bits of the root id into one byte.
fn hash_byte(root: RootId) -> u8 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let folded = (root.0 as u64) ^ ((root.0 >> 64) as u64);
    (folded.wrapping_mul(MULTIPLIER) >> 56) as u8
}

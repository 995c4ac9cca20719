//! Which faults come, and when.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How many faults come in one play.
const COUNT: usize = 14;
/// How often the request that ends targets comes besides, several times each.
const CRASHES: usize = 3;

/// What goes wrong, or is done by an operator.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A node is told to stop, and is started again when it has.
    Stop { member: usize },
    /// A node is killed.
    Kill { member: usize },
    /// A node stands still.
    Freeze { member: usize, for_ms: u64 },
    /// A node is told that its settings have changed.
    Reload { member: usize },
    /// The store refuses everything.
    StoreAway { for_ms: u64 },
    /// The store takes questions and answers none.
    StoreSilent { for_ms: u64 },
    /// The store forgets what has changed.
    StoreForgets,
    /// New configurations come in quick succession.
    Configure { count: u32, gap_ms: u64 },
    /// A request that ends its target comes so often, first at this node.
    Crash { member: usize, count: usize },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// When it comes, from the start of the play.
    pub at: Duration,
    /// What it is.
    pub kind: Kind,
}

impl Fault {
    /// What it is and when, for a report.
    pub fn name(&self) -> String {
        format!("{:.1} s {:?}", self.at.as_secs_f64(), self.kind)
    }
}

/// Draws the faults of a seed, in their order. They overlap as it happens.
pub fn draw(seed: u64, members: usize, within: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for _ in 0..COUNT {
        let at = within.mul_f64(rng.random());
        faults.push(Fault { at, kind: draw_kind(&mut rng, members) });
    }
    // Drawn by themselves, so that a seed keeps the faults that it had.
    let mut rng = SmallRng::seed_from_u64(!seed);
    for _ in 0..CRASHES {
        let at = within.mul_f64(rng.random());
        let (member, count) = (rng.random_range(0..members), rng.random_range(1..6));
        faults.push(Fault { at, kind: Kind::Crash { member, count } });
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_kind(rng: &mut SmallRng, members: usize) -> Kind {
    let member = rng.random_range(0..members);
    match rng.random_range(0..11) {
        0 | 1 => Kind::Stop { member },
        2 | 3 => Kind::Kill { member },
        4 => Kind::Freeze { member, for_ms: rng.random_range(200..4_000) },
        5 => Kind::Reload { member },
        6 => Kind::StoreAway { for_ms: rng.random_range(200..6_000) },
        7 => Kind::StoreSilent { for_ms: rng.random_range(200..6_000) },
        8 => Kind::StoreForgets,
        _ => Kind::Configure { count: rng.random_range(1..6), gap_ms: rng.random_range(5..400) },
    }
}

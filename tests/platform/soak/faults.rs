//! The faults of a seed and their times.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The number of faults per seed, without crash requests.
const FAULT_COUNT: usize = 14;
/// The number of additional series of requests that crash their target.
const CRASH_SERIES_COUNT: usize = 3;

/// The number of additional periods in which a target names a limit, and in which one leaves.
const SIGNAL_COUNTS: (usize, usize) = (4, 3);
/// The limits that targets name, in requests per second.
const LIMITS_PER_S: [f64; 5] = [0.0, 0.7, 2.0, 6.5, 20.0];
/// Changes the seed of the periods.
const SIGNALS_SEED: u64 = 0x5197;
/// The number of additional departures of targets, and of faults of all nodes at once.
const DEPARTURE_COUNT: usize = 3;
const SITE_FAULT_COUNT: usize = 1;
/// Changes the seed of these faults.
const SITE_SEED: u64 = 0x0a11;
/// The number of additional periods in which a service rejects requests, and in which a machine is slow.
const CONDITION_COUNTS: (usize, usize) = (2, 4);
/// Changes the seed of these periods.
const CONDITIONS_SEED: u64 = 0xc0d1;

/// The number of additional periods in which a target sends broken answers.
const BROKEN_COUNT: usize = 3;
/// Changes the seed of these periods.
const BROKEN_SEED: u64 = 0xb40c;

/// A fault, or an action of the operator.
#[derive(Clone, Copy, Debug)]
pub enum FaultKind {
    /// A node is stopped with SIGTERM, and restarted after its end.
    Stop { member: usize },
    /// A node is killed with SIGKILL, and restarted.
    Kill { member: usize },
    /// A node is paused with SIGSTOP.
    Pause { member: usize, for_ms: u64 },
    /// A node reads its settings again after SIGHUP.
    Reload { member: usize },
    /// The store refuses every request.
    StoreUnavailable { for_ms: u64 },
    /// The store accepts requests without answering.
    StoreUnresponsive { for_ms: u64 },
    /// The store drops its history of changes.
    StoreDropsHistory,
    /// New configurations are published in quick succession.
    PublishConfigurations { count: u32, gap_ms: u64 },
    /// The target of a node names a limit.
    NameLimit { member: usize, per_s: f64, for_ms: u64 },
    /// The target of a node states that it leaves; then its next incarnation takes over.
    Leave { member: usize, for_ms: u64 },
    /// The target of a node deregisters and serves on; a heartbeat that it sent before arrives `late_ms` after that.
    /// Then its next incarnation takes over.
    Depart { member: usize, kills_all: bool, late_ms: u64, for_ms: u64 },
    /// All nodes are killed at the same moment.
    KillAll,
    /// All nodes are stopped one after the other. Their stops overlap.
    StopAll { gap_ms: u64 },
    /// A target sends a second copy of a share of its answers, in front of the next one on the connection.
    Repeat { member: usize, percent: u64, for_ms: u64 },
    /// A share of a target's answers breaks the protocol.
    BreakAnswers { member: usize, percent: u64, for_ms: u64 },
    /// All targets of a service reject a share of the requests without running them.
    Reject { service: &'static str, percent: u64, for_ms: u64 },
    /// The machine of a node's target takes `percent` of the usual time for its work.
    SlowDown { member: usize, percent: u64, for_ms: u64 },
    /// A request that crashes its target is sent `count` times, first to the node `member`, then to the next ones.
    Crash { member: usize, count: usize },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// The time since the start of the run.
    pub at: Duration,
    /// The kind of fault.
    pub kind: FaultKind,
}

impl Fault {
    /// The time and the kind, for the report.
    pub fn description(&self) -> String {
        format!("{:.1} s {:?}", self.at.as_secs_f64(), self.kind)
    }
}

/// Generates the faults of a seed, sorted by time. They may overlap.
pub fn generate(seed: u64, members: usize, within: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for _ in 0..FAULT_COUNT {
        let at = within.mul_f64(rng.random());
        faults.push(Fault { at, kind: generate_kind(&mut rng, members) });
    }
    // Uses a separate generator, so that the other faults of a seed stay the same.
    let mut rng = SmallRng::seed_from_u64(!seed);
    for _ in 0..CRASH_SERIES_COUNT {
        let at = within.mul_f64(rng.random());
        let (member, count) = (rng.random_range(0..members), rng.random_range(1..6));
        faults.push(Fault { at, kind: FaultKind::Crash { member, count } });
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ SIGNALS_SEED);
    for index in 0..SIGNAL_COUNTS.0 + SIGNAL_COUNTS.1 {
        let at = within.mul_f64(rng.random());
        let (member, for_ms) = (rng.random_range(0..members), rng.random_range(1_500..7_000));
        let per_s = LIMITS_PER_S[rng.random_range(0..LIMITS_PER_S.len())];
        let kind = if index < SIGNAL_COUNTS.0 {
            FaultKind::NameLimit { member, per_s, for_ms }
        } else {
            FaultKind::Leave { member, for_ms }
        };
        faults.push(Fault { at, kind });
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ CONDITIONS_SEED);
    for index in 0..CONDITION_COUNTS.0 + CONDITION_COUNTS.1 {
        let at = within.mul_f64(rng.random());
        let (member, for_ms) = (rng.random_range(0..members), rng.random_range(500..5_000));
        let kind = if index < CONDITION_COUNTS.0 {
            let service = if member % 2 == 0 { "stock" } else { "orders" };
            FaultKind::Reject { service, percent: rng.random_range(20..101), for_ms }
        } else {
            FaultKind::SlowDown { member, percent: rng.random_range(150..400), for_ms }
        };
        faults.push(Fault { at, kind });
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ SITE_SEED);
    for index in 0..DEPARTURE_COUNT + SITE_FAULT_COUNT {
        let at = within.mul_f64(rng.random());
        let member = rng.random_range(0..members);
        let kind = if index < DEPARTURE_COUNT {
            let (late_ms, for_ms) = (rng.random_range(500..5_000), rng.random_range(5_000..8_000));
            FaultKind::Depart { member, kills_all: rng.random_bool(0.5), late_ms, for_ms }
        } else if rng.random() {
            FaultKind::StopAll { gap_ms: rng.random_range(0..1_200) }
        } else {
            FaultKind::KillAll
        };
        faults.push(Fault { at, kind });
        let for_ms = rng.random_range(1_000..6_000);
        let kind = FaultKind::Repeat { member, percent: rng.random_range(3..40), for_ms };
        faults.push(Fault { at: within.mul_f64(rng.random()), kind });
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ BROKEN_SEED);
    for _ in 0..BROKEN_COUNT {
        let at = within.mul_f64(rng.random());
        let (member, for_ms) = (rng.random_range(0..members), rng.random_range(1_000..6_000));
        let kind = FaultKind::BreakAnswers { member, percent: rng.random_range(3..40), for_ms };
        faults.push(Fault { at, kind });
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn generate_kind(rng: &mut SmallRng, members: usize) -> FaultKind {
    let member = rng.random_range(0..members);
    match rng.random_range(0..11) {
        0 | 1 => FaultKind::Stop { member },
        2 | 3 => FaultKind::Kill { member },
        4 => FaultKind::Pause { member, for_ms: rng.random_range(200..4_000) },
        5 => FaultKind::Reload { member },
        6 => FaultKind::StoreUnavailable { for_ms: rng.random_range(200..6_000) },
        7 => FaultKind::StoreUnresponsive { for_ms: rng.random_range(200..6_000) },
        8 => FaultKind::StoreDropsHistory,
        _ => FaultKind::PublishConfigurations {
            count: rng.random_range(1..6),
            gap_ms: rng.random_range(5..400),
        },
    }
}

//! Benchmarks admission control: prints the time of one `offer` and one `finish`, in nanoseconds.
//!
//! `cargo run --release --example admission_cost`

use std::time::Instant;

use aspenspring::admission::{Admission, Candidate, Decision, End, TargetState};
use aspenspring::call::{ArmId, AttemptId, ClassRank, Level, NodeId, RootId};
use aspenspring::config::Rules;

/// The number of calls offered at each load.
const CALLS: u64 = 2_000_000;
/// The number of calls that the target runs concurrently.
const SLOTS: u32 = 130;
const RULES: &str = r#"{"routes": [], "classes": [
    {"name": "browse", "rank": 1, "deadline_ms": 1000, "deadline_max_ms": 1000},
    {"name": "confirm", "rank": 3, "deadline_ms": 1000, "deadline_max_ms": 1000,
     "reserved_share": 0.1}],
  "services": [{"name": "s", "slots": 130, "connections": 850}],
  "arms": [{"id": 0, "name": "a", "share": 1.0, "policy": "p"}],
  "policies": [{"name": "p", "retry": {"kind": "none"}, "choice": "least_loaded",
    "limit": {"kind": "gradient", "tolerance": 2.0, "smoothing": 0.2}}]}"#;

/// Offers calls at `load` times the capacity and finishes the oldest ones at the target's rate.
fn measure(load: u64) {
    let rules: Rules = serde_json::from_str(RULES).expect("the rules are well formed");
    let mut admission = Admission::new(0, &rules, "s");
    admission.set_target(0, TargetState::Serving, SLOTS, 850);
    let mut running = std::collections::VecDeque::new();
    let mut out: Vec<Decision> = Vec::with_capacity(64);
    let hold_us = 20_000;
    let gap_us = hold_us / u64::from(SLOTS);
    let mut run_count = 0_u64;
    let mut now_us = 0;
    let started = Instant::now();
    for number in 0..CALLS {
        if number % load == 0 {
            now_us += gap_us;
        }
        while let Some((attempt, since_us)) = running.front().copied() {
            if now_us < since_us + hold_us {
                break;
            }
            running.pop_front();
            let end = End::Answered { latency_us: now_us - since_us, healthy: true };
            admission.finish(now_us, attempt, end, &mut out);
        }
        let class = if number % 10 == 0 { ClassRank(3) } else { ClassRank(1) };
        let attempt = AttemptId { origin: NodeId(1), sequence: number, nonce: 0 };
        let root = RootId(u128::from(number) * 0x1234_5678_9abc_def1);
        let level = Level::new(class, root);
        let call = Candidate { attempt, arm: ArmId(0), level, deadline_us: now_us + 1_000_000 };
        admission.offer(now_us, call, &mut out);
        for decision in out.drain(..) {
            let Decision::Run { attempt } = decision else {
                continue;
            };
            run_count += 1;
            running.push_back((attempt, now_us));
        }
    }
    let each_ns = started.elapsed().as_nanos() as f64 / CALLS as f64;
    println!(
        "{load:2}x: {each_ns:.0} ns for an offer with its share of finishes ({run_count} of {CALLS} ran)"
    );
}

fn main() {
    for load in [1, 2, 10] {
        measure(load);
    }
}

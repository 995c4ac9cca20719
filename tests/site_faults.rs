//! Whole nodes under faults, alone and together: the promises hold at every step.

mod site;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use site::{Checked, MS, Network, Site, TableMode};

const SECOND: u64 = 1_000 * MS;
/// The seed of the random cases.
const SEED: u64 = 0x5eed_a59e;
/// How many random cases are tried.
const CASES: u32 = 64;

/// How many random cases are tried: more where the environment asks for them.
fn cases() -> u32 {
    let asked = std::env::var("ASPENSPRING_FAULT_CASES").ok();
    asked.and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

/// Something that goes wrong, or is done, in a run.
#[derive(Clone, Debug)]
enum Op {
    Call { seat: usize, confirm: bool },
    SameKey { one: usize, other: usize, key: u8 },
    Kill { seat: usize },
    Freeze { seat: usize, for_ms: u64 },
    Cut { one: usize, other: usize, for_ms: u64 },
    Leave { seat: usize },
    Table { mode: TableMode },
    Submit { seat: usize, based_on: u64 },
    Wait { for_ms: u64 },
}

fn op() -> impl Strategy<Value = Op> {
    let seat = || 0..6usize;
    let mode =
        prop_oneof![Just(TableMode::Up), Just(TableMode::Down), Just(TableMode::LosesAnswers)];
    prop_oneof![
        12 => (0..2usize, any::<bool>()).prop_map(|(seat, confirm)| Op::Call { seat, confirm }),
        3 => (0..2usize, 0..2usize, 0..4u8)
            .prop_map(|(one, other, key)| Op::SameKey { one, other, key }),
        1 => seat().prop_map(|seat| Op::Kill { seat }),
        1 => (seat(), 1..3_000u64).prop_map(|(seat, for_ms)| Op::Freeze { seat, for_ms }),
        2 => (seat(), seat(), 1..2_000u64)
            .prop_map(|(one, other, for_ms)| Op::Cut { one, other, for_ms }),
        1 => seat().prop_map(|seat| Op::Leave { seat }),
        1 => mode.prop_map(|mode| Op::Table { mode }),
        1 => (seat(), 0..3u64).prop_map(|(seat, based_on)| Op::Submit { seat, based_on }),
        8 => (1..200u64).prop_map(|for_ms| Op::Wait { for_ms }),
    ]
}

fn run(seed: u64, network: Network, ops: &[Op]) -> Result<Site, String> {
    let mut site = Site::start(seed, Network::default());
    site.run(3 * SECOND)?;
    site.network = network;
    for op in ops {
        apply(&mut site, op)?;
        site.run(site.now_us + 3 * MS)?;
    }
    site.network = Network::default();
    site.table.mode = TableMode::Up;
    site.run(site.now_us + 4 * SECOND)?;
    site.check_end()?;
    Ok(site)
}

fn apply(site: &mut Site, op: &Op) -> Checked {
    match *op {
        Op::Call { seat, confirm } => site.call(seat, confirm),
        Op::SameKey { one, other, key } => {
            let key = format!("callers-own-{key}");
            site.confirm_with_key(one, &key);
            site.confirm_with_key(other, &key);
        }
        Op::Kill { seat } => {
            site.kill(seat);
            site.restart(seat);
        }
        Op::Freeze { seat, for_ms } => site.freeze(seat, for_ms * MS),
        Op::Cut { one, other, for_ms } if one != other => site.cut(one, other, for_ms * MS),
        Op::Cut { .. } => {}
        Op::Leave { seat } => site.leave(seat),
        Op::Table { mode } => site.table.mode = mode,
        Op::Submit { seat, based_on } => site.submit(seat, based_on),
        Op::Wait { for_ms } => {
            return site.run(site.now_us + for_ms * MS);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 600,
        ..ProptestConfig::default()
    })]

    #[test]
    fn promises_hold_under_faults_together(
        seed in any::<u64>(),
        loss in 0.0..0.1f64,
        double in 0.0..0.1f64,
        delay_max_ms in 1..40u64,
        ops in proptest::collection::vec(op(), 1..120),
    ) {
        let network = Network { loss, double, delay_max_us: delay_max_ms * MS };
        if let Err(broken) = run(seed, network, &ops) {
            prop_assert!(false, "{}", broken);
        }
    }
}

#[test]
fn a_healthy_site_serves_everything() -> Checked {
    let mut site = Site::start(7, Network { delay_max_us: 2 * MS, ..Network::default() });
    site.run(3 * SECOND)?;
    for index in 0..200 {
        site.call(index % 2, index % 5 == 0);
        site.run(site.now_us + 10 * MS)?;
    }
    site.run(site.now_us + 3 * SECOND)?;
    site.check_end()?;
    if site.served() != 200 {
        return Err(format!("{} of 200 served", site.served()));
    }
    Ok(())
}

#[test]
fn a_configuration_reaches_every_node_with_the_table_away_after_the_accept() -> Checked {
    let mut site = Site::start(11, Network { delay_max_us: 2 * MS, ..Network::default() });
    site.run(3 * SECOND)?;
    site.submit(0, 0);
    site.run(site.now_us + 30 * MS)?;
    site.table.mode = TableMode::Down;
    site.run(site.now_us + 8 * SECOND)?;
    let versions = site.versions();
    if versions.iter().any(|version| *version != 1) {
        return Err(format!("versions in force: {versions:?}"));
    }
    Ok(())
}

#[test]
fn a_read_whose_caller_has_gone_is_cancelled_at_every_hop() -> Checked {
    let mut site = Site::start(13, Network::default());
    site.run(3 * SECOND)?;
    site.call(0, false);
    site.run(site.now_us + 2 * MS)?;
    if site.in_flight() == 0 {
        return Err("the call was over before its caller went".to_owned());
    }
    site.caller_gone();
    // The targets need a millisecond to give up; a run takes up to thirty.
    site.run(site.now_us + 4 * MS)?;
    match site.in_flight() {
        0 => Ok(()),
        left => Err(format!("{left} still in flight")),
    }
}

#[test]
fn a_node_whose_table_is_away_for_ten_minutes_goes_on_serving() -> Checked {
    let mut site = Site::alone(17, Network::default());
    site.run(8 * SECOND)?;
    site.table.mode = TableMode::Down;
    for minute in 1..=10 {
        for call in 0..12 {
            site.run((8_000 + minute * 60_000 + call * 5_000) * MS)?;
            site.call(0, false);
        }
    }
    site.run(site.now_us + 2 * SECOND)?;
    match site.served() {
        120 => Ok(()),
        served => Err(format!("{served} of 120 served")),
    }
}

/// A site that has served for a while, with a confirmation under way from `entry`; the node at `leaving` leaves
/// `after_ms` after it, and the entry stands still for `frozen_ms`.
fn calling_beside_a_leaving_node(
    entry: usize,
    leaving: usize,
    after_ms: u64,
    frozen_ms: u64,
) -> Result<Site, String> {
    let mut site = Site::start(19, Network::default());
    site.run(3 * SECOND)?;
    for index in 0..40 {
        site.call(entry ^ (index & 1), true);
        site.run(site.now_us + 40 * MS)?;
    }
    site.run(site.now_us + 2 * SECOND)?;
    site.call(entry, true);
    site.run(site.now_us + after_ms * MS)?;
    site.leave(leaving);
    site.freeze(entry, frozen_ms * MS);
    Ok(site)
}

/// Whether that call, and all before it, were served.
fn served_beside_a_leaving_node(
    entry: usize,
    leaving: usize,
    after_ms: u64,
    frozen_ms: u64,
) -> Result<bool, String> {
    let mut site = calling_beside_a_leaving_node(entry, leaving, after_ms, frozen_ms)?;
    site.run(site.now_us + 4 * SECOND)?;
    site.check_end()?;
    Ok(site.served() == 41)
}

/// Fails with the moments and times, in milliseconds, of calls that were not served.
fn expect_served_beside_a_leaving_node(leaving: usize, frozen_ms: &[u64]) -> Checked {
    let mut failed = Vec::new();
    for entry in 0..2 {
        for after_ms in 0..8 {
            for frozen_ms in frozen_ms {
                if !served_beside_a_leaving_node(entry, leaving, after_ms, *frozen_ms)? {
                    failed.push((entry, after_ms, *frozen_ms));
                }
            }
        }
    }
    if failed.is_empty() { Ok(()) } else { Err(format!("(entry, after, frozen): {failed:?}")) }
}

#[test]
fn a_planned_stop_fails_no_call_whose_entry_stands_still_for_a_moment() -> Checked {
    expect_served_beside_a_leaving_node(3, &[0, 50, 160, 400])
}

#[test]
fn a_planned_stop_fails_no_call_of_a_service_that_the_entry_does_not_call() -> Checked {
    expect_served_beside_a_leaving_node(5, &[0])
}

#[test]
fn nobody_waits_for_the_leave_of_an_entry_that_is_gone() -> Checked {
    let mut site = calling_beside_a_leaving_node(1, 3, 1, 400)?;
    site.run(site.now_us + 5 * MS)?;
    if site.in_flight() == 0 {
        return Err("nothing waits for the entry".to_owned());
    }
    site.kill(1);
    // The connection is lost 20 ms later, and targets need some milliseconds to answer.
    site.run(site.now_us + 60 * MS)?;
    match site.in_flight() {
        0 => Ok(()),
        left => Err(format!("{left} still in flight")),
    }
}

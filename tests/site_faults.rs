//! Fault injection on a simulated site: the invariants hold at every step, under single faults and
//! random combinations.

mod site;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use site::{InvariantResult, Network, Site, TableMode, US_PER_MS};

/// Microseconds in a second.
const US_PER_S: u64 = 1_000 * US_PER_MS;
/// The seed of the random cases.
const SEED: u64 = 0x5eed_a59e;
/// The default number of random cases.
const CASES: u32 = 64;

/// The number of random cases, which the environment can set.
fn cases() -> u32 {
    let configured = std::env::var("ASPENSPRING_FAULT_CASES").ok();
    configured.and_then(|cases| cases.parse().ok()).unwrap_or(CASES)
}

/// A fault or an operation in a run.
#[derive(Clone, Debug)]
enum Op {
    Call {
        host: usize,
        confirm: bool,
    },
    /// Two confirmations with the same caller-supplied key.
    SameKey {
        one: usize,
        other: usize,
        key: u8,
    },
    /// Kills the node process of a host and starts a new one.
    Kill {
        host: usize,
    },
    Pause {
        host: usize,
        for_ms: u64,
    },
    Partition {
        one: usize,
        other: usize,
        for_ms: u64,
    },
    Leave {
        host: usize,
    },
    Table {
        mode: TableMode,
    },
    Submit {
        host: usize,
        based_on: u64,
    },
    Wait {
        for_ms: u64,
    },
}

fn op_strategy() -> impl Strategy<Value = Op> {
    let host = || 0..6usize;
    let mode =
        prop_oneof![Just(TableMode::Up), Just(TableMode::Down), Just(TableMode::LoseAnswers)];
    prop_oneof![
        12 => (0..2usize, any::<bool>()).prop_map(|(host, confirm)| Op::Call { host, confirm }),
        3 => (0..2usize, 0..2usize, 0..4u8)
            .prop_map(|(one, other, key)| Op::SameKey { one, other, key }),
        1 => host().prop_map(|host| Op::Kill { host }),
        1 => (host(), 1..3_000u64).prop_map(|(host, for_ms)| Op::Pause { host, for_ms }),
        2 => (host(), host(), 1..2_000u64)
            .prop_map(|(one, other, for_ms)| Op::Partition { one, other, for_ms }),
        1 => host().prop_map(|host| Op::Leave { host }),
        1 => mode.prop_map(|mode| Op::Table { mode }),
        1 => (host(), 0..3u64).prop_map(|(host, based_on)| Op::Submit { host, based_on }),
        8 => (1..200u64).prop_map(|for_ms| Op::Wait { for_ms }),
    ]
}

fn run(seed: u64, network: Network, ops: &[Op]) -> Result<Site, String> {
    let mut site = Site::start(seed, Network::default());
    site.run(3 * US_PER_S)?;
    site.network = network;
    for op in ops {
        apply(&mut site, op)?;
        site.run(site.now_us + 3 * US_PER_MS)?;
    }
    site.network = Network::default();
    site.table.mode = TableMode::Up;
    site.run(site.now_us + 4 * US_PER_S)?;
    site.check_end()?;
    Ok(site)
}

fn apply(site: &mut Site, op: &Op) -> InvariantResult {
    match *op {
        Op::Call { host, confirm } => site.call(host, confirm),
        Op::SameKey { one, other, key } => {
            let key = format!("callers-own-{key}");
            site.confirm_with_key(one, &key);
            site.confirm_with_key(other, &key);
        }
        Op::Kill { host } => {
            site.kill(host);
            site.restart(host);
        }
        Op::Pause { host, for_ms } => site.pause(host, for_ms * US_PER_MS),
        Op::Partition { one, other, for_ms } if one != other => {
            site.partition(one, other, for_ms * US_PER_MS);
        }
        Op::Partition { .. } => {}
        Op::Leave { host } => site.leave(host),
        Op::Table { mode } => site.table.mode = mode,
        Op::Submit { host, based_on } => site.submit(host, based_on),
        Op::Wait { for_ms } => {
            return site.run(site.now_us + for_ms * US_PER_MS);
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
        duplicate in 0.0..0.1f64,
        delay_max_ms in 1..40u64,
        ops in proptest::collection::vec(op_strategy(), 1..120),
    ) {
        let network = Network { loss, duplicate, delay_max_us: delay_max_ms * US_PER_MS };
        if let Err(violation) = run(seed, network, &ops) {
            prop_assert!(false, "{}", violation);
        }
    }
}

#[test]
fn a_healthy_site_serves_everything() -> InvariantResult {
    let mut site = Site::start(7, Network { delay_max_us: 2 * US_PER_MS, ..Network::default() });
    site.run(3 * US_PER_S)?;
    for index in 0..200 {
        site.call(index % 2, index % 5 == 0);
        site.run(site.now_us + 10 * US_PER_MS)?;
    }
    site.run(site.now_us + 3 * US_PER_S)?;
    site.check_end()?;
    if site.served() != 200 {
        return Err(format!("{} of 200 served", site.served()));
    }
    Ok(())
}

#[test]
fn a_configuration_reaches_every_node_with_the_table_away_after_the_accept() -> InvariantResult {
    let mut site = Site::start(11, Network { delay_max_us: 2 * US_PER_MS, ..Network::default() });
    site.run(3 * US_PER_S)?;
    site.submit(0, 0);
    site.run(site.now_us + 30 * US_PER_MS)?;
    site.table.mode = TableMode::Down;
    site.run(site.now_us + 8 * US_PER_S)?;
    let versions = site.versions();
    if versions.iter().any(|version| *version != 1) {
        return Err(format!("versions in force: {versions:?}"));
    }
    Ok(())
}

#[test]
fn a_read_whose_caller_has_gone_is_cancelled_at_every_hop() -> InvariantResult {
    let mut site = Site::start(13, Network::default());
    site.run(3 * US_PER_S)?;
    site.call(0, false);
    site.run(site.now_us + 2 * US_PER_MS)?;
    if site.in_flight() == 0 {
        return Err("the call ended before its caller disconnected".to_owned());
    }
    site.disconnect_last_caller();
    // Targets abort within 1 ms; a run takes up to 30 ms.
    site.run(site.now_us + 4 * US_PER_MS)?;
    match site.in_flight() {
        0 => Ok(()),
        left => Err(format!("{left} still in flight")),
    }
}

#[test]
fn a_node_whose_table_is_away_for_ten_minutes_goes_on_serving() -> InvariantResult {
    let mut site = Site::single_node(17, Network::default());
    site.run(8 * US_PER_S)?;
    site.table.mode = TableMode::Down;
    for minute in 1..=10 {
        for call in 0..12 {
            site.run((8_000 + minute * 60_000 + call * 5_000) * US_PER_MS)?;
            site.call(0, false);
        }
    }
    site.run(site.now_us + 2 * US_PER_S)?;
    match site.served() {
        120 => Ok(()),
        served => Err(format!("{served} of 120 served")),
    }
}

/// A site that has served calls for a while, with one more confirmation entering at `entry`. The
/// node at `leaving` starts to leave `after_ms` later; at that moment the entry node is paused for
/// `paused_ms`.
fn call_during_planned_stop(
    entry: usize,
    leaving: usize,
    after_ms: u64,
    paused_ms: u64,
) -> Result<Site, String> {
    let mut site = Site::start(19, Network::default());
    site.run(3 * US_PER_S)?;
    for index in 0..40 {
        site.call(entry ^ (index & 1), true);
        site.run(site.now_us + 40 * US_PER_MS)?;
    }
    site.run(site.now_us + 2 * US_PER_S)?;
    site.call(entry, true);
    site.run(site.now_us + after_ms * US_PER_MS)?;
    site.leave(leaving);
    site.pause(entry, paused_ms * US_PER_MS);
    Ok(site)
}

/// Whether that call and all earlier ones were served.
fn is_served_during_planned_stop(
    entry: usize,
    leaving: usize,
    after_ms: u64,
    paused_ms: u64,
) -> Result<bool, String> {
    let mut site = call_during_planned_stop(entry, leaving, after_ms, paused_ms)?;
    site.run(site.now_us + 4 * US_PER_S)?;
    site.check_end()?;
    Ok(site.served() == 41)
}

/// Fails with the entry, delay and pause, both in milliseconds, of each run with an unserved call.
fn expect_served_during_planned_stop(leaving: usize, paused_ms: &[u64]) -> InvariantResult {
    let mut failed = Vec::new();
    for entry in 0..2 {
        for after_ms in 0..8 {
            for paused_ms in paused_ms {
                if !is_served_during_planned_stop(entry, leaving, after_ms, *paused_ms)? {
                    failed.push((entry, after_ms, *paused_ms));
                }
            }
        }
    }
    if failed.is_empty() {
        Ok(())
    } else {
        Err(format!("(entry, after_ms, paused_ms): {failed:?}"))
    }
}

#[test]
fn a_planned_stop_fails_no_call_whose_entry_node_is_paused_briefly() -> InvariantResult {
    expect_served_during_planned_stop(3, &[0, 50, 160, 400])
}

#[test]
fn a_planned_stop_fails_no_call_of_a_service_that_the_entry_does_not_call() -> InvariantResult {
    expect_served_during_planned_stop(5, &[0])
}

#[test]
fn no_hop_waits_for_a_retry_grant_of_an_entry_node_that_is_gone() -> InvariantResult {
    let mut site = call_during_planned_stop(1, 3, 1, 400)?;
    site.run(site.now_us + 5 * US_PER_MS)?;
    if site.in_flight() == 0 {
        return Err("no hop waits for the entry node".to_owned());
    }
    site.kill(1);
    // The connection is reported lost 20 ms later, and targets take a few milliseconds to answer.
    site.run(site.now_us + 60 * US_PER_MS)?;
    match site.in_flight() {
        0 => Ok(()),
        left => Err(format!("{left} still in flight")),
    }
}

//! Simulates whole call trees with random faults and checks the limits on retries.

use aspenspring::call::{Doubt, HttpAnswer, RefusalReason, RootId, Verdict};
use aspenspring::config::RetryRule;
use aspenspring::retry::{Failure, RetryBudget, RetryStep, RootAllowances, backoff_us, next_step};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DEPTH_MAX: usize = 9;
const FAN_OUT_MAX: usize = 4;
const DEADLINE_US: u64 = 60_000_000;
/// A tree that branches makes no further child calls after this number of attempts, which bounds
/// the run time of a case.
const ATTEMPTS_MAX: u64 = 30_000;

/// The failure probabilities of an attempt at one depth.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// The attempt is refused before it runs.
    refused: f64,
    /// The attempt runs, but its answer is lost.
    lost: f64,
    /// The attempt is answered with 503.
    failed: f64,
}

/// The call tree of one root. Each depth is one node with its own retry budget.
struct Tree<'a> {
    rule: &'a RetryRule,
    depth: usize,
    fan_out: usize,
    faults: &'a [Faults],
    at_most_once: bool,
    allowances: &'a mut RootAllowances,
    budgets: &'a mut [RetryBudget],
    successes: &'a mut [u64],
    tokens_taken: &'a mut [u64],
    rng: &'a mut SmallRng,
    root: RootId,
    now_us: u64,
    attempts: u64,
    /// Attempts beyond the first one of each call.
    extra: u64,
    runs_at_last_depth: u64,
}

impl Tree<'_> {
    /// Makes one call at `depth`, retries included.
    fn call(&mut self, depth: usize) -> Verdict {
        let mut retry = 0;
        loop {
            let verdict = self.attempt(depth);
            if matches!(&verdict, Verdict::Answered(answer) if answer.status < 500) {
                self.budgets[depth].on_success(self.now_us);
                self.successes[depth] += 1;
                return verdict;
            }
            let failure = Failure::builder()
                .verdict(&verdict)
                .at_most_once(self.at_most_once)
                .retry(retry)
                .now_us(self.now_us)
                .deadline_us(DEADLINE_US)
                .expected_latency_us(0)
                .other_target_open(true)
                .build();
            let backoff_us = match next_step(self.rule, &failure, self.rng) {
                RetryStep::Never => return verdict,
                RetryStep::After { backoff_us } => backoff_us,
                RetryStep::AfterGrant { backoff_us } if self.is_granted(depth) => backoff_us,
                RetryStep::AfterGrant { .. } => return verdict,
            };
            assert!(self.now_us + backoff_us < DEADLINE_US, "retried past the deadline");
            self.now_us += backoff_us;
            self.extra += 1;
            retry += 1;
        }
    }

    /// Asks the budget of the node and the allowance of the root for a retry.
    fn is_granted(&mut self, depth: usize) -> bool {
        if !self.budgets[depth].try_take(self.now_us) {
            return false;
        }
        self.tokens_taken[depth] += 1;
        self.allowances.take(self.now_us, self.root)
    }

    fn attempt(&mut self, depth: usize) -> Verdict {
        self.attempts += 1;
        self.now_us += 10;
        let faults = self.faults[depth];
        if self.rng.random_bool(faults.refused) {
            return Verdict::not_run(RefusalReason::TargetUnreachable, 0);
        }
        let lost = self.rng.random_bool(faults.lost);
        let status = self.run(depth);
        if lost {
            return Verdict::MayHaveRun(Doubt::ConnectionLost);
        }
        Verdict::Answered(HttpAnswer { status, headers: Vec::new(), body: Default::default() })
    }

    /// Runs one attempt at its target with all its child calls, and returns the status.
    fn run(&mut self, depth: usize) -> u16 {
        if depth + 1 == self.depth {
            self.runs_at_last_depth += 1;
        }
        let is_cut_off = self.fan_out > 1 && self.attempts > ATTEMPTS_MAX;
        let children = if depth + 1 < self.depth && !is_cut_off { self.fan_out } else { 0 };
        for _ in 0..children {
            let verdict = self.call(depth + 1);
            if !matches!(&verdict, Verdict::Answered(answer) if answer.status < 500) {
                return 503;
            }
        }
        if self.rng.random_bool(self.faults[depth].failed) { 503 } else { 200 }
    }
}

/// The sums over a number of roots that ran one after the other.
#[derive(Debug, Default)]
struct Totals {
    extra_max: u64,
    attempts: u64,
    runs_at_last_depth: u64,
    good: u64,
    successes: Vec<u64>,
    tokens_taken: Vec<u64>,
}

fn run_roots(
    rule: &RetryRule,
    (depth, fan_out): (usize, usize),
    faults: &[Faults],
    at_most_once: bool,
    roots: u128,
    seed: u64,
) -> Totals {
    let (allowance, share) = match rule {
        RetryRule::Bounded { allowance, budget_share, .. } => (*allowance, *budget_share),
        _ => (0, 0.0),
    };
    let mut allowances = RootAllowances::new();
    let mut budgets = vec![RetryBudget::new(share); DEPTH_MAX];
    let mut totals = Totals {
        successes: vec![0; DEPTH_MAX],
        tokens_taken: vec![0; DEPTH_MAX],
        ..Totals::default()
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    for number in 0..roots {
        let root = RootId(number);
        allowances.open(0, root, allowance, DEADLINE_US);
        let mut tree = Tree {
            rule,
            depth,
            fan_out,
            faults,
            at_most_once,
            allowances: &mut allowances,
            budgets: &mut budgets,
            successes: &mut totals.successes,
            tokens_taken: &mut totals.tokens_taken,
            rng: &mut rng,
            root,
            now_us: 0,
            attempts: 0,
            extra: 0,
            runs_at_last_depth: 0,
        };
        let verdict = tree.call(0);
        totals.good +=
            u64::from(matches!(verdict, Verdict::Answered(answer) if answer.status < 500));
        totals.extra_max = totals.extra_max.max(tree.extra);
        totals.attempts += tree.attempts;
        totals.runs_at_last_depth += tree.runs_at_last_depth;
        allowances.close(root);
    }
    assert!(allowances.is_empty());
    totals
}

fn bounded(allowance: u8, budget_share: f64) -> RetryRule {
    RetryRule::Bounded { allowance, budget_share, backoff_ms: 5, backoff_max_ms: 100 }
}

fn faults() -> impl Strategy<Value = Faults> {
    (0.0..1.0f64, 0.0..1.0f64, 0.0..1.0f64, 0.0..1.0f64).prop_map(
        |(refused, lost, failed, scale)| Faults {
            refused: refused * scale,
            lost: lost * scale,
            failed: failed * scale,
        },
    )
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(96))]

    #[test]
    fn extra_attempts_stay_within_allowance_and_budget(
        depth in 1..=DEPTH_MAX,
        fan_out in 1..=FAN_OUT_MAX,
        faults in prop::collection::vec(faults(), DEPTH_MAX),
        allowance in 0..6u8,
        share in 0.0..1.0f64,
        at_most_once in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let rule = bounded(allowance, share);
        let totals = run_roots(&rule, (depth, fan_out), &faults, at_most_once, 8, seed);
        prop_assert!(totals.extra_max <= u64::from(allowance));
        // One free token refills in 10 s, and each of the 8 roots may last until its deadline.
        let refilled = 8.0 * DEADLINE_US as f64 / 10e6;
        for (tokens_taken, successes) in totals.tokens_taken.iter().zip(&totals.successes) {
            prop_assert!(*tokens_taken as f64 <= share * *successes as f64 + 1.0 + refilled);
        }
    }
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn a_budget_never_grants_more_than_it_earned(
        share in 0.0..1.0f64,
        steps in prop::collection::vec((0..3u8, 0..300_000u64), 1..400),
    ) {
        let mut budget = RetryBudget::new(share);
        let (mut now_us, mut successes, mut tokens_taken) = (0, 0.0, 0.0);
        for (step, wait_us) in steps {
            now_us += wait_us;
            if step == 0 {
                budget.on_success(now_us);
                successes += 1.0;
            } else if budget.try_take(now_us) {
                tokens_taken += 1.0;
            }
            prop_assert!(tokens_taken <= share * successes + 1.0 + now_us as f64 / 10e6 + 1e-3);
        }
    }

    #[test]
    fn backoff_stays_within_its_bounds_and_honours_retry_after(
        min_ms in 0..50u64,
        max_ms in 0..500u64,
        retry in any::<u8>(),
        retry_after_ms in 0..10_000u32,
        seed in any::<u64>(),
    ) {
        let rule = RetryRule::Bounded {
            allowance: 3, budget_share: 0.1, backoff_ms: min_ms, backoff_max_ms: max_ms,
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        let total_us = backoff_us(&rule, retry, retry_after_ms, &mut rng);
        let jitter_us = total_us - u64::from(retry_after_ms) * 1_000;
        let ceiling_ms = min_ms.saturating_mul(2u64.saturating_pow(u32::from(retry) + 1));
        prop_assert!(jitter_us >= min_ms * 1_000);
        prop_assert!(jitter_us <= ceiling_ms.min(max_ms.max(min_ms)) * 1_000);
    }
}

#[test]
fn a_chain_of_nine_makes_no_more_than_the_allowance_where_naive_retries_multiply() {
    let mut faults = [Faults { refused: 0.0, lost: 0.0, failed: 0.0 }; DEPTH_MAX];
    faults[DEPTH_MAX - 1].failed = 1.0;
    let naive = RetryRule::Naive { retries: 3 };
    let naive = run_roots(&naive, (DEPTH_MAX, 1), &faults, false, 1, 1);
    let rule = bounded(3, 0.1);
    let bounded = run_roots(&rule, (DEPTH_MAX, 1), &faults, false, 1, 1);
    println!(
        "chain of 9 hops, the last always fails: runs at the last hop: naive {}, bounded {}; total \
         attempts: naive {}, bounded {}",
        naive.runs_at_last_depth, bounded.runs_at_last_depth, naive.attempts, bounded.attempts
    );
    assert_eq!(bounded.extra_max, 3);
    assert!(bounded.attempts <= 9 + 3 * 9);
}

#[test]
fn rare_losses_are_recovered_with_few_extra_attempts() {
    for (lost, good_min, attempts_max) in
        [(0.001, 0.999, 1.02), (0.01, 0.995, 1.1), (0.05, 0.95, 1.35)]
    {
        let faults = [Faults { refused: 0.0, lost, failed: 0.0 }; DEPTH_MAX];
        let attempts_min = (DEPTH_MAX * 2_000) as f64;
        for (name, rule) in [
            ("none", RetryRule::None),
            ("naive", RetryRule::Naive { retries: 3 }),
            ("bounded", bounded(3, 0.1)),
        ] {
            let totals = run_roots(&rule, (DEPTH_MAX, 1), &faults, false, 2_000, 7);
            let good = totals.good as f64 / 2_000.0;
            let ratio = totals.attempts as f64 / attempts_min;
            println!(
                "{lost} of answers lost at each of 9 hops, {name}: good {good:.4}, attempts per \
                 call {ratio:.3}"
            );
            assert!(name != "bounded" || (good >= good_min && ratio <= attempts_max));
        }
    }
}

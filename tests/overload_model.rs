//! Admission under overload, evaluated on a simulated deployment with a paused clock.

use aspenspring::mesh::overload::Policy;

#[allow(dead_code, reason = "the overload example uses more of it")]
mod emulator;

use emulator::{Rejecting, Report, Scenario, deep_chain, deep_chain_of, simulate};

/// Simulates a load of half the bottleneck's capacity, then `peak` times the capacity, then half again.
fn surge(peak: f64, policy: Policy, seed: u64) -> Report {
    simulate(&deep_chain(4, &[(0.0, 0.5), (5.0, peak), (20.0, 0.5)]), policy, seed)
}

/// Like [`deep_chain`], with targets of the last service that each name a limit: `share` of the
/// calls that they get at a load of 1.
fn deep_chain_with_limit(scale: usize, load: &[(f64, f64)], share: f64) -> Scenario {
    let mut scenario = deep_chain(scale, load);
    let whole = deep_chain(scale, &[(0.0, 1.0)]).load[0].1;
    let calls_per_request = (6.0 * 8.0 + 2.0 * 4.0 + 1.5) / 9.5;
    scenario.limit = Some((3, whole * calls_per_request * share / scale as f64));
    scenario
}

/// The share of requests of a kind that were answered, in time or late.
fn served(report: &Report, kind: usize) -> f64 {
    let tally = report.tallies[kind];
    (tally.in_time + tally.late) as f64 / tally.offered as f64
}

#[test]
fn twice_the_load_wastes_nothing_and_the_most_important_are_served() {
    for seed in 1..4 {
        let report = surge(2.0, Policy::Windows, seed);
        assert!(report.wasted() < 0.02, "wasted runs: {}", report.wasted());
        assert!(report.earned() > 0.73, "earned: {}", report.earned());
        let [browse, book, look] = [0, 1, 2].map(|kind| served(&report, kind));
        assert!(book > 0.98 && look > 0.95, "{book} {look}");
        assert!(browse < book && browse > 0.4, "{browse}");
        let (mean, deviation) = report.work_mean_and_deviation(8.0, 20.0);
        assert!(
            deviation < 0.4,
            "work of the bottleneck: mean {mean}, standard deviation {deviation}"
        );
    }
}

#[test]
fn ten_times_the_load_is_no_reason_to_run_what_fails() {
    for seed in 1..4 {
        let report = surge(10.0, Policy::Windows, seed);
        assert!(report.wasted() < 0.02, "wasted runs: {}", report.wasted());
        assert!(report.worst_window() > 0.18, "worst window: {}", report.worst_window());
        assert!(report.windows[11].0 / report.windows[11].1 > 0.9, "no recovery after the surge");
    }
}

#[test]
fn a_load_that_fits_is_hardly_refused() {
    let scenario = deep_chain(4, &[(0.0, 0.5), (5.0, 0.9)]);
    let report = simulate(&scenario, Policy::Windows, 1);
    assert!(report.earned() > 0.96, "earned: {}", report.earned());
}

#[test]
fn the_same_seed_plays_the_same() {
    let figures = |seed| surge(2.0, Policy::Windows, seed).windows;
    assert_eq!(figures(7), figures(7));
}

#[test]
fn limits_of_the_deepest_service_shed_trees_before_they_run() {
    for seed in 1..4 {
        let play =
            |limit, policy| simulate(&deep_chain_with_limit(4, &[(0.0, 0.8)], limit), policy, seed);
        for limit in [0.4, 0.1] {
            let (report, open) = (play(limit, Policy::Windows), play(limit, Policy::Open));
            let (wasted, wasted_open) = (report.wasted(), open.wasted());
            assert!(wasted < wasted_open / 2.0, "{limit}: {wasted}, unlimited entry {wasted_open}");
        }
        let report = play(0.4, Policy::Windows);
        let [browse, book, look] = [0, 1, 2].map(|kind| served(&report, kind));
        assert!(book > 0.95 && look > 0.95 && browse > 0.2, "{browse} {book} {look}");
        let report = simulate(&deep_chain_with_limit(4, &[(0.0, 0.3)], 0.6), Policy::Windows, seed);
        assert!(report.earned() > 0.96, "half of the limit refuses {}", report.earned());
    }
}

/// Targets of the last service reject 0.55 of their offers from 10 s to 18.5 s, at a load of 0.9 and
/// with entry nodes that see 10 requests a second each.
fn rejecting(by_completion: bool, seed: u64) -> Report {
    let mut scenario = deep_chain_of(8, 8, &[(0.0, 0.9)]);
    let times_s = (10.0, 18.5);
    scenario.rejecting = Some(Rejecting { service: 3, share: 0.55, times_s, by_completion });
    scenario.retries = 1;
    simulate(&scenario, Policy::Windows, seed)
}

/// Trees that were admitted and failed, as a share of all requests.
fn failed(report: &Report) -> f64 {
    let offered: u64 = report.tallies.iter().map(|tally| tally.offered).sum();
    let failed: u64 = report.tallies.iter().map(|tally| tally.failed).sum();
    failed as f64 / offered as f64
}

#[test]
fn trees_that_rejecting_targets_would_fail_are_refused_before_they_run() {
    for seed in 1..3 {
        let report = rejecting(true, seed);
        let (failed, failed_off) = (failed(&report), failed(&rejecting(false, seed)));
        assert!(failed < 0.08 && failed < failed_off / 4.0, "{failed}, admitting all {failed_off}");
        let [browse, book] = [0, 1].map(|kind| served(&report, kind));
        assert!(book > 0.75 && book > browse, "rank 0 is not served first: {book} {browse}");
        // The fault takes half a second of the window that begins at 18 s.
        let earned = |window: usize| report.windows[window].0 / report.windows[window].1;
        let (end, after) = (earned(9), earned(10));
        assert!(
            end > 0.35 && after > 0.85,
            "the capacity is not used after the fault: {end} {after}"
        );
    }
}

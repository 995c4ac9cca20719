//! Simulates a deployment under load with each admission policy and prints the results.
//!
//! `cargo run --release --example overload [SEED]`
//!
//! With the environment variable `SERIES`, it also prints the results over time.

use std::time::Instant;

use aspenspring::mesh::overload::Policy;

#[path = "../tests/emulator/mod.rs"]
mod emulator;

use emulator::{Report, Scenario, deep_chain, deep_chain_of, simulate};

/// The compared policies, with their names.
const POLICIES: [(&str, Policy); 3] =
    [("open", Policy::Open), ("levels", Policy::Levels), ("windows", Policy::Windows)];

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    let steady: &[(f64, f64)] = &[(0.0, 0.5), (5.0, 0.9)];
    let double: &[(f64, f64)] = &[(0.0, 0.5), (5.0, 2.0), (20.0, 0.5)];
    let tenfold: &[(f64, f64)] = &[(0.0, 0.5), (5.0, 10.0), (20.0, 0.5)];
    let double_from_start: &[(f64, f64)] = &[(0.0, 2.0)];
    let half: &[(f64, f64)] = &[(0.0, 0.5)];
    let scenarios: [(&str, Scenario); 8] = [
        ("steady 0.9", deep_chain(4, steady)),
        ("double", deep_chain(4, double)),
        ("tenfold", deep_chain(3, tenfold)),
        ("from the start", deep_chain(4, double_from_start)),
        ("double, 12 targets", deep_chain(12, double)),
        ("half, few slots", deep_chain_of(12, 4, half)),
        ("steady, few slots", deep_chain_of(12, 4, steady)),
        ("double, few slots", deep_chain_of(12, 4, double)),
    ];
    println!(
        "{:<22}{:<9}{:>7}{:>7}{:>8}{:>7}{:>6}  served by rank 0 1 2      s",
        "load", "policy", "earned", "worst", "wasted", "work", "+-"
    );
    for (scenario_name, scenario) in &scenarios {
        for (policy_name, policy) in POLICIES {
            let started = Instant::now();
            let report = simulate(scenario, policy, seed);
            println!(
                "{scenario_name:<22}{policy_name:<9}{}{:>7.1}",
                row(&report),
                started.elapsed().as_secs_f64()
            );
            if std::env::var_os("SERIES").is_some() {
                let work: Vec<String> =
                    report.work.iter().map(|work| format!("{work:.1}")).collect();
                println!("  work {}", work.join(" "));
                let windows: Vec<String> = report
                    .windows
                    .iter()
                    .map(|(earned, offered)| format!("{:.2}", earned / offered))
                    .collect();
                println!("  earned {}", windows.join(" "));
            }
        }
    }
}

/// Formats the results of one simulation.
fn row(report: &Report) -> String {
    let (work, deviation) = report.work_mean_and_deviation(8.0, 20.0);
    let served = |kind: usize| {
        let tally = report.tallies[kind];
        (tally.in_time + tally.late) as f64 / tally.offered.max(1) as f64
    };
    format!(
        "{:>7.3}{:>7.3}{:>8.3}{:>7.2}{:>6.2}  {:>6.3}{:>6.3}{:>6.3}",
        report.earned(),
        report.worst_window(),
        report.wasted(),
        work,
        deviation,
        served(1),
        served(2),
        served(0),
    )
}

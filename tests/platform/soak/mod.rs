//! Soak test: runs real nodes under series of overlapping faults and checks what callers, targets and probes
//! observe.
//!
//! `cargo test --test platform soak` runs two seeds. To run more seeds:
//!
//!     SOAK_SEEDS=1..41 cargo test --test platform soak -- --nocapture
//!
//! A seed determines the faults, their times and places, and the requests of callers, but not the scheduling of
//! threads and processes. The logs of a seed with findings are kept in a temporary folder whose path is printed.

mod callers;
mod faults;
mod findings;
mod intervals;
mod signals;
mod site;
mod targets;

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use self::faults::Fault;
use self::findings::{Findings, Report};
use self::site::{CONFIG_APPLY, SETTLE_TIME, Site};

/// The seeds of a run by default.
const SEEDS: Range<u64> = 1..3;
/// The environment variable that sets other seeds, such as `1..41`.
const SEEDS_ENV: &str = "SOAK_SEEDS";
/// The most seeds of one run: each node has its own loopback address, and a test process has 254 of them.
const SEEDS_MAX: usize = 40;
/// The number of seeds that run in parallel.
const PARALLEL_SEEDS: usize = 4;
/// The period in which faults start.
const FAULTS_PERIOD: Duration = Duration::from_secs(18);
/// The longest time after the last fault until every request is served again.
const RECOVERY_MAX: Duration = Duration::from_secs(15);
/// The time in which the probe checks the configuration of every node.
const PROBE_PERIOD: Duration = Duration::from_millis(700);
/// The number of times that the request that crashes its target is sent after the last fault.
const CRASH_ATTEMPTS: usize = 12;
/// The most targets that it may crash: three until it is quarantined, and three after that.
const CRASHES_MAX: u32 = 3 + 3;
/// The number of callers.
const CALLERS: u64 = 24;

/// The seeds to run.
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_ENV) else { return SEEDS };
    let (first, end) = text.split_once("..").expect("a range of seeds such as 1..41");
    let seeds =
        first.parse().expect("the first seed")..end.parse().expect("the seed after the last one");
    assert!(seeds.clone().count() <= SEEDS_MAX, "a run has at most {SEEDS_MAX} seeds");
    seeds
}

#[test]
fn guarantees_hold_under_series_of_faults() {
    let seeds = seeds();
    let next = AtomicU64::new(seeds.start);
    let reports = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..PARALLEL_SEEDS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let report = run_seed(seed);
                    println!("{report}");
                    reports.lock().unwrap().push(report);
                }
            });
        }
    });
    let reports = reports.into_inner().unwrap();
    let with_findings: Vec<_> = reports.iter().filter(|report| !report.is_clean()).collect();
    println!("{} seeds run, {} with findings", reports.len(), with_findings.len());
    assert!(with_findings.is_empty(), "seeds with findings: {with_findings:#?}");
}

/// Runs one seed.
fn run_seed(seed: u64) -> Report {
    let site = Arc::new(Site::start(seed));
    let findings = Findings::default();
    let faults = faults::generate(seed, site.members.len(), FAULTS_PERIOD);
    let mut recovered_in = None;
    thread::scope(|scope| {
        scope.spawn(|| site.supervise(&findings));
        scope.spawn(|| site.probe(&findings));
        for caller in 0..CALLERS {
            let (site, findings) = (&site, &findings);
            scope.spawn(move || callers::run_caller(site, seed, caller, findings));
        }
        let started_at = Instant::now();
        let mut fault_threads = Vec::new();
        for fault in &faults {
            thread::sleep((started_at + fault.at).saturating_duration_since(Instant::now()));
            let site = Arc::clone(&site);
            let kind = fault.kind;
            fault_threads.push(thread::spawn(move || site.inject(kind)));
        }
        for fault in fault_threads {
            fault.join().expect("the fault thread ends without a panic");
        }
        recovered_in = site.wait_until_served(RECOVERY_MAX);
        // After all faults, a new configuration must come into force in time.
        thread::sleep(SETTLE_TIME);
        let crashes = site.crash(0, CRASH_ATTEMPTS);
        if crashes > CRASHES_MAX {
            findings.add(format!(
                "a request that crashes targets ran {crashes} times after the last fault"
            ));
        }
        if site.wait_until_served(RECOVERY_MAX).is_none() {
            findings
                .add(format!("not every request was served {RECOVERY_MAX:?} after the last crash"));
        }
        site.publish_configuration();
        thread::sleep(CONFIG_APPLY + PROBE_PERIOD);
        site.stop();
    });
    if recovered_in.is_none() {
        findings.add(format!("not every request was served {RECOVERY_MAX:?} after the last fault"));
    }
    findings.check_runs(&site.runs());
    findings.check_signals(&site);
    let descriptions = faults.iter().map(Fault::description).collect();
    let report = findings.report(seed, descriptions, recovered_in);
    if !report.is_clean() {
        site.keep_logs();
    }
    report
}

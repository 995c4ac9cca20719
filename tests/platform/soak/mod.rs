//! Real nodes under series of overlapping faults, checked by what callers, targets and probes see.
//!
//! `cargo test --test platform soak` plays two seeds in half a minute. Many are played by hand:
//!
//!     SOAK_SEEDS=1..41 cargo test --test platform soak -- --nocapture
//!
//! A seed sets which faults come, when and where, and what callers ask; threads and processes run as they
//! do. The logs of a seed with findings stay in the temporary folder that it names.

mod callers;
mod faults;
mod findings;
mod site;
mod spans;
mod targets;

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use self::faults::Fault;
use self::findings::{Findings, Report};
use self::site::{CONFIG_APPLY, CONTACT, Site};

/// The seeds that every run of the tests plays.
const SEEDS: Range<u64> = 1..3;
/// The variable that names other seeds, as `1..41`.
const SEEDS_ENV: &str = "SOAK_SEEDS";
/// The most seeds of one run: every node has an address of its own, and a run has 254 of them.
const SEEDS_MAX: usize = 40;
/// How many seeds are played at a time.
const AT_A_TIME: usize = 4;
/// For how long faults come.
const FAULTS_FOR: Duration = Duration::from_secs(18);
/// Within this time after the last fault everything must be served again.
const RECOVERY: Duration = Duration::from_secs(15);
/// Within this time all nodes are asked for the configuration in force.
const PROBED_WITHIN: Duration = Duration::from_millis(700);
/// How often the request that ends targets comes when all faults are over.
const CRASH_ATTEMPTS: usize = 12;
/// How many targets it may end before it is known for it, and reach after that.
const CRASHES_MAX: u32 = 3 + 3;
/// How many callers there are.
const CALLERS: u64 = 24;

/// The seeds to play.
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_ENV) else { return SEEDS };
    let (first, end) = text.split_once("..").expect("seeds are written as 1..41");
    let seeds =
        first.parse().expect("the first seed")..end.parse().expect("the seed after the last one");
    assert!(seeds.clone().count() <= SEEDS_MAX, "a run plays {SEEDS_MAX} seeds at most");
    seeds
}

#[test]
fn the_promises_hold_under_series_of_faults() {
    let seeds = seeds();
    let next = AtomicU64::new(seeds.start);
    let reports = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..AT_A_TIME {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let report = play(seed);
                    println!("{report}");
                    reports.lock().unwrap().push(report);
                }
            });
        }
    });
    let reports = reports.into_inner().unwrap();
    let with_findings: Vec<_> = reports.iter().filter(|report| !report.is_clean()).collect();
    println!("{} seeds played, {} with findings", reports.len(), with_findings.len());
    assert!(with_findings.is_empty(), "seeds with findings: {with_findings:#?}");
}

/// Plays one seed.
fn play(seed: u64) -> Report {
    let site = Arc::new(Site::start(seed));
    let findings = Findings::default();
    let faults = faults::draw(seed, site.members.len(), FAULTS_FOR);
    let mut served = None;
    thread::scope(|scope| {
        scope.spawn(|| site.supervise(&findings));
        scope.spawn(|| site.probe(&findings));
        for caller in 0..CALLERS {
            let (site, findings) = (&site, &findings);
            scope.spawn(move || callers::call(site, seed, caller, findings));
        }
        let began = Instant::now();
        let mut running = Vec::new();
        for fault in &faults {
            thread::sleep((began + fault.at).saturating_duration_since(Instant::now()));
            let site = Arc::clone(&site);
            let kind = fault.kind;
            running.push(thread::spawn(move || site.suffer(kind)));
        }
        for fault in running {
            fault.join().expect("a fault comes to its end");
        }
        served = site.wait_until_served(RECOVERY);
        // Whatever the faults have left behind: a change that comes now has to be in force in time.
        thread::sleep(CONTACT);
        let crashes = site.crash(0, CRASH_ATTEMPTS);
        if crashes > CRASHES_MAX {
            findings
                .add(format!("a request that ends targets has run {crashes} times in the calm"));
        }
        if site.wait_until_served(RECOVERY).is_none() {
            findings.add(format!("not everything was served {RECOVERY:?} after the last crash"));
        }
        site.configure();
        thread::sleep(CONFIG_APPLY + PROBED_WITHIN);
        site.stop();
    });
    if served.is_none() {
        findings.add(format!("not everything was served {RECOVERY:?} after the last fault"));
    }
    findings.check_runs(&site.runs());
    let kinds = faults.iter().map(Fault::name).collect();
    let report = findings.report(seed, kinds, served);
    if !report.is_clean() {
        site.keep_logs();
    }
    report
}

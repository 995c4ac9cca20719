//! Stand-ins and cases of the review. Started by the scripts of the cases in the root of the
//! repository: `standin CASE RECORD`. Exits with 0 if the rule held, 1 if it was broken, and 2 if
//! the case could not run.

mod backend;
mod claimed_parent;
mod declined;
mod forgotten_leave;
mod http;
mod json;
mod large_uploads;
mod late_check_in;
mod old_credits;
mod quota_stop;
mod restored_store;
mod site;
mod slow_reader;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use site::{End, Record, Site};

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record), Some(folder)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: standin CASE RECORD FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&record);
    record.line(format!("case {case}, with the disruption: {trouble}"));
    let program = std::fs::read_to_string("deploy/system.toml").unwrap_or_default();
    if !program.contains("run = \"target/release/aspenspring mesh\"") {
        eprintln!("the deploy file does not run target/release/aspenspring mesh");
        exit(2);
    }
    let site = Site::start(record.clone(), PathBuf::from(folder));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case has taken too long");
        // The script ends the processes.
        exit(2);
    });
    let end = match case.as_str() {
        "declined" => declined::run(&site, trouble),
        "slow-reader" => slow_reader::run(&site, trouble),
        "late-check-in" => late_check_in::run(&site, trouble),
        "forgotten-leave" => forgotten_leave::run(&site, trouble),
        "restored-store" => restored_store::run(&site, trouble),
        "claimed-parent" => claimed_parent::run(&site, trouble),
        "large-uploads" => large_uploads::run(&site, trouble),
        "old-credits" => old_credits::run(&site, trouble),
        "quota-stop" => quota_stop::run(&site, trouble),
        _ => End::NotRun(format!("no case {case}")),
    };
    let (code, text) = match end {
        End::Held(text) => (0, format!("HELD: {text}")),
        End::Broken(text) => (1, format!("BROKEN: {text}")),
        End::NotRun(text) => (2, format!("NOT RUN: {text}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}

//! The stand-ins and scripts of the second review: `standin-2 CASE FOLDER WORK`, run by run.sh in the root of the repository. The
//! record goes to FOLDER; WORK is a temporary folder for settings, logs and the ids of processes.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod clock_back;
mod http;
mod json;
mod memory;
mod node;
mod queued;
mod quota_restart;
mod record;
mod site;
mod slow_answer;
mod slow_body;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, work] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE FOLDER WORK");
        return ExitCode::from(2);
    };
    let record = std::sync::Arc::new(record::Record::create(Path::new(folder)));
    let verdict = match case.as_str() {
        "clock-back" => clock_back::run(&record, Path::new(work)),
        "slow-answer" => slow_answer::run(&record, Path::new(work)),
        "slow-body" => slow_body::run(&record, Path::new(work)),
        "memory" => memory::run(&record, Path::new(work)),
        "queued" => queued::run(&record, Path::new(work)),
        "quota-restart" => quota_restart::run(&record, Path::new(work)),
        _ => {
            eprintln!("no such case");
            Verdict::NotRun
        }
    };
    if matches!(verdict, Verdict::NotRun) {
        record.say("the case could not run");
    }
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}

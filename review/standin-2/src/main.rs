//! The stand-ins and scripts of the second review: `standin-2 CASE FOLDER`, run in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod clock_back;
mod http;
mod json;
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
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = std::sync::Arc::new(record::Record::create(Path::new(folder)));
    let verdict = match case.as_str() {
        "clock-back" => clock_back::run(&record),
        "slow-answer" => slow_answer::run(&record),
        "slow-body" => slow_body::run(&record),
        "queued" => queued::run(&record),
        "quota-restart" => quota_restart::run(&record),
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

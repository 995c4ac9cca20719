//! What was seen, held against what is promised.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::site::Site;
use super::targets::{LIMITED, LIMITED_KEY, Ran, STEADY_KEY, rotated_key};

/// A request has its final answer this long after its route's time at the latest.
const ANSWERED_WITHIN: Duration = Duration::from_millis(3_000 + 500);
/// The most targets that one attempt of a caller may be sent to.
const ATTEMPTS_MAX: u32 = 2;
/// The time over which the runs of a team are counted.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// A request is not begun so long after its caller has left.
const BEGUN_WITHIN: Duration = Duration::from_millis(500);
/// How many are nevertheless, at most, in one play: a close travels, as a request does.
const BEGUN_LATE_MAX: usize = 3;
/// How many findings of one play are told.
const TOLD_MAX: usize = 12;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run at most once.
    Once,
    /// It may run again.
    Repeatable,
}

/// The key that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// None.
    None,
    /// One that is always in force.
    Steady,
    /// That of the team with a quota.
    Limited,
    /// The one that only the given version has.
    Rotated(u64),
}

impl Key {
    /// The key as it is sent.
    pub fn text(self) -> Option<String> {
        match self {
            Self::None => None,
            Self::Steady => Some(STEADY_KEY.to_owned()),
            Self::Limited => Some(LIMITED_KEY.to_owned()),
            Self::Rotated(version) => Some(rotated_key(version)),
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// With success.
    Served { attempt: String, signature: String, body: String },
    /// With a status that promises that it has not run and never will.
    NotRun(u16),
    /// With any other status, which promises nothing.
    Failed(u16),
    /// Without an answer.
    Cut,
    /// The caller closed its connection without waiting for the answer.
    Left,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Record {
    pub attempt: String,
    pub kind: Kind,
    pub key: Key,
    /// The node that took it.
    pub member: usize,
    pub asked: Instant,
    pub ended: Instant,
    pub end: End,
}

/// What was seen so far.
#[derive(Default)]
pub struct Findings {
    records: Mutex<Vec<Record>>,
    /// Attempts whose caller was cut off by a node that nothing had happened to but a planned stop.
    cut_without_cause: Mutex<HashSet<String>>,
    found: Mutex<Vec<String>>,
}

/// What came of one play.
#[derive(Debug)]
pub struct Report {
    seed: u64,
    faults: Vec<String>,
    found: Vec<String>,
    requests: usize,
    served: usize,
    not_run: usize,
    failed: usize,
    cut: usize,
    left: usize,
    recovered: Option<Duration>,
}

impl Findings {
    /// Adds a finding.
    pub fn add(&self, finding: String) {
        self.found.lock().unwrap().push(finding);
    }

    /// Notes how a request ended.
    pub fn note(&self, site: &Site, record: Record) {
        let member = &site.members[record.member];
        if let End::Served { attempt, signature, body } = &record.end {
            if *attempt != record.attempt || *body != format!("{signature} {attempt}") {
                self.add(format!("another answer, or a part of one: {record:?}"));
            }
        }
        let is_undisturbed = member.is_undisturbed(record.asked, record.ended);
        if record.end == End::Cut && is_undisturbed && !site.is_stopped() {
            self.cut_without_cause.lock().unwrap().insert(record.attempt.clone());
        }
        let took = record.ended - record.asked;
        if took > ANSWERED_WITHIN && member.is_in_touch(record.asked, record.ended) {
            self.add(format!("{took:?} without an answer: {record:?}"));
        }
        if let (Key::Rotated(version), End::Served { .. }) = (record.key, &record.end) {
            let due = site.due_at(member, record.asked, record.ended);
            if due.is_some_and(|due| version < due) {
                self.add(format!("served by a key that was taken away: {record:?}"));
            }
        }
        self.records.lock().unwrap().push(record);
    }

    /// Holds what ran for the team with a quota against what may, in every window that begins with one of its
    /// requests.
    fn check_quota(&self, records: &[Record], runs: &HashMap<String, Ran>) {
        let ran =
            |record: &&Record| record.key == Key::Limited && runs.contains_key(&record.attempt);
        let mut ran: Vec<Instant> = records.iter().filter(ran).map(|record| record.asked).collect();
        ran.sort();
        let (per_s, burst) = LIMITED;
        let allowed = (per_s * QUOTA_WINDOW.as_secs_f64() + burst) * 1.1 + 20.0;
        for (first, began) in ran.iter().enumerate() {
            let within = ran[first..].partition_point(|asked| *asked < *began + QUOTA_WINDOW);
            if within as f64 > allowed {
                self.add(format!(
                    "{within} requests of a team ran in {QUOTA_WINDOW:?}, not {allowed}"
                ));
                return;
            }
        }
    }

    /// Looks for requests that were begun long after their callers had left.
    fn check_left(&self, records: &[Record], runs: &HashMap<String, Ran>) {
        let begun_late = |record: &&Record| {
            let began = runs.get(&record.attempt).and_then(|ran| ran.last_began);
            record.end == End::Left
                && began.is_some_and(|began| began > record.ended + BEGUN_WITHIN)
        };
        let late: Vec<&Record> = records.iter().filter(begun_late).collect();
        if late.len() > BEGUN_LATE_MAX {
            let count = late.len();
            self.add(format!("{count} begun though their callers had left: {:?}", late[0]));
        }
    }

    /// Holds what targets have run against what callers were told.
    pub fn check_runs(&self, runs: &HashMap<String, Ran>) {
        let records = self.records.lock().unwrap();
        let cut = self.cut_without_cause.lock().unwrap();
        let mut asked = HashSet::new();
        for record in records.iter() {
            asked.insert(&record.attempt);
            let ran = runs.get(&record.attempt).map_or(0, |ran| ran.times);
            let most = if record.kind == Kind::Once { 1 } else { ATTEMPTS_MAX };
            if record.key == Key::None && ran > 0 {
                self.add(format!("ran without a key: {record:?}"));
            }
            if ran > most {
                self.add(format!("ran {ran} times: {record:?}"));
            }
            let is_promised = matches!(record.end, End::NotRun(_));
            if is_promised && record.kind == Kind::Once && ran > 0 {
                self.add(format!("not run, and it has: {record:?}"));
            }
            if ran > 0 && cut.contains(&record.attempt) {
                self.add(format!("passed on and cut off: {record:?}"));
            }
        }
        self.check_quota(&records, runs);
        self.check_left(&records, runs);
        for attempt in runs.keys().filter(|attempt| !asked.contains(attempt)) {
            self.add(format!("nobody asked for {attempt}"));
        }
    }

    /// What came of the play.
    pub fn report(&self, seed: u64, faults: Vec<String>, recovered: Option<Duration>) -> Report {
        let records = self.records.lock().unwrap();
        let count =
            |is_it: fn(&End) -> bool| records.iter().filter(|record| is_it(&record.end)).count();
        Report {
            seed,
            faults,
            found: self.found.lock().unwrap().clone(),
            requests: records.len(),
            served: count(|end| matches!(end, End::Served { .. })),
            not_run: count(|end| matches!(end, End::NotRun(_))),
            failed: count(|end| matches!(end, End::Failed(_))),
            cut: count(|end| matches!(end, End::Cut)),
            left: count(|end| matches!(end, End::Left)),
            recovered,
        }
    }
}

impl Report {
    /// Whether nothing was found.
    pub fn is_clean(&self) -> bool {
        self.found.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, faults, found, requests, served, not_run, failed, cut, left, recovered } =
            self;
        write!(
            formatter,
            "seed {seed}: {requests} requests, {served} served, {not_run} not run, {failed} failed, \
             {cut} cut, {left} left; served again {recovered:.1?} after {} faults; {} findings",
            faults.len(),
            found.len()
        )?;
        if !found.is_empty() {
            write!(formatter, "\n  faults: {}", faults.join(", "))?;
        }
        for finding in found.iter().take(TOLD_MAX) {
            write!(formatter, "\n  {finding}")?;
        }
        Ok(())
    }
}

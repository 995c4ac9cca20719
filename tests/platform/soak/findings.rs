//! Records the outcomes of requests and checks them against the guarantees to callers.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::site::Site;
use super::targets::{LIMITED_KEY, LIMITED_QUOTA, RunRecord, STEADY_KEY, rotated_key};

/// The longest time to the final answer: the timeout of the route plus a margin of 500 ms.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(3_000 + 500);
/// The most targets that an idempotent request may run on.
const ATTEMPTS_MAX: u32 = 2;
/// The window over which the quota of a team is counted.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// The longest time after the caller has left at which a request may still start.
const START_AFTER_LEAVE_MAX: Duration = Duration::from_millis(500);
/// The most requests per seed that may start later nevertheless, as the detection of the close may be delayed.
const LATE_STARTS_MAX: usize = 3;
/// The most findings printed per seed.
const FINDINGS_PRINTED_MAX: usize = 12;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// At most once.
    AtMostOnce,
    /// Repeatedly.
    Idempotent,
}

/// The key that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key {
    /// No key.
    None,
    /// A key that is always valid.
    Permanent,
    /// The key of the team with a quota.
    Limited,
    /// The key that is valid only in the given version of the configuration.
    Rotated(u64),
}

impl Key {
    /// The value of the key header.
    pub fn header_value(self) -> Option<String> {
        match self {
            Self::None => None,
            Self::Permanent => Some(STEADY_KEY.to_owned()),
            Self::Limited => Some(LIMITED_KEY.to_owned()),
            Self::Rotated(version) => Some(rotated_key(version)),
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Successfully.
    Served { attempt: String, signature: String, signals: String, body: String },
    /// With a status that guarantees that the request has not run and never will.
    NotRun(u16),
    /// With any other status, which guarantees nothing.
    Failed(u16),
    /// Without an answer: the node closed the connection, or no answer came in time.
    ConnectionLost,
    /// The caller closed its connection without waiting for the answer.
    CallerLeft,
}

/// A request as observed by its caller.
#[derive(Clone, Debug)]
pub struct Record {
    pub attempt: String,
    pub kind: RequestKind,
    pub key: Key,
    /// The index of the node that it was sent to.
    pub member: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub outcome: Outcome,
}

/// The recorded requests and the violations found so far.
#[derive(Default)]
pub struct Findings {
    records: Mutex<Vec<Record>>,
    /// Attempts whose connection was lost although nothing but a planned stop had happened to the node.
    unexplained_losses: Mutex<HashSet<String>>,
    findings: Mutex<Vec<String>>,
}

/// The result of one seed.
#[derive(Debug)]
pub struct Report {
    seed: u64,
    faults: Vec<String>,
    findings: Vec<String>,
    requests: usize,
    served: usize,
    not_run: usize,
    failed: usize,
    connections_lost: usize,
    callers_left: usize,
    recovered: Option<Duration>,
}

impl Findings {
    /// Adds a finding.
    pub fn add(&self, finding: String) {
        self.findings.lock().unwrap().push(finding);
    }

    /// Records a finished request and checks what can be checked at once.
    pub fn record_request(&self, site: &Site, record: Record) {
        let member = &site.members[record.member];
        if let Outcome::Served { attempt, signature, body, .. } = &record.outcome {
            if *attempt != record.attempt || *body != format!("{signature} {attempt}") {
                self.add(format!("answer of another request, or incomplete answer: {record:?}"));
            }
        }
        if matches!(record.outcome, Outcome::Failed(status) if !(400..600).contains(&status)) {
            self.add(format!("answer that no target may give: {record:?}"));
        }
        let is_undisturbed = member.is_undisturbed(record.sent_at, record.ended_at);
        if record.outcome == Outcome::ConnectionLost && is_undisturbed && !site.is_stopped() {
            self.unexplained_losses.lock().unwrap().insert(record.attempt.clone());
        }
        let took = record.ended_at - record.sent_at;
        if took > ANSWER_TIME_MAX && member.is_settled(record.sent_at, record.ended_at) {
            self.add(format!("no answer within {took:?}: {record:?}"));
        }
        if let (Key::Rotated(version), Outcome::Served { .. }) = (record.key, &record.outcome) {
            let required = site.required_version(member, record.sent_at, record.ended_at);
            if required.is_some_and(|required| version < required) {
                self.add(format!("served with a revoked key: {record:?}"));
            }
        }
        self.records.lock().unwrap().push(record);
    }

    /// Checks the quota in every window that starts with a request of the team with a quota.
    fn check_quota(&self, records: &[Record], runs: &HashMap<String, RunRecord>) {
        let has_run =
            |record: &&Record| record.key == Key::Limited && runs.contains_key(&record.attempt);
        let mut sent_times: Vec<Instant> =
            records.iter().filter(has_run).map(|record| record.sent_at).collect();
        sent_times.sort();
        let (per_s, burst) = LIMITED_QUOTA;
        let allowed = (per_s * QUOTA_WINDOW.as_secs_f64() + burst) * 1.1 + 20.0;
        for (first, started_at) in sent_times.iter().enumerate() {
            let within = sent_times[first..]
                .partition_point(|sent_at| *sent_at < *started_at + QUOTA_WINDOW);
            if within as f64 > allowed {
                self.add(format!(
                    "{within} requests of a team ran within {QUOTA_WINDOW:?}, allowed are {allowed}"
                ));
                return;
            }
        }
    }

    /// Checks that requests are not started long after their callers have left.
    fn check_abandoned(&self, records: &[Record], runs: &HashMap<String, RunRecord>) {
        let has_started_late = |record: &&Record| {
            let started_at = runs.get(&record.attempt).and_then(|ran| ran.last_started_at);
            record.outcome == Outcome::CallerLeft
                && started_at
                    .is_some_and(|started_at| started_at > record.ended_at + START_AFTER_LEAVE_MAX)
        };
        let late: Vec<&Record> = records.iter().filter(has_started_late).collect();
        if late.len() > LATE_STARTS_MAX {
            let count = late.len();
            self.add(format!(
                "{count} requests started after their callers had left: {:?}",
                late[0]
            ));
        }
    }

    /// Checks the runs on targets against the answers to callers.
    pub fn check_runs(&self, runs: &HashMap<String, RunRecord>) {
        let records = self.records.lock().unwrap();
        let connections_lost = self.unexplained_losses.lock().unwrap();
        let mut known_attempts = HashSet::new();
        for record in records.iter() {
            known_attempts.insert(&record.attempt);
            let run_count = runs.get(&record.attempt).map_or(0, |ran| ran.count);
            let runs_max = if record.kind == RequestKind::AtMostOnce { 1 } else { ATTEMPTS_MAX };
            if record.key == Key::None && run_count > 0 {
                self.add(format!("ran without a key: {record:?}"));
            }
            if run_count > runs_max {
                self.add(format!("ran {run_count} times: {record:?}"));
            }
            let is_not_run = matches!(record.outcome, Outcome::NotRun(_));
            if is_not_run && record.kind == RequestKind::AtMostOnce && run_count > 0 {
                self.add(format!("ran although answered as not run: {record:?}"));
            }
            if run_count > 0 && connections_lost.contains(&record.attempt) {
                self.add(format!("ran, but its connection was lost: {record:?}"));
            }
        }
        self.check_quota(&records, runs);
        self.check_abandoned(&records, runs);
        for attempt in runs.keys().filter(|attempt| !known_attempts.contains(attempt)) {
            self.add(format!("ran without a caller: {attempt}"));
        }
    }

    /// Checks the requests that reached targets against what these had stated in their answers.
    pub fn check_signals(&self, site: &Site) {
        let records = self.records.lock().unwrap();
        for member in &site.members {
            if let Some(finding) = member.target.check(site, &member.name, &records) {
                self.add(finding);
            }
        }
    }

    /// The result of the seed.
    pub fn report(&self, seed: u64, faults: Vec<String>, recovered: Option<Duration>) -> Report {
        let records = self.records.lock().unwrap();
        let count = |matches: fn(&Outcome) -> bool| {
            records.iter().filter(|record| matches(&record.outcome)).count()
        };
        Report {
            seed,
            faults,
            findings: self.findings.lock().unwrap().clone(),
            requests: records.len(),
            served: count(|outcome| matches!(outcome, Outcome::Served { .. })),
            not_run: count(|outcome| matches!(outcome, Outcome::NotRun(_))),
            failed: count(|outcome| matches!(outcome, Outcome::Failed(_))),
            connections_lost: count(|outcome| matches!(outcome, Outcome::ConnectionLost)),
            callers_left: count(|outcome| matches!(outcome, Outcome::CallerLeft)),
            recovered,
        }
    }
}

impl Report {
    /// Whether nothing was found.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            seed,
            faults,
            findings,
            requests,
            served,
            not_run,
            failed,
            connections_lost,
            callers_left,
            recovered,
        } = self;
        write!(
            f,
            "seed {seed}: {requests} requests, {served} served, {not_run} not run, {failed} failed, \
             {connections_lost} connections lost, {callers_left} callers left; recovered in {recovered:.1?} after {} faults; \
             {} findings",
            faults.len(),
            findings.len()
        )?;
        if !findings.is_empty() {
            write!(f, "\n  faults: {}", faults.join(", "))?;
        }
        for finding in findings.iter().take(FINDINGS_PRINTED_MAX) {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

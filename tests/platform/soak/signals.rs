//! What targets state in their answers (limits, leaving), and the checks of what reaches them meanwhile.

use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::findings::{Outcome, Record};
use super::site::Site;
use super::targets::SLOTS;

/// How long after a node has passed such an answer on its requests count against the limit.
const LIMIT_TOLD: Duration = Duration::from_millis(500);
/// The window over which requests are compared with the limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// How long after a node has passed such an answer on requests may still be sent to a target that leaves.
const LEAVING_TOLD: Duration = Duration::from_secs(2);

/// How long after the acknowledgement of its departure a target may still get requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// What a target states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// The requests per second that it accepts.
    Limit(f64),
    /// It is about to leave; its next incarnation is not.
    Leaving,
    /// It has deregistered, and states nothing in its answers.
    Departed,
}

impl Signal {
    /// Whether the next incarnation takes over once this has ended.
    fn ends_incarnation(self) -> bool {
        matches!(self, Self::Leaving | Self::Departed)
    }
}

impl fmt::Display for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Limit(per_s) => write!(f, "server-limit: {per_s}\r\n"),
            Self::Leaving => f.write_str("server-leaving: 1\r\n"),
            Self::Departed => Ok(()),
        }
    }
}

/// A period in which a target states something.
#[derive(Clone, Copy, Debug)]
struct Period {
    signal: Signal,
    from: Instant,
    until: Option<Instant>,
    /// When the node has acknowledged a departure.
    acknowledged_at: Option<Instant>,
}

/// What a target has stated, and the requests that have reached it.
#[derive(Debug, Default)]
pub struct TargetState(Mutex<StateLog>);

#[derive(Debug, Default)]
struct StateLog {
    /// The share of requests that the target rejects, in percent.
    rejected_percent: u64,
    /// How long its work takes, in percent of the usual time; 0 stands for the usual time.
    slowness_percent: u64,
    /// The share of answers that the target sends twice, in percent.
    repeated_percent: u64,
    /// The share of answers that break the protocol, in percent.
    broken_percent: u64,
    incarnation: u32,
    periods: Vec<Period>,
    arrivals: Vec<(Instant, String)>,
}

impl StateLog {
    /// What the target states now.
    fn present(&self) -> Option<Signal> {
        let present = self.periods.iter().find(|period| period.until.is_none());
        present.map(|period| period.signal)
    }
}

impl TargetState {
    /// Starts to state something. Returns whether it did: a target that leaves states nothing else.
    pub fn begin(&self, signal: Signal) -> bool {
        let mut log = self.0.lock().unwrap();
        if log.present().is_some() {
            return false;
        }
        let from = Instant::now();
        log.periods.push(Period { signal, from, until: None, acknowledged_at: None });
        true
    }

    /// Records that the node has acknowledged the departure that has begun.
    pub fn acknowledge(&self) {
        if let Some(period) = self.0.lock().unwrap().periods.last_mut() {
            period.acknowledged_at = Some(Instant::now());
        }
    }

    /// Whether the target has departed, and its next incarnation has not taken over yet.
    pub fn has_departed(&self) -> bool {
        self.0.lock().unwrap().present() == Some(Signal::Departed)
    }

    /// Ends what the target states. The next incarnation takes over from one that left.
    pub fn end(&self) {
        let mut log = self.0.lock().unwrap();
        let Some(period) = log.periods.last_mut() else { return };
        period.until = Some(Instant::now());
        log.incarnation += u32::from(period.signal.ends_incarnation());
    }

    /// The header lines of an answer that count as signals.
    pub fn header_lines(&self) -> String {
        let present = self.0.lock().unwrap().present();
        present.map(|signal| signal.to_string()).unwrap_or_default()
    }

    /// The extended load report of an answer.
    pub fn load_line(&self) -> String {
        format!("Instance-Load: 1,0,{SLOTS},{}\r\n", self.slowness_percent())
    }

    /// How long the target's work takes, in percent of the usual time.
    pub fn slowness_percent(&self) -> u64 {
        match self.0.lock().unwrap().slowness_percent {
            0 => 100,
            percent => percent,
        }
    }

    /// Sets how long the target's work takes.
    pub fn set_slowness(&self, percent: u64) {
        self.0.lock().unwrap().slowness_percent = percent;
    }

    /// Sets the share of requests that the target rejects.
    pub fn set_rejected(&self, percent: u64) {
        self.0.lock().unwrap().rejected_percent = percent;
    }

    /// Sets the share of answers that the target sends twice.
    pub fn set_repeated(&self, percent: u64) {
        self.0.lock().unwrap().repeated_percent = percent;
    }

    /// Sets the share of answers that break the protocol.
    pub fn set_broken(&self, percent: u64) {
        self.0.lock().unwrap().broken_percent = percent;
    }

    /// Whether the target's answer to request number `number` breaks the protocol.
    pub fn breaks(&self, number: usize) -> bool {
        (number as u64 * 41 % 100) < self.0.lock().unwrap().broken_percent
    }

    /// Whether the target sends its answer to request number `number` twice.
    pub fn repeats(&self, number: usize) -> bool {
        (number as u64 * 29 % 100) < self.0.lock().unwrap().repeated_percent
    }

    /// Whether the target rejects its request number `number`.
    pub fn rejects(&self, number: usize) -> bool {
        // 37 and 100 have no common divisor, so each remainder comes once in a hundred requests.
        (number as u64 * 37 % 100) < self.0.lock().unwrap().rejected_percent
    }

    /// The number of incarnations that have left.
    pub fn incarnation(&self) -> u32 {
        self.0.lock().unwrap().incarnation
    }

    /// Records that a request has reached the target. Returns the number of requests before it.
    pub fn record_arrival(&self, attempt: &str) -> usize {
        let arrivals = &mut self.0.lock().unwrap().arrivals;
        arrivals.push((Instant::now(), attempt.to_owned()));
        arrivals.len() - 1
    }

    /// Checks that the requests of nodes that were told keep to what the target `name` stated. Returns the first
    /// violation.
    pub fn check(&self, site: &Site, name: &str, records: &[Record]) -> Option<String> {
        let log = self.0.lock().unwrap();
        let by_attempt: HashMap<&str, &Record> =
            records.iter().map(|record| (record.attempt.as_str(), record)).collect();
        for period in &log.periods {
            let until = period.until.unwrap_or_else(Instant::now);
            if period.signal == Signal::Departed {
                let Some(at) = period.acknowledged_at else { continue };
                let is_late = |(arrived, _): &&(Instant, String)| {
                    *arrived > at + DRAIN_TIME
                        && *arrived < until
                        && site.is_in_touch(name, *arrived)
                };
                let late = log.arrivals.iter().filter(is_late).count();
                if late > 0 {
                    return Some(format!("{late} requests reached {name}, which had departed"));
                }
                continue;
            }
            let told = told_times(period, until, name, records);
            let mut counted = Vec::new();
            for (at, attempt) in &log.arrivals {
                let Some(record) = by_attempt.get(attempt.as_str()) else { continue };
                if *at < period.from || *at > until {
                    continue;
                }
                // What counts is when the request arrived for a limit, and when it was sent for leaving.
                let (since, after) = match period.signal {
                    Signal::Limit(_) => (*at, LIMIT_TOLD),
                    Signal::Leaving | Signal::Departed => (record.sent_at, LEAVING_TOLD),
                };
                let member = &site.members[record.member];
                let was_told = told.iter().any(|(index, told_at)| {
                    *index == record.member
                        && *told_at + after < since
                        && !member.was_restarted_or_paused(*told_at, *at)
                });
                if was_told {
                    counted.push(*at);
                }
            }
            let allowed = match period.signal {
                Signal::Limit(per_s) => 1.5 * per_s * LIMIT_WINDOW.as_secs_f64() + 5.0,
                Signal::Leaving | Signal::Departed => 0.0,
            };
            for (first, from) in counted.iter().enumerate() {
                let within = counted[first..].partition_point(|at| *at < *from + LIMIT_WINDOW);
                if within as f64 > allowed {
                    let signal = period.signal;
                    return Some(format!(
                        "{within} requests reached {name}, which states {signal:?}"
                    ));
                }
            }
        }
        None
    }
}

/// When each node passed on answers of the target `name` that contained the signal.
fn told_times(
    period: &Period,
    until: Instant,
    name: &str,
    records: &[Record],
) -> Vec<(usize, Instant)> {
    let mut told = Vec::new();
    for record in records {
        let Outcome::Served { signature, signals, .. } = &record.outcome else { continue };
        let is_told = *signature == name && *signals == period.signal.to_string();
        if is_told && record.ended_at >= period.from && record.sent_at <= until {
            told.push((record.member, record.ended_at));
        }
    }
    told
}

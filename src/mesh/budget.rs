//! How many repeats a node may send to each service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::settings::RetrySection;

/// The part of the allowed share that a node uses: what is left over bears that repeats of one level
/// reach some nodes of the next more than others.
const USED_SHARE: f64 = 0.75;
/// The part of the slack that all nodes together may use: each decides by chance whether to use its part.
const USED_SLACK: f64 = 0.4;
/// The part of a budget that each rank leaves to those above it. A call that an urgent request makes is
/// one of few, and its repeat saves the request; one of many calls of a page hardly ever does.
const LEFT_PER_RANK: f64 = 0.25;
/// What is left to the least important ranks.
const LEFT_MIN: f64 = 0.25;

/// The time over which requests and repeats are weighed against each other.
const SPAN: Duration = Duration::from_secs(10);
/// The number of parts in which a span is counted.
const PARTS: usize = 20;

/// What was sent to a service in one part of a span.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    requests: u32,
    /// What was paid for repeats.
    paid: f64,
}

/// What was sent to a service of late.
#[derive(Debug)]
struct Recent {
    /// The parts of a span and the one that has just ended, in a ring.
    parts: [Part; PARTS + 1],
    /// The number of the part that is being counted, from the start of the node on.
    newest: u64,
}

impl Recent {
    fn new(newest: u64) -> Self {
        Self { parts: [Part::default(); PARTS + 1], newest }
    }

    /// Moves on to the part of the given number.
    fn advance(&mut self, number: u64) {
        let passed = number.saturating_sub(self.newest).min(self.parts.len() as u64);
        for behind in 0..passed {
            let place = (number - behind) as usize % self.parts.len();
            self.parts[place] = Part::default();
        }
        self.newest = self.newest.max(number);
    }

    /// The part that is being counted.
    fn current(&mut self) -> &mut Part {
        let place = self.newest as usize % self.parts.len();
        &mut self.parts[place]
    }

    /// Requests within less than a span, and what was paid within at least one.
    fn sums(&self) -> (f64, f64) {
        let oldest = (self.newest + 1) as usize % self.parts.len();
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let paid = self.parts.iter().map(|part| part.paid).sum();
        (f64::from(requests - self.parts[oldest].requests), paid)
    }
}

/// Repeats earned by requests, for each service.
///
/// Every node weighs the repeats that it has sent in the last ten seconds against its own requests of the
/// same time only, so the sum over all nodes keeps to the share without any message between them. What
/// calm seconds earn is there when a service begins to fail, for all of these ten seconds.
///
/// A call that is made by a repeated run is a repeat at the service it goes to, although nobody chose to
/// repeat it; it is paid from the same budget, so that a failure deep down, whose repeat costs one run, may
/// use the whole of it while nothing is repeated above.
#[derive(Debug)]
pub struct RetryBudgets {
    share: f64,
    slack: f64,
    started: Instant,
    recent: RefCell<HashMap<String, Recent>>,
}

impl RetryBudgets {
    /// Budgets that keep to the given bounds.
    pub fn new(settings: &RetrySection) -> Self {
        Self {
            share: settings.share * USED_SHARE,
            slack: f64::from(settings.slack) * USED_SLACK,
            started: Instant::now(),
            recent: RefCell::default(),
        }
    }

    /// Counts the first arrival of a request.
    pub fn earn(&self, service: &str) {
        self.with_recent(service, |recent| recent.current().requests += 1);
    }

    /// Counts the first arrival of a request that a repeated run makes.
    pub fn owe(&self, service: &str) {
        self.with_recent(service, |recent| recent.current().paid += 1.0);
    }

    /// How many repeats may be sent to a service for the most important rank, the slack apart; less than
    /// none where more were owed.
    pub fn left(&self, service: &str) -> f64 {
        self.with_recent(service, |recent| {
            let (requests, paid) = recent.sums();
            requests * self.share - paid
        })
    }

    /// Takes one repeat for a request of `rank`, if there is one. `nodes` is the number of nodes that share
    /// the slack.
    ///
    /// Where there are many nodes, the part of each in the slack is less than one repeat. Where no whole one
    /// is left, that part is staked on one, which is had with that probability and paid for all the same.
    pub fn try_take(&self, service: &str, rank: u8, nodes: usize, rng: &mut impl Rng) -> bool {
        let of_rank = (1.0 - LEFT_PER_RANK * f64::from(rank)).max(LEFT_MIN);
        let slack = self.slack / nodes.max(1) as f64;
        self.with_recent(service, |recent| {
            let (requests, paid) = recent.sums();
            let left = (requests * self.share + slack) * of_rank - paid;
            let stake = if left >= 1.0 { 1.0 } else { slack.min(1.0) };
            if left < stake {
                return false;
            }
            recent.current().paid += stake;
            rng.random::<f64>() < stake
        })
    }

    /// Hands to `take` what was sent to a service of late.
    fn with_recent<T>(&self, service: &str, take: impl FnOnce(&mut Recent) -> T) -> T {
        let part = SPAN / PARTS as u32;
        let number = (self.started.elapsed().as_micros() / part.as_micros()) as u64;
        let mut recent = self.recent.borrow_mut();
        if let Some(found) = recent.get_mut(service) {
            found.advance(number);
            return take(found);
        }
        take(recent.entry(service.to_owned()).or_insert_with(|| Recent::new(number)))
    }
}

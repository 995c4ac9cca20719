//! When a node that follows the configuration asks the store, and when it gives a question up.
//!
//! A store may take a question and never answer it, and so may a connection that has fallen silent: the
//! node then waits for an answer that cannot come, while changes pass it by. All followers ask at the
//! same change, so one silent time can take the questions of all. Whoever is the first of its failure domain
//! therefore asks for short waits, and finds a lost question out soon; the others may wait long, as what they
//! are for is a first node that is gone.

use std::time::Duration;

use tokio::time::Instant;

use super::follower::Role;

/// After this time the question of a first node counts as lost, and so does one to a store that is away. Nodes
/// have to keep to all bounds 3 s after the store is back; a question lost in its last silent moment is asked
/// anew half a second before. With 27.5 s, a store that had been silent for 3.5 s left 16 nodes without three
/// configurations for the 11 s that followed.
const LOST_AFTER: Duration = Duration::from_millis(2_500);
/// How long the store is asked to wait by a first node. The rest of `LOST_AFTER` is for the answer, which takes
/// 4 ms of a calm store and a quarter of a second of a slow one.
const WAIT_FIRST: Duration = Duration::from_millis(1_500);
/// How long the store is asked to wait by any other. A calm hour takes fewer than 180 questions of each.
const WAIT_OTHERS: Duration = Duration::from_secs(25);
/// By this share at most a wait is shorter, so that questions that began together do not run out together.
const WAIT_SPREAD: f64 = 0.2;
/// The pause between two questions that fail, at first.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause between two questions that fail.
const PAUSE_MAX: Duration = Duration::from_millis(800);
/// The same for a node that only follows the store while others do not reach it: a store that is away gains
/// nothing from being asked by all.
const PAUSE_MAX_INSTEAD: Duration = Duration::from_secs(4);
/// After failing for this long a node says that it does not reach the store, so that others follow.
const AWAY_AFTER: Duration = Duration::from_millis(700);

/// A question to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// How long the store is asked to wait for a change.
    pub wait: Duration,
    /// After this time without an answer it counts as lost.
    pub lost_after: Duration,
}

/// What follows from a question that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the one before had been answered.
    pub is_new: bool,
    /// Whether others are to follow the store in place of this node.
    pub is_away: bool,
    /// How long the question had waited.
    pub waited: Duration,
    /// When the next question is due.
    pub retry_at: Instant,
}

/// The questions of one node.
#[derive(Debug)]
pub struct Inquiry {
    asked: Instant,
    question: Question,
    pause: Duration,
    away_since: Option<Instant>,
}

impl Inquiry {
    /// Nothing was asked yet.
    pub fn new(now: Instant) -> Self {
        let question = Question { wait: Duration::ZERO, lost_after: LOST_AFTER };
        Self { asked: now, question, pause: PAUSE_MIN, away_since: None }
    }

    /// The next question, asked now. `is_first` tells whether no node of the failure domain that reaches the
    /// store comes before this one; `spread` is drawn from 0 to 1.
    pub fn ask(&mut self, is_first: bool, spread: f64, now: Instant) -> Question {
        let shorter = 1.0 - WAIT_SPREAD * spread;
        self.asked = now;
        self.question = match (self.away_since, is_first) {
            // Whether the store answers at all is to be known before it is asked to wait.
            (Some(_), _) => Question { wait: Duration::ZERO, lost_after: LOST_AFTER },
            (None, true) => Question { wait: WAIT_FIRST.mul_f64(shorter), lost_after: LOST_AFTER },
            (None, false) => {
                let wait = WAIT_OTHERS.mul_f64(shorter);
                Question { wait, lost_after: wait + LOST_AFTER }
            }
        };
        self.question
    }

    /// Notes that the question was answered. Gives how long the store had been away, if it had.
    pub fn answered(&mut self, now: Instant) -> Option<Duration> {
        self.pause = PAUSE_MIN;
        self.away_since.take().map(|since| now - since)
    }

    /// Notes that the question failed or was lost; `spread` is drawn from 0 to 1.
    pub fn failed(&mut self, role: Role, spread: f64, now: Instant) -> Failure {
        let is_new = self.away_since.is_none();
        let since = *self.away_since.get_or_insert(now);
        let waited = now - self.asked;
        let is_lost = waited >= self.question.lost_after;
        // Counted from the question: one that was lost has taken its time already.
        let retry_at = self.asked + self.pause.mul_f64(0.5 + spread);
        self.pause = (self.pause * 2).min(pause_max(role));
        let is_away = is_lost || now - since > AWAY_AFTER;
        Failure { is_new, is_away, waited, retry_at: retry_at.max(now) }
    }
}

fn pause_max(role: Role) -> Duration {
    match role {
        Role::Follows => PAUSE_MAX,
        Role::Substitutes | Role::Hears => PAUSE_MAX_INSTEAD,
    }
}

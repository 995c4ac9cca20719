//! How soon a question to the store that cannot be answered is asked anew, and how many are asked.

use std::ops::Range;
use std::time::Duration;

use aspenspring::mesh::follower::{Role, StoreWatch};
use aspenspring::mesh::inquiry::Inquiry;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// How long a calm store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// After the store has worked for this long again, a node has to keep to all bounds.
const CONTACT: Duration = Duration::from_secs(3);

/// What a store does in the time in which it does not work.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// It takes questions, and what falls due or is asked then is never answered.
    Silent,
    /// It refuses at once.
    Refuses,
}

/// One node and its store; times are counted from the start of the play.
struct Play {
    inquiry: Inquiry,
    began: Instant,
    now: Instant,
    rng: SmallRng,
}

impl Play {
    fn new(seed: u64) -> Self {
        let began = Instant::now();
        let rng = SmallRng::seed_from_u64(seed);
        Self { inquiry: Inquiry::new(began), began, now: began, rng }
    }

    fn elapsed(&self) -> Duration {
        self.now - self.began
    }

    /// Asks one question of a store that does not work in `away`; whether it was answered.
    fn ask(&mut self, is_first: bool, outage: Outage, away: &Range<Duration>) -> bool {
        let question = self.inquiry.ask(is_first, self.rng.random(), self.now);
        let asked = self.elapsed();
        let due = asked + question.wait + ANSWER;
        let touches = asked < away.end && due >= away.start;
        let fails_at = match outage {
            Outage::Silent if touches => Some(asked + question.lost_after),
            Outage::Refuses if touches => Some(asked.max(away.start) + ANSWER),
            Outage::Silent | Outage::Refuses => None,
        };
        let Some(fails_at) = fails_at else {
            self.now = self.began + due;
            self.inquiry.answered(self.now);
            return true;
        };
        self.now = self.began + fails_at;
        let failure = self.inquiry.failed(Role::Follows, self.rng.random(), self.now);
        self.now = failure.retry_at;
        false
    }

    /// When, after the store is back, the first question is asked that will be answered.
    fn asks_again(&mut self, is_first: bool, outage: Outage, away: &Range<Duration>) -> Duration {
        loop {
            let asked = self.elapsed();
            let is_answered = self.ask(is_first, outage, away);
            if is_answered && asked >= away.end {
                return asked;
            }
        }
    }
}

#[test]
fn a_first_node_asks_again_before_it_has_to_keep_to_all_bounds() {
    for outage in [Outage::Silent, Outage::Refuses] {
        for seed in 0..2_000 {
            let mut play = Play::new(seed);
            let start = Duration::from_millis(play.rng.random_range(0..40_000));
            let away = start..start + Duration::from_millis(play.rng.random_range(10..12_000));
            let asked = play.asks_again(true, outage, &away);
            let took = asked - away.end;
            assert!(took < CONTACT, "{outage:?}, seed {seed}: {took:?} after the store was back");
        }
    }
}

#[test]
fn an_hour_takes_few_questions() {
    let never = Duration::MAX..Duration::MAX;
    let hour = Duration::from_secs(3_600);
    // One of a first node in more than a second, one of any other in more than 20.
    for (is_first, most) in [(true, 3_000), (false, 180)] {
        let mut play = Play::new(1);
        let mut asked = 0;
        while play.elapsed() < hour {
            assert!(play.ask(is_first, Outage::Silent, &never));
            asked += 1;
        }
        assert!(asked <= most, "{asked} questions, first: {is_first}");
    }
    // A store that refuses is asked by a follower no more than twice a second.
    let mut play = Play::new(1);
    let always = Duration::ZERO..hour;
    let mut asked = 0;
    while play.elapsed() < hour {
        play.ask(true, Outage::Refuses, &always);
        asked += 1;
    }
    assert!(asked <= 7_200, "{asked} questions to a store that refuses");
}

#[test]
fn a_lost_question_hands_the_first_place_on_and_a_broken_connection_does_not() {
    let mut play = Play::new(3);
    let question = play.inquiry.ask(true, 0.0, play.now);
    let lost = play.inquiry.failed(Role::Follows, 0.0, play.now + question.lost_after);
    assert!(lost.is_new && lost.is_away);
    assert_eq!(lost.waited, question.lost_after);
    let mut play = Play::new(3);
    play.inquiry.ask(true, 0.0, play.now);
    let broken = play.inquiry.failed(Role::Follows, 0.0, play.now + ANSWER);
    assert!(broken.is_new && !broken.is_away, "the next may well be answered");
    assert!(broken.retry_at < play.now + Duration::from_millis(200));
}

#[test]
fn whoever_becomes_the_first_asks_anew() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        let watch = StoreWatch::default();
        assert!(watch.is_first(), "a node that knows nobody");
        assert!(watch.take_place(1, 1));
        let woken = watch.became_first.notified();
        tokio::pin!(woken);
        assert!(poll_once(woken.as_mut()).await.is_none());
        assert!(!watch.take_place(1, 1), "nothing has changed");
        // The one before it no longer reaches the store.
        assert!(watch.take_place(0, 1));
        assert!(watch.is_first() && watch.role() == Role::Follows);
        assert!(poll_once(woken.as_mut()).await.is_some());
    });
}

/// What a future gives that is polled once.
async fn poll_once<F: Future + Unpin>(mut future: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        output = &mut future => Some(output),
        () = std::future::ready(()) => None,
    }
}

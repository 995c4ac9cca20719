//! How soon lost requests to the store are retried, and how many requests are sent.

use std::ops::Range;
use std::time::Duration;

use aspenspring::mesh::follower::{Role, StoreWatch};
use aspenspring::mesh::polling::PollSchedule;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// Answer time of a store under normal load.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time after an outage within which a node must meet all guarantees.
const RECOVERY: Duration = Duration::from_secs(3);

/// How a store behaves during an outage.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// Accepts requests, but never answers those that are due or sent during the outage.
    Silent,
    /// Refuses requests at once.
    Refuses,
}

/// Simulation of one node and its store; times count from its start.
struct Simulation {
    schedule: PollSchedule,
    began: Instant,
    now: Instant,
    rng: SmallRng,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let began = Instant::now();
        let rng = SmallRng::seed_from_u64(seed);
        Self { schedule: PollSchedule::new(began), began, now: began, rng }
    }

    fn elapsed(&self) -> Duration {
        self.now - self.began
    }

    /// Sends one request to a store with an outage in `away`; returns whether it was answered.
    fn ask(&mut self, is_first: bool, outage: Outage, away: &Range<Duration>) -> bool {
        let long_poll = self.schedule.next_request(is_first, self.rng.random(), self.now);
        let sent_at = self.elapsed();
        let due = sent_at + long_poll.wait + ANSWER_TIME;
        let overlaps = sent_at < away.end && due >= away.start;
        let fails_at = match outage {
            Outage::Silent if overlaps => Some(sent_at + long_poll.lost_after),
            Outage::Refuses if overlaps => Some(sent_at.max(away.start) + ANSWER_TIME),
            Outage::Silent | Outage::Refuses => None,
        };
        let Some(fails_at) = fails_at else {
            self.now = self.began + due;
            self.schedule.record_answer(self.now);
            return true;
        };
        self.now = self.began + fails_at;
        let failure = self.schedule.record_failure(Role::Follower, self.rng.random(), self.now);
        self.now = failure.retry_at;
        false
    }

    /// When the first request that is answered after the outage is sent.
    fn first_answered_after(
        &mut self,
        is_first: bool,
        outage: Outage,
        away: &Range<Duration>,
    ) -> Duration {
        loop {
            let sent_at = self.elapsed();
            let is_answered = self.ask(is_first, outage, away);
            if is_answered && sent_at >= away.end {
                return sent_at;
            }
        }
    }
}

#[test]
fn a_first_node_polls_again_within_the_recovery_time() {
    for outage in [Outage::Silent, Outage::Refuses] {
        for seed in 0..2_000 {
            let mut simulation = Simulation::new(seed);
            let start = Duration::from_millis(simulation.rng.random_range(0..40_000));
            let away =
                start..start + Duration::from_millis(simulation.rng.random_range(10..12_000));
            let sent_at = simulation.first_answered_after(true, outage, &away);
            let took = sent_at - away.end;
            assert!(took < RECOVERY, "{outage:?}, seed {seed}: {took:?} after the store was back");
        }
    }
}

#[test]
fn the_request_rate_is_bounded() {
    let never = Duration::MAX..Duration::MAX;
    let hour = Duration::from_secs(3_600);
    // A first node sends less than one request a second, any other less than one in 20 s.
    for (is_first, most) in [(true, 3_000), (false, 180)] {
        let mut simulation = Simulation::new(1);
        let mut sent = 0;
        while simulation.elapsed() < hour {
            assert!(simulation.ask(is_first, Outage::Silent, &never));
            sent += 1;
        }
        assert!(sent <= most, "{sent} requests, first: {is_first}");
    }
    // A follower sends at most two requests a second to a store that refuses them.
    let mut simulation = Simulation::new(1);
    let always = Duration::ZERO..hour;
    let mut sent = 0;
    while simulation.elapsed() < hour {
        simulation.ask(true, Outage::Refuses, &always);
        sent += 1;
    }
    assert!(sent <= 7_200, "{sent} requests to a store that refuses");
}

#[test]
fn a_lost_request_marks_the_store_unreachable_and_a_broken_connection_does_not() {
    let mut simulation = Simulation::new(3);
    let long_poll = simulation.schedule.next_request(true, 0.0, simulation.now);
    let lost = simulation.schedule.record_failure(
        Role::Follower,
        0.0,
        simulation.now + long_poll.lost_after,
    );
    assert!(lost.is_new && lost.is_unreachable);
    assert_eq!(lost.waited, long_poll.lost_after);
    let mut simulation = Simulation::new(3);
    simulation.schedule.next_request(true, 0.0, simulation.now);
    let broken =
        simulation.schedule.record_failure(Role::Follower, 0.0, simulation.now + ANSWER_TIME);
    assert!(broken.is_new && !broken.is_unreachable, "the next request may well be answered");
    assert!(broken.retry_at < simulation.now + Duration::from_millis(200));
}

#[test]
fn a_node_that_becomes_the_first_polls_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        let watch = StoreWatch::default();
        assert!(watch.is_first(), "a node that knows no others");
        assert!(watch.update_role(1, 1));
        let woken = watch.became_first.notified();
        tokio::pin!(woken);
        assert!(poll_once(woken.as_mut()).await.is_none());
        assert!(!watch.update_role(1, 1), "nothing has changed");
        // The node before this one no longer reaches the store.
        assert!(watch.update_role(0, 1));
        assert!(watch.is_first() && watch.role() == Role::Follower);
        assert!(poll_once(woken.as_mut()).await.is_some());
    });
}

/// Polls a future once and returns its output if it is ready.
async fn poll_once<F: Future + Unpin>(mut future: F) -> Option<F::Output> {
    tokio::select! {
        biased;
        output = &mut future => Some(output),
        () = std::future::ready(()) => None,
    }
}

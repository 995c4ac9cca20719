//! Simulates the quarantine of a whole service. The decisions are made by the code under test;
//! targets, message delays and callers are simulated with random numbers.

use std::time::Duration;

use aspenspring::mesh::fingerprint::Fingerprint;
use aspenspring::mesh::frame::Suspicion;
use aspenspring::mesh::quarantine::{Quarantine, Standing};
use futures_util::FutureExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::SemaphorePermit;
use tokio::time::advance;

/// The duration of a step.
const STEP: Duration = Duration::from_millis(10);
/// Number of steps until a crash is known to all nodes.
const NOTICE_STEPS: u32 = 4;
/// Number of steps for which a target is down after a crash.
const DOWN_STEPS: u32 = 300;
/// Number of steps of a simulation.
const STEPS: u32 = 4_000;
/// Maximum number of targets that the culprit may crash: three until it is identified, and three
/// more that it may reach after that.
const CRASHES_MAX: u32 = 3 + 3;
/// Number of steps between two attempts of the culprit's caller.
const CULPRIT_EVERY_STEPS: u32 = 70;
/// Number of steps after which a caller gives up.
const CALLER_TIMEOUT_STEPS: u32 = 80;
/// Number of times that a request is sent to targets for one attempt of its caller.
const SENDS_MAX: u32 = 3;
/// Number of simulations for each size.
const SEEDS: u64 = 30;
/// The request that crashes targets.
const CULPRIT: u32 = u32::MAX;

fn fingerprint(request: u32) -> Fingerprint {
    Fingerprint::of("GET", &format!("/{request}"), &[], b"")
}

/// A request that waits for a target.
#[derive(Clone, Copy)]
struct Offer {
    request: u32,
    sends: u32,
    since: u32,
}

/// A request that runs on a target.
struct Run<'a> {
    offer: Offer,
    ends_at: u32,
    _isolation: Option<SemaphorePermit<'a>>,
}

#[derive(Default)]
struct Target<'a> {
    running: Vec<Run<'a>>,
    down_until: u32,
}

/// A crash that is not yet known to any node.
struct CrashNotice {
    due: u32,
    index: usize,
    requests: Vec<Fingerprint>,
}

/// The result of a simulation.
#[derive(Debug, Default)]
struct Counts {
    /// Targets that the culprit has crashed.
    crashes: u32,
    served: u32,
    wrongly_quarantined: u32,
    timed_out: u32,
}

/// The state of a simulation: the quarantine of each node, and the targets.
struct Simulation<'a> {
    rng: SmallRng,
    nodes: &'a [Quarantine],
    targets: Vec<Target<'a>>,
    offers: Vec<Offer>,
    notices: Vec<CrashNotice>,
    /// The probability that a target crashes without a cause in a step.
    crash_probability: f64,
    step: u32,
    next_request: u32,
    counts: Counts,
}

impl Simulation<'_> {
    /// Adds the requests that arrive in a step: new ones, and at intervals the culprit.
    fn add_arrivals(&mut self) {
        for _ in 0..self.nodes.len() {
            if self.rng.random_bool(0.3) {
                self.offer(self.next_request, 1);
                self.next_request += 1;
            }
        }
        if self.step % CULPRIT_EVERY_STEPS == 0 {
            self.offer(CULPRIT, 1);
        }
    }

    fn offer(&mut self, request: u32, sends: u32) {
        self.offers.push(Offer { request, sends, since: self.step });
    }

    /// Reports crashes to the node of the crashed target and to all others.
    fn deliver_notices(&mut self) {
        let is_due = |notice: &CrashNotice| notice.due <= self.step;
        let (due, pending): (Vec<CrashNotice>, _) =
            std::mem::take(&mut self.notices).into_iter().partition(is_due);
        self.notices = pending;
        for CrashNotice { index, requests, .. } in due {
            let crash = self.nodes[index].record_crash(requests);
            for (other, node) in self.nodes.iter().enumerate() {
                if other != index {
                    node.apply_crash(&crash);
                }
            }
        }
    }

    /// Places each waiting request on a random target, if its node admits it.
    fn place_offers(&mut self) {
        for offer in std::mem::take(&mut self.offers) {
            if self.step - offer.since > CALLER_TIMEOUT_STEPS {
                self.counts.timed_out += u32::from(offer.request != CULPRIT);
                continue;
            }
            let index = self.rng.random_range(0..self.nodes.len());
            if self.targets[index].down_until > self.step {
                self.offers.push(offer);
                continue;
            }
            let Some(admitted) = self.nodes[index].admit(fingerprint(offer.request)).now_or_never()
            else {
                self.offers.push(offer);
                continue;
            };
            let Some(isolation) = admitted else {
                self.counts.wrongly_quarantined += u32::from(offer.request != CULPRIT);
                continue;
            };
            let run_steps = if offer.request == CULPRIT { 3..14 } else { 5..25 };
            let ends_at = self.step + self.rng.random_range(run_steps);
            self.targets[index].running.push(Run { offer, ends_at, _isolation: isolation });
        }
    }

    /// Ends the runs that are due, with an answer or by a crash of their target.
    fn end_due_runs(&mut self) {
        for index in 0..self.targets.len() {
            let running = std::mem::take(&mut self.targets[index].running);
            let (ended, unfinished): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|run| run.ends_at <= self.step);
            let is_culprit = ended.iter().any(|run| run.offer.request == CULPRIT);
            let is_up = self.targets[index].down_until <= self.step;
            if is_culprit || (is_up && self.rng.random_bool(self.crash_probability)) {
                self.counts.crashes += u32::from(is_culprit);
                self.crash(
                    index,
                    ended.into_iter().chain(unfinished).map(|run| run.offer).collect(),
                );
                continue;
            }
            self.targets[index].running = unfinished;
            for run in ended {
                self.succeed(index, run.offer.request);
            }
        }
    }

    fn succeed(&mut self, index: usize, request: u32) {
        self.counts.served += 1;
        if !self.nodes[index].clear(fingerprint(request)).was_suspect {
            return;
        }
        for node in self.nodes {
            node.clear(fingerprint(request));
        }
    }

    /// Crashes a target with all its runs. Nodes retry the requests that are not suspects.
    fn crash(&mut self, index: usize, broken: Vec<Offer>) {
        self.targets[index].down_until = self.step + DOWN_STEPS;
        let requests = broken.iter().map(|offer| fingerprint(offer.request)).collect();
        self.notices.push(CrashNotice { due: self.step + NOTICE_STEPS, index, requests });
        for offer in broken {
            let is_suspect =
                self.nodes[index].standing(fingerprint(offer.request)) != Standing::Unrestricted;
            if offer.sends < SENDS_MAX && !is_suspect {
                self.offer(offer.request, offer.sends + 1);
            }
        }
    }
}

/// Simulates one request that crashes targets and is sent repeatedly, among others that do not.
///
/// In each step, each target crashes without a cause with the probability `crash_probability`.
async fn simulate(seed: u64, targets: usize, crash_probability: f64) -> Counts {
    let nodes: Vec<Quarantine> = (0..targets).map(|_| Quarantine::default()).collect();
    let mut simulation = Simulation {
        rng: SmallRng::seed_from_u64(seed),
        nodes: &nodes,
        targets: (0..targets).map(|_| Target::default()).collect(),
        offers: Vec::new(),
        notices: Vec::new(),
        crash_probability,
        step: 0,
        next_request: 0,
        counts: Counts::default(),
    };
    for step in 0..STEPS {
        advance(STEP).await;
        simulation.step = step;
        simulation.add_arrivals();
        simulation.deliver_notices();
        simulation.place_offers();
        simulation.end_due_runs();
    }
    simulation.counts
}

/// Whatever the order of crashes, retries and messages, the culprit is quarantined after a bounded
/// number of crashes, and no other request is; also if targets crash without a cause every five
/// seconds.
#[tokio::test(start_paused = true)]
async fn only_the_culprit_is_quarantined_and_in_time() {
    for (targets, crash_probability) in [(3, 0.0), (5, 0.0), (16, 0.0), (5, 0.002)] {
        let mut all = Counts::default();
        for seed in 0..SEEDS {
            let counts = simulate(seed, targets, crash_probability).await;
            all.crashes += counts.crashes;
            all.served += counts.served;
            all.timed_out += counts.timed_out;
            let place = format!("{targets} targets, seed {seed}: {counts:?}");
            assert!(counts.crashes <= CRASHES_MAX, "{place}");
            assert_eq!(counts.wrongly_quarantined, 0, "{place}");
            assert!(counts.served > 0, "{place}");
        }
        println!("{targets} targets, {SEEDS} seeds: {all:?}");
    }
}

/// A trial that crashes a target extends the quarantine; a trial that succeeds clears the request.
#[tokio::test(start_paused = true)]
async fn a_quarantined_request_is_tried_again() {
    let culprit = fingerprint(CULPRIT);
    let node = Quarantine::default();
    for _ in 0..3 {
        node.record_crash(vec![culprit]);
    }
    let Standing::Quarantined(first) = node.standing(culprit) else {
        panic!("not quarantined after three crashes")
    };
    advance(first).await;
    assert_eq!(node.standing(culprit), Standing::Suspect, "it may be tried after the quarantine");
    assert_eq!(node.record_crash(vec![culprit, fingerprint(1)]).held, Some(culprit));
    let Standing::Quarantined(second) = node.standing(culprit) else {
        panic!("not quarantined after the trial crashed a target")
    };
    assert!(second > first * 5, "{first:?}, then {second:?}");
    // A node that starts now receives the suspicion and quarantines the request for as long.
    let other = Quarantine::default();
    for suspicion in node.suspicions() {
        assert!(other.apply_suspicion(&suspicion), "a new quarantine is reported");
        assert!(!other.apply_suspicion(&suspicion), "a known quarantine is reported as new");
    }
    assert!(other.is_quarantined(culprit));
    advance(second).await;
    let cleared = node.clear(culprit);
    assert!(cleared.was_suspect && cleared.was_quarantined, "{cleared:?}");
    assert_eq!(node.standing(culprit), Standing::Unrestricted);
    assert_eq!(node.next_unsaved(), Some((culprit, 0)), "the row in the store is to be deleted");
}

/// Old records are dropped, and a flood of new ones does not evict a request that is quarantined.
#[tokio::test(start_paused = true)]
async fn records_are_bounded() {
    let node = Quarantine::default();
    node.apply_suspicion(&Suspicion { fingerprint: fingerprint(CULPRIT), crashes: 3, holds: 2 });
    for round in 0..40 {
        let requests = (round * 500..(round + 1) * 500).map(fingerprint).collect();
        node.record_crash(requests);
    }
    assert!(node.is_quarantined(fingerprint(CULPRIT)));
    advance(Duration::from_secs(3_000)).await;
    node.record_crash(Vec::new());
    assert!(node.is_empty(), "old records are dropped");
}

/// Guards against counts from the store or from other nodes that overflow with the next crash.
#[tokio::test(start_paused = true)]
async fn the_largest_counts_do_not_overflow() {
    let node = Quarantine::default();
    let suspicion =
        Suspicion { fingerprint: fingerprint(CULPRIT), crashes: u32::MAX, holds: u32::MAX };
    node.apply_suspicion(&suspicion);
    advance(Duration::from_secs(24 * 60 * 60)).await;
    node.record_crash(vec![fingerprint(CULPRIT)]);
    assert!(node.is_quarantined(fingerprint(CULPRIT)));
}

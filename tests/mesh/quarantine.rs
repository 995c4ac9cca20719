//! Which requests are held back, played at the size of a service: the decisions are the product's own; targets,
//! the time that news take and the callers are drawn.

use std::time::Duration;

use aspenspring::mesh::fingerprint::Fingerprint;
use aspenspring::mesh::frame::Suspicion;
use aspenspring::mesh::quarantine::{Quarantine, Standing};
use futures_util::FutureExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::SemaphorePermit;
use tokio::time::advance;

/// The time between two looks at everything.
const STEP: Duration = Duration::from_millis(10);
/// How many steps it takes until all nodes know that a target has ended.
const NEWS_STEPS: u32 = 4;
/// How many steps a target is down.
const DOWN_STEPS: u32 = 300;
/// How many steps a play lasts.
const STEPS: u32 = 4_000;
/// How many targets a request may end before it is known for it, and may reach after that.
const CRASHES_MAX: u32 = 3 + 3;
/// How many steps lie between two attempts at the culprit.
const CULPRIT_EVERY_STEPS: u32 = 70;
/// How many steps a caller waits.
const PATIENCE_STEPS: u32 = 80;
/// How often a request is sent to targets for one attempt of its caller.
const SENDS_MAX: u32 = 3;
/// How many plays there are of each size.
const SEEDS: u64 = 30;
/// The request that ends targets.
const CULPRIT: u32 = u32::MAX;

fn fingerprint(request: u32) -> Fingerprint {
    Fingerprint::of("GET", &format!("/{request}"), &[], b"")
}

/// A request on its way to a target.
#[derive(Clone, Copy)]
struct Offer {
    request: u32,
    sends: u32,
    since: u32,
}

/// A request on a target.
struct Run<'a> {
    offer: Offer,
    ends_at: u32,
    _apart: Option<SemaphorePermit<'a>>,
}

#[derive(Default)]
struct Target<'a> {
    running: Vec<Run<'a>>,
    down_until: u32,
}

/// The end of a target that nobody knows of yet.
struct News {
    due: u32,
    at: usize,
    requests: Vec<Fingerprint>,
}

/// What a play has shown.
#[derive(Debug, Default)]
struct Shown {
    /// Targets that the culprit has ended.
    crashes: u32,
    served: u32,
    held_in_error: u32,
    waited_in_vain: u32,
}

/// A service under play: what each node knows, and what its target does.
struct Play<'a> {
    rng: SmallRng,
    nodes: &'a [Quarantine],
    targets: Vec<Target<'a>>,
    offers: Vec<Offer>,
    news: Vec<News>,
    /// With this probability a target ends by itself in a step.
    ends: f64,
    step: u32,
    next_request: u32,
    shown: Shown,
}

impl Play<'_> {
    /// Callers come: some with requests of their own, one with the culprit again and again.
    fn call(&mut self) {
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

    /// The ends of targets become known, beside them and to all others.
    fn spread_news(&mut self) {
        let is_due = |news: &News| news.due <= self.step;
        let (due, later): (Vec<News>, _) =
            std::mem::take(&mut self.news).into_iter().partition(is_due);
        self.news = later;
        for News { at, requests, .. } in due {
            let told = self.nodes[at].note_crash(requests);
            for (other, node) in self.nodes.iter().enumerate() {
                if other != at {
                    node.take_crash(&told);
                }
            }
        }
    }

    /// Each request that waits is offered to a target.
    fn place_all(&mut self) {
        for offer in std::mem::take(&mut self.offers) {
            if self.step - offer.since > PATIENCE_STEPS {
                self.shown.waited_in_vain += u32::from(offer.request != CULPRIT);
                continue;
            }
            let at = self.rng.random_range(0..self.nodes.len());
            if self.targets[at].down_until > self.step {
                self.offers.push(offer);
                continue;
            }
            let Some(admitted) = self.nodes[at].admit(fingerprint(offer.request)).now_or_never()
            else {
                self.offers.push(offer);
                continue;
            };
            let Some(apart) = admitted else {
                self.shown.held_in_error += u32::from(offer.request != CULPRIT);
                continue;
            };
            let takes = if offer.request == CULPRIT { 3..14 } else { 5..25 };
            let ends_at = self.step + self.rng.random_range(takes);
            self.targets[at].running.push(Run { offer, ends_at, _apart: apart });
        }
    }

    /// Runs come to their end: with an answer, or with their target.
    fn run_all(&mut self) {
        for at in 0..self.targets.len() {
            let running = std::mem::take(&mut self.targets[at].running);
            let (ended, going_on): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|run| run.ends_at <= self.step);
            let is_culprit = ended.iter().any(|run| run.offer.request == CULPRIT);
            let is_up = self.targets[at].down_until <= self.step;
            if is_culprit || (is_up && self.rng.random_bool(self.ends)) {
                self.shown.crashes += u32::from(is_culprit);
                self.crash(at, ended.into_iter().chain(going_on).map(|run| run.offer).collect());
                continue;
            }
            self.targets[at].running = going_on;
            for run in ended {
                self.succeed(at, run.offer.request);
            }
        }
    }

    fn succeed(&mut self, at: usize, request: u32) {
        self.shown.served += 1;
        if !self.nodes[at].clear(fingerprint(request)).was_suspect {
            return;
        }
        for node in self.nodes {
            node.clear(fingerprint(request));
        }
    }

    /// A target ends with what it runs; nodes repeat what they do not suspect.
    fn crash(&mut self, at: usize, broken: Vec<Offer>) {
        self.targets[at].down_until = self.step + DOWN_STEPS;
        let requests = broken.iter().map(|offer| fingerprint(offer.request)).collect();
        self.news.push(News { due: self.step + NEWS_STEPS, at, requests });
        for offer in broken {
            let is_suspect = self.nodes[at].standing(fingerprint(offer.request)) != Standing::Free;
            if offer.sends < SENDS_MAX && !is_suspect {
                self.offer(offer.request, offer.sends + 1);
            }
        }
    }
}

/// Plays one request that ends targets, and comes back, among others that do not.
///
/// In each step a target ends by itself with the probability `ends`.
async fn play(seed: u64, targets: usize, ends: f64) -> Shown {
    let nodes: Vec<Quarantine> = (0..targets).map(|_| Quarantine::default()).collect();
    let mut play = Play {
        rng: SmallRng::seed_from_u64(seed),
        nodes: &nodes,
        targets: (0..targets).map(|_| Target::default()).collect(),
        offers: Vec::new(),
        news: Vec::new(),
        ends,
        step: 0,
        next_request: 0,
        shown: Shown::default(),
    };
    for step in 0..STEPS {
        advance(STEP).await;
        play.step = step;
        play.call();
        play.spread_news();
        play.place_all();
        play.run_all();
    }
    play.shown
}

/// Whatever the order of ends, repeats and news: the culprit is held back in time, and no other request is; also
/// where targets end by themselves every five seconds.
#[tokio::test(start_paused = true)]
async fn the_culprit_is_held_back_in_time_and_nobody_else() {
    for (targets, ends) in [(3, 0.0), (5, 0.0), (16, 0.0), (5, 0.002)] {
        let mut all = Shown::default();
        for seed in 0..SEEDS {
            let shown = play(seed, targets, ends).await;
            all.crashes += shown.crashes;
            all.served += shown.served;
            all.waited_in_vain += shown.waited_in_vain;
            let place = format!("{targets} targets, seed {seed}: {shown:?}");
            assert!(shown.crashes <= CRASHES_MAX, "{place}");
            assert_eq!(shown.held_in_error, 0, "{place}");
            assert!(shown.served > 0, "{place}");
        }
        println!("{targets} targets, {SEEDS} seeds: {all:?}");
    }
}

/// A trial that ends a target has the request held back longer; one that is answered frees it everywhere.
#[tokio::test(start_paused = true)]
async fn a_request_that_was_held_back_is_tried_again() {
    let culprit = fingerprint(CULPRIT);
    let node = Quarantine::default();
    for _ in 0..3 {
        node.note_crash(vec![culprit]);
    }
    let Standing::Held(first) = node.standing(culprit) else { panic!("three ends tell") };
    advance(first).await;
    assert_eq!(node.standing(culprit), Standing::Suspect, "it may be tried");
    assert_eq!(node.note_crash(vec![culprit, fingerprint(1)]).held, Some(culprit));
    let Standing::Held(second) = node.standing(culprit) else { panic!("the trial tells") };
    assert!(second > first * 5, "{first:?}, then {second:?}");
    // Another node that starts now is told, and holds it back for as long.
    let other = Quarantine::default();
    for suspicion in node.suspicions() {
        assert!(other.take_suspicion(&suspicion), "it is news");
        assert!(!other.take_suspicion(&suspicion), "it no longer is");
    }
    assert!(other.is_held(culprit));
    advance(second).await;
    let cleared = node.clear(culprit);
    assert!(cleared.was_suspect && cleared.was_held, "{cleared:?}");
    assert_eq!(node.standing(culprit), Standing::Free);
    assert_eq!(node.next_unsaved(), Some((culprit, 0)), "the row is dropped");
}

/// Requests of which nothing is known any more take no memory, and a flood of them makes nobody forget what is
/// held back.
#[tokio::test(start_paused = true)]
async fn what_is_remembered_is_bounded() {
    let node = Quarantine::default();
    node.take_suspicion(&Suspicion { fingerprint: fingerprint(CULPRIT), crashes: 3, holds: 2 });
    for round in 0..40 {
        let requests = (round * 500..(round + 1) * 500).map(fingerprint).collect();
        node.note_crash(requests);
    }
    assert!(node.is_held(fingerprint(CULPRIT)));
    advance(Duration::from_secs(3_000)).await;
    node.note_crash(Vec::new());
    assert!(node.is_empty(), "nothing is known after so long");
}

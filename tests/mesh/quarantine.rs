//! Which requests are held back, played at the size of a service: the decisions are the product's own; targets,
//! the time that news take and the callers are drawn.

use std::time::Duration;

use aspenspring::mesh::fingerprint::Fingerprint;
use aspenspring::mesh::frame::{Crash, Suspicion};
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
/// How often a request is sent to targets for one attempt of its caller.
const SENDS_MAX: u32 = 3;
/// How many plays there are of each size.
const SEEDS: u64 = 30;
/// The request that ends targets.
const CULPRIT: u32 = u32::MAX;

fn fingerprint(request: u32) -> Fingerprint {
    Fingerprint::of("GET", &format!("/{request}"), &[], b"")
}

/// A request on a target, or on its way to one.
struct Run<'a> {
    request: u32,
    sends: u32,
    ends_at: u32,
    _apart: Option<SemaphorePermit<'a>>,
}

#[derive(Default)]
struct Target<'a> {
    running: Vec<Run<'a>>,
    down_until: u32,
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

/// Plays one request that ends targets, and comes back, among others that do not.
///
/// In each step a target ends by itself with the probability `ends`.
async fn play(seed: u64, targets: usize, ends: f64) -> Shown {
    let mut rng = SmallRng::seed_from_u64(seed);
    let nodes: Vec<Quarantine> = (0..targets).map(|_| Quarantine::default()).collect();
    let mut sites: Vec<Target<'_>> = (0..targets).map(|_| Target::default()).collect();
    let mut news: Vec<(u32, usize, Crash)> = Vec::new();
    let mut offered: Vec<(u32, u32, u32)> = Vec::new();
    let mut shown = Shown::default();
    let mut next_request = 0;
    for step in 0..STEPS {
        advance(STEP).await;
        for _ in 0..targets {
            if rng.random_bool(0.3) {
                offered.push((next_request, 1, step));
                next_request += 1;
            }
        }
        if step % 70 == 0 {
            offered.push((CULPRIT, 1, step));
        }
        // The end of a target is known beside it, and then to all others.
        let (known, unknown) = news.into_iter().partition(|(due, ..)| *due <= step);
        news = unknown;
        let known: Vec<(u32, usize, Crash)> = known;
        for (_, at, crash) in known {
            let told = nodes[at].note_crash(crash.requests);
            for (other, node) in nodes.iter().enumerate() {
                if other != at {
                    node.take_crash(&told);
                }
            }
        }
        for (request, sends, since) in std::mem::take(&mut offered) {
            let at = rng.random_range(0..targets);
            if step - since > 80 {
                shown.waited_in_vain += u32::from(request != CULPRIT);
                continue;
            }
            if sites[at].down_until > step {
                offered.push((request, sends, since));
                continue;
            }
            let apart = match nodes[at].admit(fingerprint(request)).now_or_never() {
                None => {
                    offered.push((request, sends, since));
                    continue;
                }
                Some(None) => {
                    shown.held_in_error += u32::from(request != CULPRIT);
                    continue;
                }
                Some(Some(apart)) => apart,
            };
            let takes = if request == CULPRIT { 3..14 } else { 5..25 };
            let ends_at = step + rng.random_range(takes);
            sites[at].running.push(Run { request, sends, ends_at, _apart: apart });
        }
        for at in 0..targets {
            let running = std::mem::take(&mut sites[at].running);
            let (ended, going_on): (Vec<Run<'_>>, Vec<Run<'_>>) =
                running.into_iter().partition(|run| run.ends_at <= step);
            sites[at].running = going_on;
            let has_crashed = ended.iter().any(|run| run.request == CULPRIT);
            let ends_by_itself = sites[at].down_until <= step && rng.random_bool(ends);
            if !has_crashed && !ends_by_itself {
                for run in ended {
                    shown.served += 1;
                    if nodes[at].clear(fingerprint(run.request)).was_suspect {
                        for node in &nodes {
                            node.clear(fingerprint(run.request));
                        }
                    }
                }
                continue;
            }
            shown.crashes += u32::from(has_crashed);
            sites[at].down_until = step + DOWN_STEPS;
            let broken: Vec<Run<'_>> =
                ended.into_iter().chain(sites[at].running.drain(..)).collect();
            let requests = broken.iter().map(|run| fingerprint(run.request)).collect();
            news.push((step + NEWS_STEPS, at, Crash { requests, held: None }));
            for run in broken {
                let is_suspect = nodes[at].standing(fingerprint(run.request)) != Standing::Free;
                if run.sends < SENDS_MAX && !is_suspect {
                    offered.push((run.request, run.sends + 1, step));
                }
            }
        }
    }
    shown
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

//! Targets that name a limit in their answers, or state that they leave.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use aspenspring::mesh::named_limit::NamedLimits;
use aspenspring::mesh::pacer::Pacer;
use aspenspring::mesh::peer_limit::PeerLimit;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep};

use super::support::{
    Reaction, TestNode, ask, header, heartbeat, incarnation, link_nodes, paused, request, run,
    start, status,
};

/// The most requests that a target may get in four seconds, by the limit that it names.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * 4.0 + 5.0) as usize
}

/// Two entry nodes without a target of `stock`, and one node whose target of `stock` answers with `signals`.
async fn start_site(signals: &str) -> (TestNode, TestNode, TestNode) {
    let first = start("first", "page", vec![Reaction::Answer(200, 1)]).await;
    let second = start("second", "page", vec![Reaction::Answer(200, 1)]).await;
    let stock = start("stock", "stock", vec![Reaction::Answer(200, 1)]).await;
    link_nodes(&first, &stock).await;
    link_nodes(&second, &stock).await;
    signals.clone_into(&mut stock.target.signals.borrow_mut());
    (first, second, stock)
}

/// Sends reads to both entry nodes for `period`. Returns the statuses of the answers.
async fn send_for(period: Duration, entries: [&TestNode; 2]) -> Vec<u16> {
    let (until, mut statuses) = (Instant::now() + period, Vec::new());
    while Instant::now() < until {
        for entry in entries {
            let answer = ask(entry, &request("read", &format!("a{}", statuses.len()))).await;
            statuses.push(status(&answer));
        }
        sleep(Duration::from_millis(2)).await;
    }
    statuses
}

#[test]
fn a_target_gets_no_more_than_the_limit_that_it_names() {
    run(async {
        let (first, second, stock) = start_site("x-limit: 4\r\n").await;
        let statuses = send_for(Duration::from_millis(3_500), [&first, &second]).await;
        let arrivals = stock.target.arrivals();
        assert!(arrivals <= allowed(4.0), "{arrivals} of {} arrived", statuses.len());
    });
}

#[test]
fn a_target_that_states_that_it_leaves_gets_no_more_requests() {
    run(async {
        let (first, second, stock) = start_site("x-leaving: 1\r\n").await;
        assert_eq!(status(&ask(&first, &request("read", "a1")).await), 200);
        for entry in [&first, &second] {
            stock.node.target.apply_heartbeat(&heartbeat("stock", "stock", 2));
            let refused = ask(entry, &request("book", "a2")).await;
            assert_eq!(status(&refused), 503, "{refused}");
            assert!(header(&refused, "retry-after").is_some(), "{refused}");
        }
        assert_eq!(stock.target.arrivals(), 1);
        stock.target.signals.borrow_mut().clear();
        stock.node.target.apply_heartbeat(&heartbeat("next", "stock", 1));
        while status(&ask(&first, &request("read", "a3")).await) != 200 {
            sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Four entry nodes and eight targets of `stock`, with callers that send 400 requests per second.
struct Site {
    targets: Vec<TestNode>,
    /// The statuses of the answers.
    statuses: Rc<RefCell<Vec<u16>>>,
}

impl Site {
    async fn start() -> Self {
        let statuses: Rc<RefCell<Vec<u16>>> = Rc::default();
        let mut targets = Vec::new();
        for index in 0..8 {
            let name = format!("stock-{index}");
            targets.push(start(&name, "stock", vec![Reaction::Answer(200, 20)]).await);
        }
        for index in 0..4 {
            let entry =
                start(&format!("page-{index}"), "page", vec![Reaction::Answer(200, 1)]).await;
            for target in &targets {
                link_nodes(&entry, target).await;
            }
            let statuses = Rc::clone(&statuses);
            spawn_local(async move {
                let mut ticks = interval(Duration::from_millis(10));
                for number in 0.. {
                    ticks.tick().await;
                    let route = if number % 2 == 0 { "book" } else { "read" };
                    let (entry, statuses) = (entry.clone(), Rc::clone(&statuses));
                    spawn_local(async move {
                        let answer =
                            ask(&entry, &request(route, &format!("{index}-{number}"))).await;
                        statuses.borrow_mut().push(status(&answer));
                    });
                }
            });
        }
        Self { targets, statuses }
    }

    /// Lets the first `count` targets name a limit; empty to end it.
    fn name_limit(&self, count: usize, limit: &str) {
        for target in &self.targets[..count] {
            let line =
                if limit.is_empty() { String::new() } else { format!("x-limit: {limit}\r\n") };
            target.target.signals.replace(line);
        }
    }

    /// The number of requests that reached a target since `since`.
    fn arrivals(&self, target: usize, since: Instant) -> usize {
        let arrived_at = self.targets[target].target.arrived_at.borrow();
        arrived_at.iter().filter(|at| **at >= since).count()
    }
}

/// Plays `count` targets with a limit, then its end.
async fn play(count: usize, limit_per_s: f64) {
    let site = Site::start().await;
    sleep(Duration::from_millis(500)).await;
    site.name_limit(count, &limit_per_s.to_string());
    sleep(Duration::from_millis(500)).await;
    site.statuses.borrow_mut().clear();
    let began = Instant::now();
    sleep(Duration::from_secs(4)).await;
    let mut used = 0;
    for target in 0..count {
        let arrivals = site.arrivals(target, began);
        assert!(arrivals <= allowed(limit_per_s), "{arrivals} at a limit of {limit_per_s}");
        used += arrivals;
    }
    let given = limit_per_s * 4.0 * count as f64;
    assert!(used as f64 >= 0.9 * given, "{used} of {given}");
    let refused = site.statuses.borrow().iter().filter(|status| **status != 200).count();
    assert!(count == 8 || refused == 0, "{refused} refused although six targets have capacity");
    site.name_limit(count, "");
    sleep(Duration::from_secs(4)).await;
    let ended = Instant::now();
    sleep(Duration::from_secs(1)).await;
    let arrivals: Vec<usize> = (0..8).map(|target| site.arrivals(target, ended)).collect();
    let fair = arrivals.iter().sum::<usize>() / 8;
    assert!(arrivals.iter().all(|arrivals| *arrivals >= fair / 2), "{arrivals:?} after its end");
}

#[test]
fn limits_are_used_while_other_targets_take_the_rest() {
    run(play(2, 6.5));
}

#[test]
fn the_limits_of_all_targets_are_used_and_the_rest_is_refused() {
    run(play(8, 5.0));
}

#[test]
fn a_limit_of_zero_ends_once_it_is_no_longer_named() {
    run(play(8, 0.0));
}

#[test]
fn the_least_important_are_refused_first_when_limits_are_used_up() {
    run(async {
        let site = Site::start().await;
        site.name_limit(8, "30");
        sleep(Duration::from_secs(5)).await;
        let count = |route: &str| {
            let is_of = |request: &&String| request.starts_with(&format!("GET /{route}/"));
            site.targets
                .iter()
                .map(|node| node.target.seen.borrow().iter().filter(is_of).count())
                .sum::<usize>()
        };
        let (book, read) = (count("book"), count("read"));
        // 240 requests a second are permitted, of 200 of each route.
        assert!(book > 2 * read, "{book} important ones, {read} others");
    });
}

#[test]
fn answers_out_of_order_do_not_end_a_limit() {
    let limits = NamedLimits::default();
    let (one, next) = (incarnation("one", 5), incarnation("one", 6));
    let earlier = Instant::now();
    assert!(!limits.observe(&one, None, Some(earlier)));
    assert!(limits.observe(&one, Some(9.0), Some(earlier)));
    assert!(!limits.observe(&one, None, Some(earlier)), "of a request sent before");
    assert!(!limits.observe(&one, None, None), "of an unknown request");
    assert!(limits.observe(&one, Some(4.0), None), "a lower limit applies at once");
    assert!(!limits.observe(&one, Some(9.0), Some(earlier)));
    assert_eq!(limits.of(&next), None, "the next incarnation has named none");
    assert!(!limits.restore(&one, 2.0, Duration::ZERO), "it has answered since");
    assert!(limits.observe(&one, None, Some(Instant::now())));
    assert!(limits.restore(&next, 2.0, Duration::from_secs(1)));
    assert_eq!(limits.of(&next).unwrap().per_s, Some(2.0));
}

#[test]
fn no_four_seconds_exceed_a_limit_after_any_pause() {
    paused(async {
        for limit_per_s in [0.0, 0.3, 1.0, 6.5, 29.2, 300.0] {
            let pacer = Pacer::default();
            pacer.set(Some(limit_per_s));
            assert!(!pacer.try_take(0), "nothing that has queued passes at once");
            sleep(Duration::from_secs(20)).await;
            let (mut passed, until) = (0, Instant::now() + Duration::from_secs(4));
            while Instant::now() < until {
                passed += usize::from(pacer.try_take(0));
                sleep(Duration::from_millis(1)).await;
            }
            assert!(passed <= allowed(limit_per_s), "{passed} at {limit_per_s}");
            assert!(passed as f64 >= 0.9 * 4.0 * limit_per_s, "{passed} at {limit_per_s}");
        }
    });
}

#[test]
fn a_limit_that_is_no_number_changes_nothing() {
    run(async {
        let (first, _, stock) = start_site("x-limit: 3\r\n").await;
        assert_eq!(status(&ask(&first, &request("read", "a1")).await), 200);
        for invalid in ["many", "-1", "NaN", "inf", "1e9", ""] {
            sleep(Duration::from_millis(700)).await;
            stock.target.signals.replace(format!("x-limit: {invalid}\r\n"));
            assert_eq!(status(&ask(&first, &request("read", "a2")).await), 200, "{invalid:?}");
            let limit = stock.node.target.limit().and_then(|limit| limit.per_s);
            assert_eq!(limit, Some(3.0), "{invalid:?}");
        }
    });
}

#[test]
fn a_hold_ends_in_time_to_learn_that_a_limit_has_ended() {
    // Within 4 s of the last answer, of which a limit of 0 takes 2 s until the next request.
    const HELD_MAX: Duration = Duration::from_secs(2);
    paused(async {
        let limit = PeerLimit::default();
        let mut rng = SmallRng::seed_from_u64(1);
        for _ in 0..200 {
            limit.record_refused(&mut rng);
            sleep(HELD_MAX).await;
            assert!(!limit.is_held(Instant::now()));
        }
    });
}

#[test]
fn failures_refusals_and_other_incarnations_name_limits_too() {
    run(async {
        let (first, _, stock) = start_site("x-limit: 3\r\n").await;
        let limit = || stock.node.target.limit().and_then(|limit| limit.per_s);
        let reactions =
            [Reaction::Answer(500, 1), Reaction::Decline, Reaction::Misdirect("other".to_owned())];
        for (life, reaction) in reactions.into_iter().enumerate() {
            stock.node.target.apply_heartbeat(&heartbeat("other", "stock", 1 + life as u64));
            let id = format!("life-{life}");
            stock.node.target.apply_heartbeat(&heartbeat(&id, "stock", 1));
            assert_eq!(limit(), None, "no incarnation inherits a limit: {reaction:?}");
            stock.target.reactions.replace(vec![reaction.clone()]);
            ask(&first, &request("book", &id)).await;
            assert_eq!(limit(), Some(3.0), "{reaction:?}");
        }
        let current = stock.node.target.current().unwrap();
        assert_eq!(current.incarnation.id, "other", "the one that answered instead");
    });
}

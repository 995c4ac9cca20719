//! Retries of rejected offers, their budget over all nodes, and the calls of a tree.

use std::time::Duration;

use aspenspring::mesh::budget::RetryBudgets;
use aspenspring::mesh::frame::ServiceCalls;
use aspenspring::mesh::request_log::RequestSummary;
use aspenspring::mesh::sender::{self, Outcome, Request};
use aspenspring::mesh::settings::RetrySection;
use aspenspring::mesh::site::RouteKind;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::spawn_local;
use tokio::time::{Instant, advance, sleep};

use super::support::{
    Reaction, TestNode, ask, link_nodes, paused, request, route, run, start,
    start_with_overload_settings, status,
};

const SETTINGS: RetrySection = RetrySection { share: 0.2, slack: 49 };
const STEP: Duration = Duration::from_millis(125);
/// The number of steps in ten seconds.
const WINDOW_STEPS: usize = 80;

/// Guards against nodes whose requests rise and fall at different times using the share of
/// different windows, and against a budget kept from before a fall of all requests.
#[test]
fn nodes_with_different_busy_times_keep_to_the_share_together() {
    for seed in 0..12 {
        let sent = paused(simulate(seed));
        for end in 2 * WINDOW_STEPS..=sent.len() {
            let sum = |lag: usize, of: fn(&(u32, u32)) -> u32| -> u32 {
                sent[end - lag - WINDOW_STEPS..end - lag].iter().map(of).sum()
            };
            let retries = sum(0, |step| step.1);
            let lags = [0, WINDOW_STEPS / 2, WINDOW_STEPS];
            let requests = lags.map(|lag| sum(lag, |step| step.0)).into_iter().max().unwrap_or(0);
            let allowed = 0.2 * f64::from(requests) + 49.0;
            assert!(f64::from(retries) <= allowed, "{retries} of {requests}, seed {seed}");
        }
    }
}

/// The requests and retries of all nodes in each step. Each node is busy at times of its own.
async fn simulate(seed: u64) -> Vec<(u32, u32)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let nodes = [2, 12, 40][seed as usize % 3];
    let budgets: Vec<_> = (0..nodes).map(|_| RetryBudgets::new(&SETTINGS)).collect();
    let mut rates = vec![0.0; nodes];
    // The steps before the first request, so that every window has two before it.
    let mut sent = vec![(0, 0); 2 * WINDOW_STEPS];
    for step in 0..5 * WINDOW_STEPS {
        let falls_everywhere = step >= 4 * WINDOW_STEPS;
        let mut total = (0, 0);
        for (budget, rate) in budgets.iter().zip(&mut rates) {
            if rng.random_bool(0.02) {
                *rate = if rng.random_bool(0.5) { 0.1 } else { rng.random_range(0.0..8.0) };
            }
            let mean: f64 = if falls_everywhere { 0.05 } else { *rate };
            for _ in 0..mean as u32 + u32::from(rng.random_bool(mean.fract())) {
                budget.record_request("stock");
                total.0 += 1;
                for _ in 0..11 {
                    total.1 += u32::from(budget.try_take_lagged("stock", 0, true, nodes, &mut rng));
                }
            }
        }
        sent.push(total);
        advance(STEP).await;
    }
    sent
}

/// Guards against a budget that falls with the requests that are admitted during a fault.
#[test]
fn the_budget_lasts_while_requests_fall_and_a_fifth_is_left_to_trees_with_progress() {
    paused(async {
        let mut rng = SmallRng::seed_from_u64(1);
        let budgets = RetryBudgets::new(&SETTINGS);
        for _ in 0..2 * WINDOW_STEPS {
            for _ in 0..10 {
                budgets.record_request("stock");
            }
            advance(STEP).await;
        }
        let (mut others, mut with_progress) = (0, 0);
        for _ in 0..WINDOW_STEPS * 4 / 5 {
            for _ in 0..2 {
                budgets.record_request("stock");
            }
            while budgets.try_take_lagged("stock", 0, false, 1_000, &mut rng) {
                others += 1;
            }
            while budgets.try_take_lagged("stock", 0, true, 1_000, &mut rng) {
                with_progress += 1;
            }
            advance(STEP).await;
        }
        assert!((130..=160).contains(&(others + with_progress)), "{others} and {with_progress}");
        assert!(with_progress >= 26, "{others} and {with_progress}");
    });
}

/// A front node, linked with a node whose target declines and answers.
async fn start_pair(reactions: Vec<Reaction>, is_switched_on: bool) -> (TestNode, TestNode) {
    let answers = vec![Reaction::Answer(200, 0)];
    let (front, stock) = if is_switched_on {
        let front = start_with_overload_settings("front-1", "front", answers).await;
        (front, start_with_overload_settings("stock-1", "stock", reactions).await)
    } else {
        let front = start("front-1", "front", answers).await;
        (front, start("stock-1", "stock", reactions).await)
    };
    link_nodes(&front, &stock).await;
    assert_eq!(status(&ask(&front, &request("book", "first")).await), 200);
    (front, stock)
}

fn declining(times: usize) -> Vec<Reaction> {
    let mut reactions = vec![Reaction::Answer(200, 0)];
    reactions.extend(vec![Reaction::Decline; times]);
    reactions.push(Reaction::Answer(200, 250));
    reactions
}

/// Sends a request of an at-most-once route with three attempts.
async fn send(from: &TestNode, id: &str, timeout_ms: u64) -> (Outcome, RequestSummary) {
    let request = Request {
        attempt_id: id.to_owned(),
        method: "GET".to_owned(),
        path: "/book/1".to_owned(),
        headers: Vec::new(),
        body: Default::default(),
        deadline: Instant::now() + Duration::from_millis(timeout_ms),
        root: "book".into(),
        rank: 0,
        is_repeat: false,
        has_progressed: false,
        team: "".into(),
    };
    sender::send(&from.node, &route("book", "stock", RouteKind::AtMostOnce, 0), &request).await
}

/// Guards against giving up a call that has not run, and against other decisions on nodes that
/// have not switched this on.
#[test]
fn rejected_offers_go_on_only_where_the_settings_ask_for_it() {
    run(async {
        for (is_switched_on, arrivals) in [(true, 6), (false, 3)] {
            let (front, stock) = start_pair(declining(5), is_switched_on).await;
            let (outcome, summary) = send(&front, "second", 5_000).await;
            assert_eq!(outcome.went_well(), is_switched_on);
            assert_eq!(
                (summary.arrivals, stock.target.arrivals()),
                (arrivals, 1 + arrivals as usize)
            );
            assert_eq!(summary.calls.is_empty(), !is_switched_on);
        }
    });
}

/// Guards against offers without end, after the deadline, and beyond the budget.
#[test]
fn rejected_offers_end_with_the_budget_the_deadline_or_the_twelfth() {
    run(async {
        let (front, _stock) = start_pair(declining(100), true).await;
        let (_, summary) = send(&front, "hasty", 10).await;
        assert!(summary.arrivals <= 4, "{}", summary.arrivals);
        let (_, summary) = send(&front, "slack only", 5_000).await;
        assert!(summary.arrivals <= 10, "{}", summary.arrivals);
        for _ in 0..4 {
            for _ in 0..200 {
                front.node.budgets.record_request("stock");
            }
            sleep(Duration::from_millis(2_900)).await;
        }
        let (_, summary) = send(&front, "third", 5_000).await;
        assert_eq!((summary.arrivals, summary.rejected), (12, 12));
    });
}

/// Guards against losing or double counting the calls that a run has made, on a link and locally.
#[test]
fn the_entry_learns_the_calls_of_a_tree() {
    run(async {
        let mut reactions = declining(2);
        reactions.push(Reaction::Answer(200, 0));
        let (front, stock) = start_pair(reactions, true).await;
        let entry = front.clone();
        let root = spawn_local(async move { send(&entry, "root", 5_000).await });
        while stock.target.arrivals() < 4 {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(status(&ask(&stock, &request("read", "root.1")).await), 200);
        let (outcome, summary) = root.await.unwrap();
        assert!(outcome.went_well());
        // The run that made the call was a repeat itself, so its call counts as one.
        let calls =
            ServiceCalls { service: "stock".to_owned(), requests: 1, repeats: 3, rejected: 2 };
        assert_eq!(summary.calls, [calls]);
    });
}

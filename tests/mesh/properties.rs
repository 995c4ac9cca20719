//! Properties of single components, checked for random inputs.

use std::rc::Rc;
use std::time::Duration;

use aspenspring::mesh::budget::RetryBudgets;
use aspenspring::mesh::codec::{Decoder, Encoder, Received};
use aspenspring::mesh::frame::{Call, CallEnd, Doubt, Frame, Header, Load, TargetAnswer};
use aspenspring::mesh::gate::Gate;
use aspenspring::mesh::settings::RetrySection;
use aspenspring::mesh::site::{RouteKind, Share};
use aspenspring::mesh::split::Splitter;
use bytes::BytesMut;
use futures_util::FutureExt;
use proptest::collection::vec;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::advance;

use super::support::{memory, paused, route};

/// Headers, some of which occur often and others rarely.
fn headers() -> impl Strategy<Value = Vec<Header>> {
    let name = prop_oneof!["host", "x-[a-z]{1,3}", "[a-z]{90,120}"];
    let value = prop_oneof![vec(any::<u8>(), 0..120), Just(b"shop.test".to_vec())];
    let header = (name, value).prop_map(|(name, value)| Header::new(&name, &value));
    vec(header, 0..12)
}

fn frames() -> impl Strategy<Value = Frame> {
    let bytes = || vec(any::<u8>(), 0..300);
    let names = ("[a-z]{1,2}", "/[a-z0-9/]{0,9}");
    let call = (headers(), bytes(), any::<u32>(), names).prop_map(
        |(headers, body, remaining_ms, (service, path))| {
            Frame::Call(Call {
                id: 7,
                service,
                attempt_id: "a.b".to_owned(),
                remaining_ms,
                root: "browse".to_owned(),
                rank: 2,
                is_repeat: false,
                team: "growers".to_owned(),
                method: "POST".to_owned(),
                path,
                headers,
                body: body.into(),
            })
        },
    );
    let answer =
        (any::<u16>(), bytes(), any::<u64>(), headers()).prop_map(|(status, body, id, headers)| {
            let answer =
                TargetAnswer { status, has_failed_below: false, headers, body: body.into() };
            Frame::Answer { id, end: CallEnd::Answered(answer), load: Load::default() }
        });
    let lost = any::<u64>().prop_map(|id| Frame::Answer {
        id,
        end: CallEnd::MayHaveRun(Doubt::Timeout),
        load: Load { running: 1, waiting: 2, limit: 3 },
    });
    prop_oneof![call, answer, lost, Just(Frame::Ping), Just(Frame::SiteWanted)]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Frames are decoded as they were sent, however the stream is split into reads and however
    /// many words are added to the tables and evicted.
    #[test]
    fn frames_survive_any_cut(sent in vec(frames(), 1..60), cut in 1_usize..200) {
        let mut stream = BytesMut::new();
        let mut encoder = Encoder::default();
        for frame in &sent {
            let large_body = encoder.encode(frame, &mut stream);
            stream.extend_from_slice(&large_body.unwrap_or_default());
        }
        let mut decoder = Decoder::new(memory());
        let mut buffer = BytesMut::new();
        let mut received = Vec::new();
        for part in stream.chunks(cut) {
            buffer.extend_from_slice(part);
            while let Some(Received::Frame(frame)) = decoder.decode(&mut buffer).unwrap() {
                received.push(frame);
            }
        }
        prop_assert_eq!(received, sent);
        prop_assert!(buffer.is_empty());
    }

    /// Bytes that are no valid frame cause an error or wait for more input, but never a panic.
    #[test]
    fn any_bytes_are_refused_or_wait(bytes in vec(any::<u8>(), 0..400)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let mut decoder = Decoder::new(memory());
        while let Ok(Some(_)) = decoder.decode(&mut buffer) {}
    }

    /// The number of requests that a service gets differs from its share by at most one request for
    /// each service.
    #[test]
    fn shares_hold_for_any_number_of_requests(weights in vec(1_u32..100, 2..5), count in 1_u32..600) {
        let mut route = route("split", "stock", RouteKind::Idempotent, 0);
        route.split = Vec::new();
        for (index, weight) in weights.iter().enumerate() {
            route.split.push(Share { service: format!("s{index}"), weight: *weight });
        }
        let splitter = Splitter::default();
        let mut assigned = vec![0_u32; weights.len()];
        for _ in 0..count {
            assigned[splitter.next(&route)] += 1;
        }
        let total: u32 = weights.iter().sum();
        for (assigned, weight) in assigned.iter().zip(&weights) {
            let expected = f64::from(count) * f64::from(*weight) / f64::from(total);
            prop_assert!((f64::from(*assigned) - expected).abs() <= weights.len() as f64);
        }
    }

    /// There are never more requests running than slots, and none is lost, whatever the order in
    /// which requests arrive, end and are cancelled.
    #[test]
    fn the_queue_keeps_to_the_slots(steps in vec((0_u8..4, 0_u8..3), 1..120), slots in 1_u32..12) {
        let gate: Rc<Gate> = Rc::default();
        gate.set_slots(slots);
        let limit = gate.load().limit;
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for (step, rank) in steps {
            match step {
                0 | 1 => waiting.push(Box::pin({
                    let gate = Rc::clone(&gate);
                    async move { gate.enter(rank).await }
                })),
                2 if !running.is_empty() => drop(running.remove(0)),
                3 if !waiting.is_empty() => drop(waiting.remove(0)),
                _ => {}
            }
            let mut still_waiting = Vec::new();
            for mut request in waiting {
                match request.as_mut().now_or_never() {
                    Some(Ok(slot)) => running.push(slot),
                    Some(Err(_)) => {}
                    None => still_waiting.push(request),
                }
            }
            waiting = still_waiting;
            prop_assert!(running.len() as u32 <= limit);
            prop_assert_eq!(gate.load().running, running.len() as u32);
            prop_assert_eq!(gate.load().waiting, waiting.len() as u32);
            prop_assert!(waiting.is_empty() || running.len() as u32 == limit);
        }
    }

    /// Failed calls are retried, while the retry budget lasts, at each of four levels of a call
    /// chain. At each level the retries, including those made by runs that are retries, stay within
    /// the allowed share.
    #[test]
    fn retries_of_retries_stay_within_the_share(
        fanout in 1_u32..4,
        requests in 200_u32..400,
        failing in 0.0..1.0_f64,
        seed in any::<u64>(),
    ) {
        let share = 0.2;
        let budgets = RetryBudgets::new(&RetrySection { share, slack: 4 });
        let mut rng = SmallRng::seed_from_u64(seed);
        // Whether each run of the level above is a retry or was made by one.
        let mut runs = vec![false; requests as usize];
        let mut first = f64::from(requests);
        for level in 0..4 {
            let service = format!("level-{level}");
            let mut next = Vec::new();
            for is_repeat in runs {
                for _ in 0..if level == 0 { 1 } else { fanout } {
                    if is_repeat {
                        budgets.charge_inherited(&service);
                    } else {
                        budgets.record_request(&service);
                    }
                    next.push(is_repeat);
                    if rng.random_bool(failing) && budgets.try_take(&service, 0, 1, &mut rng) {
                        next.push(true);
                    }
                }
            }
            first *= f64::from(if level == 0 { 1 } else { fanout });
            let retries = next.iter().filter(|is_repeat| **is_repeat).count() as f64;
            prop_assert!(retries <= first * share + 2.0, "{retries} of {first} at level {level}");
            runs = next;
        }
    }

    /// For any number of nodes, any distribution of traffic and any failures: the retries in a span
    /// of ten seconds never exceed the slack plus the share of the requests in the largest of three
    /// spans: that one, the one before, and the one that begins half a span earlier.
    #[test]
    fn repeats_keep_to_the_share_in_every_span(
        nodes in prop_oneof![Just(2_usize), Just(16), Just(96), Just(300)],
        rates in vec(prop_oneof![Just(0.0), 0.0..3.0_f64, 0.0..40.0_f64], 5),
        failing in vec(0.0..1.0_f64, 5),
        skew in 0.0..4.0_f64,
        seed in any::<u64>(),
    ) {
        let sent = paused(simulate_retries(nodes, &rates, &failing, skew, seed));
        for begin in 0..sent.len().saturating_sub(SPAN_STEPS) {
            let retries: u32 = sent[begin..begin + SPAN_STEPS].iter().map(|step| step.retries).sum();
            let begins = [begin, begin.saturating_sub(SPAN_STEPS), begin.saturating_sub(SPAN_STEPS / 2)];
            let requests_from = |begin: usize| -> u32 {
                sent[begin..begin + SPAN_STEPS].iter().map(|step| step.requests).sum()
            };
            let requests = begins.map(requests_from).into_iter().max().unwrap_or(0);
            let allowed = f64::from(requests) * SHARE + f64::from(SLACK);
            prop_assert!(
                f64::from(retries) <= allowed,
                "{retries} retries of {requests} requests by {nodes} nodes"
            );
        }
    }

    /// After a busy time without failures, all nodes may spend their remaining budget at one
    /// moment, which still stays within the slack.
    #[test]
    fn an_unspent_budget_stays_within_the_slack(nodes in 1_usize..400, seed in any::<u64>()) {
        let taken = paused(async move {
            let mut rng = SmallRng::seed_from_u64(seed);
            let budgets: Vec<_> = (0..nodes)
                .map(|_| RetryBudgets::new(&RetrySection { share: SHARE, slack: SLACK }))
                .collect();
            for budget in &budgets {
                for _ in 0..100 {
                    budget.record_request("stock");
                }
            }
            advance(Duration::from_secs(10)).await;
            let mut taken = 0;
            for budget in &budgets {
                for _ in 0..5 {
                    taken += u32::from(budget.try_take("stock", 0, nodes, &mut rng));
                }
            }
            taken
        });
        prop_assert!(taken <= SLACK, "{taken} by {nodes} nodes");
    }
}

/// The allowed retries as a share of requests.
const SHARE: f64 = 0.2;
/// The retries allowed beyond that.
const SLACK: u32 = 49;
/// The time between two steps.
const STEP: Duration = Duration::from_millis(250);
/// The number of steps in ten seconds.
const SPAN_STEPS: usize = 40;
/// The number of steps in a phase, which has one rate and one share of failures.
const PHASE_STEPS: usize = 32;

/// The requests that all nodes sent to a service in one step.
#[derive(Clone, Copy, Default)]
struct Sent {
    requests: u32,
    retries: u32,
}

/// Simulates nodes that send requests to a service in phases. Each phase has a mean rate, in
/// requests per second and node, and a share of failures. `skew` gives nodes with smaller numbers
/// more of the requests.
async fn simulate_retries(
    nodes: usize,
    rates: &[f64],
    failing: &[f64],
    skew: f64,
    seed: u64,
) -> Vec<Sent> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let settings = RetrySection { share: SHARE, slack: SLACK };
    let budgets: Vec<_> = (0..nodes).map(|_| RetryBudgets::new(&settings)).collect();
    let weights: Vec<f64> =
        (0..nodes).map(|node| (1.0 - node as f64 / nodes as f64).powf(skew)).collect();
    let total: f64 = weights.iter().sum();
    let mut sent = Vec::new();
    for (rate, failing) in rates.iter().zip(failing) {
        for _ in 0..PHASE_STEPS {
            let mut step = Sent::default();
            for (budget, weight) in budgets.iter().zip(&weights) {
                let mean = rate * STEP.as_secs_f64() * nodes as f64 * weight / total;
                let count = mean as u32 + u32::from(rng.random_bool(mean.fract()));
                for _ in 0..count {
                    budget.record_request("stock");
                    step.requests += 1;
                    // Each attempt may fail, including retries.
                    while rng.random_bool(*failing) && budget.try_take("stock", 0, nodes, &mut rng)
                    {
                        step.retries += 1;
                    }
                }
            }
            sent.push(step);
            advance(STEP).await;
        }
    }
    sent
}

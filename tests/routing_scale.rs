//! Measures the load distribution, churn, memory use and speed of the router with 150 services and
//! 2,900 nodes, the size expected in two years.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::collections::HashMap;
use std::time::Instant;

use aspenspring::call::{ArmId, ClassRank, Level, LoadReport, NodeId};
use aspenspring::config::Rules;
use aspenspring::routing::{Observation, Outcome, Peer, PickRequest, Router};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICES: usize = 150;
const NODES: u64 = 2_900;
const DOMAINS: u64 = 6;

/// Counts the bytes that each thread has allocated and not freed.
struct CountingAllocator;

thread_local! {
    static ALLOCATED_BYTES: Cell<i64> = const { Cell::new(0) };
}

fn count(bytes: i64) {
    // The counter is destroyed while its thread ends; nothing is measured then.
    let _ = ALLOCATED_BYTES.try_with(|allocated| allocated.set(allocated.get() + bytes));
}

fn allocated_bytes() -> i64 {
    ALLOCATED_BYTES.with(Cell::get)
}

// SAFETY: every call is passed on unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size() as i64);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        count(-(layout.size() as i64));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn rules() -> Rules {
    let arms: Vec<_> = (0..4)
        .map(|id| serde_json::json!({"id": id, "name": id.to_string(), "share": 0.25, "policy": "p"}))
        .collect();
    serde_json::from_value(serde_json::json!({
        "classes": [], "routes": [], "services": [], "arms": arms,
        "policies": [{"name": "p", "limit": {"kind": "none"}, "retry": {"kind": "none"},
                      "choice": "least_loaded"}]
    }))
    .expect("the rules are well formed")
}

fn service_name(service: usize) -> String {
    format!("service-{service:03}")
}

/// The nodes of each service: 10 services with 100 targets, 40 with 25 and 100 with 9.
fn site() -> Vec<Vec<NodeId>> {
    let mut rng = SmallRng::seed_from_u64(9);
    let mut services = Vec::with_capacity(SERVICES);
    for service in 0..SERVICES {
        let size = match service {
            0..10 => 100,
            10..50 => 25,
            _ => 9,
        };
        services.push((0..size).map(|_| NodeId(rng.random())).collect());
    }
    services
}

fn peer(service: usize, number: usize, node: NodeId) -> Peer {
    Peer {
        node,
        service: service_name(service),
        failure_domain: (number as u64 % DOMAINS).to_string(),
        address: ([10, service as u8, (number / 250) as u8, (number % 250) as u8], 1).into(),
        slots: 100,
        leaving: false,
        first_seen_us: 0,
    }
}

fn router_of(own: NodeId, domain: u64, calls: &[usize], site: &[Vec<NodeId>]) -> Router {
    let mut router = Router::new(own, &domain.to_string(), &rules());
    for &service in calls {
        for (number, &node) in site[service].iter().enumerate() {
            router.put(0, peer(service, number, node));
        }
    }
    router
}

/// The senders of `service`: all nodes of three random services.
fn senders(service: usize, site: &[Vec<NodeId>], rng: &mut SmallRng) -> Vec<(NodeId, u64)> {
    let mut senders = Vec::new();
    for _ in 0..3 {
        let caller = (service + rng.random_range(1..SERVICES)) % SERVICES;
        for (number, &node) in site[caller].iter().enumerate() {
            senders.push((node, number as u64 % DOMAINS));
        }
    }
    senders
}

#[test]
fn senders_spread_evenly_and_churn_moves_little() {
    let site = site();
    assert_eq!(site.iter().map(Vec::len).sum::<usize>() as u64, NODES);
    for active_max in [12, 24, 48] {
        let mut rng = SmallRng::seed_from_u64(5);
        let (mut ratio_max, mut ratio_min, mut moved, mut used) =
            (0.0f64, f64::MAX, 0usize, 0usize);
        let mut excess = 0.0;
        for service in 0..10 {
            let mut load: HashMap<NodeId, f64> = HashMap::new();
            let senders = senders(service, &site, &mut rng);
            for &(own, domain) in &senders {
                let mut router = router_of(own, domain, &[service], &site);
                router.set_active_max(active_max);
                let before = router.active(&service_name(service));
                for &node in &before {
                    *load.entry(node).or_default() += 1.0 / before.len() as f64;
                }
                router.remove(1, site[service][0]);
                let after = router.active(&service_name(service));
                moved += after.iter().filter(|node| !before.contains(node)).count();
                used += before.len();
            }
            let mean = senders.len() as f64 / site[service].len() as f64;
            for node in &site[service] {
                let ratio = load.get(node).copied().unwrap_or(0.0) / mean;
                ratio_max = ratio_max.max(ratio);
                ratio_min = ratio_min.min(ratio);
                excess += (ratio - 1.0).powi(2) / 1_000.0;
            }
        }
        println!(
            "at most {active_max} of 100 targets: load of a target {ratio_min:.2} to {ratio_max:.2} of the \
             mean, deviation {:.2}; a removal replaced {moved} of {used} used targets",
            excess.sqrt()
        );
        assert!(moved * 100 <= used * 3 / 2);
        assert!(active_max != 24 || ratio_max < 3.0);
    }
}

#[test]
fn memory_and_time_depend_on_the_targets_used() {
    let site = site();
    for calls in [vec![60, 61], vec![10, 11, 12, 13], vec![0, 1, 2, 3, 4], (0..SERVICES).collect()]
    {
        let before = allocated_bytes();
        let mut router = router_of(NodeId(1), 0, &calls, &site);
        let known = router.len() as i64;
        let bytes_per_target = (allocated_bytes() - before) / known;
        let mut rng = SmallRng::seed_from_u64(3);
        let picks = 200_000u64;
        let started = Instant::now();
        for number in 0..picks {
            let service = service_name(calls[number as usize % calls.len()]);
            send_one(&mut router, number * 10, &service, &mut rng);
        }
        let per_call_ns = started.elapsed().as_nanos() as u64 / picks;
        let used_bytes = allocated_bytes() - before;
        println!(
            "{} services, {known} targets: {bytes_per_target} bytes per target when added, {used_bytes} bytes in total after \
             {picks} calls; pick, sent and observed take {per_call_ns} ns together",
            calls.len()
        );
        assert!(bytes_per_target < 600);
        assert!(used_bytes < 8 << 20);
    }
}

fn send_one(router: &mut Router, now_us: u64, service: &str, rng: &mut SmallRng) {
    let arm = ArmId(rng.random_range(0..4));
    let class = ClassRank(rng.random_range(0..4));
    let request = PickRequest { service, arm, class, level: Level(0x0380), avoid: &[] };
    let node = router.pick(now_us, &request, rng).expect("a target is available");
    router.sent(now_us, node, arm);
    let load = LoadReport { running: 3, limit: 25, floor: Level(0x0010), ..LoadReport::default() };
    let outcome = Outcome::Answered { healthy: true };
    let latency_us = rng.random_range(5_000..15_000);
    let observation = Observation { arm, class, latency_us, outcome, load: Some(load) };
    router.observed(now_us + 5, node, &observation);
}

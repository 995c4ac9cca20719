//! Simulates how the router distributes calls over slow, failing, new and distant targets, with
//! fake targets that answer after a delay.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use aspenspring::call::{ArmId, ClassRank, Level, LoadReport, NodeId};
use aspenspring::config::Rules;
use aspenspring::routing::{Observation, Outcome, Peer, PickRequest, Router};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ARM: ArmId = ArmId(0);
const CLASS: ClassRank = ClassRank(1);
const SERVICE: &str = "souq-catalogue";
const SLOTS: u32 = 25;
const LATENCY_US: u64 = 10_000;
/// The round trip between two failure domains.
const INTER_DOMAIN_LATENCY_US: u64 = 3_000;

fn rules(choice: &str) -> Rules {
    serde_json::from_value(serde_json::json!({
        "classes": [{"name": "browse", "rank": 1, "deadline_ms": 1000, "deadline_max_ms": 5000}],
        "routes": [],
        "services": [{"name": SERVICE, "slots": SLOTS, "connections": 250, "warm_up_ms": 5000}],
        "arms": [{"id": 0, "name": "full", "share": 1.0, "policy": "full"}],
        "policies": [{"name": "full", "limit": {"kind": "none"}, "retry": {"kind": "none"},
                      "choice": choice}]
    }))
    .expect("the rules are well formed")
}

/// A target whose calls slow each other down once its slots are in use.
#[derive(Clone)]
struct FakeTarget {
    domain: usize,
    latency_us: u64,
    failing: bool,
    running: u32,
    picked: u32,
}

/// An outstanding call, ordered by the time at which it is settled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Pending {
    settle_us: u64,
    sender: usize,
    target: usize,
    sent_us: u64,
    healthy: bool,
}

/// Senders and targets of one service; node IDs of targets start at 1.
struct Site {
    now_us: u64,
    /// The failure domain and the router of each sender.
    senders: Vec<(usize, Router)>,
    targets: Vec<FakeTarget>,
    pending: BinaryHeap<Reverse<Pending>>,
    rng: SmallRng,
    /// Calls that found all slots of their target in use.
    found_full: u32,
    /// The highest number of calls that a target ran at the same time.
    peak_running: u32,
}

impl Site {
    fn new(choice: &str, sender_domains: &[usize], target_domains: &[usize]) -> Self {
        let mut senders = Vec::new();
        for (number, domain) in sender_domains.iter().enumerate() {
            let own = NodeId(10_000 + number as u64);
            senders.push((*domain, Router::new(own, &domain.to_string(), &rules(choice))));
        }
        let mut site = Self {
            now_us: 10_000_000,
            senders,
            targets: Vec::new(),
            pending: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(4),
            found_full: 0,
            peak_running: 0,
        };
        for domain in target_domains {
            site.add_target(*domain, 0);
        }
        site
    }

    fn add_target(&mut self, domain: usize, first_seen_us: u64) {
        let number = self.targets.len() as u64 + 1;
        for (_, router) in &mut self.senders {
            let peer = Peer {
                node: NodeId(number),
                service: SERVICE.to_owned(),
                failure_domain: domain.to_string(),
                address: ([127, 0, 0, 1], number as u16).into(),
                slots: SLOTS,
                leaving: false,
                first_seen_us,
            };
            router.put(self.now_us, peer);
        }
        let latency_us = LATENCY_US;
        self.targets.push(FakeTarget { domain, latency_us, failing: false, running: 0, picked: 0 });
    }

    /// Sends `calls` calls, one every `gap_us`, from random senders, and returns how many each
    /// target got.
    fn send(&mut self, calls: u32, gap_us: u64) -> Vec<u32> {
        for target in &mut self.targets {
            target.picked = 0;
        }
        self.found_full = 0;
        self.peak_running = 0;
        for _ in 0..calls {
            self.now_us += gap_us;
            self.settle();
            self.send_one();
        }
        self.targets.iter().map(|target| target.picked).collect()
    }

    fn send_one(&mut self) {
        let sender = self.rng.random_range(0..self.senders.len());
        let (domain, router) = &mut self.senders[sender];
        let request = PickRequest {
            service: SERVICE,
            arm: ARM,
            class: CLASS,
            level: Level(0x0180),
            avoid: &[],
        };
        let node =
            router.pick(self.now_us, &request, &mut self.rng).expect("a target is available");
        router.sent(self.now_us, node, ARM);
        let number = node.0 as usize - 1;
        let target = &mut self.targets[number];
        target.running += 1;
        target.picked += 1;
        self.peak_running = self.peak_running.max(target.running);
        self.found_full += u32::from(target.running > SLOTS);
        let slowdown = (f64::from(target.running) / f64::from(SLOTS)).max(1.0);
        let run_us = target.latency_us as f64 * slowdown * self.rng.random_range(0.5..1.5);
        let network_us = if *domain == target.domain { 100 } else { INTER_DOMAIN_LATENCY_US };
        let took_us = if target.failing { 500 } else { run_us as u64 };
        let settle_us = self.now_us + took_us + network_us;
        self.pending.push(Reverse(Pending {
            settle_us,
            sender,
            target: number,
            sent_us: self.now_us,
            healthy: !target.failing,
        }));
    }

    fn settle(&mut self) {
        while let Some(&Reverse(call)) = self.pending.peek() {
            if call.settle_us > self.now_us {
                return;
            }
            self.pending.pop();
            let target = &mut self.targets[call.target];
            target.running -= 1;
            let load = LoadReport {
                running: target.running,
                limit: SLOTS,
                latency_us: target.latency_us as u32,
                ..LoadReport::default()
            };
            let observation = Observation {
                arm: ARM,
                class: CLASS,
                latency_us: call.settle_us - call.sent_us,
                outcome: Outcome::Answered { healthy: call.healthy },
                load: Some(load),
            };
            let node = NodeId(call.target as u64 + 1);
            self.senders[call.sender].1.observed(call.settle_us, node, &observation);
        }
    }
}

/// The share of target `number` as a multiple of an even share.
fn share(picked: &[u32], number: usize) -> f64 {
    let total: u32 = picked.iter().sum();
    f64::from(picked[number]) * picked.len() as f64 / f64::from(total)
}

fn check_share_around_fault(fault: impl Fn(&mut FakeTarget), targets: usize, gap_us: u64) {
    let mut site = Site::new("least_loaded", &[0], &vec![0; targets]);
    let before = site.send(2_000, gap_us);
    assert!(share(&before, 0) > 0.6, "uneven while all are healthy: {before:?}");
    let healthy = site.targets[0].clone();
    fault(&mut site.targets[0]);
    let just_after_fault = site.send(200, gap_us);
    let later_in_fault = site.send(200, gap_us);
    assert!(share(&later_in_fault, 0) < 0.2, "kept its share: {later_in_fault:?}");
    let (latency_us, failing) = (healthy.latency_us, healthy.failing);
    site.targets[0].latency_us = latency_us;
    site.targets[0].failing = failing;
    site.send((3_000_000 / gap_us) as u32, gap_us);
    let after = site.send(2_000, gap_us);
    println!(
        "targets {targets} gap {gap_us} us: share before {:.2}, first 200 calls {:.2}, next 200 \
         {:.2}, 3 s after the end {:.2}",
        share(&before, 0),
        share(&just_after_fault, 0),
        share(&later_in_fault, 0),
        share(&after, 0)
    );
    assert!(share(&after, 0) > 0.6, "did not regain its share: {after:?}");
}

#[test]
fn a_straggler_loses_its_share_and_gets_it_back() {
    for (targets, gap_us) in [(2, 1_000), (3, 1_000), (4, 500), (4, 5_000), (12, 200)] {
        check_share_around_fault(|target| target.latency_us *= 10, targets, gap_us);
    }
}

#[test]
fn a_target_that_fails_fast_loses_its_share_and_gets_it_back() {
    for (targets, gap_us) in [(2, 1_000), (3, 1_000), (4, 500), (4, 5_000), (12, 200)] {
        check_share_around_fault(|target| target.failing = true, targets, gap_us);
    }
}

#[test]
fn at_most_half_of_the_targets_are_ejected() {
    let mut site = Site::new("least_loaded", &[0], &[0; 6]);
    site.send(1_000, 500);
    for target in &mut site.targets[..5] {
        target.failing = true;
    }
    let picked = site.send(2_000, 500);
    let views = site.senders[0].1.view(site.now_us);
    let ejected = views.iter().filter(|view| view.arms[0].ejected).count();
    println!("5 of 6 fail: {ejected} ejected, picked {picked:?}");
    assert_eq!(ejected, 3);
    assert!(picked[5] >= 1_400, "the only good target got {}", picked[5]);
}

/// Runs `site` at a share of the capacity of its targets and returns the share of the calls that
/// the targets of domain 0 got, and the share of calls that found all slots of their target in use.
fn run_at(site: &mut Site, label: &str, load: f64) -> (f64, f64) {
    let calls = 50_000;
    let mut per_us = 0.0;
    for target in &site.targets {
        per_us += f64::from(SLOTS) / target.latency_us as f64;
    }
    let gap_us = (1.0 / per_us / load) as u64;
    site.send(5_000, gap_us);
    let picked = site.send(calls, gap_us);
    let mut near = 0;
    for (target, count) in site.targets.iter().zip(&picked) {
        near += if target.domain == 0 { *count } else { 0 };
    }
    let near = f64::from(near) / f64::from(calls);
    let found_full = f64::from(site.found_full) / f64::from(calls);
    let peak = f64::from(site.peak_running) / f64::from(SLOTS);
    println!(
        "{label} at {load}: domain 0 got {near:.2}, found full {found_full:.5}, peak {peak:.2}"
    );
    (near, found_full)
}

const DOMAINS: [usize; 8] = [0, 0, 1, 1, 2, 2, 3, 3];

#[test]
fn near_targets_come_first_but_do_not_run_hot() {
    // Domain 0 has 7 of 10 senders, but a quarter of the targets.
    let senders = [0, 0, 0, 0, 0, 0, 0, 1, 2, 3];
    for (load, near_min, found_full_max) in [(0.1, 0.5, 0.0), (0.5, 0.25, 0.005), (0.7, 0.2, 0.06)]
    {
        let mut round_robin = Site::new("round_robin", &senders, &DOMAINS);
        run_at(&mut round_robin, "round robin", load);
        let mut site = Site::new("least_loaded", &senders, &DOMAINS);
        let (near, found_full) = run_at(&mut site, "least loaded", load);
        assert!(near >= near_min, "load {load}: {near}");
        assert!(found_full <= found_full_max, "load {load}: {found_full}");
    }
}

#[test]
fn equal_targets_are_used_evenly_and_slower_ones_less() {
    for (slowdown, load) in [(1, 0.3), (1, 0.6), (2, 0.3), (2, 0.6)] {
        let mut found_full = Vec::new();
        for choice in ["round_robin", "least_loaded"] {
            let mut site = Site::new(choice, &[4; 10], &DOMAINS);
            for target in &mut site.targets[4..] {
                target.latency_us *= slowdown;
            }
            found_full
                .push(run_at(&mut site, &format!("half slower by {slowdown}, {choice}"), load).1);
        }
        assert!(found_full[1] <= found_full[0] + 0.002, "worse than round robin: {found_full:?}");
    }
}

#[test]
fn a_new_target_starts_slowly() {
    let mut site = Site::new("least_loaded", &[0, 0], &[0; 3]);
    let gap_us = 200;
    site.send(2_000, gap_us);
    site.add_target(0, site.now_us);
    let first = site.send(2_500, gap_us);
    site.send(25_000, gap_us);
    let later = site.send(2_500, gap_us);
    println!(
        "new target: first 0.5 s {:.2}, after 5.5 s {:.2}",
        share(&first, 3),
        share(&later, 3)
    );
    assert!(share(&first, 3) < 0.4);
    assert!(share(&later, 3) > 0.8);
}

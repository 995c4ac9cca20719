//! Simulates quotas over whole fleets in virtual time: entry nodes, owners and their messages, with nodes that
//! restart, pause and are partitioned.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aspenspring::mesh::teams::lease::{Decision, Lease, Step};
use aspenspring::mesh::teams::owner::{Grant, OwnedQuota, Tolerance};
use aspenspring::mesh::teams::quota::{Fleet, Owner, QuotaPolicy, Quotas};
use aspenspring::mesh::teams::roster::Quota;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

/// The time step of the simulation, and the delay of a message in steps.
const STEP: Duration = Duration::from_millis(5);
const DELAY_STEPS: usize = 1;
/// The number of steps after which a node detects that another one has gone or come back.
const DETECTION_STEPS: usize = 20;
/// The window and the tolerance that the quotas must keep to.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// What happens to a node during a range of steps.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// It ends and restarts without state.
    Restarts,
    /// It is paused, and its clock with it.
    Pauses,
}

struct SimulatedNode {
    quotas: Quotas,
    /// For how long it has been paused so far.
    paused_for: Duration,
    fault: Option<(Fault, usize, usize)>,
    /// The steps in which the requests arrived that wait for the owner's answer.
    waiting: Vec<usize>,
}

enum Message {
    Wanted(u32),
    Granted(Option<Grant>),
    Returned(u32),
}

struct Simulation {
    started_at: Instant,
    step: usize,
    team: Rc<str>,
    quota: Quota,
    nodes: Vec<SimulatedNode>,
    /// The range of steps in which the two halves of the fleet are partitioned from each other.
    split: Option<(usize, usize)>,
    messages: VecDeque<(usize, usize, usize, Message)>,
    rng: SmallRng,
    /// Admitted requests by step, and the number of refused requests.
    admitted: Vec<u32>,
    refused: u32,
}

fn address(node: usize) -> SocketAddr {
    ([10, 0, (node >> 8) as u8, node as u8], 7000).into()
}

/// The index of the node at an address.
fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("{address} is not in the fleet") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn tolerance() -> Tolerance {
    Tolerance { window: WINDOW, share: OVERAGE, slack: SLACK }
}

impl Simulation {
    fn new(nodes: usize, quota: Quota, seed: u64) -> Self {
        let node = |at| SimulatedNode {
            quotas: Quotas::new(address(at), QuotaPolicy::Leased, tolerance()),
            paused_for: Duration::ZERO,
            fault: None,
            waiting: Vec::new(),
        };
        Self {
            started_at: Instant::now(),
            step: 0,
            team: "growers".into(),
            quota,
            nodes: (0..nodes).map(node).collect(),
            split: None,
            messages: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
            admitted: Vec::new(),
            refused: 0,
        }
    }

    /// The time on a node's clock.
    fn now(&self, node: usize) -> Instant {
        self.started_at + STEP * self.step as u32 - self.nodes[node].paused_for
    }

    fn is_split(&self, one: usize, other: usize, step: usize) -> bool {
        let half = self.nodes.len() / 2;
        let is_active = self.split.is_some_and(|(from, to)| (from..to).contains(&step));
        is_active && (one < half) != (other < half)
    }

    fn has_fault(&self, node: usize, fault: Fault, step: usize) -> bool {
        let found = self.nodes[node].fault;
        found.is_some_and(|(kind, from, to)| kind == fault && (from..to).contains(&step))
    }

    /// Whether `node` considers itself connected to `other`.
    fn is_linked(&self, node: usize, other: usize) -> bool {
        let detected_step = self.step.saturating_sub(DETECTION_STEPS);
        let is_unreachable =
            |step| self.is_split(node, other, step) || self.has_fault(other, Fault::Restarts, step);
        node == other || !(is_unreachable(detected_step) || is_unreachable(self.step))
    }

    fn set_fleets(&mut self) {
        for node in 0..self.nodes.len() {
            let all = 0..self.nodes.len();
            let members = all.filter(|other| self.is_linked(node, *other)).map(address).collect();
            let fleet = Fleet { members, known: self.nodes.len() };
            let now = self.now(node);
            self.nodes[node].quotas.set_fleet(fleet, now);
        }
    }

    /// Simulates one step in which requests arrive at the given entry nodes.
    fn run_step(&mut self, entries: &[usize]) {
        self.admitted.push(0);
        let has_faults = self.split.is_some() || self.nodes.iter().any(|node| node.fault.is_some());
        if self.step == 0 || has_faults && self.step % DETECTION_STEPS == 0 {
            self.set_fleets();
        }
        for node in 0..self.nodes.len() {
            if self.has_fault(node, Fault::Pauses, self.step) {
                self.nodes[node].paused_for += STEP;
            }
            if self.nodes[node]
                .fault
                .is_some_and(|(kind, from, _)| kind == Fault::Restarts && from == self.step)
            {
                self.nodes[node].quotas =
                    Quotas::new(address(node), QuotaPolicy::Leased, tolerance());
                self.nodes[node].waiting.clear();
            }
        }
        self.deliver();
        for entry in entries {
            if !self.has_fault(*entry, Fault::Restarts, self.step) {
                let now = self.now(*entry);
                let team_lease = self.nodes[*entry].quotas.lease(&self.team, now);
                team_lease.lease.borrow_mut().record_demand(now);
                self.nodes[*entry].waiting.push(self.step);
            }
        }
        for node in 0..self.nodes.len() {
            self.decide(node);
        }
        self.step += 1;
    }

    fn decide(&mut self, node: usize) {
        let faults =
            [Fault::Restarts, Fault::Pauses].map(|kind| self.has_fault(node, kind, self.step));
        let is_idle = self.nodes[node].waiting.is_empty() && self.step % DETECTION_STEPS != 0;
        if faults.contains(&true) || is_idle {
            return;
        }
        let now = self.now(node);
        for (_, tokens) in self.nodes[node].quotas.take_expired(now) {
            self.send_to_owner(node, Message::Returned(tokens));
        }
        let waiting = std::mem::take(&mut self.nodes[node].waiting);
        if let Some(team_lease) = self.nodes[node].quotas.existing_lease(&self.team) {
            team_lease.lease.borrow_mut().waiting = waiting.len() as u32;
        }
        for arrived_step in waiting {
            match self.next_step(node, now) {
                Step::Decided(Decision::Admitted) => self.admitted[self.step] += 1,
                Step::Decided(_) => self.refused += 1,
                Step::Ask(tokens) => {
                    self.send_to_owner(node, Message::Wanted(tokens));
                    self.nodes[node].waiting.push(arrived_step);
                }
                Step::Wait => self.nodes[node].waiting.push(arrived_step),
                Step::UseEqualShare => {
                    let (initial_tokens, nodes) =
                        (tolerance().initial_tokens(self.quota), self.nodes.len());
                    let team_lease = self.nodes[node].quotas.lease(&self.team, now);
                    let decision = team_lease.lease.borrow_mut().try_take_equal_share(
                        self.quota,
                        initial_tokens,
                        nodes,
                        now,
                        &mut self.rng,
                    );
                    match decision {
                        Decision::Admitted => self.admitted[self.step] += 1,
                        _ => self.refused += 1,
                    }
                }
            }
        }
    }

    fn next_step(&mut self, node: usize, now: Instant) -> Step {
        let quotas = &self.nodes[node].quotas;
        let team_lease = quotas.lease(&self.team, now);
        match quotas.owner(&self.team) {
            Owner::This => {}
            Owner::Other(owner) => return team_lease.next_step(owner, now),
            Owner::Unknown => return Step::Wait,
        }
        let mut lease = team_lease.lease.borrow_mut();
        let decision = lease.try_take(now);
        if decision != Decision::Unknown {
            return Step::Decided(decision);
        }
        lease.add_grant(&quotas.grant(&self.team, self.quota, 1, now).unwrap(), 1, now);
        Step::Decided(lease.try_take(now))
    }

    fn send_to_owner(&mut self, node: usize, message: Message) {
        if let Owner::Other(owner) = self.nodes[node].quotas.owner(&self.team) {
            let owner = index(owner);
            self.messages.push_back((self.step + DELAY_STEPS, node, owner, message));
        } else if let Message::Returned(tokens) = message {
            let now = self.now(node);
            self.nodes[node].quotas.put_back(&self.team, tokens, now);
        }
    }

    fn deliver(&mut self) {
        let due = std::mem::take(&mut self.messages);
        for (at, from, to, message) in due {
            let is_lost = self.is_split(from, to, self.step)
                || self.has_fault(to, Fault::Restarts, self.step);
            if is_lost {
                continue;
            }
            if at > self.step || self.has_fault(to, Fault::Pauses, self.step) {
                self.messages.push_back((at, from, to, message));
                continue;
            }
            let now = self.now(to);
            let quotas = &self.nodes[to].quotas;
            match message {
                Message::Wanted(tokens) => {
                    let grant = quotas.grant(&self.team, self.quota, tokens, now);
                    let answer = Message::Granted(grant);
                    self.messages.push_back((self.step + DELAY_STEPS, to, from, answer));
                }
                Message::Granted(grant) => {
                    let Some(team_lease) = quotas.existing_lease(&self.team) else { continue };
                    let late_tokens = team_lease.lease.borrow_mut().handle_answer(grant, now);
                    if late_tokens > 0 {
                        self.send_to_owner(to, Message::Returned(late_tokens));
                    }
                }
                Message::Returned(tokens) => quotas.put_back(&self.team, tokens, now),
            }
        }
    }

    /// The most requests admitted within any window that starts at step `from` or later.
    fn max_in_window(&self, from: usize) -> u32 {
        let steps = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let windows = self.admitted[from..].windows(steps);
        windows.map(|window| window.iter().sum()).max().unwrap_or(0)
    }

    fn admitted(&self, from: usize) -> u32 {
        self.admitted[from..].iter().sum()
    }
}

fn steps(duration_s: f64) -> usize {
    (duration_s / STEP.as_secs_f64()) as usize
}

/// The most requests that may be admitted within a window.
fn bound(quota: Quota) -> f64 {
    let allowed = quota.per_s * WINDOW.as_secs_f64() + quota.burst;
    allowed * (1.0 + OVERAGE) + SLACK
}

/// Sends `per_s` requests per second for `for_s` seconds to the entry nodes that `pick` chooses.
fn send(
    simulation: &mut Simulation,
    per_s: f64,
    for_s: f64,
    pick: impl Fn(&mut SmallRng, usize) -> usize,
) {
    let mut due = 0.0;
    for _ in 0..steps(for_s) {
        due += per_s * STEP.as_secs_f64();
        let mut entries = Vec::new();
        while due >= 1.0 {
            due -= 1.0;
            entries.push(pick(&mut simulation.rng, simulation.step));
        }
        simulation.run_step(&entries);
    }
}

/// Chooses the entry node of a request that arrives in a step.
type EntryPattern<'a> = &'a dyn Fn(&mut SmallRng, usize) -> usize;

/// Fleets and quotas of very different size.
fn cases() -> impl Iterator<Item = (usize, Quota)> {
    let quota = |per_s: f64| Quota { per_s, burst: per_s };
    let sizes = [2, 16, 71, 300].into_iter();
    sizes.flat_map(move |nodes| [2.0, 30.0, 400.0].map(|per_s| (nodes, quota(per_s))))
}

#[test]
fn a_team_gets_its_full_quota_whichever_entry_nodes_it_uses() {
    for (nodes, quota) in cases() {
        let all = |rng: &mut SmallRng, _| rng.random_range(0..nodes);
        let one = |_: &mut SmallRng, _| 0;
        let moving = |_: &mut SmallRng, step: usize| step / steps(1.0) % nodes;
        let patterns: [EntryPattern<'_>; 3] = [&all, &one, &moving];
        for (index, pattern) in patterns.into_iter().enumerate() {
            let mut simulation = Simulation::new(nodes, quota, 1);
            // Ten times the quota, until the burst is used up.
            send(&mut simulation, quota.per_s * 10.0, 3.0, pattern);
            let from = simulation.step;
            send(&mut simulation, quota.per_s * 4.0, 10.0, pattern);
            let used = f64::from(simulation.admitted(from)) / (quota.per_s * 10.0);
            assert!(used >= 0.97, "{nodes} nodes, {quota:?}, pattern {index}: {used:.3} used");
            let max_admitted = f64::from(simulation.max_in_window(0));
            assert!(
                max_admitted <= bound(quota),
                "{nodes} nodes, {quota:?}, pattern {index}: {max_admitted}"
            );
        }
    }
}

#[test]
fn requests_within_the_quota_are_not_refused() {
    for (nodes, quota) in cases() {
        let mut simulation = Simulation::new(nodes, quota, 2);
        send(&mut simulation, 0.0, 2.0, |_, _| 0);
        send(&mut simulation, quota.per_s * 0.8, 10.0, |rng, _| rng.random_range(0..nodes));
        assert_eq!(simulation.refused, 0, "{nodes} nodes, {quota:?}");
    }
}

#[test]
fn quotas_hold_while_nodes_restart_pause_and_are_partitioned() {
    for seed in 0..12 {
        for (nodes, quota) in cases() {
            // Fewer seeds for larger fleets, which take proportionally longer.
            if seed >= (200 / nodes).max(1) {
                continue;
            }
            let mut simulation = Simulation::new(nodes, quota, seed as u64);
            let mut rng = SmallRng::seed_from_u64(seed as u64);
            let fleet = Fleet { members: (0..nodes).map(address).collect(), known: nodes };
            let owner = fleet.owner(&simulation.team).map(index);
            for node in 0..nodes {
                // The owner always has a fault; with every other seed, so has each other node with probability 1/2.
                let has_fault = Some(node) == owner || seed % 2 == 0 && rng.random::<f64>() < 0.5;
                if has_fault {
                    let from = steps(rng.random_range(2.0..6.0));
                    let fault = if rng.random() { Fault::Restarts } else { Fault::Pauses };
                    simulation.nodes[node].fault =
                        Some((fault, from, from + steps(rng.random_range(0.2..3.0))));
                }
            }
            if seed % 3 == 0 {
                simulation.split = Some((steps(3.0), steps(9.0)));
            }
            let factor = rng.random_range(0.5..8.0);
            send(&mut simulation, quota.per_s * factor, 14.0, |rng, _| rng.random_range(0..nodes));
            let max_admitted = f64::from(simulation.max_in_window(0));
            assert!(
                max_admitted <= bound(quota),
                "seed {seed}, {nodes} nodes, {quota:?}: {max_admitted} of {}",
                bound(quota)
            );
        }
    }
}

#[test]
fn a_lowered_quota_applies_within_300_ms() {
    for (nodes, quota) in cases() {
        let mut simulation = Simulation::new(nodes, quota, 3);
        send(&mut simulation, quota.per_s * 2.0, 4.0, |rng, _| rng.random_range(0..nodes));
        simulation.quota = Quota { per_s: quota.per_s / 5.0, burst: quota.burst / 5.0 };
        let lowered = simulation.step + steps(0.3);
        send(&mut simulation, quota.per_s * 2.0, 9.0, |rng, _| rng.random_range(0..nodes));
        let max_admitted = f64::from(simulation.max_in_window(lowered));
        assert!(
            max_admitted <= bound(simulation.quota),
            "{nodes} nodes, {quota:?}: {max_admitted}"
        );
    }
}

/// Guards against times to the next token that no `Instant` can hold: with a share of 0, every request of a team
/// ended the process.
#[test]
fn no_quota_and_no_share_overflows_the_clock() {
    let mut rng = SmallRng::seed_from_u64(4);
    let rates = [f64::MIN_POSITIVE, 1e-19, 1e-16, 1e-9, 0.5, 1e9, f64::MAX];
    let shares = [0.0, f64::MIN_POSITIVE, 1e-10, 0.5, 1.0];
    for (per_s, share) in rates.into_iter().flat_map(|rate| shares.map(|share| (rate, share))) {
        for burst in [0.0, 5.0, f64::MAX] {
            let quota = Quota { per_s, burst };
            let now = Instant::now();
            let mut owned = OwnedQuota::new(quota, &tolerance(), share, now, now);
            let mut lease = Lease::new(now);
            for wanted in [1, u32::MAX, 1] {
                let grant = owned.grant(quota, share, wanted, now);
                lease.add_grant(&grant, wanted, now);
                owned.put_back(u32::MAX, now);
            }
            let equal = lease.try_take_equal_share(quota, 0.0, 2_900, now, &mut rng);
            for decision in [lease.try_take(now), equal] {
                let Decision::Refused { retry_after } = decision else { continue };
                assert!(retry_after <= Duration::from_secs(3_600), "{quota:?}: {retry_after:?}");
            }
        }
    }
}

/// Guards against a node that goes on refusing requests by a grant that has become outdated: in the minority of a
/// partition, the next token of a small quota may be due in minutes.
#[test]
fn an_owner_without_tokens_is_asked_again_within_a_second() {
    let quota = Quota { per_s: 0.5, burst: 5.0 };
    let now = Instant::now();
    let mut owned = OwnedQuota::new(quota, &tolerance(), 0.01, now, now);
    let mut lease = Lease::new(now);
    let grant = owned.grant(quota, 0.01, 9, now);
    assert!(grant.next_token_in > Duration::from_secs(60), "{grant:?}");
    lease.add_grant(&grant, 9, now);
    while lease.try_take(now) == Decision::Admitted {}
    assert!(matches!(lease.try_take(now), Decision::Refused { .. }));
    assert_eq!(lease.try_take(now + Duration::from_secs(1)), Decision::Unknown);
}

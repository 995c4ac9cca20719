//! Load balancing by expected completion time: a model of eight targets whose speed differs and
//! changes, with the delays of load reports and conditions.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aspenspring::mesh::condition::{self, ConditionTracker};
use aspenspring::mesh::directory::{Destination, Directory, Peer, PickRequest};
use aspenspring::mesh::frame::{Condition, Load, Status};
use aspenspring::mesh::link::Link;
use aspenspring::mesh::report::{INTERVAL_BUSY, LoadReport};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, advance};

use super::support::paused;

const TARGETS: usize = 8;
const SLOTS: u32 = 8;
const RUN_US: f64 = 100_000.0;
/// The first targets run at half speed.
const HALF_SPEED: usize = 2;
const SPELL_US: f64 = 600_000.0;
const SPELL_SHARE: f64 = 0.15;
const SPELL_FACTOR: f64 = 2.5;
/// Time of a frame from one node to another.
const HOP_US: u64 = 500;
const UPKEEP_US: u64 = 100_000;
const WARM_UP_US: u64 = 5_000_000;
const END_US: u64 = 65_000_000;

const WANTED: PickRequest<'_> =
    PickRequest { service: "stock", local_utilisation: None, tried: &[], allows_limited: true };

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at as u8], 7004))
}

fn status(load: Load) -> Status {
    Status { service: "stock".to_owned(), ready: true, load, ..Status::default() }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Offer { target: usize, sender: usize, since_us: u64 },
    Finish { target: usize, sender: usize, since_us: u64, started_us: u64 },
    Answer { target: usize, sender: usize, since_us: u64, load: (u32, u32) },
    Spell { target: usize },
    Upkeep { node: usize },
    Relink,
}

#[derive(Default)]
struct Machine {
    is_slow: bool,
    running: u32,
    waiting: VecDeque<(usize, u64)>,
    tracker: ConditionTracker,
    sent: Vec<Condition>,
    sent_to_all: Option<Instant>,
    report: LoadReport,
}

impl Machine {
    fn load(&self) -> Load {
        Load { running: self.running, waiting: self.waiting.len() as u32, limit: SLOTS }
    }
}

#[derive(Debug, Default)]
struct Measured {
    runs: f64,
    on_slow: f64,
    at_half_speed: f64,
    latencies_us: Vec<u64>,
    /// Greatest share of the simultaneous calls at one target, sampled.
    greatest: Vec<f64>,
}

impl Measured {
    fn quantile_s(&mut self, quantile: f64) -> f64 {
        self.latencies_us.sort_unstable();
        self.latencies_us[(self.latencies_us.len() as f64 * quantile) as usize] as f64 / 1e6
    }

    fn share_on_slow(&self) -> f64 {
        self.on_slow / self.runs
    }

    fn share_at_half_speed(&self) -> f64 {
        self.at_half_speed / self.runs
    }

    /// The 99th percentile of the greatest share of the simultaneous calls at one target.
    fn greatest_share(&mut self) -> f64 {
        self.greatest.sort_by(f64::total_cmp);
        self.greatest[self.greatest.len() * 99 / 100]
    }

    fn summary(&mut self) -> [f64; 5] {
        [
            self.share_on_slow(),
            self.share_at_half_speed(),
            self.quantile_s(0.99),
            self.quantile_s(0.5),
            self.greatest_share(),
        ]
    }
}

async fn open_link(listener: &TcpListener) -> Rc<Link> {
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    listener.accept().await.unwrap();
    Link::start(stream).0
}

/// Plays the model at `share` of the capacity. `is_extended` tells whether the targets send the
/// extended load report.
fn play(senders: usize, share: f64, is_extended: bool, seed: u64) -> Measured {
    paused(async move {
        let mut rng = SmallRng::seed_from_u64(seed);
        let per_slot = 1.0 - SPELL_SHARE + SPELL_SHARE / SPELL_FACTOR;
        let units = (TARGETS - HALF_SPEED) as f64 + HALF_SPEED as f64 / 2.0;
        let capacity_per_us = f64::from(SLOTS) / RUN_US * per_slot * units;
        let addresses: Vec<SocketAddr> = (0..TARGETS).map(address).collect();
        let mut directories = Vec::new();
        for _ in 0..senders {
            let directory = Directory::new(address(100), "a");
            for address in &addresses {
                let peer = directory.add(*address, "a").unwrap();
                let load = Load { limit: SLOTS, ..Load::default() };
                peer.update_status(status(load));
            }
            directories.push(directory);
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut machines: Vec<Machine> = Vec::new();
        let mut events = BinaryHeap::new();
        let mut sequence = 0_u64;
        let mut push = |events: &mut BinaryHeap<_>, at_us: u64, event: Event| {
            sequence += 1;
            events.push(Reverse((at_us, sequence, event)));
        };
        for target in 0..TARGETS {
            machines
                .push(Machine { sent: vec![Condition::default(); senders], ..Machine::default() });
            let first = rng.random_range(0..4_000_000);
            push(&mut events, first, Event::Spell { target });
        }
        for node in 0..TARGETS + senders {
            push(&mut events, rng.random_range(0..UPKEEP_US), Event::Upkeep { node });
        }
        push(&mut events, 0, Event::Relink);
        push(&mut events, 1, Event::Request);
        let mut measured = Measured::default();
        let mut now_us = 0;
        while let Some(Reverse((at_us, _, event))) = events.pop() {
            if at_us > END_US {
                break;
            }
            if at_us > now_us {
                advance(Duration::from_micros(at_us - now_us)).await;
                now_us = at_us;
            }
            let is_measured = now_us > WARM_UP_US;
            match event {
                Event::Relink => {
                    // A link that has received nothing for 900 ms is avoided.
                    let link = open_link(&listener).await;
                    for directory in &directories {
                        for address in &addresses {
                            let peer = directory.get(*address).unwrap();
                            peer.link.replace(Some(Rc::clone(&link)));
                        }
                    }
                    push(&mut events, now_us + 500_000, Event::Relink);
                }
                Event::Request => {
                    let gap_us = -(1.0 - rng.random::<f64>()).ln() / (capacity_per_us * share);
                    push(&mut events, now_us + gap_us as u64, Event::Request);
                    let sender = rng.random_range(0..senders);
                    let Some(Destination::Peer(peer)) = directories[sender].pick(&WANTED, &mut rng)
                    else {
                        panic!("no target");
                    };
                    peer.in_flight.set(peer.in_flight.get() + 1);
                    let target = addresses.iter().position(|at| *at == peer.address).unwrap();
                    let offer = Event::Offer { target, sender, since_us: now_us };
                    push(&mut events, now_us + HOP_US, offer);
                    if is_measured {
                        measured.runs += 1.0;
                        let calls =
                            |machine: &Machine| machine.load().running + machine.load().waiting;
                        let all: u32 = machines.iter().map(calls).sum();
                        let most = machines.iter().map(calls).max().unwrap();
                        if all >= SLOTS {
                            measured.greatest.push(f64::from(most) / f64::from(all));
                        }
                    }
                }
                Event::Offer { target, sender, since_us } => {
                    let machine = &mut machines[target];
                    machine.waiting.push_back((sender, since_us));
                }
                Event::Finish { target, sender, since_us, started_us } => {
                    let machine = &mut machines[target];
                    machine.running -= 1;
                    if is_extended {
                        let percent = if machine.is_slow { 100.0 * SPELL_FACTOR } else { 100.0 };
                        machine.tracker.record_slowness(percent as u16);
                    }
                    machine.tracker.record_run(Duration::from_micros(now_us - started_us));
                    let current = machine.tracker.current();
                    if is_extended && condition::is_changed(machine.sent[sender], current) {
                        machine.sent[sender] = current;
                        let peer = directories[sender].get(addresses[target]).unwrap();
                        peer.condition.update(current);
                    }
                    let load = (machine.running, machine.waiting.len() as u32);
                    let answer = Event::Answer { target, sender, since_us, load };
                    push(&mut events, now_us + HOP_US, answer);
                }
                Event::Answer { target, sender, since_us, load } => {
                    let peer = directories[sender].get(addresses[target]).unwrap();
                    peer.in_flight.set(peer.in_flight.get() - 1);
                    peer.update_load(Load { running: load.0, waiting: load.1, limit: SLOTS });
                    if is_measured {
                        measured.latencies_us.push(now_us - since_us);
                    }
                }
                Event::Spell { target } => {
                    let machine = &mut machines[target];
                    machine.is_slow = !machine.is_slow;
                    let usual_us = SPELL_US * (1.0 - SPELL_SHARE) / SPELL_SHARE;
                    let length_us = if machine.is_slow {
                        SPELL_US
                    } else {
                        usual_us * rng.random_range(0.5..1.5)
                    };
                    push(&mut events, now_us + length_us as u64, Event::Spell { target });
                }
                Event::Upkeep { node } => {
                    push(&mut events, now_us + UPKEEP_US, Event::Upkeep { node });
                    if node >= TARGETS {
                        directories[node - TARGETS].update_run_times("", None);
                        continue;
                    }
                    let machine = &mut machines[node];
                    let now = Instant::now();
                    let load = machine.load();
                    if machine.report.is_due(load, TARGETS, now) {
                        machine.report.record(load, now);
                        for directory in &directories {
                            directory.get(addresses[node]).unwrap().update_load(load);
                        }
                    }
                    let is_due = machine.sent_to_all.is_none_or(|at| now - at >= INTERVAL_BUSY);
                    if is_due && is_extended {
                        let current = machine.tracker.current();
                        let mut sent_any = false;
                        for (sender, sent) in machine.sent.iter_mut().enumerate() {
                            if condition::is_changed(*sent, current) {
                                sent_any = true;
                                *sent = current;
                                let peer = directories[sender].get(addresses[node]).unwrap();
                                peer.condition.update(current);
                            }
                        }
                        if sent_any {
                            machine.sent_to_all = Some(now);
                        }
                    }
                }
            }
            for (target, machine) in machines.iter_mut().enumerate() {
                while machine.running < SLOTS {
                    let Some((sender, since_us)) = machine.waiting.pop_front() else { break };
                    machine.running += 1;
                    let speed = if target < HALF_SPEED { 0.5 } else { 1.0 };
                    let factor = if machine.is_slow { SPELL_FACTOR } else { 1.0 };
                    let run_us = RUN_US / speed * factor * rng.random_range(0.8..1.2);
                    if is_measured {
                        measured.on_slow += f64::from(u8::from(machine.is_slow));
                        measured.at_half_speed += f64::from(u8::from(target < HALF_SPEED));
                    }
                    let finish = Event::Finish { target, sender, since_us, started_us: now_us };
                    push(&mut events, now_us + run_us as u64, finish);
                }
            }
        }
        measured
    })
}

/// Guards against sending calls to slow machines, and against queues there.
#[test]
fn few_senders_meet_the_goals_at_half_load_and_near_the_capacity() {
    let mut half = play(2, 0.5, true, 7);
    let mut full = play(2, 0.9, true, 7);
    println!("{:.3?}, {:.3?}", half.summary(), full.summary());
    assert!(half.share_on_slow() < 0.04);
    assert!(half.share_at_half_speed() < 0.09);
    assert!(full.quantile_s(0.99) < 0.4);
}

/// Guards against senders that know little of each other's calls and herd onto a fast target.
#[test]
fn many_senders_do_better_than_without_conditions() {
    for senders in [4, 12, 50] {
        for share in [0.5, 0.9] {
            let mut before = play(senders, share, false, 7);
            let mut after = play(senders, share, true, 7);
            println!("{senders} {share}: {:.3?}, {:.3?}", before.summary(), after.summary());
            assert!(after.share_on_slow() < 0.9 * before.share_on_slow());
            assert!(after.share_at_half_speed() < 0.9 * before.share_at_half_speed());
            assert!(after.quantile_s(0.99) < before.quantile_s(0.99));
        }
    }
}

fn condition(slowness_percent: u16, run_us: u32) -> Condition {
    Condition { rejected_percent: 0, slowness_percent, run_us }
}

/// A directory in failure domain `a` with a peer in each of the given domains.
async fn directory(domains: &[&str]) -> (Directory, Vec<Rc<Peer>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let directory = Directory::new(address(100), "a");
    let mut peers = Vec::new();
    for (at, domain) in domains.iter().enumerate() {
        let peer = directory.add(address(at), domain).unwrap();
        peer.update_status(status(Load { running: 2, waiting: 0, limit: SLOTS }));
        peer.link.replace(Some(open_link(&listener).await));
        peers.push(peer);
    }
    (directory, peers)
}

/// The number of 1,000 calls that go to each peer.
fn picked(directory: &Directory, peers: &[Rc<Peer>]) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = vec![0; peers.len()];
    for _ in 0..1_000 {
        let Some(Destination::Peer(picked)) = directory.pick(&WANTED, &mut rng) else { panic!() };
        counts[peers.iter().position(|peer| Rc::ptr_eq(peer, &picked)).unwrap()] += 1;
    }
    counts
}

/// Guards against different decisions where no target sends the extended load report, or none
/// differs.
#[test]
fn unknown_and_equal_conditions_change_no_choice() {
    paused(async {
        let (directory, peers) = directory(&["a", "a", "b"]).await;
        let before = picked(&directory, &peers);
        directory.update_run_times("stock", None);
        assert_eq!(picked(&directory, &peers), before);
        for peer in &peers[..2] {
            peer.condition.update(condition(250, 40_000));
        }
        directory.update_run_times("stock", None);
        assert_eq!(picked(&directory, &peers), before);
        assert_eq!(before[2], 0);
    });
}

/// Guards against staying in a failure domain whose targets are slow, leaving one for a small gain,
/// and trusting a slowness that is no longer reported.
#[test]
fn another_domain_is_chosen_while_the_own_one_is_much_slower() {
    paused(async {
        let (directory, peers) = directory(&["a", "b", "b"]).await;
        for peer in &peers {
            peer.condition.update(condition(100, 40_000));
        }
        peers[0].condition.update(condition(130, 40_000));
        directory.update_run_times("", None);
        assert_eq!(picked(&directory, &peers)[0], 1_000);
        peers[0].condition.update(condition(250, 40_000));
        directory.update_run_times("", None);
        assert_eq!(picked(&directory, &peers)[0], 0);
        advance(Duration::from_millis(1_001)).await;
        directory.update_run_times("", None);
        assert_eq!(picked(&directory, &peers)[0], 1_000);
    });
}

/// Guards against admission counting the idle slots of slow targets as capacity, and against one
/// absurd figure that changes the weight of all other targets.
#[test]
fn the_load_of_a_service_is_its_throughput_relative_to_its_capacity() {
    paused(async {
        let (directory, peers) = directory(&["a"; TARGETS]).await;
        for (at, peer) in peers.iter().enumerate() {
            let is_half_speed = at < HALF_SPEED;
            let running = if is_half_speed { 0 } else { SLOTS };
            peer.update_load(Load { running, waiting: 1, limit: SLOTS });
            peer.condition.update(condition(100, if is_half_speed { 80_000 } else { 40_000 }));
        }
        let load = || directory.services(&Status::default(), Load::default())["stock"].load;
        assert_eq!(load(), Load { running: 48, waiting: 8, limit: 64 });
        directory.update_run_times("", None);
        assert_eq!(load(), Load { running: 48, waiting: 8, limit: 56 });
        peers[7].condition.update(condition(10, 1));
        directory.update_run_times("", None);
        assert_eq!(load(), Load { running: 56, waiting: 8, limit: 64 });
    });
}

//! Simulates admission control under load: a target with a number of slots, random service times
//! and random arrivals, stepped event by event with fixed seeds. It measures which share of the
//! target's capacity produces answers within the deadline; it does not model a whole site.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use aspenspring::admission::{Admission, Candidate, Decision, End, TargetState};
use aspenspring::call::{ArmId, AttemptId, ClassRank, Level, NodeId, RefusalReason, RootId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SECOND_US: u64 = 1_000_000;
const BROWSE: ClassRank = ClassRank(1);
const CONFIRM: ClassRank = ClassRank(3);
/// Unoptimised builds run fewer seeds and sizes.
const SEEDS: u64 = if cfg!(debug_assertions) { 1 } else { 5 };
const SIZES: &[u32] = if cfg!(debug_assertions) { &[25] } else { &[25, 130] };
const DELAY: &str = r#"{"kind": "delay", "tolerance": 2.0, "backoff": 0.9}"#;
/// The interval at which senders learn the current floor.
const FLOOR_INTERVAL_US: u64 = 50_000;
const NO_STALL: (u64, u64) = (u64::MAX, u64::MAX);

/// One simulated scenario.
#[derive(Clone, Copy)]
struct Scenario {
    limit: &'static str,
    refuse_early: bool,
    /// Whether senders drop calls below the floor that they last learned.
    senders_apply_floor: bool,
    /// The announced and the actual number of slots.
    slots: (u32, u32),
    service_us: f64,
    deadline_us: u64,
    /// The arrival rates at a time in seconds, as multiples of the capacity: of browsing calls and
    /// of confirmations.
    load: fn(f64) -> (f64, f64),
    /// The factor on the service time at a time in seconds.
    slowdown: fn(f64) -> f64,
    /// The beginning and the end of the time in which the target makes no progress.
    stalled_us: (u64, u64),
    length_us: u64,
}

const BASE: Scenario = Scenario {
    limit: r#"{"kind": "gradient", "tolerance": 2.0, "smoothing": 0.2}"#,
    refuse_early: true,
    senders_apply_floor: true,
    slots: (25, 25),
    service_us: 20_000.0,
    deadline_us: SECOND_US,
    load: |_| (0.2, 0.3),
    slowdown: |_| 1.0,
    stalled_us: NO_STALL,
    length_us: 10 * SECOND_US,
};
const STATIC: &str = r#"{"kind": "static"}"#;
const NONE: &str = r#"{"kind": "none"}"#;

/// One call and its outcome.
struct Call {
    class: ClassRank,
    arrived_us: u64,
    ran_us: Option<u64>,
    ended_us: u64,
    is_settled: bool,
    is_good: bool,
    /// Whether admission control refused it for another reason than the floor.
    refused_late: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(ClassRank),
    Done(usize),
    Deadline(usize),
    Poll,
}

struct Simulation {
    scenario: Scenario,
    admission: Admission,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    calls: Vec<Call>,
    /// Calls queued inside the target.
    target_queue: VecDeque<usize>,
    /// How many calls the target is working on.
    in_service: u32,
    now_us: u64,
    event_count: u64,
    /// The limit at the start of each second.
    limits: Vec<u32>,
    /// The floor that senders last learned, and when.
    learned_floor: (Level, u64),
}

impl Simulation {
    fn execute(scenario: Scenario, seed: u64) -> Self {
        let admission = Admission::new(0, &rules(&scenario), "s");
        let rng = SmallRng::seed_from_u64(seed);
        let events = BinaryHeap::new();
        let (calls, target_queue) = (Vec::new(), VecDeque::new());
        let learned_floor = (Level::LOWEST, 0);
        let mut run = Simulation {
            scenario,
            admission,
            rng,
            events,
            calls,
            target_queue,
            in_service: 0,
            now_us: 0,
            event_count: 0,
            limits: Vec::new(),
            learned_floor,
        };
        run.admission.set_target(0, TargetState::Serving, scenario.slots.0, scenario.slots.0 * 8);
        run.schedule(0, Event::Arrive(BROWSE));
        run.schedule(0, Event::Arrive(CONFIRM));
        while let Some(Reverse((now_us, _, event))) = run.events.pop() {
            run.now_us = now_us;
            run.step(event);
        }
        let left = run.admission.load(run.now_us, ArmId(0), BROWSE);
        assert_eq!((left.running, left.queued), (0, 0), "the simulation ends idle");
        run
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    fn exponential_us(&mut self, mean_us: f64) -> u64 {
        (-mean_us * (1.0 - self.rng.random::<f64>()).ln()) as u64 + 1
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        match event {
            Event::Arrive(class) => self.arrive(class, &mut out),
            Event::Done(call) => self.done(call, &mut out),
            Event::Deadline(call) => self.finish(call, false, &mut out),
            Event::Poll => self.admission.poll(self.now_us, &mut out),
        }
        let load = self.admission.load(self.now_us, ArmId(0), BROWSE);
        if self.now_us / SECOND_US >= self.limits.len() as u64 {
            self.limits.push(load.limit);
        }
        assert!(self.scenario.limit == NONE || load.running <= self.scenario.slots.0);
        for decision in out {
            let call = decision.attempt().sequence as usize;
            match decision {
                Decision::Refuse { refusal, .. } => {
                    self.calls[call].is_settled = true;
                    self.calls[call].refused_late = refusal.reason != RefusalReason::Shed;
                }
                Decision::Run { .. } => self.start(call),
            }
        }
        let Some(wake_us) = self.admission.next_wake_us() else {
            return;
        };
        let next_us = self.events.peek().map_or(u64::MAX, |Reverse((at_us, ..))| *at_us);
        if wake_us < next_us {
            self.schedule(wake_us.max(self.now_us), Event::Poll);
        }
    }

    fn arrive(&mut self, class: ClassRank, out: &mut Vec<Decision>) {
        let (browse, confirm) = (self.scenario.load)(self.now_us as f64 / SECOND_US as f64);
        let times = if class == BROWSE { browse } else { confirm };
        let mean_us = self.scenario.service_us / f64::from(self.scenario.slots.1) / times.max(1e-3);
        let next_us = self.now_us + self.exponential_us(mean_us);
        if next_us < self.scenario.length_us {
            self.schedule(next_us, Event::Arrive(class));
        }
        let attempt = AttemptId { origin: NodeId(1), sequence: self.calls.len() as u64, nonce: 0 };
        let level = Level::new(class, RootId(self.rng.random()));
        let deadline_us = self.now_us + self.scenario.deadline_us;
        let arrived_us = self.now_us;
        self.calls.push(Call {
            class,
            arrived_us,
            ran_us: None,
            ended_us: 0,
            is_settled: false,
            is_good: false,
            refused_late: false,
        });
        if self.now_us >= self.learned_floor.1 + FLOOR_INTERVAL_US {
            self.learned_floor =
                (self.admission.load(self.now_us, ArmId(0), class).floor, self.now_us);
        }
        if self.scenario.senders_apply_floor && level < self.learned_floor.0 {
            self.calls.last_mut().expect("the call was just added").is_settled = true;
            return;
        }
        let candidate = Candidate { attempt, arm: ArmId(0), level, deadline_us };
        self.admission.offer(self.now_us, candidate, out);
    }

    fn start(&mut self, call: usize) {
        assert!(self.now_us < self.calls[call].arrived_us + self.scenario.deadline_us);
        self.calls[call].ran_us = Some(self.now_us);
        self.schedule(
            self.calls[call].arrived_us + self.scenario.deadline_us,
            Event::Deadline(call),
        );
        self.target_queue.push_back(call);
        self.start_queued();
    }

    /// The target starts as many calls as it has slots; it ignores deadlines.
    fn start_queued(&mut self) {
        while self.in_service < self.scenario.slots.1 {
            let Some(call) = self.target_queue.pop_front() else {
                return;
            };
            self.in_service += 1;
            let slowdown = (self.scenario.slowdown)(self.now_us as f64 / SECOND_US as f64);
            let (from_us, to_us) = self.scenario.stalled_us;
            let mut done_us =
                self.now_us + self.exponential_us(self.scenario.service_us * slowdown);
            if self.now_us < to_us && done_us > from_us {
                done_us += to_us - self.now_us.max(from_us);
            }
            self.schedule(done_us, Event::Done(call));
        }
    }

    fn done(&mut self, call: usize, out: &mut Vec<Decision>) {
        self.in_service -= 1;
        self.start_queued();
        self.finish(call, true, out);
    }

    fn finish(&mut self, call: usize, answered: bool, out: &mut Vec<Decision>) {
        if std::mem::replace(&mut self.calls[call].is_settled, true) {
            return;
        }
        self.calls[call].is_good = answered;
        self.calls[call].ended_us = self.now_us;
        let latency_us = self.now_us - self.calls[call].ran_us.expect("the call ran");
        let end = match answered {
            true => End::Answered { latency_us, healthy: true },
            false => End::Failed { latency_us },
        };
        let attempt = AttemptId { origin: NodeId(1), sequence: call as u64, nonce: 0 };
        self.admission.finish(self.now_us, attempt, end, out);
    }

    /// The rate of calls that arrived between two times and were answered in time, as a share of
    /// the capacity.
    fn goodput(&self, from_s: f64, to_s: f64) -> f64 {
        let capacity =
            f64::from(self.scenario.slots.1) / self.scenario.service_us * SECOND_US as f64;
        let good = self.arrived_between(from_s, to_s).filter(|call| call.is_good).count();
        good as f64 / (capacity * (to_s - from_s))
    }

    /// The share of the confirmations that were answered in time.
    fn confirmed(&self, from_s: f64, to_s: f64) -> f64 {
        let all = self.arrived_between(from_s, to_s).filter(|call| call.class == CONFIRM);
        let (good, all) =
            all.fold((0, 0), |(good, all), call| (good + u32::from(call.is_good), all + 1));
        f64::from(good) / f64::from(all)
    }

    /// The median time from arrival to answer, in milliseconds.
    fn median_ms(&self, from_s: f64, to_s: f64) -> u64 {
        let good = self.arrived_between(from_s, to_s).filter(|call| call.is_good);
        let mut times: Vec<u64> = good.map(|call| call.ended_us - call.arrived_us).collect();
        times.sort_unstable();
        times[times.len() / 2] / 1_000
    }

    /// How many calls ran but were not answered in time.
    fn wasted(&self, from_s: f64, to_s: f64) -> f64 {
        self.arrived_between(from_s, to_s)
            .filter(|call| call.ran_us.is_some() && !call.is_good)
            .count() as f64
    }

    fn arrived_between(&self, from_s: f64, to_s: f64) -> impl Iterator<Item = &Call> {
        let range = (from_s * SECOND_US as f64) as u64..(to_s * SECOND_US as f64) as u64;
        self.calls.iter().filter(move |call| range.contains(&call.arrived_us))
    }

    /// Calls that were refused although they were at or above the floor, per call answered in time.
    fn refused_late(&self, from_s: f64, to_s: f64) -> f64 {
        let late = self.arrived_between(from_s, to_s).filter(|call| call.refused_late).count();
        late as f64
            / self.arrived_between(from_s, to_s).filter(|call| call.is_good).count().max(1) as f64
    }

    /// Seconds from `end_s` until at least 95 % of the calls of every later 0.2 s interval are
    /// answered.
    fn recovery_s(&self, end_s: f64, until_s: f64) -> f64 {
        let mut recovered_s = end_s;
        let mut at_s = end_s;
        while at_s + 0.2 <= until_s {
            let calls: Vec<&Call> = self.arrived_between(at_s, at_s + 0.2).collect();
            let good = calls.iter().filter(|call| call.is_good).count();
            at_s += 0.2;
            if (good as f64) < 0.95 * calls.len() as f64 {
                recovered_s = at_s;
            }
        }
        recovered_s - end_s
    }
}

/// The minimum, the median and the maximum of a figure over several runs.
struct Spread {
    min: f64,
    median: f64,
    max: f64,
}

impl Spread {
    fn of(runs: &[Simulation], figure: impl Fn(&Simulation) -> f64) -> Self {
        let mut figures: Vec<f64> = runs.iter().map(figure).collect();
        figures.sort_by(f64::total_cmp);
        let last = figures.len() - 1;
        Self { min: figures[0], median: figures[last / 2], max: figures[last] }
    }
}

impl std::fmt::Display for Spread {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.3} ({:.3}-{:.3})", self.median, self.min, self.max)
    }
}

fn rules(scenario: &Scenario) -> aspenspring::config::Rules {
    let (limit, refuse_early) = (scenario.limit, scenario.refuse_early);
    let text = format!(
        r#"{{"routes": [], "classes": [
            {{"name": "browse", "rank": 1, "deadline_ms": 1000, "deadline_max_ms": 1000}},
            {{"name": "confirm", "rank": 3, "at_most_once": true, "deadline_ms": 1000,
              "deadline_max_ms": 1000, "reserved_share": 0.1}}],
        "services": [{{"name": "s", "slots": 2, "connections": 20}}],
        "arms": [{{"id": 0, "name": "a", "share": 1.0, "policy": "p"}}],
        "policies": [{{"name": "p", "limit": {limit}, "refuse_early": {refuse_early},
            "retry": {{"kind": "none"}}, "choice": "least_loaded"}}]}}"#
    );
    serde_json::from_str(&text).expect("the rules are well formed")
}

/// The results for one policy and size: medians over the seeds.
struct Figures {
    /// Goodput as a share of the capacity, at 2 and at 10 times the capacity.
    goodput: [f64; 2],
    /// Share of the confirmations answered in time, at the same loads.
    confirmed: [f64; 2],
    /// Recovery times after a surge and after a stall, in seconds.
    recovery_s: [f64; 2],
}

/// Runs all scenarios for one policy and size, and prints the results.
fn measure(name: &str, scenario: Scenario) -> Figures {
    let surge = |t| if (4.0..7.0).contains(&t) { (9.7, 0.3) } else { (0.2, 0.3) };
    let stalled_us = (4 * SECOND_US, 7 * SECOND_US);
    let length_us = 15 * SECOND_US;
    let twice = Scenario { load: |_| (1.7, 0.3), ..scenario };
    let tenfold = Scenario { load: |_| (9.7, 0.3), ..scenario };
    let surge = Scenario { load: surge, length_us, ..scenario };
    let stall = Scenario { load: |_| (0.4, 0.3), stalled_us, length_us, ..scenario };
    let seeds = if scenario.slots.1 < 10 { 5 } else { SEEDS };
    let execute = |scenario| -> Vec<Simulation> {
        (0..seeds).map(|seed| Simulation::execute(scenario, seed)).collect()
    };
    let mut figures = Figures { goodput: [0.0; 2], confirmed: [0.0; 2], recovery_s: [0.0; 2] };
    println!("{} slots, {name}", scenario.slots.1);
    for (index, (name, scenario)) in [("2x", twice), ("10x", tenfold)].into_iter().enumerate() {
        let runs = execute(scenario);
        let goodput = Spread::of(&runs, |run| run.goodput(1.0, 9.0));
        let confirmed = Spread::of(&runs, |run| run.confirmed(1.0, 9.0));
        let refused_late = Spread::of(&runs, |run| run.refused_late(1.0, 9.0));
        println!(
            "  {name:5} goodput {goodput}  confirmed {confirmed}  refused late {refused_late}"
        );
        figures.goodput[index] = goodput.median;
        figures.confirmed[index] = confirmed.median;
    }
    for (index, (name, scenario)) in [("surge", surge), ("stall", stall)].into_iter().enumerate() {
        let runs = execute(scenario);
        let recovery_s = Spread::of(&runs, |run| run.recovery_s(7.0, 14.0));
        let wasted = Spread::of(&runs, |run| run.wasted(3.0, 8.0));
        println!("  {name:5} recovery {recovery_s} s  wasted {wasted}");
        figures.recovery_s[index] = recovery_s.median;
    }
    figures
}

fn check_goals(name: &str, scenario: Scenario) {
    let figures = measure(name, scenario);
    assert!(figures.goodput[0] >= 0.95 && figures.goodput[1] >= 0.90);
    assert!(figures.confirmed.iter().all(|confirmed| *confirmed >= 0.999));
    assert!(figures.recovery_s.iter().all(|recovery_s| *recovery_s < 2.0));
}

#[test]
fn the_gradient_policy_meets_the_goals() {
    for slots in SIZES {
        check_goals("gradient", Scenario { slots: (*slots, *slots), ..BASE });
    }
}

#[test]
fn the_delay_policy_meets_the_goals() {
    for slots in SIZES {
        check_goals("delay", Scenario { limit: DELAY, slots: (*slots, *slots), ..BASE });
    }
}

#[test]
fn without_a_limit_goodput_collapses() {
    for slots in SIZES {
        let slots = (*slots, *slots);
        let figures = measure("none", Scenario { limit: NONE, refuse_early: false, slots, ..BASE });
        assert!(figures.goodput.iter().all(|goodput| *goodput < 0.2));
        measure("static", Scenario { limit: STATIC, refuse_early: false, slots, ..BASE });
    }
}

/// Random variation has more effect with few slots, so the recovery times are not checked here.
#[test]
fn four_slots_meet_the_goals_for_goodput() {
    for (name, limit) in [("gradient", BASE.limit), ("delay", DELAY)] {
        let figures = measure(name, Scenario { limit, slots: (4, 4), ..BASE });
        assert!(figures.confirmed.iter().all(|confirmed| *confirmed >= 0.999));
        assert!(figures.goodput[0] >= 0.95 && figures.goodput[1] >= 0.90);
    }
}

#[test]
fn the_limit_adapts_to_a_target_that_announces_four_times_its_slots() {
    for (name, limit) in [("static", STATIC), ("gradient", BASE.limit), ("delay", DELAY)] {
        let length_us = 20 * SECOND_US;
        let scenario =
            Scenario { limit, slots: (100, 25), load: |_| (1.7, 0.3), length_us, ..BASE };
        let run = Simulation::execute(scenario, 1);
        let goodput = run.goodput(2.0, 19.0);
        let median_ms = run.median_ms(10.0, 19.0);
        let final_limit = run.limits[19];
        println!(
            "{name}: 100 slots announced, 25 actual: goodput {goodput:.3}, p50 {median_ms} ms, limit {final_limit}"
        );
        assert!(goodput >= 0.95 && run.confirmed(2.0, 19.0) >= 0.999);
        assert!(limit == STATIC || final_limit <= 75, "{:?}", run.limits);
    }
}

#[test]
fn a_permanently_slower_service_regains_its_limit() {
    for (name, limit) in [("gradient", BASE.limit), ("delay", DELAY)] {
        for (load, expected) in [(0.1, 0.2), (1.95, 0.25)] {
            let load: fn(f64) -> (f64, f64) =
                if load < 1.0 { |_| (0.1, 0.1) } else { |_| (1.95, 0.05) };
            let slowdown = |t| if t < 4.0 { 1.0 } else { 4.0 };
            let length_us = 20 * SECOND_US;
            let run = Simulation::execute(Scenario { limit, slowdown, load, length_us, ..BASE }, 1);
            let goodput = run.goodput(8.0, 19.0);
            println!("{name}: four times slower: {goodput:.3} of {expected}, {:?}", run.limits);
            assert!(run.limits[10..].iter().all(|limit| *limit >= 23));
            assert!(goodput >= 0.9 * expected);
        }
    }
}

#[test]
fn a_temporarily_slow_target_regains_its_limit() {
    for (name, limit) in [("static", STATIC), ("gradient", BASE.limit), ("delay", DELAY)] {
        let slowdown = |t| if (4.0..8.0).contains(&t) { 10.0 } else { 1.0 };
        let length_us = 15 * SECOND_US;
        let scenario = Scenario { limit, slowdown, load: |_| (0.5, 0.3), length_us, ..BASE };
        let run = Simulation::execute(scenario, 1);
        let recovery_s = run.recovery_s(8.0, 14.0);
        println!(
            "{name}: ten times slower for 4 s: back after {recovery_s:.1} s, {:?}",
            run.limits
        );
        assert!(recovery_s < 2.0 && run.limits[10..].iter().all(|limit| *limit >= 23));
    }
}

//! Property tests of admission control over random histories.
//!
//! Checks among others the order of decisions: when a call is evicted, no queued call of its arm
//! has a lower level; when a call is started, no queued call of its arm has a higher one; when a
//! call is shed, it is below the floor that is reported to senders.

use std::collections::{BTreeMap, BTreeSet};

use aspenspring::admission::{Admission, CancelResult, Candidate, Decision, End, TargetState};
use aspenspring::call::{ArmId, AttemptId, ClassRank, Level, NodeId, RefusalReason};
use aspenspring::config::Rules;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RANKS: [u8; 3] = [1, 2, 5];

#[derive(Clone, Debug)]
enum Step {
    Advance { us: u64 },
    Offer { arm: u8, class: usize, hash: u8, timeout_us: u64, times: u8 },
    Finish { index: usize, end_kind: u8 },
    Cancel { index: usize },
    Poll,
    Resize { slots: u32 },
    State { state: u8 },
    Downstream { class: usize, floor: u16 },
    Rules,
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (0..3u8, 0..3usize, any::<u8>(), 0..400_000u64, 1..12u8);
    prop_oneof![
        6 => (0..60_000u64).prop_map(|us| Step::Advance { us }),
        8 => offer.prop_map(|(arm, class, hash, timeout_us, times)| Step::Offer {
            arm, class, hash, timeout_us, times
        }),
        8 => (any::<usize>(), 0..4u8).prop_map(|(index, end_kind)| Step::Finish { index, end_kind }),
        2 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        3 => Just(Step::Poll),
        1 => (0..12u32).prop_map(|slots| Step::Resize { slots }),
        1 => (0..8u8).prop_map(|state| Step::State { state }),
        1 => (0..3usize, any::<u16>()).prop_map(|(class, floor)| Step::Downstream { class, floor }),
        1 => Just(Step::Rules),
    ]
}

fn rules(arms: usize) -> Rules {
    let arm = [
        r#"{"id": 0, "name": "a", "share": 0.5, "policy": "gradient"}"#,
        r#"{"id": 1, "name": "b", "share": 0.25, "policy": "static"}"#,
        r#"{"id": 2, "name": "c", "share": 0.25, "policy": "delay"}"#,
    ];
    let text = format!(
        r#"{{"classes": [{{"name": "k", "rank": 5, "deadline_ms": 1, "deadline_max_ms": 1,
            "reserved_share": 0.4}}], "routes": [],
        "services": [{{"name": "s", "slots": 8, "connections": 40, "warm_up_ms": 300}}],
        "arms": [{}],
        "policies": [
          {{"name": "gradient", "limit": {{"kind": "gradient", "tolerance": 1.5, "smoothing": 0.5}},
            "queue_delay_ms": 5, "retry": {{"kind": "none"}}, "choice": "least_loaded"}},
          {{"name": "static", "limit": {{"kind": "static"}}, "queue_share": 0.5,
            "order_by_level": false, "retry": {{"kind": "none"}}, "choice": "least_loaded"}},
          {{"name": "delay", "limit": {{"kind": "delay", "tolerance": 1.5, "backoff": 0.5}},
            "retry": {{"kind": "none"}}, "choice": "least_loaded"}}]}}"#,
        arm[..arms].join(",")
    );
    serde_json::from_str(&text).expect("the rules are well formed")
}

/// Admission control under test, with the state that is expected of it.
struct Model {
    admission: Admission,
    arms: usize,
    now_us: u64,
    slots: u32,
    offered: u64,
    /// All calls that were offered.
    calls: BTreeMap<AttemptId, Candidate>,
    /// Running calls and when they started.
    running: BTreeMap<AttemptId, u64>,
    queued: BTreeSet<AttemptId>,
    /// The arm that decides on each call; it changes only when that arm is removed.
    arm_of: BTreeMap<AttemptId, ArmId>,
}

impl Model {
    fn new() -> Self {
        let mut admission = Admission::new(0, &rules(3), "s");
        admission.set_target(0, TargetState::Serving, 8, 40);
        let (running, queued) = (BTreeMap::new(), BTreeSet::new());
        let (calls, arm_of) = (BTreeMap::new(), BTreeMap::new());
        Self { admission, arms: 3, now_us: 0, slots: 8, offered: 0, calls, running, queued, arm_of }
    }

    fn apply(&mut self, step: &Step) {
        let mut out = Vec::new();
        let now_us = self.now_us;
        match *step {
            Step::Advance { us } => self.now_us += us,
            Step::Offer { arm, class, hash, timeout_us, times } => {
                for number in 0..times {
                    let level = Level(u16::from(RANKS[class]) << 8 | u16::from(hash ^ number));
                    self.offer(ArmId(arm), level, timeout_us);
                }
            }
            Step::Finish { index, end_kind } => {
                let Some(attempt) = self.running.keys().nth(index % self.running.len().max(1))
                else {
                    return;
                };
                let attempt = *attempt;
                let latency_us = now_us - self.running[&attempt];
                let end = match end_kind {
                    0 => End::Failed { latency_us },
                    1 => End::Cancelled,
                    end_kind => End::Answered { latency_us, healthy: end_kind == 2 },
                };
                self.running.remove(&attempt);
                self.admission.finish(now_us, attempt, end, &mut out);
            }
            Step::Cancel { index } => self.cancel(index),
            Step::Poll => self.admission.poll(now_us, &mut out),
            Step::Resize { slots } => {
                self.slots = slots;
                self.admission.set_target(now_us, TargetState::Serving, slots, slots * 5);
                self.admission.poll(now_us, &mut out);
            }
            Step::State { state } => {
                let state = match state {
                    0 => TargetState::Down,
                    1 => TargetState::Draining,
                    2 | 3 => TargetState::Warming { since_us: now_us },
                    _ => TargetState::Serving,
                };
                self.admission.set_target(now_us, state, self.slots, self.slots * 5);
                self.admission.poll(now_us, &mut out);
            }
            Step::Downstream { class, floor } => {
                let class = ClassRank(RANKS[class]);
                self.admission.note_downstream(now_us, ArmId(0), class, "t", Level(floor));
            }
            Step::Rules => {
                self.arms = 4 - self.arms;
                for arm in self.arm_of.values_mut() {
                    if usize::from(arm.0) >= self.arms {
                        *arm = ArmId(0);
                    }
                }
                self.admission.apply_rules(now_us, &rules(self.arms), "s");
                self.admission.poll(now_us, &mut out);
            }
        }
        self.check_decisions(&out, None);
        self.check_counts();
    }

    fn offer(&mut self, arm: ArmId, level: Level, timeout_us: u64) {
        let attempt = AttemptId { origin: NodeId(9), sequence: self.offered, nonce: 1 };
        self.offered += 1;
        let deadline_us = self.now_us + timeout_us;
        let call = Candidate { attempt, arm, level, deadline_us };
        let mut out = Vec::new();
        self.admission.offer(self.now_us, call, &mut out);
        self.calls.insert(attempt, call);
        let is_known = usize::from(arm.0) < self.arms;
        self.arm_of.insert(attempt, if is_known { arm } else { ArmId(0) });
        self.queued.insert(attempt);
        self.check_decisions(&out, Some(&call));
    }

    fn cancel(&mut self, index: usize) {
        let mut out = Vec::new();
        let Some(attempt) = self.calls.keys().nth(index % self.calls.len().max(1)).copied() else {
            return;
        };
        let result = self.admission.cancel(self.now_us, attempt, &mut out);
        let expected = match (self.queued.contains(&attempt), self.running.contains_key(&attempt)) {
            (true, _) => CancelResult::WasQueued,
            (_, true) => CancelResult::IsRunning,
            _ => CancelResult::Unknown,
        };
        assert_eq!(result, expected);
        self.check_decisions(&out, None);
        assert!(!self.queued.contains(&attempt));
    }

    /// Checks that each decision is the only one on its attempt and follows the priority order.
    fn check_decisions(&mut self, out: &[Decision], offered: Option<&Candidate>) {
        for decision in out {
            let attempt = decision.attempt();
            assert!(self.queued.remove(&attempt), "a second decision on {attempt}");
            let call = self.calls[&attempt];
            match decision {
                Decision::Run { .. } => {
                    assert!(self.now_us < call.deadline_us, "an expired call runs");
                    self.running.insert(attempt, self.now_us);
                }
                Decision::Refuse { refusal, .. } => {
                    let is_final =
                        matches!(refusal.reason, RefusalReason::Cancelled | RefusalReason::Leaving);
                    assert_eq!(refusal.retry_after_ms == 0, is_final, "{refusal:?}");
                    if refusal.reason == RefusalReason::Shed {
                        let load = self.admission.load(self.now_us, call.arm, call.level.class());
                        assert!(call.level < load.floor, "shed at or above the floor");
                    }
                }
            }
        }
        for decision in out {
            let call = self.calls[&decision.attempt()];
            let arm = self.arm_of[&call.attempt];
            if arm == ArmId(1) {
                // This arm's queue is FIFO.
                continue;
            }
            for attempt in &self.queued {
                let queued = self.calls[attempt];
                if self.arm_of[&queued.attempt] != arm {
                    continue;
                }
                match decision {
                    Decision::Run { .. } => assert!(queued.level <= call.level),
                    Decision::Refuse { refusal, .. } => assert!(
                        refusal.reason != RefusalReason::QueueFull || queued.level >= call.level
                    ),
                }
            }
        }
        let Some(call) = offered else {
            return;
        };
        let load = self.admission.load(self.now_us, call.arm, call.level.class());
        let ran = out.iter().any(|decision| matches!(decision, Decision::Run { .. }));
        assert!(!ran || load.running <= load.limit, "started above the limit: {load:?}");
    }

    fn check_counts(&self) {
        let (mut running, mut queued) = (0, 0);
        for arm in 0..self.arms {
            let load = self.admission.load(self.now_us, ArmId(arm as u8), ClassRank(1));
            running += load.running as usize;
            queued += load.queued as usize;
            // For a target that announces no slots, the settings apply.
            let slots = if self.slots == 0 { 8 } else { self.slots };
            assert!(load.limit >= 1 && load.limit <= slots, "{load:?}");
        }
        assert_eq!((running, queued), (self.running.len(), self.queued.len()));
    }

    /// Finishes all calls and polls at each wake-up time until the state machine is idle.
    fn finish_all(&mut self) {
        let mut wakes = 0;
        loop {
            let attempts: Vec<AttemptId> = self.running.keys().copied().collect();
            for attempt in attempts {
                let mut out = Vec::new();
                self.running.remove(&attempt);
                self.admission.finish(self.now_us, attempt, End::Cancelled, &mut out);
                self.check_decisions(&out, None);
            }
            if !self.running.is_empty() {
                // Queued calls have taken the freed slots.
                continue;
            }
            let Some(wake_us) = self.admission.next_wake_us() else {
                break;
            };
            wakes += 1;
            assert!(wakes < 1_000, "the state machine does not become idle");
            self.now_us = self.now_us.max(wake_us);
            let mut out = Vec::new();
            self.admission.poll(self.now_us, &mut out);
            self.check_decisions(&out, None);
            let next_us = self.admission.next_wake_us();
            assert!(next_us.is_none_or(|next_us| next_us > self.now_us), "no progress");
        }
        assert!(self.running.is_empty() && self.queued.is_empty());
        assert!(
            self.admission.load(self.now_us + 1_000_000, ArmId(0), ClassRank(5)).floor
                == Level::LOWEST
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_history_keeps_the_invariants(steps in prop::collection::vec(step(), 1..150)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
        model.finish_all();
    }
}

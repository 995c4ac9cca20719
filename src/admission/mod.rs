//! The receiving side's admission: which calls the target beside this node runs, and when.
//!
//! A pure state machine: events and the time go in, decisions come out. It does no I/O and reads no
//! clock. There is one for each node; every policy arm has its own part of the slots, its own queue
//! and its own floor, so that arms do not disturb each other.

mod arm;
mod downstream;
mod event;
mod floor;
mod histogram;
mod limiter;
mod pace;
mod queue;
mod reserve;
mod retry_after;
mod share;

use self::arm::{Arm, Part, WINDOW_US};
use self::downstream::Downstream;
pub use self::event::{Cancelled, Candidate, Decision, End, TargetState};
use crate::call::{ArmId, AttemptId, ClassRank, Level, LoadReport, Refusal, RefusalReason};
use crate::clock::US_PER_MS;
use crate::config::{PolicySettings, Rules, ServiceSettings};

/// When callers of a node without a usable target should come back, in milliseconds.
const NOT_READY_RETRY_MS: u32 = 500;
/// The part of the limit that a target is given when it has just come up.
const COLD_SHARE: f64 = 0.1;

/// The target beside the node.
#[derive(Clone, Copy, Debug)]
struct Target {
    /// What it can do.
    state: TargetState,
    /// Calls it says it can run at once; 0 while it says nothing.
    slots: u32,
    /// Connections it says it accepts; 0 while it says nothing.
    connections: u32,
    /// Calls it can run at once according to the settings.
    usual_slots: u32,
    /// Connections it accepts according to the settings.
    usual_connections: u32,
    /// How long it warms up, in microseconds.
    warm_up_us: u64,
}

impl Target {
    /// Takes what the settings say.
    fn assume(&mut self, settings: &ServiceSettings) {
        self.usual_slots = settings.slots;
        self.usual_connections = settings.connections;
        self.warm_up_us = settings.warm_up_ms * US_PER_MS;
    }

    /// The slots to go by.
    fn slots(&self) -> u32 {
        if self.slots > 0 { self.slots } else { self.usual_slots }
    }

    /// The connections to go by.
    fn connections(&self) -> u32 {
        if self.connections > 0 { self.connections } else { self.usual_connections }
    }

    /// The part of the limit that may be used, from 0 to 1.
    fn warmth(&self, now_us: u64) -> f64 {
        let TargetState::Warming { since_us } = self.state else {
            return 1.0;
        };
        let age_us = now_us.saturating_sub(since_us);
        if age_us >= self.warm_up_us {
            return 1.0;
        }
        COLD_SHARE + (1.0 - COLD_SHARE) * age_us as f64 / self.warm_up_us as f64
    }

    /// Why nothing runs at present, if so.
    fn refusal(&self) -> Option<Refusal> {
        match self.state {
            TargetState::Warming { .. } | TargetState::Serving => None,
            TargetState::Draining => {
                Some(Refusal { reason: RefusalReason::Leaving, retry_after_ms: 0 })
            }
            TargetState::Down => Some(Refusal {
                reason: RefusalReason::NotReady,
                retry_after_ms: NOT_READY_RETRY_MS,
            }),
        }
    }
}

/// The admission beside one target.
#[derive(Debug)]
pub struct Admission {
    /// The target beside the node.
    target: Target,
    /// The arms, by their numbers.
    arms: Vec<Arm>,
    /// When the slots were last divided, in microseconds.
    divided_us: u64,
    /// What is known about services further down.
    downstream: Downstream,
    /// When `poll` has work that was left by an event without output, in microseconds.
    due_us: Option<u64>,
}

impl Admission {
    /// An admission without a target: it refuses everything until `set_target` is called.
    pub fn new(now_us: u64, rules: &Rules, service: &str) -> Self {
        let target = Target {
            state: TargetState::Down,
            slots: 0,
            connections: 0,
            usual_slots: 0,
            usual_connections: 0,
            warm_up_us: 0,
        };
        let mut admission = Self {
            target,
            arms: Vec::new(),
            divided_us: now_us,
            downstream: Downstream::default(),
            due_us: None,
        };
        admission.apply_rules(now_us, rules, service);
        admission
    }

    /// Takes new rules. Running and waiting calls stay; those of an arm that is gone go over to the
    /// arm with the lowest number. Call `poll` afterwards.
    pub fn apply_rules(&mut self, now_us: u64, rules: &Rules, service: &str) {
        for settings in &rules.services {
            if settings.name == service {
                self.target.assume(settings);
            }
        }
        let mut gone = std::mem::take(&mut self.arms);
        for settings in &rules.arms {
            let Some(policy) = find_policy(rules, &settings.policy) else {
                continue;
            };
            let id = ArmId(settings.id);
            let known = gone.iter().position(|arm| arm.id == id);
            let mut arm = match known {
                Some(index) => {
                    let mut arm = gone.swap_remove(index);
                    arm.set_policy(settings.share, policy.clone());
                    arm
                }
                None => Arm::new(now_us, id, settings.share, policy.clone()),
            };
            arm.set_classes(&rules.classes);
            self.arms.push(arm);
        }
        self.arms.sort_by_key(|arm| arm.id);
        self.hand_over(gone);
        self.divide_slots(now_us);
        self.due_us = Some(now_us);
    }

    /// Takes the state and the size of the target as announced. Call `poll` afterwards.
    pub fn set_target(&mut self, now_us: u64, state: TargetState, slots: u32, connections: u32) {
        if self.target.state == TargetState::Down && state != TargetState::Down {
            for arm in &mut self.arms {
                arm.restart();
            }
        }
        self.target.state = state;
        self.target.slots = slots;
        self.target.connections = connections;
        self.divide_slots(now_us);
        self.due_us = Some(now_us);
    }

    /// Decides on a call, at once or later: each attempt gets exactly one decision. An attempt that
    /// is waiting or running already is passed over.
    pub fn offer(&mut self, now_us: u64, call: Candidate, out: &mut Vec<Decision>) {
        if self.is_known(call.attempt) {
            return;
        }
        if let Some(refusal) = self.target.refusal() {
            out.push(Decision::Refuse { attempt: call.attempt, refusal });
            return;
        }
        self.warm_up(now_us);
        let below = self.downstream.floor(now_us, call.arm, call.level.class());
        let Some(arm) = arm_for(&mut self.arms, call.arm) else {
            let refusal =
                Refusal { reason: RefusalReason::NotReady, retry_after_ms: NOT_READY_RETRY_MS };
            out.push(Decision::Refuse { attempt: call.attempt, refusal });
            return;
        };
        if arm.refuses_early() && call.level < below {
            out.push(arm.refuse(&call, RefusalReason::Shed));
            return;
        }
        arm.offer(now_us, call, out);
    }

    /// Frees the slot of a call that ended, and starts waiting calls.
    pub fn finish(&mut self, now_us: u64, attempt: AttemptId, end: End, out: &mut Vec<Decision>) {
        for arm in &mut self.arms {
            if arm.release(now_us, attempt, end) {
                break;
            }
        }
        self.poll(now_us, out);
    }

    /// Gives up an attempt. A waiting one is refused; a running one keeps its slot.
    pub fn cancel(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        out: &mut Vec<Decision>,
    ) -> Cancelled {
        if self.arms.iter().any(|arm| arm.is_running(attempt)) {
            return Cancelled::IsRunning;
        }
        for arm in &mut self.arms {
            let Some(waiting) = arm.withdraw(attempt) else {
                continue;
            };
            out.push(arm.refuse(&waiting.call, RefusalReason::Cancelled));
            self.poll(now_us, out);
            return Cancelled::WasQueued;
        }
        Cancelled::Unknown
    }

    /// Does what is due: refuses expired calls and starts what can run.
    pub fn poll(&mut self, now_us: u64, out: &mut Vec<Decision>) {
        self.due_us = None;
        if let Some(refusal) = self.target.refusal() {
            for arm in &mut self.arms {
                arm.refuse_all(refusal.reason, out);
            }
        }
        self.warm_up(now_us);
        for arm in &mut self.arms {
            arm.settle(now_us, out);
        }
    }

    /// When `poll` should be called next, in microseconds; none while everything is idle.
    pub fn next_wake_us(&self) -> Option<u64> {
        let arms = self.arms.iter().filter_map(Arm::next_wake_us).min();
        match (self.due_us, arms) {
            (Some(due_us), Some(arm_us)) => Some(due_us.min(arm_us)),
            (due_us, arm_us) => due_us.or(arm_us),
        }
    }

    /// Takes in the floor of a service that calls of this class from here need. It fades when it is
    /// not repeated within a second.
    pub fn note_downstream(
        &mut self,
        now_us: u64,
        arm: ArmId,
        class: ClassRank,
        service: &str,
        floor: Level,
    ) {
        self.downstream.note(now_us, arm, class, service, floor);
    }

    /// What this node tells about itself to senders of calls of this arm and class.
    pub fn load(&self, now_us: u64, arm: ArmId, class: ClassRank) -> LoadReport {
        let leaving = self.target.state == TargetState::Draining;
        let known = self.arms.iter().find(|known| known.id == arm).or(self.arms.first());
        let Some(known) = known else {
            return LoadReport { leaving, ..LoadReport::default() };
        };
        let floor = match known.refuses_early() {
            true => known.floor().max(self.downstream.floor(now_us, arm, class)),
            false => Level::LOWEST,
        };
        LoadReport {
            running: known.running(),
            queued: known.queued(),
            limit: known.reported_limit(),
            latency_us: known.latency_us(),
            floor,
            leaving,
        }
    }

    /// Whether the attempt waits or runs.
    fn is_known(&self, attempt: AttemptId) -> bool {
        self.arms.iter().any(|arm| arm.is_running(attempt) || arm.is_queued(attempt))
    }

    /// Gives the calls of arms that are gone to the arm with the lowest number.
    fn hand_over(&mut self, gone: Vec<Arm>) {
        let Some(heir) = self.arms.first_mut() else {
            // Without any arm nothing can be decided; what waits and runs keeps its old arm.
            self.arms = gone;
            return;
        };
        for arm in gone {
            heir.adopt(arm);
        }
    }

    /// Gives a target that warms up its growing share, once in a window.
    fn warm_up(&mut self, now_us: u64) {
        let TargetState::Warming { since_us } = self.target.state else {
            return;
        };
        let warm_us = since_us.saturating_add(self.target.warm_up_us);
        let is_due = now_us.saturating_sub(self.divided_us) >= WINDOW_US;
        if is_due && self.divided_us < warm_us {
            self.divide_slots(now_us);
        }
    }

    /// Divides what the target offers between the arms.
    fn divide_slots(&mut self, now_us: u64) {
        self.divided_us = now_us;
        let shares: Vec<f64> = self.arms.iter().map(|arm| arm.share).collect();
        let slots = share::divide(self.target.slots(), &shares);
        let connections = share::divide(self.target.connections(), &shares);
        let warmth = self.target.warmth(now_us);
        for (index, arm) in self.arms.iter_mut().enumerate() {
            let part = Part { slots: slots[index], connections: connections[index], warmth };
            arm.set_part(part);
        }
    }
}

/// The arm of a call. A call of an arm that is not known here, as happens while new rules spread, is
/// decided by the arm with the lowest number.
fn arm_for(arms: &mut [Arm], id: ArmId) -> Option<&mut Arm> {
    let index = arms.iter().position(|arm| arm.id == id).unwrap_or(0);
    arms.get_mut(index)
}

/// The policy of that name.
fn find_policy<'a>(rules: &'a Rules, name: &str) -> Option<&'a PolicySettings> {
    rules.policies.iter().find(|policy| policy.name == name)
}

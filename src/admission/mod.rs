//! Admission control on the receiving node: which calls its target runs, and when.
//!
//! A pure state machine: events and the time go in, decisions come out. It does no I/O and reads no
//! clock. Each node has one. Every policy arm has its own share of the slots, its own queue and its
//! own shedding floor, so that arms do not affect each other.

mod arm;
mod downstream;
mod event;
mod floor;
mod histogram;
mod latency_stats;
mod limiter;
mod queue;
mod reserve;
mod retry_after;
mod share;

use self::arm::{Allotment, Arm, WINDOW_US};
use self::downstream::Downstream;
pub use self::event::{CancelResult, Candidate, Decision, End, TargetState};
use crate::call::{ArmId, AttemptId, ClassRank, Level, LoadReport, Refusal, RefusalReason};
use crate::clock::US_PER_MS;
use crate::config::{PolicySettings, Rules, ServiceSettings};

/// The Retry-After of refusals while the node has no usable target, in milliseconds.
const NOT_READY_RETRY_MS: u32 = 500;
/// The fraction of its limit that a target may use when it has just started.
const WARM_UP_START_SHARE: f64 = 0.1;

/// The node's own target.
#[derive(Clone, Copy, Debug)]
struct Target {
    state: TargetState,
    /// Announced number of calls it can run at the same time; 0 if not announced.
    slots: u32,
    /// Announced number of connections it accepts; 0 if not announced.
    connections: u32,
    /// Number of calls it can run at the same time according to the settings.
    configured_slots: u32,
    /// Number of connections it accepts according to the settings.
    configured_connections: u32,
    /// How long it warms up, in microseconds.
    warm_up_us: u64,
}

impl Target {
    /// Applies the settings of the service.
    fn apply_settings(&mut self, settings: &ServiceSettings) {
        self.configured_slots = settings.slots;
        self.configured_connections = settings.connections;
        self.warm_up_us = settings.warm_up_ms * US_PER_MS;
    }

    /// The announced slots, or else those of the settings.
    fn slots(&self) -> u32 {
        if self.slots > 0 { self.slots } else { self.configured_slots }
    }

    /// The announced connections, or else those of the settings.
    fn connections(&self) -> u32 {
        if self.connections > 0 { self.connections } else { self.configured_connections }
    }

    /// The fraction of the limit that may be used, from 0 to 1.
    fn warm_up_fraction(&self, now_us: u64) -> f64 {
        let TargetState::Warming { since_us } = self.state else {
            return 1.0;
        };
        let age_us = now_us.saturating_sub(since_us);
        if age_us >= self.warm_up_us {
            return 1.0;
        }
        WARM_UP_START_SHARE + (1.0 - WARM_UP_START_SHARE) * age_us as f64 / self.warm_up_us as f64
    }

    /// The refusal for all calls while the target accepts none.
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

/// Admission control for one target.
#[derive(Debug)]
pub struct Admission {
    /// The node's own target.
    target: Target,
    /// The arms, in ascending order of their IDs.
    arms: Vec<Arm>,
    /// When the capacity was last divided between the arms, in microseconds.
    capacity_divided_us: u64,
    /// Floors reported by downstream services.
    downstream: Downstream,
    /// When `poll` is due after an event that cannot return decisions itself, in microseconds.
    due_us: Option<u64>,
}

impl Admission {
    /// Creates admission control without a target: it refuses everything until `set_target` is
    /// called.
    pub fn new(now_us: u64, rules: &Rules, service: &str) -> Self {
        let target = Target {
            state: TargetState::Down,
            slots: 0,
            connections: 0,
            configured_slots: 0,
            configured_connections: 0,
            warm_up_us: 0,
        };
        let mut admission = Self {
            target,
            arms: Vec::new(),
            capacity_divided_us: now_us,
            downstream: Downstream::default(),
            due_us: None,
        };
        admission.apply_rules(now_us, rules, service);
        admission
    }

    /// Applies new rules. Running and queued calls stay; those of a removed arm move to the arm
    /// with the lowest ID. Call `poll` afterwards.
    pub fn apply_rules(&mut self, now_us: u64, rules: &Rules, service: &str) {
        for settings in &rules.services {
            if settings.name == service {
                self.target.apply_settings(settings);
            }
        }
        let mut removed = std::mem::take(&mut self.arms);
        for settings in &rules.arms {
            let Some(policy) = find_policy(rules, &settings.policy) else {
                continue;
            };
            let id = ArmId(settings.id);
            let known = removed.iter().position(|arm| arm.id == id);
            let mut arm = match known {
                Some(index) => {
                    let mut arm = removed.swap_remove(index);
                    arm.set_policy(settings.share, policy.clone());
                    arm
                }
                None => Arm::new(now_us, id, settings.share, policy.clone()),
            };
            arm.set_classes(&rules.classes);
            self.arms.push(arm);
        }
        self.arms.sort_by_key(|arm| arm.id);
        self.absorb_removed(removed);
        self.divide_capacity(now_us);
        self.due_us = Some(now_us);
    }

    /// Sets the state and the announced capacity of the target. Call `poll` afterwards.
    pub fn set_target(&mut self, now_us: u64, state: TargetState, slots: u32, connections: u32) {
        if self.target.state == TargetState::Down && state != TargetState::Down {
            for arm in &mut self.arms {
                arm.restart();
            }
        }
        self.target.state = state;
        self.target.slots = slots;
        self.target.connections = connections;
        self.divide_capacity(now_us);
        self.due_us = Some(now_us);
    }

    /// Decides on a call, now or later: each attempt gets exactly one decision. An attempt that is
    /// already queued or running is ignored.
    pub fn offer(&mut self, now_us: u64, call: Candidate, out: &mut Vec<Decision>) {
        if self.is_known(call.attempt) {
            return;
        }
        if let Some(refusal) = self.target.refusal() {
            out.push(Decision::Refuse { attempt: call.attempt, refusal });
            return;
        }
        self.update_warm_up(now_us);
        let downstream_floor = self.downstream.floor(now_us, call.arm, call.level.class());
        let Some(arm) = arm_for(&mut self.arms, call.arm) else {
            let refusal =
                Refusal { reason: RefusalReason::NotReady, retry_after_ms: NOT_READY_RETRY_MS };
            out.push(Decision::Refuse { attempt: call.attempt, refusal });
            return;
        };
        if arm.refuses_early() && call.level < downstream_floor {
            out.push(arm.refuse(&call, RefusalReason::Shed));
            return;
        }
        arm.offer(now_us, call, out);
    }

    /// Frees the slot of a call that ended, and starts queued calls.
    pub fn finish(&mut self, now_us: u64, attempt: AttemptId, end: End, out: &mut Vec<Decision>) {
        for arm in &mut self.arms {
            if arm.release(now_us, attempt, end) {
                break;
            }
        }
        self.poll(now_us, out);
    }

    /// Cancels an attempt. A queued one is refused; a running one keeps its slot.
    pub fn cancel(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        out: &mut Vec<Decision>,
    ) -> CancelResult {
        if self.arms.iter().any(|arm| arm.is_running(attempt)) {
            return CancelResult::IsRunning;
        }
        for arm in &mut self.arms {
            let Some(queued) = arm.remove_queued(attempt) else {
                continue;
            };
            out.push(arm.refuse(&queued.call, RefusalReason::Cancelled));
            self.poll(now_us, out);
            return CancelResult::WasQueued;
        }
        CancelResult::Unknown
    }

    /// Does the work that is due: refuses expired calls and starts those that can run.
    pub fn poll(&mut self, now_us: u64, out: &mut Vec<Decision>) {
        self.due_us = None;
        if let Some(refusal) = self.target.refusal() {
            for arm in &mut self.arms {
                arm.refuse_all(refusal.reason, out);
            }
        }
        self.update_warm_up(now_us);
        for arm in &mut self.arms {
            arm.process_queue(now_us, out);
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

    /// Records the floor of a downstream service that calls of this arm and class use. It decays if
    /// it is not reported again, and expires after a second.
    pub fn note_downstream(
        &mut self,
        now_us: u64,
        arm: ArmId,
        class: ClassRank,
        service: &str,
        floor: Level,
    ) {
        self.downstream.record(now_us, arm, class, service, floor);
    }

    /// The load reported to senders of calls of this arm and class.
    pub fn load(&self, now_us: u64, arm: ArmId, class: ClassRank) -> LoadReport {
        let leaving = self.target.state == TargetState::Draining;
        let known = self.arms.iter().find(|candidate| candidate.id == arm).or(self.arms.first());
        let Some(arm_state) = known else {
            return LoadReport { leaving, ..LoadReport::default() };
        };
        let floor = match arm_state.refuses_early() {
            true => arm_state.floor().max(self.downstream.floor(now_us, arm, class)),
            false => Level::LOWEST,
        };
        LoadReport {
            running: arm_state.running(),
            queued: arm_state.queued(),
            limit: arm_state.reported_limit(),
            latency_us: arm_state.latency_us(),
            floor,
            leaving,
        }
    }

    /// Whether the attempt is queued or running.
    fn is_known(&self, attempt: AttemptId) -> bool {
        self.arms.iter().any(|arm| arm.is_running(attempt) || arm.is_queued(attempt))
    }

    /// Moves the calls of removed arms to the arm with the lowest ID.
    fn absorb_removed(&mut self, removed: Vec<Arm>) {
        let Some(successor) = self.arms.first_mut() else {
            // Without any arm nothing can be decided, so the calls stay in their old arms.
            self.arms = removed;
            return;
        };
        for arm in removed {
            successor.absorb(arm);
        }
    }

    /// Raises the limits while the target warms up, once per window.
    fn update_warm_up(&mut self, now_us: u64) {
        let TargetState::Warming { since_us } = self.target.state else {
            return;
        };
        let warm_until_us = since_us.saturating_add(self.target.warm_up_us);
        let is_due = now_us.saturating_sub(self.capacity_divided_us) >= WINDOW_US;
        if is_due && self.capacity_divided_us < warm_until_us {
            self.divide_capacity(now_us);
        }
    }

    /// Divides the target's capacity between the arms.
    fn divide_capacity(&mut self, now_us: u64) {
        self.capacity_divided_us = now_us;
        let shares: Vec<f64> = self.arms.iter().map(|arm| arm.share).collect();
        let slots = share::divide(self.target.slots(), &shares);
        let connections = share::divide(self.target.connections(), &shares);
        let warm_up_fraction = self.target.warm_up_fraction(now_us);
        for (index, arm) in self.arms.iter_mut().enumerate() {
            let allotment = Allotment {
                slots: slots[index],
                connections: connections[index],
                warm_up_fraction,
            };
            arm.set_allotment(allotment);
        }
    }
}

/// The arm that decides on a call of arm `id`. An arm that is not known here, as happens while new
/// rules spread, is replaced by the one with the lowest ID.
fn arm_for(arms: &mut [Arm], id: ArmId) -> Option<&mut Arm> {
    let index = arms.iter().position(|arm| arm.id == id).unwrap_or(0);
    arms.get_mut(index)
}

fn find_policy<'a>(rules: &'a Rules, name: &str) -> Option<&'a PolicySettings> {
    rules.policies.iter().find(|policy| policy.name == name)
}

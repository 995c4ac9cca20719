//! Admission for one policy arm: its part of the slots, its queue and its floor.

use std::collections::HashMap;

use super::event::{Candidate, Decision, End};
use super::floor::{Floor, Surroundings};
use super::limiter::Limiter;
use super::pace::Pace;
use super::queue::{Queue, Waiting};
use super::reserve::Reserve;
use super::retry_after;
use crate::call::{ArmId, AttemptId, ClassRank, Level, Refusal, RefusalReason};
use crate::clock::US_PER_MS;
use crate::config::{ClassSettings, LimitRule, PolicySettings};

/// The length of a window, in microseconds.
pub(super) const WINDOW_US: u64 = 100 * US_PER_MS;
/// The part of the limit that is used to find out whether a silent target answers again.
const PROBE_SHARE: f64 = 0.06;
/// The part of the usual capacity that a silent target is credited with.
const SILENT_CAPACITY: f64 = 0.1;
/// The most by which the load lengthens the time until a refused caller comes back.
const RETRY_LOAD_MAX: f64 = 10.0;

/// How many times the waiting time that counts as overload a full queue lasts.
const QUEUE_DELAYS: f64 = 2.0;
/// The slots at which chance alone makes calls wait for one holding time when the target is busy; with
/// fewer slots longer, so waiting counts as overload later.
const DELAY_HOLDS_SLOTS: f64 = 16.0;
/// The most holding times of waiting that are put down to chance.
const DELAY_HOLDS_MAX: f64 = 4.0;
/// The most by which chance may lengthen the policy's queueing delay.
const DELAY_STRETCH: u64 = 5;

/// What the target offers to one arm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Part {
    /// The arm's part of the announced slots.
    pub slots: u32,
    /// The arm's part of the announced connections.
    pub connections: u32,
    /// The part of the limit that may be used while the target warms up, from 0 to 1.
    pub warmth: f64,
}

/// A call that the target is running.
#[derive(Clone, Copy, Debug)]
struct Running {
    /// Its class.
    rank: ClassRank,
    /// When it was started, in microseconds.
    since_us: u64,
    /// Whether it was started to find out whether a silent target answers again.
    is_probe: bool,
}

/// One policy arm.
#[derive(Debug)]
pub(super) struct Arm {
    /// The number of the arm.
    pub id: ArmId,
    /// The share of the target's slots.
    pub share: f64,
    /// The policy that decides.
    policy: PolicySettings,
    /// What the target offers.
    part: Part,
    /// Calls the target is running now.
    running: HashMap<AttemptId, Running>,
    /// Calls that wait.
    queue: Queue,
    /// How long calls take.
    pace: Pace,
    /// The limit, where it adapts.
    limiter: Limiter,
    /// The level below which calls are refused.
    floor: Floor,
    /// Slots kept for higher classes.
    reserve: Reserve,
    /// When the present window began, in microseconds.
    window_since_us: u64,
    /// Whether all slots were taken at some time in the window.
    was_full: bool,
    /// Probes that are running.
    probes: u32,
}

impl Arm {
    /// An idle arm without slots.
    pub fn new(now_us: u64, id: ArmId, share: f64, policy: PolicySettings) -> Self {
        let queue = Queue::new(policy.order_by_level);
        Self {
            id,
            share,
            policy,
            part: Part::default(),
            running: HashMap::new(),
            queue,
            pace: Pace::default(),
            limiter: Limiter::new(),
            floor: Floor::default(),
            reserve: Reserve::default(),
            window_since_us: now_us,
            was_full: false,
            probes: 0,
        }
    }

    /// Takes another policy; what runs and waits stays.
    pub fn set_policy(&mut self, share: f64, policy: PolicySettings) {
        self.share = share;
        self.queue.set_order(policy.order_by_level);
        self.policy = policy;
    }

    /// Takes the settings of the classes.
    pub fn set_classes(&mut self, classes: &[ClassSettings]) {
        self.reserve.set_classes(classes);
    }

    /// Takes what the target offers now.
    pub fn set_part(&mut self, part: Part) {
        self.part = part;
    }

    /// Forgets what was measured, for a target that has come up anew.
    pub fn restart(&mut self) {
        self.pace = Pace::default();
        self.limiter.restart();
    }

    /// How many calls may run at once.
    pub fn limit(&self) -> u32 {
        let announced = self.part.slots.min(self.part.connections);
        let full = match self.policy.limit {
            LimitRule::None => return u32::MAX,
            LimitRule::Static { running: Some(running) } => {
                let part = (f64::from(running) * self.share).round() as u32;
                part.min(self.part.connections)
            }
            LimitRule::Static { running: None } => announced,
            LimitRule::Gradient { .. } | LimitRule::Delay { .. } => self.limiter.limit(announced),
        };
        let warm = (f64::from(full) * self.part.warmth).ceil() as u32;
        warm.clamp(1, full.max(1))
    }

    /// The limit as it is reported: a number a router can compare with what runs.
    pub fn reported_limit(&self) -> u32 {
        match self.limit() {
            u32::MAX => self.part.slots,
            limit => limit,
        }
    }

    /// Calls the target is running now.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Calls that wait.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Smoothed latency of answered calls, in microseconds.
    pub fn latency_us(&self) -> u32 {
        self.pace.latency_us() as u32
    }

    /// Calls below this level are refused.
    pub fn floor(&self) -> Level {
        self.floor.level()
    }

    /// Whether floors count in this arm.
    pub fn refuses_early(&self) -> bool {
        self.policy.refuse_early
    }

    /// Whether the attempt waits here.
    pub fn is_queued(&self, attempt: AttemptId) -> bool {
        self.queue.contains(attempt)
    }

    /// Whether the attempt runs here.
    pub fn is_running(&self, attempt: AttemptId) -> bool {
        self.running.contains_key(&attempt)
    }

    /// Decides on a call, at once or later.
    pub fn offer(&mut self, now_us: u64, call: Candidate, out: &mut Vec<Decision>) {
        self.tick(now_us);
        if self.policy.refuse_early && !self.floor.admits(call.level) {
            out.push(self.refuse(&call, RefusalReason::Shed));
            return;
        }
        if self.comes_too_late(now_us, &call) {
            out.push(self.refuse(&call, RefusalReason::Expired));
            return;
        }
        if self.queue.is_empty() && self.may_start(call.level.class()) {
            self.start(now_us, &Waiting { call, since_us: now_us }, out);
            return;
        }
        self.queue.push(Waiting { call, since_us: now_us });
        self.settle(now_us, out);
    }

    /// Takes over the calls of an arm that is gone.
    pub fn adopt(&mut self, mut gone: Arm) {
        for (attempt, running) in gone.running {
            self.reserve.add(running.rank);
            self.probes += u32::from(running.is_probe);
            self.running.insert(attempt, running);
        }
        for waiting in gone.queue.take_all() {
            self.queue.push(waiting);
        }
    }

    /// Takes a call that no longer waits out of the queue.
    pub fn withdraw(&mut self, attempt: AttemptId) -> Option<Waiting> {
        self.queue.remove(attempt)
    }

    /// Frees the slot of a call that ended and learns from it. Returns whether it was running here.
    pub fn release(&mut self, now_us: u64, attempt: AttemptId, end: End) -> bool {
        let Some(running) = self.running.remove(&attempt) else {
            return false;
        };
        self.reserve.remove(running.rank);
        self.probes -= u32::from(running.is_probe);
        let held_us = now_us.saturating_sub(running.since_us);
        match end {
            End::Answered { latency_us, healthy } => {
                self.pace.note_end(now_us, latency_us, true);
                self.limiter.note_latency(latency_us, healthy);
                if healthy {
                    self.pace.note_answer(latency_us);
                }
            }
            End::Failed { latency_us } => {
                self.pace.note_end(now_us, latency_us, false);
                self.limiter.note_latency(latency_us, false);
            }
            End::Cancelled => self.pace.note_end(now_us, held_us, false),
        }
        true
    }

    /// Refuses what has expired, starts what can run, and pushes out what is too much.
    pub fn settle(&mut self, now_us: u64, out: &mut Vec<Decision>) {
        self.tick(now_us);
        let too_late_us = now_us + self.least_us();
        while let Some(waiting) = self.queue.pop_expired(too_late_us) {
            self.floor.note_pushed(waiting.call.level);
            out.push(self.refuse(&waiting.call, RefusalReason::Expired));
        }
        while let Some(rank) = self.queue.first_rank() {
            if !self.may_start(rank) {
                break;
            }
            let Some(waiting) = self.queue.pop_first() else {
                break;
            };
            self.start(now_us, &waiting, out);
        }
        while self.queue.len() > self.queue_max() {
            let Some(waiting) = self.queue.pop_last() else {
                break;
            };
            self.floor.note_pushed(waiting.call.level);
            out.push(self.refuse(&waiting.call, RefusalReason::QueueFull));
        }
    }

    /// Refuses all waiting calls.
    pub fn refuse_all(&mut self, reason: RefusalReason, out: &mut Vec<Decision>) {
        for waiting in self.queue.take_all() {
            out.push(self.refuse(&waiting.call, reason));
        }
    }

    /// When time alone changes something, in microseconds.
    pub fn next_wake_us(&self) -> Option<u64> {
        let window_us = self.window_since_us + WINDOW_US;
        let Some(deadline_us) = self.queue.earliest_deadline_us() else {
            return self.floor.is_raised().then_some(window_us);
        };
        Some(deadline_us.saturating_sub(self.least_us()).min(window_us))
    }

    /// The refusal of a call, with the time after which it makes sense to come back.
    pub fn refuse(&self, call: &Candidate, reason: RefusalReason) -> Decision {
        let retry_after_ms = match reason {
            RefusalReason::Cancelled | RefusalReason::Leaving => 0,
            _ => self.retry_after_ms(call),
        };
        Decision::Refuse { attempt: call.attempt, refusal: Refusal { reason, retry_after_ms } }
    }

    /// The time until the queue has drained and, for a call below the floor, until the floor could
    /// have come down to it; longer the more callers there are for each slot.
    fn retry_after_ms(&self, call: &Candidate) -> u32 {
        let drain_us = self.wait_us(self.queue.len());
        let windows = self.floor.windows_until(call.level);
        let floor_us = u64::from(windows) * WINDOW_US;
        let load = self.floor.load(self.capacity_per_us()).clamp(1.0, RETRY_LOAD_MAX);
        let base_us = (drain_us + floor_us) as f64 * load;
        retry_after::spread_ms(base_us / US_PER_MS as f64, call.attempt)
    }

    /// The most calls that may wait.
    fn queue_max(&self) -> usize {
        if self.policy.limit == LimitRule::None {
            return 0;
        }
        let limit = f64::from(self.limit());
        let by_share = (limit * self.policy.queue_share).ceil() as usize;
        if by_share == 0 || self.pace.hold_us() == 0.0 {
            return by_share;
        }
        let by_time = limit * QUEUE_DELAYS * self.delay_max_us() as f64 / self.pace.hold_us();
        by_share.max(by_time as usize)
    }

    /// Whether the answer of a new call would come after its deadline.
    fn comes_too_late(&self, now_us: u64, call: &Candidate) -> bool {
        let left_us = call.deadline_us.saturating_sub(now_us);
        if left_us == 0 {
            return true;
        }
        if self.running.is_empty() {
            // One call runs in any case, so that what was measured can be corrected.
            return false;
        }
        let least_us = self.least_us();
        if left_us >= least_us + self.wait_us(self.queue.len() + 1) {
            return false;
        }
        if self.queue.is_empty() && self.may_start(call.level.class()) {
            return left_us < least_us;
        }
        left_us < least_us + self.wait_us(self.queue.ahead_of(call) + 1)
    }

    /// The time after which `calls` calls that wait have been started, in microseconds.
    fn wait_us(&self, calls: usize) -> u64 {
        (calls as f64 * self.pace.hold_us() / f64::from(self.limit())) as u64
    }

    /// The time that nearly every call needs at least, in microseconds.
    fn least_us(&self) -> u64 {
        match self.policy.limit {
            LimitRule::None => 0,
            _ => self.pace.quick_us(),
        }
    }

    /// Whether a call of this class may be started now.
    fn may_start(&self, rank: ClassRank) -> bool {
        let limit = self.limit();
        let running = self.running();
        if running >= limit {
            return false;
        }
        if self.policy.order_by_level && limit - running <= self.reserve.kept_from(rank, limit) {
            return false;
        }
        !self.is_silent() || self.probes < probes_max(limit)
    }

    /// Starts a call.
    fn start(&mut self, now_us: u64, waiting: &Waiting, out: &mut Vec<Decision>) {
        if self.running.is_empty() {
            self.pace.note_busy(now_us);
        }
        let rank = waiting.call.level.class();
        let is_probe = self.is_silent();
        let waited_us = now_us.saturating_sub(waiting.since_us);
        let attempt = waiting.call.attempt;
        self.floor.note_started(waiting.call.level, waited_us, self.delay_max_us());
        self.running.insert(attempt, Running { rank, since_us: now_us, is_probe });
        self.reserve.add(rank);
        self.probes += u32::from(is_probe);
        self.limiter.note_running(self.running());
        self.was_full |= self.running() >= self.limit();
        out.push(Decision::Run { attempt });
    }

    /// Closes the windows that are due.
    fn tick(&mut self, now_us: u64) {
        let window_us = now_us.saturating_sub(self.window_since_us);
        if window_us < WINDOW_US {
            return;
        }
        self.window_since_us = now_us;
        self.reserve.tick(now_us);
        self.pace.check_silence(now_us, self.running());
        self.pace.close_window();
        let slots = self.part.slots.min(self.part.connections);
        self.limiter.tick(now_us, &self.policy.limit, slots, self.part.warmth >= 1.0);
        let around = Surroundings {
            capacity_per_us: self.capacity_per_us(),
            was_full: self.was_full,
            delay_max_us: self.delay_max_us(),
        };
        self.was_full = self.running() >= self.limit();
        if self.policy.refuse_early {
            self.floor.close_window(window_us, &around);
        } else {
            self.floor.reset();
        }
    }

    /// How many calls the target can end, for each microsecond.
    fn capacity_per_us(&self) -> f64 {
        let hold_us = self.pace.hold_us().max(1.0);
        let part = if self.is_silent() { SILENT_CAPACITY } else { 1.0 };
        part * f64::from(self.limit()) / hold_us
    }

    /// The waiting time that counts as overload, in microseconds.
    fn delay_max_us(&self) -> u64 {
        let policy_us = self.policy.queue_delay_ms * US_PER_MS;
        let slots = f64::from(self.limit());
        let holds = (DELAY_HOLDS_SLOTS / slots).min(DELAY_HOLDS_MAX);
        let chance_us = (self.pace.hold_us() * holds) as u64;
        chance_us.clamp(policy_us, policy_us * DELAY_STRETCH)
    }

    /// Whether the target is silent and the policy heeds it.
    fn is_silent(&self) -> bool {
        let adapts =
            matches!(self.policy.limit, LimitRule::Gradient { .. } | LimitRule::Delay { .. });
        adapts && self.pace.is_silent()
    }
}

/// How many calls may probe a silent target at once.
fn probes_max(limit: u32) -> u32 {
    ((f64::from(limit) * PROBE_SHARE) as u32).max(1)
}

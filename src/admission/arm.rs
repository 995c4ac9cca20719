//! Admission control for one policy arm: its share of the target's slots, its queue and its
//! shedding floor.

use std::collections::HashMap;

use super::event::{Candidate, Decision, End};
use super::floor::{Floor, WindowInput};
use super::latency_stats::LatencyStats;
use super::limiter::Limiter;
use super::queue::{Queue, QueuedCall};
use super::reserve::Reserve;
use super::retry_after;
use crate::call::{ArmId, AttemptId, ClassRank, Level, Refusal, RefusalReason};
use crate::clock::US_PER_MS;
use crate::config::{ClassSettings, LimitRule, PolicySettings};

/// The length of a measurement window, in microseconds.
pub(super) const WINDOW_US: u64 = 100 * US_PER_MS;
/// The share of the limit that may be used to probe an unresponsive target.
const PROBE_LIMIT_SHARE: f64 = 0.06;
/// The fraction of its measured capacity that an unresponsive target is assumed to have.
const UNRESPONSIVE_CAPACITY_SHARE: f64 = 0.1;
/// The largest factor by which the load lengthens the Retry-After of a refused call.
const RETRY_LOAD_FACTOR_MAX: f64 = 10.0;

/// The queue may hold enough calls to wait this many times the delay that counts as overload.
const QUEUE_DELAY_FACTOR: f64 = 2.0;
/// With this many slots, random arrivals alone make calls at a busy target wait for about one
/// holding time. With fewer slots they wait longer, so the delay that counts as overload is raised.
const RANDOM_WAIT_SLOTS: f64 = 16.0;
/// The upper bound, in holding times, of the waiting that is attributed to random arrivals.
const RANDOM_WAIT_HOLDS_MAX: f64 = 4.0;
/// The largest factor by which random waiting may raise the policy's queueing delay.
const DELAY_FACTOR_MAX: u64 = 5;

/// The capacity of the target that is allotted to one arm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Allotment {
    /// The arm's share of the announced slots.
    pub slots: u32,
    /// The arm's share of the announced connections.
    pub connections: u32,
    /// The fraction of the limit that may be used while the target warms up, from 0 to 1.
    pub warm_up_fraction: f64,
}

/// A call that the target is running.
#[derive(Clone, Copy, Debug)]
struct Running {
    rank: ClassRank,
    /// When it was started, in microseconds.
    since_us: u64,
    /// Whether it was started as a probe of an unresponsive target.
    is_probe: bool,
}

/// One policy arm.
#[derive(Debug)]
pub(super) struct Arm {
    pub id: ArmId,
    /// The arm's share of the target's slots.
    pub share: f64,
    /// The admission policy in force.
    policy: PolicySettings,
    /// The capacity allotted to the arm.
    allotment: Allotment,
    /// Calls that the target is running.
    running: HashMap<AttemptId, Running>,
    /// Calls waiting for a slot.
    queue: Queue,
    /// Latency and holding time of recent calls.
    latency: LatencyStats,
    /// The concurrency limit, used by policies whose limit adapts.
    limiter: Limiter,
    /// The level below which calls are shed.
    floor: Floor,
    /// Slots reserved for higher classes.
    reserve: Reserve,
    /// When the current window began, in microseconds.
    window_since_us: u64,
    /// Whether the limit was reached at some time in the window.
    was_full: bool,
    /// Running calls that are probes.
    probes: u32,
}

impl Arm {
    /// Creates an idle arm without slots.
    pub fn new(now_us: u64, id: ArmId, share: f64, policy: PolicySettings) -> Self {
        let queue = Queue::new(policy.order_by_level);
        Self {
            id,
            share,
            policy,
            allotment: Allotment::default(),
            running: HashMap::new(),
            queue,
            latency: LatencyStats::default(),
            limiter: Limiter::new(),
            floor: Floor::default(),
            reserve: Reserve::default(),
            window_since_us: now_us,
            was_full: false,
            probes: 0,
        }
    }

    /// Replaces the share and the policy; running and queued calls stay.
    pub fn set_policy(&mut self, share: f64, policy: PolicySettings) {
        self.share = share;
        self.queue.set_order(policy.order_by_level);
        self.policy = policy;
    }

    /// Applies the class settings.
    pub fn set_classes(&mut self, classes: &[ClassSettings]) {
        self.reserve.set_classes(classes);
    }

    /// Sets the capacity allotted to the arm.
    pub fn set_allotment(&mut self, allotment: Allotment) {
        self.allotment = allotment;
    }

    /// Discards all measurements, for a target that has been restarted.
    pub fn restart(&mut self) {
        self.latency = LatencyStats::default();
        self.limiter.restart();
    }

    /// How many calls may run at the same time.
    pub fn limit(&self) -> u32 {
        let announced = self.allotment.slots.min(self.allotment.connections);
        let full = match self.policy.limit {
            LimitRule::None => return u32::MAX,
            LimitRule::Static { running: Some(running) } => {
                let share = (f64::from(running) * self.share).round() as u32;
                share.min(self.allotment.connections)
            }
            LimitRule::Static { running: None } => announced,
            LimitRule::Gradient { .. } | LimitRule::Delay { .. } => self.limiter.limit(announced),
        };
        let usable = (f64::from(full) * self.allotment.warm_up_fraction).ceil() as u32;
        usable.clamp(1, full.max(1))
    }

    /// The limit as reported to senders: always finite, so that a router can compare it with the
    /// number of running calls.
    pub fn reported_limit(&self) -> u32 {
        match self.limit() {
            u32::MAX => self.allotment.slots,
            limit => limit,
        }
    }

    /// Calls that the target is running.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Calls waiting for a slot.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Smoothed latency of answered calls, in microseconds.
    pub fn latency_us(&self) -> u32 {
        self.latency.latency_us() as u32
    }

    /// Calls below this level are shed.
    pub fn floor(&self) -> Level {
        self.floor.level()
    }

    /// Whether the arm sheds calls below its floor.
    pub fn refuses_early(&self) -> bool {
        self.policy.refuse_early
    }

    /// Whether the attempt is queued here.
    pub fn is_queued(&self, attempt: AttemptId) -> bool {
        self.queue.contains(attempt)
    }

    /// Whether the attempt is running here.
    pub fn is_running(&self, attempt: AttemptId) -> bool {
        self.running.contains_key(&attempt)
    }

    /// Runs, queues or refuses a call; a queued call is decided on later.
    pub fn offer(&mut self, now_us: u64, call: Candidate, out: &mut Vec<Decision>) {
        self.close_window_if_due(now_us);
        if self.policy.refuse_early && !self.floor.admits(call.level) {
            out.push(self.refuse(&call, RefusalReason::Shed));
            return;
        }
        if self.would_miss_deadline(now_us, &call) {
            out.push(self.refuse(&call, RefusalReason::Expired));
            return;
        }
        if self.queue.is_empty() && self.may_start(call.level.class()) {
            self.start(now_us, &QueuedCall { call, since_us: now_us }, out);
            return;
        }
        self.queue.push(QueuedCall { call, since_us: now_us });
        self.process_queue(now_us, out);
    }

    /// Takes over the running and queued calls of an arm that was removed.
    pub fn absorb(&mut self, mut removed: Arm) {
        for (attempt, running) in removed.running {
            self.reserve.add(running.rank);
            self.probes += u32::from(running.is_probe);
            self.running.insert(attempt, running);
        }
        for queued in removed.queue.take_all() {
            self.queue.push(queued);
        }
    }

    /// Removes an attempt from the queue.
    pub fn remove_queued(&mut self, attempt: AttemptId) -> Option<QueuedCall> {
        self.queue.remove(attempt)
    }

    /// Frees the slot of a call that ended and records its latency. Returns whether it was running
    /// here.
    pub fn release(&mut self, now_us: u64, attempt: AttemptId, end: End) -> bool {
        let Some(running) = self.running.remove(&attempt) else {
            return false;
        };
        self.reserve.remove(running.rank);
        self.probes -= u32::from(running.is_probe);
        let held_us = now_us.saturating_sub(running.since_us);
        match end {
            End::Answered { latency_us, healthy } => {
                self.latency.record_end(now_us, latency_us, true);
                self.limiter.record_latency(latency_us, healthy);
                if healthy {
                    self.latency.record_answer(latency_us);
                }
            }
            End::Failed { latency_us } => {
                self.latency.record_end(now_us, latency_us, false);
                self.limiter.record_latency(latency_us, false);
            }
            End::Cancelled => self.latency.record_end(now_us, held_us, false),
        }
        true
    }

    /// Refuses expired calls, starts those that can run, and evicts the lowest ones from a full
    /// queue.
    pub fn process_queue(&mut self, now_us: u64, out: &mut Vec<Decision>) {
        self.close_window_if_due(now_us);
        let expire_until_us = now_us + self.min_latency_us();
        while let Some(queued) = self.queue.pop_expired(expire_until_us) {
            self.floor.record_evicted(queued.call.level);
            out.push(self.refuse(&queued.call, RefusalReason::Expired));
        }
        while let Some(rank) = self.queue.first_rank() {
            if !self.may_start(rank) {
                break;
            }
            let Some(queued) = self.queue.pop_first() else {
                break;
            };
            self.start(now_us, &queued, out);
        }
        while self.queue.len() > self.queue_max() {
            let Some(queued) = self.queue.pop_last() else {
                break;
            };
            self.floor.record_evicted(queued.call.level);
            out.push(self.refuse(&queued.call, RefusalReason::QueueFull));
        }
    }

    /// Refuses all queued calls.
    pub fn refuse_all(&mut self, reason: RefusalReason, out: &mut Vec<Decision>) {
        for queued in self.queue.take_all() {
            out.push(self.refuse(&queued.call, reason));
        }
    }

    /// When `process_queue` is due if no event comes before, in microseconds.
    pub fn next_wake_us(&self) -> Option<u64> {
        let window_end_us = self.window_since_us + WINDOW_US;
        let Some(deadline_us) = self.queue.earliest_deadline_us() else {
            return self.floor.is_raised().then_some(window_end_us);
        };
        Some(deadline_us.saturating_sub(self.min_latency_us()).min(window_end_us))
    }

    /// Builds the refusal of a call, with a Retry-After unless retrying here is pointless.
    pub fn refuse(&self, call: &Candidate, reason: RefusalReason) -> Decision {
        let retry_after_ms = match reason {
            RefusalReason::Cancelled | RefusalReason::Leaving => 0,
            _ => self.retry_after_ms(call),
        };
        Decision::Refuse { attempt: call.attempt, refusal: Refusal { reason, retry_after_ms } }
    }

    /// The Retry-After of a refused call, in milliseconds: the time until the queue has drained
    /// plus, for a call below the floor, the time until the floor could have fallen to its level.
    /// The sum is multiplied by the load, so that callers wait longer the more of them there are
    /// per slot.
    fn retry_after_ms(&self, call: &Candidate) -> u32 {
        let drain_us = self.wait_us(self.queue.len());
        let windows = self.floor.windows_until(call.level);
        let floor_wait_us = u64::from(windows) * WINDOW_US;
        let load = self.floor.load(self.capacity_per_us()).clamp(1.0, RETRY_LOAD_FACTOR_MAX);
        let base_us = (drain_us + floor_wait_us) as f64 * load;
        retry_after::with_jitter_ms(base_us / US_PER_MS as f64, call.attempt)
    }

    /// The maximum length of the queue.
    fn queue_max(&self) -> usize {
        if self.policy.limit == LimitRule::None {
            return 0;
        }
        let limit = f64::from(self.limit());
        let by_share = (limit * self.policy.queue_share).ceil() as usize;
        if by_share == 0 || self.latency.hold_us() == 0.0 {
            return by_share;
        }
        let by_time =
            limit * QUEUE_DELAY_FACTOR * self.delay_max_us() as f64 / self.latency.hold_us();
        by_share.max(by_time as usize)
    }

    /// Whether a new call is expected to miss its deadline.
    fn would_miss_deadline(&self, now_us: u64, call: &Candidate) -> bool {
        let left_us = call.deadline_us.saturating_sub(now_us);
        if left_us == 0 {
            return true;
        }
        if self.running.is_empty() {
            // A call always runs on an idle target, so that a latency estimate that has become too
            // high can be corrected.
            return false;
        }
        let min_latency_us = self.min_latency_us();
        if left_us >= min_latency_us + self.wait_us(self.queue.len() + 1) {
            return false;
        }
        if self.queue.is_empty() && self.may_start(call.level.class()) {
            return left_us < min_latency_us;
        }
        left_us < min_latency_us + self.wait_us(self.queue.count_ahead(call) + 1)
    }

    /// The time until `calls` queued calls have been started, in microseconds.
    fn wait_us(&self, calls: usize) -> u64 {
        (calls as f64 * self.latency.hold_us() / f64::from(self.limit())) as u64
    }

    /// The latency that most calls exceed, in microseconds; 0 under a policy without a limit.
    fn min_latency_us(&self) -> u64 {
        match self.policy.limit {
            LimitRule::None => 0,
            _ => self.latency.low_latency_us(),
        }
    }

    /// Whether a call of this class may start now.
    fn may_start(&self, rank: ClassRank) -> bool {
        let limit = self.limit();
        let running = self.running();
        if running >= limit {
            return false;
        }
        if self.policy.order_by_level && limit - running <= self.reserve.reserved_above(rank, limit)
        {
            return false;
        }
        !self.is_unresponsive() || self.probes < probes_max(limit)
    }

    fn start(&mut self, now_us: u64, queued: &QueuedCall, out: &mut Vec<Decision>) {
        if self.running.is_empty() {
            self.latency.record_busy(now_us);
        }
        let rank = queued.call.level.class();
        let is_probe = self.is_unresponsive();
        let waited_us = now_us.saturating_sub(queued.since_us);
        let attempt = queued.call.attempt;
        self.floor.record_started(queued.call.level, waited_us, self.delay_max_us());
        self.running.insert(attempt, Running { rank, since_us: now_us, is_probe });
        self.reserve.add(rank);
        self.probes += u32::from(is_probe);
        self.limiter.record_running(self.running());
        self.was_full |= self.running() >= self.limit();
        out.push(Decision::Run { attempt });
    }

    /// Closes the measurement window if it is over.
    fn close_window_if_due(&mut self, now_us: u64) {
        let window_us = now_us.saturating_sub(self.window_since_us);
        if window_us < WINDOW_US {
            return;
        }
        self.window_since_us = now_us;
        self.reserve.update_means(now_us);
        self.latency.check_responsiveness(now_us, self.running());
        self.latency.close_window();
        let slots = self.allotment.slots.min(self.allotment.connections);
        self.limiter.close_window_if_due(
            now_us,
            &self.policy.limit,
            slots,
            self.allotment.warm_up_fraction >= 1.0,
        );
        let input = WindowInput {
            capacity_per_us: self.capacity_per_us(),
            was_full: self.was_full,
            delay_max_us: self.delay_max_us(),
        };
        self.was_full = self.running() >= self.limit();
        if self.policy.refuse_early {
            self.floor.close_window(window_us, &input);
        } else {
            self.floor.reset();
        }
    }

    /// The estimated number of calls that the target can complete per microsecond.
    fn capacity_per_us(&self) -> f64 {
        let hold_us = self.latency.hold_us().max(1.0);
        let share = if self.is_unresponsive() { UNRESPONSIVE_CAPACITY_SHARE } else { 1.0 };
        share * f64::from(self.limit()) / hold_us
    }

    /// The queueing delay that counts as overload, in microseconds.
    fn delay_max_us(&self) -> u64 {
        let policy_us = self.policy.queue_delay_ms * US_PER_MS;
        let slots = f64::from(self.limit());
        let holds = (RANDOM_WAIT_SLOTS / slots).min(RANDOM_WAIT_HOLDS_MAX);
        let random_wait_us = (self.latency.hold_us() * holds) as u64;
        random_wait_us.clamp(policy_us, policy_us * DELAY_FACTOR_MAX)
    }

    /// Whether the target is unresponsive and the policy adapts to it.
    fn is_unresponsive(&self) -> bool {
        let adapts =
            matches!(self.policy.limit, LimitRule::Gradient { .. } | LimitRule::Delay { .. });
        adapts && self.latency.is_unresponsive()
    }
}

/// How many calls may probe an unresponsive target at the same time.
fn probes_max(limit: u32) -> u32 {
    ((f64::from(limit) * PROBE_LIMIT_SHARE) as u32).max(1)
}

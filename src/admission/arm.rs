//! Admission for one policy arm: its part of the slots and its queue.

use super::event::{Candidate, Decision};
use super::queue::{Queue, Waiting};
use crate::call::{ArmId, AttemptId, Level, Refusal, RefusalReason};
use crate::clock::US_PER_MS;
use crate::config::{LimitRule, PolicySettings};

/// The least time after which a refused caller is told to come back, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 10;
/// The longest time after which a refused caller is told to come back, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// What the target offers to one arm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Offer {
    /// The arm's part of the announced slots.
    pub slots: u32,
    /// The arm's part of the announced connections.
    pub connections: u32,
    /// The part of the limit that may be used while the target warms up, from 0 to 1.
    pub warmth: f64,
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
    offer: Offer,
    /// Calls the target is running now.
    running: u32,
    /// Calls that wait.
    queue: Queue,
    /// Smoothed latency of answered calls, in microseconds.
    latency_us: u64,
}

impl Arm {
    /// An idle arm without slots.
    pub fn new(id: ArmId, share: f64, policy: PolicySettings) -> Self {
        let queue = Queue::new(policy.order_by_level);
        Self { id, share, policy, offer: Offer::default(), running: 0, queue, latency_us: 0 }
    }

    /// Takes another policy; what runs and waits stays.
    pub fn set_policy(&mut self, share: f64, policy: PolicySettings) {
        self.share = share;
        self.queue.set_order(policy.order_by_level);
        self.policy = policy;
    }

    /// Takes what the target offers now.
    pub fn set_offer(&mut self, offer: Offer) {
        self.offer = offer;
    }

    /// How many calls may run at once.
    pub fn limit(&self) -> u32 {
        let full = match self.policy.limit {
            LimitRule::None => return u32::MAX,
            LimitRule::Static { running: Some(running) } => {
                let part = (f64::from(running) * self.share).round() as u32;
                part.min(self.offer.connections)
            }
            LimitRule::Static { running: None }
            | LimitRule::Gradient { .. }
            | LimitRule::Delay { .. } => self.offer.slots.min(self.offer.connections),
        };
        let warm = (f64::from(full) * self.offer.warmth).ceil() as u32;
        warm.clamp(1, full.max(1))
    }

    /// The limit as it is reported: a number a router can compare with what runs.
    pub fn reported_limit(&self) -> u32 {
        match self.limit() {
            u32::MAX => self.offer.slots,
            limit => limit,
        }
    }

    /// Calls the target is running now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Calls that wait.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Smoothed latency of answered calls, in microseconds.
    pub fn latency_us(&self) -> u32 {
        u32::try_from(self.latency_us).unwrap_or(u32::MAX)
    }

    /// Calls below this level are refused.
    pub fn floor(&self) -> Level {
        Level::LOWEST
    }

    /// Whether the attempt waits here.
    pub fn is_queued(&self, attempt: AttemptId) -> bool {
        self.queue.contains(attempt)
    }

    /// Decides on a call; the attempts that are started are those with `Run` in `out`.
    pub fn offer(&mut self, now_us: u64, call: Candidate, out: &mut Vec<Decision>) {
        if self.cannot_finish(now_us, &call) {
            out.push(self.refuse(&call, RefusalReason::Expired));
            return;
        }
        if self.queue.is_empty() && self.running < self.limit() {
            self.run(&call, out);
            return;
        }
        self.queue.push(Waiting { call });
        self.settle(now_us, out);
    }

    /// Puts a call that was accepted by another arm into the queue.
    pub fn adopt_queued(&mut self, waiting: Waiting) {
        self.queue.push(waiting);
    }

    /// Counts calls that another arm started.
    pub fn adopt_running(&mut self, running: u32) {
        self.running += running;
    }

    /// Takes a call that no longer waits out of the queue.
    pub fn withdraw(&mut self, attempt: AttemptId) -> Option<Waiting> {
        self.queue.remove(attempt)
    }

    /// Takes all waiting calls out.
    pub fn take_queue(&mut self) -> Vec<Waiting> {
        self.queue.take_all()
    }

    /// Frees the slot of a call that ended, and learns from its latency if there is one to learn.
    pub fn release(&mut self, latency_us: Option<u64>) {
        self.running = self.running.saturating_sub(1);
        let Some(latency_us) = latency_us else {
            return;
        };
        self.latency_us = match self.latency_us {
            0 => latency_us,
            smoothed => (smoothed * 7 + latency_us) / 8,
        };
    }

    /// Refuses what has expired, starts what can run, and pushes out what is too much.
    pub fn settle(&mut self, now_us: u64, out: &mut Vec<Decision>) {
        while let Some(waiting) = self.queue.pop_expired(now_us) {
            out.push(self.refuse(&waiting.call, RefusalReason::Expired));
        }
        while self.running < self.limit() {
            let Some(waiting) = self.queue.pop_first() else {
                break;
            };
            self.run(&waiting.call, out);
        }
        while self.queue.len() > self.queue_max() {
            let Some(waiting) = self.queue.pop_last() else {
                break;
            };
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
        self.queue.earliest_deadline_us()
    }

    /// The refusal of a call, with the time after which it makes sense to come back.
    pub fn refuse(&self, call: &Candidate, reason: RefusalReason) -> Decision {
        let retry_after_ms = match reason {
            RefusalReason::Cancelled | RefusalReason::Leaving => 0,
            _ => self.retry_after_ms(call.attempt),
        };
        Decision::Refuse { attempt: call.attempt, refusal: Refusal { reason, retry_after_ms } }
    }

    /// How long the queue takes to drain, spread so that callers do not come back together.
    fn retry_after_ms(&self, attempt: AttemptId) -> u32 {
        let drain_us = self.queue.len() as u64 * self.latency_us / u64::from(self.limit());
        let base_ms = (drain_us / US_PER_MS).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS / 2);
        let spread = u64::from(attempt.nonce) ^ attempt.sequence;
        (base_ms + spread.wrapping_mul(0x9e37_79b9_7f4a_7c15) % base_ms) as u32
    }

    /// The most calls that may wait.
    fn queue_max(&self) -> usize {
        if self.policy.limit == LimitRule::None {
            return 0;
        }
        (f64::from(self.limit()) * self.policy.queue_share).ceil() as usize
    }

    /// Whether the answer of a call would come too late.
    fn cannot_finish(&self, now_us: u64, call: &Candidate) -> bool {
        call.deadline_us <= now_us
    }

    /// Starts a call.
    fn run(&mut self, call: &Candidate, out: &mut Vec<Decision>) {
        self.running += 1;
        out.push(Decision::Run { attempt: call.attempt });
    }
}

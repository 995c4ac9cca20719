//! Latency statistics of recent calls, and detection of an unresponsive target.

use crate::clock::US_PER_MS;

/// The quantile of the latencies that the low latency estimates.
const LOW_QUANTILE: f64 = 0.2;
/// How far one sample moves the low latency, as a share of it.
const LOW_STEP_SHARE: f64 = 0.05;
/// The factor by which the low latency decays in a window without answers.
const LOW_DECAY: f64 = 0.9;
/// The number of samples over which the holding time is averaged: that many move the average two
/// thirds of the way to a new value.
const HOLD_SAMPLES: f64 = 200.0;
/// A target is unresponsive after this many holding times without an answer.
const UNRESPONSIVE_HOLDS: f64 = 8.0;
/// The shortest time without an answer that makes a target unresponsive, in microseconds.
const UNRESPONSIVE_MIN_US: u64 = 200 * US_PER_MS;
/// The longest time without an answer before a target counts as unresponsive, in microseconds.
const UNRESPONSIVE_MAX_US: u64 = 5_000 * US_PER_MS;

/// Statistics of the calls that have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencyStats {
    /// The latency that only one call in five stays below, in microseconds.
    low_latency_us: f64,
    /// The smoothed time for which a call holds its slot, in microseconds.
    hold_us: f64,
    /// The number of samples in the holding time, up to `HOLD_SAMPLES`.
    hold_samples: f64,
    /// The smoothed latency of answers, in microseconds.
    latency_us: f64,
    /// Answers in the current window.
    answers: u32,
    /// The time of the last answer, or of the start of the first call after the target was idle, in
    /// microseconds.
    last_answer_us: u64,
    /// Whether the target was found unresponsive and has not answered since.
    unresponsive: bool,
}

impl LatencyStats {
    /// Records that the target became busy: a call was started while no other was running.
    pub fn record_busy(&mut self, now_us: u64) {
        self.last_answer_us = now_us;
    }

    /// Records that a call ended after `held_us`, with or without an answer.
    pub fn record_end(&mut self, now_us: u64, held_us: u64, answered: bool) {
        if answered {
            self.last_answer_us = now_us;
            self.unresponsive = false;
        }
        if self.unresponsive {
            // The duration of an abandoned call depends on its caller's timeout, not on the
            // target's speed.
            return;
        }
        self.hold_samples = (self.hold_samples + 1.0).min(HOLD_SAMPLES);
        self.hold_us += (held_us as f64 - self.hold_us) / self.hold_samples;
    }

    /// Records the latency of a healthy answer.
    pub fn record_answer(&mut self, latency_us: u64) {
        let latency_us = latency_us as f64;
        self.answers += 1;
        if self.low_latency_us == 0.0 {
            self.low_latency_us = latency_us * LOW_QUANTILE;
            self.latency_us = latency_us;
            return;
        }
        self.latency_us += (latency_us - self.latency_us) / 8.0;
        let step_us = LOW_STEP_SHARE * self.low_latency_us.max(1.0);
        match latency_us < self.low_latency_us {
            true => self.low_latency_us -= step_us * (1.0 - LOW_QUANTILE),
            false => self.low_latency_us += step_us * LOW_QUANTILE,
        }
    }

    /// Closes a window. Without answers the low latency decays, so that a target that has become
    /// faster is detected even while all calls are refused as unable to meet their deadlines.
    pub fn close_window(&mut self) {
        if self.answers == 0 {
            self.low_latency_us *= LOW_DECAY;
        }
        self.answers = 0;
    }

    /// Checks whether the target is unresponsive while it has `running` calls.
    pub fn check_responsiveness(&mut self, now_us: u64, running: u32) {
        if running == 0 || self.hold_samples == 0.0 {
            return;
        }
        let timeout_us = ((self.hold_us * UNRESPONSIVE_HOLDS) as u64)
            .clamp(UNRESPONSIVE_MIN_US, UNRESPONSIVE_MAX_US);
        self.unresponsive |= now_us.saturating_sub(self.last_answer_us) > timeout_us;
    }

    /// Whether the target has not answered for much longer than usual.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// The latency that four of five calls exceed, in microseconds.
    pub fn low_latency_us(&self) -> u64 {
        self.low_latency_us as u64
    }

    /// The smoothed holding time, in microseconds; 0 while unknown.
    pub fn hold_us(&self) -> f64 {
        self.hold_us
    }

    /// The smoothed latency of answers, in microseconds.
    pub fn latency_us(&self) -> f64 {
        self.latency_us
    }
}

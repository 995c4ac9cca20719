//! How long calls hold a slot, as measured, and whether the target answers at all.

use crate::clock::US_PER_MS;

/// The part of all calls that are faster than the quick latency.
const QUICK_PART: f64 = 0.2;
/// How far one sample moves the quick latency, as a share of it.
const QUICK_STEP: f64 = 0.05;
/// How much the quick latency loses in a window without answers.
const QUICK_FADE: f64 = 0.9;
/// How many samples move the smoothed holding time by two thirds.
const HOLD_SAMPLES: f64 = 200.0;
/// A target is silent after this many holding times without an answer.
const SILENT_HOLDS: f64 = 8.0;
/// A target is never taken for silent sooner than this, in microseconds.
const SILENT_MIN_US: u64 = 200 * US_PER_MS;
/// A target is taken for silent after this time at the latest, in microseconds.
const SILENT_MAX_US: u64 = 5_000 * US_PER_MS;

/// Statistics over the calls that ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    /// The latency that only one call in five stays below, in microseconds.
    quick_us: f64,
    /// The smoothed time for which a call holds its slot, in microseconds.
    hold_us: f64,
    /// How many samples the holding time is made from, up to `HOLD_SAMPLES`.
    hold_samples: f64,
    /// The smoothed latency of answers, in microseconds.
    latency_us: f64,
    /// Answers in the present window.
    answers: u32,
    /// The last answer, or the start of the first call after the target was idle, in microseconds.
    alive_us: u64,
    /// Whether the target was found silent and has not answered since.
    silent: bool,
}

impl Pace {
    /// A call was started while nothing else ran.
    pub fn note_busy(&mut self, now_us: u64) {
        self.alive_us = now_us;
    }

    /// A call ended after `held_us`, with an answer or without one.
    pub fn note_end(&mut self, now_us: u64, held_us: u64, answered: bool) {
        if answered {
            self.alive_us = now_us;
            self.silent = false;
        }
        if self.silent {
            // Calls that are given up tell how patient their callers are, not how fast the target is.
            return;
        }
        self.hold_samples = (self.hold_samples + 1.0).min(HOLD_SAMPLES);
        self.hold_us += (held_us as f64 - self.hold_us) / self.hold_samples;
    }

    /// A call was answered well.
    pub fn note_answer(&mut self, latency_us: u64) {
        let latency_us = latency_us as f64;
        self.answers += 1;
        if self.quick_us == 0.0 {
            self.quick_us = latency_us * QUICK_PART;
            self.latency_us = latency_us;
            return;
        }
        self.latency_us += (latency_us - self.latency_us) / 8.0;
        let step_us = QUICK_STEP * self.quick_us.max(1.0);
        match latency_us < self.quick_us {
            true => self.quick_us -= step_us * (1.0 - QUICK_PART),
            false => self.quick_us += step_us * QUICK_PART,
        }
    }

    /// Ends a window. Without answers the quick latency fades, so that a target which has become
    /// faster is found out even when all calls seemed to be too late.
    pub fn close_window(&mut self) {
        if self.answers == 0 {
            self.quick_us *= QUICK_FADE;
        }
        self.answers = 0;
    }

    /// Finds out whether the target is silent while it runs `running` calls.
    pub fn check_silence(&mut self, now_us: u64, running: u32) {
        if running == 0 || self.hold_samples == 0.0 {
            return;
        }
        let patience_us =
            ((self.hold_us * SILENT_HOLDS) as u64).clamp(SILENT_MIN_US, SILENT_MAX_US);
        self.silent |= now_us.saturating_sub(self.alive_us) > patience_us;
    }

    /// Whether the target has not answered for much longer than usual.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// The time that nearly every call needs at least, in microseconds.
    pub fn quick_us(&self) -> u64 {
        self.quick_us as u64
    }

    /// The smoothed holding time, in microseconds; 0 while nothing is known.
    pub fn hold_us(&self) -> f64 {
        self.hold_us
    }

    /// The smoothed latency of answers, in microseconds.
    pub fn latency_us(&self) -> f64 {
        self.latency_us
    }
}

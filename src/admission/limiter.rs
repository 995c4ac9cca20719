//! Adaptive concurrency limits.
//!
//! The mean latency of each window is compared with a baseline, the latency of the unloaded target.
//! A window in which the target was lightly used updates the baseline; in any other window, a
//! latency above the baseline shrinks the limit. If the latency does not improve with the smaller
//! limit, the calls themselves have become longer: the limit was not the cause and is restored.

use crate::clock::US_PER_MS;
use crate::config::LimitRule;

/// The minimum length of a window, in microseconds.
const WINDOW_MIN_US: u64 = 100 * US_PER_MS;
/// The length after which a window is closed even with too few answers, in microseconds.
const WINDOW_MAX_US: u64 = 2_000 * US_PER_MS;
/// The number of answers that a window needs for a reliable mean.
const WINDOW_ANSWERS: u32 = 32;
/// The minimum limit as a share of the slots.
const LIMIT_MIN_SHARE: f64 = 0.1;
/// The weight of a faster window in the baseline.
const BASELINE_WEIGHT_FASTER: f64 = 0.25;
/// The weight of a slower window in the baseline; only if the target was lightly used.
const BASELINE_WEIGHT_SLOWER: f64 = 0.05;
/// A window that used no more than this share of the limit counts as lightly used.
const LIGHT_UTILISATION: f64 = 0.5;
/// The share to which the limit must have shrunk before the effect on the latency is evaluated.
const TRIAL_LIMIT_SHARE: f64 = 0.75;
/// A trial has failed when at least this share of the earlier latency remains.
const TRIAL_FAILED_LATENCY_SHARE: f64 = 0.9;
/// The share of the current latency that becomes the baseline when a trial has failed.
const TRIAL_BASELINE_SHARE: f64 = 0.9;
/// The growth per window under the delay rule, as a share of the limit; at least one call.
const GROWTH_SHARE: f64 = 0.05;

/// The measurements of the current window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// When it began, in microseconds.
    since_us: u64,
    /// The sum of the latencies, in microseconds.
    latency_sum_us: u64,
    /// How many latencies were added.
    answers: u32,
    /// The highest number of calls that ran at the same time.
    running_max: u32,
}

/// The state before the limit began to shrink, kept to evaluate whether the smaller limit reduces
/// the latency.
#[derive(Clone, Copy, Debug)]
struct Trial {
    limit: f64,
    /// The mean latency, in microseconds.
    latency_us: f64,
}

/// The adaptive limit of one arm.
#[derive(Clone, Debug)]
pub(super) struct Limiter {
    /// The limit; not rounded, so that small steps add up.
    limit: f64,
    /// The latency of the unloaded target, in microseconds; 0 while unknown.
    baseline_us: f64,
    window: Window,
    /// The trial of a smaller limit, if one is under way.
    trial: Option<Trial>,
}

impl Limiter {
    /// Creates a limit that starts at the announced capacity.
    pub fn new() -> Self {
        Self { limit: f64::INFINITY, baseline_us: 0.0, window: Window::default(), trial: None }
    }

    /// The limit, at most `ceiling`.
    pub fn limit(&self, ceiling: u32) -> u32 {
        (self.limit.round() as u32).clamp(limit_min(ceiling), ceiling.max(1))
    }

    /// Discards all measurements, for a target that has been restarted.
    pub fn restart(&mut self) {
        *self = Self::new();
    }

    /// Records how many calls are running.
    pub fn record_running(&mut self, running: u32) {
        self.window.running_max = self.window.running_max.max(running);
    }

    /// Records a latency. A call without a healthy answer counts only if it took longer than the
    /// baseline: fast errors must not look like a fast target.
    pub fn record_latency(&mut self, latency_us: u64, healthy: bool) {
        if !healthy && (latency_us as f64) < self.baseline_us {
            return;
        }
        self.window.latency_sum_us += latency_us;
        self.window.answers += 1;
    }

    /// Closes the window if it is over, and adjusts the limit unless the target is still warming
    /// up.
    pub fn close_window_if_due(
        &mut self,
        now_us: u64,
        rule: &LimitRule,
        ceiling: u32,
        is_warm: bool,
    ) {
        let age_us = now_us.saturating_sub(self.window.since_us);
        if age_us < WINDOW_MIN_US {
            return;
        }
        if self.window.answers < WINDOW_ANSWERS && age_us < WINDOW_MAX_US {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window.since_us = now_us;
        if window.answers == 0 || !is_warm {
            return;
        }
        self.adjust_limit(&window, rule, ceiling);
    }

    /// Adjusts the limit and the baseline to the measurements of a window.
    fn adjust_limit(&mut self, window: &Window, rule: &LimitRule, ceiling: u32) {
        let ceiling = f64::from(ceiling.max(1));
        let latency_us = window.latency_sum_us as f64 / f64::from(window.answers);
        self.limit = self.limit.min(ceiling);
        let utilisation = f64::from(window.running_max) / self.limit;
        self.update_baseline(latency_us, utilisation);
        let before = self.limit;
        let adjusted = match *rule {
            LimitRule::Gradient { tolerance, smoothing } => {
                let gradient = (tolerance * self.baseline_us / latency_us).clamp(0.5, 1.0);
                let desired = before * gradient + before.sqrt();
                before + smoothing * (desired - before)
            }
            LimitRule::Delay { tolerance, backoff } => {
                match latency_us > tolerance * self.baseline_us {
                    true => before * backoff,
                    false => before + (before * GROWTH_SHARE).max(1.0),
                }
            }
            LimitRule::None | LimitRule::Static { .. } => return,
        };
        // The limit must not grow while less than 90 % of it is used.
        let is_underused = utilisation < 0.9;
        self.limit = if is_underused { adjusted.min(before) } else { adjusted };
        self.limit = self.limit.clamp(f64::from(limit_min(ceiling as u32)), ceiling);
        self.evaluate_trial(before, latency_us, ceiling);
    }

    fn update_baseline(&mut self, latency_us: f64, utilisation: f64) {
        if self.baseline_us == 0.0 {
            self.baseline_us = latency_us;
            return;
        }
        let difference_us = latency_us - self.baseline_us;
        if difference_us < 0.0 {
            self.baseline_us += BASELINE_WEIGHT_FASTER * difference_us;
            return;
        }
        if utilisation <= LIGHT_UTILISATION {
            self.baseline_us += BASELINE_WEIGHT_SLOWER * difference_us;
        }
    }

    /// Evaluates whether the smaller limit has reduced the latency.
    fn evaluate_trial(&mut self, before: f64, latency_us: f64, ceiling: f64) {
        if self.limit >= ceiling {
            self.trial = None;
            return;
        }
        let Some(trial) = self.trial else {
            if self.limit < before {
                self.trial = Some(Trial { limit: before, latency_us });
            }
            return;
        };
        if before > trial.limit * TRIAL_LIMIT_SHARE {
            return;
        }
        self.trial = None;
        if latency_us < trial.latency_us * TRIAL_FAILED_LATENCY_SHARE {
            return;
        }
        self.baseline_us = self.baseline_us.max(latency_us * TRIAL_BASELINE_SHARE);
        self.limit = trial.limit;
    }
}

/// The minimum limit.
fn limit_min(ceiling: u32) -> u32 {
    ((f64::from(ceiling) * LIMIT_MIN_SHARE) as u32).max(1)
}

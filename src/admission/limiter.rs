//! Limits that follow what is measured.
//!
//! A window's mean latency is compared with the latency of the unloaded target. Where the target was
//! lightly used the comparison teaches what unloaded means; where it was not, a rise makes the limit
//! shrink. If the latency does not improve with the smaller limit, the calls have become longer, the
//! limit was not at fault, and it goes back.

use crate::clock::US_PER_MS;
use crate::config::LimitRule;

/// The shortest window, in microseconds.
const WINDOW_MIN_US: u64 = 100 * US_PER_MS;
/// A window with too few answers is closed after this time all the same, in microseconds.
const WINDOW_MAX_US: u64 = 2_000 * US_PER_MS;
/// The answers a window needs for a mean that can be trusted.
const WINDOW_ANSWERS: u32 = 32;
/// The least limit as a share of the slots.
const MINIMUM_SHARE: f64 = 0.1;
/// How far the baseline goes down towards a faster window.
const LEARN_FASTER: f64 = 0.25;
/// How far the baseline goes up towards a slower window in which the target was lightly used.
const LEARN_SLOWER: f64 = 0.05;
/// A window in which no more than this part of the limit was used counts as lightly used.
const LIGHT_USE: f64 = 0.5;
/// The part to which the limit must have shrunk before it is judged whether that helped.
const TRIAL_PART: f64 = 0.75;
/// The part of the latency that must remain for a trial to have failed.
const TRIAL_FAILED: f64 = 0.9;
/// How much of the present latency becomes the baseline when a trial has failed.
const TRIAL_BASELINE: f64 = 0.9;
/// The step of a growing limit under the delay rule, as a share of it, and at least one call.
const GROWTH_SHARE: f64 = 0.05;

/// What was measured in the present window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// When it began, in microseconds.
    since_us: u64,
    /// The sum of latencies, in microseconds.
    latency_sum_us: u64,
    /// How many latencies were added.
    answers: u32,
    /// The most calls that ran at once.
    running_max: u32,
}

/// A limit that has begun to shrink, and the latency it began at.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// The limit before.
    limit: f64,
    /// The mean latency before, in microseconds.
    latency_us: f64,
}

/// The adaptive limit of one arm.
#[derive(Clone, Debug)]
pub(super) struct Limiter {
    /// The limit; fractions are kept so that small steps add up.
    limit: f64,
    /// The latency of the unloaded target, in microseconds; 0 while unknown.
    baseline_us: f64,
    /// The present window.
    window: Window,
    /// The shrinking that is being judged.
    trial: Option<Trial>,
}

impl Limiter {
    /// A limit that starts at what the target announces.
    pub fn new() -> Self {
        Self { limit: f64::INFINITY, baseline_us: 0.0, window: Window::default(), trial: None }
    }

    /// The limit, within `ceiling`.
    pub fn limit(&self, ceiling: u32) -> u32 {
        (self.limit.round() as u32).clamp(minimum(ceiling), ceiling.max(1))
    }

    /// Forgets what was measured, for a target that has come up anew.
    pub fn restart(&mut self) {
        *self = Self::new();
    }

    /// Notes how many calls run.
    pub fn note_running(&mut self, running: u32) {
        self.window.running_max = self.window.running_max.max(running);
    }

    /// Takes in a latency. A call without a good answer counts only where it took longer than the
    /// baseline: fast errors must not look like a fast target.
    pub fn note_latency(&mut self, latency_us: u64, good: bool) {
        if !good && (latency_us as f64) < self.baseline_us {
            return;
        }
        self.window.latency_sum_us += latency_us;
        self.window.answers += 1;
    }

    /// Closes the window if it is due, and moves the limit.
    pub fn tick(&mut self, now_us: u64, rule: &LimitRule, ceiling: u32, warm: bool) {
        let age_us = now_us.saturating_sub(self.window.since_us);
        if age_us < WINDOW_MIN_US {
            return;
        }
        if self.window.answers < WINDOW_ANSWERS && age_us < WINDOW_MAX_US {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window.since_us = now_us;
        if window.answers == 0 || !warm {
            return;
        }
        self.move_limit(&window, rule, ceiling);
    }

    /// Moves the limit and the baseline by what a window showed.
    fn move_limit(&mut self, window: &Window, rule: &LimitRule, ceiling: u32) {
        let ceiling = f64::from(ceiling.max(1));
        let latency_us = window.latency_sum_us as f64 / f64::from(window.answers);
        self.limit = self.limit.min(ceiling);
        let used = f64::from(window.running_max) / self.limit;
        self.learn(latency_us, used);
        let before = self.limit;
        let moved = match *rule {
            LimitRule::Gradient { tolerance, smoothing } => {
                let fit = (tolerance * self.baseline_us / latency_us).clamp(0.5, 1.0);
                let target = before * fit + before.sqrt();
                before + smoothing * (target - before)
            }
            LimitRule::Delay { tolerance, backoff } => {
                match latency_us > tolerance * self.baseline_us {
                    true => before * backoff,
                    false => before + (before * GROWTH_SHARE).max(1.0),
                }
            }
            LimitRule::None | LimitRule::Static { .. } => return,
        };
        let unused = used < 0.9;
        self.limit = if unused { moved.min(before) } else { moved };
        self.limit = self.limit.clamp(f64::from(minimum(ceiling as u32)), ceiling);
        self.judge(before, latency_us, ceiling);
    }

    /// Moves the baseline.
    fn learn(&mut self, latency_us: f64, used: f64) {
        if self.baseline_us == 0.0 {
            self.baseline_us = latency_us;
            return;
        }
        let difference_us = latency_us - self.baseline_us;
        if difference_us < 0.0 {
            self.baseline_us += LEARN_FASTER * difference_us;
            return;
        }
        if used <= LIGHT_USE {
            self.baseline_us += LEARN_SLOWER * difference_us;
        }
    }

    /// Judges whether a smaller limit made calls faster.
    fn judge(&mut self, before: f64, latency_us: f64, ceiling: f64) {
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
        if before > trial.limit * TRIAL_PART {
            return;
        }
        self.trial = None;
        if latency_us < trial.latency_us * TRIAL_FAILED {
            return;
        }
        self.baseline_us = self.baseline_us.max(latency_us * TRIAL_BASELINE);
        self.limit = trial.limit;
    }
}

/// The least limit.
fn minimum(ceiling: u32) -> u32 {
    ((f64::from(ceiling) * MINIMUM_SHARE) as u32).max(1)
}

//! Detects connections that have gone silent. Pure: the time is passed in, no clock is read.

use crate::clock::US_PER_MS;

/// Ping intervals and the silence timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivenessSettings {
    /// A ping is sent after this long without receiving anything while answers are expected.
    pub ping_every_us: u64,
    /// The same while no answer is expected.
    pub idle_ping_every_us: u64,
    /// The connection is silent if nothing is received for this long while a ping is unanswered.
    pub silent_after_us: u64,
}

impl LivenessSettings {
    /// The settings from values in milliseconds.
    pub fn from_ms(ping_every_ms: u64, idle_ping_every_ms: u64, silent_after_ms: u64) -> Self {
        Self {
            ping_every_us: ping_every_ms * US_PER_MS,
            idle_ping_every_us: idle_ping_every_ms * US_PER_MS,
            silent_after_us: silent_after_ms * US_PER_MS,
        }
    }
}

/// What to do for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAction {
    /// Nothing.
    Wait,
    /// Send a ping with this sequence number.
    Ping(u64),
    /// The connection is silent: replace it.
    Silent,
}

/// The kind of a received message, as far as it matters for liveness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceivedKind {
    /// The answer to the latest ping.
    Pong,
    /// The answer to a message that was sent.
    Answer,
    /// Anything else.
    Other,
}

/// Detects silence on one connection.
///
/// Anything received shows that the connection is alive. A ping is sent only if nothing has been
/// received for a while: a short while if answers are expected, a long one otherwise. At most one
/// ping is unanswered at a time, so that pongs cannot crowd out replies.
#[derive(Clone, Debug)]
pub struct Liveness {
    /// The settings.
    settings: LivenessSettings,
    /// When something was last received, or the connection was established.
    received_at_us: u64,
    /// When the latest ping was sent; `None` once it is answered.
    pinged_at_us: Option<u64>,
    /// The sequence number of the latest ping.
    sequence: u64,
    /// Messages sent that have not been answered.
    expected: u64,
    /// The latest deadline of the expected answers; after it none counts as expected.
    expected_until_us: u64,
    /// When `step` was last called.
    stepped_at_us: u64,
}

impl Liveness {
    /// Starts at `now_us`, when the connection was established; the first step sends a ping.
    pub fn new(settings: LivenessSettings, now_us: u64) -> Self {
        Self {
            settings,
            received_at_us: now_us,
            pinged_at_us: None,
            sequence: 0,
            expected: 0,
            expected_until_us: 0,
            stepped_at_us: now_us,
        }
    }

    /// Records that a message was sent whose answer is due within `answer_timeout_us`.
    pub fn expect_answer(&mut self, now_us: u64, answer_timeout_us: u64) {
        if !self.is_expecting(now_us) {
            self.expected = 0;
            self.expected_until_us = 0;
        }
        self.expected += 1;
        let until_us = now_us.saturating_add(answer_timeout_us);
        self.expected_until_us = self.expected_until_us.max(until_us);
    }

    /// Records that a message was received.
    pub fn record_received(&mut self, now_us: u64, kind: ReceivedKind) {
        self.received_at_us = self.received_at_us.max(now_us);
        match kind {
            ReceivedKind::Pong => self.pinged_at_us = None,
            ReceivedKind::Answer => self.expected = self.expected.saturating_sub(1),
            ReceivedKind::Other => (),
        }
    }

    /// Whether an answer is still expected.
    pub fn is_expecting(&self, now_us: u64) -> bool {
        self.expected > 0 && now_us < self.expected_until_us
    }

    /// Returns what to do at `now_us`. A returned ping counts as sent even if the send queue is
    /// full: a connection that accepts nothing is silent as well.
    pub fn step(&mut self, now_us: u64) -> LivenessAction {
        let step_gap_us = now_us.saturating_sub(self.stepped_at_us);
        self.stepped_at_us = now_us;
        if let Some(pinged_at_us) = self.pinged_at_us {
            return self.check_ping(now_us, pinged_at_us, step_gap_us);
        }
        let is_first = self.sequence == 0;
        let silent_us = now_us.saturating_sub(self.received_at_us);
        if is_first || silent_us >= self.ping_interval_us(now_us) {
            self.sequence += 1;
            self.pinged_at_us = Some(now_us);
            return LivenessAction::Ping(self.sequence);
        }
        LivenessAction::Wait
    }

    /// Decides whether the ping sent at `pinged_at_us` has timed out.
    fn check_ping(&mut self, now_us: u64, pinged_at_us: u64, step_gap_us: u64) -> LivenessAction {
        let waiting_since_us = pinged_at_us.max(self.received_at_us);
        if now_us.saturating_sub(waiting_since_us) < self.settings.silent_after_us {
            return LivenessAction::Wait;
        }
        // If this process itself was paused, the answer may be unread in the kernel's buffer: the
        // peer gets one more interval.
        if step_gap_us >= self.settings.silent_after_us {
            self.pinged_at_us = Some(now_us);
            return LivenessAction::Wait;
        }
        LivenessAction::Silent
    }

    /// How long to wait for received data before a ping is sent.
    fn ping_interval_us(&self, now_us: u64) -> u64 {
        if self.is_expecting(now_us) {
            return self.settings.ping_every_us;
        }
        self.settings.idle_ping_every_us
    }
}

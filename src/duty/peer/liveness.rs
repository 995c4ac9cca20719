//! When a connection counts as silent. Pure: it is told the time and reads no clock.

use crate::clock::US_PER_MS;

/// The intervals a connection is watched with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivenessSettings {
    /// How long nothing may be received, while answers are expected, before a ping is sent.
    pub ping_every_us: u64,
    /// The same while no answer is expected.
    pub idle_ping_every_us: u64,
    /// How long a ping may wait for any sign of life before the connection counts as silent.
    pub silent_after_us: u64,
}

impl LivenessSettings {
    /// The same intervals given in milliseconds.
    pub fn from_ms(ping_every_ms: u64, idle_ping_every_ms: u64, silent_after_ms: u64) -> Self {
        Self {
            ping_every_us: ping_every_ms * US_PER_MS,
            idle_ping_every_us: idle_ping_every_ms * US_PER_MS,
            silent_after_us: silent_after_ms * US_PER_MS,
        }
    }
}

/// What has to be done for a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Send a ping with this sequence number.
    Ping(u64),
    /// The connection carries nothing any more: replace it.
    Silent,
}

/// What something that was received says about what was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answers the latest ping.
    Pong,
    /// It settles a message that was sent.
    Answer,
    /// It settles nothing.
    Other,
}

/// Watches one connection for silence.
///
/// Anything that is received is a sign of life. A ping is sent only when nothing has been received
/// for a while: soon when answers are expected, seldom otherwise. There is never more than one ping
/// without its pong under way, so that pongs cannot crowd out replies.
#[derive(Clone, Debug)]
pub struct Liveness {
    /// The intervals.
    settings: LivenessSettings,
    /// When something was last received, or the connection was made.
    received_at_us: u64,
    /// When the latest ping was sent, until its pong comes.
    pinged_at_us: Option<u64>,
    /// The sequence number of the latest ping.
    sequence: u64,
    /// Messages sent whose answer has not come.
    expected: u64,
    /// When the last of the expected answers is overdue and no longer counts as expected.
    expected_until_us: u64,
    /// When the watch was last asked.
    stepped_at_us: u64,
}

impl Liveness {
    /// Watches a connection made at `now_us`, beginning with a ping.
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

    /// A message was sent that is to be answered within `answer_within_us`.
    pub fn expect(&mut self, now_us: u64, answer_within_us: u64) {
        if !self.is_expecting(now_us) {
            self.expected = 0;
            self.expected_until_us = 0;
        }
        self.expected += 1;
        let until_us = now_us.saturating_add(answer_within_us);
        self.expected_until_us = self.expected_until_us.max(until_us);
    }

    /// Something was received.
    pub fn received(&mut self, now_us: u64, sign: Sign) {
        self.received_at_us = self.received_at_us.max(now_us);
        match sign {
            Sign::Pong => self.pinged_at_us = None,
            Sign::Answer => self.expected = self.expected.saturating_sub(1),
            Sign::Other => (),
        }
    }

    /// Whether an answer is still expected.
    pub fn is_expecting(&self, now_us: u64) -> bool {
        self.expected > 0 && now_us < self.expected_until_us
    }

    /// What has to be done at `now_us`. A ping that is returned counts as sent, even if it finds no
    /// room: a connection that takes nothing is silent as well.
    pub fn step(&mut self, now_us: u64) -> Step {
        let slept_us = now_us.saturating_sub(self.stepped_at_us);
        self.stepped_at_us = now_us;
        if let Some(pinged_at_us) = self.pinged_at_us {
            return self.judge(now_us, pinged_at_us, slept_us);
        }
        let is_first = self.sequence == 0;
        let quiet_us = now_us.saturating_sub(self.received_at_us);
        if is_first || quiet_us >= self.ping_interval_us(now_us) {
            self.sequence += 1;
            self.pinged_at_us = Some(now_us);
            return Step::Ping(self.sequence);
        }
        Step::Wait
    }

    /// Decides whether the ping sent at `pinged_at_us` has waited long enough.
    fn judge(&mut self, now_us: u64, pinged_at_us: u64, slept_us: u64) -> Step {
        let waits_since_us = pinged_at_us.max(self.received_at_us);
        if now_us.saturating_sub(waits_since_us) < self.settings.silent_after_us {
            return Step::Wait;
        }
        // When this process itself was stopped for a while, the answer may lie unread in the
        // kernel: the peer gets one more interval.
        if slept_us >= self.settings.silent_after_us {
            self.pinged_at_us = Some(now_us);
            return Step::Wait;
        }
        Step::Silent
    }

    /// How long nothing may be received before a ping is sent.
    fn ping_interval_us(&self, now_us: u64) -> u64 {
        if self.is_expecting(now_us) {
            return self.settings.ping_every_us;
        }
        self.settings.idle_ping_every_us
    }
}

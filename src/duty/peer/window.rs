//! Bounds the replies under way on one connection, so that nng never has to drop one. Pure.
//!
//! A raw REP socket queues 64 messages for each connection and drops what does not fit, without a
//! word. Replies are therefore counted, and the receiver of replies confirms how many it has had.

/// Replies that may be under way on one connection. The rest of nng's 64 is left for pongs.
pub const WINDOW: u64 = 48;
/// How many replies are received before they are confirmed.
pub const CONFIRM_EVERY: u64 = 12;

/// The replying side: which replies may go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyWindow {
    /// Replies sent on this connection.
    sent: u64,
    /// Replies that the other side has confirmed.
    confirmed: u64,
}

impl ReplyWindow {
    /// Whether one more reply may be sent now.
    pub fn has_room(&self) -> bool {
        self.under_way() < WINDOW
    }

    /// Replies sent that have not been confirmed.
    pub fn under_way(&self) -> u64 {
        self.sent - self.confirmed
    }

    /// One reply was sent.
    pub fn sent(&mut self) {
        self.sent += 1;
    }

    /// The other side has had `received` replies in all. A number that cannot be true is ignored
    /// and reported as false.
    pub fn confirm(&mut self, received: u64) -> bool {
        if received > self.sent {
            return false;
        }
        self.confirmed = self.confirmed.max(received);
        true
    }
}

/// The receiving side: when to confirm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCount {
    /// Replies received on this connection.
    received: u64,
    /// The number last confirmed.
    confirmed: u64,
}

impl ReplyCount {
    /// One reply was received. Returns the number to confirm when it is time to.
    pub fn received(&mut self) -> Option<u64> {
        self.received += 1;
        (self.received - self.confirmed >= CONFIRM_EVERY).then_some(self.received)
    }

    /// The number to confirm when time has passed, if any is unconfirmed.
    pub fn unconfirmed(&self) -> Option<u64> {
        (self.received > self.confirmed).then_some(self.received)
    }

    /// The confirmation of `received` was sent.
    pub fn confirmed(&mut self, received: u64) {
        self.confirmed = self.confirmed.max(received);
    }
}

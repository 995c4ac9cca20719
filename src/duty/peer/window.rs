//! Flow control for the replies on one connection, so that nng never drops one. Pure.
//!
//! A raw REP socket queues 64 messages per connection and silently drops the rest. Replies are
//! therefore counted, and their receiver acknowledges how many it has received.

/// Replies that may be in flight on one connection. The rest of nng's 64 is left for pongs.
pub const REPLY_WINDOW: u64 = 48;
/// Replies received between two acknowledgements.
pub const ACKNOWLEDGE_INTERVAL: u64 = 12;

/// The sender of replies: limits the replies in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyWindow {
    /// Replies sent on this connection.
    sent: u64,
    /// Replies that the receiver has acknowledged.
    acknowledged: u64,
}

impl ReplyWindow {
    /// Whether another reply may be sent now.
    pub fn has_room(&self) -> bool {
        self.in_flight() < REPLY_WINDOW
    }

    /// Replies sent but not acknowledged.
    pub fn in_flight(&self) -> u64 {
        self.sent - self.acknowledged
    }

    /// Records that a reply was sent.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Records that the receiver has received `received` replies in total. Returns false and
    /// changes nothing if that is more than were sent.
    pub fn acknowledge(&mut self, received: u64) -> bool {
        if received > self.sent {
            return false;
        }
        self.acknowledged = self.acknowledged.max(received);
        true
    }
}

/// The receiver of replies: decides when to acknowledge them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCount {
    /// Replies received on this connection.
    received: u64,
    /// The count last acknowledged.
    acknowledged: u64,
}

impl ReplyCount {
    /// Records a received reply. Returns the count to acknowledge if an acknowledgement is due.
    pub fn record_received(&mut self) -> Option<u64> {
        self.received += 1;
        (self.received - self.acknowledged >= ACKNOWLEDGE_INTERVAL).then_some(self.received)
    }

    /// The count to acknowledge on a tick, if any reply is unacknowledged.
    pub fn unacknowledged(&self) -> Option<u64> {
        (self.received > self.acknowledged).then_some(self.received)
    }

    /// Records that `received` replies were acknowledged.
    pub fn record_acknowledged(&mut self, received: u64) {
        self.acknowledged = self.acknowledged.max(received);
    }
}

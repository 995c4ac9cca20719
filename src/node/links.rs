//! Connections that are lost or restored, and messages that could not be sent.

use std::net::SocketAddr;

use crate::call::{AttemptId, Doubt, Message, NodeId, RefusalReason, Verdict};
use crate::event::LogEvent;

use super::Node;
use super::event::NodeAction;
use super::hop::{HopId, HopState};

/// How long to wait for a new connection before an attempt ends as "may have run".
const FENCE_TIMEOUT_US: u64 = 1_500_000;

impl Node {
    /// Handles a lost connection. Attempts that may run more than once fail and can be retried.
    /// At-most-once attempts wait for a new connection, over which their verdict is requested.
    pub(super) fn on_link_lost(
        &mut self,
        now_us: u64,
        peer: SocketAddr,
        out: &mut Vec<NodeAction>,
    ) {
        for id in self.awaiting_grant_from(peer) {
            self.abandon_retry_request(now_us, id, out);
        }
        let Some(lost) = self.router.node_at(peer) else { return };
        self.router.link_lost(now_us, lost);
        let unsettled = self.attempts_at(lost).len() as u64;
        let detail = "closed or silent".to_owned();
        let event = LogEvent::PeerLinkLost { peer: lost, address: peer, unsettled, detail };
        self.log(event, out);
        for (id, attempt) in self.attempts_at(lost) {
            let Some(hop) = self.hops.get(&id) else { continue };
            if !hop.at_most_once {
                let verdict = Verdict::MayHaveRun(Doubt::ConnectionLost);
                self.fail_attempt(now_us, id, attempt, lost, verdict, out);
                continue;
            }
            let until_us = (now_us + FENCE_TIMEOUT_US).min(hop.deadline_us);
            self.set_state(id, HopState::Fencing { attempt, node: lost, until_us });
        }
    }

    /// The hops that wait for a retry decision from the entry node at `address`, sorted by id.
    fn awaiting_grant_from(&self, address: SocketAddr) -> Vec<HopId> {
        let mut found = Vec::new();
        for (id, hop) in &self.hops {
            if hop.entry_address == Some(address)
                && matches!(hop.state, HopState::AwaitingRetryGrant { .. })
            {
                found.push(*id);
            }
        }
        found.sort_unstable();
        found
    }

    /// Handles a restored connection: requests the verdicts of at-most-once attempts that were sent
    /// over the old one, and fences those that have not arrived.
    pub(super) fn on_link_up(&mut self, now_us: u64, peer: SocketAddr, out: &mut Vec<NodeAction>) {
        let Some(node) = self.router.node_at(peer) else { return };
        self.router.link_up(now_us, node);
        self.log(LogEvent::PeerLinkUp { peer: node, address: peer }, out);
        for (id, attempt) in self.attempts_at(node) {
            let Some(hop) = self.hops.get(&id) else { continue };
            if !matches!(hop.state, HopState::Fencing { .. }) {
                continue;
            }
            let remaining_us = hop.deadline_us.saturating_sub(now_us);
            out.push(NodeAction::Send {
                to: peer,
                message: Message::Fence { attempt, asked: node, remaining_us },
            });
        }
    }

    /// The hops with an attempt at the given node, sorted by id.
    pub(super) fn attempts_at(&self, receiver: NodeId) -> Vec<(HopId, AttemptId)> {
        let mut found = Vec::new();
        for (id, hop) in &self.hops {
            match hop.state {
                HopState::Sent { attempt, node, .. } | HopState::Fencing { attempt, node, .. }
                    if node == receiver =>
                {
                    found.push((*id, attempt));
                }
                _ => {}
            }
        }
        found.sort_unstable_by_key(|(id, _)| *id);
        found
    }

    /// Handles a message that did not leave this process.
    pub(super) fn on_send_failed(
        &mut self,
        now_us: u64,
        message: Message,
        out: &mut Vec<NodeAction>,
    ) {
        match message {
            Message::Call(frame) => {
                let Some(id) = self.outstanding.get(&frame.attempt).copied() else { return };
                let Some(hop) = self.hops.get(&id) else { return };
                let HopState::Sent { node, .. } = hop.state else { return };
                let verdict = Verdict::not_run(RefusalReason::NodeFull, 0);
                self.fail_attempt(now_us, id, frame.attempt, node, verdict, out);
            }
            Message::AskRetry { failed, .. } => self.on_retry_grant(now_us, failed, false, out),
            // Deadlines and periodic repeats cover a lost cancellation, fence or gossip message.
            _ => {}
        }
    }
}

//! The keys of a node that leaves in an orderly way, and the node that takes them over.

use bytes::Bytes;

use crate::call::{ArmId, Level, Message, NodeId, RefusalReason, RootId};
use crate::clock::{US_PER_MS, US_PER_S};
use crate::membership::MembershipEvent;
use crate::once::Handover;
use crate::routing::Pick;

use super::Node;
use super::event::{NodeAction, ReplyPath};

/// How long the heir may take to say that it has the keys.
const TAKEN_WAIT_US: u64 = 2 * US_PER_S;
/// The most bytes of a handover, so that taking it over holds up the heir's decisions for no longer
/// than 0.2 s.
const HANDOVER_MAX_BYTES: usize = 8 << 20;
/// How long a node still names its heir to whoever asks, while the heir makes itself known.
const NAME_HEIR_US: u64 = 300 * US_PER_MS;

/// The last steps of a node that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Parting {
    /// The node that was sent the keys, if one could be sent them.
    heir: Option<NodeId>,
    /// Whether the heir has said that it has them.
    taken: bool,
    /// When the node stops, in microseconds since the process started.
    pub(super) until_us: u64,
}

impl Node {
    /// Hands the keys over, once nothing runs or waits here any more. Says whether the node may
    /// stop.
    pub(super) fn part(&mut self, now_us: u64, out: &mut Vec<NodeAction>) -> bool {
        let parting = match self.parting {
            Some(parting) => parting,
            None => self.begin_parting(now_us, out),
        };
        self.parting = Some(parting);
        parting.until_us <= now_us
    }

    /// Sends the keys to one node of the same service, if there is one and they fit in a message.
    fn begin_parting(&mut self, now_us: u64, out: &mut Vec<NodeAction>) -> Parting {
        let at_once = Parting { heir: None, taken: false, until_us: now_us };
        let Some(heir) = self.pick_heir(now_us) else { return at_once };
        let max_bytes = self.settings.node.body_max_bytes.min(HANDOVER_MAX_BYTES);
        let Ok(ledger) = self.ledger.hand_over(heir, max_bytes) else { return at_once };
        let mut owners = self.roster.inherited();
        owners.push(self.identity.id);
        let message = Message::Handover { ledger: Bytes::from(ledger), owners };
        if !self.send(heir, message, out) {
            return at_once;
        }
        Parting { heir: Some(heir), taken: false, until_us: now_us + TAKEN_WAIT_US }
    }

    /// A serving node of the own service, chosen as for the most important call.
    fn pick_heir(&mut self, now_us: u64) -> Option<NodeId> {
        let ask = Pick {
            service: &self.settings.node.service,
            arm: ArmId(self.rules.arm_for(RootId(0)).id),
            class: Level::HIGHEST.class(),
            level: Level::HIGHEST,
            avoid: &[self.identity.id],
        };
        let heir = self.router.pick(now_us, &ask, &mut self.rng).ok()?;
        (heir != self.identity.id).then_some(heir)
    }

    /// Takes over the keys of a node that leaves. Where that cannot be, nothing is replied: the
    /// keys then run nowhere.
    pub(super) fn take_handover(
        &mut self,
        now_us: u64,
        path: ReplyPath,
        ledger: &[u8],
        owners: &[NodeId],
        out: &mut Vec<NodeAction>,
    ) {
        if self.leave_after_us.is_some() {
            return;
        }
        let Ok(handover) = Handover::decode(ledger) else { return };
        let owner = handover.from;
        let unix_ms = self.unix_ms(now_us);
        if self.ledger.adopt(unix_ms, handover).is_err() {
            return;
        }
        self.heirs.note(now_us, owners, self.identity.id);
        self.tell_membership(now_us, MembershipEvent::Inherited { owners }, out);
        if let ReplyPath::Peer(path) = path {
            out.push(NodeAction::Return { path, message: Message::HandoverTaken { owner } });
        }
    }

    /// The heir has the keys: it is named for a while to whoever still asks here.
    pub(super) fn handover_taken(&mut self, now_us: u64, owner: NodeId) {
        let Some(parting) = &mut self.parting else { return };
        if owner != self.identity.id || parting.taken {
            return;
        }
        parting.taken = true;
        parting.until_us = now_us + NAME_HEIR_US;
    }

    /// The keys did not leave this process: nobody takes them over.
    pub(super) fn handover_unsent(&mut self, now_us: u64) {
        let Some(parting) = &mut self.parting else { return };
        parting.until_us = now_us;
    }

    /// Why a leaving node refuses an attempt. The heir is named only once it is known to have the
    /// keys.
    pub(super) fn leaving_reason(&self, has_key: bool) -> RefusalReason {
        let taken = self.parting.filter(|parting| parting.taken && has_key);
        match taken.and_then(|parting| parting.heir) {
            Some(heir) => RefusalReason::KeyInherited(heir),
            None => RefusalReason::Leaving,
        }
    }
}

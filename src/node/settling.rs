//! Recording of verdicts and their delivery to waiting senders.

use crate::call::{
    AnswerFrame, ArmId, AttemptId, CallFrame, ClassRank, LoadReport, Message, NodeId, Verdict,
};
use crate::clock::US_PER_S;
use crate::once::{AttemptTable, AttemptTableOptions, Ledger, LedgerOptions};

use super::Node;
use super::event::{NodeAction, ReplyPath};
use super::inbound::Stage;
use super::note::{self, Note};

/// How long a verdict is kept after its attempt's deadline. A sender that lost its connection sends
/// a fence within 1.5 s. Once the verdict is dropped, the attempt table answers by a watermark.
const VERDICT_RETENTION_US: u64 = 3 * US_PER_S;

/// Creates the ledger of a new node.
pub(super) fn new_ledger(owner: NodeId) -> Ledger {
    Ledger::new(owner, LedgerOptions::builder().build())
}

/// Creates the attempt table of a new node.
pub(super) fn new_attempt_table() -> AttemptTable {
    AttemptTable::new(AttemptTableOptions::builder().retention_us(VERDICT_RETENTION_US).build())
}

impl Node {
    /// Records the verdict of an attempt and sends it on all of its reply paths.
    ///
    /// An attempt that is still at the target stays registered until the target has finished.
    pub(super) fn settle(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        verdict: Verdict,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(inbound) = self.inbound.get(&attempt).filter(|inbound| !inbound.settled) else {
            return;
        };
        self.emit_inbound_span(now_us, inbound, &verdict, out);
        let Some(inbound) = self.inbound.get_mut(&attempt) else { return };
        inbound.settled = true;
        self.attempt_table.settle(now_us, attempt, &verdict);
        out.push(NodeAction::Note(Note::ReceivedEnded {
            class: inbound.frame.class,
            arm: inbound.frame.arm,
            outcome: note::outcome_of(&verdict),
        }));
        let reply_paths = std::mem::take(&mut inbound.reply_paths);
        let children = std::mem::take(&mut inbound.children);
        let (arm, class) = (inbound.frame.arm, inbound.frame.class);
        self.tokens.remove(&inbound.token);
        let on_target = matches!(inbound.stage, Stage::Running { .. } | Stage::Aborting { .. });
        if !on_target {
            self.inbound.remove(&attempt);
        }
        let load = self.load(now_us, arm, class);
        for path in reply_paths {
            self.answer_with(path, attempt, verdict.clone(), load, out);
        }
        for child in children {
            self.cancel_hop(now_us, child, out);
        }
    }

    /// Records the verdict for an attempt's key in the ledger and settles the attempts that joined
    /// it.
    pub(super) fn finish_key(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        verdict: &Verdict,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(key) = self.inbound.get(&attempt).and_then(|inbound| inbound.frame.key) else {
            return;
        };
        let waiters = if verdict.is_not_run() {
            self.ledger.refused(key, attempt)
        } else {
            self.ledger.finished(key, attempt, verdict)
        };
        for waiter in waiters {
            self.settle(now_us, waiter, verdict.clone(), out);
        }
    }

    /// Answers an attempt that was not registered.
    pub(super) fn answer(
        &mut self,
        now_us: u64,
        path: ReplyPath,
        frame: &CallFrame,
        verdict: Verdict,
        out: &mut Vec<NodeAction>,
    ) {
        let load = self.load(now_us, frame.arm, frame.class);
        self.answer_with(path, frame.attempt, verdict, load, out);
    }

    /// Sends a verdict with the given load report.
    pub(super) fn answer_with(
        &mut self,
        path: ReplyPath,
        attempt: AttemptId,
        verdict: Verdict,
        load: LoadReport,
        out: &mut Vec<NodeAction>,
    ) {
        let answer = AnswerFrame { attempt, node: self.identity.id, verdict, load };
        match path {
            ReplyPath::Local => self.answer_local(answer),
            ReplyPath::Peer(path) => {
                out.push(NodeAction::Return { path, message: Message::Answer(answer) });
            }
        }
    }

    /// This node's load report for one arm and class.
    fn load(&self, now_us: u64, arm: ArmId, class: ClassRank) -> LoadReport {
        let load = self.admission.load(now_us, arm, class);
        LoadReport { leaving: self.stop_after_us.is_some(), ..load }
    }
}

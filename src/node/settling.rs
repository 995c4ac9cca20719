//! How verdicts are recorded and reach whoever waits for them.

use crate::call::{
    AnswerFrame, ArmId, AttemptId, CallFrame, ClassRank, LoadReport, Message, NodeId, Verdict,
};
use crate::clock::US_PER_S;
use crate::once::{AttemptTable, AttemptTableOptions, Ledger, LedgerOptions};

use super::Node;
use super::event::{NodeAction, ReplyPath};
use super::inbound::Stage;
use super::note::{self, Note};

/// How long a verdict is kept after its attempt's deadline. Whoever lost a connection asks within
/// 1.5 s; later a watermark answers for the attempt.
const VERDICT_RETENTION_US: u64 = 3 * US_PER_S;

/// The ledger of a new node.
pub(super) fn new_ledger(owner: NodeId) -> Ledger {
    Ledger::new(owner, LedgerOptions::builder().build())
}

/// The book of a new node.
pub(super) fn new_attempt_table() -> AttemptTable {
    AttemptTable::new(AttemptTableOptions::builder().retention_us(VERDICT_RETENTION_US).build())
}

impl Node {
    /// Records the verdict of an attempt and tells everybody who waits for it.
    ///
    /// An attempt that the target still has stays registered until the target has finished.
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
        self.trace_inbound(now_us, inbound, &verdict, out);
        let Some(inbound) = self.inbound.get_mut(&attempt) else { return };
        inbound.settled = true;
        self.attempt_table.settle(now_us, attempt, &verdict);
        out.push(NodeAction::Note(Note::ReceivedEnded {
            class: inbound.frame.class,
            arm: inbound.frame.arm,
            outcome: note::outcome_of(&verdict),
        }));
        let paths = std::mem::take(&mut inbound.paths);
        let children = std::mem::take(&mut inbound.children);
        let (arm, class) = (inbound.frame.arm, inbound.frame.class);
        self.tokens.remove(&inbound.token);
        let on_target = matches!(inbound.stage, Stage::Running { .. } | Stage::Aborting { .. });
        if !on_target {
            self.inbound.remove(&attempt);
        }
        let load = self.load(now_us, arm, class);
        for path in paths {
            self.answer_with(path, attempt, verdict.clone(), load, out);
        }
        for child in children {
            self.cancel_hop(now_us, child, out);
        }
    }

    /// Tells the ledger what became of the key of an attempt, and whoever waited for the key.
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

    /// Sends a verdict to one who waits for it.
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

    /// What this node tells about itself for one arm and class.
    fn load(&self, now_us: u64, arm: ArmId, class: ClassRank) -> LoadReport {
        let load = self.admission.load(now_us, arm, class);
        LoadReport { leaving: self.leave_after_us.is_some(), ..load }
    }
}

//! Every attempt that arrived at a node or was fenced there.

use std::collections::{BTreeSet, HashMap, VecDeque};

use bon::Builder;

use crate::call::{AttemptId, Doubt, HttpAnswer, NodeId, Refusal, RefusalReason, Verdict};
use crate::clock::US_PER_S;

use super::floor::{Floor, Standing};
use super::keyspace::answer_bytes;

/// The memory of one entry without its answer, in bytes, as measured for the design note.
const ENTRY_BYTES: usize = 200;
/// The memory of the watermarks of one origin, in bytes.
const FLOOR_BYTES: usize = 64;

/// The limits of an attempt book.
#[derive(Clone, Copy, Debug, Builder)]
pub struct AttemptBookOptions {
    /// How long a verdict is kept after the attempt's deadline, in microseconds.
    #[builder(default = 10 * US_PER_S)]
    pub margin_us: u64,
    /// How many attempts are remembered at most. Beyond it the oldest refusals go behind the
    /// watermarks early; then new attempts are refused. The default is 10,000 attempts a second that
    /// are remembered for 13 s, which takes 26 MB.
    #[builder(default = 131_072)]
    pub entries_max: usize,
    /// How much memory answers may take, in bytes; the oldest are dropped beyond it.
    #[builder(default = 8 << 20)]
    pub answers_max_bytes: usize,
    /// How many sending nodes are remembered at most; unknown ones are refused beyond it.
    #[builder(default = 16_384)]
    pub origins_max: usize,
    /// After how long a silent sending node is forgotten, in microseconds. No frame may be delayed
    /// for longer.
    #[builder(default = 24 * 3_600 * US_PER_S)]
    pub origin_idle_us: u64,
    /// How many ways back are remembered for one attempt.
    #[builder(default = 4)]
    pub return_paths_max: usize,
}

/// A way to send a verdict back; the book only hands it out again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReturnPath(pub u64);

/// What to do with an attempt that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// Seen for the first time: decide on it, and report to `settle`, whatever happens.
    New,
    /// Still undecided or running; `settle` will name this way back as well.
    InProgress,
    /// Already settled; this is its verdict.
    Repeat(Verdict),
    /// Fenced before it arrived, or there is no room for it. It never runs.
    Refused(Refusal),
}

/// The reply to a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceReply {
    /// The attempt is settled; this is its verdict.
    Settled(Verdict),
    /// The attempt is undecided or running; `settle` will name this way back as well.
    InProgress,
    /// The attempt never arrived, and never runs if it arrives yet.
    NowFenced,
}

/// What is known of one attempt.
#[derive(Debug)]
enum State {
    /// Undecided or running, with the ways back.
    InProgress(Vec<ReturnPath>),
    /// It ran, and this is its answer.
    Answered(Box<HttpAnswer>),
    /// It did not run.
    NotRun(Refusal),
    /// It may have run, or its answer is no longer held.
    Doubted(Doubt),
}

impl State {
    /// The memory of the answer, in bytes.
    fn answer_bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => answer_bytes(answer),
            _ => 0,
        }
    }

    /// The verdict, once there is one.
    fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::InProgress(_) => None,
            Self::Answered(answer) => Some(Verdict::Answered(HttpAnswer::clone(answer))),
            Self::NotRun(refusal) => Some(Verdict::NotRun(*refusal)),
            Self::Doubted(doubt) => Some(Verdict::MayHaveRun(*doubt)),
        }
    }
}

/// One remembered attempt.
#[derive(Debug)]
struct Entry {
    /// Until when it is kept once settled, in microseconds.
    keep_until_us: u64,
    /// What is known of it.
    state: State,
}

/// Every attempt that arrived at a node or was fenced there, until some time after its deadline,
/// and watermarks for all attempts before that.
///
/// An attempt that was once told "not run" never runs, and one that may have run is never told "not
/// run". Where memory ends, new attempts are refused rather than old ones forgotten.
#[derive(Debug)]
pub struct AttemptBook {
    /// The limits.
    options: AttemptBookOptions,
    /// The remembered attempts.
    entries: HashMap<AttemptId, Entry>,
    /// The settled ones by the time until which they are kept.
    by_expiry: BTreeSet<(u64, AttemptId)>,
    /// Attempts with an answer, the oldest first; some may be gone by now.
    answered: VecDeque<AttemptId>,
    /// Refused attempts, the oldest first; some may be gone by now.
    refused: VecDeque<AttemptId>,
    /// The memory of the answers, in bytes.
    answers_bytes: usize,
    /// The watermarks of each sending node.
    floors: HashMap<NodeId, Floor>,
    /// Until when attempts of unknown origins are refused, in microseconds.
    strangers_refused_until_us: u64,
}

impl AttemptBook {
    /// An empty book.
    pub fn new(options: AttemptBookOptions) -> Self {
        Self {
            options,
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            answered: VecDeque::new(),
            refused: VecDeque::new(),
            answers_bytes: 0,
            floors: HashMap::new(),
            strangers_refused_until_us: 0,
        }
    }

    /// Decides on an attempt that arrives with its deadline.
    pub fn arrive(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        deadline_us: u64,
        way_back: ReturnPath,
    ) -> Arrival {
        let paths_max = self.options.return_paths_max;
        if let Some(entry) = self.entries.get_mut(&attempt) {
            let Some(verdict) = entry.state.verdict() else {
                add_return_path(entry, way_back, paths_max);
                return Arrival::InProgress;
            };
            return match verdict {
                Verdict::NotRun(refusal) => Arrival::Refused(refusal),
                verdict => Arrival::Repeat(verdict),
            };
        }
        let Some(floor) = self.floor(now_us, attempt.origin) else {
            return Arrival::Refused(refusal(RefusalReason::NodeFull));
        };
        match floor.standing(attempt) {
            Standing::New if !self.make_room() => {
                self.refuse_for_good(attempt);
                Arrival::Refused(refusal(RefusalReason::NodeFull))
            }
            Standing::New => {
                let state = State::InProgress(vec![way_back]);
                let keep_until_us = deadline_us.saturating_add(self.options.margin_us);
                self.entries.insert(attempt, Entry { keep_until_us, state });
                Arrival::New
            }
            Standing::MayHaveRun => Arrival::Repeat(Verdict::MayHaveRun(Doubt::AnswerForgotten)),
            Standing::Refused => Arrival::Refused(refusal(RefusalReason::Fenced)),
        }
    }

    /// Records the verdict of an attempt and returns every way back it is to be sent.
    ///
    /// Only the first verdict counts; a further one changes nothing and goes nowhere.
    pub fn settle(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        verdict: &Verdict,
    ) -> Vec<ReturnPath> {
        let Some(entry) = self.entries.get_mut(&attempt) else { return Vec::new() };
        let State::InProgress(ways_back) = &mut entry.state else { return Vec::new() };
        let ways_back = std::mem::take(ways_back);
        entry.state = match verdict {
            Verdict::Answered(answer) => State::Answered(Box::new(answer.clone())),
            Verdict::NotRun(refusal) => State::NotRun(*refusal),
            Verdict::MayHaveRun(doubt) => State::Doubted(*doubt),
        };
        let earliest_us = now_us.saturating_add(self.options.margin_us);
        entry.keep_until_us = entry.keep_until_us.max(earliest_us);
        self.by_expiry.insert((entry.keep_until_us, attempt));
        if verdict.is_not_run() {
            self.refused.push_back(attempt);
        }
        let added_bytes = entry.state.answer_bytes();
        if added_bytes > 0 {
            self.answers_bytes += added_bytes;
            self.answered.push_back(attempt);
            self.drop_oldest_answers();
        }
        ways_back
    }

    /// Asks what became of an attempt; one that has not arrived yet is refused for ever.
    ///
    /// `until_us` is the attempt's deadline as far as the sender knows.
    pub fn fence(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        until_us: u64,
        way_back: ReturnPath,
    ) -> FenceReply {
        let paths_max = self.options.return_paths_max;
        if let Some(entry) = self.entries.get_mut(&attempt) {
            let Some(verdict) = entry.state.verdict() else {
                add_return_path(entry, way_back, paths_max);
                return FenceReply::InProgress;
            };
            return FenceReply::Settled(verdict);
        }
        // Without room for its origin, no attempt of it is let in for as long as a frame may be
        // delayed, so this one is fenced as well.
        let Some(floor) = self.floor(now_us, attempt.origin) else { return FenceReply::NowFenced };
        match floor.standing(attempt) {
            Standing::New if !self.make_room() => {
                self.refuse_for_good(attempt);
                FenceReply::NowFenced
            }
            Standing::New => {
                let keep_until_us = until_us.max(now_us).saturating_add(self.options.margin_us);
                let state = State::NotRun(refusal(RefusalReason::Fenced));
                self.entries.insert(attempt, Entry { keep_until_us, state });
                self.by_expiry.insert((keep_until_us, attempt));
                self.refused.push_back(attempt);
                FenceReply::NowFenced
            }
            Standing::MayHaveRun => {
                FenceReply::Settled(Verdict::MayHaveRun(Doubt::AnswerForgotten))
            }
            Standing::Refused => FenceReply::NowFenced,
        }
    }

    /// Forgets settled attempts whose time is over, and sending nodes that have gone silent.
    pub fn expire(&mut self, now_us: u64) {
        while let Some((keep_until_us, attempt)) = self.by_expiry.first().copied() {
            if keep_until_us > now_us {
                break;
            }
            self.by_expiry.pop_first();
            let Some(entry) = self.entries.remove(&attempt) else { continue };
            self.answers_bytes -= entry.state.answer_bytes();
            let floor = self.floors.entry(attempt.origin).or_default();
            floor.used_us = now_us;
            match entry.state {
                State::NotRun(_) => floor.forget_refused(attempt),
                _ => floor.forget_run(attempt),
            }
        }
        for order in [&mut self.answered, &mut self.refused] {
            while order.front().is_some_and(|attempt| !self.entries.contains_key(attempt)) {
                order.pop_front();
            }
        }
    }

    /// Forgets the watermarks of sending nodes that have been silent for long. It goes through all
    /// of them, so once a minute is often enough.
    pub fn forget_silent_origins(&mut self, now_us: u64) {
        let idle_us = self.options.origin_idle_us;
        self.floors.retain(|_, floor| floor.used_us.saturating_add(idle_us) > now_us);
    }

    /// When `expire` next has something to do, in microseconds.
    pub fn next_wake_us(&self) -> Option<u64> {
        self.by_expiry.first().map(|(keep_until_us, _)| *keep_until_us)
    }

    /// How many attempts are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many attempts are undecided or running.
    pub fn in_progress(&self) -> usize {
        self.entries.len() - self.by_expiry.len()
    }

    /// Roughly the memory taken, in bytes.
    pub fn approx_bytes(&self) -> usize {
        self.entries.len() * ENTRY_BYTES + self.floors.len() * FLOOR_BYTES + self.answers_bytes
    }

    /// Puts the oldest refusals behind the watermarks while there is no room for one more attempt.
    /// Says whether there is room now.
    ///
    /// Under overload most attempts are refused; they must not keep others out.
    fn make_room(&mut self) -> bool {
        while self.entries.len() >= self.options.entries_max {
            let Some(attempt) = self.refused.pop_front() else { return false };
            let Some(entry) = self.entries.remove(&attempt) else { continue };
            self.by_expiry.remove(&(entry.keep_until_us, attempt));
            self.refuse_for_good(attempt);
        }
        true
    }

    /// Puts an attempt that did not run behind the watermark of its origin.
    fn refuse_for_good(&mut self, attempt: AttemptId) {
        self.floors.entry(attempt.origin).or_default().forget_refused(attempt);
    }

    /// The watermarks of `origin`; none where it is unknown and there is no room for it.
    fn floor(&mut self, now_us: u64, origin: NodeId) -> Option<&mut Floor> {
        if !self.floors.contains_key(&origin) {
            let is_full = self.floors.len() >= self.options.origins_max;
            if is_full || now_us < self.strangers_refused_until_us {
                let until_us = now_us.saturating_add(self.options.origin_idle_us);
                self.strangers_refused_until_us = until_us;
                return None;
            }
        }
        let floor = self.floors.entry(origin).or_default();
        floor.used_us = now_us;
        Some(floor)
    }

    /// Drops the oldest answers beyond the limit; their attempts stay, as having run.
    fn drop_oldest_answers(&mut self) {
        while self.answers_bytes > self.options.answers_max_bytes {
            let Some(attempt) = self.answered.pop_front() else { return };
            let Some(entry) = self.entries.get_mut(&attempt) else { continue };
            self.answers_bytes -= entry.state.answer_bytes();
            entry.state = State::Doubted(Doubt::AnswerForgotten);
        }
    }
}

/// Remembers one more way back for an attempt that is in progress; the oldest gives way.
fn add_return_path(entry: &mut Entry, way_back: ReturnPath, paths_max: usize) {
    let State::InProgress(ways_back) = &mut entry.state else { return };
    if ways_back.contains(&way_back) {
        return;
    }
    if ways_back.len() >= paths_max {
        ways_back.remove(0);
    }
    ways_back.push(way_back);
}

/// A refusal after which waiting does not help.
fn refusal(reason: RefusalReason) -> Refusal {
    Refusal { reason, retry_after_ms: 0 }
}

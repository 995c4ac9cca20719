//! Records the attempts that a node receives: repeated ones do not run twice, and fenced ones never
//! run.

use std::collections::{BTreeSet, HashMap, VecDeque};

use bon::Builder;

use crate::call::{AttemptId, Doubt, HttpAnswer, NodeId, Refusal, RefusalReason, Verdict};
use crate::clock::US_PER_S;

use super::keyspace::answer_bytes;
use super::watermarks::{WatermarkStatus, Watermarks};

/// The memory of one entry without its answer, in bytes. Measured; see `docs/DESIGN-once.md`.
const ENTRY_BYTES: usize = 200;
/// The memory of the watermarks of one origin, in bytes.
const WATERMARKS_BYTES: usize = 64;

/// The limits of an attempt table.
#[derive(Clone, Copy, Debug, Builder)]
pub struct AttemptTableOptions {
    /// How long a verdict is kept after the attempt's deadline, in microseconds.
    #[builder(default = 10 * US_PER_S)]
    pub retention_us: u64,
    /// The maximum number of recorded attempts. Beyond it the oldest refusals are evicted to the
    /// watermarks; after that, new attempts are refused. The default has room for 10,000 attempts
    /// per second that are kept for 13 s, and takes 26 MB.
    #[builder(default = 131_072)]
    pub entries_max: usize,
    /// The maximum memory of answers, in bytes; the oldest are dropped beyond it.
    #[builder(default = 8 << 20)]
    pub answers_max_bytes: usize,
    /// The maximum number of recorded origins (sending nodes). Beyond it, attempts of unknown
    /// origins are refused.
    #[builder(default = 16_384)]
    pub origins_max: usize,
    /// How long an idle origin is recorded, in microseconds. Must be at least the longest delay of
    /// a frame.
    #[builder(default = 24 * 3_600 * US_PER_S)]
    pub origin_idle_us: u64,
    /// The maximum number of return paths of one attempt.
    #[builder(default = 4)]
    pub return_paths_max: usize,
}

/// The opaque ID of a path on which a verdict is sent back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReturnPath(pub u64);

/// What to do with an attempt that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It is new: decide on it, then call `settle` in every case.
    New,
    /// It is undecided or running; `settle` will return the path of this arrival too.
    InProgress,
    /// It ran or may have run; this is its verdict.
    Repeat(Verdict),
    /// It was refused or fenced earlier, or there is no room for it. It never runs.
    Refused(Refusal),
}

/// The reply to a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceReply {
    /// The attempt is settled; this is its verdict.
    Settled(Verdict),
    /// The attempt is undecided or running; `settle` will return the path of the fence too.
    InProgress,
    /// The attempt has not run, and never will if it arrives later.
    NowFenced,
}

/// The state of one attempt.
#[derive(Debug)]
enum AttemptState {
    /// Undecided or running, with the return paths.
    InProgress(Vec<ReturnPath>),
    /// It ran, and this is its answer.
    Answered(Box<HttpAnswer>),
    /// It did not run.
    NotRun(Refusal),
    /// It may have run, or its answer was dropped.
    Doubted(Doubt),
}

impl AttemptState {
    /// The memory of the answer, in bytes; 0 if there is none.
    fn answer_bytes(&self) -> usize {
        match self {
            Self::Answered(answer) => answer_bytes(answer),
            _ => 0,
        }
    }

    /// The verdict, if there is one yet.
    fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::InProgress(_) => None,
            Self::Answered(answer) => Some(Verdict::Answered(HttpAnswer::clone(answer))),
            Self::NotRun(refusal) => Some(Verdict::NotRun(*refusal)),
            Self::Doubted(doubt) => Some(Verdict::MayHaveRun(*doubt)),
        }
    }
}

/// One recorded attempt.
#[derive(Debug)]
struct Entry {
    /// When it expires once settled, in microseconds.
    keep_until_us: u64,
    /// The state of the attempt.
    state: AttemptState,
}

/// The attempts that arrived at a node or were fenced there, kept until some time after their
/// deadline, and watermarks for those that were removed.
///
/// An attempt that was reported "not run" never runs, and one that may have run is never reported
/// "not run". When the table is full, new attempts are refused; attempts that may have run are
/// never evicted early.
#[derive(Debug)]
pub struct AttemptTable {
    /// The limits.
    options: AttemptTableOptions,
    /// The recorded attempts.
    entries: HashMap<AttemptId, Entry>,
    /// The settled attempts ordered by expiry.
    by_expiry: BTreeSet<(u64, AttemptId)>,
    /// Attempts with an answer, oldest first; some may have been removed since.
    answered: VecDeque<AttemptId>,
    /// Refused attempts, oldest first; some may have been removed since.
    refused: VecDeque<AttemptId>,
    /// The memory of the answers, in bytes.
    answers_bytes: usize,
    /// The watermarks of each origin.
    watermarks: HashMap<NodeId, Watermarks>,
    /// Attempts of unknown origins are refused until this time, in microseconds.
    unknown_origins_refused_until_us: u64,
}

impl AttemptTable {
    /// Creates an empty table.
    pub fn new(options: AttemptTableOptions) -> Self {
        Self {
            options,
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            answered: VecDeque::new(),
            refused: VecDeque::new(),
            answers_bytes: 0,
            watermarks: HashMap::new(),
            unknown_origins_refused_until_us: 0,
        }
    }

    /// Records an attempt that arrives, and decides what to do with it.
    pub fn arrive(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        deadline_us: u64,
        return_path: ReturnPath,
    ) -> Arrival {
        let return_paths_max = self.options.return_paths_max;
        if let Some(entry) = self.entries.get_mut(&attempt) {
            let Some(verdict) = entry.state.verdict() else {
                add_return_path(entry, return_path, return_paths_max);
                return Arrival::InProgress;
            };
            return match verdict {
                Verdict::NotRun(refusal) => Arrival::Refused(refusal),
                verdict => Arrival::Repeat(verdict),
            };
        }
        let Some(watermarks) = self.origin_watermarks(now_us, attempt.origin) else {
            return Arrival::Refused(refusal(RefusalReason::NodeFull));
        };
        match watermarks.status(attempt) {
            WatermarkStatus::New if !self.make_room() => {
                self.refuse_permanently(attempt);
                Arrival::Refused(refusal(RefusalReason::NodeFull))
            }
            WatermarkStatus::New => {
                let state = AttemptState::InProgress(vec![return_path]);
                let keep_until_us = deadline_us.saturating_add(self.options.retention_us);
                self.entries.insert(attempt, Entry { keep_until_us, state });
                Arrival::New
            }
            WatermarkStatus::MayHaveRun => {
                Arrival::Repeat(Verdict::MayHaveRun(Doubt::AnswerForgotten))
            }
            WatermarkStatus::Refused => Arrival::Refused(refusal(RefusalReason::Fenced)),
        }
    }

    /// Records the verdict of an attempt and returns the paths on which to send it.
    ///
    /// Only the first verdict counts: for a later one nothing changes and no paths are returned.
    pub fn settle(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        verdict: &Verdict,
    ) -> Vec<ReturnPath> {
        let Some(entry) = self.entries.get_mut(&attempt) else { return Vec::new() };
        let AttemptState::InProgress(return_paths) = &mut entry.state else { return Vec::new() };
        let return_paths = std::mem::take(return_paths);
        entry.state = match verdict {
            Verdict::Answered(answer) => AttemptState::Answered(Box::new(answer.clone())),
            Verdict::NotRun(refusal) => AttemptState::NotRun(*refusal),
            Verdict::MayHaveRun(doubt) => AttemptState::Doubted(*doubt),
        };
        let keep_min_us = now_us.saturating_add(self.options.retention_us);
        entry.keep_until_us = entry.keep_until_us.max(keep_min_us);
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
        return_paths
    }

    /// Fences an attempt: returns its state, and refuses it permanently if it has not arrived yet.
    ///
    /// `until_us` is the attempt's deadline as known to the sender.
    pub fn fence(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        until_us: u64,
        return_path: ReturnPath,
    ) -> FenceReply {
        let return_paths_max = self.options.return_paths_max;
        if let Some(entry) = self.entries.get_mut(&attempt) {
            let Some(verdict) = entry.state.verdict() else {
                add_return_path(entry, return_path, return_paths_max);
                return FenceReply::InProgress;
            };
            return FenceReply::Settled(verdict);
        }
        // If there is no room for the origin, its attempts are refused for at least the longest
        // delay of a frame, which fences this one as well.
        let Some(watermarks) = self.origin_watermarks(now_us, attempt.origin) else {
            return FenceReply::NowFenced;
        };
        match watermarks.status(attempt) {
            WatermarkStatus::New if !self.make_room() => {
                self.refuse_permanently(attempt);
                FenceReply::NowFenced
            }
            WatermarkStatus::New => {
                let keep_until_us = until_us.max(now_us).saturating_add(self.options.retention_us);
                let state = AttemptState::NotRun(refusal(RefusalReason::Fenced));
                self.entries.insert(attempt, Entry { keep_until_us, state });
                self.by_expiry.insert((keep_until_us, attempt));
                self.refused.push_back(attempt);
                FenceReply::NowFenced
            }
            WatermarkStatus::MayHaveRun => {
                FenceReply::Settled(Verdict::MayHaveRun(Doubt::AnswerForgotten))
            }
            WatermarkStatus::Refused => FenceReply::NowFenced,
        }
    }

    /// Removes the settled attempts that have expired, and raises the watermarks of their origins.
    pub fn expire(&mut self, now_us: u64) {
        while let Some((keep_until_us, attempt)) = self.by_expiry.first().copied() {
            if keep_until_us > now_us {
                break;
            }
            self.by_expiry.pop_first();
            let Some(entry) = self.entries.remove(&attempt) else { continue };
            self.answers_bytes -= entry.state.answer_bytes();
            let watermarks = self.watermarks.entry(attempt.origin).or_default();
            watermarks.last_used_us = now_us;
            match entry.state {
                AttemptState::NotRun(_) => watermarks.mark_refused(attempt),
                _ => watermarks.mark_may_have_run(attempt),
            }
        }
        for queue in [&mut self.answered, &mut self.refused] {
            while queue.front().is_some_and(|attempt| !self.entries.contains_key(attempt)) {
                queue.pop_front();
            }
        }
    }

    /// Removes the watermarks of origins that have been idle for `origin_idle_us`. Scans all
    /// origins; calling it once a minute is enough.
    pub fn expire_idle_origins(&mut self, now_us: u64) {
        let idle_us = self.options.origin_idle_us;
        self.watermarks
            .retain(|_, watermarks| watermarks.last_used_us.saturating_add(idle_us) > now_us);
    }

    /// When `expire` next has work to do, in microseconds.
    pub fn next_wake_us(&self) -> Option<u64> {
        self.by_expiry.first().map(|(keep_until_us, _)| *keep_until_us)
    }

    /// The number of recorded attempts.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no attempt is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of attempts that are undecided or running.
    pub fn in_progress(&self) -> usize {
        self.entries.len() - self.by_expiry.len()
    }

    /// The approximate memory of the table, in bytes.
    pub fn approx_bytes(&self) -> usize {
        self.entries.len() * ENTRY_BYTES
            + self.watermarks.len() * WATERMARKS_BYTES
            + self.answers_bytes
    }

    /// Evicts the oldest refusals to the watermarks until there is room for one more attempt.
    /// Returns whether there is room now.
    ///
    /// Under overload most attempts are refused, and the refusals must not fill the table.
    fn make_room(&mut self) -> bool {
        while self.entries.len() >= self.options.entries_max {
            let Some(attempt) = self.refused.pop_front() else { return false };
            let Some(entry) = self.entries.remove(&attempt) else { continue };
            self.by_expiry.remove(&(entry.keep_until_us, attempt));
            self.refuse_permanently(attempt);
        }
        true
    }

    /// Raises the watermark of the origin above an attempt that did not run.
    fn refuse_permanently(&mut self, attempt: AttemptId) {
        self.watermarks.entry(attempt.origin).or_default().mark_refused(attempt);
    }

    /// Returns the watermarks of `origin`, or `None` if it is unknown and there is no room for it.
    fn origin_watermarks(&mut self, now_us: u64, origin: NodeId) -> Option<&mut Watermarks> {
        if !self.watermarks.contains_key(&origin) {
            let is_full = self.watermarks.len() >= self.options.origins_max;
            if is_full || now_us < self.unknown_origins_refused_until_us {
                let until_us = now_us.saturating_add(self.options.origin_idle_us);
                self.unknown_origins_refused_until_us = until_us;
                return None;
            }
        }
        let watermarks = self.watermarks.entry(origin).or_default();
        watermarks.last_used_us = now_us;
        Some(watermarks)
    }

    /// Drops the oldest answers beyond the limit. Their attempts stay recorded as having run.
    fn drop_oldest_answers(&mut self) {
        while self.answers_bytes > self.options.answers_max_bytes {
            let Some(attempt) = self.answered.pop_front() else { return };
            let Some(entry) = self.entries.get_mut(&attempt) else { continue };
            self.answers_bytes -= entry.state.answer_bytes();
            entry.state = AttemptState::Doubted(Doubt::AnswerForgotten);
        }
    }
}

/// Adds a return path to an attempt in progress; the oldest is dropped if there are too many.
fn add_return_path(entry: &mut Entry, return_path: ReturnPath, return_paths_max: usize) {
    let AttemptState::InProgress(return_paths) = &mut entry.state else { return };
    if return_paths.contains(&return_path) {
        return;
    }
    if return_paths.len() >= return_paths_max {
        return_paths.remove(0);
    }
    return_paths.push(return_path);
}

/// Creates a refusal without a Retry-After.
fn refusal(reason: RefusalReason) -> Refusal {
    Refusal { reason, retry_after_ms: 0 }
}

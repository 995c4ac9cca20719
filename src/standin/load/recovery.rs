//! Measures how long goodput takes to recover after the cause of an overload has ended.

use super::phase::Window;

/// The width of a bucket, in milliseconds.
pub const BUCKET_MS: u64 = 100;
/// Number of buckets over which the good share is averaged, so that single calls have little
/// effect.
const SPAN_BUCKETS: usize = 5;
/// Fraction of the good share before the trigger at which goodput counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Period at the start of the run that is excluded from the good share before the trigger, in
/// milliseconds.
const WARM_UP_MS: u64 = 1_000;

/// Numbers of calls by scheduled time, in buckets of [`BUCKET_MS`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Series {
    /// Calls scheduled in each bucket.
    pub offered: Vec<u64>,
    /// Good calls among those scheduled in each bucket.
    pub good: Vec<u64>,
}

impl Series {
    /// Counts a call that is scheduled at `at_ms` since the start of the run.
    pub fn record(&mut self, at_ms: f64, is_good: bool) {
        let bucket = (at_ms.max(0.0) as u64 / BUCKET_MS) as usize;
        if self.offered.len() <= bucket {
            self.offered.resize(bucket + 1, 0);
            self.good.resize(bucket + 1, 0);
        }
        self.offered[bucket] += 1;
        self.good[bucket] += u64::from(is_good);
    }

    /// The share of good calls in the buckets `from..to`; `None` without calls.
    fn good_share(&self, from: usize, to: usize) -> Option<f64> {
        let to = to.min(self.offered.len());
        if from >= to {
            return None;
        }
        let offered: u64 = self.offered[from..to].iter().sum();
        let good: u64 = self.good[from..to].iter().sum();
        (offered > 0).then(|| good as f64 / offered as f64)
    }

    /// The share of good calls before the trigger, without the first second of the run.
    pub fn share_before(&self, trigger: Window) -> Option<f64> {
        let first = bucket_index(WARM_UP_MS).min(bucket_index(trigger.from_ms));
        self.good_share(first, bucket_index(trigger.from_ms))
    }

    /// Time in milliseconds from the end of the trigger until the good share is back at 95% of its
    /// value before the trigger and stays there until the end of the run.
    ///
    /// Shares are compared instead of counts, so that random variation of arrivals cancels out; the
    /// offered rate must be the same before and after the trigger. `None` if goodput does not
    /// recover, if no calls before the trigger were good, or if the run ends less than 500 ms after
    /// the trigger.
    pub fn recovery_ms(&self, trigger: Window) -> Option<u64> {
        let required_share = self.share_before(trigger)? * RECOVERED_SHARE;
        let end = bucket_index(trigger.to_ms);
        let last = self.offered.len().checked_sub(SPAN_BUCKETS)?;
        if required_share == 0.0 || last < end {
            return None;
        }
        let mut recovered_at = None;
        for from in (end..=last).rev() {
            let reached = self
                .good_share(from, from + SPAN_BUCKETS)
                .is_none_or(|share| share >= required_share);
            if !reached {
                break;
            }
            recovered_at = Some(from);
        }
        recovered_at.map(|bucket| (bucket - end) as u64 * BUCKET_MS)
    }
}

/// The index of the bucket that contains a time.
fn bucket_index(at_ms: u64) -> usize {
    (at_ms / BUCKET_MS) as usize
}

//! How long goodput takes to come back after a trigger of overload.

use super::phase::Window;

/// The width of a bucket, in milliseconds.
pub const BUCKET_MS: u64 = 100;
/// How many buckets one look spans, so that single calls do not decide.
const LOOK_BUCKETS: usize = 5;
/// The share of the goodput before that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// How much of a run's beginning is left out of the goodput before, in milliseconds.
const WARM_UP_MS: u64 = 1_000;

/// Calls by the time they were due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Series {
    /// Calls due in each bucket.
    pub offered: Vec<u64>,
    /// Those of them that came to a good end.
    pub good: Vec<u64>,
}

impl Series {
    /// Counts a call.
    pub fn add(&mut self, at_ms: f64, good: bool) {
        let bucket = (at_ms.max(0.0) as u64 / BUCKET_MS) as usize;
        if self.offered.len() <= bucket {
            self.offered.resize(bucket + 1, 0);
            self.good.resize(bucket + 1, 0);
        }
        self.offered[bucket] += 1;
        self.good[bucket] += u64::from(good);
    }

    /// The share of good calls among those due from one bucket to another; none without calls.
    fn share(&self, from: usize, to: usize) -> Option<f64> {
        let to = to.min(self.offered.len());
        if from >= to {
            return None;
        }
        let offered: u64 = self.offered[from..to].iter().sum();
        let good: u64 = self.good[from..to].iter().sum();
        (offered > 0).then(|| good as f64 / offered as f64)
    }

    /// The share of good calls before the trigger, without the run's first second.
    pub fn share_before(&self, trigger: Window) -> Option<f64> {
        let warm = bucket_of(WARM_UP_MS).min(bucket_of(trigger.from_ms));
        self.share(warm, bucket_of(trigger.from_ms))
    }

    /// How long after the trigger's end the share of good calls is back to 95% of its share before
    /// and stays there until the end of the run, in milliseconds.
    ///
    /// Shares, not counts, are compared, so that the chance in arrivals falls out; the rate after the
    /// trigger has to be the one before. None where it does not come back, or where either side has
    /// no calls.
    pub fn recovery_ms(&self, trigger: Window) -> Option<u64> {
        let wanted = self.share_before(trigger)? * RECOVERED_SHARE;
        let end = bucket_of(trigger.to_ms);
        let last = self.offered.len().checked_sub(LOOK_BUCKETS)?;
        if wanted == 0.0 || last < end {
            return None;
        }
        let mut recovered_at = None;
        for from in (end..=last).rev() {
            let reached = self.share(from, from + LOOK_BUCKETS).is_none_or(|share| share >= wanted);
            if !reached {
                break;
            }
            recovered_at = Some(from);
        }
        recovered_at.map(|bucket| (bucket - end) as u64 * BUCKET_MS)
    }
}

/// The bucket a time falls into.
fn bucket_of(at_ms: u64) -> usize {
    (at_ms / BUCKET_MS) as usize
}

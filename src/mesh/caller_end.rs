//! The end of the process that has accepted a request, and the time by which a waiting request has to
//! begin so that its answer arrives before it.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Time that is left to a run, as a multiple of the mean run time.
const RUN_TIME_FACTOR: u32 = 3;

/// When a process that is about to exit needs its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndTimes {
    /// When a waiting request has to begin at the latest.
    pub begin_by: Instant,
    /// When the process exits.
    pub ends_at: Instant,
}

/// The end of a process, once it is known.
#[derive(Debug, Default)]
pub struct CallerEnd {
    times: Cell<Option<EndTimes>>,
    announced: Notify,
}

impl CallerEnd {
    /// Announces the end of the process.
    pub fn announce(&self, times: EndTimes) {
        self.times.set(Some(times));
        self.announced.notify_waiters();
    }

    /// The announced end, if any.
    pub fn times(&self) -> Option<EndTimes> {
        self.times.get()
    }

    /// Waits until a request that takes `mean_run` would most likely not be answered in time.
    pub async fn is_too_late(&self, mean_run: Duration) {
        loop {
            let announced = self.announced.notified();
            let Some(EndTimes { begin_by, ends_at }) = self.times.get() else {
                announced.await;
                continue;
            };
            let run_by = ends_at.checked_sub(mean_run * RUN_TIME_FACTOR).unwrap_or(begin_by);
            return sleep_until(begin_by.min(run_by)).await;
        }
    }
}

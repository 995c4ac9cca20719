//! Counts the answers that callers have not read completely, so that a stopping node can wait for
//! them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Length from which an answer is counted, in bytes. A shorter one fits into the socket's buffer, from
/// which the kernel sends it even after the process has exited.
const COUNTED_MIN_BYTES: usize = 16 * 1024;

/// The answers that are still being written to callers.
#[derive(Debug, Default)]
pub struct UnsentAnswers(Arc<AtomicUsize>);

impl UnsentAnswers {
    /// Number of answers.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts an answer until the last reference to the returned body is dropped.
    pub fn track(&self, body: &Bytes) -> Bytes {
        if body.len() < COUNTED_MIN_BYTES {
            return body.clone();
        }
        self.0.fetch_add(1, Ordering::Relaxed);
        Bytes::from_owner(UnsentAnswer { body: body.clone(), count: Arc::clone(&self.0) })
    }
}

struct UnsentAnswer {
    body: Bytes,
    count: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for UnsentAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for UnsentAnswer {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

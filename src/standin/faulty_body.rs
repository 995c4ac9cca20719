//! Response bodies that abort or truncate the response, for fault injection.

use std::future::Future;
use std::io::{Result, SeekFrom};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncSeek, ReadBuf};
use tokio::time::{Sleep, sleep};

/// How long a truncated body waits before it ends, in milliseconds. The server drops bytes that it
/// has not sent yet when a body ends early.
const FLUSH_MS: u64 = 20;

/// A body that unwinds the task that sends the response, so that the server closes the connection
/// without sending a byte.
///
/// Rocket offers no other way to drop a connection from a handler. It determines the size of a body
/// of unknown length by seeking, before it sends the status line.
pub(super) struct AbortedBody;

impl AsyncRead for AbortedBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl AsyncSeek for AbortedBody {
    fn start_seek(self: Pin<&mut Self>, _: SeekFrom) -> Result<()> {
        // Unwinds without calling the panic hook, so that nothing is printed.
        std::panic::resume_unwind(Box::new("the connection is closed on purpose"))
    }

    fn poll_complete(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<u64>> {
        Poll::Ready(Ok(0))
    }
}

/// A body that ends before its announced length.
pub(super) struct TruncatedBody {
    /// The bytes to send.
    bytes: Vec<u8>,
    /// How many of them have been sent.
    sent: usize,
    /// Delay before the end of the body, so that the server sends the bytes first.
    flush_delay: Option<Pin<Box<Sleep>>>,
}

impl TruncatedBody {
    /// A body that ends after these bytes.
    pub(super) fn new(bytes: Vec<u8>) -> Self {
        Self { bytes, sent: 0, flush_delay: None }
    }
}

impl AsyncRead for TruncatedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let length = buffer.remaining().min(self.bytes.len() - self.sent);
        if length > 0 {
            buffer.put_slice(&self.bytes[self.sent..self.sent + length]);
            self.sent += length;
            return Poll::Ready(Ok(()));
        }
        let delay = || Box::pin(sleep(Duration::from_millis(FLUSH_MS)));
        self.flush_delay.get_or_insert_with(delay).as_mut().poll(context).map(Ok)
    }
}

impl AsyncSeek for TruncatedBody {
    fn start_seek(self: Pin<&mut Self>, _: SeekFrom) -> Result<()> {
        Err(std::io::ErrorKind::Unsupported.into())
    }

    fn poll_complete(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<u64>> {
        Poll::Ready(Ok(0))
    }
}

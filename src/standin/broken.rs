//! Bodies that break a response on purpose.

use std::future::Future;
use std::io::{Result, SeekFrom};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncSeek, ReadBuf};
use tokio::time::{Sleep, sleep};

/// How long the first part of a cut body is given to be sent; the server drops what it still holds
/// when a body ends early.
const FLUSH_MS: u64 = 20;

/// Ends the task that would have sent the response, so that the server closes the connection.
///
/// The library offers no other way to drop a connection from a handler. It asks a body of unknown
/// length for its size before it sends the status line, and the size is found by seeking.
pub(super) struct Unsent;

impl AsyncRead for Unsent {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl AsyncSeek for Unsent {
    fn start_seek(self: Pin<&mut Self>, _: SeekFrom) -> Result<()> {
        // Unwinds without the panic hook: this is meant, and nothing should be printed.
        std::panic::resume_unwind(Box::new("the connection is closed on purpose"))
    }

    fn poll_complete(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<u64>> {
        Poll::Ready(Ok(0))
    }
}

/// A body that ends before the length that was announced.
pub(super) struct Cut {
    /// What is sent.
    bytes: Vec<u8>,
    /// How much of it was sent.
    sent: usize,
    /// Runs out once the bytes are on their way.
    flushed: Option<Pin<Box<Sleep>>>,
}

impl Cut {
    /// A body that ends after these bytes.
    pub(super) fn new(bytes: Vec<u8>) -> Self {
        Self { bytes, sent: 0, flushed: None }
    }
}

impl AsyncRead for Cut {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let part = buffer.remaining().min(self.bytes.len() - self.sent);
        if part > 0 {
            buffer.put_slice(&self.bytes[self.sent..self.sent + part]);
            self.sent += part;
            return Poll::Ready(Ok(()));
        }
        let pause = || Box::pin(sleep(Duration::from_millis(FLUSH_MS)));
        self.flushed.get_or_insert_with(pause).as_mut().poll(context).map(Ok)
    }
}

impl AsyncSeek for Cut {
    fn start_seek(self: Pin<&mut Self>, _: SeekFrom) -> Result<()> {
        Err(std::io::ErrorKind::Unsupported.into())
    }

    fn poll_complete(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<u64>> {
        Poll::Ready(Ok(0))
    }
}

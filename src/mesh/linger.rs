//! A stream whose closing lets the last answer arrive.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// How long the peer may take to close a connection that the node has closed.
const LINGER: Duration = Duration::from_secs(2);

/// A TCP stream that, once shut down, reads and drops what the peer still sends until it closes.
///
/// With requests behind the last one unread, closing at once would reset the connection, and the
/// reset would take back an answer that has not been read yet.
#[derive(Debug)]
pub struct LingeringStream {
    stream: TcpStream,
    /// When the peer is cut off; set once the node's side is closed.
    cut_off: Option<Pin<Box<Sleep>>>,
}

impl LingeringStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, cut_off: None }
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.cut_off.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.cut_off = Some(Box::pin(sleep(LINGER)));
        }
        let mut scratch = [0; 4096];
        loop {
            if self.cut_off.as_mut().is_some_and(|at| at.as_mut().poll(context).is_ready()) {
                return Poll::Ready(Ok(()));
            }
            let mut rest = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut rest))?;
            if rest.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

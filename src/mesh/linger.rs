//! A TCP stream that closes gracefully and can detect that its peer has disconnected.

use std::future::pending;
use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Sleep, sleep};

/// How long the peer may take to close a connection that the node has closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// A TCP stream that, after shutdown, discards incoming bytes until the peer closes it.
///
/// Closing a socket with unread bytes resets the connection, and a reset can destroy an answer that
/// the peer has not read yet.
#[derive(Debug)]
pub struct LingeringStream {
    reader: OwnedReadHalf,
    writer: Rc<OwnedWriteHalf>,
    /// Timer after which the peer is disconnected; set once the node has closed its side.
    linger_timer: Option<Pin<Box<Sleep>>>,
}

impl LingeringStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Self {
        let (reader, writer) = stream.into_split();
        Self { reader, writer: Rc::new(writer), linger_timer: None }
    }

    /// Returns a watch on the peer's side of the connection.
    pub fn peer(&self) -> PeerWatch {
        PeerWatch(Rc::clone(&self.writer))
    }
}

/// Detects that the peer of a stream has disconnected, even while there are unread bytes.
#[derive(Clone, Debug)]
pub struct PeerWatch(Rc<OwnedWriteHalf>);

impl PeerWatch {
    /// Waits until the peer has closed or reset the connection.
    pub async fn closed(&self) {
        // A socket with unread bytes stays readable, so waiting for readability would return at
        // once.
        match self.0.ready(Interest::PRIORITY).await {
            Ok(ready) if !ready.is_read_closed() => pending().await,
            Ok(_) | Err(_) => {}
        }
    }

    /// Whether the runtime has detected that the peer has closed or reset the connection.
    pub fn has_closed(&self) -> bool {
        pin!(self.closed()).poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.reader).poll_read(context, buffer)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_write_with(&self.writer, context, |stream| stream.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_timer.is_none() {
            SockRef::from((*self.writer).as_ref()).shutdown(Shutdown::Write)?;
            self.linger_timer = Some(Box::pin(sleep(LINGER_TIMEOUT)));
        }
        let mut scratch = [0; 4096];
        loop {
            if self.linger_timer.as_mut().is_some_and(|at| at.as_mut().poll(context).is_ready()) {
                return Poll::Ready(Ok(()));
            }
            let mut discarded = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut self.reader).poll_read(context, &mut discarded))?;
            if discarded.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write_with(&self.writer, context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

/// Calls `write` once the socket is writable.
fn poll_write_with(
    writer: &OwnedWriteHalf,
    context: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    let stream: &TcpStream = writer.as_ref();
    loop {
        ready!(stream.poll_write_ready(context))?;
        match write(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}

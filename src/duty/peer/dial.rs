//! Opens sockets and keeps them receiving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nng::options::{
    Options, ReconnectMaxTime, ReconnectMinTime, RecvBufferSize, RecvMaxSize, SendBufferSize,
};
use nng::{Aio, AioResult, Message as Frame, Pipe, PipeEvent, Protocol, RawSocket, Socket};

use super::link::Link;
use super::options::PeerOptions;
use super::shared::Shared;

/// How soon nng tries again while a connection is being made.
const RETRY_MIN: Duration = Duration::from_millis(10);
/// The longest wait of nng between two tries.
const RETRY_MAX: Duration = Duration::from_millis(100);
/// Received frames that nng may hold while the sink is busy.
const RECEIVE_RING_ENTRIES: i32 = 64;
/// Bytes that nng counts in with a message beside the encoded one: header words and the kind.
const ENVELOPE_MAX_BYTES: usize = 64;

/// A socket, and the operation that keeps it receiving.
pub(super) struct OpenSocket {
    /// The socket.
    pub(super) socket: Socket,
    /// The operation; it ends when the socket is closed.
    _receiving: Aio,
}

/// Opens a raw socket with the limits of `options`.
pub(super) fn raw_socket(protocol: Protocol, options: &PeerOptions) -> nng::Result<Socket> {
    let socket = RawSocket::new(protocol)?.socket;
    socket.set_opt::<RecvMaxSize>(options.message_max_bytes + ENVELOPE_MAX_BYTES)?;
    socket.set_opt::<SendBufferSize>(options.ring_entries as i32)?;
    socket.set_opt::<RecvBufferSize>(RECEIVE_RING_ENTRIES)?;
    Ok(socket)
}

/// Begins to receive; `on_frame` is called for one frame after the other.
pub(super) fn receive(
    socket: Socket,
    on_frame: impl Fn(Frame) + Send + Sync + 'static,
) -> nng::Result<OpenSocket> {
    let source = socket.clone();
    let aio = Aio::new(move |aio, result| {
        match result {
            AioResult::Recv(Ok(frame)) => on_frame(frame),
            AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => return,
            AioResult::Recv(Err(_)) | AioResult::Send(_) | AioResult::Sleep(_) => (),
        }
        // This fails only when the socket has been closed, which is the end.
        let _ = source.recv_async(&aio);
    })?;
    socket.recv_async(&aio)?;
    Ok(OpenSocket { socket, _receiving: aio })
}

/// Opens a socket for one connection to the peer of `link` and begins to connect. What happens is
/// told to the link, which ignores it when it has gone on to another generation.
pub(super) fn dial(
    shared: &Arc<Shared>,
    link: &Arc<Link>,
    generation: u64,
) -> nng::Result<OpenSocket> {
    let socket = raw_socket(Protocol::Req0, &shared.options)?;
    socket.set_opt::<ReconnectMinTime>(Some(RETRY_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RETRY_MAX))?;
    watch_pipe(&socket, shared.clone(), link.clone(), generation)?;
    let open = {
        let (shared, link) = (shared.clone(), link.clone());
        receive(socket, move |frame| link.on_frame(&shared, generation, frame))?
    };
    open.socket.dial_async(&url(link.peer()))?;
    Ok(open)
}

/// Tells the link when its connection opens and closes, and lets the socket have only one in its
/// life: otherwise what waits in the socket would go out on the next connection by itself.
fn watch_pipe(
    socket: &Socket,
    shared: Arc<Shared>,
    link: Arc<Link>,
    generation: u64,
) -> nng::Result<()> {
    let had_pipe = AtomicBool::new(false);
    socket.pipe_notify(move |pipe: Pipe, event| match event {
        PipeEvent::AddPre if had_pipe.swap(true, Ordering::SeqCst) => pipe.close(),
        PipeEvent::AddPost => link.on_open(&shared, generation),
        PipeEvent::RemovePost => link.on_closed(&shared, generation),
        _ => (),
    })
}

/// How nng writes an address.
pub(super) fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}

//! Opens nng sockets, dials peers and runs the receive loop.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nng::options::{
    Options, ReconnectMaxTime, ReconnectMinTime, RecvBufferSize, RecvMaxSize, SendBufferSize,
};
use nng::{Aio, AioResult, Message as Frame, Pipe, PipeEvent, Protocol, RawSocket, Socket};

use super::link::Link;
use super::options::PeerOptions;
use super::shared::{Shared, lock};

/// nng waits a random part of this time before it reconnects a socket by itself: long enough that
/// the socket is closed first.
const RECONNECT_WAIT: Duration = Duration::from_secs(86_400);
/// Received frames that nng may buffer while the sink is busy.
const RECEIVE_BUFFER_ENTRIES: i32 = 64;
/// Bytes that nng counts as part of a message besides the encoded one: header words and the kind.
const ENVELOPE_MAX_BYTES: usize = 64;

/// A socket that keeps receiving until it is closed.
pub(super) struct OpenSocket {
    /// The socket.
    pub(super) socket: Socket,
    /// The asynchronous receive operation.
    receiving: Aio,
    /// Locked while a receive operation is started; once true, no new one is started.
    is_closing: Arc<Mutex<bool>>,
}

impl OpenSocket {
    /// Stops receiving, waits until the callback has returned, and closes the socket.
    ///
    /// nng frees the queue of a closed socket even if a receive operation was started just then,
    /// and aborts the process when that operation ends. So none may be pending at the close.
    pub(super) fn close(&self) {
        *lock(&self.is_closing) = true;
        self.receiving.cancel();
        self.receiving.wait();
        self.socket.close();
    }
}

/// Opens a raw socket with the limits from `options`.
pub(super) fn raw_socket(protocol: Protocol, options: &PeerOptions) -> nng::Result<Socket> {
    let socket = RawSocket::new(protocol)?.socket;
    socket.set_opt::<RecvMaxSize>(options.message_max_bytes + ENVELOPE_MAX_BYTES)?;
    socket.set_opt::<SendBufferSize>(options.ring_entries as i32)?;
    socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER_ENTRIES)?;
    Ok(socket)
}

/// Starts receiving; `on_frame` is called for one frame at a time.
pub(super) fn receive(
    socket: Socket,
    on_frame: impl Fn(Frame) + Send + Sync + 'static,
) -> nng::Result<OpenSocket> {
    let source = socket.clone();
    let is_closing = Arc::new(Mutex::new(false));
    let closing_flag = is_closing.clone();
    let receiving = Aio::new(move |aio, result| {
        if let AioResult::Recv(Ok(frame)) = result {
            on_frame(frame);
        }
        let is_closing = lock(&closing_flag);
        if !*is_closing {
            // This fails only if nng is out of memory or the socket is closed.
            let _ = source.recv_async(&aio);
        }
    })?;
    socket.recv_async(&receiving)?;
    Ok(OpenSocket { socket, receiving, is_closing })
}

/// Opens a socket for one connection to the peer of `link` and starts connecting. Events are
/// passed to the link, which ignores them once it has moved on to another generation.
pub(super) fn dial(
    shared: &Arc<Shared>,
    link: &Arc<Link>,
    generation: u64,
) -> nng::Result<OpenSocket> {
    let socket = raw_socket(Protocol::Req0, &shared.options)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_WAIT))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_WAIT))?;
    register_pipe_callback(&socket, shared.clone(), link.clone(), generation)?;
    let open = {
        let (shared, link) = (shared.clone(), link.clone());
        receive(socket, move |frame| link.on_frame(&shared, generation, frame))?
    };
    open.socket.dial_async(&url(link.peer()))?;
    Ok(open)
}

/// Notifies the link when its connection opens and closes, and allows the socket only one
/// connection in its lifetime: nng would send whatever is still queued on the next connection.
fn register_pipe_callback(
    socket: &Socket,
    shared: Arc<Shared>,
    link: Arc<Link>,
    generation: u64,
) -> nng::Result<()> {
    let has_had_pipe = AtomicBool::new(false);
    socket.pipe_notify(move |pipe: Pipe, event| match event {
        PipeEvent::AddPre if has_had_pipe.swap(true, Ordering::SeqCst) => pipe.close(),
        PipeEvent::AddPost => link.on_open(&shared, generation),
        PipeEvent::RemovePost => link.on_closed(&shared, generation),
        _ => (),
    })
}

/// The nng URL of an address.
pub(super) fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}

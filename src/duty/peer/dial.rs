//! Opens sockets and keeps them receiving.

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

/// How long nng waits before it connects a socket again by itself, or rather any random part of it:
/// so long that the socket has been closed before.
const RECONNECT_WAIT: Duration = Duration::from_secs(86_400);
/// Received frames that nng may hold while the sink is busy.
const RECEIVE_RING_ENTRIES: i32 = 64;
/// Bytes that nng counts in with a message beside the encoded one: header words and the kind.
const ENVELOPE_MAX_BYTES: usize = 64;

/// A socket that keeps receiving until it is closed.
pub(super) struct OpenSocket {
    /// The socket.
    pub(super) socket: Socket,
    /// The operation that receives.
    receiving: Aio,
    /// Held while a new receive operation is begun; true when none may be begun any more.
    is_closing: Arc<Mutex<bool>>,
}

impl OpenSocket {
    /// Ends the receiving, waits until the callback has returned, and closes the socket.
    ///
    /// nng frees the queue of a closed socket even if a receive operation was begun at that moment,
    /// and ends the process when that operation is ended later. So no operation may be under way.
    pub(super) fn close(&self) {
        *lock(&self.is_closing) = true;
        self.receiving.cancel();
        self.receiving.wait();
        self.socket.close();
    }
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
    let is_closing = Arc::new(Mutex::new(false));
    let gate = is_closing.clone();
    let receiving = Aio::new(move |aio, result| {
        if let AioResult::Recv(Ok(frame)) = result {
            on_frame(frame);
        }
        let is_closing = lock(&gate);
        if !*is_closing {
            // This fails only when nng is out of memory or the socket is closed.
            let _ = source.recv_async(&aio);
        }
    })?;
    socket.recv_async(&receiving)?;
    Ok(OpenSocket { socket, receiving, is_closing })
}

/// Opens a socket for one connection to the peer of `link` and begins to connect. What happens is
/// told to the link, which ignores it when it has gone on to another generation.
pub(super) fn dial(
    shared: &Arc<Shared>,
    link: &Arc<Link>,
    generation: u64,
) -> nng::Result<OpenSocket> {
    let socket = raw_socket(Protocol::Req0, &shared.options)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_WAIT))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_WAIT))?;
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

//! Transport for messages between nodes, built on nng.
//!
//! Each peer that messages are sent to has one outbound connection (`link`) with its own raw REQ
//! socket; all inbound connections share one raw REP socket (`inbound`). Raw sockets never resend.
//! When a connection closes or goes silent, its socket is closed too, so that nothing queued in it
//! can be sent later. The `upkeep` thread closes the socket and opens the next one.

mod dial;
mod envelope;
mod error;
mod event;
mod inbound;
mod link;
pub mod liveness;
mod options;
pub mod redial;
mod shared;
mod upkeep;
pub mod window;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use crate::call::Message;
use crate::clock::Clock;

pub use envelope::EnvelopeError;
pub use error::{PeerError, SendError};
pub use event::{PeerEvent, ReturnPath};
pub use options::PeerOptions;

use shared::Shared;

/// The running transport. Dropping it stops it.
pub struct PeerTransport {
    /// State shared by handles, callbacks and the upkeep thread.
    shared: Arc<Shared>,
    /// The thread that monitors the connections, until it has been joined.
    upkeep: Option<JoinHandle<()>>,
    /// The listening address, with the port that the system chose.
    address: SocketAddr,
}

/// Sends messages to other nodes. No method blocks.
#[derive(Clone)]
pub struct PeerHandle {
    /// State shared by handles, callbacks and the upkeep thread.
    shared: Arc<Shared>,
}

/// Starts listening and monitoring the connections.
///
/// `sink` receives every event, concurrently from nng's threads and the upkeep thread. It must not
/// block, and must not call [`PeerTransport::stop`].
///
/// # Errors
///
/// [`PeerError`] when an option is out of range, the address cannot be listened on, or a thread
/// cannot be started.
pub fn start(
    options: PeerOptions,
    clock: Clock,
    sink: impl Fn(PeerEvent) + Send + Sync + 'static,
) -> Result<PeerTransport, PeerError> {
    let (shared, wake_receiver) = Shared::new(options, clock, Box::new(sink))?;
    let address = inbound::listen(&shared)?;
    let upkeep = upkeep::spawn(shared.clone(), wake_receiver)?;
    Ok(PeerTransport { shared, upkeep: Some(upkeep), address })
}

impl PeerTransport {
    /// A handle to send with.
    pub fn handle(&self) -> PeerHandle {
        PeerHandle { shared: self.shared.clone() }
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replies accepted for sending that their receivers have not acknowledged.
    pub fn unacknowledged_replies(&self) -> u64 {
        self.shared.inbound.unacknowledged()
    }

    /// Closes all connections and joins the thread. The sink is not called afterwards.
    pub fn stop(mut self) {
        self.stop_once();
    }

    /// Stops once; later calls do nothing.
    fn stop_once(&mut self) {
        let Some(upkeep) = self.upkeep.take() else { return };
        self.shared.request_stop();
        // An error here only means that the thread panicked, which was logged then.
        let _ = upkeep.join();
        self.shared.inbound.close();
    }
}

impl Drop for PeerTransport {
    fn drop(&mut self) {
        self.stop_once();
    }
}

impl PeerHandle {
    /// Opens a connection to `peer` in advance, unless there is one.
    pub fn connect(&self, peer: SocketAddr) {
        self.shared.link(peer);
    }

    /// Sends a message to `peer`, connecting first if necessary.
    ///
    /// # Errors
    ///
    /// [`SendError`] when nothing has been sent and nothing will be. A message accepted while the
    /// connection was still being established may be reported later by [`PeerEvent::Unsent`].
    pub fn send(&self, peer: SocketAddr, message: &Message) -> Result<(), SendError> {
        self.shared.ensure_running()?;
        let frame = self.shared.wrap(message)?;
        let link = self.shared.link(peer);
        link.send(&self.shared, message, frame)
    }

    /// Sends a message on the connection that a request arrived on.
    ///
    /// # Errors
    ///
    /// [`SendError`] when nothing has been sent and nothing will be.
    pub fn reply(&self, path: ReturnPath, message: &Message) -> Result<(), SendError> {
        self.shared.ensure_running()?;
        let frame = self.shared.wrap(message)?;
        self.shared.inbound.reply(path, frame)
    }

    /// Closes the connection to `peer` and does not reconnect until something is sent to it again.
    pub fn disconnect(&self, peer: SocketAddr) {
        self.shared.disconnect(peer);
    }
}

//! Carries messages between nodes over nng.
//!
//! Each peer that is sent to has one connection (`link`), a raw REQ socket of its own; everything
//! that comes in arrives at one raw REP socket (`paths`). Raw sockets repeat nothing. A connection
//! that closes or goes silent is given up together with its socket, so that nothing queued in it can
//! leave later; the thread `upkeep` does this and opens the next one.

mod dial;
mod envelope;
mod error;
mod event;
mod link;
pub mod liveness;
mod options;
mod paths;
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

/// The running transport. It stops when it is dropped.
pub struct PeerDuty {
    /// What handles, callbacks and the upkeep thread have in common.
    shared: Arc<Shared>,
    /// The thread that watches the connections, until it has been joined.
    upkeep: Option<JoinHandle<()>>,
    /// Where this node listens, with the port that the system chose.
    address: SocketAddr,
}

/// Sends messages to other nodes. No method blocks.
#[derive(Clone)]
pub struct PeerHandle {
    /// What handles, callbacks and the upkeep thread have in common.
    shared: Arc<Shared>,
}

/// Starts to listen and to watch the connections.
///
/// `sink` is told everything that happens, on nng's threads and on the upkeep thread, several at a
/// time. It must not block, and must not call [`PeerDuty::stop`].
///
/// # Errors
///
/// [`PeerError`] when the address cannot be listened on, or a thread cannot be started.
pub fn start(
    options: PeerOptions,
    clock: Clock,
    sink: impl Fn(PeerEvent) + Send + Sync + 'static,
) -> Result<PeerDuty, PeerError> {
    let (shared, wakes) = Shared::new(options, clock, Box::new(sink))?;
    let address = paths::listen(&shared)?;
    let upkeep = upkeep::spawn(shared.clone(), wakes)?;
    Ok(PeerDuty { shared, upkeep: Some(upkeep), address })
}

impl PeerDuty {
    /// A handle to send with.
    pub fn handle(&self) -> PeerHandle {
        PeerHandle { shared: self.shared.clone() }
    }

    /// Where this node listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replies that have been handed over but that their receivers have not confirmed.
    pub fn unconfirmed_replies(&self) -> u64 {
        self.shared.paths.unconfirmed()
    }

    /// Closes all connections and joins the thread. Afterwards the sink is not called again.
    pub fn stop(mut self) {
        self.shut();
    }

    /// Stops once; later calls do nothing.
    fn shut(&mut self) {
        let Some(upkeep) = self.upkeep.take() else { return };
        self.shared.begin_stop();
        // The thread has no more to say than that it panicked, which it has already logged.
        let _ = upkeep.join();
        self.shared.paths.close();
    }
}

impl Drop for PeerDuty {
    fn drop(&mut self) {
        self.shut();
    }
}

impl PeerHandle {
    /// Opens a connection to `peer`, unless there is one, so that a later message finds it ready.
    pub fn connect(&self, peer: SocketAddr) {
        self.shared.link(peer);
    }

    /// Sends a message to `peer`, connecting first where necessary.
    ///
    /// # Errors
    ///
    /// [`SendError`] when nothing has left this process and nothing will. A message that was taken
    /// while the connection was still being made may be given back by [`PeerEvent::Unsent`].
    pub fn send(&self, peer: SocketAddr, message: &Message) -> Result<(), SendError> {
        self.shared.check_running()?;
        let frame = self.shared.wrap(message)?;
        let link = self.shared.link(peer);
        link.send(&self.shared, message, frame)
    }

    /// Sends a message back to where a request came from.
    ///
    /// # Errors
    ///
    /// [`SendError`] when nothing has left this process and nothing will.
    pub fn reply(&self, path: ReturnPath, message: &Message) -> Result<(), SendError> {
        self.shared.check_running()?;
        let frame = self.shared.wrap(message)?;
        self.shared.paths.reply(path, frame)
    }

    /// Closes the connection to `peer` and makes no new one until something is sent to it again.
    pub fn forget(&self, peer: SocketAddr) {
        self.shared.forget(peer);
    }
}

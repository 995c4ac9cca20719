//! What handles, nng's callbacks and the upkeep thread have in common.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use crossbeam_channel::{Receiver, Sender, bounded};
use nng::Message as Frame;

use super::envelope;
use super::error::{PeerError, SendError};
use super::event::PeerEvent;
use super::link::Link;
use super::options::PeerOptions;
use super::paths::Paths;
use super::redial::Redial;
use crate::call::{Message, codec};
use crate::clock::Clock;

/// Is told everything that happens.
pub(super) type Sink = Box<dyn Fn(PeerEvent) + Send + Sync>;

/// What handles, nng's callbacks and the upkeep thread have in common.
pub(super) struct Shared {
    /// The settings.
    pub(super) options: PeerOptions,
    /// The time.
    pub(super) clock: Clock,
    /// The connections that other nodes made.
    pub(super) paths: Paths,
    /// The connections made to other nodes.
    links: RwLock<HashMap<SocketAddr, Arc<Link>>>,
    /// Connections that are no longer wanted, for the upkeep thread to close.
    forgotten: Mutex<Vec<Arc<Link>>>,
    /// Wakes the upkeep thread; one waiting wake is enough.
    wake: Sender<()>,
    /// Whether the transport has been told to stop.
    stopping: AtomicBool,
    /// Is told everything that happens. No lock may be held while it is called.
    sink: Sink,
}

impl Shared {
    /// Checks the settings and opens the socket for incoming connections, not listening yet.
    pub(super) fn new(
        options: PeerOptions,
        clock: Clock,
        sink: Sink,
    ) -> Result<(Arc<Self>, Receiver<()>), PeerError> {
        options.check()?;
        let paths = Paths::new(&options)
            .map_err(|cause| PeerError::Listen { listen: options.listen, cause })?;
        let (wake, wakes) = bounded(1);
        let shared = Self {
            options,
            clock,
            paths,
            links: RwLock::default(),
            forgotten: Mutex::default(),
            wake,
            stopping: AtomicBool::new(false),
            sink,
        };
        Ok((Arc::new(shared), wakes))
    }

    /// Reports an event. No lock may be held.
    pub(super) fn emit(&self, event: PeerEvent) {
        (self.sink)(event);
    }

    /// Makes the upkeep thread look at everything now.
    pub(super) fn wake(&self) {
        // When a wake is waiting already, that one will do.
        let _ = self.wake.try_send(());
    }

    /// Tells the upkeep thread to close everything and end.
    pub(super) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.wake();
    }

    /// Whether the transport has been told to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Refuses to send once the transport has been told to stop.
    pub(super) fn check_running(&self) -> Result<(), SendError> {
        if self.is_stopping() {
            return Err(SendError::Stopped);
        }
        Ok(())
    }

    /// Encodes and wraps a message.
    pub(super) fn wrap(&self, message: &Message) -> Result<Frame, SendError> {
        let encoded = codec::encode(message, self.options.body_max_bytes)?;
        let max_bytes = self.options.message_max_bytes;
        if encoded.len() > max_bytes {
            return Err(SendError::TooLong { bytes: encoded.len(), max_bytes });
        }
        Ok(envelope::wrap_message(&encoded))
    }

    /// The connection to `peer`; where there is none, the upkeep thread is told to make one.
    pub(super) fn link(&self, peer: SocketAddr) -> Arc<Link> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&peer) {
            return link.clone();
        }
        drop(links);
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let link = links.entry(peer).or_insert_with(|| Arc::new(self.new_link(peer))).clone();
        drop(links);
        self.wake();
        link
    }

    /// A connection to `peer` that has not been made yet.
    fn new_link(&self, peer: SocketAddr) -> Link {
        let options = &self.options;
        let redial = Redial::new(options.node, options.redial_after_ms, options.redial_max_ms);
        Link::new(peer, redial)
    }

    /// Takes the connection to `peer` out of use.
    pub(super) fn forget(&self, peer: SocketAddr) {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let Some(link) = links.remove(&peer) else { return };
        drop(links);
        lock(&self.forgotten).push(link);
        self.wake();
    }

    /// The connections to be closed for good.
    pub(super) fn take_forgotten(&self) -> Vec<Arc<Link>> {
        std::mem::take(&mut *lock(&self.forgotten))
    }

    /// All connections in use.
    pub(super) fn all_links(&self) -> Vec<Arc<Link>> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.values().cloned().collect()
    }
}

/// Locks; what a panicking thread left behind is used as it is, since a panic in a callback of nng
/// ends the process anyway.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

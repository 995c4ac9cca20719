//! State shared by handles, nng's callbacks and the upkeep thread.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use crossbeam_channel::{Receiver, Sender, bounded};
use nng::Message as Frame;

use super::envelope;
use super::error::{PeerError, SendError};
use super::event::PeerEvent;
use super::inbound::InboundConnections;
use super::link::Link;
use super::options::PeerOptions;
use super::redial::RedialBackoff;
use crate::call::{Message, codec};
use crate::clock::Clock;

/// Receives every event.
pub(super) type EventSink = Box<dyn Fn(PeerEvent) + Send + Sync>;

/// State shared by handles, nng's callbacks and the upkeep thread.
pub(super) struct Shared {
    /// The options.
    pub(super) options: PeerOptions,
    /// The clock.
    pub(super) clock: Clock,
    /// The inbound connections.
    pub(super) inbound: InboundConnections,
    /// The outbound connections.
    links: RwLock<HashMap<SocketAddr, Arc<Link>>>,
    /// Outbound connections removed from use, for the upkeep thread to close.
    removed: Mutex<Vec<Arc<Link>>>,
    /// Wakes the upkeep thread; holds at most one signal.
    wake: Sender<()>,
    /// Whether the transport was told to stop.
    stop_requested: AtomicBool,
    /// Receives every event. No lock may be held while it is called.
    sink: EventSink,
}

impl Shared {
    /// Validates the options and opens the socket for inbound connections without listening yet.
    pub(super) fn new(
        options: PeerOptions,
        clock: Clock,
        sink: EventSink,
    ) -> Result<(Arc<Self>, Receiver<()>), PeerError> {
        options.validate()?;
        let inbound = InboundConnections::new(&options)
            .map_err(|cause| PeerError::Listen { listen: options.listen, cause })?;
        let (wake, wake_receiver) = bounded(1);
        let shared = Self {
            options,
            clock,
            inbound,
            links: RwLock::default(),
            removed: Mutex::default(),
            wake,
            stop_requested: AtomicBool::new(false),
            sink,
        };
        Ok((Arc::new(shared), wake_receiver))
    }

    /// Passes an event to the sink. No lock may be held.
    pub(super) fn emit(&self, event: PeerEvent) {
        (self.sink)(event);
    }

    /// Makes the upkeep thread check all connections now.
    pub(super) fn wake(&self) {
        // If the channel is full, a wake-up is pending already.
        let _ = self.wake.try_send(());
    }

    /// Tells the upkeep thread to close everything and exit.
    pub(super) fn request_stop(&self) {
        self.stop_requested.store(true, Ordering::SeqCst);
        self.wake();
    }

    /// Whether the transport was told to stop.
    pub(super) fn is_stop_requested(&self) -> bool {
        self.stop_requested.load(Ordering::SeqCst)
    }

    /// Returns an error once the transport was told to stop.
    pub(super) fn ensure_running(&self) -> Result<(), SendError> {
        if self.is_stop_requested() {
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

    /// The connection to `peer`; if there is none, one is added for the upkeep thread to dial.
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

    /// A link to `peer` that is not connected yet.
    fn new_link(&self, peer: SocketAddr) -> Link {
        let options = &self.options;
        let redial =
            RedialBackoff::new(options.node, options.redial_after_ms, options.redial_max_ms);
        Link::new(peer, redial)
    }

    /// Takes the connection to `peer` out of use.
    pub(super) fn disconnect(&self, peer: SocketAddr) {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let Some(link) = links.remove(&peer) else { return };
        drop(links);
        lock(&self.removed).push(link);
        self.wake();
    }

    /// Takes the connections that are to be closed permanently.
    pub(super) fn take_removed(&self) -> Vec<Arc<Link>> {
        std::mem::take(&mut *lock(&self.removed))
    }

    /// All outbound connections in use.
    pub(super) fn all_links(&self) -> Vec<Arc<Link>> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.values().cloned().collect()
    }
}

/// Locks a mutex, ignoring poisoning: a panic in an nng callback aborts the process anyway.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

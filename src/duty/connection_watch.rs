//! Watches a listener's connections: closes those of slow senders and detects disconnected callers.
//!
//! Rocket 0.5 has no timeout for request heads, and it waits for the first 512 bytes of a body before
//! any fairing or handler runs. It also does not cancel a handler whose caller has disconnected. This
//! module therefore scans the process's sockets: a connection that has had no request in flight for too
//! long is shut down, and one that disappears while a request is in flight is reported to its handler.

use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd, RawFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rocket::fairing::{Fairing, Info, Kind};
use rocket::request::{FromRequest, Outcome};
use rocket::{Data, Orbit, Request, Response, Rocket};
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a connection may stay idle after its first request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// The maximum interval between two scans of the connections.
const SCAN_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// How many scans are made within the read timeout.
const SCANS_PER_TIMEOUT: u32 = 4;

/// Notifies a handler that its caller has disconnected; a request guard.
///
/// The notification comes within a second, and never on a listener without a watch.
#[derive(Clone, Debug, Default)]
pub struct CallerGone(Arc<Notify>);

impl CallerGone {
    /// The guard of a request; all calls for one request return the same notification.
    pub fn of(request: &Request<'_>) -> Self {
        request.local_cache(Self::default).clone()
    }

    /// Waits until the caller has disconnected. Only one task may wait.
    pub async fn wait(&self) {
        self.0.notified().await;
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallerGone {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        Outcome::Success(Self::of(request))
    }
}

/// The state of one connection.
#[derive(Clone, Debug)]
enum ConnectionState {
    /// First seen at this time; no request has arrived yet.
    New(Instant),
    /// A request is in flight; its handler is notified when the connection disappears.
    Busy(CallerGone),
    /// The last request has been answered.
    Idle {
        /// When it was answered, or when the caller was last seen to receive bytes of the answer.
        since: Instant,
        /// Bytes of the answer that the caller had not acknowledged.
        unsent_bytes: i32,
    },
}

/// Watches the connections of one listener; a Rocket fairing.
#[derive(Clone, Debug)]
pub(super) struct ConnectionWatch {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    read_timeout: Duration,
    connections: Mutex<HashMap<SocketAddr, ConnectionState>>,
    slow_senders_cut: Arc<AtomicU64>,
}

impl ConnectionWatch {
    /// Creates a watch that allows `read_timeout` for a connection's first request.
    pub(super) fn new(read_timeout: Duration) -> Self {
        let connections = Mutex::default();
        let slow_senders_cut = Arc::default();
        Self { shared: Arc::new(Shared { read_timeout, connections, slow_senders_cut }) }
    }

    /// The number of connections closed because of a timeout.
    pub(super) fn slow_senders_cut(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.shared.slow_senders_cut)
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<SocketAddr, ConnectionState>> {
        self.shared.connections.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records the new state of the connection of `request`.
    fn record(&self, request: &Request<'_>, state: ConnectionState) {
        let Some(remote) = request.remote() else {
            return;
        };
        let is_new = matches!(state, ConnectionState::Busy(_));
        let before = self.connections().insert(remote, state);
        // A connection has one request at a time, so the previous request belongs to a closed
        // connection whose caller port has been reused.
        if let (true, Some(ConnectionState::Busy(gone))) = (is_new, before) {
            gone.0.notify_one();
        }
    }

    /// Scans the connections at intervals until the listener stops.
    async fn watch(self, listener: SocketAddr, mut stopped: rocket::Shutdown) {
        let interval = (self.shared.read_timeout / SCANS_PER_TIMEOUT).min(SCAN_INTERVAL_MAX);
        while tokio::time::timeout(interval, &mut stopped).await.is_err() {
            let watch = self.clone();
            let now = Instant::now();
            // A scan makes several system calls per connection, which would block a worker thread.
            let scanned = tokio::task::spawn_blocking(move || watch.scan(listener, now)).await;
            if scanned.is_err() {
                return;
            }
        }
    }

    /// Scans all connections once and closes those that are overdue.
    fn scan(&self, listener: SocketAddr, now: Instant) {
        let streams = accepted_streams(listener);
        let present: HashSet<SocketAddr> = streams.iter().map(|(remote, _)| *remote).collect();
        let mut connections = self.connections();
        connections.retain(|remote, state| {
            let is_present = present.contains(remote);
            if let (false, ConnectionState::Busy(gone)) = (is_present, state) {
                gone.0.notify_one();
            }
            is_present
        });
        for (remote, stream) in streams {
            let state = connections.entry(remote).or_insert(ConnectionState::New(now));
            refresh_idle(state, &stream, now);
            if !self.is_overdue(state, now) {
                continue;
            }
            // Counted before the shutdown, so that the count is current when a client sees the close.
            self.shared.slow_senders_cut.fetch_add(1, Ordering::Relaxed);
            // Fails if the connection has been closed in the meantime.
            let _ = stream.shutdown(Shutdown::Both);
            connections.remove(&remote);
        }
    }

    fn is_overdue(&self, state: &ConnectionState, now: Instant) -> bool {
        match state {
            ConnectionState::Busy(_) => false,
            ConnectionState::New(since) => now.duration_since(*since) > self.shared.read_timeout,
            ConnectionState::Idle { since, .. } => now.duration_since(*since) > IDLE_TIMEOUT,
        }
    }
}

#[rocket::async_trait]
impl Fairing for ConnectionWatch {
    fn info(&self) -> Info {
        Info { name: "connection watch", kind: Kind::Liftoff | Kind::Request | Kind::Response }
    }

    async fn on_liftoff(&self, rocket: &Rocket<Orbit>) {
        let listener = SocketAddr::new(rocket.config().address, rocket.config().port);
        tokio::spawn(self.clone().watch(listener, rocket.shutdown()));
    }

    async fn on_request(&self, request: &mut Request<'_>, _: &mut Data<'_>) {
        self.record(request, ConnectionState::Busy(CallerGone::of(request)));
    }

    async fn on_response<'r>(&self, request: &'r Request<'_>, _: &mut Response<'r>) {
        self.record(request, ConnectionState::Idle { since: Instant::now(), unsent_bytes: 0 });
    }
}

/// Restarts the idle timeout when the caller has received bytes of an answer, so that slow readers are
/// not disconnected.
fn refresh_idle(state: &mut ConnectionState, stream: &TcpStream, now: Instant) {
    let ConnectionState::Idle { since, unsent_bytes } = state else {
        return;
    };
    let current_bytes = unacknowledged_bytes(stream);
    if current_bytes != *unsent_bytes {
        *unsent_bytes = current_bytes;
        *since = now;
    }
}

/// Bytes written to `stream` that the remote end has not acknowledged; 0 if unknown.
fn unacknowledged_bytes(stream: &TcpStream) -> i32 {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open, and TIOCOUTQ writes one `c_int` to the given address.
    let result = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result == 0 { bytes } else { 0 }
}

/// The connections that this process accepted at `listener`, with their remote addresses.
fn accepted_streams(listener: SocketAddr) -> Vec<(SocketAddr, TcpStream)> {
    let mut streams = Vec::new();
    let Ok(entries) = std::fs::read_dir("/proc/self/fd") else {
        return streams;
    };
    for entry in entries.flatten() {
        let Some(fd) = entry.file_name().to_str().and_then(|name| name.parse().ok()) else {
            continue;
        };
        let Some(stream) = duplicate(fd) else {
            continue;
        };
        // Fails for descriptors that are not connected TCP sockets.
        let (Ok(local), Ok(remote)) = (stream.local_addr(), stream.peer_addr()) else {
            continue;
        };
        let is_same_ip = listener.ip().is_unspecified() || local.ip() == listener.ip();
        if local.port() == listener.port() && is_same_ip {
            streams.push((remote, stream));
        }
    }
    streams
}

/// Duplicates `fd`. The copy keeps referring to the same connection if the original descriptor is closed
/// and its number is reused, so a shutdown never affects another connection.
fn duplicate(fd: RawFd) -> Option<TcpStream> {
    // SAFETY: `fcntl` takes the descriptor by number and returns an error if it is not open.
    let copy = unsafe { libc::fcntl(fd, libc::F_DUPFD_CLOEXEC, 0) };
    if copy < 0 {
        return None;
    }
    // SAFETY: the descriptor was just created and has no other owner.
    Some(TcpStream::from(unsafe { OwnedFd::from_raw_fd(copy) }))
}

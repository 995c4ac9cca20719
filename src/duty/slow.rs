//! Watches a listener's connections: cuts off slow senders, and notices callers that have gone.
//!
//! Rocket 0.5 has no timeout for a request's head, and it waits for the first 512 bytes of a body
//! before any hook or handler of ours runs. Nor does it end a handler whose caller has gone. So the
//! connections are watched from outside: one that has no request in flight for too long is shut
//! down, and one that vanishes while a request is in flight is reported to its handler.

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

/// How long a connection that has served a request may wait for the next one.
const IDLE_MAX: Duration = Duration::from_secs(120);
/// The longest pause between two looks at the connections.
const LOOK_EVERY_MAX: Duration = Duration::from_secs(1);
/// How many looks fit into the time a sender may take.
const LOOKS_PER_TIMEOUT: u32 = 4;

/// Tells a handler that its caller has gone; a request guard.
///
/// It is noticed within a second. Where the listener has no watch it is never told.
#[derive(Clone, Debug, Default)]
pub struct CallerGone(Arc<Notify>);

impl CallerGone {
    /// The same for every use within one request.
    pub fn of(request: &Request<'_>) -> Self {
        request.local_cache(Self::default).clone()
    }

    /// Waits until the caller has gone. Only one may wait.
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

/// What is known about one connection.
#[derive(Clone, Debug)]
enum Activity {
    /// It was seen, and no whole request has come yet.
    New(Instant),
    /// A request is in flight; its handler is told when the connection is gone.
    Busy(CallerGone),
    /// Its last request was answered, or bytes of the answer were last seen to leave.
    Idle {
        /// When.
        since: Instant,
        /// Bytes of the answer that had not been taken by the caller.
        unsent_bytes: i32,
    },
}

/// The watch on the connections of one listener.
#[derive(Clone, Debug)]
pub(super) struct SlowSenders {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    read_timeout: Duration,
    connections: Mutex<HashMap<SocketAddr, Activity>>,
    cut: Arc<AtomicU64>,
}

impl SlowSenders {
    /// A watch that gives senders `read_timeout` for a connection's first request.
    pub(super) fn new(read_timeout: Duration) -> Self {
        let connections = Mutex::default();
        let cut = Arc::default();
        Self { shared: Arc::new(Shared { read_timeout, connections, cut }) }
    }

    /// How many connections were cut.
    pub(super) fn cut_total(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.shared.cut)
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<SocketAddr, Activity>> {
        self.shared.connections.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Notes what happens on the connection of `request`.
    fn note(&self, request: &Request<'_>, activity: Activity) {
        let Some(remote) = request.remote() else {
            return;
        };
        let is_new = matches!(activity, Activity::Busy(_));
        let before = self.connections().insert(remote, activity);
        // A connection has one request at a time: the one before was on a connection that has
        // gone, whose caller's port is in use again.
        if let (true, Some(Activity::Busy(gone))) = (is_new, before) {
            gone.0.notify_one();
        }
    }

    /// Looks at the connections until the listener stops.
    async fn watch(self, listener: SocketAddr, mut stopped: rocket::Shutdown) {
        let pause = (self.shared.read_timeout / LOOKS_PER_TIMEOUT).min(LOOK_EVERY_MAX);
        while tokio::time::timeout(pause, &mut stopped).await.is_err() {
            let watch = self.clone();
            let now = Instant::now();
            // The look makes a few system calls for each connection, too many for a worker thread.
            let looked = tokio::task::spawn_blocking(move || watch.look(listener, now)).await;
            if looked.is_err() {
                return;
            }
        }
    }

    /// Looks at all connections once, and cuts those that are overdue.
    fn look(&self, listener: SocketAddr, now: Instant) {
        let streams = accepted_streams(listener);
        let present: HashSet<SocketAddr> = streams.iter().map(|(remote, _)| *remote).collect();
        let mut connections = self.connections();
        connections.retain(|remote, activity| {
            let is_present = present.contains(remote);
            if let (false, Activity::Busy(gone)) = (is_present, activity) {
                gone.0.notify_one();
            }
            is_present
        });
        for (remote, stream) in streams {
            let known = connections.entry(remote).or_insert(Activity::New(now));
            refresh(known, &stream, now);
            if !self.is_overdue(known, now) {
                continue;
            }
            // Counted first, so that whoever sees the connection end finds it counted.
            self.shared.cut.fetch_add(1, Ordering::Relaxed);
            // It may have been closed meanwhile; then nothing is left to cut.
            let _ = stream.shutdown(Shutdown::Both);
            connections.remove(&remote);
        }
    }

    fn is_overdue(&self, activity: &Activity, now: Instant) -> bool {
        match activity {
            Activity::Busy(_) => false,
            Activity::New(since) => now.duration_since(*since) > self.shared.read_timeout,
            Activity::Idle { since, .. } => now.duration_since(*since) > IDLE_MAX,
        }
    }
}

#[rocket::async_trait]
impl Fairing for SlowSenders {
    fn info(&self) -> Info {
        Info { name: "slow senders", kind: Kind::Liftoff | Kind::Request | Kind::Response }
    }

    async fn on_liftoff(&self, rocket: &Rocket<Orbit>) {
        let listener = SocketAddr::new(rocket.config().address, rocket.config().port);
        tokio::spawn(self.clone().watch(listener, rocket.shutdown()));
    }

    async fn on_request(&self, request: &mut Request<'_>, _: &mut Data<'_>) {
        self.note(request, Activity::Busy(CallerGone::of(request)));
    }

    async fn on_response<'r>(&self, request: &'r Request<'_>, _: &mut Response<'r>) {
        self.note(request, Activity::Idle { since: Instant::now(), unsent_bytes: 0 });
    }
}

/// Counts the leaving of an answer's bytes as activity, so that a slow reader is not cut.
fn refresh(activity: &mut Activity, stream: &TcpStream, now: Instant) {
    let Activity::Idle { since, unsent_bytes } = activity else {
        return;
    };
    let present_bytes = unsent(stream);
    if present_bytes != *unsent_bytes {
        *unsent_bytes = present_bytes;
        *since = now;
    }
}

/// Bytes that were written to `stream` and not yet taken by its other end; 0 where unknown.
fn unsent(stream: &TcpStream) -> i32 {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open, and TIOCOUTQ writes one int to the address given.
    let called = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if called == 0 { bytes } else { 0 }
}

/// The connections of this process that were accepted at `listener`, with their other ends.
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
        // Whatever is no connected TCP socket has no such addresses.
        let (Ok(local), Ok(remote)) = (stream.local_addr(), stream.peer_addr()) else {
            continue;
        };
        let at_listener = listener.ip().is_unspecified() || local.ip() == listener.ip();
        if local.port() == listener.port() && at_listener {
            streams.push((remote, stream));
        }
    }
    streams
}

/// A second descriptor for whatever `fd` stands for now. It stays valid when the first one is
/// closed and its number given to another connection, so the right connection is cut, or none.
fn duplicate(fd: RawFd) -> Option<TcpStream> {
    // SAFETY: takes a number only; one that is not open any more is an error.
    let copy = unsafe { libc::fcntl(fd, libc::F_DUPFD_CLOEXEC, 0) };
    if copy < 0 {
        return None;
    }
    // SAFETY: the descriptor was made just now and belongs to nobody else.
    Some(TcpStream::from(unsafe { OwnedFd::from_raw_fd(copy) }))
}

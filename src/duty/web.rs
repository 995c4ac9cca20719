//! What the HTTP listeners share: explicit settings, a thread of their own, and error bodies.
//!
//! Rocket reads nothing from the environment or from files here, installs no signal handlers and
//! prints nothing. Each listener runs in its own thread with its own runtime.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use bon::Builder;
use bytes::Bytes;
use rocket::config::{Ident, LogLevel, Shutdown as ShutdownConfig};
use rocket::data::{ByteUnit, Data, Limits};
use rocket::fairing::AdHoc;
use rocket::{Build, Config, Rocket, Shutdown};
use thiserror::Error;

use super::slow::SlowSenders;

pub use super::problem::{Problem, problem_catchers};
pub use super::slow::CallerGone;

/// How long a listener may take to bind its address.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);

/// How one HTTP listener is set up.
#[derive(Builder, Clone, Debug)]
pub struct WebOptions {
    /// The name of the listener's thread, at most 15 bytes.
    #[builder(into)]
    pub name: String,
    /// The address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// Worker threads of the listener's runtime.
    #[builder(default = 1)]
    pub workers: usize,
    /// The longest body of a request, in bytes.
    pub body_max_bytes: usize,
    /// How long a sender may take for the first request of a connection, and for any body, in
    /// milliseconds.
    pub read_timeout_ms: u64,
    /// How long requests in flight may take to end after a stop was asked for, in milliseconds.
    #[builder(default = 2_000)]
    pub grace_ms: u64,
}

/// Why a listener did not start.
#[derive(Debug, Error)]
pub enum WebError {
    /// The thread or its runtime could not be made.
    #[error("cannot start the listener's thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The address could not be bound, or the routes contradict each other.
    #[error("cannot listen on {address}: {detail}")]
    Launch {
        /// The address that was asked for.
        address: SocketAddr,
        /// What went wrong.
        detail: String,
    },
}

impl WebOptions {
    /// Rocket's settings, every one of them stated.
    pub fn rocket_config(&self) -> Config {
        let grace_s = self.grace_ms.div_ceil(1_000) as u32;
        let shutdown = ShutdownConfig {
            ctrlc: false,
            signals: HashSet::new(),
            grace: grace_s,
            mercy: 1,
            force: false,
            ..ShutdownConfig::default()
        };
        let body_max = ByteUnit::from(self.body_max_bytes);
        let limits = Limits::new()
            .limit("bytes", body_max)
            .limit("json", body_max)
            .limit("string", body_max)
            .limit("form", ByteUnit::from(0))
            .limit("data-form", ByteUnit::from(0))
            .limit("file", ByteUnit::from(0));
        Config {
            address: self.address.ip(),
            port: self.address.port(),
            workers: self.workers,
            max_blocking: 4,
            ident: Ident::none(),
            ip_header: None,
            limits,
            keep_alive: 5,
            shutdown,
            log_level: LogLevel::Off,
            cli_colors: false,
            ..Config::release_default()
        }
    }
}

/// A listener that is running in its own thread.
#[derive(Debug)]
pub struct WebServer {
    address: SocketAddr,
    shutdown: Shutdown,
    slow_senders_cut: Arc<AtomicU64>,
    thread: JoinHandle<Result<(), WebError>>,
}

impl WebServer {
    /// Starts a listener whose routes and state `add_routes` mounts, and waits until it is bound.
    pub fn start(
        options: &WebOptions,
        add_routes: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
    ) -> Result<Self, WebError> {
        let (bound_sender, bound_receiver) = mpsc::sync_channel(1);
        let rocket = rocket::custom(options.rocket_config()).register("/", problem_catchers());
        let slow_senders = SlowSenders::new(Duration::from_millis(options.read_timeout_ms));
        let slow_senders_cut = slow_senders.cut_total();
        let rocket = add_routes(rocket).attach(slow_senders).attach(report_bound(bound_sender));
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(options.workers)
            .max_blocking_threads(4)
            .thread_name(options.name.clone())
            .enable_all()
            .build()?;
        let address = options.address;
        let thread = std::thread::Builder::new().name(options.name.clone()).spawn(move || {
            let launched = runtime.block_on(async { rocket.launch().await });
            runtime.shutdown_background();
            launched.map(drop).map_err(|error| launch_error(address, error))
        })?;
        match bound_receiver.recv_timeout(BIND_TIMEOUT) {
            Ok((address, shutdown)) => Ok(Self { address, shutdown, slow_senders_cut, thread }),
            Err(_) if thread.is_finished() => {
                Err(join(thread, address).err().unwrap_or_else(|| WebError::Launch {
                    address,
                    detail: "ended at once".to_owned(),
                }))
            }
            Err(_) => Err(WebError::Launch { address, detail: "not bound in time".to_owned() }),
        }
    }

    /// The address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A handle that stops the listener from elsewhere; requests in flight may still end.
    pub fn shutdown_handle(&self) -> Shutdown {
        self.shutdown.clone()
    }

    /// How many connections were cut because no request came in time; for the metrics.
    pub fn slow_senders_cut(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.slow_senders_cut)
    }

    /// Whether the listener's thread has ended.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Stops the listener and waits until requests in flight have ended or the grace time is over.
    pub fn stop(self) -> Result<(), WebError> {
        self.shutdown.notify();
        join(self.thread, self.address)
    }
}

/// Reads the whole body of a request, within the limits of the listener.
///
/// Answers 413 for a longer body, 408 for a sender that takes too long, 400 for one that breaks off.
pub async fn read_body(
    data: Data<'_>,
    body_max_bytes: usize,
    read_timeout_ms: u64,
) -> Result<Bytes, Problem> {
    let reading = data.open(ByteUnit::from(body_max_bytes)).into_bytes();
    let timeout = Duration::from_millis(read_timeout_ms);
    let Ok(read) = tokio::time::timeout(timeout, reading).await else {
        return Err(Problem::new(408, "Request took too long to send"));
    };
    let Ok(body) = read else {
        return Err(Problem::new(400, "Request body was broken off"));
    };
    if !body.is_complete() {
        let detail = format!("at most {body_max_bytes} bytes are taken");
        return Err(Problem::new(413, "Request body is too long").detail(detail));
    }
    Ok(Bytes::from(body.into_inner()))
}

/// Tells the starting thread which address was bound, and how to stop the listener.
fn report_bound(bound: mpsc::SyncSender<(SocketAddr, Shutdown)>) -> AdHoc {
    AdHoc::on_liftoff("report the bound address", move |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        // The starter may have given up already.
        let _ = bound.try_send((address, rocket.shutdown()));
        Box::pin(async {})
    })
}

fn launch_error(address: SocketAddr, error: rocket::Error) -> WebError {
    // Rocket's error panics when it is dropped unseen; reading its kind counts as seeing it.
    WebError::Launch { address, detail: error.kind().to_string() }
}

fn join(thread: JoinHandle<Result<(), WebError>>, address: SocketAddr) -> Result<(), WebError> {
    let Ok(ended) = thread.join() else {
        return Err(WebError::Launch { address, detail: "the thread panicked".to_owned() });
    };
    ended
}

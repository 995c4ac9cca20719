//! The common HTTP server of all listeners: settings, thread, shutdown and body reading.
//!
//! Rocket is configured to read nothing from the environment or from files, install no signal handlers
//! and print nothing. Each listener runs in its own thread with its own runtime.

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

use super::connection_watch::ConnectionWatch;

pub use super::connection_watch::CallerGone;
pub use super::problem::{Problem, problem_catchers};

/// How long a listener may take to bind its address.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of an HTTP listener.
#[derive(Builder, Clone, Debug)]
pub struct WebOptions {
    /// The name of the listener's thread, at most 15 bytes.
    #[builder(into)]
    pub name: String,
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Worker threads of the listener's runtime.
    #[builder(default = 1)]
    pub workers: usize,
    /// The maximum length of a request body, in bytes.
    pub body_max_bytes: usize,
    /// The time limit for receiving the first request of a connection and for each body, in milliseconds.
    pub read_timeout_ms: u64,
    /// How long requests in flight may continue after a stop was requested, in milliseconds.
    #[builder(default = 2_000)]
    pub grace_ms: u64,
}

/// Why a listener did not start.
#[derive(Debug, Error)]
pub enum WebError {
    /// The thread or its runtime could not be created.
    #[error("cannot start the listener's thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The address could not be bound, or the routes collide.
    #[error("cannot listen on {address}: {detail}")]
    Launch {
        /// The requested address.
        address: SocketAddr,
        /// What went wrong.
        detail: String,
    },
}

impl WebOptions {
    /// Rocket's configuration, with every setting explicit.
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

/// A listener running in its own thread.
#[derive(Debug)]
pub struct WebServer {
    address: SocketAddr,
    shutdown: Shutdown,
    slow_senders_cut: Arc<AtomicU64>,
    thread: JoinHandle<Result<(), WebError>>,
}

impl WebServer {
    /// Starts a listener with the routes and state that `add_routes` adds, and waits until it is bound.
    pub fn start(
        options: &WebOptions,
        add_routes: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
    ) -> Result<Self, WebError> {
        let (bound_sender, bound_receiver) = mpsc::sync_channel(1);
        let rocket = rocket::custom(options.rocket_config()).register("/", problem_catchers());
        let connection_watch = ConnectionWatch::new(Duration::from_millis(options.read_timeout_ms));
        let slow_senders_cut = connection_watch.slow_senders_cut();
        let rocket = add_routes(rocket).attach(connection_watch).attach(report_bound(bound_sender));
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
                    detail: "the listener stopped during start-up".to_owned(),
                }))
            }
            Err(_) => {
                Err(WebError::Launch { address, detail: "address not bound in time".to_owned() })
            }
        }
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A handle that stops the listener gracefully.
    pub fn shutdown_handle(&self) -> Shutdown {
        self.shutdown.clone()
    }

    /// The number of connections closed because no request arrived in time, for the metrics.
    pub fn slow_senders_cut(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.slow_senders_cut)
    }

    /// Whether the listener's thread has ended.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Stops the listener and waits until requests in flight have ended or the grace period is over.
    pub fn stop(self) -> Result<(), WebError> {
        self.shutdown.notify();
        join(self.thread, self.address)
    }
}

/// Reads the whole body of a request, within the limits of the listener.
///
/// Returns a 413 problem if the body is too long, 408 if it takes too long to arrive, and 400 if it is
/// truncated.
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

/// Reports the bound address and the shutdown handle to the starting thread.
fn report_bound(bound: mpsc::SyncSender<(SocketAddr, Shutdown)>) -> AdHoc {
    AdHoc::on_liftoff("report the bound address", move |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        // Fails if the starting thread has timed out already.
        let _ = bound.try_send((address, rocket.shutdown()));
        Box::pin(async {})
    })
}

fn launch_error(address: SocketAddr, error: rocket::Error) -> WebError {
    // Rocket's error panics on drop unless it was inspected; reading its kind counts as that.
    WebError::Launch { address, detail: error.kind().to_string() }
}

fn join(thread: JoinHandle<Result<(), WebError>>, address: SocketAddr) -> Result<(), WebError> {
    let Ok(ended) = thread.join() else {
        return Err(WebError::Launch { address, detail: "listener thread panicked".to_owned() });
    };
    ended
}

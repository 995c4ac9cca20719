//! A small HTTP server on a thread of its own, for stand-ins inside and outside tests.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread::{Builder as ThreadBuilder, JoinHandle};

use rocket::config::{Ident, LogLevel, Shutdown as ShutdownSettings};
use rocket::data::{Data, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::http::{Header, Method, Status};
use rocket::request::Request;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Config, Response, Shutdown};
use thiserror::Error;
use tokio::runtime::{Builder as RuntimeBuilder, Handle};

use super::broken::{Cut, Unsent};
use super::exchange::{Ending, Exchange, Reply};

/// The longest body a stand-in reads, in bytes.
const BODY_MAX_BYTES: usize = 32 << 20;
/// How long open connections are given when a stand-in stops, in seconds.
const STOP_GRACE_S: u32 = 1;
/// Methods a stand-in answers; HEAD is answered by way of GET.
const METHODS: [Method; 6] =
    [Method::Get, Method::Put, Method::Post, Method::Delete, Method::Patch, Method::Options];

/// Why a stand-in did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Its thread or runtime could not be made.
    #[error("cannot make the thread or runtime of a stand-in")]
    Thread(#[from] std::io::Error),
    /// The address could not be bound.
    #[error("cannot listen on {listen}: {cause}")]
    Listen {
        /// The address asked for.
        listen: SocketAddr,
        /// What the server said.
        cause: String,
    },
}

/// What the server's thread tells once it listens.
struct Started {
    /// The address bound, with its port.
    address: SocketAddr,
    /// Ends the server.
    shutdown: Shutdown,
    /// The runtime of the server.
    runtime: Handle,
}

/// A running stand-in. It stops when this is dropped.
#[derive(Debug)]
pub struct Server {
    /// The address bound, with its port.
    address: SocketAddr,
    /// Ends the server.
    shutdown: Shutdown,
    /// The runtime of the server.
    runtime: Handle,
    /// The thread of the server, until it is joined.
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens on `listen` (port 0 takes a free one) and answers every exchange with `answer`.
    pub fn start<F, A>(listen: SocketAddr, workers: usize, answer: F) -> Result<Self, StartError>
    where
        F: Fn(Exchange) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Reply> + Send + 'static,
    {
        let runtime =
            RuntimeBuilder::new_multi_thread().worker_threads(workers).enable_all().build()?;
        let (started, told) = sync_channel(1);
        let thread = ThreadBuilder::new().name(format!("standin {listen}")).spawn(move || {
            runtime.block_on(serve(listen, answer, started));
            runtime.shutdown_background();
        })?;
        let lost = || StartError::Listen { listen, cause: "the server ended".to_owned() };
        let Started { address, shutdown, runtime } = told.recv().map_err(|_| lost())??;
        Ok(Self { address, shutdown, runtime, thread: Some(thread) })
    }

    /// The address bound, with its port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The base URL, without a slash at its end.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// The runtime of the server, for tasks that end with it.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Stops listening, gives open connections a moment and waits for the thread.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
        if let Some(thread) = self.thread.take() {
            // A panic of the server has been printed; there is nobody left to tell.
            let _ = thread.join();
        }
    }
}

/// Runs the server until it is told to stop.
async fn serve<F, A>(
    listen: SocketAddr,
    answer: F,
    started: SyncSender<Result<Started, StartError>>,
) where
    F: Fn(Exchange) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    let runtime = Handle::current();
    let failed = started.clone();
    let liftoff = AdHoc::on_liftoff("tell the address", move |rocket| {
        Box::pin(async move {
            // The configuration holds the port that was bound by now.
            let address = SocketAddr::new(rocket.config().address, rocket.config().port);
            let told = started.send(Ok(Started { address, shutdown: rocket.shutdown(), runtime }));
            debug_assert!(told.is_ok(), "the starter waits for this");
        })
    });
    let routes = METHODS.map(|method| Route::new(method, "/<path..>", Endpoint(answer.clone())));
    let server = rocket::custom(config(listen)).mount("/", routes).attach(liftoff);
    if let Err(error) = server.launch().await {
        let cause = error.to_string();
        // Nobody waits any more when the server had started.
        let _ = failed.try_send(Err(StartError::Listen { listen, cause }));
    }
}

/// The server's settings: quiet, and signals left to the program.
fn config(listen: SocketAddr) -> Config {
    let shutdown = ShutdownSettings {
        ctrlc: false,
        signals: Default::default(),
        grace: STOP_GRACE_S,
        mercy: STOP_GRACE_S,
        force: false,
        ..ShutdownSettings::default()
    };
    Config {
        address: listen.ip(),
        port: listen.port(),
        ident: Ident::none(),
        log_level: LogLevel::Off,
        shutdown,
        ..Config::release_default()
    }
}

/// The one handler of a stand-in.
#[derive(Clone)]
struct Endpoint<F>(F);

#[rocket::async_trait]
impl<F, A> Handler for Endpoint<F>
where
    F: Fn(Exchange) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Some(exchange) = read(request, data).await else {
            return Outcome::Error(Status::PayloadTooLarge);
        };
        let reply = (self.0)(exchange).await;
        Outcome::Success(response(reply))
    }
}

/// Takes the request out of the library's hands; none where its body is cut off or too long.
async fn read(request: &Request<'_>, data: Data<'_>) -> Option<Exchange> {
    let body = data.open(BODY_MAX_BYTES.bytes()).into_bytes().await.ok()?;
    if !body.is_complete() {
        return None;
    }
    let mut headers = Vec::new();
    for header in request.headers().iter() {
        headers.push((header.name().as_str().to_ascii_lowercase(), header.value().to_owned()));
    }
    let uri = request.uri();
    Some(Exchange {
        method: request.method().as_str().to_owned(),
        path: uri.path().percent_decode_lossy().into_owned(),
        query: uri.query().map_or(String::new(), |query| query.as_str().to_owned()),
        headers,
        body: body.into_inner(),
    })
}

/// Hands the reply to the library.
fn response(reply: Reply) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(reply.status));
    for (name, value) in reply.headers {
        response.adjoin_header(Header::new(name, value));
    }
    let bytes = reply.body.len();
    match reply.ending {
        Ending::Whole => response.set_sized_body(bytes, std::io::Cursor::new(reply.body)),
        Ending::Truncated => {
            let half = reply.body[..bytes / 2].to_vec();
            response.set_sized_body(bytes + 1, Cut::new(half));
        }
        Ending::Closed => response.set_sized_body(None, Unsent),
    }
    response
}

//! A small HTTP server on a thread of its own, for stand-ins inside and outside tests.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc::sync_channel;

use rocket::data::Data;
use rocket::fairing::AdHoc;
use rocket::http::{Header, Method, Status};
use rocket::request::Request;
use rocket::response::Responder;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Build, Response, Rocket};
use tokio::runtime::Handle;

use super::broken::{Cut, Unsent};
use super::exchange::{Ending, Exchange, Reply};
use crate::duty::web::{Problem, WebError, WebOptions, WebServer, read_body};

/// The longest body a stand-in reads, in bytes.
const BODY_MAX_BYTES: usize = 32 << 20;
/// How long a sender may take for its body, in milliseconds.
const READ_TIMEOUT_MS: u64 = 10_000;
/// How long open connections are given when a stand-in stops, in milliseconds.
const STOP_GRACE_MS: u64 = 1_000;
/// Methods a stand-in answers; HEAD is answered by way of GET.
const METHODS: [Method; 6] =
    [Method::Get, Method::Put, Method::Post, Method::Delete, Method::Patch, Method::Options];

/// A running stand-in. It stops when this is dropped.
#[derive(Debug)]
pub struct Server {
    /// The address bound, with its port.
    address: SocketAddr,
    /// The runtime of the server.
    runtime: Handle,
    /// The listener, until it is stopped.
    listener: Option<WebServer>,
}

impl Server {
    /// Listens on `listen` (port 0 takes a free one) and answers every exchange with `answer`.
    ///
    /// # Errors
    ///
    /// An address that cannot be bound, or a thread that cannot be started.
    pub fn start<F, A>(listen: SocketAddr, workers: usize, answer: F) -> Result<Self, WebError>
    where
        F: Fn(Exchange) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Reply> + Send + 'static,
    {
        let options = WebOptions::builder()
            .name("standin")
            .address(listen)
            .workers(workers)
            .body_max_bytes(BODY_MAX_BYTES)
            .read_timeout_ms(READ_TIMEOUT_MS)
            .grace_ms(STOP_GRACE_MS)
            .build();
        let (tell_runtime, told_runtime) = sync_channel(1);
        let liftoff = AdHoc::on_liftoff("tell the runtime", move |_| {
            // The ring has room for the one message that is ever sent.
            let _ = tell_runtime.try_send(Handle::current());
            Box::pin(async {})
        });
        let add_routes = |rocket: Rocket<Build>| {
            let routes = METHODS.map(|method| {
                let endpoint = Endpoint(answer.clone());
                Route::new(method, "/<path..>", endpoint)
            });
            rocket.mount("/", routes).attach(liftoff)
        };
        let listener = WebServer::start(&options, add_routes)?;
        let address = listener.address();
        let Ok(runtime) = told_runtime.recv() else {
            return Err(WebError::Launch { address, detail: "ended at once".to_owned() });
        };
        Ok(Self { address, runtime, listener: Some(listener) })
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
        let Some(listener) = self.listener.take() else { return };
        // Whatever went wrong in the listener, there is nobody left to tell.
        let _ = listener.stop();
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
        let exchange = match read(request, data).await {
            Ok(exchange) => exchange,
            Err(problem) => {
                let status = Status::new(problem.status);
                return problem
                    .respond_to(request)
                    .map_or(Outcome::Error(status), Outcome::Success);
            }
        };
        let reply = (self.0)(exchange).await;
        Outcome::Success(response(reply))
    }
}

/// Takes the request out of the library's hands.
async fn read(request: &Request<'_>, data: Data<'_>) -> Result<Exchange, Problem> {
    let body = read_body(data, BODY_MAX_BYTES, READ_TIMEOUT_MS).await?;
    let mut headers = Vec::new();
    for header in request.headers().iter() {
        headers.push((header.name().as_str().to_ascii_lowercase(), header.value().to_owned()));
    }
    let uri = request.uri();
    Ok(Exchange {
        method: request.method().as_str().to_owned(),
        path: uri.path().percent_decode_lossy().into_owned(),
        query: uri.query().map_or(String::new(), |query| query.as_str().to_owned()),
        headers,
        body: body.to_vec(),
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

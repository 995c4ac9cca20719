//! The HTTP server of the stand-ins, which runs on its own thread.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc::sync_channel;

use rocket::data::Data;
use rocket::fairing::AdHoc;
use rocket::http::{Header, Method, Status};
use rocket::request::Request as RocketRequest;
use rocket::response::Responder;
use rocket::route::{Handler, Outcome, Route};
use rocket::{Build, Response, Rocket};
use tokio::runtime::Handle;

use super::faulty_body::{AbortedBody, TruncatedBody};
use super::message::{Delivery, Reply, Request};
use crate::duty::web::{Problem, WebError, WebOptions, WebServer, read_body};

/// Maximum length of a request body, in bytes.
const BODY_MAX_BYTES: usize = 32 << 20;
/// Timeout for reading a request body, in milliseconds.
const READ_TIMEOUT_MS: u64 = 10_000;
/// How long open connections may take to finish when a stand-in stops, in milliseconds.
const STOP_GRACE_MS: u64 = 1_000;
/// Methods with a route; Rocket answers HEAD through the GET route.
const METHODS: [Method; 6] =
    [Method::Get, Method::Put, Method::Post, Method::Delete, Method::Patch, Method::Options];

/// A running stand-in server. Dropping it stops the server.
#[derive(Debug)]
pub struct Server {
    /// The bound address, including the port.
    address: SocketAddr,
    /// The runtime of the server.
    runtime: Handle,
    /// The HTTP server; `None` once it is stopped.
    web_server: Option<WebServer>,
}

impl Server {
    /// Listens on `listen` (port 0 selects a free port) and answers every request with `respond`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the thread cannot be started.
    pub fn start<F, A>(listen: SocketAddr, workers: usize, respond: F) -> Result<Self, WebError>
    where
        F: Fn(Request) -> A + Clone + Send + Sync + 'static,
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
        let (runtime_sender, runtime_receiver) = sync_channel(1);
        let liftoff = AdHoc::on_liftoff("send the runtime handle", move |_| {
            // Cannot be full: the channel has room for the only message.
            let _ = runtime_sender.try_send(Handle::current());
            Box::pin(async {})
        });
        let add_routes = |rocket: Rocket<Build>| {
            let routes = METHODS.map(|method| {
                let endpoint = Endpoint(respond.clone());
                Route::new(method, "/<path..>", endpoint)
            });
            rocket.mount("/", routes).attach(liftoff)
        };
        let web_server = WebServer::start(&options, add_routes)?;
        let address = web_server.address();
        let Ok(runtime) = runtime_receiver.recv() else {
            return Err(WebError::Launch {
                address,
                detail: "the server ended during its start".to_owned(),
            });
        };
        Ok(Self { address, runtime, web_server: Some(web_server) })
    }

    /// The bound address, including the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The base URL, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// The runtime of the server, for tasks that must not outlive the server.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Stops listening, lets open connections finish for a short time and joins the thread.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let Some(web_server) = self.web_server.take() else { return };
        // `drop` cannot return the error.
        let _ = web_server.stop();
    }
}

/// The handler of all routes of a stand-in.
#[derive(Clone)]
struct Endpoint<F>(F);

#[rocket::async_trait]
impl<F, A> Handler for Endpoint<F>
where
    F: Fn(Request) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    async fn handle<'r>(&self, request: &'r RocketRequest<'_>, data: Data<'r>) -> Outcome<'r> {
        let parsed = match parse_request(request, data).await {
            Ok(parsed) => parsed,
            Err(problem) => {
                let status = Status::new(problem.status);
                return problem
                    .respond_to(request)
                    .map_or(Outcome::Error(status), Outcome::Success);
            }
        };
        let reply = (self.0)(parsed).await;
        Outcome::Success(to_response(reply))
    }
}

/// Reads the body of a Rocket request and converts the request.
async fn parse_request(request: &RocketRequest<'_>, data: Data<'_>) -> Result<Request, Problem> {
    let body = read_body(data, BODY_MAX_BYTES, READ_TIMEOUT_MS).await?;
    let mut headers = Vec::new();
    for header in request.headers().iter() {
        headers.push((header.name().as_str().to_ascii_lowercase(), header.value().to_owned()));
    }
    let uri = request.uri();
    Ok(Request {
        method: request.method().as_str().to_owned(),
        path: uri.path().percent_decode_lossy().into_owned(),
        query: uri.query().map_or(String::new(), |query| query.as_str().to_owned()),
        headers,
        body: body.to_vec(),
    })
}

/// Converts a reply to a Rocket response that is delivered as [`Reply::delivery`] says.
fn to_response(reply: Reply) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(reply.status));
    for (name, value) in reply.headers {
        response.adjoin_header(Header::new(name, value));
    }
    let bytes = reply.body.len();
    match reply.delivery {
        Delivery::Complete => response.set_sized_body(bytes, std::io::Cursor::new(reply.body)),
        Delivery::Truncated => {
            let half = reply.body[..bytes / 2].to_vec();
            response.set_sized_body(bytes + 1, TruncatedBody::new(half));
        }
        Delivery::Closed => response.set_sized_body(None, AbortedBody),
    }
    response
}

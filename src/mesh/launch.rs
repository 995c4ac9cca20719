//! Starts the services of a node and shuts them down.

use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::event::{EventLog, LogEvent};

use super::node::Node;
use super::overload::ADJUST_INTERVAL;
use super::{ingress, peers, socket};

/// How long a stopping node still accepts requests. Callers check readiness once a second and stop
/// sending after the second negative answer.
const STOP_ACCEPT_PERIOD: Duration = Duration::from_millis(2_600);
/// How long a node that is about to exit waits until callers have their last answers.
const LAST_ANSWERS_MAX: Duration = Duration::from_millis(200);
/// Time for writing small answers, which are not counted as unsent.
const LAST_WRITES_TIME: Duration = Duration::from_millis(20);
/// Interval at which a stopping node checks whether all work is done.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Calls `answer` for each request on each connection to `listener`.
pub async fn serve_simple<F, Fut>(log: EventLog, listener: TcpListener, answer: F)
where
    F: Fn(http::Request<Incoming>) -> Fut + Clone + 'static,
    Fut: Future<Output = http::Response<Full<Bytes>>> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                peers::pause_after(&log, &error).await;
                continue;
            }
        };
        let answer = answer.clone();
        spawn_local(async move {
            let service = service_fn(move |request| {
                let answered = answer(request);
                async move { Ok::<_, Infallible>(answered.await) }
            });
            let builder = hyper::server::conn::http1::Builder::new();
            // Errors of one connection affect nothing else.
            drop(builder.serve_connection(TokioIo::new(stream), service).await);
        });
    }
}

/// Opens the node's listeners and spawns the tasks that serve them.
pub fn start(node: &Rc<Node>) -> io::Result<()> {
    let listen = &node.settings.listen;
    let callers = socket::listen(listen.callers)?;
    let peers_listener = socket::listen(listen.peers)?;
    let readiness = socket::listen(listen.readiness)?;
    let metrics = socket::listen(listen.metrics)?;
    spawn_local(ingress::accept(Rc::clone(node), callers));
    spawn_local(peers::accept(Rc::clone(node), peers_listener));
    spawn_local(peers::watch_links(Rc::clone(node)));
    let readiness_node = Rc::clone(node);
    let adjusted_node = Rc::clone(node);
    spawn_local(async move {
        loop {
            sleep(ADJUST_INTERVAL).await;
            adjusted_node.adjust();
        }
    });
    spawn_local(serve_simple(node.log.clone(), readiness, move |_| {
        let is_ready = readiness_node.is_ready();
        async move { status_only(if is_ready { 200 } else { 503 }) }
    }));
    let metrics_node = Rc::clone(node);
    spawn_local(serve_simple(node.log.clone(), metrics, move |_| {
        let text = metrics_node.metrics.render(&metrics_node);
        async move { http::Response::new(Full::new(text.into())) }
    }));
    Ok(())
}

/// A response without a body.
pub fn status_only(status: u16) -> http::Response<Full<Bytes>> {
    let mut response = http::Response::new(Full::new(Bytes::new()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Waits for SIGTERM, then drains the node. Calls `on_reload` on SIGHUP, by which the platform
/// signals a change of the settings file.
pub async fn run_until_stopped(node: &Rc<Node>, on_reload: impl Fn()) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => on_reload(),
        }
    }
    let stop_requested_at = Instant::now();
    let in_flight = node.in_flight.get() as u64;
    node.log.emit(&LogEvent::LeavingStarted { asked_by: "signal", in_flight });
    let end = node.stop();
    while Instant::now() < end {
        let is_idle = node.serving.get() == 0 && is_answered(node);
        if is_idle && stop_requested_at.elapsed() >= STOP_ACCEPT_PERIOD {
            break;
        }
        sleep(STOP_CHECK_INTERVAL).await;
    }
    let cut_off = (node.in_flight.get() + node.serving.get()) as u64;
    node.ending.cancel();
    let exit_at = Instant::now() + LAST_ANSWERS_MAX;
    while Instant::now() < exit_at {
        sleep(LAST_WRITES_TIME).await;
        if is_answered(node) {
            break;
        }
    }
    let took_ms = stop_requested_at.elapsed().as_millis() as u64;
    node.log.emit(&LogEvent::LeavingFinished { took_ms, cut_off });
    Ok(())
}

/// Whether all callers have their answers.
fn is_answered(node: &Node) -> bool {
    node.in_flight.get() == 0 && node.unsent_answers.count() == 0
}

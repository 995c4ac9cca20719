//! Tests of request handlers whose caller disconnects.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use aspenspring::duty::web::{DisconnectSignal, WebOptions, WebServer};
use rocket::{Build, Rocket, State, get, routes};

/// How long a test waits for an expected event before it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the handler runs if nothing stops it.
const HANDLER_DURATION: Duration = Duration::from_millis(700);

/// What happened to a handler.
#[derive(Debug, PartialEq)]
enum HandlerEvent {
    Started,
    Finished,
    Dropped,
    CallerLeft,
}

/// Reports on drop whether the handler finished, which the second field states.
struct EndReporter<'a>(&'a Sender<HandlerEvent>, bool);

impl Drop for EndReporter<'_> {
    fn drop(&mut self) {
        let event = if self.1 { HandlerEvent::Finished } else { HandlerEvent::Dropped };
        self.0.send(event).unwrap();
    }
}

#[get("/run")]
async fn run(events: &State<std::sync::Mutex<Sender<HandlerEvent>>>) -> &'static str {
    let events = events.lock().unwrap().clone();
    events.send(HandlerEvent::Started).unwrap();
    let mut guard = EndReporter(&events, false);
    tokio::time::sleep(HANDLER_DURATION).await;
    guard.1 = true;
    "done"
}

/// A handler that ends as soon as its caller disconnects, or after a long time.
#[get("/until_gone")]
async fn until_gone(
    events: &State<std::sync::Mutex<Sender<HandlerEvent>>>,
    gone: DisconnectSignal,
) {
    let events = events.lock().unwrap().clone();
    events.send(HandlerEvent::Started).unwrap();
    tokio::select! {
        () = gone.wait() => events.send(HandlerEvent::CallerLeft).unwrap(),
        () = tokio::time::sleep(TEST_TIMEOUT) => events.send(HandlerEvent::Finished).unwrap(),
    }
}

fn start() -> (WebServer, Receiver<HandlerEvent>) {
    let (sender, events) = channel();
    let options = WebOptions::builder()
        .name("web-test")
        .address(SocketAddr::from(([127, 0, 0, 1], 0)))
        .body_max_bytes(1_024)
        .read_timeout_ms(5_000)
        .build();
    let state = std::sync::Mutex::new(sender);
    let add = |rocket: Rocket<Build>| rocket.manage(state).mount("/", routes![run, until_gone]);
    (WebServer::start(&options, add).unwrap(), events)
}

fn send_request(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    stream
}

/// Rocket 0.5 runs each request in a task of its own, so a handler is not dropped when its caller
/// disconnects; a handler that needs to know waits for `DisconnectSignal`. If this test fails, rocket
/// has begun to drop such handlers.
#[test]
fn a_handler_outlives_its_caller() {
    let (server, events) = start();
    let stream = send_request(server.address(), "/run");
    assert_eq!(events.recv_timeout(TEST_TIMEOUT).unwrap(), HandlerEvent::Started);
    drop(stream);
    assert_eq!(events.recv_timeout(TEST_TIMEOUT).unwrap(), HandlerEvent::Finished);
    server.stop().unwrap();
}

#[test]
fn a_handler_can_learn_that_its_caller_has_gone() {
    let (server, events) = start();
    let other = send_request(server.address(), "/until_gone");
    let stream = send_request(server.address(), "/until_gone");
    for _ in 0..2 {
        assert_eq!(events.recv_timeout(TEST_TIMEOUT / 2).unwrap(), HandlerEvent::Started);
    }
    drop(stream);
    assert_eq!(events.recv_timeout(TEST_TIMEOUT / 2).unwrap(), HandlerEvent::CallerLeft);
    // The other caller is still connected, so its handler is not notified.
    assert!(events.recv_timeout(Duration::from_millis(1_500)).is_err());
    drop(other);
    assert_eq!(events.recv_timeout(TEST_TIMEOUT / 2).unwrap(), HandlerEvent::CallerLeft);
    server.stop().unwrap();
}

/// A graceful stop lets requests in flight finish.
#[test]
fn a_stop_waits_for_requests_in_flight() {
    let (server, events) = start();
    let _stream = send_request(server.address(), "/run");
    assert_eq!(events.recv_timeout(TEST_TIMEOUT).unwrap(), HandlerEvent::Started);
    server.stop().unwrap();
    assert_eq!(events.recv_timeout(TEST_TIMEOUT).unwrap(), HandlerEvent::Finished);
}

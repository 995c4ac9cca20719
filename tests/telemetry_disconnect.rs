//! What rocket does with a handler whose caller goes away.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use aspenspring::duty::web::{CallerGone, WebOptions, WebServer};
use rocket::{Build, Rocket, State, get, routes};

/// The longest a test waits for something that must happen.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// How long the handler runs when nobody stops it.
const HANDLER_RUNS: Duration = Duration::from_millis(700);

/// What a handler went through.
#[derive(Debug, PartialEq)]
enum Seen {
    Started,
    Finished,
    Dropped,
    Gone,
}

/// Reports how the handler ended.
struct Guard<'a>(&'a Sender<Seen>, bool);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let seen = if self.1 { Seen::Finished } else { Seen::Dropped };
        self.0.send(seen).unwrap();
    }
}

#[get("/run")]
async fn run(seen: &State<std::sync::Mutex<Sender<Seen>>>) -> &'static str {
    let seen = seen.lock().unwrap().clone();
    seen.send(Seen::Started).unwrap();
    let mut guard = Guard(&seen, false);
    tokio::time::sleep(HANDLER_RUNS).await;
    guard.1 = true;
    "done"
}

/// A handler that ends as soon as its caller has gone, or after a long time.
#[get("/until_gone")]
async fn until_gone(seen: &State<std::sync::Mutex<Sender<Seen>>>, gone: CallerGone) {
    let seen = seen.lock().unwrap().clone();
    seen.send(Seen::Started).unwrap();
    tokio::select! {
        () = gone.wait() => seen.send(Seen::Gone).unwrap(),
        () = tokio::time::sleep(WAIT_MAX) => seen.send(Seen::Finished).unwrap(),
    }
}

fn start() -> (WebServer, Receiver<Seen>) {
    let (sender, seen) = channel();
    let options = WebOptions::builder()
        .name("web-test")
        .address(SocketAddr::from(([127, 0, 0, 1], 0)))
        .body_max_bytes(1_024)
        .read_timeout_ms(5_000)
        .build();
    let state = std::sync::Mutex::new(sender);
    let add = |rocket: Rocket<Build>| rocket.manage(state).mount("/", routes![run, until_gone]);
    (WebServer::start(&options, add).unwrap(), seen)
}

fn call(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    stream
}

/// Rocket 0.5 runs each request in a task of its own: the handler is not dropped when its caller
/// goes away. A handler that needs to know waits for `CallerGone`. A failure of this test means that
/// rocket does it now.
#[test]
fn a_handler_outlives_its_caller() {
    let (server, seen) = start();
    let stream = call(server.address(), "/run");
    assert_eq!(seen.recv_timeout(WAIT_MAX).unwrap(), Seen::Started);
    drop(stream);
    assert_eq!(seen.recv_timeout(WAIT_MAX).unwrap(), Seen::Finished);
    server.stop().unwrap();
}

#[test]
fn a_handler_can_learn_that_its_caller_has_gone() {
    let (server, seen) = start();
    let other = call(server.address(), "/until_gone");
    let stream = call(server.address(), "/until_gone");
    for _ in 0..2 {
        assert_eq!(seen.recv_timeout(WAIT_MAX / 2).unwrap(), Seen::Started);
    }
    drop(stream);
    assert_eq!(seen.recv_timeout(WAIT_MAX / 2).unwrap(), Seen::Gone);
    // The other caller is still there, and its handler is told nothing.
    assert!(seen.recv_timeout(Duration::from_millis(1_500)).is_err());
    drop(other);
    assert_eq!(seen.recv_timeout(WAIT_MAX / 2).unwrap(), Seen::Gone);
    server.stop().unwrap();
}

/// A planned stop lets a request in flight end.
#[test]
fn a_stop_waits_for_requests_in_flight() {
    let (server, seen) = start();
    let _stream = call(server.address(), "/run");
    assert_eq!(seen.recv_timeout(WAIT_MAX).unwrap(), Seen::Started);
    server.stop().unwrap();
    assert_eq!(seen.recv_timeout(WAIT_MAX).unwrap(), Seen::Finished);
}

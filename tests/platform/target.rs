//! Stand-ins for targets: their heartbeats and their answers to requests.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::store::read_request;

/// The body of a heartbeat of a target that started at 5,000 ms.
pub fn heartbeat(service: &str, state: &str, sequence: u64) -> serde_json::Value {
    serde_json::json!({
        "address": "x",
        "born": 5_000,
        "information": { "service": service, "version": "v1", "zone": "a", "slots": 9 },
        "status": { "state": state, "sequence": sequence, "coldRemainingMs": 0 },
    })
}

/// A request with this in its path crashes the target that runs it.
pub const CRASH_PATH: &str = "crash";

/// What a target answers.
#[derive(Default)]
pub struct Answer {
    pub attempt: String,
    pub body: String,
    /// Additional header lines.
    pub signals: String,
    /// Whether the target rejects the request without running it.
    pub is_rejected: bool,
    /// Whether it is sent again in front of the next answer on the connection.
    pub is_repeated: bool,
    /// Which way it breaks the protocol, as any number; none if it doesn't.
    pub broken: Option<usize>,
}

/// Serves requests at `address`, one at a time on each connection, and signs the answers with `name`. `run` gets
/// the path.
pub fn serve(
    address: SocketAddr,
    name: &str,
    run: impl Fn(&str) -> Answer + Send + Sync + 'static,
) {
    serve_with_restarts(address, name, None, run);
}

/// Like [`serve`], but a request whose path contains [`CRASH_PATH`] ends the target with all its connections. It
/// restarts after `downtime`, or never if there is none.
pub fn serve_with_restarts(
    address: SocketAddr,
    name: &str,
    downtime: Option<Duration>,
    run: impl Fn(&str) -> Answer + Send + Sync + 'static,
) {
    let mut listener = TcpListener::bind(address).unwrap();
    let (name, run) = (name.to_owned(), Arc::new(run));
    thread::spawn(move || {
        loop {
            let incarnation = serve_incarnation(&listener, &name, &run);
            // A node that loses its connection checks whether the target still listens.
            drop(listener);
            incarnation.close_connections();
            let Some(downtime) = downtime else { return };
            thread::sleep(downtime);
            listener = TcpListener::bind(address).unwrap();
        }
    });
}

/// Serves one incarnation of a target until its end. Its connections are still open then.
fn serve_incarnation<R>(listener: &TcpListener, name: &str, run: &Arc<R>) -> Arc<Incarnation>
where
    R: Fn(&str) -> Answer + Send + Sync + 'static,
{
    let incarnation = Arc::new(Incarnation::default());
    let address = listener.local_addr().unwrap();
    for stream in listener.incoming() {
        let stream = stream.unwrap();
        let Some(number) = incarnation.add(&stream) else { break };
        let (name, run, incarnation) = (name.to_owned(), Arc::clone(run), Arc::clone(&incarnation));
        thread::spawn(move || {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            let mut copy = String::new();
            while let Some((path, _)) = read_request(&mut reader) {
                let answer = run(&path);
                if path.contains(CRASH_PATH) {
                    return incarnation.end(address);
                }
                let text = response_text(&answer, &name);
                let written = std::mem::take(&mut copy) + &text;
                drop(writer.write_all(written.as_bytes()));
                if answer.is_repeated {
                    copy = text;
                }
            }
            incarnation.remove(number);
        });
    }
    incarnation
}

/// The open connections of one incarnation of a target, by number.
#[derive(Default)]
struct Incarnation {
    connections: Mutex<HashMap<usize, TcpStream>>,
    has_ended: AtomicBool,
}

impl Incarnation {
    /// Adds a connection and returns its number; none if the target has ended.
    fn add(&self, stream: &TcpStream) -> Option<usize> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        if self.has_ended.load(Ordering::SeqCst) {
            return None;
        }
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        self.connections.lock().unwrap().insert(number, stream.try_clone().unwrap());
        Some(number)
    }

    /// Removes a connection that the peer has closed.
    fn remove(&self, number: usize) {
        self.connections.lock().unwrap().remove(&number);
    }

    /// Ends the target. Its listener closes first, then its connections.
    fn end(&self, address: SocketAddr) {
        if !self.has_ended.swap(true, Ordering::SeqCst) {
            // Unblocks the accept loop.
            drop(TcpStream::connect(address));
        }
    }

    /// Closes all connections.
    fn close_connections(&self) {
        for connection in self.connections.lock().unwrap().values() {
            drop(connection.shutdown(Shutdown::Both));
        }
    }
}

/// The complete answer of a target.
fn response_text(answer: &Answer, name: &str) -> String {
    let Answer { attempt, body, signals, is_rejected, .. } = answer;
    if *is_rejected {
        return format!(
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n{signals}\
             Content-Length: 0\r\n\r\n"
        );
    }
    let fields = format!("Attempt-Id: {attempt}\r\nResponse-Signature: {name}\r\n{signals}");
    let length = body.len();
    let Some(way) = answer.broken else {
        return format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}");
    };
    // Callers would get all but the first cut short.
    let (status, rest) = match way % 4 {
        0 => (600, format!("Content-Length: {length}\r\n\r\n{body}")),
        1 => (200, format!("Content-Length: 3\r\nContent-Length: {length}\r\n\r\n{body}")),
        2 => (200, format!("Transfer-Encoding: chunked\r\n\r\n1\r\ns\r\n\r\n{body}\r\n\r\n")),
        _ => (200, format!("Content-Length: +3\r\n\r\n{body}")),
    };
    format!("HTTP/1.1 {status} X\r\n{fields}{rest}")
}

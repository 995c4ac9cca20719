//! Stand-ins for targets: what they say of themselves, and how they answer.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::store::read_request;

/// A heartbeat of a target that started in millisecond 5,000.
pub fn heartbeat(service: &str, state: &str, sequence: u64) -> serde_json::Value {
    serde_json::json!({
        "address": "x",
        "born": 5_000,
        "information": { "service": service, "version": "v1", "zone": "a", "slots": 9 },
        "status": { "state": state, "sequence": sequence, "coldRemainingMs": 0 },
    })
}

/// What stands in the path of a request that ends the target that begins to run it.
pub const CRASHES: &str = "crash";

/// Serves requests at `address`, one after the other on each connection, and signs the answers with `name`.
/// `run` is given the path, and gives the id of the attempt and the body.
pub fn serve(
    address: SocketAddr,
    name: &str,
    run: impl Fn(&str) -> (String, String) + Send + Sync + 'static,
) {
    serve_lives(address, name, None, run);
}

/// The same, of a target that ends with all its connections at a request whose path holds `CRASHES`, and comes back
/// after `down`, if at all.
pub fn serve_lives(
    address: SocketAddr,
    name: &str,
    down: Option<Duration>,
    run: impl Fn(&str) -> (String, String) + Send + Sync + 'static,
) {
    let mut listener = TcpListener::bind(address).unwrap();
    let (name, run) = (name.to_owned(), Arc::new(run));
    thread::spawn(move || {
        loop {
            serve_life(&listener, &name, &run);
            drop(listener);
            let Some(down) = down else { return };
            thread::sleep(down);
            listener = TcpListener::bind(address).unwrap();
        }
    });
}

/// Serves one life of a target, to its end.
fn serve_life<R>(listener: &TcpListener, name: &str, run: &Arc<R>)
where
    R: Fn(&str) -> (String, String) + Send + Sync + 'static,
{
    let life = Arc::new(Life::default());
    let address = listener.local_addr().unwrap();
    for stream in listener.incoming() {
        let stream = stream.unwrap();
        let Some(number) = life.take(&stream) else { return };
        let (name, run, life) = (name.to_owned(), Arc::clone(run), Arc::clone(&life));
        thread::spawn(move || {
            let mut writer = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Some((path, _)) = read_request(&mut reader) {
                let (attempt, body) = run(&path);
                if path.contains(CRASHES) {
                    return life.end(address);
                }
                drop(writer.write_all(answer_of(&attempt, &name, &body).as_bytes()));
            }
            life.leave(number);
        });
    }
}

/// The connections of one life of a target that are open, by their number; none once it has ended.
struct Life(Mutex<Option<HashMap<usize, TcpStream>>>);

impl Default for Life {
    fn default() -> Self {
        Self(Mutex::new(Some(HashMap::new())))
    }
}

impl Life {
    /// Adds a connection, and gives its number; none where the target has ended.
    fn take(&self, stream: &TcpStream) -> Option<usize> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let mut connections = self.0.lock().unwrap();
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        connections.as_mut()?.insert(number, stream.try_clone().unwrap());
        Some(number)
    }

    /// Forgets a connection that its other end has closed.
    fn leave(&self, number: usize) {
        if let Some(connections) = self.0.lock().unwrap().as_mut() {
            connections.remove(&number);
        }
    }

    /// Ends the target.
    fn end(&self, address: SocketAddr) {
        let Some(connections) = self.0.lock().unwrap().take() else { return };
        // Wakes the listener, which is closed then.
        drop(TcpStream::connect(address));
        for connection in connections.into_values() {
            drop(connection.shutdown(Shutdown::Both));
        }
    }
}

/// A whole answer of a target.
fn answer_of(attempt: &str, name: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {name}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

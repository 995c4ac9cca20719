//! Stand-ins for targets: what they say of themselves, and how they answer.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

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

/// Serves requests at `address`, one after the other on each connection, and signs the answers with `name`.
/// `run` is given the path, and gives the id of the attempt and the body.
pub fn serve(
    address: SocketAddr,
    name: &str,
    run: impl Fn(&str) -> (String, String) + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).unwrap();
    let (name, run) = (name.to_owned(), Arc::new(run));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, name, run) = (stream.unwrap(), name.clone(), Arc::clone(&run));
            thread::spawn(move || {
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some((path, _)) = read_request(&mut reader) {
                    let (attempt, body) = run(&path);
                    drop(writer.write_all(answer_of(&attempt, &name, &body).as_bytes()));
                }
            });
        }
    });
}

/// The same, until a request comes whose path holds `crash`: then the target ends with all its connections.
pub fn serve_until_crash(address: SocketAddr, name: &str) {
    let listener = TcpListener::bind(address).unwrap();
    let name = name.to_owned();
    let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let has_ended = Arc::new(AtomicBool::new(false));
    thread::spawn(move || {
        for stream in listener.incoming() {
            if has_ended.load(Ordering::Relaxed) {
                return;
            }
            let stream = stream.unwrap();
            connections.lock().unwrap().push(stream.try_clone().unwrap());
            let (name, all) = (name.clone(), Arc::clone(&connections));
            let has_ended = Arc::clone(&has_ended);
            thread::spawn(move || {
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some((path, _)) = read_request(&mut reader) {
                    if !path.contains("crash") {
                        drop(writer.write_all(answer_of("a1", &name, &name).as_bytes()));
                        continue;
                    }
                    has_ended.store(true, Ordering::Relaxed);
                    // Wakes the listener, which is closed then.
                    drop(TcpStream::connect(address));
                    for connection in all.lock().unwrap().drain(..) {
                        drop(connection.shutdown(Shutdown::Both));
                    }
                }
            });
        }
    });
}

/// A whole answer of a target.
fn answer_of(attempt: &str, name: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {name}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

//! Stand-ins for targets: what they say of themselves, and how they answer.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
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
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {name}\r\n\
                         Content-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    drop(writer.write_all(answer.as_bytes()));
                }
            });
        }
    });
}

//! A client reads a large answer slowly while the node that took its request gets SIGTERM.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::node::{DWK, Node};
use crate::record::Record;
use crate::site::{self, Route};
use crate::store::Store;

/// The answer, and how fast the client reads it: 4.5 s in all.
const BODY_BYTES: usize = 18 * 1024 * 1024;
const BYTES_PER_S: usize = 4 * 1024 * 1024;
/// The client's deadline, and the route's timeout.
const DEADLINE_MS: u32 = 5_000;
/// The receive buffer of the client's socket.
const RECEIVE_BYTES: i32 = 64 * 1024;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets the size of the receive buffer of the client's own socket.
fn set_receive_buffer(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the socket is open, and the value lives as long as the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &RECEIVE_BYTES, 4) };
}

pub fn run(record: &Arc<Record>, work: &Path) -> Verdict {
    let store = Store::start();
    let route = Route {
        name: "files",
        prefix: "/files/",
        kind: "non_idempotent",
        service: "files",
        timeout_ms: DEADLINE_MS,
    };
    store.put("op", "config", &site::document(4, &[route], &["files"], ""));
    let mut node = Node::prepare(work, store.address, "one", "a", "files", DWK);
    let Ok(listener) = TcpListener::bind(node.target) else { return Verdict::NotRun };
    let backend_record = Arc::clone(record);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = Arc::clone(&backend_record);
            thread::spawn(move || serve(stream, &record));
        }
    });
    node.start();
    let is_up = node.wait_ready(Duration::from_secs(10));
    if !is_up || node.check_in("i-1", "files", "ready", 1) != 200 {
        return Verdict::NotRun;
    }
    let Ok(stream) = TcpStream::connect(node.callers) else { return Verdict::NotRun };
    set_receive_buffer(&stream);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let _ = stream.set_write_timeout(Some(Duration::from_secs(10)));
    let sent_at = Instant::now();
    record.note("the client sends a1");
    let request = format!(
        "POST /files/1 HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: a1\r\nDeadline-Milliseconds: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
    );
    if (&stream).write_all(request.as_bytes()).is_err() {
        return Verdict::NotRun;
    }
    let mut reader = BufReader::new(&stream);
    let Ok(Some(head)) = http::read_head(&mut reader) else { return Verdict::NotRun };
    record.note(&format!("the client reads the head: {}", head.first));
    if head.status() != 200 {
        return Verdict::NotRun;
    }
    if site::has_trouble() {
        node.signal("TERM");
        record.note("the node gets SIGTERM");
    }
    let mut read = 0;
    let mut chunk = vec![0; 64 * 1024];
    let end = loop {
        if read >= head.length() {
            break "the answer is complete";
        }
        match reader.read(&mut chunk) {
            Ok(0) => break "the connection is closed",
            Ok(length) => read += length,
            Err(_) => break "the connection is reset",
        }
        let due = sent_at + Duration::from_secs_f64(read as f64 / BYTES_PER_S as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    let took_ms = sent_at.elapsed().as_millis();
    record.say(&format!(
        "a1: {end} after {read} of {} bytes, {took_ms} ms after the request was sent (deadline {DEADLINE_MS} ms)",
        head.length()
    ));
    if read >= head.length() {
        return Verdict::Held;
    }
    // An answer that is cut at the deadline is excused.
    if took_ms >= u128::from(DEADLINE_MS) { Verdict::NotRun } else { Verdict::Broken }
}

/// The backend: answers at once.
fn serve(mut stream: TcpStream, record: &Record) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(request)) = http::read_message(&mut reader) {
        let id = request.header("Attempt-Id").unwrap_or("").to_owned();
        record.note(&format!("the backend runs {id}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        let body = vec![b'x'; BODY_BYTES];
        if stream.write_all(head.as_bytes()).is_err() || stream.write_all(&body).is_err() {
            return;
        }
        record.note(&format!("the backend has written its whole answer to {id}"));
    }
}

//! A backend pauses while it reads a large body, and the node that took the request gets SIGTERM meanwhile.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
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

/// The body that the client sends; the configuration allows 64 MiB.
const BODY_BYTES: usize = 24 * 1024 * 1024;
/// For how long the backend does not read; without the disruption, for how long it works after it has read all.
const PAUSE: Duration = Duration::from_millis(2_800);
/// The client's deadline, and the route's timeout.
const DEADLINE_MS: u32 = 5_000;
/// How long before the end of the grace period (6 s) a backend that is still at work is an excuse.
const EXCUSED_FROM: Duration = Duration::from_secs(5);

pub fn run(record: &Arc<Record>, work: &Path) -> Verdict {
    let store = Store::start();
    let route = Route {
        name: "files",
        prefix: "/files/",
        kind: "upload",
        service: "files",
        timeout_ms: DEADLINE_MS,
    };
    store.put("op", "config", &site::document(4, &[route], &["files"], ""));
    let mut node = Node::prepare(work, store.address, "one", "a", "files", DWK);
    let Ok(listener) = TcpListener::bind(node.target) else { return Verdict::NotRun };
    let backend_record = Arc::clone(record);
    let reads_late = site::has_trouble();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = Arc::clone(&backend_record);
            thread::spawn(move || serve(stream, reads_late, &record));
        }
    });
    node.start();
    let is_up = node.wait_ready(Duration::from_secs(10));
    if !is_up || node.check_in("i-1", "files", "ready", 1) != 200 {
        return Verdict::NotRun;
    }
    // Longer than `contactMs`.
    thread::sleep(Duration::from_millis(3_500));
    let Ok(stream) = TcpStream::connect(node.callers) else { return Verdict::NotRun };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let _ = stream.set_write_timeout(Some(Duration::from_secs(10)));
    let sent_at = Instant::now();
    let head = format!(
        "POST /files/1 HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: a1\r\nDeadline-Milliseconds: {DEADLINE_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let is_sent = (&stream).write_all(head.as_bytes()).is_ok()
        && (&stream).write_all(&vec![b'x'; BODY_BYTES]).is_ok();
    if !is_sent {
        return Verdict::NotRun;
    }
    record.note("the client has sent the whole of a1");
    thread::sleep(Duration::from_millis(200));
    node.signal("TERM");
    let stopped_at = Instant::now();
    record.note("the node gets SIGTERM");
    let answer = http::read_message(&mut BufReader::new(&stream));
    let took_ms = sent_at.elapsed().as_millis();
    let got = match &answer {
        Ok(Some(answer)) => answer.first.clone(),
        Ok(None) => "the end of the connection".to_owned(),
        Err(error) => error.to_string(),
    };
    record.say(&format!("a1: the client gets {got:?}, {took_ms} ms after it began to send"));
    let is_backends =
        matches!(&answer, Ok(Some(answer)) if answer.header("Response-Signature").is_some());
    if is_backends {
        return Verdict::Held;
    }
    let is_excused =
        took_ms >= u128::from(DEADLINE_MS) || stopped_at.elapsed() >= EXCUSED_FROM;
    if is_excused { Verdict::NotRun } else { Verdict::Broken }
}

/// The backend: begins its work with the head, reads the body late or at once, and answers.
fn serve(mut stream: TcpStream, reads_late: bool, record: &Record) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(request)) = http::read_head(&mut reader) {
        let id = request.header("Attempt-Id").unwrap_or("").to_owned();
        record.note(&format!("the backend begins to work on {id}"));
        if reads_late {
            thread::sleep(PAUSE);
        }
        let mut body = vec![0; request.length()];
        if let Err(error) = reader.read_exact(&mut body) {
            record.note(&format!("the backend reads on and finds {id} broken off: {error}"));
            return;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s1\r\nContent-Length: 2\r\n\r\nok"
        );
        if !reads_late {
            record.note(&format!("the backend has read all of {id} and goes on working"));
            thread::sleep(PAUSE);
        }
        record.note(&format!("the backend has read all of {id} and answers"));
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

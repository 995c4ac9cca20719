//! A request waits for a slot at a busy backend of another machine while the node that took it gets SIGTERM.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::node::{DWK, Node};
use crate::record::Record;
use crate::site::{self, Route};
use crate::store::Store;

/// What the backend says that it runs at once; the node uses 0.94 of that.
const SLOTS: u32 = 4;
const RUNNING: usize = 3;
/// How long the backend works on each request of the other clients, and on the one that is watched.
const WORK: Duration = Duration::from_millis(2_600);
const WATCHED_WORK: Duration = Duration::from_millis(400);
/// How often the requests of other clients fill the slots, one after the other.
const ROUNDS: usize = 2;
/// The deadline of all clients, and the route's timeout.
const DEADLINE_MS: u32 = 6_000;

/// The id of the request that is watched.
const WATCHED: &str = "a1";

type Begun = Arc<Mutex<Vec<String>>>;

pub fn run(record: &Arc<Record>, work: &Path) -> Verdict {
    let store = Store::start();
    let route = Route {
        name: "orders",
        prefix: "/orders/",
        kind: "non_idempotent",
        service: "orders",
        timeout_ms: DEADLINE_MS,
    };
    store.put("op", "config", &site::document(4, &[route], &["orders", "pages"], ""));
    let mut pages = Node::prepare(work, store.address, "pages", "a", "pages", DWK);
    let mut orders = Node::prepare(work, store.address, "orders", "a", "orders", DWK);
    let begun: Begun = Arc::default();
    let Ok(listener) = TcpListener::bind(orders.target) else { return Verdict::NotRun };
    let (backend_begun, backend_record) = (Arc::clone(&begun), Arc::clone(record));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (begun, record) = (Arc::clone(&backend_begun), Arc::clone(&backend_record));
            thread::spawn(move || serve(stream, &begun, &record));
        }
    });
    pages.start();
    orders.start();
    for node in [&pages, &orders] {
        if !node.wait_ready(Duration::from_secs(10)) {
            return Verdict::NotRun;
        }
    }
    if orders.check_in_with("i-1", "orders", "ready", 1, None, SLOTS) != 200 {
        return Verdict::NotRun;
    }
    // Longer than `contactMs`; the nodes tell each other of the backend meanwhile.
    thread::sleep(Duration::from_millis(3_500));
    if site::has_trouble() {
        pages.signal("TERM");
        record.note("the node 'pages' gets SIGTERM");
    }
    let stopped_at = Instant::now();
    thread::sleep(Duration::from_millis(700));
    // Clients beside the other node fill the slots, and the queue in front of them.
    let mut others = Vec::new();
    for number in 0..ROUNDS * RUNNING {
        let (callers, record) = (orders.callers, Arc::clone(record));
        others.push(thread::spawn(move || send(callers, &format!("b{number}"), &record)));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(100));
    let sent_at = Instant::now();
    let got = send(pages.callers, WATCHED, record);
    let took_ms = sent_at.elapsed().as_millis();
    let has_begun = begun.lock().unwrap().iter().any(|id| id == WATCHED);
    record.say(&format!(
        "a1, sent {} ms after the SIGTERM: {got} after {took_ms} ms; {} by the backend",
        (sent_at - stopped_at).as_millis(),
        if has_begun { "begun" } else { "not begun" }
    ));
    for other in others {
        let _ = other.join();
    }
    let is_answered = got.starts_with("HTTP/1.1 ");
    if is_answered {
        return Verdict::Held;
    }
    // At its deadline, or while its backend is at work late in the grace, a cut is excused.
    if has_begun || took_ms >= u128::from(DEADLINE_MS) { Verdict::NotRun } else { Verdict::Broken }
}

/// Sends a request; its answer's first line, or how the connection ended.
fn send(callers: std::net::SocketAddr, id: &str, record: &Record) -> String {
    let request = format!(
        "POST /orders/{id} HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
    );
    record.note(&format!("a client sends {id}"));
    let answer = http::call(callers, request.as_bytes(), Duration::from_secs(10));
    let got = match answer {
        Ok(answer) => answer.first,
        Err(error) => format!("no answer ({})", error.kind()),
    };
    record.note(&format!("{id}: {got}"));
    got
}

fn serve(mut stream: TcpStream, begun: &Begun, record: &Record) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(request)) = http::read_message(&mut reader) {
        let id = request.header("Attempt-Id").unwrap_or("").to_owned();
        begun.lock().unwrap().push(id.clone());
        record.note(&format!("the backend begins to work on {id}"));
        thread::sleep(if id == WATCHED { WATCHED_WORK } else { WORK });
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s1\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

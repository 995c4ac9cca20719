//! The time of day jumps back while a backend restarts under its id; the backend leaves later.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::http;
use crate::node::{Node, TWMTS};
use crate::record::Record;
use crate::site::{self, Route};
use crate::store::Store;

/// How far the time of day jumps back, how long the first boot runs, and for how long the backend is then down.
const STEP_BACK_MS: u64 = 2_000;
const UP: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(600);
/// `drainMs` of the node's settings.
const DRAIN: Duration = Duration::from_millis(2_500);
/// `contactMs`: how long the machine has been without a disruption when the backend leaves.
const CONTACT: Duration = Duration::from_millis(3_000);
const ID: &str = "i-7f3a91c2";
/// The machines, each with a backend; one of them is hit, an eighth.
const MACHINES: usize = 8;

/// When the backend that is hit began to work on a request.
type Runs = Arc<Mutex<Vec<f64>>>;

/// One boot of the backend: its listener and its open connections.
struct Boot {
    address: SocketAddr,
    is_over: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Boot {
    fn start(
        address: SocketAddr,
        id: &str,
        name: &'static str,
        runs: &Runs,
        record: &Arc<Record>,
    ) -> Option<Self> {
        let listener = TcpListener::bind(address).ok()?;
        let boot = Self { address, is_over: Arc::default(), open: Arc::default() };
        let (is_over, open) = (Arc::clone(&boot.is_over), Arc::clone(&boot.open));
        let (id, runs, record) = (id.to_owned(), Arc::clone(runs), Arc::clone(record));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (id, runs, record) = (id.clone(), Arc::clone(&runs), Arc::clone(&record));
                thread::spawn(move || serve(stream, &id, name, &runs, &record));
            }
        });
        Some(boot)
    }

    /// Ends as a crashed process does: all its sockets are closed.
    fn crash(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, so that it drops the listener.
        drop(TcpStream::connect(self.address));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

pub fn run(record: &Arc<Record>, work: &Path) -> Verdict {
    let store = Store::start();
    let route = Route {
        name: "stock",
        prefix: "/stock/",
        kind: "non_idempotent",
        service: "stock",
        timeout_ms: 3_000,
    };
    store.put("op", "config", &site::document(4, &[route], &["stock"], ""));
    let (runs, other_runs) = (Runs::default(), Runs::default());
    let mut others = Vec::new();
    for number in 1..MACHINES {
        let name = format!("machine-{number}");
        others.push(Node::prepare(work, store.address, &name, "a", "stock", TWMTS));
    }
    let mut node = Node::prepare(work, store.address, "machine-0", "a", "stock", TWMTS);
    let Some(first) = Boot::start(node.target, ID, "first boot", &runs, record) else {
        return Verdict::NotRun;
    };
    node.start();
    let mut boots = Vec::new();
    for (index, other) in others.iter_mut().enumerate() {
        let id = format!("i-{index}");
        let boot = Boot::start(other.target, &id, "another backend", &other_runs, record);
        let Some(boot) = boot else { return Verdict::NotRun };
        boots.push(boot);
        other.start();
    }
    if !node.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun;
    }
    for (index, other) in others.iter().enumerate() {
        let is_up = other.wait_ready(Duration::from_secs(10));
        let id = format!("i-{index}");
        if !is_up || other.check_in_born(&id, "stock", "ready", 1, Some(1_000)) != 200 {
            return Verdict::NotRun;
        }
    }
    let now_ms = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis());
    let born = now_ms() as u64;
    let check_in = |born: u64, state: &str, sequence: u64| {
        let status = node.check_in_born(ID, "stock", state, sequence, Some(born));
        record.note(&format!("check-in {ID} born {born} {state} {sequence}: {status}"));
        status
    };
    if check_in(born, "ready", 1) != 200 || send(&node, "a1", record) != 200 {
        return Verdict::NotRun;
    }
    thread::sleep(UP);
    first.crash();
    record.note("the backend crashes");
    thread::sleep(DOWN);
    let Some(_second) = Boot::start(node.target, ID, "second boot", &runs, record) else {
        return Verdict::NotRun;
    };
    let step = if site::has_trouble() { STEP_BACK_MS } else { 0 };
    let born = now_ms() as u64 - step;
    record.note(&format!("the backend starts again; its clock has jumped back {step} ms"));
    if check_in(born, "ready", 1) != 200 || send(&node, "a2", record) != 200 {
        return Verdict::NotRun;
    }
    let mut sequence = 1;
    let until = record.now() + CONTACT.as_secs_f64() + 1.0;
    while record.now() < until {
        thread::sleep(Duration::from_millis(1_000));
        sequence += 1;
        check_in(born, "ready", sequence);
    }
    if check_in(born, "draining", sequence + 1) != 200 {
        return Verdict::NotRun;
    }
    let acknowledged = record.now();
    thread::sleep(DRAIN);
    // The backend goes on for a little longer, as the pages say.
    let due = record.now();
    for number in 3..13 {
        thread::sleep(Duration::from_millis(100));
        send(&node, &format!("a{number}"), record);
    }
    let late = runs.lock().unwrap().iter().filter(|begun| **begun >= due).count();
    record.say(&format!(
        "{late} of 10 requests were run by the backend that leaves, sent later than {} ms after the acknowledgement at {acknowledged:.3}",
        DRAIN.as_millis()
    ));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

fn send(node: &Node, id: &str, record: &Record) -> u16 {
    let request = format!(
        "POST /stock/1 HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: 3000\r\nContent-Length: 0\r\n\r\n"
    );
    record.note(&format!("{id} is sent"));
    let answer = http::call(node.callers, request.as_bytes(), Duration::from_secs(5));
    let status = answer.map_or(0, |answer| answer.status());
    record.note(&format!("{id} is answered {status}"));
    status
}

fn serve(mut stream: TcpStream, own_id: &str, name: &str, runs: &Runs, record: &Record) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(request)) = http::read_message(&mut reader) {
        let id = request.header("Attempt-Id").unwrap_or("").to_owned();
        let answer = if request.header("Expected-Instance").is_some_and(|wanted| wanted != own_id) {
            format!("HTTP/1.1 421 -\r\nAttempt-Id: {id}\r\nInstance-Id: {own_id}\r\nContent-Length: 0\r\n\r\n")
        } else {
            runs.lock().unwrap().push(record.now());
            record.note(&format!("{name} runs {id}"));
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s1\r\nContent-Length: 2\r\n\r\nok"
            )
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

//! All nodes are killed and start again while the store is slow and one tenant sends many times its usual.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::node::{Node, TWMTS};
use crate::record::Record;
use crate::site::{self, Route};
use crate::store::Store;

const NODES: usize = 8;
const PER_S: f64 = 160.0;
const BURST: f64 = 80.0;
const WINDOW_S: f64 = 5.0;
/// What the tenant sends per second, usually and while it is hot (7.5 times that).
const USUAL_PER_S: f64 = 100.0;
const HOT_FACTOR: f64 = 7.5;
/// How long an answer of the store takes, usually and while it is slow (60 times that).
const ANSWER_MS: u64 = 4;
const SLOW_FACTOR: u64 = 60;
const ALLOWED: f64 = (PER_S * WINDOW_S + BURST) * 1.1 + 20.0;

/// When each request was sent and when it ran.
type Runs = Arc<Mutex<HashMap<String, (f64, Option<f64>)>>>;

pub fn run(record: &Arc<Record>, work: &Path) -> Verdict {
    let store = Store::start();
    let route =
        Route { name: "look", prefix: "/look/", kind: "idempotent", service: "stock", timeout_ms: 3_000 };
    let tenant = format!(
        r#",{{"resourceKind":"tenants","metadata":{{"name":"growers"}},"specification":{{"apiKeys":["key-1"],"ratePerS":{PER_S},"burst":{BURST}}}}}"#
    );
    store.put("op", "config", &site::document(4, &[route], &["stock"], &tenant));
    let mut nodes = Vec::new();
    for index in 0..NODES {
        let zone = ["a", "b"][index % 2];
        let name = format!("node-{index}");
        nodes.push(Node::prepare(work, store.address, &name, zone, "stock", TWMTS));
    }
    let runs: Runs = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    for node in &nodes {
        let listener = TcpListener::bind(node.target).expect("the address of the backend");
        let (runs, record) = (Arc::clone(&runs), Arc::clone(record));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runs, record) = (Arc::clone(&runs), Arc::clone(&record));
                thread::spawn(move || serve(stream, &runs, &record));
            }
        });
    }
    for node in &mut nodes {
        node.start();
    }
    for node in &nodes {
        if !node.wait_ready(Duration::from_secs(10)) {
            return Verdict::NotRun;
        }
    }
    let sequence = Arc::new(AtomicU64::new(1));
    for (index, node) in nodes.iter().enumerate() {
        if node.check_in(&format!("i-{index}"), "stock", "ready", 1) != 200 {
            return Verdict::NotRun;
        }
        spawn_check_ins(node, index, &sequence, &is_over);
    }
    let rate = Arc::new(Mutex::new(USUAL_PER_S));
    let next = Arc::new(AtomicU64::new(0));
    for node in &nodes {
        spawn_clients(node.callers, &rate, &next, &is_over, &runs, record);
    }
    thread::sleep(Duration::from_secs(6));
    *rate.lock().unwrap() = USUAL_PER_S * HOT_FACTOR;
    record.note("the tenant sends 7.5 times its usual");
    thread::sleep(Duration::from_secs(2));
    if site::has_trouble() {
        if std::env::var("STORE").map_or(true, |value| value != "usual") {
            store.answer_ms.store(ANSWER_MS * SLOW_FACTOR, Ordering::SeqCst);
            record.note("the store is slow: its answers take 60 times as long");
        }
        thread::sleep(Duration::from_millis(200));
        for node in &mut nodes {
            node.kill();
        }
        record.note("all nodes are killed");
        thread::sleep(Duration::from_millis(500));
        for node in &mut nodes {
            node.start();
        }
        record.note("all nodes start again");
        thread::sleep(Duration::from_millis(3_800));
        store.answer_ms.store(ANSWER_MS, Ordering::SeqCst);
        record.note("the store is as usual again");
    } else {
        thread::sleep(Duration::from_millis(4_500));
    }
    *rate.lock().unwrap() = USUAL_PER_S;
    record.note("the tenant sends its usual again");
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(500));
    // Requests that were both sent and run within the window.
    let runs = runs.lock().unwrap();
    let done: Vec<(f64, f64)> =
        runs.values().filter_map(|(sent, ran)| Some((*sent, (*ran)?))).collect();
    let (mut most, mut from) = (0, 0.0);
    for (start, _) in &done {
        let within = |(sent, ran): &&(f64, f64)| sent >= start && *ran <= start + WINDOW_S;
        let count = done.iter().filter(within).count();
        if count > most {
            (most, from) = (count, *start);
        }
    }
    record.say(&format!(
        "most requests of the tenant that were sent and run within {WINDOW_S} s: {most}, from {from:.3} s; allowed {ALLOWED:.0}"
    ));
    if most as f64 > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// The check-ins of the backend beside a node, every 1.5 s, repeated sooner if they fail.
fn spawn_check_ins(node: &Node, index: usize, sequence: &Arc<AtomicU64>, is_over: &Arc<AtomicBool>) {
    let (control, target) = (node.control, node.target);
    let (sequence, is_over) = (Arc::clone(sequence), Arc::clone(is_over));
    thread::spawn(move || {
        let probe = Node::beside(control, target);
        while !is_over.load(Ordering::SeqCst) {
            let number = sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let status = probe.check_in(&format!("i-{index}"), "stock", "ready", number);
            thread::sleep(Duration::from_millis(if status == 200 { 1_500 } else { 250 }));
        }
    });
}

/// The clients of one machine: they send at a steady rate, each request on a connection of its own.
fn spawn_clients(
    callers: SocketAddr,
    rate: &Arc<Mutex<f64>>,
    next: &Arc<AtomicU64>,
    is_over: &Arc<AtomicBool>,
    runs: &Runs,
    record: &Arc<Record>,
) {
    let (rate, next) = (Arc::clone(rate), Arc::clone(next));
    let (is_over, runs, record) = (Arc::clone(is_over), Arc::clone(runs), Arc::clone(record));
    thread::spawn(move || {
        let mut due = Instant::now();
        while !is_over.load(Ordering::SeqCst) {
            due += Duration::from_secs_f64(NODES as f64 / *rate.lock().unwrap());
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let number = next.fetch_add(1, Ordering::SeqCst);
            let (runs, record) = (Arc::clone(&runs), Arc::clone(&record));
            thread::spawn(move || send(callers, number, &runs, &record));
        }
    });
}

fn send(callers: SocketAddr, number: u64, runs: &Runs, record: &Record) {
    let id = format!("a{number}");
    let request = format!(
        "GET /look/1 HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: 3000\r\nX-Api-Key: key-1\r\nConnection: close\r\n\r\n"
    );
    let sent = record.now();
    runs.lock().unwrap().insert(id.clone(), (sent, None));
    let answer = http::call(callers, request.as_bytes(), Duration::from_secs(3));
    let answer = answer.map_or_else(|error| error.kind().to_string(), |answer| answer.status().to_string());
    record.note(&format!("{id} sent at {sent:.3}, answered {answer}"));
}

fn serve(mut stream: TcpStream, runs: &Runs, record: &Record) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(request)) = http::read_message(&mut reader) {
        let id = request.header("Attempt-Id").unwrap_or("").to_owned();
        let now = record.now();
        if let Some((_, ran)) = runs.lock().unwrap().get_mut(&id) {
            ran.get_or_insert(now);
        }
        record.note(&format!("{id} runs"));
        thread::sleep(Duration::from_millis(20));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s1\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

//! Large uploads to one node, at once or one after the other.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::http;
use crate::site::{End, Node, Random, Site, wait_ready};

const ZONE: &str = "amman-hall-a";
/// `memoryMb`.
const MEMORY_KB: u64 = 260 * 1024;
/// Number and length of the uploads; the route takes up to 64 MiB.
const UPLOADS: u64 = 6;
const BODY_BYTES: usize = 48 << 20;
/// How long a client takes to send one.
const SENDING: Duration = Duration::from_secs(2);
const BOUNDS: &str = r#"{"graceS":6,"retryBudgetRatio":0.2,"retryBudgetSlack":49}"#;
const CONFIG: &str = r#"{"version":"r7","resources":[
{"resourceKind":"routes","metadata":{"name":"r-upload"},"specification":{"host":"shop.example",
"prefix":"/upload/","kind":"upload","timeoutMs":6000,"targetLatencyMs":1500,"priority":1,
"service":"uploads","attempts":2}},
{"resourceKind":"services","metadata":{"name":"uploads"},"specification":{"healthPath":"/health",
"maxConnections":1432,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"specification":{"maxHeaderBytes":16384,
"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}"#;

pub fn run(site: &Site, trouble: bool) -> End {
    let record = &site.record;
    site.store.put("op", "config", CONFIG.as_bytes());
    let mut nodes = Vec::new();
    for name in ["a-1", "a-2", "a-3"] {
        let machine = site.machine();
        let node = site.node(name, ZONE, "uploads", machine, BOUNDS);
        let id = format!("i-{name}");
        let backend = Backend::new(record, machine, "uploads", &id, (300, 500), 400);
        backend.serve();
        node.start();
        backend.check_in(ZONE, 222);
        nodes.push(node);
    }
    if !wait_ready(&nodes, Duration::from_secs(15)) {
        nodes.iter().for_each(Node::end);
        return End::NotRun("the nodes did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let most_kb = Arc::new(AtomicU64::new(0));
    let watch = {
        let (node, stop, most_kb) = (nodes[0].clone(), Arc::clone(&stop), Arc::clone(&most_kb));
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                most_kb.fetch_max(node.memory_kb(), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for client in 0..UPLOADS {
        let (node, statuses) = (nodes[0].clone(), Arc::clone(&statuses));
        let upload = move || {
            let id = format!("{:016x}", Random::fresh(client).next());
            let status = send(&node, &id).unwrap_or(0);
            statuses.lock().unwrap().push(status);
        };
        match trouble {
            true => threads.push(thread::spawn(upload)),
            false => upload(),
        }
    }
    for thread in threads {
        thread.join().ok();
    }
    stop.store(true, Ordering::SeqCst);
    watch.join().ok();
    nodes.iter().for_each(Node::end);
    let most_kb = most_kb.load(Ordering::SeqCst);
    let statuses = statuses.lock().unwrap();
    let text =
        format!("statuses {statuses:?}; the node that took them held {most_kb} kB of {MEMORY_KB}");
    if statuses.iter().any(|status| *status != 200) {
        return End::NotRun(text);
    }
    if most_kb <= MEMORY_KB { End::Held(text) } else { End::Broken(text) }
}

fn send(node: &Node, id: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(node.machine.outbound())?;
    stream.set_read_timeout(Some(Duration::from_secs(7)))?;
    let head = format!(
        "POST /upload/2f HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Milliseconds: 6000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let began = Instant::now();
    let piece = vec![b'u'; 64 << 10];
    for sent in (0..BODY_BYTES).step_by(piece.len()) {
        let due = SENDING.mul_f64(sent as f64 / BODY_BYTES as f64);
        thread::sleep(due.saturating_sub(began.elapsed()));
        stream.write_all(&piece)?;
    }
    let answer = http::read_message(&mut BufReader::new(stream))?;
    Ok(answer.map_or(0, |answer| answer.status()))
}

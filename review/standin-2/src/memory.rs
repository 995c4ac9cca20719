//! Four clients upload large bodies to one node at the same time; the platform kills what exceeds its memory.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::node::{DWK, Node};
use crate::record::Record;
use crate::site::{self, Route};
use crate::store::Store;

/// `memoryMb` of the nodes' settings.
const MEMORY_MB: u64 = 260;
/// The bodies; the configuration allows 64 MiB.
const BODY_BYTES: usize = 60 * 1024 * 1024;
const UPLOADS: usize = 4;
/// Clients with kept connections and requests on which the backend works meanwhile.
const KEPT: usize = 8;
const WORK: Duration = Duration::from_millis(1_500);
const DEADLINE_MS: u32 = 5_000;

type Begun = Arc<Mutex<Vec<String>>>;

pub fn run(record: &Arc<Record>, work: &Path) -> Verdict {
    let store = Store::start();
    let route = |name, prefix, kind| Route {
        name,
        prefix,
        kind,
        service: "files",
        timeout_ms: DEADLINE_MS,
    };
    let routes =
        [route("orders", "/orders/", "non_idempotent"), route("files", "/files/", "upload")];
    store.put("op", "config", &site::document(4, &routes, &["files", "pages"], ""));
    let mut pages = Node::prepare(work, store.address, "pages", "a", "pages", DWK);
    let mut files = Node::prepare(work, store.address, "files", "a", "files", DWK);
    let begun: Begun = Arc::default();
    let Ok(listener) = TcpListener::bind(files.target) else { return Verdict::NotRun };
    let (backend_begun, backend_record) = (Arc::clone(&begun), Arc::clone(record));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (begun, record) = (Arc::clone(&backend_begun), Arc::clone(&backend_record));
            thread::spawn(move || serve(stream, &begun, &record));
        }
    });
    pages.start();
    files.start();
    for node in [&pages, &files] {
        if !node.wait_ready(Duration::from_secs(10)) {
            return Verdict::NotRun;
        }
    }
    if files.check_in("i-1", "files", "ready", 1) != 200 {
        return Verdict::NotRun;
    }
    // Longer than `contactMs`: the machines are in touch from here on.
    thread::sleep(Duration::from_millis(3_500));
    let (is_over, most_kb) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    for node in [&pages, &files] {
        watch_memory(node, &is_over, &most_kb, record);
    }
    let callers = pages.callers;
    let mut kept = Vec::new();
    for number in 0..KEPT {
        let record = Arc::clone(record);
        kept.push(thread::spawn(move || call_twice(callers, number, &record)));
    }
    thread::sleep(Duration::from_millis(500));
    let mut uploads = Vec::new();
    for number in 0..UPLOADS {
        let upload_record = Arc::clone(record);
        let upload = thread::spawn(move || upload(callers, number, &upload_record));
        if site::has_trouble() {
            uploads.push(upload);
        } else {
            // One after the other.
            let _ = upload.join();
        }
    }
    for upload in uploads {
        let _ = upload.join();
    }
    let cut: Vec<String> = kept.into_iter().filter_map(|client| client.join().ok()?).collect();
    is_over.store(true, Ordering::SeqCst);
    let begun = begun.lock().unwrap();
    let cut_at_work = cut.iter().filter(|id| begun.contains(id)).count();
    record.say(&format!(
        "{cut_at_work} of {KEPT} requests on kept connections, on which the backend was at work, ended without an answer; the most memory of a node was {} MiB of {MEMORY_MB}",
        most_kb.load(Ordering::SeqCst) / 1024
    ));
    if cut_at_work > 3 { Verdict::Broken } else { Verdict::Held }
}

/// The platform: kills a process that exceeds its memory.
fn watch_memory(
    node: &Node,
    is_over: &Arc<AtomicBool>,
    most_kb: &Arc<AtomicU64>,
    record: &Arc<Record>,
) {
    let (pid, name) = (node.pid(), node.name.clone());
    let (is_over, most_kb) = (Arc::clone(is_over), Arc::clone(most_kb));
    let record = Arc::clone(record);
    thread::spawn(move || {
        while !is_over.load(Ordering::SeqCst) {
            let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
            let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
            let used = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
            let used_kb = used.unwrap_or(0);
            most_kb.fetch_max(used_kb, Ordering::SeqCst);
            if used_kb > MEMORY_MB * 1024 {
                record.note(&format!("the node {name} uses {} MiB and is killed", used_kb / 1024));
                let kill = format!("kill -KILL {pid}");
                let _ = std::process::Command::new("sh").args(["-c", &kill]).status();
                return;
            }
            thread::sleep(Duration::from_millis(2));
        }
    });
}

/// Sends two requests on one connection; the id of the second if it ends without an answer.
fn call_twice(callers: SocketAddr, number: usize, record: &Record) -> Option<String> {
    let stream = TcpStream::connect(callers).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let mut reader = BufReader::new(&stream);
    for part in ["short", "long"] {
        let id = format!("k{number}-{part}");
        let request = format!(
            "POST /orders/{part} HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
        );
        record.note(&format!("{id} is sent"));
        (&stream).write_all(request.as_bytes()).ok()?;
        let answer = http::read_message(&mut reader).ok().flatten();
        let got = answer.as_ref().map_or("no answer", |answer| answer.first.as_str());
        record.note(&format!("{id}: {got}"));
        if answer.is_none() {
            return Some(id);
        }
        if part == "short" {
            thread::sleep(Duration::from_millis(300));
        }
    }
    None
}

fn upload(callers: SocketAddr, number: usize, record: &Record) {
    let sent_at = Instant::now();
    let Ok(stream) = TcpStream::connect(callers) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let _ = stream.set_write_timeout(Some(Duration::from_secs(10)));
    let head = format!(
        "POST /files/1 HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: u{number}\r\nDeadline-Milliseconds: {DEADLINE_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    record.note(&format!("u{number} is sent, {BODY_BYTES} bytes"));
    let _ = (&stream).write_all(head.as_bytes());
    let _ = (&stream).write_all(&vec![b'x'; BODY_BYTES]);
    let answer = http::read_message(&mut BufReader::new(&stream)).ok().flatten();
    let got = answer.map_or("no answer".to_owned(), |answer| answer.first);
    record.note(&format!("u{number}: {got} after {} ms", sent_at.elapsed().as_millis()));
}

fn serve(mut stream: TcpStream, begun: &Begun, record: &Record) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(request)) = http::read_message(&mut reader) {
        let id = request.header("Attempt-Id").unwrap_or("").to_owned();
        begun.lock().unwrap().push(id.clone());
        record.note(&format!("the backend begins to work on {id}"));
        if request.word(1).ends_with("/long") {
            thread::sleep(WORK);
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s1\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

//! A rolling restart while clients read large answers slowly.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, What};
use crate::http;
use crate::site::{End, Node, Random, Record, Roll, Site, ask_readiness, may_send, wait_ready};

const ZONE: &str = "nz-south-a";
const SERVICE: &str = "firmware";
/// `graceS`.
const GRACE: Duration = Duration::from_secs(6);
/// `roll_term`, `gap_s = 2.0`.
const GAP: Duration = Duration::from_secs(2);
/// The deadline of a client and the time-out of the route.
const DEADLINE: Duration = Duration::from_millis(4_000);
const RUN_FOR: Duration = Duration::from_secs(30);
/// The length of an answer, and how many of its bytes a client reads in a second: 2.8 s for all.
const ANSWER_BYTES: usize = 8 << 20;
const READ_PER_S: usize = 3_000_000;
const BOUNDS: &str = r#"{"seedLagS":3,"addressReuseS":2,"contactMs":3000,"ackMs":5000,"catchUpS":6,
"drainMs":2500,"graceS":6,"lossSlackMs":200,"configApplyMs":2500,"rollbackSlackMs":250,
"maxStretchMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":102,
"recoveryS":15}"#;
const CONFIG: &str = r#"{"version":"r7","baseVersion":"r5","resources":[
{"resourceKind":"routes","metadata":{"name":"r-pull"},"specification":{"host":"farm.example",
"prefix":"/pull/","kind":"download","timeoutMs":4000,"targetLatencyMs":800,"priority":1,
"service":"firmware","attempts":2}},
{"resourceKind":"services","metadata":{"name":"firmware"},"specification":{"healthPath":"/health",
"maxConnections":1834,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"specification":{"maxHeaderBytes":16384,
"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}"#;

struct Attempt {
    id: String,
    node: usize,
    sent: Instant,
    ended: Instant,
    how: How,
}

#[derive(Clone, Debug, PartialEq)]
enum How {
    Whole,
    Status(u16),
    NotSent(String),
    /// The connection ended after so many bytes of the body.
    Cut(usize),
    DeadlinePassed(usize),
}

pub fn run(site: &Site, trouble: bool) -> End {
    let record = &site.record;
    site.store.put("op", "config", CONFIG.as_bytes());
    record.line("operator: config r7; /pull/ is download");
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    for name in ["a-1", "a-2", "a-3"] {
        let machine = site.machine();
        let node = site.node(name, ZONE, SERVICE, machine, BOUNDS);
        let id = format!("i-{name}");
        let backend = Backend::new(record, machine, SERVICE, &id, (100, 260), ANSWER_BYTES);
        backend.serve();
        node.start();
        backend.check_in(ZONE, 289);
        nodes.push(node);
        backends.push(backend);
    }
    if !wait_ready(&nodes, Duration::from_secs(15)) {
        nodes.iter().for_each(Node::end);
        return End::NotRun("the nodes did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let takes_work: Vec<_> = nodes.iter().map(|_| Arc::new(AtomicBool::new(true))).collect();
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for index in 0..nodes.len() {
        let (asked, ends, is_in) =
            (nodes[index].clone(), Arc::clone(&stop), Arc::clone(&takes_work[index]));
        threads.push(thread::spawn(move || ask_readiness(&asked, &is_in, &ends)));
        for client in 0..6 {
            let node = nodes[index].clone();
            let (stop, all) = (Arc::clone(&stop), takes_work.clone());
            let (attempts, record) = (Arc::clone(&attempts), record.clone());
            threads.push(thread::spawn(move || {
                let mut random = Random::fresh((index * 100 + client) as u64);
                thread::sleep(Duration::from_millis(random.next() % 3_000));
                while !stop.load(Ordering::SeqCst) {
                    if may_send(&all, index) {
                        let attempt = pull(&node, index, &mut random, &record);
                        attempts.lock().unwrap().push(attempt);
                    }
                    thread::sleep(Duration::from_millis(200 + random.next() % 300));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(6));
    let mut roll = Roll::new(&nodes, GAP, GRACE);
    let began = Instant::now();
    while began.elapsed() < RUN_FOR {
        if trouble {
            roll.advance();
        }
        thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().ok();
    }
    nodes.iter().for_each(Node::end);
    judge(record, &attempts.lock().unwrap(), &backends, &roll)
}

/// LOST, around a SIGTERM of the machine that took the request: the request was passed on to a
/// backend, and its connection ended without a complete answer until 1 s after `graceS`.
fn judge(record: &Record, attempts: &[Attempt], backends: &[Arc<Backend>], roll: &Roll) -> End {
    let whole = attempts.iter().filter(|attempt| attempt.how == How::Whole).count();
    let (mut lost, mut other) = (0, 0);
    for attempt in attempts {
        let How::Cut(bytes) = attempt.how else {
            other += usize::from(attempt.how != How::Whole);
            continue;
        };
        let term = roll.terms[attempt.node];
        let is_around = term.is_some_and(|term| {
            attempt.ended >= term && attempt.ended <= term + GRACE + Duration::from_secs(1)
        });
        let is_late = attempt.ended - attempt.sent >= DEADLINE;
        let passed_on = backends.iter().any(|backend| {
            let events = backend.events.lock().unwrap();
            let mut events = events.iter().filter(|e| e.attempt == attempt.id);
            // The backend has made its whole answer: it is no longer at work.
            events.any(|e| e.what == What::Ended && e.at < attempt.ended)
        });
        if is_around && passed_on && !is_late {
            record.line(format!(
                "LOST: {} was answered by its backend; its connection ended after {bytes} of \
                 {ANSWER_BYTES} bytes, {:.3} s after it was sent and {:.3} s after SIGTERM",
                attempt.id,
                (attempt.ended - attempt.sent).as_secs_f64(),
                (attempt.ended - term.unwrap()).as_secs_f64()
            ));
            lost += 1;
        } else {
            other += 1;
        }
    }
    let text = format!(
        "{} attempts, {whole} answered whole, {lost} lost around a SIGTERM, {other} ended otherwise; \
         processes that ended badly: {:?}",
        attempts.len(),
        roll.crashed
    );
    if whole < 50 {
        return End::NotRun(format!("too few answers: {text}"));
    }
    if lost == 0 { End::Held(text) } else { End::Broken(text) }
}

fn pull(node: &Node, index: usize, random: &mut Random, record: &Record) -> Attempt {
    let id = format!("{:016x}", random.next());
    let began = Instant::now();
    let (sent, how) = match exchange(node, &id) {
        Ok(found) => found,
        Err(error) => (began, How::NotSent(error.to_string())),
    };
    let ended = Instant::now();
    let took = (ended - sent).as_secs_f64();
    record.line(format!("client on {}: {id} sent {took:.3} s ago: {how:?}", node.name));
    Attempt { id, node: index, sent, ended, how }
}

fn exchange(node: &Node, id: &str) -> std::io::Result<(Instant, How)> {
    let address = node.machine.outbound();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let headers = [("Host", "farm.example"), ("Attempt-Id", id), ("Deadline-Milliseconds", "4000")];
    stream.write_all(&http::request("GET", "/pull/2f", &headers, b""))?;
    let sent = Instant::now();
    // Reads no more from the socket than is asked for.
    let mut reader = BufReader::with_capacity(16_384, stream);
    let head = match http::read_head(&mut reader) {
        Ok(Some(head)) => head,
        _ => return Ok((sent, How::Cut(0))),
    };
    if head.status() != 200 {
        return Ok((sent, How::Status(head.status())));
    }
    let length: usize = head.header("content-length").and_then(|t| t.parse().ok()).unwrap_or(0);
    let reading = Instant::now();
    let mut read = reader.buffer().len().min(length);
    reader.consume(read);
    let mut piece = [0; 16_384];
    while read < length {
        if sent.elapsed() >= DEADLINE {
            return Ok((sent, How::DeadlinePassed(read)));
        }
        let due = Duration::from_secs_f64(read as f64 / READ_PER_S as f64);
        thread::sleep(due.saturating_sub(reading.elapsed()));
        let wanted = piece.len().min(length - read);
        match reader.read(&mut piece[..wanted]) {
            Ok(0) | Err(_) => return Ok((sent, How::Cut(read))),
            Ok(count) => read += count,
        }
    }
    Ok((sent, How::Whole))
}

//! Backends reject a part of their requests, and some repeat a part of their answers late.

use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Faults, What};
use crate::http;
use crate::site::{End, Node, Random, Site, wait_ready};

const ZONE: &str = "nz-south-a";
/// The number of backends, and of those that repeat answers: 0.6 of three, as the bench rounds it.
const BACKENDS: usize = 3;
const GARBLED: usize = 2;
/// `srv_grey`, `how = "shed all"`: the share of requests that each backend rejects.
const SHED: f64 = 0.2;
/// `garble`, `how = "extra late"`: the share of its answers that a backend repeats.
const EXTRA: f64 = 0.03;
/// How long both last, how often they come, and the time from one to the next.
const FOR: Duration = Duration::from_secs(5);
const TIMES: u32 = 4;
const EVERY: Duration = Duration::from_secs(12);
const DEADLINE: Duration = Duration::from_millis(2_500);
const BOUNDS: &str = r#"{"seedLagS":3,"addressReuseS":2,"contactMs":3000,"ackMs":5000,"catchUpS":6,
"drainMs":2500,"graceS":6,"lossSlackMs":200,"configApplyMs":2500,"rollbackSlackMs":250,
"maxStretchMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":102,
"recoveryS":15}"#;
const CONFIG: &str = r#"{"version":"r7","baseVersion":"r5","resources":[
{"resourceKind":"routes","metadata":{"name":"r-declare"},"specification":{"host":"farm.example",
"prefix":"/declare/","kind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":500,"priority":0,
"service":"compliance","attempts":1}},
{"resourceKind":"services","metadata":{"name":"compliance"},"specification":{"healthPath":"/health",
"maxConnections":1636,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"specification":{"maxHeaderBytes":16384,
"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}"#;

pub fn run(site: &Site, trouble: bool) -> End {
    let record = &site.record;
    site.store.put("op", "config", CONFIG.as_bytes());
    record.line("operator: config r7; /declare/ is non_idempotent, with 1 attempt");
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    for number in 1..=BACKENDS {
        let name = format!("a-{number}");
        let machine = site.machine();
        let node = site.node(&name, ZONE, "compliance", machine, BOUNDS);
        let id = format!("i-{name}");
        let backend = Backend::new(record, machine, "compliance", &id, (100, 260), 400);
        backend.tell_load();
        backend.serve();
        node.start();
        backend.check_in(ZONE, 230);
        nodes.push(node);
        backends.push(backend);
    }
    if !wait_ready(&nodes, Duration::from_secs(15)) {
        nodes.iter().for_each(Node::end);
        return End::NotRun("the nodes did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::<(String, u16)>::new()));
    let mut threads = Vec::new();
    // 132 declarations a second, as on the sheet of twmts-mesh-grown.
    for client in 0..30u64 {
        let node = nodes[client as usize % nodes.len()].clone();
        let (stop, answers, record) = (Arc::clone(&stop), Arc::clone(&answers), record.clone());
        threads.push(thread::spawn(move || {
            let mut random = Random::fresh(client);
            let mut due = Instant::now() + Duration::from_millis(random.next() % 227);
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                due += Duration::from_millis(227);
                let id = format!("{:016x}", random.next());
                let status = send(&node, &id);
                record.line(format!("client on {}: {id} answered with {status}", node.name));
                answers.lock().unwrap().push((id, status));
            }
        }));
    }
    for _ in 0..TIMES {
        thread::sleep(EVERY - FOR);
        if trouble {
            record.line(format!(
                "all reject {SHED}; i-a-1 and i-a-2 repeat {EXTRA} of their answers"
            ));
            for (index, backend) in backends.iter().enumerate() {
                let extra_late = if index < GARBLED { EXTRA } else { 0.0 };
                *backend.faults.lock().unwrap() = Faults { shed: SHED, extra_late };
            }
        }
        thread::sleep(FOR);
        record.line("all are well");
        for backend in &backends {
            *backend.faults.lock().unwrap() = Faults::default();
        }
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().ok();
    }
    nodes.iter().for_each(Node::end);
    // TWICE: an attempt that is not idempotent runs more than once. REFUSED: it is answered with
    // 408, 421, 429 or 503 and has run.
    let mut runs: HashMap<String, u32> = HashMap::new();
    for backend in &backends {
        for event in backend.events.lock().unwrap().iter().filter(|e| e.what == What::Began) {
            *runs.entry(event.attempt.clone()).or_default() += 1;
        }
    }
    let answers = answers.lock().unwrap();
    let mut twice = HashSet::new();
    let mut refused = HashSet::new();
    for (id, status) in answers.iter() {
        let count = runs.get(id).copied().unwrap_or(0);
        if count > 1 {
            record.line(format!("TWICE: {id} ran {count} times; the client got {status}"));
            twice.insert(id);
        }
        if count > 0 && matches!(status, 408 | 421 | 429 | 503) {
            record.line(format!("REFUSED: {id} ran and was answered with {status}"));
            refused.insert(id);
        }
    }
    let well = answers.iter().filter(|(_, status)| *status == 200).count();
    let (mut made, mut repeated) = (0, 0);
    for backend in &backends {
        made += backend.answers.load(Ordering::Relaxed);
        repeated += backend.extras.load(Ordering::Relaxed);
    }
    let text = format!(
        "{} attempts, {well} answered with 200; {made} answers of the backends, {repeated} of them \
         repeated; {} attempts ran twice, {} ran and were refused",
        answers.len(),
        twice.len(),
        refused.len()
    );
    if well < 1_000 {
        return End::NotRun(format!("too few answers: {text}"));
    }
    if twice.is_empty() && refused.is_empty() { End::Held(text) } else { End::Broken(text) }
}

/// Sends a declaration; the status is 0 if the connection ended without an answer.
fn send(node: &Node, id: &str) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let address = node.machine.outbound();
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        let headers =
            [("Host", "farm.example"), ("Attempt-Id", id), ("Deadline-Milliseconds", "2500")];
        stream.write_all(&http::request("POST", "/declare/2f", &headers, &[b'o'; 1_200]))?;
        let answer = http::read_message(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    exchange().unwrap_or(0)
}

//! The store comes back from an older copy while configurations come in quick succession.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, What};
use crate::http;
use crate::site::{End, Node, Random, Site, wait_ready};

/// `configApplyMs`, `contactMs` and `maxStretchMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
const STRETCH: Duration = Duration::from_millis(5_000);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(600);
const BOUNDS: &str = r#"{"seedLagS":3,"addressReuseS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,
"drainMs":2000,"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,
"maxStretchMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":49,
"recoveryS":15}"#;

/// A configuration whose route leads to `service`.
fn config(version: u32, service: &str) -> Vec<u8> {
    let text = r#"{"version":"rVERSION","resources":[
{"resourceKind":"routes","metadata":{"name":"r-page"},"specification":{"host":"kabine.example",
"prefix":"/status/","kind":"idempotent","timeoutMs":5000,"targetLatencyMs":1200,"priority":2,
"service":"SERVICE","attempts":2}},
{"resourceKind":"services","metadata":{"name":"kabinenblick"},"specification":{"healthPath":"/health",
"maxConnections":1294,"protocol":"h1","tls":false}},
{"resourceKind":"services","metadata":{"name":"routenkarte"},"specification":{"healthPath":"/health",
"maxConnections":550,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"specification":{"maxHeaderBytes":16384,
"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}"#;
    text.replace("VERSION", &version.to_string()).replace("SERVICE", service).into_bytes()
}

pub fn run(site: &Site, trouble: bool) -> End {
    let record = &site.record;
    site.store.put("op", "config", &config(7, "kabinenblick"));
    record.line("operator: config r7; /status/ leads to kabinenblick");
    let machines = [
        ("a-1", "passau", "kabinenblick"),
        ("a-2", "passau", "routenkarte"),
        ("a-3", "passau", "kabinenblick"),
        ("b-1", "regensburg", "routenkarte"),
        ("b-2", "regensburg", "kabinenblick"),
        ("b-3", "regensburg", "routenkarte"),
    ];
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    for (name, zone, service) in machines {
        let machine = site.machine();
        let node = site.node(name, zone, service, machine, BOUNDS);
        let backend = Backend::new(record, machine, service, &format!("i-{name}"), (30, 60), 400);
        backend.serve();
        node.start();
        backend.check_in(zone, 148);
        nodes.push(node);
        backends.push(backend);
    }
    if !wait_ready(&nodes, Duration::from_secs(15)) {
        nodes.iter().for_each(Node::end);
        return End::NotRun("the nodes did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::<(String, Instant, u16)>::new()));
    let mut threads = Vec::new();
    for client in 0..12u64 {
        let node = nodes[client as usize % nodes.len()].clone();
        let (stop, sent, record) = (Arc::clone(&stop), Arc::clone(&sent), record.clone());
        threads.push(thread::spawn(move || {
            let mut random = Random::fresh(client);
            while !stop.load(Ordering::SeqCst) {
                let id = format!("{:016x}", random.next());
                let at = Instant::now();
                let status = send(&node, &id);
                record.line(format!("client on {}: {id} answered with {status}", node.name));
                sent.lock().unwrap().push((id, at, status));
                thread::sleep(Duration::from_millis(100 + random.next() % 100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let copy = site.store.copy();
    record.line("store: a copy is taken");
    thread::sleep(Duration::from_millis(500));
    let version = site.store.put("op", "config", &config(8, "kabinenblick"));
    record.line(format!("operator: config r8, row version {version}"));
    thread::sleep(Duration::from_millis(500));
    let version = site.store.put("op", "config", &config(9, "kabinenblick"));
    record.line(format!("operator: config r9, row version {version}"));
    thread::sleep(Duration::from_millis(1_000));
    let last = config(10, "routenkarte");
    if trouble {
        site.store.go_away();
        record.line("store: away");
        thread::sleep(AWAY);
        let r9 = config(9, "kabinenblick");
        let again = [("op", "config", r9.as_slice()), ("op", "config", last.as_slice())];
        let version = site.store.come_back(copy, &again);
        record.line("store: back from the copy, 2.6 s old; Store-Era has risen by one");
        record.line(format!("operator: r9 again, and config r10, /status/ leads to routenkarte, row version {version}"));
    } else {
        thread::sleep(AWAY);
        let version = site.store.put("op", "config", &last);
        record.line(format!(
            "operator: config r10, /status/ leads to routenkarte, row version {version}"
        ));
    }
    let acked = Instant::now();
    thread::sleep(Duration::from_secs(30));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().ok();
    }
    nodes.iter().for_each(Node::end);
    // CONFIG: a request sent later than configApplyMs, stretched by as much as the rules allow,
    // after the ack of r10 is run by the service of an older version.
    let from = acked + CONTACT.max(CONFIG_APPLY + STRETCH);
    let sent = sent.lock().unwrap();
    let (mut late, mut old) = (0, 0);
    for (id, at, _) in sent.iter().filter(|(_, at, _)| *at > from) {
        late += 1;
        let ran_at = backends.iter().find(|backend| {
            let events = backend.events.lock().unwrap();
            events.iter().any(|event| event.attempt == *id && event.what == What::Began)
        });
        if ran_at.is_some_and(|backend| backend.service == "kabinenblick") {
            record.line(format!(
                "CONFIG: {id} was sent {:.1} s after the ack of r10 and run by kabinenblick, as r9 says",
                (*at - acked).as_secs_f64()
            ));
            old += 1;
        }
    }
    let text = format!(
        "{} attempts, {late} sent later than 7 s after the ack of r10, {old} of them run as r9 says",
        sent.len()
    );
    if late < 100 {
        return End::NotRun(format!("too few requests: {text}"));
    }
    if old == 0 { End::Held(text) } else { End::Broken(text) }
}

/// Sends a request for a page; the status is 0 if the connection ended without an answer.
fn send(node: &Node, id: &str) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let address = node.machine.outbound();
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let headers =
            [("Host", "kabine.example"), ("Attempt-Id", id), ("Deadline-Milliseconds", "5000")];
        stream.write_all(&http::request("GET", "/status/2f", &headers, b""))?;
        let answer = http::read_message(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    exchange().unwrap_or(0)
}

//! A change of the weights of a split route.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, What};
use crate::http;
use crate::site::{End, Node, Random, Site, wait_ready};

/// `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const BOUNDS: &str = r#"{"seedLagS":3,"addressReuseS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,
"drainMs":2000,"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,
"maxStretchMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":49,
"recoveryS":15}"#;

/// A configuration whose route is split by the given weights.
fn config(version: u32, weights: (u32, u32)) -> Vec<u8> {
    let text = r#"{"version":"rVERSION","resources":[
{"resourceKind":"routes","metadata":{"name":"r-status"},"specification":{"host":"kabine.example",
"prefix":"/status/","kind":"idempotent","timeoutMs":5000,"targetLatencyMs":1200,"priority":2,
"trafficSplit":[{"service":"kabinenblick","weight":FIRST},{"service":"routenkarte","weight":SECOND}],
"attempts":2}},
{"resourceKind":"services","metadata":{"name":"kabinenblick"},"specification":{"healthPath":"/health",
"maxConnections":1294,"protocol":"h1","tls":false}},
{"resourceKind":"services","metadata":{"name":"routenkarte"},"specification":{"healthPath":"/health",
"maxConnections":550,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"specification":{"maxHeaderBytes":16384,
"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}"#;
    let text = text.replace("VERSION", &version.to_string());
    let text = text.replace("FIRST", &weights.0.to_string());
    text.replace("SECOND", &weights.1.to_string()).into_bytes()
}

pub fn run(site: &Site, trouble: bool) -> End {
    let record = &site.record;
    site.store.put("op", "config", &config(7, (90, 10)));
    record.line(
        "operator: config r7; /status/ is split 90 to 10 between kabinenblick and routenkarte",
    );
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
    for client in 0..6u64 {
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
                thread::sleep(Duration::from_millis(150 + random.next() % 100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    // With TROUBLE=0 the change keeps the sum of the weights.
    let weights = if trouble { (1, 0) } else { (100, 0) };
    site.store.put("op", "config", &config(8, weights));
    let acked = Instant::now();
    record.line(format!("operator: config r8; /status/ is split {} to {}", weights.0, weights.1));
    thread::sleep(Duration::from_secs(15));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().ok();
    }
    nodes.iter().for_each(Node::end);
    // CONFIG: a request sent later than configApplyMs after the ack of r8 is run by a service to
    // which r8 gives no share.
    let from = acked + CONFIG_APPLY;
    let sent = sent.lock().unwrap();
    let (mut late, mut old) = (0, 0);
    for (id, at, _) in sent.iter().filter(|(_, at, _)| *at > from) {
        late += 1;
        let ran_at = backends.iter().find(|backend| {
            let events = backend.events.lock().unwrap();
            events.iter().any(|event| event.attempt == *id && event.what == What::Began)
        });
        if ran_at.is_some_and(|backend| backend.service == "routenkarte") {
            record.line(format!(
                "CONFIG: {id} was sent {:.1} s after the ack of r8 and run by routenkarte",
                (*at - acked).as_secs_f64()
            ));
            old += 1;
        }
    }
    let text = format!(
        "{} attempts, {late} sent later than configApplyMs after the ack of r8, {old} of them run by the \
         service whose weight is 0",
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

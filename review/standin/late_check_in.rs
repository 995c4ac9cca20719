//! A machine's address goes to a machine of another service, and a check-in of the backend that had
//! it before arrives late.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, What};
use crate::http;
use crate::site::{End, Node, Random, Site, wait_ready};

const ZONE: &str = "amman-hall-a";
/// `addressReuseS`.
const ADDRESS_REUSE: Duration = Duration::from_secs(2);
/// How late the check-in arrives.
const LATE: Duration = Duration::from_secs(6);
const BOUNDS: &str = r#"{"seedLagS":3,"addressReuseS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,
"drainMs":2000,"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,
"maxStretchMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":49,
"recoveryS":15}"#;
const CONFIG: &str = r#"{"version":"r7","baseVersion":"r5","resources":[
{"resourceKind":"routes","metadata":{"name":"r-page"},"specification":{"host":"shop.example",
"prefix":"/page/","kind":"idempotent","timeoutMs":5000,"targetLatencyMs":1200,"priority":2,
"service":"catalogue","attempts":2}},
{"resourceKind":"routes","metadata":{"name":"r-order"},"specification":{"host":"shop.example",
"prefix":"/order/","kind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":1500,"priority":0,
"service":"orders","attempts":2}},
{"resourceKind":"routes","metadata":{"name":"r-stock"},"specification":{"host":"shop.example",
"prefix":"/stock/","kind":"idempotent","timeoutMs":5000,"targetLatencyMs":150,"priority":1,
"service":"stock","attempts":2}},
{"resourceKind":"services","metadata":{"name":"catalogue"},"specification":{"healthPath":"/health",
"maxConnections":988,"protocol":"h1","tls":false}},
{"resourceKind":"services","metadata":{"name":"orders"},"specification":{"healthPath":"/health",
"maxConnections":1432,"protocol":"h1","tls":false}},
{"resourceKind":"services","metadata":{"name":"stock"},"specification":{"healthPath":"/health",
"maxConnections":280,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"specification":{"maxHeaderBytes":16384,
"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}"#;

pub fn run(site: &Site, trouble: bool) -> End {
    let record = &site.record;
    site.store.put("op", "config", CONFIG.as_bytes());
    record.line("operator: config r7");
    let machines: Vec<_> = (0..3).map(|_| site.machine()).collect();
    let services = ["stock", "catalogue", "orders"];
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    for (index, service) in services.iter().enumerate() {
        let node = site.node(&format!("a-{}", index + 1), ZONE, service, machines[index], BOUNDS);
        let id = format!("i-{}", index + 1);
        let backend = Backend::new(record, machines[index], service, &id, (30, 60), 400);
        backend.serve();
        node.start();
        backend.check_in(ZONE, 30);
        nodes.push(node);
        backends.push(backend);
    }
    if !wait_ready(&nodes, Duration::from_secs(15)) {
        nodes.iter().for_each(Node::end);
        return End::NotRun("the nodes did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    // The last check-in of the backend of `stock` is under way when its machine ends.
    let late = backends[0].check_in_request(ZONE, 30, 9);
    let sent = Instant::now();
    record.line("backend i-1 (stock): sends check-in 9 as ready, which is delayed");
    backends[0].end();
    nodes[0].end();
    record.line("platform: the machine a-1 with its backend i-1 (stock) has crashed for good");
    thread::sleep(ADDRESS_REUSE + Duration::from_millis(500));
    record.line("platform: a new machine with the address of a-1, for the service orders");
    let node = site.node("a-4", ZONE, "orders", machines[0], BOUNDS);
    let backend = Backend::new(record, machines[0], "orders", "i-4", (30, 60), 400);
    backend.serve();
    node.start();
    backend.check_in(ZONE, 30);
    nodes.push(node.clone());
    backends.push(Arc::clone(&backend));
    if !wait_ready(&[node.clone()], Duration::from_secs(10)) {
        nodes.iter().for_each(Node::end);
        return End::NotRun("the new node did not become ready".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::<(String, u16)>::new()));
    let mut threads = Vec::new();
    for client in 0..6u64 {
        let (node, stop, answers) = (node.clone(), Arc::clone(&stop), Arc::clone(&answers));
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let mut random = Random::fresh(client);
            while !stop.load(Ordering::SeqCst) {
                let id = format!("{:016x}", random.next());
                let status = send(&node, &id, client % 2 == 0);
                record.line(format!("client on a-4: {id} answered with {status}"));
                answers.lock().unwrap().push((id, status));
                thread::sleep(Duration::from_millis(50 + random.next() % 100));
            }
        }));
    }
    thread::sleep(LATE.saturating_sub(sent.elapsed()));
    if trouble {
        let answer = http::call(machines[0].control(), &late, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!("check-in 9 of i-1 (stock) arrives at the address of a-1: {status}"));
    }
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().ok();
    }
    nodes.iter().for_each(Node::end);
    // UNASKED: a backend runs a request whose `Calling-Service` isn't the service of the machine
    // where it began. All requests of these clients began on a machine of the service orders.
    let answers = answers.lock().unwrap();
    let (mut runs, mut wrong) = (0, 0);
    for backend in &backends {
        for event in backend.events.lock().unwrap().iter() {
            if event.what != What::Began || !answers.iter().any(|(id, _)| *id == event.attempt) {
                continue;
            }
            runs += 1;
            if event.calling_service != "orders" {
                record.line(format!(
                    "UNASKED: {} began on a machine of orders and ran at {} with Calling-Service {:?}",
                    event.attempt, backend.id, event.calling_service
                ));
                wrong += 1;
            }
        }
    }
    let text = format!(
        "{} attempts of clients on the new machine, {runs} runs, {wrong} of them with the service of \
         the machine before",
        answers.len()
    );
    if runs < 100 {
        return End::NotRun(format!("too few runs: {text}"));
    }
    if wrong == 0 { End::Held(text) } else { End::Broken(text) }
}

/// Sends a request; the status is 0 if the connection ended without an answer.
fn send(node: &Node, id: &str, is_order: bool) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let address = node.machine.outbound();
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let headers =
            [("Host", "shop.example"), ("Attempt-Id", id), ("Deadline-Milliseconds", "5000")];
        let request = match is_order {
            true => http::request("POST", "/order/2f", &headers, &[b'o'; 1_200]),
            false => http::request("GET", "/page/2f", &headers, b""),
        };
        stream.write_all(&request)?;
        let answer = http::read_message(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    exchange().unwrap_or(0)
}

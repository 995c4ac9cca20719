//! All processes are killed right after a backend's leaving was acknowledged, and a check-in that the
//! backend had sent before arrives late.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, What};
use crate::http;
use crate::site::{End, KILL, Node, Random, Site, wait_ready};

const ZONE: &str = "amman-hall-a";
/// `drainMs` and `contactMs`.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// How late the check-in arrives, and how long after the ack the backend exits.
const LATE: Duration = Duration::from_millis(4_000);
const SERVES_ON: Duration = Duration::from_secs(10);
const BOUNDS: &str = r#"{"seedLagS":3,"addressReuseS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,
"drainMs":2000,"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,
"maxStretchMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":49,
"recoveryS":15}"#;
const CONFIG: &str = r#"{"version":"r7","baseVersion":"r5","resources":[
{"resourceKind":"routes","metadata":{"name":"r-order"},"specification":{"host":"shop.example",
"prefix":"/order/","kind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":1500,"priority":0,
"service":"orders","attempts":2}},
{"resourceKind":"services","metadata":{"name":"orders"},"specification":{"healthPath":"/health",
"maxConnections":1432,"protocol":"h1","tls":false}},
{"resourceKind":"limits","metadata":{},"specification":{"maxHeaderBytes":16384,
"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}"#;

pub fn run(site: &Site, trouble: bool) -> End {
    let record = &site.record;
    site.store.put("op", "config", CONFIG.as_bytes());
    record.line("operator: config r7; /order/ is non_idempotent");
    let mut nodes = Vec::new();
    let mut backends = Vec::new();
    for name in ["a-1", "a-2", "a-3"] {
        let machine = site.machine();
        let node = site.node(name, ZONE, "orders", machine, BOUNDS);
        let id = format!("i-{name}");
        let backend = Backend::new(record, machine, "orders", &id, (100, 300), 400);
        backend.serve();
        node.start();
        backend.check_in(ZONE, 222);
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
    thread::sleep(Duration::from_secs(2));
    let leaving = &backends[0];
    let late = leaving.check_in_request(ZONE, 222, 9);
    let late_sent = Instant::now();
    record.line("backend i-a-1: sends check-in 9 as ready, which is delayed");
    leaving.fall_silent();
    thread::sleep(Duration::from_millis(100));
    let path = format!("/aspenspring/Instances.Deregister/{}", leaving.id);
    let request = http::request("POST", &path, &[("Host", "node")], b"");
    let answer = http::call(nodes[0].machine.control(), &request, Duration::from_secs(1));
    let status = answer.map_or(0, |answer| answer.status());
    let acked = Instant::now();
    record.line(format!("backend i-a-1: deregisters, and serves on: {status}"));
    if status != 200 {
        nodes.iter().for_each(Node::end);
        return End::NotRun("the leaving was not acknowledged".to_owned());
    }
    thread::sleep(Duration::from_millis(200));
    if trouble {
        nodes.iter().for_each(|node| node.signal(KILL));
        thread::sleep(Duration::from_millis(500));
        for node in &nodes {
            node.ended();
            node.start();
        }
    }
    let started = Instant::now();
    thread::sleep(LATE.saturating_sub(late_sent.elapsed()));
    let answer = http::call(nodes[0].machine.control(), &late, Duration::from_secs(1));
    let status = answer.map_or(0, |answer| answer.status());
    record.line(format!("check-in 9 of i-a-1 arrives at a-1: {status}"));
    thread::sleep(SERVES_ON.saturating_sub(acked.elapsed()));
    let cut = leaving.exit();
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().ok();
    }
    nodes.iter().for_each(Node::end);
    // DRAIN: a request reaches the backend later than drainMs after the ack of its leaving, taken
    // from the client and sent on by machines in touch: all processes have run for contactMs.
    let sent = sent.lock().unwrap();
    let (mut runs, mut late_runs) = (0, 0);
    for event in leaving.events.lock().unwrap().iter().filter(|e| e.what == What::Began) {
        runs += 1;
        let of_client = sent.iter().find(|(id, ..)| *id == event.attempt);
        let Some((id, at, status)) = of_client else { continue };
        let in_touch = !trouble || *at > started + CONTACT;
        if event.at > acked + DRAIN && in_touch {
            record.line(format!(
                "DRAIN: {id} reached i-a-1 {:.3} s after the ack of its leaving; the client got {status}",
                (event.at - acked).as_secs_f64()
            ));
            late_runs += 1;
        }
    }
    let well = sent.iter().filter(|(.., status)| *status == 200).count();
    let text = format!(
        "{} attempts, {well} answered with 200; {runs} reached the backend that leaves, {late_runs} of \
         them later than drainMs after the ack and by machines in touch; {cut} were at work there when \
         it exited",
        sent.len()
    );
    if well < 100 || runs == 0 {
        return End::NotRun(format!("too few answers: {text}"));
    }
    if late_runs == 0 { End::Held(text) } else { End::Broken(text) }
}

/// Sends an order; the status is 0 if the connection ended without an answer.
fn send(node: &Node, id: &str) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let address = node.machine.outbound();
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let headers =
            [("Host", "shop.example"), ("Attempt-Id", id), ("Deadline-Milliseconds", "5000")];
        stream.write_all(&http::request("POST", "/order/2f", &headers, &[b'o'; 1_200]))?;
        let answer = http::read_message(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    exchange().unwrap_or(0)
}

//! Requests without a key whose ids begin with the id of a request that runs.

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::backend::{Backend, What};
use crate::http;
use crate::site::{End, Node, Random, Site, wait_ready};

const ZONE: &str = "amman-hall-a";
const KEY: &str = "kmgjqnirth5mgjy5rcpi";
const BOUNDS: &str = r#"{"graceS":6,"configApplyMs":2500,"contactMs":3000,"retryBudgetRatio":0.2,
"budgetWindowS":10,"retryBudgetSlack":103,"quotaWindowS":5,"quotaOverage":0.1,"quotaSlack":20}"#;
const CONFIG: &str = r#"{"version":"r7","resources":[
{"resourceKind":"routes","metadata":{"name":"r-order"},"specification":{"host":"shop.example",
"prefix":"/order/","kind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":2500,"priority":0,
"service":"orders","attempts":2,"allowAnonymous":false}},
{"resourceKind":"services","metadata":{"name":"orders"},"specification":{"healthPath":"/health",
"maxConnections":748,"protocol":"h1","tls":false}},
{"resourceKind":"tenants","metadata":{"name":"coop"},"specification":{"apiKeys":
["kmgjqnirth5mgjy5rcpi"],"priority":1,"ratePerS":368,"burst":368}},
{"resourceKind":"limits","metadata":{},"specification":{"maxHeaderBytes":16384,
"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}]}"#;

pub fn run(site: &Site, trouble: bool) -> End {
    let record = &site.record;
    site.store.put("op", "config", CONFIG.as_bytes());
    let machine = site.machine();
    let node = site.node("a-1", ZONE, "orders", machine, BOUNDS);
    let backend = Backend::new(record, machine, "orders", "i-a-1", (300, 600), 400);
    backend.serve();
    node.start();
    backend.check_in(ZONE, 108);
    if !wait_ready(&[node.clone()], Duration::from_secs(15)) {
        node.end();
        return End::NotRun("the node did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(7));
    let stop = Arc::new(AtomicBool::new(false));
    let without_key = Arc::new(Mutex::new(Vec::<(String, u16)>::new()));
    let mut threads = Vec::new();
    for client in 0..4u64 {
        let (node, stop, record) = (node.clone(), Arc::clone(&stop), record.clone());
        let without_key = Arc::clone(&without_key);
        threads.push(thread::spawn(move || {
            let mut random = Random::fresh(client);
            while !stop.load(Ordering::SeqCst) {
                let id = format!("{:016x}", random.next());
                let (keyed, other) = (node.clone(), id.clone());
                let first = thread::spawn(move || send(&keyed, &other, true));
                thread::sleep(Duration::from_millis(100));
                let id = match trouble {
                    true => format!("{id}.1"),
                    false => format!("{:016x}", random.next()),
                };
                let status = send(&node, &id, false);
                record.line(format!("client without a key: {id} answered with {status}"));
                without_key.lock().unwrap().push((id, status));
                first.join().ok();
            }
        }));
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().ok();
    }
    node.end();
    let without_key = without_key.lock().unwrap();
    let events = backend.events.lock().unwrap();
    let ran: HashSet<&str> =
        events.iter().filter(|e| e.what == What::Began).map(|e| e.attempt.as_str()).collect();
    let count = without_key.iter().filter(|(id, _)| ran.contains(id.as_str())).count();
    let text = format!("{} requests without a key, {count} of them run", without_key.len());
    if count == 0 { End::Held(text) } else { End::Broken(text) }
}

fn send(node: &Node, id: &str, has_key: bool) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let address = node.machine.outbound();
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut headers =
            vec![("Host", "shop.example"), ("Attempt-Id", id), ("Deadline-Milliseconds", "5000")];
        if has_key {
            headers.push(("X-Api-Key", KEY));
        }
        stream.write_all(&http::request("POST", "/order/2f", &headers, &[b'o'; 600]))?;
        let answer = http::read_message(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    exchange().unwrap_or(0)
}

//! Planned stops of real node processes while callers wait for answers.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::node::{CALLERS_PORT, NodeSpec, Process, send_request};
use super::process::{configured_store, document, register_target, start_ready, wait_for};
use super::store::Store;
use super::target::{Answer, serve};

/// Number of requests that the target of a node runs at once.
const SLOTS: usize = 8;
/// The stop grace period of the nodes.
const GRACE: Duration = Duration::from_secs(6);

/// Starts a node of the service `page`, which has no target, and one of `stock` whose target works for
/// `work` of the path.
fn start_pair(
    store: &Store,
    work: impl Fn(&str) -> (Duration, String) + Send + Sync + 'static,
) -> (Process, Process) {
    let spec = |name, service| NodeSpec { name, failure_domain: "a", service };
    let mut entry = Process::prepare(store, &spec("entry", "page"));
    let mut other = Process::prepare(store, &spec("other", "stock"));
    serve(other.target_address(), "other", move |path| {
        let (time, body) = work(path);
        thread::sleep(time);
        // The path ends with the id of the attempt.
        let attempt = path.rsplit('/').next().unwrap_or_default().to_owned();
        Answer { attempt, body, ..Answer::default() }
    });
    entry.start();
    other.start();
    wait_for(|| entry.is_ready() && other.is_ready());
    register_target(&other, "i-1", 1);
    wait_for(|| ask(entry.ip, "first").join().unwrap().contains(" 200 "));
    (entry, other)
}

/// Sends a request to a node in a thread, which returns the answer; empty if there is none.
fn ask(ip: Ipv4Addr, id: &str) -> JoinHandle<String> {
    let text = format!(
        "GET /look/{id} HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: {id}\r\nConnection: close\r\n\r\n"
    );
    thread::spawn(move || {
        let address = SocketAddr::from((ip, CALLERS_PORT));
        send_request(address, &text, Duration::from_secs(20)).unwrap_or_default()
    })
}

/// Guards against requests that end without an answer when the node that accepted them exits: one
/// that waits for a slot at another node, and one that is still running there.
#[test]
fn requests_at_other_nodes_are_answered_before_the_node_exits() {
    let store = configured_store();
    let begun = Arc::new(Mutex::new(Vec::new()));
    let begun_at_target = Arc::clone(&begun);
    let (mut entry, other) = start_pair(&store, move |path| {
        let id = path.rsplit('/').next().unwrap_or_default();
        let work_ms = match id {
            "first" => return (Duration::ZERO, String::new()),
            "long" => 20_000,
            _ => 4_800,
        };
        begun_at_target.lock().unwrap().push(id.to_owned());
        (Duration::from_millis(work_ms), "done".to_owned())
    });
    entry.signal(libc::SIGTERM);
    let stopped_at = Instant::now();
    thread::sleep(Duration::from_millis(900));
    let running = ask(entry.ip, "long");
    thread::sleep(Duration::from_millis(100));
    let mut others = Vec::new();
    for number in 1..SLOTS {
        others.push(ask(other.ip, &format!("b{number}")));
    }
    // Under load, `a1` could otherwise take the slot of a request that was sent before it.
    wait_for(|| begun.lock().unwrap().len() == SLOTS);
    let waiting = ask(entry.ip, "a1").join().unwrap();
    assert!(waiting.contains(" 503 ") && waiting.contains("retry-after"), "{waiting:?}");
    assert!(stopped_at.elapsed() < GRACE - Duration::from_secs(1), "{:?}", stopped_at.elapsed());
    let running = running.join().unwrap();
    assert!(running.contains(" 502 "), "{running:?}");
    assert!(entry.wait().success());
    assert!(stopped_at.elapsed() < GRACE, "{:?}", stopped_at.elapsed());
    for other in others {
        let answer = other.join().unwrap();
        assert!(answer.contains(" 200 "), "{answer:?}");
    }
    assert_eq!(begun.lock().unwrap().len(), SLOTS, "{begun:?}");
}

/// Guards against a node that exits while a caller still reads its answer.
#[test]
fn a_slowly_read_answer_is_complete_before_the_node_exits() {
    const LENGTH: usize = 18 * 1024 * 1024;
    let store = configured_store();
    store.put("op", "config", &document(5, "/look/"));
    let (mut entry, _other) = start_pair(&store, |path| match path.ends_with("/large") {
        true => (Duration::ZERO, "x".repeat(LENGTH)),
        false => (Duration::ZERO, String::new()),
    });
    let mut caller = TcpStream::connect((entry.ip, CALLERS_PORT)).unwrap();
    let request = "GET /look/large HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: large\r\n\
                   Connection: close\r\n\r\n";
    caller.write_all(request.as_bytes()).unwrap();
    let mut part = vec![0; 256 * 1024];
    let mut length = caller.read(&mut part).unwrap();
    entry.signal(libc::SIGTERM);
    loop {
        thread::sleep(Duration::from_millis(60));
        match caller.read(&mut part) {
            Ok(0) => break,
            Ok(read) => length += read,
            Err(error) => panic!("{error} after {length} bytes"),
        }
    }
    assert!(length > LENGTH, "{length} of {LENGTH} bytes");
    assert!(entry.wait().success());
}

/// Guards against a node that does not exit early although all callers have their answers.
#[test]
fn an_idle_node_exits_long_before_the_end_of_its_grace_period() {
    let store = configured_store();
    let mut node = start_ready(&store, "one");
    node.signal(libc::SIGTERM);
    let stopped_at = Instant::now();
    assert!(node.wait().success());
    assert!(stopped_at.elapsed() < GRACE / 2, "{:?}", stopped_at.elapsed());
}

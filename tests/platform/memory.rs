//! The memory of real node processes under large bodies.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use super::node::{CALLERS_PORT, MEMORY_MB, NodeSpec, Process};
use super::store::Store;
use super::target::{Answer, heartbeat, serve};

/// The longest body of a request that the configuration allows.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

fn document() -> Vec<u8> {
    let route = |name: &str| {
        serde_json::json!({
            "resourceKind": "routes", "metadata": { "name": name },
            "specification": {
                "host": "shop.test", "prefix": format!("/{name}/"), "kind": "upload",
                "timeoutMs": 5_000, "targetLatencyMs": 500, "service": "stock", "attempts": 2,
            },
        })
    };
    let limits = serde_json::json!({
        "resourceKind": "limits",
        "specification": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": BODY_MAX_BYTES, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    });
    let document = serde_json::json!({ "version": "r4", "resources": [route("upload"), limits] });
    document.to_string().into_bytes()
}

/// Starts a node without a target, and one with a target that answers every request.
fn start_pair(store: &Store) -> (Process, Process) {
    store.put("op", "config", &document());
    let spec = |name| NodeSpec { name, failure_domain: "a", service: "stock" };
    let (mut entry, mut other) =
        (Process::prepare(store, &spec("entry")), Process::prepare(store, &spec("other")));
    serve(other.target_address(), "other", |_| Answer {
        attempt: "a1".to_owned(),
        body: "done".to_owned(),
        ..Answer::default()
    });
    entry.start();
    other.start();
    let started_at = Instant::now();
    let body = heartbeat("stock", "ready", 1).to_string();
    while !other.report_target_state("Heartbeat", "i-1", &body).contains(" 200 ")
        || !entry.get(CALLERS_PORT, "/upload/1").contains(" 200 ")
    {
        assert!(started_at.elapsed() < Duration::from_secs(30), "the nodes are not ready");
        thread::sleep(Duration::from_millis(20));
    }
    (entry, other)
}

/// Sends a body, with its length announced or in chunks; returns the status of the answer.
fn upload(address: SocketAddr, length: usize, is_chunked: bool) -> Option<u16> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let framing = match is_chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {length}"),
    };
    let head = format!(
        "POST /upload/1 HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: a1\r\nConnection: close\r\n{framing}\r\n\r\n"
    );
    // The node may answer and close the connection before it has read the whole body.
    thread::spawn(move || {
        writer.write_all(head.as_bytes()).ok()?;
        let part = vec![b'x'; 1024 * 1024];
        for _ in 0..length / part.len() {
            if is_chunked {
                writer.write_all(format!("{:x}\r\n", part.len()).as_bytes()).ok()?;
            }
            writer.write_all(&part).ok()?;
            if is_chunked {
                writer.write_all(b"\r\n").ok()?;
            }
        }
        if is_chunked { writer.write_all(b"0\r\n\r\n").ok() } else { Some(()) }
    });
    let mut answer = String::new();
    drop(stream.read_to_string(&mut answer));
    answer.split(' ').nth(1)?.parse().ok()
}

/// Guards against nodes that exceed their memory, and are killed with all requests on them, when
/// several large bodies are sent at once.
#[test]
fn large_uploads_at_once_stay_within_the_memory_of_the_nodes() {
    for is_chunked in [false, true] {
        let store = Store::start();
        let (entry, other) = start_pair(&store);
        let address = SocketAddr::from((entry.ip, CALLERS_PORT));
        let uploads: Vec<_> = (0..6)
            .map(|_| thread::spawn(move || upload(address, 60 * 1024 * 1024, is_chunked)))
            .collect();
        for upload in uploads {
            let status = upload.join().unwrap();
            assert!(matches!(status, Some(200 | 503)), "{status:?} with chunks: {is_chunked}");
        }
        for node in [&entry, &other] {
            let peak_mb = node.peak_memory_kb() / 1024;
            assert!(peak_mb < MEMORY_MB * 8 / 10, "{peak_mb} MiB with chunks: {is_chunked}");
        }
        assert_eq!(upload(address, 1024 * 1024, is_chunked), Some(200));
    }
}

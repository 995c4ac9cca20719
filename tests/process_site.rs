//! Runs sites of real processes: trace trees, killed and frozen processes, and graceful shutdown.

mod processes;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use processes::{Site, loopback};
use serde_json::Value;

/// A chain of four services.
const FOUR_SERVICES: [&str; 4] = ["front", "stock", "ledger", "vault"];
/// A chain of two services.
const TWO_SERVICES: [&str; 2] = ["front", "stock"];

/// The value of a text field of a span.
fn text<'a>(span: &'a Value, name: &str) -> &'a str {
    span[name].as_str().unwrap_or("")
}

#[tokio::test]
async fn one_call_leaves_one_tree_of_spans_through_four_services() {
    let site = Site::start("tree", &FOUR_SERVICES, 1);
    site.wait_until_served().await;
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let url = format!("http://{}/front/page/traced", loopback(site.pairs[0].caller_port));
    let parent = format!("00-{trace}-00f067aa0ba902b7-01");
    let request = site.client.get(url).header("traceparent", parent);
    assert_eq!(request.send().await.expect("the node answers").status(), 200);
    let spans_url = format!("http://{}/spans", loopback(site.collector_port));
    let of_trace = |all: &Value| -> Vec<Value> {
        let all = all["spans"].as_array().cloned().unwrap_or_default();
        all.into_iter().filter(|span| text(span, "traceId") == trace).collect()
    };
    // Two spans for each of the four hops: one at the sender and one at the receiver.
    let all = site.wait_for(&spans_url, |all| of_trace(all).len() >= 8).await;
    let spans = of_trace(&all);
    assert_eq!(spans.len(), 8);
    let parents: HashMap<&str, &str> =
        spans.iter().map(|span| (text(span, "spanId"), text(span, "parentSpanId"))).collect();
    let deepest = spans
        .iter()
        .find(|span| text(span, "name") == "serve vault")
        .expect("a span of the last service");
    let mut ancestor = text(deepest, "spanId");
    let mut ancestors = 0;
    while let Some(parent) = parents.get(ancestor) {
        ancestor = parent;
        ancestors += 1;
    }
    assert_eq!((ancestor, ancestors), ("00f067aa0ba902b7", 8));
}

#[tokio::test]
async fn a_planned_stop_cuts_nothing_off_and_exits_with_zero() {
    let mut site = Site::start("stop", &TWO_SERVICES, 2);
    site.wait_until_served().await;
    let mut answered = 0;
    for call in 0..120 {
        if call == 40 {
            site.signal_node(3, libc::SIGTERM);
        }
        let path = format!("/confirm/{call}");
        let answer = site.call(call % 2, "POST", &path, None).await;
        let (status, verdict, body) = answer.expect("the entry node answers");
        assert_eq!(
            (status, verdict.as_str()),
            (200, "answered"),
            "call {call}: {body}; logs in {:?}",
            site.folder
        );
        answered += 1;
    }
    assert_eq!(answered, 120);
    assert_eq!(site.wait_for_exit(3).await, Some(0));
}

#[tokio::test]
async fn confirmations_run_at_most_once_through_a_kill_and_a_freeze() {
    let site = Site::start("once", &TWO_SERVICES, 2);
    site.wait_until_served().await;
    let mut answered = 0;
    let mut calls = Vec::new();
    for call in 0..60 {
        match call {
            15 => site.signal_node(2, libc::SIGSTOP),
            30 => site.signal_node(2, libc::SIGCONT),
            40 => site.signal_node(3, libc::SIGKILL),
            _ => {}
        }
        let key = format!("order-{call}");
        let path = format!("/confirm/{call}");
        // Sends the same key through both entry nodes concurrently.
        let first = site.call(0, "POST", &path, Some(&key));
        let second = site.call(1, "POST", &path, Some(&key));
        let (first, second) = tokio::join!(first, second);
        let statuses = [first, second].map(|answer| answer.map_or(0, |(status, ..)| status));
        answered += statuses.iter().filter(|status| **status == 200).count();
        calls.push(statuses);
    }
    assert!(answered > 60, "only {answered} of 120 were answered: {calls:?}");
    for service in TWO_SERVICES {
        let runs = site.runs(service).await;
        assert!(!runs.is_empty());
        for (key, count) in runs {
            assert_eq!(count, 1, "{key} ran {count} times at {service}");
        }
    }
}

/// Serves connections at `address`: reads the head of a request, sends `answer` and closes.
fn serve_bytes(address: &str, answer: &Arc<Mutex<Vec<u8>>>) {
    let listener = TcpListener::bind(address).expect("bind the address of the target");
    let answer = Arc::clone(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, answer) = (stream.expect("a connection"), Arc::clone(&answer));
            std::thread::spawn(move || {
                if read_head(&mut stream) {
                    let answer = answer.lock().unwrap().clone();
                    drop(stream.write_all(&answer));
                }
            });
        }
    });
}

/// Serves connections at `address` and keeps them open: sends `answer` after the head of each request.
/// Returns the number of the connection on which each request has come.
fn serve_kept_open(address: &str, answer: &Arc<Mutex<Vec<u8>>>) -> Arc<Mutex<Vec<usize>>> {
    let listener = TcpListener::bind(address).expect("bind the address of the target");
    let answer = Arc::clone(answer);
    let requests: Arc<Mutex<Vec<usize>>> = Arc::default();
    let received = Arc::clone(&requests);
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let mut stream = stream.expect("a connection");
            let (answer, received) = (Arc::clone(&answer), Arc::clone(&received));
            std::thread::spawn(move || {
                while read_head(&mut stream) {
                    received.lock().unwrap().push(number);
                    let answer = answer.lock().unwrap().clone();
                    drop(stream.write_all(&answer));
                }
            });
        }
    });
    requests
}

/// Reads the head of a request; false if the connection ends before.
fn read_head(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    let mut part = [0; 4096];
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read(&mut part) {
            Ok(read) if read > 0 => request.extend_from_slice(&part[..read]),
            _ => return false,
        }
    }
    true
}

/// Guards against broken answers that reach callers: an invalid status, or a body whose end is uncertain.
#[tokio::test]
async fn broken_answers_of_a_target_are_not_passed_on() {
    let mut site = Site::start("broken", &["front"], 1);
    site.wait_until_served().await;
    let whole = &b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello"[..];
    let answer = Arc::new(Mutex::new(whole.to_vec()));
    serve_bytes(&site.end_target(0), &answer);
    let mut passed_on = Vec::new();
    for (status, rest) in [
        ("000", &b"content-length: 5\r\n\r\nhello"[..]),
        ("600", b"content-length: 5\r\n\r\nhello"),
        ("999", b"content-length: 5\r\n\r\nhello"),
        ("101", b"content-length: 5\r\n\r\nhello"),
        ("600", b"aspenspring-verdict: not-run\r\ncontent-length: 5\r\n\r\nhello"),
        ("503", b"aspenspring-verdict: not-run\r\ntransfer-encoding: gzip\r\n\r\nhello"),
        (
            "503",
            b"aspenspring-verdict: not-run\r\naspenspring-verdict: answered\r\n\
              content-length: 5\r\n\r\nhello",
        ),
        ("200", b"content-length: +5\r\n\r\nhello"),
        ("200", b"content-length: 5\xff\r\n\r\nhello"),
        ("200", b"content-length: 5\r\ncontent-length: 4\r\n\r\nhello"),
        ("200", b"content-length: 9\r\n\r\nhello"),
        ("200", b"transfer-encoding: gzip\r\n\r\nhello"),
        ("200", b"transfer-encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
        ("200", b"transfer-encoding: chunked\xff\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
        (
            "200",
            b"transfer-encoding: chunked\r\ntransfer-encoding: x\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        ),
        ("200", b"transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
        ("200", b"transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n\r\n\r\n"),
        ("200", b"x other: 1\r\ncontent-length: 5\r\n\r\nhello"),
        ("200", b"content-length: 5\r\n\nx-other: 1\r\n\r\nhello"),
        ("200", b"content-length: 5\r\nx-other: 1\n\r\nx-third: 2\r\n\r\nhello"),
        ("200", b"transfer-encoding: chunked\r\n\r\n5;\x01\r\nhello\r\n0\r\n\r\n"),
        ("200", b"transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nno field\r\n\r\n"),
        ("200", b"transfer-encoding: chunked\r\n\r\n\r\n\r\n"),
        ("200", b"\r\nhello"),
    ] {
        let broken = [format!("HTTP/1.1 {status} X\r\n").as_bytes(), rest].concat();
        answer.lock().unwrap().clone_from(&broken);
        let received = site.call(0, "POST", "/confirm/1", None).await;
        let is_refused = received.as_ref().is_some_and(|(status, verdict, body)| {
            *status == 502 && verdict.starts_with("may-have-run") && !body.contains("hello")
        });
        if !is_refused {
            passed_on.push((String::from_utf8_lossy(&broken).into_owned(), received));
        }
    }
    assert!(passed_on.is_empty(), "{passed_on:#?}");
    for valid in [
        whole,
        b"HTTP/1.1 200 OK\r\nx-text: \xe9\r\nx-empty:\r\ncontent-length: 5  \r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nx: y\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    ] {
        answer.lock().unwrap().clone_from(&valid.to_vec());
        let (status, _, body) = site.call(0, "POST", "/confirm/1", None).await.expect("an answer");
        assert_eq!((status, body.as_str()), (200, "hello"), "{}", String::from_utf8_lossy(valid));
    }
}

#[tokio::test]
async fn answers_over_the_maximum_length_are_refused_as_too_long() {
    const LENGTH: usize = 9 << 20;
    let mut site = Site::start("long", &["front"], 1);
    site.wait_until_served().await;
    let answer = Arc::new(Mutex::new(Vec::new()));
    serve_bytes(&site.end_target(0), &answer);
    let body = vec![b'x'; LENGTH];
    for (fields, end) in [
        (format!("content-length: {LENGTH}\r\n\r\n"), ""),
        (format!("transfer-encoding: chunked\r\n\r\n{LENGTH:x}\r\n"), "\r\n0\r\n\r\n"),
    ] {
        let head = format!("HTTP/1.1 200 OK\r\n{fields}");
        *answer.lock().unwrap() = [head.as_bytes(), &body, end.as_bytes()].concat();
        let (status, verdict, _) =
            site.call(0, "POST", "/confirm/1", None).await.expect("an answer");
        assert_eq!((status, verdict.as_str()), (502, "may-have-run; reason=answer-too-long"));
    }
}

/// Guards against connections that are used again after a broken answer: what follows on them is not
/// known to begin with an answer.
#[tokio::test]
async fn a_connection_is_not_reused_after_a_broken_answer() {
    let mut site = Site::start("reuse", &["front"], 1);
    site.wait_until_served().await;
    let whole = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
    let answer = Arc::new(Mutex::new(whole.to_vec()));
    let requests = serve_kept_open(&site.end_target(0), &answer);
    let mut reused = Vec::new();
    for broken in [
        &b"HTTP/1.1 600 X\r\ncontent-length: 5\r\n\r\nhello"[..],
        b"HTTP/1.1 600 X\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n\
          5\r\nhello\r\n0\r\n\r\n",
    ] {
        answer.lock().unwrap().clone_from(&broken.to_vec());
        let (status, ..) = site.call(0, "POST", "/confirm/1", None).await.expect("an answer");
        assert_eq!(status, 502);
        let connection = *requests.lock().unwrap().last().expect("a request");
        answer.lock().unwrap().clone_from(&whole.to_vec());
        let (status, ..) = site.call(0, "POST", "/confirm/1", None).await.expect("an answer");
        assert_eq!(status, 200);
        if requests.lock().unwrap().last() == Some(&connection) {
            reused.push(String::from_utf8_lossy(broken));
        }
    }
    assert!(reused.is_empty(), "{reused:#?}");
    let (status, ..) = site.call(0, "POST", "/confirm/1", None).await.expect("an answer");
    assert_eq!(status, 200);
    let requests = requests.lock().unwrap();
    let [.., previous, last] = requests.as_slice() else { unreachable!("more than two requests") };
    assert_eq!(previous, last, "a connection is kept after a valid answer");
}

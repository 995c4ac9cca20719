//! Answers of targets that break the protocol, as callers get them through one node or two.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::node::{CALLERS_PORT, NodeSpec, Process};
use super::process::{configured_store, document, register_target, start_ready, wait_for};
use super::store::{Store, read_request};

/// The start of the head of a successful answer.
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Signature: s\r\n";

/// What a target sends.
#[derive(Clone)]
struct Played {
    answer: Vec<u8>,
    /// Number of bytes of the request that it reads after its answer, before it resets the connection. Otherwise it
    /// reads the request first, and closes the connection after its answer.
    reset_after_bytes: Option<usize>,
}

/// The length of an upload, which the buffers of a connection cannot hold.
const UPLOAD_BYTES: usize = 24 * 1024 * 1024;

/// Two nodes, of which one has a target that sends the same bytes to all requests.
struct Site {
    entry: Process,
    other: Process,
    played: Arc<Mutex<Played>>,
}

impl Site {
    fn start() -> Self {
        let store = Store::start();
        let document = serde_json::json!({ "version": "r4", "resources": [{
            "resourceKind": "routes", "metadata": { "name": "book" },
            "specification": {
                "host": "shop.test", "prefix": "/book/", "kind": "non_idempotent",
                "timeoutMs": 5_000, "targetLatencyMs": 500, "service": "stock", "attempts": 2,
            },
        }, {
            "resourceKind": "limits",
            "specification": {
                "maxHeaderBytes": 16_384, "maxBodyBytes": UPLOAD_BYTES, "headerTimeoutMs": 3_000,
                "idleTimeoutMs": 15_000,
            },
        }]});
        store.put("op", "config", document.to_string().as_bytes());
        let prepare = |name| {
            Process::prepare(&store, &NodeSpec { name, failure_domain: "a", service: "stock" })
        };
        let (mut entry, mut other) = (prepare("entry"), prepare("other"));
        let answer = [HEAD, b"Content-Length: 2\r\n\r\nok"].concat();
        let played = Arc::new(Mutex::new(Played { answer, reset_after_bytes: None }));
        serve(other.target_address(), &played);
        entry.start();
        other.start();
        wait_for(|| other.is_ready() && entry.is_ready());
        register_target(&other, "i-1", 1);
        let site = Self { entry, other, played };
        wait_for(|| is_served(&ask(&site.entry, 0), b"ok"));
        site
    }

    /// What callers get, through the node of the target and through the other one, when the target
    /// sends `answer`.
    fn play(&self, answer: &[u8]) -> [Vec<u8>; 2] {
        self.played.lock().unwrap().answer = answer.to_vec();
        [ask(&self.other, 0), ask(&self.entry, 0)]
    }

    /// Expects an empty answer of the node in place of each of `answers`.
    fn expect_refused(&self, answers: impl IntoIterator<Item = Vec<u8>>) {
        let mut passed_on = Vec::new();
        for answer in answers {
            for received in self.play(&answer) {
                if !is_refused(&received) {
                    passed_on.push((text(&answer), text(&received)));
                }
            }
        }
        assert!(passed_on.is_empty(), "passed on: {passed_on:#?}");
    }

    /// Expects that callers get a success with this body.
    fn expect_served(&self, answer: &[u8], body: &[u8]) {
        for received in self.play(answer) {
            assert!(is_served(&received, body), "{} as {}", text(answer), text(&received));
        }
    }
}

/// Serves each connection at `address` in a thread of its own.
fn serve(address: SocketAddr, played: &Arc<Mutex<Played>>) {
    let listener = TcpListener::bind(address).unwrap();
    let played = Arc::clone(played);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, played) = (stream.unwrap(), Arc::clone(&played));
            // A node may break off a connection.
            thread::spawn(move || drop(play(stream, &played)));
        }
    });
}

/// Answers one request.
fn play(mut stream: TcpStream, played: &Mutex<Played>) -> io::Result<()> {
    // The test may change what is played until the request arrives.
    stream.peek(&mut [0])?;
    let Played { answer, reset_after_bytes } = played.lock().unwrap().clone();
    let Some(mut left) = reset_after_bytes else {
        let mut reader = BufReader::new(stream);
        if read_request(&mut reader).is_some() {
            reader.get_mut().write_all(&answer)?;
        }
        return Ok(());
    };
    stream.write_all(&answer)?;
    let mut scratch = vec![0; 64 * 1024];
    while left > 0 {
        let part = left.min(scratch.len());
        stream.read_exact(&mut scratch[..part])?;
        left -= part;
    }
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}

/// Sends a request that may run at most once, with a body of this length; returns the bytes of the answer.
fn ask(node: &Process, body_bytes: usize) -> Vec<u8> {
    let mut stream = TcpStream::connect((node.ip, CALLERS_PORT)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: a1\r\nConnection: close\r\n\
         Content-Length: {body_bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; body_bytes]).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    answer
}

fn is_refused(received: &[u8]) -> bool {
    let received = text(received).to_ascii_lowercase();
    received.starts_with("http/1.1 502 ")
        && received.ends_with("\r\n\r\n")
        && received.contains("content-length: 0\r\n")
        && !received.contains("response-signature")
}

fn is_served(received: &[u8], body: &[u8]) -> bool {
    let end = [b"\r\n\r\n", body].concat();
    received.starts_with(b"HTTP/1.1 200 ") && received.ends_with(&end)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Answers with this status line, and else whole.
fn with_status_line(line: &str) -> Vec<u8> {
    let rest = "Attempt-Id: a1\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nhello";
    format!("{line}\r\n{rest}").into_bytes()
}

#[test]
fn answers_with_an_invalid_status_are_refused() {
    let statuses = ["000", "001", "099", "101", "600", "999", "20", "2000", "2O0", "+20", ""];
    let lines = statuses.iter().map(|status| format!("HTTP/1.1 {status} X"));
    let others = ["HTTP/1.2 200 OK", "HTTP/2.0 200 OK", "http/1.1 200 OK", "HTTP/1.1 200 O\u{1}K"];
    let lines = lines.chain(others.map(str::to_owned));
    Site::start().expect_refused(lines.map(|line| with_status_line(&line)));
}

/// Successful answers with each of `rests` behind their first fields.
fn with_rests<T: AsRef<[u8]>>(rests: impl IntoIterator<Item = T>) -> impl Iterator<Item = Vec<u8>> {
    rests.into_iter().map(|rest| [HEAD, rest.as_ref()].concat())
}

/// Guards against a length that isn't text and counts as absent.
#[test]
fn answers_with_bytes_that_are_no_text_in_a_length_or_a_coding_are_refused() {
    Site::start().expect_refused(with_rests([
        &b"Content-Length: 5\xff\r\n\r\nhello"[..],
        b"Content-Length: \xff5\r\n\r\nhello",
        b"Content-Length: \xc3\xa9\r\n\r\nhello",
        b"Transfer-Encoding: chunked\xff\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        b"Transfer-Encoding: chunked\xff\r\nContent-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ]));
}

/// Guards against a parser that accepts more than digits.
#[test]
fn answers_with_a_length_that_is_no_decimal_number_are_refused() {
    let texts =
        ["+5", "-5", "", "0x5", "5.0", "5 5", "5, 5", "5;", "99999999999", "18446744073709551621"];
    let rests = texts.map(|text| format!("Content-Length: {text}\r\n\r\nhello"));
    let site = Site::start();
    site.expect_refused(with_rests(rests));
    site.expect_served(&[HEAD, b"Content-Length:005 \t\r\n\r\nhello"].concat(), b"hello");
}

/// Guards against bytes of another protocol that are read as an answer. Nodes never ask for one.
#[test]
fn answers_after_a_switch_of_protocols_are_refused() {
    let answer = [HEAD, b"Content-Length: 5\r\n\r\nhello"].concat();
    let site = Site::start();
    site.expect_refused(["", "Connection: upgrade\r\nUpgrade: x\r\n"].map(|fields| {
        let switch = format!("HTTP/1.1 101 Switching Protocols\r\n{fields}\r\n");
        [switch.as_bytes(), &answer].concat()
    }));
}

/// Guards against a field that is read without the others of its name.
#[test]
fn answers_with_contradictory_lengths_or_codings_are_refused() {
    let site = Site::start();
    site.expect_refused(with_rests([
        "Content-Length: 5\r\nContent-Length: 11\r\n\r\nhello world",
        "Content-Length: 11\r\nContent-Length: 5\r\n\r\nhello world",
        "Content-Length: 5\r\nX-Other: 1\r\ncontent-length: \r\n\r\nhello",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "Transfer-Encoding: identity\r\n\r\nhello",
    ]));
    let repeated = b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello";
    site.expect_served(&[HEAD, repeated].concat(), b"hello");
}

/// Guards against an answer of which it is uncertain whether its body was chunked.
#[test]
fn answers_with_a_length_and_a_coding_are_refused() {
    let site = Site::start();
    site.expect_refused(with_rests([
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ]));
    let fields = "Attempt-Id: a1\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked";
    let answer = format!("HTTP/1.0 200 OK\r\n{fields}\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    site.expect_refused([answer.into_bytes()]);
}

#[test]
fn answers_with_a_line_that_is_no_field_are_refused() {
    let lines: [&[u8]; 16] = [
        b"X Other: 1",
        b"X\tOther: 1",
        b"X-Other : 1",
        b"X-Other\t: 1",
        b"X\x01Other: 1",
        b"X\0Other: 1",
        b"X\x7fOther: 1",
        b"X\x80Other: 1",
        b"no field",
        b": 1",
        b" X-Other: 1",
        b"X-Other: 1\r\n 2",
        b"X-Other: a\x01b",
        b"X-Other: a\0b",
        b"X-Other: a\rb",
        b"X-Other: a\x7fb",
    ];
    let site = Site::start();
    let fields = b"Content-Length: 5\r\n\r\nhello";
    site.expect_refused(with_rests(lines.map(|line| [line, b"\r\n", fields].concat())));
    let other = b"X-Empty:\r\nX-Text: \xff\xc3\xa9\r\n";
    site.expect_served(&[HEAD, other, fields].concat(), b"hello");
}

/// Guards against a head that ends at a stray line feed, so that the rest of it becomes the body.
#[test]
fn answers_with_a_single_line_feed_in_the_head_are_refused() {
    let site = Site::start();
    site.expect_refused(with_rests([
        "\nContent-Length: 5\r\n\r\nhello",
        "Content-Length: 5\r\n\nX-Other: 1\r\n\r\nhello",
        "Content-Length: 5\r\nX-Other: 1\n\r\nX-Third: 2\r\n\r\nhello",
        "Content-Length: 5\r\nX-Other: 1\n\nhello",
        "Content-Length: 5\nX-Other: 1\r\n\r\nhello",
    ]));
    let answer = String::from_utf8(with_status_line("HTTP/1.1 200 OK")).unwrap();
    site.expect_refused(
        [answer.replacen("\r\n", "\n", 1), answer.replace("\r\n", "\n")].map(String::into_bytes),
    );
}

/// Guards against an empty line that is skipped in front of the status line.
#[test]
fn answers_that_begin_with_an_empty_line_are_refused() {
    let answer = [HEAD, b"Content-Length: 5\r\n\r\nhello"].concat();
    let interim: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
    let site = Site::start();
    site.expect_refused(["\r\n", "\n"].map(|line| [line.as_bytes(), &answer].concat()));
    site.expect_refused([[interim, &b"\r\n"[..], &answer].concat()]);
    site.expect_served(&[interim, interim, &answer].concat(), b"hello");
}

/// Guards against a field that is read without the others of its name.
#[test]
fn answers_with_two_ids_or_two_signatures_or_an_empty_one_are_refused() {
    let heads = [
        "Attempt-Id: a1\r\nAttempt-Id: a2\r\nResponse-Signature: s",
        "Attempt-Id: a2\r\nAttempt-Id: a1\r\nResponse-Signature: s",
        "Attempt-Id: a1\r\nAttempt-Id:\r\nResponse-Signature: s",
        "Attempt-Id: a1\r\nResponse-Signature: s\r\nResponse-Signature: t",
        "Attempt-Id: a1\r\nResponse-Signature: s\r\nResponse-Signature: \u{e9}",
        "Attempt-Id: a1\r\nResponse-Signature:",
    ];
    let answers =
        heads.map(|head| format!("HTTP/1.1 200 OK\r\n{head}\r\nContent-Length: 5\r\n\r\nhello"));
    let site = Site::start();
    site.expect_refused(answers.map(String::into_bytes));
    // A failure needs no signature, but has no two either.
    let fields = "Attempt-Id: a1\r\nResponse-Signature: s\r\nResponse-Signature: t";
    let failure = format!("HTTP/1.1 500 X\r\n{fields}\r\nContent-Length: 5\r\n\r\nhello");
    site.expect_refused([failure.into_bytes()]);
    let no_text = b"Attempt-Id: a1\r\nResponse-Signature: \xff\r\nContent-Length: 5\r\n\r\nhello";
    site.expect_refused([[b"HTTP/1.1 200 OK\r\n", &no_text[..]].concat()]);
}

/// Guards against a part of a body that callers get as a complete answer, as only the write is told of a reset.
#[test]
fn answers_without_a_length_on_a_connection_that_is_reset_are_refused() {
    let site = Site::start();
    let mut passed_on = Vec::new();
    for round in 0..20 {
        *site.played.lock().unwrap() = Played {
            answer: [HEAD, b"\r\nabc"].concat(),
            reset_after_bytes: Some(UPLOAD_BYTES / 3 + round * 10_007),
        };
        for node in [&site.other, &site.entry] {
            let received = ask(node, UPLOAD_BYTES);
            if !is_refused(&received) {
                passed_on.push(text(&received));
            }
        }
    }
    assert!(passed_on.is_empty(), "{} of 40 passed on: {passed_on:#?}", passed_on.len());
}

#[test]
fn broken_answers_of_the_store_are_not_applied() {
    let store = configured_store();
    let node = start_ready(&store, "one");
    assert_eq!(node.site_version(), "4");
    store.set_broken(true);
    store.put("op", "config", &document(9, "/new/"));
    wait_for(|| node.log().contains("\"name\":\"StoreAway\""));
    assert_eq!(node.site_version(), "4");
    store.set_broken(false);
    wait_for(|| node.site_version() == "9");
}

/// Guards against an answer that claims that the request has not run, in a head that is invalid.
#[test]
fn broken_answers_never_count_as_not_run() {
    let site = Site::start();
    for status in ["503", "421", "429"] {
        site.expect_refused(["+5", "5, 5", "5\r\nContent-Length: 4"].map(|length| {
            let fields = "Attempt-Id: a1\r\nNot-Executed: 1\r\nInstance-Id: i-2";
            let head = format!("HTTP/1.1 {status} X\r\n{fields}\r\nContent-Length: {length}");
            format!("{head}\r\n\r\nhello").into_bytes()
        }));
    }
}

//! Tests of the commands that send requests to the operator listener of a node.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

use aspenspring::clock::Clock;
use aspenspring::config::TelemetrySettings;
use aspenspring::duty::operator::{
    self, ConfigEntry, ConfigView, LeaveReply, OperatorKey, OperatorOptions, OperatorRequest,
    SubmitReply,
};
use aspenspring::duty::web::WebServer;
use aspenspring::event::EventLog;
use aspenspring::logging::Logging;
use aspenspring::telemetry::metrics::Metrics;
use crossbeam_channel::bounded;
use serde_json::{Value, json};

const KEY: &str = "a-key-of-the-operators";
const KEY_ENV: &str = "ASPENSPRING_OPERATOR_KEY";

/// Starts an operator listener whose requests are handled by `handle` on a separate thread.
fn listen(handle: impl Fn(OperatorRequest) + Send + 'static) -> (WebServer, SocketAddr) {
    let logging = Logging::start(&TelemetrySettings::default(), std::io::sink()).expect("a log");
    let (sender, ring) = bounded(8);
    let offer = move |request| {
        sender.try_send(request).map_err(crossbeam_channel::TrySendError::into_inner)
    };
    std::thread::spawn(move || ring.into_iter().for_each(handle));
    let options = OperatorOptions::builder()
        .address(SocketAddr::from(([127, 0, 0, 1], 0)))
        .maybe_key(OperatorKey::new(KEY))
        .key_variable(KEY_ENV)
        .requests(Arc::new(offer))
        .metrics(Metrics::new().expect("metrics"))
        .events(EventLog::new(logging.logger.clone(), Clock::start()))
        .build();
    let server = operator::start(options).expect("a listener");
    let address = server.address();
    (server, address)
}

fn run_with_key(key: Option<&str>, address: SocketAddr, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_aspenspring"));
    command.current_dir(env!("CARGO_MANIFEST_DIR")).env_remove(KEY_ENV).env("USER", "samira");
    command.args(args).arg("--node").arg(format!("http://{address}"));
    if let Some(key) = key {
        command.env(KEY_ENV, key);
    }
    let output = command.output().expect("the program runs");
    for text in [&output.stdout, &output.stderr] {
        assert!(!String::from_utf8_lossy(text).contains(KEY), "the key is printed");
    }
    output
}

fn run(address: SocketAddr, args: &[&str]) -> Output {
    run_with_key(Some(KEY), address, args)
}

const SUBMIT: [&str; 9] = [
    "submit",
    "--based-on",
    "7",
    "--base",
    "examples/sites/base.json",
    "--site",
    "examples/sites/jordan.json",
    "--site",
    "examples/sites/donauwelle.json",
];

/// Runs `submit` against a node that sends `reply`. Returns the output and the submission that the
/// node received: base version, submitter and document.
fn submit(reply: SubmitReply) -> (Output, Option<(u64, String, Value)>) {
    let submission = Arc::new(Mutex::new(None));
    let received = Arc::clone(&submission);
    let (server, address) = listen(move |request| {
        let OperatorRequest::Submit { submission, reply: reply_sender } = request else {
            return handle_request(request);
        };
        let document = serde_json::from_str(&submission.document).expect("JSON");
        *received.lock().expect("a lock") =
            Some((submission.expected_version, submission.by, document));
        let _ = reply_sender.send(reply.clone());
    });
    let output = run(address, &SUBMIT);
    server.stop().expect("the listener stops");
    let submission = submission.lock().expect("a lock").take();
    (output, submission)
}

#[test]
fn an_accepted_submission_is_the_document_of_all_sites() {
    let (output, submission) = submit(SubmitReply::Accepted { version: 8 });
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(String::from_utf8_lossy(&output.stdout), "Accepted as version 8.\n");
    let (based_on, by, document) = submission.expect("a submission");
    assert_eq!((based_on, by.as_str()), (7, "samira"));
    let sites: Vec<&String> = document["sites"].as_object().expect("sites").keys().collect();
    assert_eq!(sites, ["donauwelle", "jordan"]);
    let text = document.to_string();
    for (site, file) in [("jordan", "souq-catalogue-1"), ("donauwelle", "kabinenblick-1")] {
        let rules = aspenspring::config::read_document(site, &text).expect("valid rules");
        let files = ["base", site, &format!("nodes/{file}")]
            .map(|name| format!("{}/examples/sites/{name}.json", env!("CARGO_MANIFEST_DIR")));
        let effective = aspenspring::config::load(&files.map(Into::into)).expect("examples");
        assert_eq!(rules, effective.settings.rules);
    }
}

#[test]
fn each_outcome_of_a_submission_has_its_exit_code() {
    let lost_to = Some(ConfigEntry { version: 8, by: "jonas".to_owned(), at_unix_ms: 1 });
    let (conflict, _) = submit(SubmitReply::Conflict { lost_to });
    assert_eq!(conflict.status.code(), Some(3));
    let text = String::from_utf8_lossy(&conflict.stderr).into_owned();
    assert!(text.contains("version 8 by jonas was accepted in the meantime"), "{text}");
    let (invalid, _) = submit(SubmitReply::Invalid { problems: vec!["/base: wrong".to_owned()] });
    assert_eq!(invalid.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&invalid.stderr).contains("/base: wrong"));
    let (refused, _) = submit(SubmitReply::NotAccepted { cause: "the table is away".to_owned() });
    assert_eq!(refused.status.code(), Some(1));
    let (unknown, _) = submit(SubmitReply::Unknown { cause: "no answer came".to_owned() });
    assert_eq!(unknown.status.code(), Some(4));
}

/// Closes the sending side, then reads until the peer closes: dropping a socket with unread data
/// would reset the connection.
fn close_gracefully(mut stream: std::net::TcpStream) {
    stream.shutdown(std::net::Shutdown::Write).expect("shutdown succeeds");
    let _ = std::io::copy(&mut stream, &mut std::io::sink());
}

#[test]
fn a_lost_reply_is_distinguished_from_an_unsent_request() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let mut buffer = [0; 16];
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.read_exact(&mut buffer).expect("the request for the configuration in force");
        let body = json!({"version": 7, "document": {}}).to_string();
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length";
        write!(stream, "{head}: {}\r\n\r\n{body}", body.len()).expect("the answer is sent");
        close_gracefully(stream);
        // Reads the submission and closes the connection without a reply.
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.read_exact(&mut buffer).expect("a submission");
    });
    assert_eq!(run(address, &SUBMIT).status.code(), Some(4));
    server.join().expect("the thread ends");
    assert_eq!(run(address, &SUBMIT).status.code(), Some(1), "the listener is closed");
}

#[test]
fn a_document_that_is_wrong_is_not_sent() {
    let (server, address) = listen(|_| panic!("no request is expected"));
    let bad = "tests/settings/refused/duplicate-ranks.json";
    let args = ["submit", "--based-on", "7", "--base", "examples/sites/base.json", "--site", bad];
    let output = run(address, &args);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains(bad));
    server.stop().expect("the listener stops");
}

#[test]
fn a_site_that_is_in_force_is_not_left_out_by_mistake() {
    let (server, address) = listen(|request| {
        if let OperatorRequest::Submit { reply, .. } = request {
            let _ = reply.send(SubmitReply::Accepted { version: 9 });
            return;
        }
        handle_request(request);
    });
    let without_jordan = [&SUBMIT[..5], &SUBMIT[7..]].concat();
    let refused = run(address, &without_jordan);
    assert_eq!(refused.status.code(), Some(2), "{refused:?}");
    assert!(String::from_utf8_lossy(&refused.stderr).contains("jordan is in force"));
    let dropped = run(address, &[&without_jordan[..], &["--drop-site", "jordan"]].concat());
    assert_eq!(dropped.status.code(), Some(0), "{dropped:?}");
    server.stop().expect("the listener stops");
}

fn handle_request(request: OperatorRequest) {
    match request {
        OperatorRequest::Config { version, reply } => {
            let entry = ConfigEntry { version: 7, by: "jonas".to_owned(), at_unix_ms: 1 };
            let view = ConfigView {
                version: version.unwrap_or(8),
                by: Some("samira".to_owned()),
                at_unix_ms: Some(2),
                document: json!({"base": {}, "sites": {"jordan": {}}}),
                history: vec![entry],
            };
            let _ = reply.send((version != Some(99)).then_some(view));
        }
        OperatorRequest::Status { reply } => {
            let status = json!({
                "name": "stock-1", "service": "souq-stock", "failure_domain": "amman-hall-a",
                "ready": true, "leaving": false, "config_version": 8, "members": 17,
                "target_url": "http://127.0.0.1:9000", "inbound": 3, "hops": 4,
                "arms": [{"arm": "chosen", "load": {"running": 3, "queued": 1, "limit": 12,
                          "latency_us": 5100, "floor": 10300, "leaving": false}}],
                "peers": []
            });
            let _ = reply.send(status);
        }
        OperatorRequest::Leave { reply } => {
            let _ = reply.send(LeaveReply { in_flight: 5 });
        }
        OperatorRequest::Health { .. } | OperatorRequest::Submit { .. } => {}
    }
}

#[test]
fn configurations_and_the_state_are_shown() {
    let (server, address) = listen(handle_request);
    let shown = run(address, &["show", "--document"]);
    assert_eq!(shown.status.code(), Some(0), "{shown:?}");
    let document: Value = serde_json::from_slice(&shown.stdout).expect("JSON");
    assert_eq!(document, json!({"base": {}, "sites": {"jordan": {}}}));
    let unknown = run(address, &["show", "--version", "99"]);
    assert_eq!(unknown.status.code(), Some(1));
    let listed = run(address, &["list", "--json"]);
    let list: Value = serde_json::from_slice(&listed.stdout).expect("JSON");
    assert_eq!((&list[0]["version"], &list[1]["by"]), (&json!(8), &json!("jonas")));
    let status = run(address, &["status"]);
    let text = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(text.contains("stock-1 of souq-stock in amman-hall-a: ready"), "{text}");
    assert!(text.contains("3 running, 1 queued, limit 12, 5.1 ms, sheds below rank 40"), "{text}");
    let left = run(address, &["leave"]);
    assert_eq!(left.status.code(), Some(0), "{left:?}");
    server.stop().expect("the listener stops");
}

#[test]
fn a_wrong_or_missing_key_fails() {
    let (server, address) = listen(handle_request);
    assert_eq!(run_with_key(Some("wrong"), address, &["show"]).status.code(), Some(1));
    assert_eq!(run_with_key(None, address, &["show"]).status.code(), Some(1));
    assert_eq!(run_with_key(Some("wrong"), address, &["status"]).status.code(), Some(1));
    server.stop().expect("the listener stops");
}

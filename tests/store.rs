//! Tests the store thread against the stand-in table service and against faulty servers.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use aspenspring::call::key::{CALLER_KEY_MAX_BYTES, claim_row_key};
use aspenspring::call::{NodeId, ParsedKey};
use aspenspring::duty::store::{
    self, Certainty, Claim, Condition, StoreEvent, StoreHandle, StoreOperation, StoreOptions,
    StoreOutcome, StoreRequest,
};
use aspenspring::standin::Server;
use aspenspring::standin::platform::start_table;
use serde_json::json;

/// How long to wait for an event. Much longer than any exchange takes, so only a hung test reaches it.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

struct TestStore {
    handle: StoreHandle,
    events: mpsc::Receiver<StoreEvent>,
    next_id: u64,
}

impl TestStore {
    fn start(url: &str) -> Self {
        Self::start_with(StoreOptions::builder().table_url(url.to_owned()).seed(1).build())
    }

    fn start_with(options: StoreOptions) -> Self {
        let (sender, events) = mpsc::channel();
        let sink = move |event| {
            let _receiver_gone = sender.send(event);
        };
        let (handle, _thread) = store::start(options, sink).unwrap();
        Self { handle, events, next_id: 0 }
    }

    fn run(&mut self, operation: StoreOperation) -> Result<StoreOutcome, Certainty> {
        self.next_id += 1;
        self.handle.try_submit(StoreRequest { id: self.next_id, operation }).unwrap();
        let event = self.events.recv_timeout(EVENT_TIMEOUT).unwrap();
        assert_eq!(event.id, self.next_id);
        event.outcome.map_err(|error| error.certainty)
    }

    fn put(&mut self, key: &str, value: u64, condition: Condition) -> StoreOutcome {
        let (key, value) = (key.to_owned(), json!(value));
        self.run(StoreOperation::Put { key, value, condition }).unwrap()
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn table() -> Server {
    start_table(any_port()).unwrap()
}

fn set_fault(server: &Server, mode: &str) {
    let url = format!("{}/fault", server.url());
    let body = json!({ "mode": mode });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let response = runtime.block_on(client.post(url).json(&body).send()).unwrap();
    assert!(response.status().is_success());
}

fn claim(owner: u64) -> Claim {
    Claim { owner: NodeId(owner), nonce: 7, minted_unix_ms: 9 }
}

fn claim_key(store: &mut TestStore, owner: u64) -> Result<StoreOutcome, Certainty> {
    let key = claim_row_key("orders", "order 17/a");
    store.run(StoreOperation::ClaimKey { key, claim: claim(owner) })
}

#[test]
fn rows_are_written_read_compared_and_deleted() {
    let server = table();
    let mut store = TestStore::start(&server.url());
    let StoreOutcome::Written { version } = store.put("member:a:1", 1, Condition::Absent) else {
        panic!("not written");
    };
    let second = store.put("member:a:1", 2, Condition::Absent);
    assert!(matches!(second, StoreOutcome::Conflict { present: Some(row) } if row.value == 1));
    let third = store.put("member:a:1", 3, Condition::Version(version));
    assert!(matches!(third, StoreOutcome::Written { .. }));
    let fourth = store.put("member:a:1", 4, Condition::Version(version));
    assert!(matches!(fourth, StoreOutcome::Conflict { present: Some(row) } if row.value == 3));
    store.put("member:b:1", 5, Condition::Any);
    let rows = store.run(StoreOperation::ReadRows { prefix: "member:a:".to_owned() }).unwrap();
    assert!(matches!(rows, StoreOutcome::Rows(rows) if rows.len() == 1 && rows[0].value == 3));
    let key = "member:a:1".to_owned();
    let stale = StoreOperation::Delete { key: key.clone(), version: Some(version) };
    assert!(matches!(store.run(stale).unwrap(), StoreOutcome::Conflict { present: Some(_) }));
    let delete = StoreOperation::Delete { key: key.clone(), version: None };
    assert_eq!(store.run(delete).unwrap(), StoreOutcome::Deleted);
    assert_eq!(store.run(StoreOperation::ReadRow { key }).unwrap(), StoreOutcome::Row(None));
}

#[test]
fn a_write_whose_answer_is_lost_may_have_been_applied() {
    let server = table();
    let mut store = TestStore::start(&server.url());
    set_fault(&server, "lose_answers");
    let put =
        StoreOperation::Put { key: "a".to_owned(), value: json!(1), condition: Condition::Absent };
    assert_eq!(store.run(put), Err(Certainty::MayHaveBeenApplied));
    set_fault(&server, "up");
    let read = store.run(StoreOperation::ReadRow { key: "a".to_owned() }).unwrap();
    assert!(matches!(read, StoreOutcome::Row(Some(row)) if row.value == 1));
}

#[test]
fn nothing_is_applied_where_nobody_listens() {
    let listener = TcpListener::bind(any_port()).unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let mut store = TestStore::start(&url);
    let delete = StoreOperation::Delete { key: "a".to_owned(), version: None };
    assert_eq!(store.run(delete), Err(Certainty::NotApplied));
}

#[test]
fn a_claim_is_made_once_and_shown_to_everybody_else() {
    let server = table();
    let mut store = TestStore::start(&server.url());
    assert_eq!(claim_key(&mut store, 1), Ok(StoreOutcome::Claimed(claim(1))));
    assert_eq!(claim_key(&mut store, 2), Ok(StoreOutcome::Claimed(claim(1))));
}

#[test]
fn a_claim_whose_answer_is_lost_is_settled_by_reading_back() {
    let server = table();
    let mut store = TestStore::start(&server.url());
    set_fault(&server, "lose_answers");
    assert_eq!(claim_key(&mut store, 1), Ok(StoreOutcome::Claimed(claim(1))));
    assert_eq!(claim_key(&mut store, 2), Ok(StoreOutcome::Claimed(claim(1))));
}

#[test]
fn a_claim_with_the_store_away_stays_unsettled() {
    let server = table();
    let mut store = TestStore::start(&server.url());
    set_fault(&server, "down");
    assert!(claim_key(&mut store, 1).is_err());
}

#[test]
fn two_keys_never_share_a_row() {
    assert_ne!(claim_row_key("a", "x y"), claim_row_key("a", "x/y"));
    assert_ne!(claim_row_key("a", "x"), claim_row_key("b", "x"));
    assert_ne!(claim_row_key("ab", "c"), claim_row_key("a", "bc"));
    assert!(ParsedKey::parse("").is_err());
    assert!(ParsedKey::parse(&"x".repeat(CALLER_KEY_MAX_BYTES + 1)).is_err());
}

#[test]
fn keys_that_change_the_url_are_refused_unsent() {
    let server = table();
    let mut store = TestStore::start(&server.url());
    for key in ["", ".", "..", "a/b", "a?b", "a b", "ü"] {
        let read = StoreOperation::ReadRow { key: key.to_owned() };
        assert_eq!(store.run(read), Err(Certainty::NotApplied), "{key}");
    }
}

/// Starts a server that counts connections and sends `answer` on each of them, or never responds if it
/// is `None`.
fn start_faulty_server(answer: Option<&'static [u8]>) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(any_port()).unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = connections.clone();
    std::thread::spawn(move || {
        let mut unanswered: Vec<TcpStream> = Vec::new();
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            counter.fetch_add(1, Ordering::SeqCst);
            let mut request = [0; 4096];
            let _length = stream.read(&mut request);
            match answer {
                Some(bytes) => {
                    let _peer_gone = stream.write_all(bytes);
                }
                None => unanswered.push(stream),
            }
        }
    });
    (url, connections)
}

/// The outcome of a write to a server that sends `answer`, and how often the write was sent.
fn write_to_faulty_server(
    answer: Option<&'static [u8]>,
) -> (Result<StoreOutcome, Certainty>, usize) {
    let (url, connections) = start_faulty_server(answer);
    let options = StoreOptions::builder().table_url(url).seed(1).timeout_ms(300).build();
    let mut store = TestStore::start_with(options);
    let put =
        StoreOperation::Put { key: "a".to_owned(), value: json!(1), condition: Condition::Any };
    let outcome = store.run(put);
    (outcome, connections.load(Ordering::SeqCst))
}

#[test]
fn no_failure_of_a_write_makes_it_sent_twice() {
    let ambiguous_responses: [Option<&'static [u8]>; 7] = [
        None,
        Some(b""),
        Some(b"HTTP/1.1 20"),
        Some(b"HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\n{\"key\":\"a\",\"ver"),
        Some(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"),
        Some(b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n"),
        Some(b"HTTP/1.1 503 No\r\nretry-after: 0\r\ncontent-length: 0\r\n\r\n"),
    ];
    for answer in ambiguous_responses {
        assert_eq!(
            write_to_faulty_server(answer),
            (Err(Certainty::MayHaveBeenApplied), 1),
            "{answer:?}"
        );
    }
}

#[test]
fn a_refused_write_and_a_redirect_are_not_followed_up() {
    let refused = b"HTTP/1.1 429 No\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(write_to_faulty_server(Some(refused)), (Err(Certainty::NotApplied), 1));
    let redirect = b"HTTP/1.1 307 Go\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(write_to_faulty_server(Some(redirect)), (Err(Certainty::MayHaveBeenApplied), 1));
}

#[test]
fn after_failures_the_circuit_breaker_opens_and_later_closes() {
    let server = table();
    let options = StoreOptions::builder().table_url(server.url()).seed(1).pause_max_ms(200);
    let mut store = TestStore::start_with(options.build());
    set_fault(&server, "down");
    let read = || StoreOperation::ReadRow { key: "a".to_owned() };
    for _ in 0..20 {
        assert_eq!(store.run(read()), Err(Certainty::NotApplied));
    }
    assert!(read_count(&server) < 10, "{} reads", read_count(&server));
    set_fault(&server, "up");
    while store.run(read()).is_err() {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// How many reads the stand-in table service has received.
fn read_count(server: &Server) -> u64 {
    let url = format!("{}/stats", server.url());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let stats: serde_json::Value =
        runtime.block_on(async { client.get(url).send().await.unwrap().json().await }).unwrap();
    stats["reads"].as_u64().unwrap()
}

#[test]
fn a_full_ring_refuses_at_once() {
    let (url, _connections) = start_faulty_server(None);
    let options = StoreOptions::builder().table_url(url).seed(1).ring_entries(2).concurrency(1);
    let store = TestStore::start_with(options.timeout_ms(500).build());
    let request =
        || StoreRequest { id: 1, operation: StoreOperation::ReadRow { key: "a".to_owned() } };
    let refused = (0..10).filter(|_| store.handle.try_submit(request()).is_err()).count();
    assert!(refused >= 6, "{refused} refused");
}

/// Guards against a row that counts as absent because it cannot be parsed.
#[test]
fn a_conflict_whose_row_is_not_understood_is_an_error() {
    let written = |answer: &'static str| {
        let (url, _) = start_faulty_server(Some(answer.as_bytes()));
        let (key, condition) = ("a".to_owned(), Condition::Version(4));
        TestStore::start(&url).run(StoreOperation::Put { key, value: json!(1), condition })
    };
    for answer in [
        "HTTP/1.1 412 X\r\ncontent-length: 12\r\n\r\n{\"key\":\"a\",\"",
        "HTTP/1.1 412 X\r\n\r\n{\"key\":\"a\",\"ver",
        "HTTP/1.1 412 X\r\ncontent-length: 11\r\n\r\n{\"key\":\"a\"}",
        "HTTP/1.1 412 X\r\ntransfer-encoding: x\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    ] {
        assert_eq!(written(answer), Err(Certainty::NotApplied), "{answer}");
    }
    let without_row = "HTTP/1.1 412 X\r\ncontent-length: 2\r\n\r\n{}";
    assert_eq!(written(without_row), Ok(StoreOutcome::Conflict { present: None }));
}

//! A stand-in for the platform's metadata store: rows in memory, with transactions, ranges and the feed of changes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{self, Value, quote};

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    /// All changes: version, key, value; `None` for a dropped row.
    changes: Vec<(u64, Key, Option<String>)>,
}

/// The store.
pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    /// How long an answer takes, in milliseconds.
    pub answer_ms: AtomicU64,
    started: Instant,
}

impl Store {
    /// Starts a store that takes 4 ms for an answer.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("its address"),
            rows: Mutex::default(),
            changed: Condvar::new(),
            answer_ms: AtomicU64::new(4),
            started: Instant::now(),
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = base64(value);
        rows.rows.insert(key.clone(), (value.clone(), version));
        rows.changes.push((version, key, Some(value)));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(request)) = http::read_message(&mut reader) {
            thread::sleep(Duration::from_millis(self.answer_ms.load(Ordering::SeqCst)));
            let (status, body) = self.answer(&request);
            if http::write_json(&mut stream, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        match path {
            "/aspenspring/rows-tx" => self.transact(&request.body),
            "/aspenspring/rows-get" => {
                let table = field("table").unwrap_or_default();
                let part = field("part").unwrap_or_default();
                let start = field("rangeStart").unwrap_or_default();
                let rows = self.rows.lock().unwrap();
                let found = rows.rows.iter().filter(|((of, at, key), _)| {
                    *of == table && *at == part && *key >= start
                });
                let found: Vec<String> = found
                    .map(|(key, (value, version))| row(key, Some(value), *version))
                    .collect();
                (200, self.page(&found, rows.version))
            }
            "/aspenspring/rows-feed" => {
                let table = field("table").unwrap_or_default();
                let after: u64 = field("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = field("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut rows = self.rows.lock().unwrap();
                loop {
                    let found = rows
                        .changes
                        .iter()
                        .filter(|(version, key, _)| *version > after && key.0 == table);
                    let found: Vec<String> = found
                        .map(|(version, key, value)| row(key, value.as_ref(), *version))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        return (200, self.page(&found, rows.version));
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"rowVersion\":{version},\"nowMs\":{}}}",
            rows.join(","),
            self.started.elapsed().as_millis()
        )
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = json::parse(body) else { return (400, "{}".to_owned()) };
        let key = |row: &Value| (row.text("table"), row.text("part"), row.text("key"));
        let mut rows = self.rows.lock().unwrap();
        for expected in call.list("expectedRevision") {
            let now = rows.rows.get(&key(&expected)).map_or(0, |(_, version)| *version);
            if now != expected.number("rowVersion") {
                let shown = rows
                    .rows
                    .get_key_value(&key(&expected))
                    .map(|(key, (value, version))| row(key, Some(value), *version));
                let shown: Vec<String> = shown.into_iter().collect();
                return (412, self.page(&shown, rows.version));
            }
        }
        rows.version += 1;
        let version = rows.version;
        for put in call.list("put") {
            rows.rows.insert(key(&put), (put.text("value"), version));
            rows.changes.push((version, key(&put), Some(put.text("value"))));
        }
        for removed in call.list("remove") {
            rows.rows.remove(&key(&removed));
            rows.changes.push((version, key(&removed), None));
        }
        self.changed.notify_all();
        let now = self.started.elapsed().as_millis();
        (200, format!("{{\"rowVersion\":{version},\"nowMs\":{now}}}"))
    }
}

fn row(key: &Key, value: Option<&String>, version: u64) -> String {
    let (table, part, name) = key;
    let value = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{value},\"rowVersion\":{version}}}",
        quote(table),
        quote(part),
        quote(name)
    )
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(ALPHABET[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

//! A stand-in for the platform's store: rows, a long-poll feed, and faults.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// Rows: table, part and key, with the value in base64 and the version.
type Rows = BTreeMap<(String, String, String), (String, u64)>;

#[derive(Default)]
struct State {
    rows: Rows,
    version: u64,
    /// The history up to this version is no longer available.
    history_dropped_to: u64,
    is_unavailable: bool,
    is_unresponsive: bool,
    is_broken: bool,
    /// Connections on which an answer was dropped. They stay open without further answers.
    lost_answers: Vec<TcpStream>,
    /// The version given in the latest poll of the operator's table.
    last_polled_version: u64,
    /// The number of pending polls of the operator's table.
    pending_polls: usize,
}

/// The stand-in store.
#[derive(Clone)]
pub struct Store {
    /// The address on which it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self { address: listener.local_addr().unwrap(), state: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (served, stream) = (served.clone(), stream.unwrap());
                thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    /// Writes a row, as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        put(&mut state.lock().unwrap(), table, "", key, &STANDARD.encode(value));
        changed.notify_all();
    }

    /// Sets whether the store refuses every request with status 503.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().is_unavailable = is_unavailable;
        changed.notify_all();
    }

    /// Sets whether the store accepts connections and requests but does not answer. Requests that arrive or whose
    /// answer becomes due while it is unresponsive are never answered.
    pub fn set_unresponsive(&self, is_unresponsive: bool) {
        self.state.0.lock().unwrap().is_unresponsive = is_unresponsive;
    }

    /// Sets whether the length in each answer has a sign, which HTTP does not allow.
    pub fn set_broken(&self, is_broken: bool) {
        self.state.0.lock().unwrap().is_broken = is_broken;
    }

    /// The number of answers dropped while unresponsive.
    pub fn lost_answers(&self) -> usize {
        self.state.0.lock().unwrap().lost_answers.len()
    }

    /// Drops the history of changes, but not the rows.
    pub fn drop_history(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        state.history_dropped_to = state.version;
        changed.notify_all();
    }

    /// Waits until a follower has read all rows that the operator has written.
    pub fn wait_until_seen(&self) {
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap();
        drop(changed.wait_while(state, |state| state.last_polled_version < state.version).unwrap());
    }

    /// The number of pending polls of the operator's table.
    pub fn pending_polls(&self) -> usize {
        self.state.0.lock().unwrap().pending_polls
    }

    /// The keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let of_table = state.rows.keys().filter(|(of, ..)| of == table);
        of_table.map(|(.., key)| key.clone()).collect()
    }

    /// The values of a table.
    pub fn values(&self, table: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let of_table = state.rows.iter().filter(|((of, ..), _)| of == table);
        let decode = |value: &str| String::from_utf8(STANDARD.decode(value).unwrap()).unwrap();
        of_table.map(|(_, (value, _))| decode(value)).collect()
    }

    /// Changes the values of a table as another writer does.
    pub fn replace_values(&self, table: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let of_table = state.rows.keys().filter(|(of, ..)| of == table);
        for (table, part, key) in of_table.cloned().collect::<Vec<_>>() {
            put(&mut state, &table, &part, &key, &STANDARD.encode(value));
        }
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some((path, body)) = read_request(&mut reader) {
            let was_unresponsive = self.state.0.lock().unwrap().is_unresponsive;
            let (status, answer) = self.answer(&path, &body);
            let mut state = self.state.0.lock().unwrap();
            if was_unresponsive || state.is_unresponsive {
                state.lost_answers.push(writer);
                return;
            }
            let sign = if state.is_broken { "+" } else { "" };
            drop(state);
            let text = answer.to_string();
            let length = text.len();
            let head =
                format!("HTTP/1.1 {status} X\r\nContent-Length: {sign}{length}\r\n\r\n{text}");
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str, body: &[u8]) -> (u16, Value) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.is_unavailable {
            return (503, json!({}));
        }
        let query_parameter = |name: &str| {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))
        };
        let table = query_parameter("table").unwrap_or_default();
        if path.starts_with("/aspenspring/rows-tx") {
            let body: Value = serde_json::from_slice(body).unwrap();
            let text = |row: &Value, name: &str| row[name].as_str().unwrap().to_owned();
            let place = |row: &Value| (text(row, "table"), text(row, "part"), text(row, "key"));
            for row in body["expectedRevision"].as_array().unwrap() {
                let version = state.rows.get(&place(row)).map_or(0, |(_, version)| *version);
                if version != row["rowVersion"].as_u64().unwrap() {
                    return (412, json!({ "rows": [], "rowVersion": state.version, "nowMs": 0 }));
                }
            }
            for row in body["put"].as_array().unwrap() {
                let (table, part, key) = place(row);
                put(&mut state, &table, &part, &key, &text(row, "value"));
            }
            for row in body["remove"].as_array().unwrap() {
                state.rows.remove(&place(row));
                state.version += 1;
            }
            changed.notify_all();
            return (200, json!({ "rowVersion": state.version, "nowMs": 0 }));
        }
        if path.starts_with("/aspenspring/rows-get") {
            let from = query_parameter("rangeStart").unwrap_or_default();
            let part = query_parameter("part").unwrap_or_default();
            return (200, answer(&state, table, |of, key, _| of == part && key >= from));
        }
        let after: u64 = query_parameter("after").unwrap().parse().unwrap();
        if table == "op" {
            state.last_polled_version = after;
            state.pending_polls += 1;
            changed.notify_all();
        }
        let wait = Duration::from_millis(query_parameter("waitMs").unwrap().parse().unwrap());
        let is_unchanged = |state: &mut State| {
            let is_new = |((of, ..), (_, version)): (&(String, String, String), &(String, u64))| {
                of == table && *version > after
            };
            !state.is_unavailable
                && state.history_dropped_to <= after
                && !state.rows.iter().any(is_new)
        };
        let (mut state, _) = changed.wait_timeout_while(state, wait, is_unchanged).unwrap();
        if table == "op" {
            state.pending_polls -= 1;
        }
        if state.is_unavailable {
            return (503, json!({}));
        }
        if state.history_dropped_to > after {
            return (410, json!({}));
        }
        (200, answer(&state, table, |_, _, version| version > after))
    }
}

fn put(state: &mut State, table: &str, part: &str, key: &str, value: &str) {
    state.version += 1;
    let place = (table.to_owned(), part.to_owned(), key.to_owned());
    state.rows.insert(place, (value.to_owned(), state.version));
}

/// The rows of a table for whose part, key and version `is_wanted` holds.
fn answer(state: &State, table: &str, is_wanted: impl Fn(&str, &str, u64) -> bool) -> Value {
    let mut rows = Vec::new();
    for ((of, part, key), (value, version)) in &state.rows {
        if of != table || !is_wanted(part, key, *version) {
            continue;
        }
        rows.push(
            json!({ "table": of, "part": part, "key": key, "value": value, "rowVersion": version }),
        );
    }
    json!({ "rows": rows, "hasMore": false, "rowVersion": state.version, "nowMs": 0 })
}

/// Reads one request: its path with the query, and its body.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let path = line.split(' ').nth(1)?.to_owned();
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|read| *read > 0)?;
        if header == "\r\n" {
            break;
        }
        let (name, value) = header.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((path, body))
}

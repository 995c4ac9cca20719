//! A small stand-in for the platform's store: rows, a feed, and days on which it is away.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// A row: its table, key, value in base64 and version.
type Rows = BTreeMap<(String, String), (String, u64)>;

#[derive(Default)]
struct State {
    rows: Rows,
    version: u64,
    /// Versions up to this one are forgotten.
    forgotten: u64,
    is_away: bool,
    is_silent: bool,
    /// Connections on which an answer was lost; they stay open and deliver nothing more.
    lost: Vec<TcpStream>,
    /// The version after which changes of the operator's table were asked for last.
    asked_after: u64,
    /// How many wait for changes of the operator's table.
    followers: usize,
}

/// The stand-in.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts it with nothing in it.
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

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        put(&mut state.lock().unwrap(), table, key, &STANDARD.encode(value));
        changed.notify_all();
    }

    /// Refuses every call from now on, or serves them again.
    pub fn set_away(&self, is_away: bool) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().is_away = is_away;
        changed.notify_all();
    }

    /// Takes connections and requests from now on and answers none, or only those that come then: what was
    /// asked or fell due in the silence is never answered.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.0.lock().unwrap().is_silent = is_silent;
    }

    /// How many answers were lost in the silence.
    pub fn lost(&self) -> usize {
        self.state.0.lock().unwrap().lost.len()
    }

    /// Forgets what has changed so far, but not the rows.
    pub fn forget(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        state.forgotten = state.version;
        changed.notify_all();
    }

    /// Waits until somebody has seen all that the operator has written.
    pub fn wait_until_seen(&self) {
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap();
        drop(changed.wait_while(state, |state| state.asked_after < state.version).unwrap());
    }

    /// How many wait at this moment for what the operator writes next.
    pub fn followers(&self) -> usize {
        self.state.0.lock().unwrap().followers
    }

    /// The keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let of_table = state.rows.keys().filter(|(of, _)| of == table);
        of_table.map(|(_, key)| key.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some((path, body)) = read_request(&mut reader) {
            let was_silent = self.state.0.lock().unwrap().is_silent;
            let (status, answer) = self.answer(&path, &body);
            let mut state = self.state.0.lock().unwrap();
            if was_silent || state.is_silent {
                state.lost.push(writer);
                return;
            }
            drop(state);
            let text = answer.to_string();
            let length = text.len();
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{text}");
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str, body: &[u8]) -> (u16, Value) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.is_away {
            return (503, json!({}));
        }
        let argument = |name: &str| {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))
        };
        let table = argument("table").unwrap_or_default();
        if path.starts_with("/aspenspring/rows-tx") {
            let body: Value = serde_json::from_slice(body).unwrap();
            for row in body["put"].as_array().unwrap() {
                let text = |name: &str| row[name].as_str().unwrap().to_owned();
                put(&mut state, &text("table"), &text("key"), &text("value"));
            }
            for row in body["remove"].as_array().unwrap() {
                let text = |name: &str| row[name].as_str().unwrap().to_owned();
                state.rows.remove(&(text("table"), text("key")));
                state.version += 1;
            }
            changed.notify_all();
            return (200, json!({ "rowVersion": state.version, "nowMs": 0 }));
        }
        if path.starts_with("/aspenspring/rows-get") {
            let from = argument("rangeStart").unwrap_or_default();
            return (200, answer(&state, table, |key, _| key >= from));
        }
        let after: u64 = argument("after").unwrap().parse().unwrap();
        if table == "op" {
            state.asked_after = after;
            state.followers += 1;
            changed.notify_all();
        }
        let wait = Duration::from_millis(argument("waitMs").unwrap().parse().unwrap());
        let has_news = |state: &mut State| {
            let is_new = |((of, _), (_, version)): (&(String, String), &(String, u64))| {
                of == table && *version > after
            };
            !state.is_away && state.forgotten <= after && !state.rows.iter().any(is_new)
        };
        let (mut state, _) = changed.wait_timeout_while(state, wait, has_news).unwrap();
        if table == "op" {
            state.followers -= 1;
        }
        if state.is_away {
            return (503, json!({}));
        }
        if state.forgotten > after {
            return (410, json!({}));
        }
        (200, answer(&state, table, |_, version| version > after))
    }
}

fn put(state: &mut State, table: &str, key: &str, value: &str) {
    state.version += 1;
    let version = state.version;
    state.rows.insert((table.to_owned(), key.to_owned()), (value.to_owned(), version));
}

fn answer(state: &State, table: &str, is_wanted: impl Fn(&str, u64) -> bool) -> Value {
    let mut rows = Vec::new();
    for ((of, key), (value, version)) in &state.rows {
        if of != table || !is_wanted(key, *version) {
            continue;
        }
        rows.push(
            json!({ "table": of, "part": "", "key": key, "value": value, "rowVersion": version }),
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

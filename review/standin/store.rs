//! A stand-in for the platform's metadata store: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{self, Json};

/// Rows by table, part and key: the value in base64, the version, and whether the row was dropped.
type Rows = BTreeMap<(String, String, String), (String, u64, bool)>;

struct State {
    rows: Rows,
    version: u64,
    started: Instant,
    /// `Store-Era`: rises by one each time the store comes back from a copy.
    era: u64,
    is_away: bool,
}

/// A copy of the store.
pub struct Copy {
    rows: Rows,
    version: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State {
            rows: Rows::new(),
            version: 0,
            started: Instant::now(),
            era: 1,
            is_away: false,
        };
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator does. Returns its version.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let version = put(&mut state, table, key, value);
        changed.notify_all();
        version
    }

    /// A copy of the store as it is now.
    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy { rows: state.rows.clone(), version: state.version }
    }

    /// Turns all calls away until the store comes back.
    pub fn go_away(&self) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().is_away = true;
        changed.notify_all();
    }

    /// Comes back from a copy. What the operator has written since is written again, in order,
    /// before the store takes other calls. Returns the version of the last of these rows.
    pub fn come_back(&self, copy: Copy, again: &[(&str, &str, &[u8])]) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        (state.rows, state.version) = (copy.rows, copy.version);
        state.era += 1;
        for (table, key, value) in again {
            put(&mut state, table, key, value);
        }
        state.is_away = false;
        changed.notify_all();
        state.version
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_message(&mut reader) {
            // A transaction takes 4 ms.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let length = body.len();
            let era = self.state.0.lock().unwrap().era;
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {length}\r\n\r\n{body}"
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        if self.state.0.lock().unwrap().is_away {
            return (503, "{}".to_owned());
        }
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        match path {
            "/aspenspring/rows-tx" => self.transact(&request.body),
            "/aspenspring/rows-get" => {
                let table = parameter("table").unwrap_or_default();
                let part = parameter("part").unwrap_or_default();
                let from = parameter("rangeStart").unwrap_or_default();
                let state = self.state.0.lock().unwrap();
                let wanted = |(t, p, k): &(String, String, String), _: u64, gone: bool| {
                    *t == table && *p == part && *k >= from && !gone
                };
                (200, render(&state, wanted))
            }
            "/aspenspring/rows-feed" => {
                let table = parameter("table").unwrap_or_default();
                let after: u64 = parameter("after").and_then(|t| t.parse().ok()).unwrap_or(0);
                let wait_ms = parameter("waitMs").and_then(|t| t.parse().ok()).unwrap_or(0);
                let (state, changed) = &*self.state;
                let era = state.lock().unwrap().era;
                let unchanged = |state: &mut State| {
                    !state.is_away
                        && state.era == era
                        && state.version >= after
                        && !state
                            .rows
                            .iter()
                            .any(|((t, ..), (_, at, _))| *t == table && *at > after)
                };
                let state = state.lock().unwrap();
                let wait = Duration::from_millis(wait_ms);
                let (state, _) = changed.wait_timeout_while(state, wait, unchanged).unwrap();
                if state.is_away || state.era != era {
                    return (503, "{}".to_owned());
                }
                if state.version < after {
                    return (410, "{}".to_owned());
                }
                let wanted = |(t, ..): &(String, String, String), at: u64, _: bool| {
                    *t == table && at > after
                };
                (200, render(&state, wanted))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = json::parse(body) else { return (400, "{}".to_owned()) };
        let key_of = |row: &Json| {
            let text = |name: &str| row.text(name).unwrap_or("").to_owned();
            (text("table"), text("part"), text("key"))
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        for row in body.list("expectedRevision") {
            let known = state.rows.get(&key_of(row)).filter(|row| !row.2).map_or(0, |row| row.1);
            if known as f64 != row.number("rowVersion").unwrap_or(0.0) {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        let touched = body.list("put").iter().chain(body.list("remove"));
        if touched.into_iter().any(|row| matches!(row.text("table"), Some("op" | "servers"))) {
            return (403, "{}".to_owned());
        }
        state.version += 1;
        let version = state.version;
        for row in body.list("put") {
            let value = row.text("value").unwrap_or("").to_owned();
            state.rows.insert(key_of(row), (value, version, false));
        }
        for row in body.list("remove") {
            state.rows.insert(key_of(row), (String::new(), version, true));
        }
        changed.notify_all();
        let now_ms = state.started.elapsed().as_millis();
        (200, format!("{{\"rowVersion\":{version},\"nowMs\":{now_ms}}}"))
    }
}

fn put(state: &mut State, table: &str, key: &str, value: &[u8]) -> u64 {
    state.version += 1;
    let at = (table.to_owned(), String::new(), key.to_owned());
    state.rows.insert(at, (json::base64(value), state.version, false));
    state.version
}

fn render(state: &State, wanted: impl Fn(&(String, String, String), u64, bool) -> bool) -> String {
    let mut rows = Vec::new();
    let mut found: Vec<_> = state.rows.iter().filter(|(k, v)| wanted(k, v.1, v.2)).collect();
    found.sort_by(|one, other| one.0.2.as_bytes().cmp(other.0.2.as_bytes()));
    for ((table, part, key), (value, version, gone)) in found {
        let (table, part, key) = (json::quote(table), json::quote(part), json::quote(key));
        let rest = if *gone {
            "\"deleted\":true".to_owned()
        } else {
            format!("\"value\":{}", json::quote(value))
        };
        rows.push(format!(
            "{{\"table\":{table},\"part\":{part},\"key\":{key},{rest},\"rowVersion\":{version}}}"
        ));
    }
    let now_ms = state.started.elapsed().as_millis();
    format!(
        "{{\"rows\":[{}],\"hasMore\":false,\"rowVersion\":{},\"nowMs\":{now_ms}}}",
        rows.join(","),
        state.version
    )
}

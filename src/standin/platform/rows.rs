//! Rows of the table service: versions, compare-and-set and prefix scans.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Value, json};

use crate::standin::message::{Reply, Request};

/// A row in its JSON form.
#[derive(Clone, Debug, Serialize)]
struct Row {
    /// The key, unique in its table.
    key: String,
    /// The version of the last write. Versions increase over all rows, so a row that is deleted and
    /// created again never reuses a version.
    version: u64,
    /// The JSON value last written.
    value: Value,
}

/// All tables. A table exists from its first write.
#[derive(Debug, Default)]
pub(super) struct Tables {
    /// Rows by table and key.
    rows: BTreeMap<(String, String), Row>,
    /// The version of the last write.
    last_version: u64,
}

/// The precondition of a write.
enum Condition {
    /// None: the write always applies.
    None,
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(u64),
}

impl Tables {
    /// Answers one request.
    pub(super) fn answer(&mut self, request: &Request) -> Reply {
        let Some((table, key)) = parse_path(&request.path) else {
            return Reply::problem(404, "no such path");
        };
        let Some(condition) = parse_condition(request) else {
            return Reply::problem(400, "If-Match is a version in quotes, If-None-Match is *");
        };
        match (request.method.as_str(), key) {
            ("GET", None) => self.scan(table, request.query_value("prefix").unwrap_or("")),
            ("GET", Some(key)) => self.get(table, key),
            ("PUT", Some(key)) => self.put(table, key, &request.body, &condition),
            ("DELETE", Some(key)) => self.delete(table, key, &condition),
            _ => Reply::problem(405, "no such method"),
        }
    }

    fn get(&self, table: &str, key: &str) -> Reply {
        match self.row(table, key) {
            Some(row) => Reply::json(200, row).with_header("etag", &format!("\"{}\"", row.version)),
            None => Reply::problem(404, "no such row"),
        }
    }

    fn scan(&self, table: &str, prefix: &str) -> Reply {
        let prefix = prefix.replace("%3A", ":").replace("%3a", ":");
        let from = (table.to_owned(), prefix.clone());
        let mut rows = Vec::new();
        for ((row_table, key), row) in self.rows.range(from..) {
            if row_table != table || !key.starts_with(&prefix) {
                break;
            }
            rows.push(row);
        }
        Reply::json(200, &json!({ "rows": rows }))
    }

    fn put(&mut self, table: &str, key: &str, body: &[u8], condition: &Condition) -> Reply {
        if !is_valid_key(key) {
            return Reply::problem(400, "keys use only A-Z a-z 0-9 : . _ -");
        }
        let Ok(value) = serde_json::from_slice::<Value>(body) else {
            return Reply::problem(400, "the body is not JSON");
        };
        if let Some(rejection) = self.check_condition(table, key, condition) {
            return rejection;
        }
        self.last_version += 1;
        let version = self.last_version;
        let row = Row { key: key.to_owned(), version, value };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
        Reply::json(200, &json!({"key": key, "version": version}))
    }

    fn delete(&mut self, table: &str, key: &str, condition: &Condition) -> Reply {
        if self.row(table, key).is_none() {
            return Reply::problem(404, "no such row");
        }
        if let Some(rejection) = self.check_condition(table, key, condition) {
            return rejection;
        }
        self.rows.remove(&(table.to_owned(), key.to_owned()));
        Reply::empty(204)
    }

    /// Returns a 412 reply, with the current row if there is one, if the condition does not hold.
    fn check_condition(&self, table: &str, key: &str, condition: &Condition) -> Option<Reply> {
        let current = self.row(table, key);
        let holds = match condition {
            Condition::None => true,
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current.is_some_and(|row| row.version == *version),
        };
        if holds {
            return None;
        }
        Some(current.map_or_else(|| Reply::json(412, &json!({})), |row| Reply::json(412, row)))
    }

    fn row(&self, table: &str, key: &str) -> Option<&Row> {
        self.rows.get(&(table.to_owned(), key.to_owned()))
    }
}

/// Parses `/tables/{table}/rows[/{key}]` into the table and the key.
fn parse_path(path: &str) -> Option<(&str, Option<&str>)> {
    let mut parts = path.strip_prefix("/tables/")?.splitn(3, '/');
    let table = parts.next()?;
    if table.is_empty() || parts.next()? != "rows" {
        return None;
    }
    Some((table, parts.next().filter(|key| !key.is_empty())))
}

/// The condition in the headers of a request; `None` if they are malformed.
fn parse_condition(request: &Request) -> Option<Condition> {
    if let Some(value) = request.header("if-none-match") {
        return (value.trim() == "*").then_some(Condition::Absent);
    }
    let Some(value) = request.header("if-match") else {
        return Some(Condition::None);
    };
    value.trim().trim_matches('"').parse().ok().map(Condition::Version)
}

/// Whether a key uses only allowed characters.
fn is_valid_key(key: &str) -> bool {
    key.bytes().all(|byte| byte.is_ascii_alphanumeric() || b":._-".contains(&byte))
}

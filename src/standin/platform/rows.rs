//! Rows of the table service: versions, compare-and-set and scans by prefix.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Value, json};

use crate::standin::exchange::{Exchange, Reply};

/// One row.
#[derive(Clone, Debug, Serialize)]
struct Row {
    /// Its key.
    key: String,
    /// Raised by every write of any row, so that a row that is deleted and created again never
    /// repeats a version.
    version: u64,
    /// What was written.
    value: Value,
}

/// All tables, each made by its first write.
#[derive(Debug, Default)]
pub(super) struct Tables {
    /// Rows by table and key.
    rows: BTreeMap<(String, String), Row>,
    /// The version of the last write.
    last_version: u64,
}

/// What a write asks of the row it finds.
enum Condition {
    /// Nothing.
    None,
    /// That there is no row.
    Absent,
    /// That the row has this version.
    Version(u64),
}

impl Tables {
    /// Answers one request.
    pub(super) fn answer(&mut self, exchange: &Exchange) -> Reply {
        let Some((table, key)) = split_path(&exchange.path) else {
            return Reply::problem(404, "no such path");
        };
        let Some(condition) = condition(exchange) else {
            return Reply::problem(400, "If-Match is a version in quotes, If-None-Match is *");
        };
        match (exchange.method.as_str(), key) {
            ("GET", None) => self.scan(table, exchange.query_value("prefix").unwrap_or("")),
            ("GET", Some(key)) => self.get(table, key),
            ("PUT", Some(key)) => self.put(table, key, &exchange.body, &condition),
            ("DELETE", Some(key)) => self.delete(table, key, &condition),
            _ => Reply::problem(405, "no such method"),
        }
    }

    fn get(&self, table: &str, key: &str) -> Reply {
        match self.row(table, key) {
            Some(row) => Reply::json(200, row).with("etag", &format!("\"{}\"", row.version)),
            None => Reply::problem(404, "no such row"),
        }
    }

    fn scan(&self, table: &str, prefix: &str) -> Reply {
        let prefix = prefix.replace("%3A", ":").replace("%3a", ":");
        let from = (table.to_owned(), prefix.clone());
        let mut rows = Vec::new();
        for ((present, key), row) in self.rows.range(from..) {
            if present != table || !key.starts_with(&prefix) {
                break;
            }
            rows.push(row);
        }
        Reply::json(200, &json!({ "rows": rows }))
    }

    fn put(&mut self, table: &str, key: &str, body: &[u8], condition: &Condition) -> Reply {
        if !well_formed(key) {
            return Reply::problem(400, "keys use only A-Z a-z 0-9 : . _ -");
        }
        let Ok(value) = serde_json::from_slice::<Value>(body) else {
            return Reply::problem(400, "the body is not JSON");
        };
        if let Some(refused) = self.refuse(table, key, condition) {
            return refused;
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
        if let Some(refused) = self.refuse(table, key, condition) {
            return refused;
        }
        self.rows.remove(&(table.to_owned(), key.to_owned()));
        Reply::empty(204)
    }

    /// The refusal of a write whose condition the present row does not meet.
    fn refuse(&self, table: &str, key: &str, condition: &Condition) -> Option<Reply> {
        let present = self.row(table, key);
        let met = match condition {
            Condition::None => true,
            Condition::Absent => present.is_none(),
            Condition::Version(version) => present.is_some_and(|row| row.version == *version),
        };
        if met {
            return None;
        }
        Some(present.map_or_else(|| Reply::json(412, &json!({})), |row| Reply::json(412, row)))
    }

    fn row(&self, table: &str, key: &str) -> Option<&Row> {
        self.rows.get(&(table.to_owned(), key.to_owned()))
    }
}

/// The table and the key of `/tables/{table}/rows[/{key}]`.
fn split_path(path: &str) -> Option<(&str, Option<&str>)> {
    let mut parts = path.strip_prefix("/tables/")?.splitn(3, '/');
    let table = parts.next()?;
    if table.is_empty() || parts.next()? != "rows" {
        return None;
    }
    Some((table, parts.next().filter(|key| !key.is_empty())))
}

/// The condition of a write; none where its headers are malformed.
fn condition(exchange: &Exchange) -> Option<Condition> {
    if let Some(value) = exchange.header("if-none-match") {
        return (value.trim() == "*").then_some(Condition::Absent);
    }
    let Some(value) = exchange.header("if-match") else {
        return Some(Condition::None);
    };
    value.trim().trim_matches('"').parse().ok().map(Condition::Version)
}

/// Whether a key uses only the characters that are allowed.
fn well_formed(key: &str) -> bool {
    key.bytes().all(|byte| byte.is_ascii_alphanumeric() || b":._-".contains(&byte))
}

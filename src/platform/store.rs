//! The client of the platform's metadata store.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use eyre::{WrapErr, bail};
use http::Method;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::mesh::http1::{Connection, ExchangeError, Reply};
use crate::mesh::inquiry::Question;

/// How long the answer to a write may take.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A row.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value in base64; missing where the row was dropped.
    #[serde(default)]
    value: String,
    /// Whether the row was dropped.
    #[serde(default)]
    pub deleted: bool,
}

impl Row {
    /// The value.
    pub fn value(&self) -> eyre::Result<Vec<u8>> {
        STANDARD.decode(&self.value).wrap_err_with(|| format!("the value of the row {}", self.key))
    }
}

/// Rows, and the version of the store at which they were read.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rows {
    /// The rows; one that cannot be read is an error of its own, and the others hold.
    #[serde(deserialize_with = "each_row")]
    pub rows: Vec<Result<Row, String>>,
    /// The newest version of any row of the store.
    pub row_version: u64,
    /// Whether there are more rows behind these.
    #[serde(default)]
    pub has_more: bool,
}

/// Reads each row by itself: anybody may write into a table.
fn each_row<'de, D>(deserializer: D) -> Result<Vec<Result<Row, String>>, D::Error>
where
    D: Deserializer<'de>,
{
    let mut rows = Vec::new();
    for value in Vec::<Value>::deserialize(deserializer)? {
        rows.push(Row::deserialize(value).map_err(|error| error.to_string()));
    }
    Ok(rows)
}

/// What changed in a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Changes {
    /// The rows that changed, in order.
    Rows(Rows),
    /// The store no longer knows what has changed since.
    HistoryGone,
}

/// A row to be written.
#[derive(Serialize)]
struct Put<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    value: String,
}

/// A client with one kept connection.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Store {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// All rows of a table whose keys follow `from`; at most 500. They count as lost after `patience`.
    pub async fn rows(
        &mut self,
        table: &str,
        from: &str,
        patience: Duration,
    ) -> eyre::Result<Rows> {
        let path = format!("/aspenspring/rows-get?table={table}&part=&rangeStart={from}");
        let reply = self.ask(&Method::GET, &path, b"", patience).await?;
        expect_ok(&reply)?;
        Ok(serde_json::from_slice(&reply.body)?)
    }

    /// The rows of a table that changed after `version`, as soon as there are any, or none after the wait.
    pub async fn changes(
        &mut self,
        table: &str,
        version: u64,
        question: Question,
    ) -> eyre::Result<Changes> {
        let wait_ms = question.wait.as_millis();
        let path = format!("/aspenspring/rows-feed?table={table}&after={version}&waitMs={wait_ms}");
        let reply = self.ask(&Method::GET, &path, b"", question.lost_after).await?;
        if reply.status == http::StatusCode::GONE.as_u16() {
            return Ok(Changes::HistoryGone);
        }
        expect_ok(&reply)?;
        Ok(Changes::Rows(serde_json::from_slice(&reply.body)?))
    }

    /// Writes a row, whatever stands in it.
    pub async fn put(&mut self, table: &str, key: &str, value: &[u8]) -> eyre::Result<()> {
        let put = Put { table, part: "", key, value: STANDARD.encode(value) };
        self.write(&json!({ "expectedRevision": [], "put": [put], "remove": [] })).await
    }

    /// Drops a row, if it is there.
    pub async fn remove(&mut self, table: &str, key: &str) -> eyre::Result<()> {
        let removed = json!({ "table": table, "part": "", "key": key });
        self.write(&json!({ "expectedRevision": [], "put": [], "remove": [removed] })).await
    }

    async fn write(&mut self, transaction: &Value) -> eyre::Result<()> {
        let body = serde_json::to_vec(transaction)?;
        let reply = self.ask(&Method::POST, "/aspenspring/rows-tx", &body, WRITE_TIMEOUT).await?;
        expect_ok(&reply)
    }

    async fn ask(
        &mut self,
        method: &Method,
        path: &str,
        body: &[u8],
        patience: Duration,
    ) -> eyre::Result<Reply> {
        let kept = self.connection.take().filter(Connection::is_usable);
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.address);
        if method != Method::GET {
            let length = body.len();
            head += &format!("Content-Type: application/json\r\nContent-Length: {length}\r\n");
        }
        head += "\r\n";
        // Connecting counts: whoever asks has to know after `patience` whether it has an answer.
        let asked = async {
            let mut connection = match kept {
                Some(connection) => connection,
                None => Connection::open(self.address).await?,
            };
            let reply = connection.exchange(method, head.as_bytes(), body, |_| true).await?;
            Ok::<_, ExchangeError>((connection, reply))
        };
        let (connection, reply) =
            timeout(patience, asked).await.wrap_err("no answer in time")??;
        if reply.is_reusable {
            self.connection = Some(connection);
        }
        Ok(reply)
    }
}

fn expect_ok(reply: &Reply) -> eyre::Result<()> {
    if reply.status != http::StatusCode::OK.as_u16() {
        bail!("the store answered {}", reply.status);
    }
    Ok(())
}

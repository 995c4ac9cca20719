//! HTTP client for the platform's metadata store.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use eyre::{WrapErr, bail, eyre};
use http::Method;
use rand::Rng;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::mesh::http1::{Connection, ExchangeError, Reply};
use crate::mesh::memory::MemoryBudget;
use crate::mesh::polling::LongPoll;

/// The timeout of a read that does not wait for changes.
pub const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value in base64; missing if the row was deleted.
    #[serde(default)]
    value: String,
    /// The version of the last change of the row.
    #[serde(default)]
    pub row_version: u64,
    /// Whether the row was deleted.
    #[serde(default)]
    pub deleted: bool,
}

impl Row {
    /// The decoded value.
    pub fn value(&self) -> eyre::Result<Vec<u8>> {
        STANDARD.decode(&self.value).wrap_err_with(|| format!("the value of the row {}", self.key))
    }
}

/// Rows and the version of the store at which they were read.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rows {
    /// The rows. A malformed row is an error in its place and does not affect the others.
    #[serde(deserialize_with = "deserialize_rows")]
    pub rows: Vec<Result<Row, String>>,
    /// The version of the most recent change in the store.
    pub row_version: u64,
    /// Whether more rows follow.
    #[serde(default)]
    pub has_more: bool,
}

/// Parses each row separately, as other writers may put malformed rows into a table.
fn deserialize_rows<'de, D>(deserializer: D) -> Result<Vec<Result<Row, String>>, D::Error>
where
    D: Deserializer<'de>,
{
    let mut rows = Vec::new();
    for value in Vec::<Value>::deserialize(deserializer)? {
        rows.push(Row::deserialize(value).map_err(|error| error.to_string()));
    }
    Ok(rows)
}

/// The changes of a table.
#[derive(Clone, Debug, PartialEq)]
pub enum Changes {
    /// The changed rows, in order.
    Rows(Rows),
    /// The store no longer has the history since the given version.
    HistoryGone,
}

/// Where a row is.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// The table.
    pub table: &'a str,
    /// The part of the table.
    pub part: &'a str,
    /// The key.
    pub key: &'a str,
}

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The row was written and has this version.
    Done(u64),
    /// The row did not have the expected version.
    Conflict,
}

/// The answer to a transaction.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Committed {
    row_version: u64,
}

/// A row to write.
#[derive(Serialize)]
struct Put<'a> {
    table: &'a str,
    part: &'a str,
    key: &'a str,
    value: String,
}

/// A client that keeps one connection open.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    memory: MemoryBudget,
    connection: Option<Connection>,
}

impl Store {
    /// A client for the store at `address`; connects at the first request. The bodies of answers
    /// are reserved in `memory`.
    pub fn new(address: SocketAddr, memory: &MemoryBudget) -> Self {
        Self { address, memory: memory.clone(), connection: None }
    }

    /// The rows of a table from key `from` on, at most 500. Fails after `time_limit`.
    pub async fn rows(
        &mut self,
        table: &str,
        from: &str,
        time_limit: Duration,
    ) -> eyre::Result<Rows> {
        let path = format!("/aspenspring/rows-get?table={table}&part=&rangeStart={from}");
        let reply = self.send_request(&Method::GET, &path, b"", time_limit).await?;
        expect_ok(&reply)?;
        Ok(serde_json::from_slice(&reply.body)?)
    }

    /// The row at `place`, if it exists.
    pub async fn row(&mut self, place: &Place<'_>) -> eyre::Result<Option<Row>> {
        let Place { table, part, key } = place;
        let path =
            format!("/aspenspring/rows-get?table={table}&part={part}&rangeStart={key}&limit=1");
        let reply = self.send_request(&Method::GET, &path, b"", READ_TIMEOUT).await?;
        expect_ok(&reply)?;
        let found: Rows = serde_json::from_slice(&reply.body)?;
        for row in found.rows {
            let row = row.map_err(|error| eyre!("a row of {table}: {error}"))?;
            if row.key == *key {
                return Ok(Some(row));
            }
        }
        Ok(None)
    }

    /// Long poll: the rows of a table that changed after `version`, as soon as there are any; none if nothing
    /// changes within the wait.
    pub async fn changes(
        &mut self,
        table: &str,
        version: u64,
        long_poll: LongPoll,
    ) -> eyre::Result<Changes> {
        let wait_ms = long_poll.wait.as_millis();
        let path = format!("/aspenspring/rows-feed?table={table}&after={version}&waitMs={wait_ms}");
        let reply = self.send_request(&Method::GET, &path, b"", long_poll.lost_after).await?;
        if reply.status == http::StatusCode::GONE.as_u16() {
            return Ok(Changes::HistoryGone);
        }
        expect_ok(&reply)?;
        Ok(Changes::Rows(serde_json::from_slice(&reply.body)?))
    }

    /// Writes a row unconditionally.
    pub async fn put(&mut self, table: &str, key: &str, value: &[u8]) -> eyre::Result<()> {
        let put = Put { table, part: "", key, value: STANDARD.encode(value) };
        self.write(&json!({ "expectedRevision": [], "put": [put], "remove": [] })).await
    }

    /// Writes a row if its version is `expected`; 0 means that it does not exist.
    pub async fn put_if(
        &mut self,
        place: &Place<'_>,
        expected: u64,
        value: &[u8],
    ) -> eyre::Result<Written> {
        let Place { table, part, key } = *place;
        let condition = json!({ "table": table, "part": part, "key": key, "rowVersion": expected });
        let put = Put { table, part, key, value: STANDARD.encode(value) };
        let transaction = json!({ "expectedRevision": [condition], "put": [put], "remove": [] });
        let reply = self.send_transaction(&transaction).await?;
        if reply.status == http::StatusCode::PRECONDITION_FAILED.as_u16() {
            return Ok(Written::Conflict);
        }
        expect_ok(&reply)?;
        let committed: Committed = serde_json::from_slice(&reply.body)?;
        Ok(Written::Done(committed.row_version))
    }

    /// Deletes a row if it exists.
    pub async fn remove(&mut self, table: &str, key: &str) -> eyre::Result<()> {
        let removed = json!({ "table": table, "part": "", "key": key });
        self.write(&json!({ "expectedRevision": [], "put": [], "remove": [removed] })).await
    }

    async fn write(&mut self, transaction: &Value) -> eyre::Result<()> {
        expect_ok(&self.send_transaction(transaction).await?)
    }

    async fn send_transaction(&mut self, transaction: &Value) -> eyre::Result<Reply> {
        let body = serde_json::to_vec(transaction)?;
        self.send_request(&Method::POST, "/aspenspring/rows-tx", &body, WRITE_TIMEOUT).await
    }

    async fn send_request(
        &mut self,
        method: &Method,
        path: &str,
        body: &[u8],
        time_limit: Duration,
    ) -> eyre::Result<Reply> {
        let open_connection = self.connection.take().filter(Connection::is_usable);
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.address);
        if method != Method::GET {
            let length = body.len();
            head += &format!("Content-Type: application/json\r\nContent-Length: {length}\r\n");
        }
        head += "\r\n";
        // The time limit includes connecting, so that the caller has a result within `time_limit`.
        let exchange = async {
            let mut connection = match open_connection {
                Some(connection) => connection,
                None => Connection::open(self.address, &self.memory).await?,
            };
            let reply = connection.exchange(method, head.as_bytes(), body, |_| true).await?;
            Ok::<_, ExchangeError>((connection, reply))
        };
        let (connection, reply) =
            timeout(time_limit, exchange).await.wrap_err("the store did not answer in time")??;
        if reply.is_reusable {
            self.connection = Some(connection);
        }
        Ok(reply)
    }
}

/// Pauses before a failed call is repeated. Randomized, so that the nodes whose calls failed together do not repeat
/// them together.
pub async fn pause(average: Duration) {
    sleep(average.mul_f64(rand::rng().random_range(0.5..1.5))).await;
}

fn expect_ok(reply: &Reply) -> eyre::Result<()> {
    if reply.status != http::StatusCode::OK.as_u16() {
        bail!("the store answered with status {}", reply.status);
    }
    Ok(())
}

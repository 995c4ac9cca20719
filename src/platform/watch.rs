//! Follows the operator's configuration in the store.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use eyre::eyre;
use tokio::time::{Instant, sleep_until};

use super::store::{Changes, Row, Store};
use crate::event::LogEvent;
use crate::mesh::follower::Role;
use crate::mesh::inquiry::{Inquiry, Question};
use crate::mesh::node::Node;

/// The table of what the operator writes.
const TABLE: &str = "op";
/// The key of the configuration.
const KEY: &str = "config";
/// Takes in every version of the configuration for as long as the node runs.
pub async fn watch_site(node: Rc<Node>, address: SocketAddr) {
    let watch = &node.store_watch;
    let mut store = Store::new(address);
    let mut version = None;
    let mut inquiry = Inquiry::new(Instant::now());
    loop {
        // What is in force is read at the start; whoever does not follow hears of the next on its links.
        while version.is_some() && watch.role() == Role::Hears {
            watch.to_follow.notified().await;
        }
        let question = inquiry.ask(watch.is_first(), rand::random(), Instant::now());
        let outcome = tokio::select! {
            outcome = follow(&node, &mut store, version, question) => outcome,
            () = watch.became_first.notified() => continue,
        };
        match outcome {
            Ok(seen) => {
                version = seen;
                watch.note_heard();
                if let Some(away) = inquiry.answered(Instant::now()) {
                    let away_ms = away.as_millis() as u64;
                    node.log.emit(&LogEvent::StoreBack { store: "table", away_ms });
                }
            }
            Err(error) => {
                let failure = inquiry.failed(watch.role(), rand::random(), Instant::now());
                if failure.is_new {
                    let detail = format!("{error:#}");
                    let asked_ms = failure.waited.as_millis() as u64;
                    node.log.emit(&LogEvent::StoreAway { store: "table", detail, asked_ms });
                }
                if failure.is_away {
                    watch.note_away();
                }
                sleep_until(failure.retry_at).await;
            }
        }
    }
}

/// Waits for the next version. Gives the version of the store up to which everything was seen.
async fn follow(
    node: &Rc<Node>,
    store: &mut Store,
    version: Option<u64>,
    question: Question,
) -> eyre::Result<Option<u64>> {
    let Some(version) = version else {
        let found = store.rows(TABLE, KEY, question.lost_after).await?;
        take_rows(node, &found.rows);
        return Ok(Some(found.row_version));
    };
    match store.changes(TABLE, version, question).await? {
        Changes::HistoryGone => Ok(None),
        Changes::Rows(found) => {
            take_rows(node, &found.rows);
            Ok(Some(found.row_version))
        }
    }
}

/// Takes in the configuration where it is among the rows. One that cannot be read is passed over: what
/// is in force holds, and the next version is waited for.
fn take_rows(node: &Rc<Node>, rows: &[Result<Row, String>]) {
    for row in rows {
        match take_row(node, row) {
            Ok(true) => node.broadcast_status(),
            Ok(false) => {}
            Err(error) => {
                let detail = format!("a row of {TABLE}: {error:#}");
                node.log.emit(&LogEvent::InputRefused { input: "configuration", detail });
            }
        }
    }
}

/// Takes in one row. Says whether it brought a newer configuration.
fn take_row(node: &Rc<Node>, row: &Result<Row, String>) -> eyre::Result<bool> {
    let row = row.as_ref().map_err(|error| eyre!("{error}"))?;
    if row.key != KEY || row.deleted {
        return Ok(false);
    }
    node.apply_document(&Bytes::from(row.value()?), "table")
}

//! Follows the operator's configuration in the store and applies new versions.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use eyre::eyre;
use tokio::time::{Instant, sleep_until};

use super::store::{Changes, Row, Store};
use crate::event::LogEvent;
use crate::mesh::follower::Role;
use crate::mesh::node::Node;
use crate::mesh::polling::{LongPoll, PollSchedule};

/// The table that the operator writes to.
const TABLE: &str = "op";
/// The key of the configuration.
const KEY: &str = "config";

/// Applies new versions of the configuration for as long as the node runs.
pub async fn watch_site(node: Rc<Node>, address: SocketAddr) {
    let watch = &node.store_watch;
    let mut store = Store::new(address, &node.memory);
    let mut version = None;
    let mut schedule = PollSchedule::new(Instant::now());
    loop {
        // Every node reads the current version at its start. Nodes that do not follow the store receive later versions
        // from their peers.
        while version.is_some() && watch.role() == Role::Informed {
            watch.follow_requested.notified().await;
        }
        let long_poll = schedule.next_request(watch.is_first(), rand::random(), Instant::now());
        let outcome = tokio::select! {
            outcome = poll(&node, &mut store, version, long_poll) => outcome,
            () = watch.became_first.notified() => continue,
        };
        match outcome {
            Ok(seen_version) => {
                version = seen_version;
                watch.record_answer();
                if let Some(outage) = schedule.record_answer(Instant::now()) {
                    let away_ms = outage.as_millis() as u64;
                    node.log.emit(&LogEvent::StoreBack { store: "table", away_ms });
                }
            }
            Err(error) => {
                let failure = schedule.record_failure(watch.role(), rand::random(), Instant::now());
                if failure.is_new {
                    let detail = format!("{error:#}");
                    let asked_ms = failure.waited.as_millis() as u64;
                    node.log.emit(&LogEvent::StoreAway { store: "table", detail, asked_ms });
                }
                if failure.is_unreachable {
                    watch.mark_unreachable();
                }
                sleep_until(failure.retry_at).await;
            }
        }
    }
}

/// Waits for changes and applies them. Returns the version of the store up to which all changes were seen; none if
/// the store no longer has the history, so that the configuration has to be read again.
async fn poll(
    node: &Rc<Node>,
    store: &mut Store,
    version: Option<u64>,
    long_poll: LongPoll,
) -> eyre::Result<Option<u64>> {
    let Some(version) = version else {
        let page = store.rows(TABLE, KEY, long_poll.lost_after).await?;
        apply_rows(node, &page.rows);
        return Ok(Some(page.row_version));
    };
    match store.changes(TABLE, version, long_poll).await? {
        Changes::HistoryGone => Ok(None),
        Changes::Rows(page) => {
            apply_rows(node, &page.rows);
            Ok(Some(page.row_version))
        }
    }
}

/// Applies the configuration if it is among the rows. An invalid one is logged and skipped; the current one stays
/// in force until the next version.
fn apply_rows(node: &Rc<Node>, rows: &[Result<Row, String>]) {
    for row in rows {
        match apply_row(node, row) {
            Ok(true) => node.broadcast_status(),
            Ok(false) => {}
            Err(error) => {
                let detail = format!("invalid row in the table {TABLE}: {error:#}");
                node.log.emit(&LogEvent::InputRefused { input: "configuration", detail });
            }
        }
    }
}

/// Applies one row. Returns whether it contained a newer configuration.
fn apply_row(node: &Rc<Node>, row: &Result<Row, String>) -> eyre::Result<bool> {
    let row = row.as_ref().map_err(|error| eyre!("{error}"))?;
    if row.key != KEY || row.deleted {
        return Ok(false);
    }
    node.apply_document(&Bytes::from(row.value()?), "table")
}

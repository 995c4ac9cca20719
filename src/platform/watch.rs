//! Follows the operator's configuration in the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::eyre;
use rand::Rng;
use tokio::time::{Instant, sleep};

use super::store::{Changes, Row, Store};
use crate::event::LogEvent;
use crate::mesh::follower::Role;
use crate::mesh::node::Node;

/// The table of what the operator writes.
const TABLE: &str = "op";
/// The key of the configuration.
const KEY: &str = "config";
/// How long the store is asked to wait for a change. A connection that falls silent hides changes
/// until the kernel's probes have noticed, unless another node tells of them.
const WAIT: Duration = Duration::from_secs(25);
/// The pause after a failed call, at first.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause after failed calls.
const PAUSE_MAX: Duration = Duration::from_millis(800);
/// The same for a node that only follows the store while others do not reach it.
const PAUSE_MAX_INSTEAD: Duration = Duration::from_secs(4);
/// After failing for this long a node says that it does not reach the store, so that others follow.
const AWAY_AFTER: Duration = Duration::from_millis(700);

/// Takes in every version of the configuration for as long as the node runs.
pub async fn watch_site(node: Rc<Node>, address: SocketAddr) {
    let mut store = Store::new(address);
    let mut version = None;
    let mut pause = PAUSE_MIN;
    let mut away_since: Option<Instant> = None;
    loop {
        // What is in force is read at the start; whoever does not follow hears of the next on its links.
        while version.is_some() && node.store_watch.role() == Role::Hears {
            node.store_watch.to_follow.notified().await;
        }
        let asked = Instant::now();
        match follow(&node, &mut store, version).await {
            Ok(seen) => {
                version = seen;
                pause = PAUSE_MIN;
                node.store_watch.note_heard();
                if let Some(since) = away_since.take() {
                    let away_ms = since.elapsed().as_millis() as u64;
                    node.log.emit(&LogEvent::StoreBack { store: "table", away_ms });
                }
            }
            Err(error) => {
                if away_since.is_none() {
                    away_since = Some(Instant::now());
                    let detail = format!("{error:#}");
                    let asked_ms = asked.elapsed().as_millis() as u64;
                    node.log.emit(&LogEvent::StoreAway { store: "table", detail, asked_ms });
                }
                if away_since.is_some_and(|since| since.elapsed() > AWAY_AFTER) {
                    node.store_watch.reaches_store.set(false);
                }
                let spread = rand::rng().random_range(0.5..1.5);
                sleep(pause.mul_f64(spread)).await;
                pause = (pause * 2).min(pause_max(node.store_watch.role()));
            }
        }
    }
}

/// The longest pause after failed calls. A store that is away gains nothing from being asked by all.
fn pause_max(role: Role) -> Duration {
    match role {
        Role::Follows => PAUSE_MAX,
        Role::Substitutes | Role::Hears => PAUSE_MAX_INSTEAD,
    }
}

/// Waits for the next version. Gives the version of the store up to which everything was seen.
async fn follow(
    node: &Rc<Node>,
    store: &mut Store,
    version: Option<u64>,
) -> eyre::Result<Option<u64>> {
    let Some(version) = version else {
        let found = store.rows(TABLE, KEY).await?;
        take_rows(node, &found.rows);
        return Ok(Some(found.row_version));
    };
    match store.changes(TABLE, version, WAIT).await? {
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
            Ok(true) => node.tell_status(),
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
    node.take_document(&Bytes::from(row.value()?), "table")
}

//! Saves the departures of the node's target in the store, and restores them when the node starts.
//!
//! Each node has one row, in a part of its own: a part takes its transactions one after another, and all targets of a
//! failure domain may leave at once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use tokio::time::sleep;

use super::store::{Place, Store, Written, pause};
use crate::event::LogEvent;
use crate::mesh::incarnation::Incarnation;
use crate::mesh::node::Node;

/// The table of departures. The part is the address of the node.
const TABLE: &str = "departures";
/// The key of the row.
const KEY: &str = "target";
/// The average pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The pause after a conflict with another writer.
const CONFLICT_PAUSE: Duration = Duration::from_millis(20);

/// Reads the saved departures and applies them. Returns the version of the row; 0 if there is none.
pub async fn restore(node: &Node, store: &mut Store) -> eyre::Result<u64> {
    let part = node.settings.listen.peers.to_string();
    let Some(row) = store.row(&place(&part)).await? else {
        node.departures.restore(Vec::new());
        return Ok(0);
    };
    let departed = row.value().and_then(|value| {
        serde_json::from_slice::<Vec<Incarnation>>(&value).wrap_err("invalid list of departures")
    });
    let departed = departed.unwrap_or_else(|error| {
        let detail = format!("{TABLE}/{part}: {error:#}");
        node.log.emit(&LogEvent::InputRefused { input: "row", detail });
        Vec::new()
    });
    let instances: Vec<&str> = departed.iter().map(|departed| departed.id.as_str()).collect();
    node.log.emit(&LogEvent::DeparturesRestored { instances: instances.join(" ") });
    let mut has_changed = false;
    for incarnation in &departed {
        has_changed |= node.target.mark_left(incarnation);
    }
    node.departures.restore(departed);
    if has_changed {
        node.target_changed("table");
    }
    Ok(row.row_version)
}

/// Saves departures for as long as the node runs. `version` is that of the row.
///
/// A write that was not answered may still be performed later. Each write is therefore conditional on the version of
/// the row, so that an earlier one, also one of an earlier process, cannot undo it.
pub async fn persist(node: Rc<Node>, address: SocketAddr, version: u64) {
    let part = node.settings.listen.peers.to_string();
    let mut version = Some(version);
    loop {
        let Some(departed) = node.departures.next_to_save() else {
            node.departures.save_requested.notified().await;
            continue;
        };
        // Departures are rare, so the connection is not kept.
        let mut store = Store::new(address, &node.memory);
        let Some(expected) = version else {
            match restore(&node, &mut store).await {
                Ok(found) => version = Some(found),
                Err(_) => pause(RETRY_PAUSE).await,
            }
            continue;
        };
        let Ok(value) = serde_json::to_vec(&departed) else { return };
        match store.put_if(&place(&part), expected, &value).await {
            Ok(Written::Done(written)) => {
                node.departures.record_saved(departed);
                version = Some(written);
            }
            Ok(Written::Conflict) => {
                version = None;
                sleep(CONFLICT_PAUSE).await;
            }
            Err(_) => {
                version = None;
                pause(RETRY_PAUSE).await;
            }
        }
    }
}

fn place(part: &str) -> Place<'_> {
    Place { table: TABLE, part, key: KEY }
}

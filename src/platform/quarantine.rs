//! Persists quarantined requests in the store, so that they stay quarantined when all nodes restart at once.
//!
//! The rows are in the table of nodes, which each node reads at its start, so reading them needs no extra call.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{OptionExt, WrapErr};

use super::members::TABLE;
use super::store::{Row, Store, pause};
use crate::mesh::fingerprint::Fingerprint;
use crate::mesh::frame::Suspicion;
use crate::mesh::node::Node;

/// The key prefix of these rows. The rest of the key is a fingerprint; the value is how often it was quarantined.
const KEY_PREFIX: &str = "held-";
/// The average pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Saves quarantined requests and removes the rows of released ones, for as long as the node runs.
pub async fn persist(node: Rc<Node>, address: SocketAddr) {
    let mut store = Store::new(address, &node.memory);
    loop {
        let Some((fingerprint, count)) = node.quarantine.next_unsaved() else {
            node.quarantine.save_requested.notified().await;
            continue;
        };
        if write(&mut store, fingerprint, count).await.is_err() {
            pause(RETRY_PAUSE).await;
            continue;
        }
        node.quarantine.record_saved();
    }
}

async fn write(store: &mut Store, fingerprint: Fingerprint, count: u32) -> eyre::Result<()> {
    let key = format!("{KEY_PREFIX}{fingerprint}");
    match count {
        0 => store.remove(TABLE, &key).await,
        count => store.put(TABLE, &key, count.to_string().as_bytes()).await,
    }
}

/// Parses the row of a quarantined request; none for rows of other kinds.
///
/// # Errors
///
/// The key or the value is malformed.
pub fn parse_row(row: &Row) -> eyre::Result<Option<Suspicion>> {
    let Some(fingerprint) = row.key.strip_prefix(KEY_PREFIX) else { return Ok(None) };
    let fingerprint =
        Fingerprint::parse(fingerprint).ok_or_eyre("the key has no valid fingerprint")?;
    let value = String::from_utf8(row.value()?)?;
    let count = value.parse().wrap_err("the quarantine count")?;
    Ok(Some(Suspicion { fingerprint, crashes: 0, holds: count }))
}

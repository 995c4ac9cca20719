//! Keeps in the store which requests are held back, so that nodes know it that all start anew.
//!
//! The rows stand in the table of the nodes, which each node reads at its start: knowing them takes no call more.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::{OptionExt, WrapErr};
use rand::Rng;
use tokio::time::sleep;

use super::members::TABLE;
use super::store::{Row, Store};
use crate::mesh::fingerprint::Fingerprint;
use crate::mesh::frame::Suspicion;
use crate::mesh::node::Node;

/// What the keys of these rows begin with; the rest is a fingerprint, the value how often it was held back.
const KEY_PREFIX: &str = "held-";
/// The pause after a write that failed.
const PAUSE: Duration = Duration::from_secs(1);

/// Writes down what is held back, and drops what no longer is, for as long as the node runs.
pub async fn keep(node: Rc<Node>, address: SocketAddr) {
    let mut store = Store::new(address);
    loop {
        let Some((fingerprint, holds)) = node.quarantine.next_unsaved() else {
            node.quarantine.to_save.notified().await;
            continue;
        };
        if write(&mut store, fingerprint, holds).await.is_err() {
            let spread = rand::rng().random_range(0.5..1.5);
            sleep(PAUSE.mul_f64(spread)).await;
            continue;
        }
        node.quarantine.note_saved();
    }
}

async fn write(store: &mut Store, fingerprint: Fingerprint, holds: u32) -> eyre::Result<()> {
    let key = format!("{KEY_PREFIX}{fingerprint}");
    match holds {
        0 => store.remove(TABLE, &key).await,
        holds => store.put(TABLE, &key, holds.to_string().as_bytes()).await,
    }
}

/// What a row tells of a request that is held back; none where it is about something else.
///
/// # Errors
///
/// The key or the value makes no sense.
pub fn read(row: &Row) -> eyre::Result<Option<Suspicion>> {
    let Some(fingerprint) = row.key.strip_prefix(KEY_PREFIX) else { return Ok(None) };
    let fingerprint = Fingerprint::parse(fingerprint).ok_or_eyre("no fingerprint")?;
    let value = String::from_utf8(row.value()?)?;
    let holds = value.parse().wrap_err("the number of holds")?;
    Ok(Some(Suspicion { fingerprint, crashes: 0, holds }))
}

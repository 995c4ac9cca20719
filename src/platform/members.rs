//! Registers a node in the store at its start, and reads the departures of its target, the other nodes and the
//! quarantined requests from it.
//!
//! Each node writes its own row and then reads all rows. Of two nodes that start at the same time, the one that reads
//! later finds the row of the other and connects to it, so no node has to watch the table.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::eyre;
use rand::Rng;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use super::departures;
use super::quarantine;
use super::store::{READ_TIMEOUT, Row, Store};
use crate::event::LogEvent;
use crate::mesh::crash_reports;
use crate::mesh::node::Node;
use crate::mesh::peers;

/// The table of nodes: the key is a node's address, the value its failure domain. Also contains the rows of
/// the module `quarantine`.
pub const TABLE: &str = "nodes";
/// The initial retry interval.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// The maximum retry interval. Counted from the start of the failed call, so that a node that starts while the
/// store does not answer retries as soon as its call has timed out after 2.5 s, not up to 3 s later.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// The time allowed for connecting to the other nodes after reading the rows, before the node is ready.
const CONNECT_TIME: Duration = Duration::from_millis(150);
/// A node that cannot reach the store but has the configuration from another node is ready after this time.
const READY_WITHOUT_STORE_AFTER: Duration = Duration::from_secs(2);

/// Restores the departures of the node's target, registers the node and connects to all others. Retries until the
/// store has answered.
pub async fn join(node: Rc<Node>, address: SocketAddr) {
    let started = Instant::now();
    let mut store = Store::new(address, &node.memory);
    let mut backoff = BACKOFF_MIN;
    let mut attempted_at = started;
    while let Err(error) = restore_and_register(&node, &mut store, address).await {
        let detail = format!("cannot register in the list of nodes or read it: {error:#}");
        let asked_ms = attempted_at.elapsed().as_millis() as u64;
        node.log.emit(&LogEvent::StoreAway { store: "table", detail, asked_ms });
        if started.elapsed() > READY_WITHOUT_STORE_AFTER {
            node.has_joined.set(true);
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep_until(attempted_at + backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
        attempted_at = Instant::now();
    }
    node.has_read_nodes.set(true);
    sleep(CONNECT_TIME).await;
    node.has_joined.set(true);
}

async fn restore_and_register(
    node: &Rc<Node>,
    store: &mut Store,
    address: SocketAddr,
) -> eyre::Result<()> {
    if node.departures.awaits_restore() {
        let version = departures::restore(node, store).await?;
        spawn_local(departures::persist(Rc::clone(node), address, version));
    }
    register_and_read(node, store).await
}

async fn register_and_read(node: &Rc<Node>, store: &mut Store) -> eyre::Result<()> {
    let settings = &node.settings;
    let key = settings.listen.peers.to_string();
    store.put(TABLE, &key, settings.node.failure_domain.as_bytes()).await?;
    let mut from = String::new();
    loop {
        let page = store.rows(TABLE, &from, READ_TIMEOUT).await?;
        let mut last = None;
        for row in &page.rows {
            if let Err(error) = apply_row(node, row) {
                let detail = format!("invalid row in the table {TABLE}: {error:#}");
                node.log.emit(&LogEvent::InputRefused { input: "row", detail });
            }
            last = row.as_ref().ok().or(last);
        }
        let Some(last) = last.filter(|_| page.has_more) else { return Ok(()) };
        // Sorts after the last key, as the range start is inclusive.
        from = format!("{}~", last.key);
    }
}

/// Connects to the node of a row, or applies the quarantine entry in it.
fn apply_row(node: &Rc<Node>, row: &Result<Row, String>) -> eyre::Result<()> {
    let row = row.as_ref().map_err(|error| eyre!("{error}"))?;
    if let Some(suspicion) = quarantine::parse_row(row)? {
        crash_reports::receive_suspicions(node, &[suspicion], "table");
        return Ok(());
    }
    let failure_domain = String::from_utf8(row.value()?)?;
    peers::add_peer(node, row.key.parse()?, &failure_domain);
    Ok(())
}

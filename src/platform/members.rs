//! Finds the other nodes through the store, and what all nodes have to know that start.
//!
//! Each node writes one row and then reads all rows. Of two nodes that start at once the one that
//! reads later sees the other, and calls it; so no node has to follow the table.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use eyre::eyre;
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until};

use super::holds;
use super::store::{Row, Store};
use crate::event::LogEvent;
use crate::mesh::blame;
use crate::mesh::node::Node;
use crate::mesh::peers;

/// The table of the nodes; the key is a node's address, the value its failure domain. `holds` has rows in it.
pub const TABLE: &str = "nodes";
/// How long the rows may take.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The pause between two failed calls, at first.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause between two failed calls. Counted from when the first of them was made: a node that
/// starts while the store is silent asks again when its call has taken its 2.5 s, not up to 3 s later.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// How long after reading the rows a node counts as acquainted.
const ACQUAINT: Duration = Duration::from_millis(150);
/// A node that has the configuration, from another node, but cannot reach the store is ready then.
const WITHOUT_STORE: Duration = Duration::from_secs(2);

/// Makes this node known and meets all others.
pub async fn join(node: Rc<Node>, address: SocketAddr) {
    let started = Instant::now();
    let mut store = Store::new(address);
    let mut pause = PAUSE_MIN;
    let mut asked = started;
    while let Err(error) = announce(&node, &mut store).await {
        let detail = format!("the list of nodes: {error:#}");
        let asked_ms = asked.elapsed().as_millis() as u64;
        node.log.emit(&LogEvent::StoreAway { store: "table", detail, asked_ms });
        if started.elapsed() > WITHOUT_STORE {
            node.has_joined.set(true);
        }
        let spread = rand::rng().random_range(0.5..1.5);
        sleep_until(asked + pause.mul_f64(spread)).await;
        pause = (pause * 2).min(PAUSE_MAX);
        asked = Instant::now();
    }
    node.has_read_nodes.set(true);
    sleep(ACQUAINT).await;
    node.has_joined.set(true);
}

async fn announce(node: &Rc<Node>, store: &mut Store) -> eyre::Result<()> {
    let own = &node.settings;
    let key = own.listen.peers.to_string();
    store.put(TABLE, &key, own.node.failure_domain.as_bytes()).await?;
    let mut from = String::new();
    loop {
        let found = store.rows(TABLE, &from, READ_TIMEOUT).await?;
        let mut last = None;
        for row in &found.rows {
            if let Err(error) = take(node, row) {
                let detail = format!("a row of {TABLE}: {error:#}");
                node.log.emit(&LogEvent::InputRefused { input: "row", detail });
            }
            last = row.as_ref().ok().or(last);
        }
        let Some(last) = last.filter(|_| found.has_more) else { return Ok(()) };
        // The smallest key that follows the last one.
        from = format!("{}~", last.key);
    }
}

/// Meets the node that a row names, or takes in what else it tells.
fn take(node: &Rc<Node>, row: &Result<Row, String>) -> eyre::Result<()> {
    let row = row.as_ref().map_err(|error| eyre!("{error}"))?;
    if let Some(held) = holds::read(row)? {
        blame::take_suspicions(node, &[held], "table");
        return Ok(());
    }
    let failure_domain = String::from_utf8(row.value()?)?;
    peers::add_peer(node, row.key.parse()?, &failure_domain);
    Ok(())
}

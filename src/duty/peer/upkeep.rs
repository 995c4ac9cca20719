//! The thread that monitors the connections.

use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use crossbeam_channel::Receiver;

use super::link::perform;
use super::shared::Shared;
use crate::clock::US_PER_MS;

/// Starts the thread. It checks all connections at every tick and whenever it is woken.
pub(super) fn spawn(
    shared: Arc<Shared>,
    wake_receiver: Receiver<()>,
) -> std::io::Result<JoinHandle<()>> {
    Builder::new().name("peer-upkeep".to_owned()).spawn(move || run(&shared, &wake_receiver))
}

/// Runs until the transport is told to stop.
fn run(shared: &Arc<Shared>, wake_receiver: &Receiver<()>) {
    let tick = Duration::from_micros(shared.options.tick_us());
    while !shared.is_stop_requested() {
        // A wake-up and a timeout are treated alike.
        let _ = wake_receiver.recv_timeout(tick);
        check_connections(shared);
    }
    for link in shared.all_links() {
        shared.disconnect(link.peer());
    }
    close_removed(shared);
}

/// Checks every connection once.
fn check_connections(shared: &Arc<Shared>) {
    close_removed(shared);
    let now_us = shared.clock.now_us();
    for link in shared.all_links() {
        let actions = link.step(shared, now_us);
        perform(shared, &link, actions);
    }
    let inbound_idle_us = shared.options.inbound_idle_ms * US_PER_MS;
    shared.inbound.flush_and_close_idle(now_us.saturating_sub(inbound_idle_us));
}

/// Closes the connections that were removed from use.
fn close_removed(shared: &Arc<Shared>) {
    for link in shared.take_removed() {
        let actions = link.retire();
        perform(shared, &link, actions);
    }
}

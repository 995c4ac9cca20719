//! The thread that watches the connections.

use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use crossbeam_channel::Receiver;

use super::link::carry_out;
use super::shared::Shared;
use crate::clock::US_PER_MS;

/// Starts the thread. It looks at everything when it is woken, and at every tick.
pub(super) fn spawn(shared: Arc<Shared>, wakes: Receiver<()>) -> std::io::Result<JoinHandle<()>> {
    Builder::new().name("peer-upkeep".to_owned()).spawn(move || run(&shared, &wakes))
}

/// Runs until the transport is told to stop.
fn run(shared: &Arc<Shared>, wakes: &Receiver<()>) {
    let tick = Duration::from_micros(shared.options.tick_us());
    while !shared.is_stopping() {
        // Whether it was woken or the tick has passed makes no difference.
        let _ = wakes.recv_timeout(tick);
        pass(shared);
    }
    for link in shared.all_links() {
        shared.forget(link.peer());
    }
    retire_forgotten(shared);
}

/// Looks at every connection once.
fn pass(shared: &Arc<Shared>) {
    retire_forgotten(shared);
    let now_us = shared.clock.now_us();
    for link in shared.all_links() {
        let work = link.step(shared, now_us);
        carry_out(shared, &link, work);
    }
    let inbound_idle_us = shared.options.inbound_idle_ms * US_PER_MS;
    shared.paths.sweep(now_us.saturating_sub(inbound_idle_us));
}

/// Closes the connections that are no longer wanted.
fn retire_forgotten(shared: &Arc<Shared>) {
    for link in shared.take_forgotten() {
        let work = link.retire();
        carry_out(shared, &link, work);
    }
}

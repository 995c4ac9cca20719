//! Registers a target with its node by periodic announcements.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use serde_json::json;

use super::settings::TargetSettings;

/// Interval between announcements, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 2_000;
/// Delay before the next announcement if the node did not accept the last one, in milliseconds.
const ANNOUNCE_RETRY_MS: u64 = 200;

/// Announces the target to its node until the task is aborted.
pub(super) async fn announce(
    client: Client,
    node: SocketAddr,
    settings: TargetSettings,
    address: SocketAddr,
) {
    let slots = settings.slots + settings.arm_slots.iter().map(|(_, slots)| slots).sum::<u32>();
    let body = json!({
        "url": format!("http://{address}"),
        "service": settings.service,
        "slots": slots,
        "connections": settings.connections,
    });
    let url = format!("http://{node}/_aspenspring/announce");
    loop {
        let sent = client.post(&url).json(&body).send().await;
        let accepted = sent.is_ok_and(|answer| answer.status().is_success());
        let interval_ms = if accepted { ANNOUNCE_INTERVAL_MS } else { ANNOUNCE_RETRY_MS };
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Tells the node to stop sending calls to this target.
pub(super) async fn notify_drain(client: &Client, node: SocketAddr) -> Result<(), reqwest::Error> {
    let url = format!("http://{node}/_aspenspring/drain");
    client.post(url).send().await?.error_for_status()?;
    Ok(())
}

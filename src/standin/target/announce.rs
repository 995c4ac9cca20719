//! A target's announcements to its node.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use serde_json::json;

use super::settings::TargetSettings;

/// How often a target announces itself.
const ANNOUNCE_EVERY_MS: u64 = 2_000;
/// How soon a target tries again when its node did not answer.
const ANNOUNCE_AGAIN_MS: u64 = 200;

/// Announces the target to its node until the task is ended.
pub(super) async fn announce(
    client: Client,
    node: SocketAddr,
    settings: TargetSettings,
    address: SocketAddr,
) {
    let slots = settings.slots + settings.lanes.iter().map(|(_, slots)| slots).sum::<u32>();
    let body = json!({
        "url": format!("http://{address}"),
        "service": settings.service,
        "slots": slots,
        "connections": settings.connections,
    });
    let url = format!("http://{node}/_aspenspring/announce");
    loop {
        let sent = client.post(&url).json(&body).send().await;
        let heard = sent.is_ok_and(|answer| answer.status().is_success());
        let pause_ms = if heard { ANNOUNCE_EVERY_MS } else { ANNOUNCE_AGAIN_MS };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Tells the node that the target is leaving.
pub(super) async fn drain(client: &Client, node: SocketAddr) -> Result<(), reqwest::Error> {
    let url = format!("http://{node}/_aspenspring/drain");
    client.post(url).send().await?.error_for_status()?;
    Ok(())
}

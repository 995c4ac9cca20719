//! The targets of one seed, and the configuration that routes requests to them.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::signals::TargetState;
use super::site::PROBE_TIMEOUT;
use crate::node::{self, HEARTBEATS_PORT, TARGET_PORT};
use crate::target::{self, Answer, CRASH_PATH, heartbeat};

/// The interval between heartbeats of a target.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// The number of requests that a target may run at once.
pub const SLOTS: u32 = 16;

/// The pause before a crashed target restarts.
const DOWNTIME: Duration = Duration::from_millis(800);

/// The runs of one attempt on targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunRecord {
    /// The number of runs on all targets.
    pub count: u32,
    /// The start of the last run.
    pub last_started_at: Option<Instant>,
}

/// The runs of all attempts, by attempt id.
pub type Runs = Arc<Mutex<HashMap<String, RunRecord>>>;

/// The key of a team whose key does not change.
pub const STEADY_KEY: &str = "steady-key";
/// The key of a team with a quota.
pub const LIMITED_KEY: &str = "limited-key";
/// The quota of that team: requests per second and burst.
pub const LIMITED_QUOTA: (f64, f64) = (15.0, 15.0);

/// The key of the team whose key is replaced with each version of the configuration.
pub fn rotated_key(version: u64) -> String {
    format!("rotated-key-{version}")
}

/// A configuration with an idempotent route to `stock`, an at-most-once route to `orders`, and three teams.
pub fn document(version: u64) -> Vec<u8> {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "resourceKind": "routes",
            "metadata": { "name": name },
            "specification": {
                "host": "shop.test", "prefix": format!("/{name}/"), "kind": kind, "timeoutMs": 3000,
                "targetLatencyMs": 500, "priority": 1, "service": service, "attempts": attempts,
            },
        })
    };
    let service = |name: &str| {
        let metadata = json!({ "name": name });
        json!({ "resourceKind": "services", "metadata": metadata, "specification": {} })
    };
    let team = |name: &str, key: &str, (per_s, burst): (f64, f64)| {
        let specification = json!({ "apiKeys": [key], "ratePerS": per_s, "burst": burst });
        let metadata = json!({ "name": name });
        json!({ "resourceKind": "tenants", "metadata": metadata, "specification": specification })
    };
    let resources = json!([
        team("steady", STEADY_KEY, (0.0, 0.0)),
        team("limited", LIMITED_KEY, LIMITED_QUOTA),
        team("rotated", &rotated_key(version), (0.0, 0.0)),
        service("stock"),
        service("orders"),
        route("look", "idempotent", "stock", 2),
        route("book", "non_idempotent", "orders", 2),
    ]);
    json!({ "version": format!("r{version}"), "resources": resources }).to_string().into_bytes()
}

/// Sends `ready` heartbeats of a target until the run ends.
pub fn send_heartbeats(
    ip: Ipv4Addr,
    service: &'static str,
    name: String,
    target: Arc<TargetState>,
    is_stopped: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        let mut sequence = 0;
        while !is_stopped.load(Ordering::Relaxed) {
            thread::sleep(HEARTBEAT_INTERVAL);
            if TcpStream::connect((ip, TARGET_PORT)).is_err() || target.has_departed() {
                continue;
            }
            sequence += 1;
            let id = format!("{name}-{}", target.incarnation());
            let text = heartbeat_text(service, &id, sequence);
            // A node that is down gets a later heartbeat.
            drop(node::send_request(SocketAddr::from((ip, HEARTBEATS_PORT)), &text, PROBE_TIMEOUT));
        }
    });
}

/// The text of a `ready` heartbeat.
pub fn heartbeat_text(service: &str, id: &str, sequence: u64) -> String {
    let mut body = heartbeat(service, "ready", sequence);
    body["information"]["slots"] = SLOTS.into();
    node::target_report("Heartbeat", id, &body.to_string())
}

/// Starts a target that records its runs and answers with its name and the attempt id. It restarts after a crash.
pub fn serve(address: SocketAddr, name: &str, target: Arc<TargetState>, all_runs: Runs) {
    let signature = name.to_owned();
    target::serve_with_restarts(address, name, Some(DOWNTIME), move |path| {
        let attempt = path.rsplit('/').next().unwrap_or_default();
        let attempt = if attempt == "x" { "probe" } else { attempt }.to_owned();
        let number = target.record_arrival(&attempt);
        if !is_exempt(&attempt) && target.rejects(number) {
            let signals = target.header_lines() + &target.load_line();
            let is_repeated = target.repeats(number);
            return Answer {
                attempt,
                signals,
                is_rejected: true,
                is_repeated,
                ..Answer::default()
            };
        }
        let mut runs = all_runs.lock().unwrap();
        let record = runs.entry(attempt.clone()).or_default();
        record.count += 1;
        record.last_started_at = Some(Instant::now());
        drop(runs);
        thread::sleep(service_time(&attempt) * target.slowness_percent() as u32 / 100);
        let body = format!("{signature} {attempt}");
        let signals = target.header_lines() + &target.load_line();
        let is_repeated = !is_exempt(&attempt) && target.repeats(number);
        let broken = Some(number).filter(|number| !is_exempt(&attempt) && target.breaks(*number));
        Answer { attempt, body, signals, is_rejected: false, is_repeated, broken }
    });
}

/// Whether an attempt is never rejected: the probes and the requests that crash their target have to reach it.
fn is_exempt(attempt: &str) -> bool {
    attempt == "probe" || attempt == CRASH_PATH
}

/// The first letter of the ids of attempts that run long.
pub const SLOW_PREFIX: char = 'l';

/// The service time of a request: 700 ms for ids with [`SLOW_PREFIX`] and for one in twenty others, so that some
/// requests are running at any fault; otherwise below 55 ms.
fn service_time(attempt: &str) -> Duration {
    let hash = attempt.bytes().fold(7_u64, |sum, byte| sum * 31 % 1_009 + u64::from(byte));
    Duration::from_millis(if hash % 20 == 0 || attempt.starts_with(SLOW_PREFIX) {
        700
    } else {
        5 + hash % 50
    })
}

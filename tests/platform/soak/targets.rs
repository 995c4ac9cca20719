//! The targets of a play, and the configuration by which they are called.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::site::PROBE_PATIENCE;
use crate::node::{self, TARGET_PORT, TARGETS_PORT};
use crate::target::{self, heartbeat};

/// The pause between two heartbeats of a target.
const BEAT_EVERY: Duration = Duration::from_millis(400);

/// How many requests a target may run at once.
const SLOTS: u32 = 16;

/// How long a target is away that a request has ended.
const DOWN: Duration = Duration::from_millis(800);

/// What targets have run of an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ran {
    /// How often, by any target.
    pub times: u32,
    /// When it began last.
    pub last_began: Option<Instant>,
}

/// What targets have run of each attempt.
pub type Runs = Arc<Mutex<HashMap<String, Ran>>>;

/// The key of a team that always has the same.
pub const STEADY_KEY: &str = "steady-key";
/// The key of a team with a quota.
pub const LIMITED_KEY: &str = "limited-key";
/// What that team may send, in requests a second and at once.
pub const LIMITED: (f64, f64) = (15.0, 15.0);

/// The key of the team that gets a new one with each configuration, and loses the one before.
pub fn rotated_key(version: u64) -> String {
    format!("rotated-key-{version}")
}

/// A configuration: reads of `stock`, and bookings of `orders`, which may run once; and three teams.
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
        team("limited", LIMITED_KEY, LIMITED),
        team("rotated", &rotated_key(version), (0.0, 0.0)),
        service("stock"),
        service("orders"),
        route("look", "idempotent", "stock", 2),
        route("book", "non_idempotent", "orders", 2),
    ]);
    json!({ "version": format!("r{version}"), "resources": resources }).to_string().into_bytes()
}

/// Lets a target say that it is ready for as long as the play lasts.
pub fn beat(ip: Ipv4Addr, service: &'static str, id: String, is_stopped: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut sequence = 0;
        while !is_stopped.load(Ordering::Relaxed) {
            thread::sleep(BEAT_EVERY);
            if TcpStream::connect((ip, TARGET_PORT)).is_err() {
                continue;
            }
            sequence += 1;
            let mut body = heartbeat(service, "ready", sequence);
            body["information"]["slots"] = SLOTS.into();
            let text = node::farewell_or_beat("Heartbeat", &id, &body.to_string());
            // A node that is down hears the next one.
            drop(node::ask(SocketAddr::from((ip, TARGETS_PORT)), &text, PROBE_PATIENCE));
        }
    });
}

/// A target that notes what it runs and answers with its name and the id of the attempt. A request may end it; it
/// comes back.
pub fn serve(address: SocketAddr, name: &str, all_runs: Runs) {
    let signature = name.to_owned();
    target::serve_lives(address, name, Some(DOWN), move |path| {
        let attempt = path.rsplit('/').next().unwrap_or_default();
        let attempt = if attempt == "x" { "probe" } else { attempt }.to_owned();
        let mut runs = all_runs.lock().unwrap();
        let ran = runs.entry(attempt.clone()).or_default();
        ran.times += 1;
        ran.last_began = Some(Instant::now());
        drop(runs);
        thread::sleep(work(&attempt));
        let body = format!("{signature} {attempt}");
        (attempt, body)
    });
}

/// With what the id of an attempt begins that takes long.
pub const LONG: char = 'l';

/// How long a request takes: not long, but for one in twenty, so that some run whatever happens, and those that
/// are meant to.
fn work(attempt: &str) -> Duration {
    let drawn = attempt.bytes().fold(7_u64, |sum, byte| sum * 31 % 1_009 + u64::from(byte));
    Duration::from_millis(if drawn % 20 == 0 || attempt.starts_with(LONG) {
        700
    } else {
        5 + drawn % 50
    })
}

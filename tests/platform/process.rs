//! Tests nodes as real processes against stand-ins for the store and the targets.

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::node::{CALLERS_PORT, NodeSpec, Process};
use super::store::Store;
use super::target::{Answer, heartbeat, serve};

/// The timeout of every wait without a tighter bound.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The time after the recovery of the store from which a node has to meet all bounds.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The longest time for a configuration to come into force.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Starts a node of the service `stock`, and its target, which answers with the name of the node.
fn start(store: &Store, name: &str) -> Process {
    let mut process =
        Process::prepare(store, &NodeSpec { name, failure_domain: "a", service: "stock" });
    let body = name.to_owned();
    serve(process.target_address(), name, move |_| answer_with(body.clone()));
    process.start();
    process
}

fn answer_with(body: String) -> Answer {
    Answer { attempt: "a1".to_owned(), body, ..Answer::default() }
}

/// Starts a node as [`start`] does, and waits until it is ready.
pub fn start_ready(store: &Store, name: &str) -> Process {
    let process = start(store, name);
    wait_for(|| process.is_ready());
    process
}

/// A store with a first configuration.
pub fn configured_store() -> Store {
    let store = Store::start();
    store.put("op", "config", &document(4, "/look/"));
    store
}

/// Sends `ready` heartbeats of a target to `process` until one is accepted.
pub fn register_target(process: &Process, instance: &str, sequence: u64) {
    let body = heartbeat("stock", "ready", sequence).to_string();
    wait_for(|| process.report_target_state("Heartbeat", instance, &body).contains(" 200 "));
}

pub fn wait_for(condition: impl FnMut() -> bool) {
    wait_at_most(TIMEOUT, condition);
}

fn wait_at_most(timeout: Duration, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < timeout, "not fulfilled within {timeout:?}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A configuration with one route to `stock`.
pub fn document(version: u32, prefix: &str) -> Vec<u8> {
    serde_json::json!({
        "version": format!("r{version}"),
        "resources": [{
            "resourceKind": "services", "metadata": { "name": "stock" }, "specification": {},
        }, {
            "resourceKind": "routes",
            "metadata": { "name": "look" },
            "specification": {
                "host": "shop.test", "prefix": prefix, "kind": "idempotent", "timeoutMs": 5000,
                "targetLatencyMs": 500, "priority": 1, "service": "stock", "attempts": 2,
            },
        }],
    })
    .to_string()
    .into_bytes()
}

#[test]
fn a_node_serves_from_its_start_to_its_planned_stop() {
    let store = Store::start();
    let mut node = start(&store, "one");
    wait_for(|| store.keys("nodes").len() == 1);
    assert!(!node.is_ready(), "ready without a configuration");
    assert!(node.get(7001, "/look/1").contains(" 503 "));
    store.put("op", "config", &document(4, "/look/"));
    wait_for(|| node.is_ready());
    register_target(&node, "i-1", 1);
    let answer = node.get(7001, "/look/1");
    assert!(answer.contains(" 200 ") && answer.ends_with("one"), "{answer}");
    assert!(node.get(7001, "/other/1").contains(" 404 "));
    node.signal(libc::SIGHUP);
    wait_for(|| node.log().contains("\"name\":\"SettingsReread\""));
    assert!(node.get(7001, "/look/1").contains(" 200 "), "the reload signal stopped the node");
    node.signal(libc::SIGTERM);
    wait_for(|| !node.is_ready());
    assert!(node.wait().success());
    let log = node.log();
    for name in ["MeshStarted", "ConfigInForce", "TargetChanged", "LeavingFinished"] {
        assert!(log.contains(&format!("\"name\":\"{name}\"")), "{name} in {log}");
    }
}

#[test]
fn the_newest_configuration_stays_in_force_during_store_faults() {
    let store = configured_store();
    let node = start_ready(&store, "one");
    register_target(&node, "i-1", 1);
    store.put("op", "config", &document(9, "/new/"));
    wait_for(|| node.site_version() == "9");
    assert!(node.get(7001, "/look/1").contains(" 404 "));
    assert!(node.get(7001, "/new/1").contains(" 200 "));
    store.put("op", "config", &document(7, "/look/"));
    store.wait_until_seen();
    assert!(node.get(7001, "/new/1").contains(" 200 "), "an older configuration came into force");
    store.drop_history();
    store.put("op", "config", &document(12, "/newer/"));
    wait_for(|| node.site_version() == "12");
    store.set_unavailable(true);
    wait_for(|| node.log().contains("\"name\":\"StoreAway\""));
    assert!(node.get(7001, "/newer/1").contains(" 200 "), "a call depends on the store");
    store.put("op", "config", &document(13, "/newest/"));
    store.set_unavailable(false);
    wait_for(|| node.site_version() == "13");
    // A separate thread writes the log, so lines appear after the events they report.
    wait_for(|| versions_logged(&node).last() == Some(&13));
    assert_eq!(versions_logged(&node), [4, 9, 12, 13]);
}

/// The versions that came into force according to the log so far.
fn versions_logged(node: &Process) -> Vec<u64> {
    let log = node.log();
    let lines = log.lines().filter(|line| line.contains("\"name\":\"ConfigInForce\""));
    // The last line may be incomplete.
    let lines = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    lines.map(|line| line["config_version"].as_u64().unwrap()).collect()
}

#[test]
fn nodes_discover_each_other_and_forward_requests() {
    let store = configured_store();
    let first = start_ready(&store, "one");
    let second = start_ready(&store, "two");
    register_target(&second, "i-2", 1);
    // The first node has no ready target, so its requests run on the target of the second.
    wait_for(|| first.get(7001, "/look/1").ends_with("two"));
    assert_eq!(store.keys("nodes").len(), 2);
}

/// Guards against requests with a revoked key being served: on connections that stay open, on nodes that cannot
/// reach the store, and after a restart.
#[test]
fn changed_keys_apply_on_all_nodes_and_after_a_restart() {
    let store = Store::start();
    store.put("op", "config", &document_with_keys(4, &["old-key"]));
    let first = start_ready(&store, "one");
    let mut second = start_ready(&store, "two");
    register_target(&first, "i-1", 1);
    let status = |node: &Process, key: &str| {
        let text = format!(
            "GET /look/1 HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: a1\r\nX-Api-Key: {key}\r\nConnection: close\r\n\r\n"
        );
        node.send_request(CALLERS_PORT, &text)
            .and_then(|answer| answer.split(' ').nth(1).map(str::to_owned))
    };
    let is =
        |node: &Process, key: &str, expected: &str| status(node, key).as_deref() == Some(expected);
    wait_for(|| is(&second, "old-key", "200"));
    store.put("op", "config", &document_with_keys(5, &["new-key"]));
    for node in [&first, &second] {
        wait_at_most(CONFIG_APPLY, || is(node, "old-key", "401") && is(node, "new-key", "200"));
    }
    store.set_unavailable(true);
    second.signal(libc::SIGKILL);
    second.wait();
    second.start();
    // It gets the configuration from the other node and must not answer 401 before it has one.
    wait_for(|| status(&second, "new-key").is_some());
    wait_for(|| {
        assert!(
            !is(&second, "new-key", "401"),
            "every configuration that the node may know contains the key"
        );
        is(&second, "old-key", "401")
    });
    let log = first.log() + &second.log();
    assert!(!log.contains("old-key") && !log.contains("new-key"), "a key is in a log");
}

/// A configuration with one route to `stock` and one team.
fn document_with_keys(version: u32, keys: &[&str]) -> Vec<u8> {
    let mut document: serde_json::Value =
        serde_json::from_slice(&document(version, "/look/")).unwrap();
    document["resources"].as_array_mut().unwrap().push(serde_json::json!({
        "resourceKind": "tenants", "metadata": { "name": "growers" },
        "specification": { "apiKeys": keys, "ratePerS": 500, "burst": 500 },
    }));
    document.to_string().into_bytes()
}

#[test]
fn malformed_heartbeats_are_refused_without_effect() {
    let store = configured_store();
    let node = start_ready(&store, "one");
    register_target(&node, "i-1", 1);
    let mut without_slots = heartbeat("stock", "ready", 9);
    without_slots["information"]["slots"] = 0.into();
    let mut born_as_text = heartbeat("stock", "draining", 9);
    born_as_text["born"] = "5000".into();
    for malformed in [
        heartbeat("stock", "asleep", 9).to_string(),
        heartbeat("nowhere", "ready", 9).to_string(),
        without_slots.to_string(),
        born_as_text.to_string(),
        "{}".to_owned(),
        "\u{fffd}{[".to_owned(),
    ] {
        for instance in ["i-1", "i-2"] {
            let answer = node.report_target_state("Heartbeat", instance, &malformed);
            assert!(answer.contains(" 400 "), "{malformed}: {answer}");
            let served = node.get(7001, "/look/1");
            assert!(served.contains(" 200 "), "after {malformed}: {served}");
        }
    }
    // A separate thread writes the log, so the line may appear later.
    wait_for(|| node.log().contains("\"name\":\"InputRefused\""));
}

#[test]
fn a_target_restarted_under_the_same_id_serves_again() {
    let store = configured_store();
    let node = start_ready(&store, "one");
    register_target(&node, "i-1", 7);
    let draining = heartbeat("stock", "draining", 8).to_string();
    assert!(node.report_target_state("Heartbeat", "i-1", &draining).contains(" 200 "));
    assert!(node.get(7001, "/look/1").contains(" 503 "), "the target is draining");
    let mut next_incarnation = heartbeat("stock", "ready", 1);
    next_incarnation["born"] = 6_000.into();
    assert!(
        node.report_target_state("Heartbeat", "i-1", &next_incarnation.to_string())
            .contains(" 200 ")
    );
    assert!(
        node.get(7001, "/look/1").contains(" 200 "),
        "the sequence of a new incarnation starts at one"
    );
    // Delayed messages of the earlier incarnation do not affect the new one.
    assert!(node.report_target_state("Heartbeat", "i-1", &draining).contains(" 200 "));
    assert!(node.report_target_state("Deregister", "i-1", r#"{"born":5000}"#).contains(" 200 "));
    assert!(
        node.get(7001, "/look/1").contains(" 200 "),
        "the deregistration of an earlier incarnation removed the target"
    );
    assert!(node.report_target_state("Deregister", "i-1", r#"{"born":6000}"#).contains(" 200 "));
    assert!(node.get(7001, "/look/1").contains(" 503 "));
}

#[test]
fn malformed_rows_are_ignored_and_the_others_apply() {
    let store = configured_store();
    store.put("op", "config-of-another-writer", &[0xff, 0xfe]);
    // One of these sorts before the rows of nodes, the other after them.
    store.put("nodes", "!nowhere", b"a");
    store.put("nodes", "~", &[0xff]);
    let first = start_ready(&store, "one");
    let second = start_ready(&store, "two");
    register_target(&second, "i-2", 1);
    wait_for(|| first.get(7001, "/look/1").ends_with("two"));
    store.put("op", "config", b"no configuration");
    store.put("op", "config", &document(9, "/new/"));
    wait_for(|| second.site_version() == "9");
}

#[test]
fn two_nodes_of_a_failure_domain_follow_the_store_for_all() {
    let store = configured_store();
    let mut nodes = Vec::new();
    for name in ["one", "two", "three", "four", "five"] {
        nodes.push(start(&store, name));
    }
    for node in &nodes {
        wait_for(|| node.is_ready());
    }
    // A node that began to follow the store before it was connected to the others does so until the next change.
    store.put("op", "config", &document(5, "/look/"));
    wait_for(|| nodes.iter().all(|node| node.site_version() == "5"));
    wait_for(|| store.pending_polls() == 2);
    store.put("op", "config", &document(6, "/look/"));
    wait_for(|| nodes.iter().all(|node| node.site_version() == "6"));
    // Nodes that follow the store may fail at any time.
    nodes.remove(1);
    nodes.remove(0);
    store.put("op", "config", &document(7, "/look/"));
    wait_for(|| nodes.iter().all(|node| node.site_version() == "7"));
    store.set_unavailable(true);
    for node in &nodes {
        wait_for(|| node.log().contains("\"name\":\"StoreAway\""));
    }
    store.put("op", "config", &document(8, "/look/"));
    store.set_unavailable(false);
    wait_for(|| nodes.iter().all(|node| node.site_version() == "8"));
}

/// Guards against an outdated configuration staying in force after the store was unresponsive, that is, accepted
/// connections and requests without answering.
///
/// A poll lost in that time must be retried soon after the recovery of the store. This failed when polls timed out 2.5
/// s after the wait requested from the store, which was 12 s and later 25 s, and all followers polled at the same
/// moment, that of the last change: all 16 nodes timed out within 4 ms, polled again while the store was still
/// unresponsive, and got the change 7 s later from a node that had just started and read it.
#[test]
fn a_poll_lost_by_an_unresponsive_store_is_retried_in_time() {
    let store = configured_store();
    let nodes = [start(&store, "one"), start(&store, "two")];
    wait_for(|| nodes.iter().all(Process::is_ready) && store.pending_polls() == 2);
    store.set_unresponsive(true);
    store.put("op", "config", &document(5, "/look/"));
    wait_for(|| store.lost_answers() >= 2);
    store.set_unresponsive(false);
    thread::sleep(SETTLE_TIME);
    store.put("op", "config", &document(6, "/look/"));
    wait_at_most(CONFIG_APPLY, || nodes.iter().all(|node| node.site_version() == "6"));
}

/// Guards against the loss of the quarantine when all nodes restart at once. If it is kept only in the memory of
/// nodes, a request that has crashed three targets crashes three more; without rows in the store, the last
/// assertion fails.
#[test]
fn a_quarantined_request_stays_quarantined_after_all_nodes_restart() {
    let store = configured_store();
    let mut nodes = Vec::new();
    for name in ["one", "two", "three", "four"] {
        let mut node =
            Process::prepare(&store, &NodeSpec { name, failure_domain: "a", service: "stock" });
        serve(node.target_address(), name, |_| answer_with(String::new()));
        node.start();
        nodes.push(node);
    }
    for (number, node) in nodes.iter().enumerate() {
        wait_for(|| node.is_ready() && node.metric("peers_linked") == "3");
        register_target(node, &format!("i-{number}"), 1);
    }
    wait_for(|| {
        nodes[0].get(7001, "/look/crash");
        // The caller retries after the crash is known to all nodes.
        thread::sleep(Duration::from_millis(100));
        nodes.iter().all(|node| node.metric("requests_held") == "1")
    });
    wait_for(|| store.keys("nodes").iter().any(|key| key.starts_with("held-")));
    let running: Vec<usize> =
        (0..nodes.len()).filter(|number| target_runs(&nodes[*number])).collect();
    assert_eq!(running.len(), 1, "three crashes quarantine a request");
    kill_all(&mut nodes);
    for node in &nodes {
        wait_for(|| node.is_ready());
    }
    register_target(&nodes[running[0]], "i-9", 1);
    for node in &nodes {
        wait_for(|| node.get(7001, "/look/1").contains(" 200 "));
        let answer = node.get(7001, "/look/crash");
        assert!(answer.contains(" 503 ") && answer.contains("retry-after"), "{answer}");
    }
    assert!(target_runs(&nodes[running[0]]), "the quarantined request has crashed one more target");
}

/// Whether the target of a node accepts connections.
fn target_runs(node: &Process) -> bool {
    TcpStream::connect(node.target_address()).is_ok()
}

/// Starts a node whose target states `signals` in its answers. Returns it with the times at which requests arrived.
fn start_with_signals(
    store: &Store,
    name: &str,
    signals: &'static str,
) -> (Process, Arc<Mutex<Vec<Instant>>>) {
    let mut node =
        Process::prepare(store, &NodeSpec { name, failure_domain: "a", service: "stock" });
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let recorded = Arc::clone(&arrivals);
    serve(node.target_address(), name, move |_| {
        recorded.lock().unwrap().push(Instant::now());
        thread::sleep(Duration::from_millis(100));
        Answer { signals: signals.to_owned(), ..answer_with("two".to_owned()) }
    });
    node.start();
    wait_for(|| node.is_ready());
    (node, arrivals)
}

/// Kills a node and waits until it is ready again.
fn restart(node: &mut Process) {
    node.signal(libc::SIGKILL);
    node.wait();
    node.start();
    wait_for(|| node.is_ready());
}

#[test]
fn a_target_that_states_that_it_leaves_gets_nothing_after_a_restart_of_its_node() {
    let store = configured_store();
    let entry = start_ready(&store, "one");
    let (mut node, arrivals) = start_with_signals(&store, "two", "Server-Leaving: 1\r\n");
    register_target(&node, "i-2", 1);
    wait_for(|| entry.get(CALLERS_PORT, "/look/1").contains(" 200 "));
    restart(&mut node);
    register_target(&node, "i-2", 2);
    for _ in 0..20 {
        assert!(entry.get(CALLERS_PORT, "/look/1").contains(" 503 "));
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(arrivals.lock().unwrap().len(), 1);
    register_target(&node, "i-3", 1);
    wait_for(|| entry.get(CALLERS_PORT, "/look/1").contains(" 200 "));
}

#[test]
fn a_restarted_node_keeps_to_the_limit_that_its_target_had_named() {
    const LIMIT_PER_S: usize = 2;
    const CALLERS: usize = 40;
    let heartbeat = |node: &Process, sequence| {
        let mut body = heartbeat("stock", "ready", sequence);
        body["information"]["slots"] = CALLERS.into();
        let body = body.to_string();
        wait_for(|| node.report_target_state("Heartbeat", "i-2", &body).contains(" 200 "));
    };
    let store = configured_store();
    let entry = start_ready(&store, "one");
    let (mut node, arrivals) = start_with_signals(&store, "two", "Server-Limit: 2\r\n");
    heartbeat(&node, 1);
    wait_for(|| entry.get(CALLERS_PORT, "/look/1").contains(" 200 "));
    thread::sleep(Duration::from_millis(500));
    for sequence in 2..5 {
        restart(&mut node);
        heartbeat(&node, sequence);
        // All of them are sent before the first answer could tell the limit.
        thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| entry.get(CALLERS_PORT, "/look/1"));
            }
        });
        thread::sleep(Duration::from_millis(600));
    }
    let arrivals = arrivals.lock().unwrap();
    for (first, began) in arrivals.iter().enumerate() {
        let within = arrivals[first..].partition_point(|at| *at < *began + Duration::from_secs(4));
        assert!(within <= 6 * LIMIT_PER_S + 5, "{within} within 4 s");
    }
}

/// Reports that a target leaves, in both ways that a target has.
fn report_departure(node: &Process, instance: &str, is_draining: bool) -> String {
    if is_draining {
        let body = heartbeat("stock", "draining", 8).to_string();
        return node.report_target_state("Heartbeat", instance, &body);
    }
    node.report_target_state("Deregister", instance, r#"{"born":5000}"#)
}

/// Kills all processes and starts them again.
fn kill_all(nodes: &mut [Process]) {
    for node in nodes.iter() {
        node.signal(libc::SIGKILL);
    }
    for node in nodes {
        node.wait();
        node.start();
    }
}

/// A late heartbeat of the target `i-1` is accepted and does not bring it back.
fn expect_departed(nodes: &[Process]) {
    let late = heartbeat("stock", "ready", 7).to_string();
    for _ in 0..3 {
        assert!(nodes[0].report_target_state("Heartbeat", "i-1", &late).contains(" 200 "));
        let answer = nodes[1].get(7001, "/look/1");
        assert!(answer.contains(" 503 "), "the target has left: {answer}");
        thread::sleep(Duration::from_millis(200));
    }
}

/// Guards against requests to a target whose departure was acknowledged: all nodes forgot it when they were killed
/// together, and a late heartbeat brought the target back.
#[test]
fn an_acknowledged_departure_outlasts_all_nodes() {
    for is_draining in [false, true] {
        let store = configured_store();
        let mut nodes = [start_ready(&store, "one"), start_ready(&store, "two")];
        register_target(&nodes[0], "i-1", 6);
        wait_for(|| nodes[1].get(7001, "/look/1").ends_with("one"));
        assert!(report_departure(&nodes[0], "i-1", is_draining).contains(" 200 "));
        kill_all(&mut nodes);
        wait_for(|| nodes.iter().all(Process::is_ready) && nodes[1].metric("peers_linked") == "1");
        expect_departed(&nodes);
        register_target(&nodes[0], "i-2", 1);
        wait_for(|| nodes[1].get(7001, "/look/1").ends_with("one"));
        // The earlier departure is kept beside the new one.
        assert!(report_departure(&nodes[0], "i-2", is_draining).contains(" 200 "));
        let saved = store.values("departures");
        assert!(saved.len() == 1 && saved[0].contains("i-1") && saved[0].contains("i-2"));
    }
}

/// Guards against departures that are acknowledged while nothing but the memory of nodes holds them. The target gets
/// no more requests all the same.
#[test]
fn a_departure_is_acknowledged_only_once_the_store_has_it() {
    for set_fault in [Store::set_unavailable, Store::set_unresponsive] {
        let store = configured_store();
        let mut nodes = [start_ready(&store, "one"), start_ready(&store, "two")];
        register_target(&nodes[0], "i-1", 6);
        wait_for(|| nodes[1].get(7001, "/look/1").ends_with("one"));
        set_fault(&store, true);
        let reported_at = Instant::now();
        let answer = report_departure(&nodes[0], "i-1", false);
        assert!(answer.contains(" 503 "), "{answer}");
        assert!(reported_at.elapsed() < Duration::from_secs(1), "{:?}", reported_at.elapsed());
        assert!(nodes[1].get(7001, "/look/1").contains(" 503 "), "it still gets requests");
        wait_for(|| nodes[0].log().contains("\"name\":\"DepartureUnsaved\""));
        set_fault(&store, false);
        wait_at_most(SETTLE_TIME, || report_departure(&nodes[0], "i-1", false).contains(" 200 "));
        kill_all(&mut nodes);
        wait_for(|| nodes.iter().all(Process::is_ready) && nodes[1].metric("peers_linked") == "1");
        expect_departed(&nodes);
    }
}

/// Guards against a saved departure that is undone by a write based on an older version of the row.
#[test]
fn departures_saved_by_another_process_are_kept() {
    let store = configured_store();
    let node = start_ready(&store, "one");
    register_target(&node, "i-1", 6);
    assert!(report_departure(&node, "i-1", false).contains(" 200 "));
    store.replace_values("departures", br#"[{"id":"i-9","started_unix_ms":5000}]"#);
    register_target(&node, "i-2", 1);
    assert!(report_departure(&node, "i-2", false).contains(" 200 "));
    let saved = store.values("departures");
    assert!(saved[0].contains("i-9") && saved[0].contains("i-2"), "{saved:?}");
    store.replace_values("departures", b"[{]");
    register_target(&node, "i-3", 1);
    assert!(report_departure(&node, "i-3", false).contains(" 200 "));
    wait_for(|| node.log().contains("invalid list of departures"));
}

/// Guards against a target that gets no work because the store does not answer when its node starts.
#[test]
fn a_node_that_starts_without_the_store_serves_its_target() {
    let store = configured_store();
    let mut first = start_ready(&store, "one");
    let second = start_ready(&store, "two");
    wait_for(|| first.metric("peers_linked") == "1");
    store.set_unavailable(true);
    first.signal(libc::SIGKILL);
    first.wait();
    first.start();
    // Nobody tells the new process of the other node; the other one dials it.
    wait_for(|| first.site_version() == "4");
    register_target(&first, "i-1", 1);
    wait_at_most(Duration::from_secs(5), || second.get(7001, "/look/1").ends_with("one"));
    assert!(report_departure(&first, "i-1", false).contains(" 503 "));
    store.set_unavailable(false);
    wait_at_most(Duration::from_secs(5), || {
        report_departure(&first, "i-1", false).contains(" 200 ")
    });
}

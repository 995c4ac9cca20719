//! The real program with the platform's settings file, against stand-ins for the store and a target.

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use super::node::{CALLERS_PORT, Place, Process};
use super::store::Store;
use super::target::{heartbeat, serve};

/// How long anything may take.
const PATIENCE: Duration = Duration::from_secs(30);
/// After the store has worked for this long again, a node has to keep to all bounds.
const CONTACT: Duration = Duration::from_secs(3);
/// How long a configuration may take to come into force.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Starts a node of the service `stock` and its target, which answers with its own name.
fn start(store: &Store, name: &str) -> Process {
    let mut process =
        Process::prepare(store, &Place { name, failure_domain: "a", service: "stock" });
    let body = name.to_owned();
    serve(process.target_address(), name, move |_| ("a1".to_owned(), body.clone()));
    process.start();
    process
}

/// The same, and waits until it takes callers.
fn start_ready(store: &Store, name: &str) -> Process {
    let process = start(store, name);
    wait_for(|| process.is_ready());
    process
}

/// A store in which the operator has written a first configuration.
fn configured_store() -> Store {
    let store = Store::start();
    store.put("op", "config", &document(4, "/look/"));
    store
}

/// Lets a target of `process` say that it is ready, until it is taken in.
fn beat(process: &Process, instance: &str, sequence: u64) {
    let body = heartbeat("stock", "ready", sequence).to_string();
    wait_for(|| process.tell("Heartbeat", instance, &body).contains(" 200 "));
}

fn wait_for(is_true: impl FnMut() -> bool) {
    wait_at_most(PATIENCE, is_true);
}

fn wait_at_most(patience: Duration, mut is_true: impl FnMut() -> bool) {
    let began = Instant::now();
    while !is_true() {
        assert!(began.elapsed() < patience, "waited {patience:?} in vain");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A configuration with one route to `stock`.
fn document(version: u32, prefix: &str) -> Vec<u8> {
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
    assert!(!node.is_ready(), "no configuration is known yet");
    assert!(node.get(7001, "/look/1").contains(" 503 "));
    store.put("op", "config", &document(4, "/look/"));
    wait_for(|| node.is_ready());
    beat(&node, "i-1", 1);
    let answer = node.get(7001, "/look/1");
    assert!(answer.contains(" 200 ") && answer.ends_with("one"), "{answer}");
    assert!(node.get(7001, "/other/1").contains(" 404 "));
    node.signal(libc::SIGHUP);
    wait_for(|| node.log().contains("\"name\":\"SettingsReread\""));
    assert!(node.get(7001, "/look/1").contains(" 200 "), "the reload signal ended it");
    node.signal(libc::SIGTERM);
    wait_for(|| !node.is_ready());
    assert!(node.wait().success());
    let log = node.log();
    for name in ["MeshStarted", "ConfigInForce", "TargetChanged", "LeavingFinished"] {
        assert!(log.contains(&format!("\"name\":\"{name}\"")), "{name} in {log}");
    }
}

#[test]
fn a_configuration_is_in_force_whatever_the_store_does_and_never_goes_back() {
    let store = configured_store();
    let node = start_ready(&store, "one");
    beat(&node, "i-1", 1);
    store.put("op", "config", &document(9, "/new/"));
    wait_for(|| node.site_version() == "9");
    assert!(node.get(7001, "/look/1").contains(" 404 "));
    assert!(node.get(7001, "/new/1").contains(" 200 "));
    store.put("op", "config", &document(7, "/look/"));
    store.wait_until_seen();
    assert!(node.get(7001, "/new/1").contains(" 200 "), "an older one came into force");
    store.forget();
    store.put("op", "config", &document(12, "/newer/"));
    wait_for(|| node.site_version() == "12");
    store.set_away(true);
    wait_for(|| node.log().contains("\"name\":\"StoreAway\""));
    assert!(node.get(7001, "/newer/1").contains(" 200 "), "the store is not on the path of a call");
    store.put("op", "config", &document(13, "/newest/"));
    store.set_away(false);
    wait_for(|| node.site_version() == "13");
    // Lines are written by a thread of their own, after what they tell has happened.
    wait_for(|| versions_logged(&node).last() == Some(&13));
    assert_eq!(versions_logged(&node), [4, 9, 12, 13]);
}

/// The versions that came into force, as the node has written them so far.
fn versions_logged(node: &Process) -> Vec<u64> {
    let log = node.log();
    let lines = log.lines().filter(|line| line.contains("\"name\":\"ConfigInForce\""));
    // The last line may be written in part.
    let lines = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    lines.map(|line| line["config_version"].as_u64().unwrap()).collect()
}

#[test]
fn nodes_find_each_other_and_tell_each_other_of_a_configuration() {
    let store = configured_store();
    let first = start_ready(&store, "one");
    let second = start_ready(&store, "two");
    beat(&second, "i-2", 1);
    // The first node has no target; what it takes in runs beside the second.
    wait_for(|| first.get(7001, "/look/1").ends_with("two"));
    assert_eq!(store.keys("nodes").len(), 2);
}

/// A key was taken away, and requests on connections that were open went on being served: for as long as the
/// store turned a part of the nodes away, and after a restart.
#[test]
fn keys_are_in_force_on_nodes_that_hear_of_them_from_others_and_after_a_restart() {
    let store = Store::start();
    store.put("op", "config", &with_keys(4, &["old-key"]));
    let first = start_ready(&store, "one");
    let mut second = start_ready(&store, "two");
    beat(&first, "i-1", 1);
    let status = |node: &Process, key: &str| {
        let text = format!(
            "GET /look/1 HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: a1\r\nX-Api-Key: {key}\r\nConnection: close\r\n\r\n"
        );
        node.ask(CALLERS_PORT, &text).and_then(|answer| answer.split(' ').nth(1).map(str::to_owned))
    };
    let is = |node: &Process, key: &str, wanted: &str| status(node, key).as_deref() == Some(wanted);
    wait_for(|| is(&second, "old-key", "200"));
    store.put("op", "config", &with_keys(5, &["new-key"]));
    for node in [&first, &second] {
        wait_at_most(CONFIG_APPLY, || is(node, "old-key", "401") && is(node, "new-key", "200"));
    }
    store.set_away(true);
    second.signal(libc::SIGKILL);
    second.wait();
    second.start();
    // It learns the configuration from the other node, and says no 401 before it has one.
    wait_for(|| status(&second, "new-key").is_some());
    wait_for(|| {
        assert!(
            !is(&second, "new-key", "401"),
            "no configuration that it knows is without the key"
        );
        is(&second, "old-key", "401")
    });
    let log = first.log() + &second.log();
    assert!(!log.contains("old-key") && !log.contains("new-key"), "a key is in a log");
}

/// A configuration with one route to `stock` and one team.
fn with_keys(version: u32, keys: &[&str]) -> Vec<u8> {
    let mut document: serde_json::Value =
        serde_json::from_slice(&document(version, "/look/")).unwrap();
    document["resources"].as_array_mut().unwrap().push(serde_json::json!({
        "resourceKind": "tenants", "metadata": { "name": "growers" },
        "specification": { "apiKeys": keys, "ratePerS": 500, "burst": 500 },
    }));
    document.to_string().into_bytes()
}

#[test]
fn what_another_writer_says_of_a_target_changes_nothing() {
    let store = configured_store();
    let node = start_ready(&store, "one");
    beat(&node, "i-1", 1);
    let mut without_slots = heartbeat("stock", "ready", 9);
    without_slots["information"]["slots"] = 0.into();
    let mut born_as_text = heartbeat("stock", "draining", 9);
    born_as_text["born"] = "5000".into();
    for strange in [
        heartbeat("stock", "asleep", 9).to_string(),
        heartbeat("nowhere", "ready", 9).to_string(),
        without_slots.to_string(),
        born_as_text.to_string(),
        "{}".to_owned(),
        "\u{fffd}{[".to_owned(),
    ] {
        for instance in ["i-1", "i-2"] {
            let answer = node.tell("Heartbeat", instance, &strange);
            assert!(answer.contains(" 400 "), "{strange}: {answer}");
            let served = node.get(7001, "/look/1");
            assert!(served.contains(" 200 "), "after {strange}: {served}");
        }
    }
    assert!(node.log().contains("\"name\":\"InputRefused\""));
}

#[test]
fn a_target_that_starts_again_under_its_id_serves_again() {
    let store = configured_store();
    let node = start_ready(&store, "one");
    beat(&node, "i-1", 7);
    let draining = heartbeat("stock", "draining", 8).to_string();
    assert!(node.tell("Heartbeat", "i-1", &draining).contains(" 200 "));
    assert!(node.get(7001, "/look/1").contains(" 503 "), "it is leaving");
    let mut next_life = heartbeat("stock", "ready", 1);
    next_life["born"] = 6_000.into();
    assert!(node.tell("Heartbeat", "i-1", &next_life.to_string()).contains(" 200 "));
    assert!(node.get(7001, "/look/1").contains(" 200 "), "the next life counts from one");
    // What was held up on its way from the earlier life does not concern this one.
    assert!(node.tell("Heartbeat", "i-1", &draining).contains(" 200 "));
    assert!(node.tell("Deregister", "i-1", r#"{"born":5000}"#).contains(" 200 "));
    assert!(node.get(7001, "/look/1").contains(" 200 "), "an earlier life's farewell ended it");
    assert!(node.tell("Deregister", "i-1", r#"{"born":6000}"#).contains(" 200 "));
    assert!(node.get(7001, "/look/1").contains(" 503 "));
}

#[test]
fn rows_that_cannot_be_read_name_no_node_and_the_others_hold() {
    let store = configured_store();
    store.put("op", "config-of-another-writer", &[0xff, 0xfe]);
    // One sorts before, one behind the rows of nodes.
    store.put("nodes", "!nowhere", b"a");
    store.put("nodes", "~", &[0xff]);
    let first = start_ready(&store, "one");
    let second = start_ready(&store, "two");
    beat(&second, "i-2", 1);
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
    // Whoever began to follow before it had met the others does so until the next change.
    store.put("op", "config", &document(5, "/look/"));
    wait_for(|| nodes.iter().all(|node| node.site_version() == "5"));
    wait_for(|| store.followers() == 2);
    store.put("op", "config", &document(6, "/look/"));
    wait_for(|| nodes.iter().all(|node| node.site_version() == "6"));
    // Whoever follows may be lost at any moment.
    nodes.remove(1);
    nodes.remove(0);
    store.put("op", "config", &document(7, "/look/"));
    wait_for(|| nodes.iter().all(|node| node.site_version() == "7"));
    store.set_away(true);
    for node in &nodes {
        wait_for(|| node.log().contains("\"name\":\"StoreAway\""));
    }
    store.put("op", "config", &document(8, "/look/"));
    store.set_away(false);
    wait_for(|| nodes.iter().all(|node| node.site_version() == "8"));
}

/// Callers were served by the old share of a route, seconds after a newer configuration had been
/// acknowledged. The store had been silent: it took connections and requests and answered none. What the
/// nodes were waiting for at the store was lost in that time, and until they gave it up, long after the
/// store had come back, none of them knew of the change; so none could tell the others.
///
/// The cause: a question was given up 2.5 s after the time for which the store was asked to wait, 12 s then and
/// 25 s later, and all followers asked at the same moment, that of the last change. Evidence: played again
/// with the same silence, all 16 nodes gave their question up within 4 ms, asked again in the silence, and
/// heard of the change 7 s later from a node that had just started and read it.
#[test]
fn a_question_that_a_silent_store_has_lost_is_asked_anew_in_time() {
    let store = configured_store();
    let nodes = [start(&store, "one"), start(&store, "two")];
    wait_for(|| nodes.iter().all(Process::is_ready) && store.followers() == 2);
    store.set_silent(true);
    store.put("op", "config", &document(5, "/look/"));
    wait_for(|| store.lost() >= 2);
    store.set_silent(false);
    thread::sleep(CONTACT);
    store.put("op", "config", &document(6, "/look/"));
    wait_at_most(CONFIG_APPLY, || nodes.iter().all(|node| node.site_version() == "6"));
}

/// A read that had ended three targets was held back, until all nodes lost power at once: it ended three
/// more.
///
/// The cause: what is held back was known to the nodes alone, and none of them was left. Evidence: the last line
/// of this test, with nothing in the store.
#[test]
fn a_request_that_is_held_back_is_so_after_all_nodes_have_started_anew() {
    let store = configured_store();
    let mut nodes = Vec::new();
    for name in ["one", "two", "three", "four"] {
        let mut node =
            Process::prepare(&store, &Place { name, failure_domain: "a", service: "stock" });
        serve(node.target_address(), name, |_| ("a1".to_owned(), String::new()));
        node.start();
        nodes.push(node);
    }
    for (number, node) in nodes.iter().enumerate() {
        wait_for(|| node.is_ready() && node.metric("peers_linked") == "3");
        beat(node, &format!("i-{number}"), 1);
    }
    wait_for(|| {
        nodes[0].get(7001, "/look/crash");
        // The caller comes back, after the news has spread.
        thread::sleep(Duration::from_millis(100));
        nodes.iter().all(|node| node.metric("requests_held") == "1")
    });
    wait_for(|| store.keys("nodes").iter().any(|key| key.starts_with("held-")));
    let alive: Vec<usize> =
        (0..nodes.len()).filter(|number| target_runs(&nodes[*number])).collect();
    assert_eq!(alive.len(), 1, "three targets tell");
    for node in &mut nodes {
        node.signal(libc::SIGKILL);
        node.wait();
        node.start();
    }
    for node in &nodes {
        wait_for(|| node.is_ready());
    }
    beat(&nodes[alive[0]], "i-9", 1);
    for node in &nodes {
        wait_for(|| node.get(7001, "/look/1").contains(" 200 "));
        let answer = node.get(7001, "/look/crash");
        assert!(answer.contains(" 503 ") && answer.contains("retry-after"), "{answer}");
    }
    assert!(target_runs(&nodes[alive[0]]), "it has ended one more");
}

/// Whether the target of a node takes connections.
fn target_runs(node: &Process) -> bool {
    TcpStream::connect(node.target_address()).is_ok()
}

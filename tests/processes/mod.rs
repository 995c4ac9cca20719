//! Helpers that run a small site of real processes on loopback. Each process is killed by its id at the end of
//! the test.

use std::collections::HashSet;
use std::fs::File;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

/// The lowest candidate port.
const PORT_MIN: u16 = 12_000;
/// The number of candidate ports.
const PORT_COUNT: u32 = 18_000;
/// The distance between the first candidate ports of test processes with consecutive ids.
const PORT_STRIDE: u32 = 211;
/// The interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The number of polls after which the test fails.
const POLLS_MAX: u32 = 1_200;

/// A node and its target.
pub struct Pair {
    pub service: &'static str,
    pub caller_port: u16,
    pub target_port: u16,
    node: Child,
    target: Child,
}

/// The processes of a site.
pub struct Site {
    pub pairs: Vec<Pair>,
    pub table_port: u16,
    pub collector_port: u16,
    /// The folder with the nodes' settings and logs.
    pub folder: PathBuf,
    platform: Vec<Child>,
    pub client: reqwest::Client,
}

impl Site {
    /// Starts a chain of services, each calling the next one, with `targets` targets per service.
    pub fn start(name: &str, services: &[&'static str], targets: usize) -> Self {
        let ports = free_ports(2 + services.len() * targets * 5);
        let folder = format!("{name}-{}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
        std::fs::create_dir_all(&folder).expect("create the settings folder");
        let (table_port, collector_port) = (ports[0], ports[1]);
        let table = start_standin(&["table", "--listen", &loopback(table_port)]);
        let collector = start_standin(&["collector", "--listen", &loopback(collector_port)]);
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .timeout(Duration::from_secs(10))
            .build()
            .expect("create an HTTP client");
        let mut site = Self {
            pairs: Vec::new(),
            table_port,
            collector_port,
            folder,
            platform: vec![table, collector],
            client,
        };
        for (index, ports) in ports[2..].chunks(5).enumerate() {
            site.start_pair(services, index / targets, index, ports);
        }
        site
    }

    /// Starts one node and its target.
    fn start_pair(&mut self, services: &[&'static str], depth: usize, index: usize, ports: &[u16]) {
        let service = services[depth];
        let settings = json!({
            "site": "test",
            "node": {
                "name": format!("{service}-{index}"), "failure_domain": "a", "service": service,
                "caller_listen": loopback(ports[0]), "target_listen": loopback(ports[1]),
                "peer_listen": loopback(ports[2]), "operator_listen": loopback(ports[3]), "leave_ms": 1500
            },
            "platform": {
                "table_url": format!("http://{}", loopback(self.table_port)),
                "objects_url": format!("http://{}", loopback(self.table_port)), "poll_ms": 1000
            },
            "telemetry": {
                "otlp_url": format!("http://{}", loopback(self.collector_port)), "sample_share": 1.0
            },
            "rules": rules(services)
        });
        let file = self.folder.join(format!("{index}.json"));
        std::fs::write(&file, settings.to_string()).expect("write the settings");
        let file = file.to_string_lossy().into_owned();
        let log =
            File::create(self.folder.join(format!("{index}.log"))).expect("create the log file");
        let node = start_program(&["node", "--settings", &file], log.into());
        let (listen, node_address) = (loopback(ports[4]), loopback(ports[1]));
        let mut arguments =
            vec!["target", "--service", service, "--listen", &listen, "--node", &node_address];
        if let Some(next) = services.get(depth + 1) {
            arguments.extend(["--calls", next]);
        }
        let target = start_standin(&arguments);
        let (caller_port, target_port) = (ports[0], ports[4]);
        self.pairs.push(Pair { service, caller_port, target_port, node, target });
    }

    /// Calls the first service through a node; returns the status, the verdict and the body.
    pub async fn call(
        &self,
        pair: usize,
        method: &str,
        path: &str,
        key: Option<&str>,
    ) -> Option<(u16, String, String)> {
        let url = format!(
            "http://{}/{}{path}",
            loopback(self.pairs[pair].caller_port),
            self.first_service()
        );
        let method = reqwest::Method::from_bytes(method.as_bytes()).expect("a valid method");
        let mut request = self.client.request(method, url);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        let verdict = response.headers().get("aspenspring-verdict");
        let verdict = verdict.and_then(|value| value.to_str().ok()).unwrap_or("").to_owned();
        Some((status, verdict, response.text().await.ok()?))
    }

    /// Waits until every node answers a call successfully, and every target has called every target of the
    /// next service.
    ///
    /// A successful answer through a node may come from the target of another node, so it does not show
    /// that this node knows the next service. Nodes discover each other at intervals: one of two front
    /// nodes discovered the next service seconds after the other. Until then, its target's calls are refused.
    pub async fn wait_until_served(&self) {
        for pair in 0..self.pairs.len() {
            for poll in 0..POLLS_MAX {
                let answer = self.call(pair, "GET", "/page/ready", None).await;
                if answer.is_some_and(|(status, ..)| status == 200) {
                    break;
                }
                assert!(poll + 1 < POLLS_MAX, "node {pair} did not answer a call in time");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        let mut seen = HashSet::new();
        for poll in 0.. {
            for pair in 0..self.pairs.len() {
                let Some((200, _, body)) = self.call(pair, "GET", "/page/ready", None).await else {
                    continue;
                };
                collect_calls(&body, &mut seen);
            }
            if seen.len() == self.expected_calls() {
                return;
            }
            assert!(
                poll < POLLS_MAX,
                "not every target has called all of the next service; calls seen: {seen:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// The number of pairs of targets of which the first can call the second.
    fn expected_calls(&self) -> usize {
        let mut expected = 0;
        for pair in &self.pairs {
            let rest = self.pairs.iter().skip_while(|other| other.service != pair.service);
            let next = rest.clone().find(|other| other.service != pair.service);
            let Some(next) = next else { continue };
            expected += rest.filter(|other| other.service == next.service).count();
        }
        expected
    }

    /// Polls a URL until it returns JSON that satisfies `is_expected`.
    pub async fn wait_for(&self, url: &str, is_expected: impl Fn(&Value) -> bool) -> Value {
        for _ in 0..POLLS_MAX {
            if let Some(value) = self.read(url).await.filter(&is_expected) {
                return value;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{url} did not return the expected JSON in time");
    }

    /// Reads JSON from a URL; `None` on any failure.
    pub async fn read(&self, url: &str) -> Option<Value> {
        let response = self.client.get(url).send().await.ok()?;
        serde_json::from_str(&response.text().await.ok()?).ok()
    }

    /// How many requests the targets of a service ran for each idempotency key, one entry per target and
    /// key.
    pub async fn runs(&self, service: &str) -> Vec<(String, u64)> {
        let mut runs = Vec::new();
        for pair in self.pairs.iter().filter(|pair| pair.service == service) {
            let url = format!("http://{}/_aspenspring/runs", loopback(pair.target_port));
            let Some(value) = self.read(&url).await else { continue };
            let Some(keys) = value["runs_by_key"].as_object() else { continue };
            for (key, count) in keys {
                runs.push((key.clone(), count.as_u64().unwrap_or(0)));
            }
        }
        runs
    }

    /// The first service of the chain.
    pub fn first_service(&self) -> &'static str {
        self.pairs[0].service
    }

    /// Sends a signal to a node.
    pub fn signal_node(&self, pair: usize, signal: libc::c_int) {
        let pid = self.pairs[pair].node.id() as libc::pid_t;
        // SAFETY: the process was started by this test and has not been waited for.
        unsafe { libc::kill(pid, signal) };
    }

    /// Ends a target; its address is free then.
    pub fn end_target(&mut self, pair: usize) -> String {
        let pair = &mut self.pairs[pair];
        pair.target.kill().expect("end the target");
        pair.target.wait().expect("wait for the target");
        loopback(pair.target_port)
    }

    /// Waits until a node has exited; returns its exit code.
    pub async fn wait_for_exit(&mut self, pair: usize) -> Option<i32> {
        for _ in 0..POLLS_MAX {
            let ended =
                self.pairs[pair].node.try_wait().expect("query the state of the node process");
            if let Some(status) = ended {
                return status.code();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("node {pair} did not exit in time");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let pairs = self.pairs.iter_mut().flat_map(|pair| [&mut pair.node, &mut pair.target]);
        for child in pairs.chain(&mut self.platform) {
            // Fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Adds the pairs of calling and called target in a successful answer to `seen`.
fn collect_calls(answer: &str, seen: &mut HashSet<(String, String)>) {
    let mut answer: Value = serde_json::from_str(answer).expect("a target answers with JSON");
    while let Some(child) = answer["children"].get(0).cloned() {
        let name = |answer: &Value| answer["target"].as_str().unwrap_or_default().to_owned();
        seen.insert((name(&answer), name(&child)));
        answer = child;
    }
}

/// The rules for a chain of services.
fn rules(services: &[&str]) -> Value {
    let mut routes = vec![json!({ "service": services[0], "method": "POST",
        "path_prefix": "/confirm", "class": "confirm" })];
    let mut entries = Vec::new();
    for (depth, service) in services.iter().enumerate() {
        routes.push(json!({ "service": service, "class": "browse" }));
        let calls: Vec<&&str> = services.get(depth + 1).into_iter().collect();
        entries.push(json!({ "name": service, "slots": 32, "connections": 250, "calls": calls }));
    }
    json!({
        "classes": [
            { "name": "browse", "rank": 1, "deadline_ms": 3000, "deadline_max_ms": 8000 },
            { "name": "confirm", "rank": 9, "at_most_once": true, "deadline_ms": 5000,
              "deadline_max_ms": 8000 }
        ],
        "routes": routes,
        "services": entries,
        "arms": [{ "id": 0, "name": "main", "share": 1.0, "policy": "bounded" }],
        "policies": [{ "name": "bounded", "limit": { "kind": "static" }, "choice": "least_loaded",
            "retry": { "kind": "bounded", "allowance": 3, "budget_share": 0.2, "backoff_ms": 5,
                       "backoff_max_ms": 100 } }]
    })
}

/// Returns ports that are free now. They lie below the ephemeral range, so that no outgoing connection
/// takes one before its process has bound it.
fn free_ports(count: usize) -> Vec<u16> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORT_STRIDE);
    let mut ports = Vec::new();
    while ports.len() < count {
        let step = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORT_MIN + (step % PORT_COUNT) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            ports.push(port);
        }
    }
    ports
}

/// The loopback address with a port.
pub fn loopback(port: u16) -> String {
    format!("127.0.0.1:{port}")
}

/// Starts a stand-in process.
fn start_standin(arguments: &[&str]) -> Child {
    let mut all = vec!["standin"];
    all.extend(arguments);
    start_program(&all, Stdio::null())
}

/// Starts the program under test with its log written to `log`.
fn start_program(arguments: &[&str], log: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_aspenspring"))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .expect("start the program")
}

//! Runs a node as a process, with the platform's settings file.

use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use super::store::Store;

/// The memory limit of a node, in mebibytes.
pub const MEMORY_MB: u64 = 256;
/// The port of the listener for callers.
pub const CALLERS_PORT: u16 = 7001;
/// The port of the listener for heartbeats of the target.
pub const HEARTBEATS_PORT: u16 = 7003;
/// The port of the target.
pub const TARGET_PORT: u16 = 7006;
/// The timeout of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// The settings in which the nodes of a site differ.
pub struct NodeSpec<'a> {
    pub name: &'a str,
    pub failure_domain: &'a str,
    pub service: &'a str,
}

/// A node as a process; killed when dropped.
pub struct Process {
    child: Option<Child>,
    /// Its loopback address.
    pub ip: Ipv4Addr,
    folder: PathBuf,
    is_folder_kept: bool,
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            drop(child.kill());
            drop(child.wait());
        }
        if !self.is_folder_kept {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

impl Process {
    /// Writes the settings of a node without starting it.
    pub fn prepare(store: &Store, spec: &NodeSpec<'_>) -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let last = NEXT.fetch_add(1, Ordering::Relaxed);
        assert_ne!(last, 0, "a test process can start at most 254 nodes");
        let id = std::process::id();
        // Other tests on this machine use addresses with a second byte below 128.
        let ip = Ipv4Addr::new(127, 128 + (id >> 8) as u8 % 120, id as u8, last);
        let folder = std::env::temp_dir().join(format!("aspenspring-test-{id}-{last}"));
        fs::create_dir_all(&folder).unwrap();
        let at = |port: u16| format!("{ip}:{port}");
        let settings = serde_json::json!({
            "node": {
                "name": spec.name, "failure_domain": spec.failure_domain,
                "service": spec.service, "memory_mb": MEMORY_MB, "descriptors": 1000,
            },
            "listen": {
                "callers": at(CALLERS_PORT), "readiness": at(7002), "targets": at(HEARTBEATS_PORT),
                "peers": at(7004), "metrics": at(7005),
            },
            "target": { "address": at(TARGET_PORT) },
            "store": { "address": store.address.to_string() },
            // All that a deployment can switch on, so that the soak plays it.
            "overload": { "policy": "windows", "completion": "on", "returns": "on" },
            "teams": { "fair_shares": true },
            "bounds": {
                "graceS": 6, "retryBudgetRatio": 0.2, "retryBudgetSlack": 49, "quotaWindowS": 5,
                "quotaOverage": 0.1, "quotaSlack": 20,
            },
        });
        fs::write(folder.join("settings.json"), settings.to_string()).unwrap();
        Self { child: None, ip, folder, is_folder_kept: false }
    }

    /// The address on which its target has to listen.
    pub fn target_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, TARGET_PORT))
    }

    /// Starts the process, for the first time or again after its end.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        let child = Command::new(env!("CARGO_BIN_EXE_aspenspring"))
            .arg("mesh")
            .env("ASPENSPRING_CONFIG", self.folder.join("settings.json"))
            .stdout(log.unwrap())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// The exit status, returned once after the process has ended.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().unwrap()?;
        self.child = None;
        Some(status)
    }

    /// Waits for the process to end.
    pub fn wait(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.try_wait() {
                return status;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends a request to one of the node's listeners; none if there is no answer.
    pub fn send_request(&self, port: u16, text: &str) -> Option<String> {
        send_request(SocketAddr::from((self.ip, port)), text, ANSWER_TIMEOUT)
    }

    /// Sends a GET request to one of the node's listeners.
    pub fn get(&self, port: u16, path: &str) -> String {
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: a1\r\nConnection: close\r\n\r\n"
        );
        self.send_request(port, &text).unwrap_or_default()
    }

    /// Sends a heartbeat or deregistration of a target.
    pub fn report_target_state(&self, call: &str, instance: &str, body: &str) -> String {
        self.send_request(HEARTBEATS_PORT, &target_report(call, instance, body)).unwrap_or_default()
    }

    /// The log written so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap()
    }

    /// Keeps the folder with the log, and prints its path.
    pub fn keep_folder(&mut self) {
        self.is_folder_kept = true;
        println!("logs are kept in {}", self.folder.display());
    }

    /// Sends a signal; does nothing if the process has ended.
    pub fn signal(&self, signal: libc::c_int) {
        let Some(child) = &self.child else { return };
        // SAFETY: the child was started by this test and has not been waited for, so the pid is still valid.
        assert_eq!(unsafe { libc::kill(child.id() as libc::pid_t, signal) }, 0);
    }

    /// The most memory that the running process has used so far, in KiB.
    pub fn peak_memory_kb(&self) -> u64 {
        let pid = self.child.as_ref().unwrap().id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Whether the node is ready for callers.
    pub fn is_ready(&self) -> bool {
        self.get(7002, "/readiness").contains(" 200 ")
    }

    /// The version of the configuration in force; empty if it cannot be read.
    pub fn site_version(&self) -> String {
        self.metric("site_version")
    }

    /// The value of a metric; empty if it cannot be read.
    pub fn metric(&self, name: &str) -> String {
        value_in(&self.get(7005, "/metrics"), name).to_owned()
    }
}

/// The version of the configuration in force, from the text of the metrics.
pub fn version_in(metrics: &str) -> &str {
    value_in(metrics, "site_version")
}

/// The value of a metric from the text of the metrics; empty if missing.
fn value_in<'a>(metrics: &'a str, name: &str) -> &'a str {
    let start = format!("aspenspring_mesh_{name} ");
    let mut lines = metrics.lines();
    lines.find_map(|line| line.strip_prefix(start.as_str())).unwrap_or_default()
}

/// The text of a heartbeat or deregistration request.
pub fn target_report(call: &str, instance: &str, body: &str) -> String {
    format!(
        "POST /aspenspring/Instances.{call}/{instance} HTTP/1.1\r\nHost: x\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request and reads until the connection closes; none without a connection or an answer in time.
pub fn send_request(address: SocketAddr, text: &str, timeout: Duration) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).unwrap();
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

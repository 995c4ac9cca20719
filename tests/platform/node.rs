//! The real program as a process, with the platform's settings file.

use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use super::store::Store;

/// The port for callers.
pub const CALLERS_PORT: u16 = 7001;
/// The port for what a target says of itself.
pub const TARGETS_PORT: u16 = 7003;
/// The port of the target.
pub const TARGET_PORT: u16 = 7006;
/// How long an answer may take.
const ANSWER_PATIENCE: Duration = Duration::from_secs(30);

/// What tells one node of a site from another.
pub struct Place<'a> {
    pub name: &'a str,
    pub failure_domain: &'a str,
    pub service: &'a str,
}

/// A node as a process; killed when dropped.
pub struct Process {
    child: Option<Child>,
    /// Its own address on loopback.
    pub ip: Ipv4Addr,
    folder: PathBuf,
    keeps_folder: bool,
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            drop(child.kill());
            drop(child.wait());
        }
        if !self.keeps_folder {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

impl Process {
    /// Writes the settings of a node that is not started yet.
    pub fn prepare(store: &Store, place: &Place<'_>) -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let last = NEXT.fetch_add(1, Ordering::Relaxed);
        assert_ne!(last, 0, "a test process has room for 254 nodes");
        let id = std::process::id();
        // Other tests of this machine draw from the first half of the second byte.
        let ip = Ipv4Addr::new(127, 128 + (id >> 8) as u8 % 120, id as u8, last);
        let folder = std::env::temp_dir().join(format!("aspenspring-test-{id}-{last}"));
        fs::create_dir_all(&folder).unwrap();
        let at = |port: u16| format!("{ip}:{port}");
        let settings = serde_json::json!({
            "node": {
                "name": place.name, "failure_domain": place.failure_domain,
                "service": place.service, "memory_mb": 256, "descriptors": 1000,
            },
            "listen": {
                "callers": at(CALLERS_PORT), "readiness": at(7002), "targets": at(TARGETS_PORT),
                "peers": at(7004), "metrics": at(7005),
            },
            "target": { "address": at(TARGET_PORT) },
            "store": { "address": store.address.to_string() },
            "bounds": {
                "graceS": 6, "retryBudgetRatio": 0.2, "retryBudgetSlack": 49, "quotaWindowS": 5,
                "quotaOverage": 0.1, "quotaSlack": 20,
            },
        });
        fs::write(folder.join("settings.json"), settings.to_string()).unwrap();
        Self { child: None, ip, folder, keeps_folder: false }
    }

    /// Where its target has to listen.
    pub fn target_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, TARGET_PORT))
    }

    /// Starts it, for the first time or after it has ended.
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

    /// How it has ended, once after it has.
    pub fn take_end(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().unwrap()?;
        self.child = None;
        Some(status)
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.take_end() {
                return status;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends a request to one of the node's listeners; none where it does not listen.
    pub fn ask(&self, port: u16, text: &str) -> Option<String> {
        ask(SocketAddr::from((self.ip, port)), text, ANSWER_PATIENCE)
    }

    /// Asks for a page of one of its listeners.
    pub fn get(&self, port: u16, path: &str) -> String {
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: shop.test\r\nAttempt-Id: a1\r\nConnection: close\r\n\r\n"
        );
        self.ask(port, &text).unwrap_or_default()
    }

    /// Sends what a target says of itself.
    pub fn tell(&self, call: &str, instance: &str, body: &str) -> String {
        self.ask(TARGETS_PORT, &farewell_or_beat(call, instance, body)).unwrap_or_default()
    }

    /// What it has written so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap()
    }

    /// Keeps what it has written, and says where.
    pub fn keep(&mut self) {
        self.keeps_folder = true;
        println!("logs are kept in {}", self.folder.display());
    }

    /// Sends it a signal; nothing happens to one that has ended.
    pub fn signal(&self, signal: libc::c_int) {
        let Some(child) = &self.child else { return };
        // SAFETY: the child is this test's own and has not been waited for, so its id is still its.
        assert_eq!(unsafe { libc::kill(child.id() as libc::pid_t, signal) }, 0);
    }

    /// Whether it takes callers.
    pub fn is_ready(&self) -> bool {
        self.get(7002, "/readiness").contains(" 200 ")
    }

    /// The version of the configuration in force; empty where it cannot be read.
    pub fn site_version(&self) -> String {
        self.metric("site_version")
    }

    /// The value of one of its metrics; empty where it cannot be read.
    pub fn metric(&self, name: &str) -> String {
        value_in(&self.get(7005, "/metrics"), name).to_owned()
    }
}

/// The version of the configuration in force, in the text of the metrics.
pub fn version_in(metrics: &str) -> &str {
    value_in(metrics, "site_version")
}

/// The value of a metric of nodes in their text; empty where it is not there.
fn value_in<'a>(metrics: &'a str, name: &str) -> &'a str {
    let start = format!("aspenspring_mesh_{name} ");
    let mut lines = metrics.lines();
    lines.find_map(|line| line.strip_prefix(start.as_str())).unwrap_or_default()
}

/// The request by which a target says something of itself.
pub fn farewell_or_beat(call: &str, instance: &str, body: &str) -> String {
    format!(
        "POST /aspenspring/Instances.{call}/{instance} HTTP/1.1\r\nHost: x\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request and reads until the connection closes; none where nobody listens or answers in time.
pub fn ask(address: SocketAddr, text: &str, patience: Duration) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, patience).ok()?;
    stream.set_read_timeout(Some(patience)).unwrap();
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

//! A small site: the record, the node processes with the platform's settings, and the platform's
//! readiness questions.

use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json;
use crate::store::Store;

pub const TERM: i32 = 15;
pub const KILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Why a case could not run, or what it has found.
pub enum End {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// The record of a case: one line for each event, with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = Arc::new(Mutex::new(File::create(path).expect("cannot write the record")));
        Self { started: Instant::now(), file }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:9.3} {}\n", text.as_ref());
        self.file.lock().unwrap().write_all(line.as_bytes()).unwrap();
    }
}

/// What the nodes of a site share.
#[derive(Clone)]
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub folder: PathBuf,
    next: Arc<Mutex<u8>>,
    pids: Arc<Mutex<File>>,
}

/// The addresses of a machine, as in the example of DEPLOY.md.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub ip: Ipv4Addr,
}

impl Machine {
    fn at(self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    pub fn outbound(self) -> SocketAddr {
        self.at(8304)
    }

    pub fn readiness(self) -> SocketAddr {
        self.at(8302)
    }

    pub fn control(self) -> SocketAddr {
        self.at(8306)
    }

    pub fn application(self) -> SocketAddr {
        self.at(8301)
    }

    fn is_free(self) -> bool {
        let ports = [8300, 8301, 8302, 8304, 8306, 7620, 9464];
        ports.iter().all(|port| TcpListener::bind(self.at(*port)).is_ok())
    }
}

impl Site {
    pub fn start(record: Record, folder: PathBuf) -> Self {
        let store = Store::start();
        record.line(format!("store listens at {}", store.address));
        let pids = Arc::new(Mutex::new(File::create(folder.join("pids")).unwrap()));
        Self { record, store, folder, next: Arc::new(Mutex::new(1)), pids }
    }

    /// A machine with an address of its own in 127.0.0.0/8 on which all its ports are free.
    pub fn machine(&self) -> Machine {
        let id = std::process::id();
        let mut next = self.next.lock().unwrap();
        loop {
            assert!(*next < 250, "no free loopback address");
            let ip = Ipv4Addr::new(127, 20 + (id >> 8) as u8 % 100, id as u8, *next);
            *next += 1;
            let machine = Machine { ip };
            if machine.is_free() {
                return machine;
            }
        }
    }

    /// Fills in the template of the deploy file for a machine and returns the node, not started.
    pub fn node(
        &self,
        name: &str,
        zone: &str,
        service: &str,
        machine: Machine,
        bounds: &str,
    ) -> Node {
        let template = fs::read_to_string("deploy/node.json").expect("no deploy/node.json");
        let ip = machine.ip.to_string();
        let address = |at: SocketAddr| json::quote(&at.to_string());
        let settings = template
            .replace("{{nodeName|json}}", &json::quote(name))
            .replace("{{zone|json}}", &json::quote(zone))
            .replace("{{service|json}}", &json::quote(service))
            .replace("{{limits.memoryMb|json}}", "260")
            .replace("{{limits.fileDescriptors|json}}", "4100")
            .replace("{{listenAddresses.outbound|json}}", &address(machine.outbound()))
            .replace("{{listenAddresses.readiness|json}}", &address(machine.readiness()))
            .replace("{{listenAddresses.control|json}}", &address(machine.control()))
            .replace("{{ip}}", &ip)
            .replace("{{internalPortRange.0}}", "7620")
            .replace("{{applicationAddress|json}}", &address(machine.application()))
            .replace("{{platform.address|json}}", &address(self.store.address))
            .replace("{{bounds|json}}", bounds);
        assert!(
            !settings.contains("{{"),
            "deploy/node.json has a placeholder that is not known here"
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).unwrap();
        Node { site: self.clone(), name: name.to_owned(), machine, path, child: Arc::default() }
    }
}

/// A node, as a process that can be stopped and started.
#[derive(Clone)]
pub struct Node {
    site: Site,
    pub name: String,
    pub machine: Machine,
    path: PathBuf,
    child: Arc<Mutex<Option<Child>>>,
}

impl Node {
    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let log = self.site.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut command = Command::new("target/release/aspenspring");
        command.arg("mesh").env_clear().env("ASPENSPRING_CONFIG", &self.path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let errors = log.try_clone().unwrap();
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn().unwrap();
        let pid = child.id();
        writeln!(self.site.pids.lock().unwrap(), "{pid}").unwrap();
        self.site.record.line(format!("platform: {} started at {}", self.name, self.machine.ip));
        *self.child.lock().unwrap() = Some(child);
    }

    /// Sends a signal; does nothing if the process has ended.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            // SAFETY: the child has not been waited for, so its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
            self.site.record.line(format!("platform: signal {signal} to {}", self.name));
        }
    }

    /// The status of the process if it has ended; told once.
    pub fn ended(&self) -> Option<ExitStatus> {
        let mut child = self.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().ok()??;
        *child = None;
        let how = match status.signal() {
            Some(signal) => format!("ended by signal {signal}"),
            None => format!("exited with {}", status.code().unwrap_or(-1)),
        };
        self.site.record.line(format!("platform: {} {how}", self.name));
        Some(status)
    }

    pub fn is_running(&self) -> bool {
        self.child.lock().unwrap().is_some()
    }

    /// Asks the node whether it is ready.
    pub fn is_ready(&self) -> bool {
        let request = http::request("GET", "/aspenspring/readiness", &[("Host", "node")], b"");
        let answer = http::call(self.machine.readiness(), &request, Duration::from_millis(900));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Ends the process.
    pub fn end(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// The memory that the process has in use now, in kB; 0 if that cannot be read.
    pub fn memory_kb(&self) -> u64 {
        let Some(pid) = self.child.lock().unwrap().as_ref().map(Child::id) else { return 0 };
        let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The log of the node so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.site.folder.join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

/// Waits until all nodes are ready; fails after `limit`.
pub fn wait_ready(nodes: &[Node], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// A rolling restart, `roll_term`: the nodes get SIGTERM one after the other, SIGKILL after the grace
/// period, and start again 0.5 s after their end.
pub struct Roll {
    nodes: Vec<Node>,
    began: Instant,
    gap: Duration,
    grace: Duration,
    /// When each node got SIGTERM.
    pub terms: Vec<Option<Instant>>,
    starts: Vec<Option<Instant>>,
    /// The nodes whose process did not exit with success.
    pub crashed: Vec<String>,
}

impl Roll {
    pub fn new(nodes: &[Node], gap: Duration, grace: Duration) -> Self {
        let count = nodes.len();
        Self {
            nodes: nodes.to_vec(),
            began: Instant::now(),
            gap,
            grace,
            terms: vec![None; count],
            starts: vec![None; count],
            crashed: Vec::new(),
        }
    }

    /// Does what is due now.
    pub fn advance(&mut self) {
        let now = Instant::now();
        for (index, node) in self.nodes.iter().enumerate() {
            match self.terms[index] {
                None if now >= self.began + self.gap * index as u32 => {
                    node.signal(TERM);
                    self.terms[index] = Some(now);
                }
                Some(at) if now >= at + self.grace && self.starts[index].is_none() => {
                    node.signal(KILL);
                }
                _ => {}
            }
            if let Some(status) = node.ended() {
                if !status.success() {
                    self.crashed.push(format!("{} ({status})", node.name));
                }
                self.starts[index] = Some(now + Duration::from_millis(500));
            }
            if self.starts[index].is_some_and(|at| now >= at) && !node.is_running() {
                node.start();
                self.starts[index] = Some(now + Duration::from_secs(1_000));
            }
        }
    }
}

/// The platform asks once a second; two misses take the machine's clients out until the next 200.
pub fn ask_readiness(node: &Node, takes_work: &AtomicBool, stop: &AtomicBool) {
    let mut misses = 0;
    while !stop.load(Ordering::SeqCst) {
        misses = if node.is_ready() { 0 } else { misses + 1 };
        takes_work.store(misses < 2, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(1));
    }
}

/// Whether clients on a machine get new work: its node is in, or fewer than half of the zone are.
pub fn may_send(takes_work: &[Arc<AtomicBool>], index: usize) -> bool {
    let states: Vec<_> = takes_work.iter().map(|one| one.load(Ordering::SeqCst)).collect();
    let count = states.iter().filter(|is_in| **is_in).count();
    states[index] || count * 2 < states.len()
}

/// A small generator of random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Seeded by the clock and the process.
    pub fn fresh(salt: u64) -> Self {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        Self::new(now.as_nanos() as u64 ^ u64::from(std::process::id()) << 32 ^ salt << 17)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// From 0 to 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}
